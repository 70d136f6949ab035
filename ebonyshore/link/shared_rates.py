"""What limits that all processes keep together have in common: demand, and who may go first.

It is used for the rates that targets name (``rate_limits``) and the quotas of client accounts
(``account_quotas``). No I/O.
"""

from math import exp

from ebonyshore.frame.clock import MS_PER_S

RATE_PERIOD_MS = 1_000.0  # over which rates are averaged


class EventRate:
    """A rate of events, averaged over :data:`RATE_PERIOD_MS`."""

    __slots__ = ("_per_s", "_updated_ms")

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_ms = 0.0

    def per_s(self, now_ms: float) -> float:
        """Return the present rate."""
        return aged_rate(self._per_s, now_ms - self._updated_ms)

    def record(self, now_ms: float, events: int = 1) -> None:
        """Count events."""
        self._per_s = self.per_s(now_ms) + events * MS_PER_S / RATE_PERIOD_MS
        self._updated_ms = now_ms


def aged_rate(per_s: float, age_ms: float) -> float:
    """Return what is left of an averaged rate without further events."""
    return per_s * exp(-max(0.0, age_ms) / RATE_PERIOD_MS)


def is_let_through(
    left: float, others_wanted_per_s: float, news_delay_ms: float, draw: float
) -> bool:
    """Return whether a request may use what is left of a limit.

    Those that come to all processes before they hear of each other then use up no more than that.

    :param left: number of requests that all processes may still send.
    :param others_wanted_per_s: rate at which requests come to the other processes.
    :param news_delay_ms: time until the requests of one process are known to all.
    :param draw: random number between 0 and 1.
    """
    concurrent = others_wanted_per_s * news_delay_ms / MS_PER_S
    return draw * max(1.0, concurrent) < left
