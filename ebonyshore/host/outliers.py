"""Detects targets that fail more of their requests than healthy ones. No I/O.

Such a target passes its health check, but fails, refuses or loses some of its requests, for all
callers or for some, or it alternates between up and down. Only the outcomes of the entry's own
requests are considered; results of health checks are not.
"""

from collections.abc import Sequence

HALF_LIFE_MS = 3_000.0  # of the weight of an outcome
MIN_OBSERVED_REQUESTS = 2.5  # decayed count; a single failure is not significant
MIN_FAILURE_RATE = 0.2
MAX_OUTLIER_SHARE = 0.34  # of the targets; the remaining ones have to carry the load


class OutcomeHistory:
    """Outcomes of one target's requests, with weights that decay exponentially.

    While a target is avoided, its outcomes lose their weight. After some seconds it is therefore
    sent a request again, and the outcome of that counts.
    """

    __slots__ = ("_at_ms", "_failures", "_total")

    def __init__(self) -> None:
        self._failures = 0.0
        self._total = 0.0
        self._at_ms = 0.0

    def record(self, failure_weight: float, now_ms: float) -> None:
        """Record the outcome of a request.

        :param failure_weight: 1 for a failure, 0 for a success, a value between them for an
            indication of a failure.
        :param now_ms: monotonic time.
        """
        self._decay(now_ms)
        self._failures += failure_weight
        self._total += 1.0

    def failure_rate(self, now_ms: float) -> float:
        """Return the rate of failures, 0 to 1; 0 if there are too few recent outcomes."""
        self._decay(now_ms)
        return self._failures / self._total if self._total >= MIN_OBSERVED_REQUESTS else 0.0

    def _decay(self, now_ms: float) -> None:
        decay = 0.5 ** (max(0.0, now_ms - self._at_ms) / HALF_LIFE_MS)
        self._failures *= decay
        self._total *= decay
        self._at_ms = now_ms


def find_outliers(
    failure_rates: Sequence[tuple[str, float]], target_count: int | None = None
) -> set[str]:
    """Return the ids of the targets to avoid.

    These are the targets with the highest failure rates of at least ``MIN_FAILURE_RATE``, up to
    ``MAX_OUTLIER_SHARE`` of all targets.

    :param failure_rates: pairs of target id and failure rate; targets without failures may be left
        out.
    :param target_count: number of all targets; ``None`` if none was left out.
    """
    target_count = len(failure_rates) if target_count is None else target_count
    max_outliers = int(target_count * MAX_OUTLIER_SHARE)
    failing = [pair for pair in failure_rates if pair[1] >= MIN_FAILURE_RATE]
    failing.sort(key=lambda pair: pair[1], reverse=True)
    return {target_id for target_id, _ in failing[:max_outliers]}
