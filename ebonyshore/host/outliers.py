"""Which targets fail more of their requests than a sound one would. Pure.

Fault pattern: a target whose health check is good and that fails, sheds or loses a part of its
requests, for all callers or for some, and one that goes down and up by turns. What an entry's own
requests met decides; a health answer decides nothing.
"""

from collections.abc import Sequence

HALF_LIFE_MS = 3_000.0
MIN_OBSERVED_REQUESTS = 2.5  # requests that have to be seen; one bad answer alone says little
MIN_FAILURE_RATE = 0.2
MAX_OUTLIER_SHARE = 0.34  # of the targets; the others have to carry the load


class OutcomeHistory:
    """Outcomes of one target's requests, older ones counting less.

    A target that is left alone loses weight, so it gets a request again after some seconds and has
    to prove itself.
    """

    __slots__ = ("_at_ms", "_failures", "_total")

    def __init__(self) -> None:
        self._failures = 0.0
        self._total = 0.0
        self._at_ms = 0.0

    def record(self, failure_weight: float, now_ms: float) -> None:
        """Count a request.

        :param failed: 1 for a failure, 0 for a success, between for a sign of one.
        """
        self._decay(now_ms)
        self._failures += failure_weight
        self._total += 1.0

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of failures; 0 if too little was seen lately."""
        self._decay(now_ms)
        return self._failures / self._total if self._total >= MIN_OBSERVED_REQUESTS else 0.0

    def _decay(self, now_ms: float) -> None:
        decay = 0.5 ** (max(0.0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._failures *= decay
        self._total *= decay
        self._at_ms = now_ms


def find_outliers(failure_rates: Sequence[tuple[str, float]]) -> set[str]:
    """Return the targets to leave out, the worst first, up to what the others can carry.

    :param shares: failure share by target.
    """
    max_outliers = int(len(failure_rates) * MAX_OUTLIER_SHARE)
    failing = [pair for pair in failure_rates if pair[1] >= MIN_FAILURE_RATE]
    failing.sort(key=lambda pair: pair[1], reverse=True)
    return {target_id for target_id, _ in failing[:max_outliers]}
