"""What limits that all processes keep together have in common: demand, shares, who may go first.

It is used for the rates that targets name (``rate_limits``) and the quotas of client accounts
(``account_quotas``). No I/O.
"""

from math import exp

from ebonyshore.frame.clock import MS_PER_S

RATE_PERIOD_MS = 1_000.0  # over which rates are averaged
SHARE_VALID_MS = 250.0  # for which an unused token of a share can be spent


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


class ShareBucket:
    """Tokens of one entry's share of a rate, which lapse if they are not used.

    :param credit: tokens at the start, below 1. It should be random, so that the entries do not
        admit requests at the same time.
    """

    __slots__ = ("_credit", "_updated_ms")

    def __init__(self, credit: float, now_ms: float) -> None:
        self._credit = credit
        self._updated_ms = now_ms

    def wait_ms(self, share_per_s: float, now_ms: float) -> float:
        """Return the time until there is a token; 0 if there is one."""
        self._credit += share_per_s * (now_ms - self._updated_ms) / MS_PER_S
        self._updated_ms = now_ms
        highest = 1.0 + share_per_s * SHARE_VALID_MS / MS_PER_S
        if self._credit >= highest:
            self._credit = highest - 1.0 + (self._credit - highest) % 1.0
        return max(0.0, 1.0 - self._credit) / share_per_s * MS_PER_S

    def take(self) -> None:
        """Use a token."""
        self._credit -= 1.0

    def give_back(self) -> None:
        """Return a token that was not needed; it lapses like others."""
        self._credit += 1.0


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
