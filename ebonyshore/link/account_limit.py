"""The limit of a client account over all entries, and what may be used beyond it. No I/O."""

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S

DEBT_PART = 0.4  # of the excess that the rule allows
UNLISTED_DEBT_PART = 0.5  # of the debt, that may be missing from a full bucket without listing it
RESERVE_PART = 0.4  # of the excess, for the shares of entries that are not heard


class QuotaRule(Struct, frozen=True):
    """What an account may use in any span of a given length.

    :param window_ms: length of the spans.
    :param overage: part of the limit by which it may be exceeded.
    :param slack: requests by which it may be exceeded besides.
    """

    window_ms: float
    overage: float
    slack: float


class AccountLimit(Struct, frozen=True):
    """The limit of an account over all entries: a token bucket, and the excess that is allowed.

    :param rate_per_s: tokens that the bucket accrues in a second; a request takes one.
    :param burst: tokens that the bucket holds at most.
    :param excess: requests in a window beyond those of the bucket.
    :param window_ms: length of the window.
    """

    rate_per_s: float
    burst: float
    excess: float
    window_ms: float

    @property
    def debt(self) -> float:
        """Tokens by which the bucket may be overdrawn."""
        return DEBT_PART * self.excess

    @property
    def reserve_per_s(self) -> float:
        """Rate that may be left to entries which are not heard without lowering that of others."""
        return RESERVE_PART * self.excess * MS_PER_S / self.window_ms

    @property
    def unlisted_level(self) -> float:
        """Level from which on an account is not listed in totals."""
        return self.burst - UNLISTED_DEBT_PART * self.debt


def make_limit(rate_per_s: float, burst: float, rule: QuotaRule) -> AccountLimit:
    """Return the limit of an account under a rule."""
    in_window = rate_per_s * rule.window_ms / MS_PER_S + burst
    excess = rule.overage * in_window + rule.slack
    smallest_burst = 1.0 - DEBT_PART * excess  # else no request could ever be admitted
    return AccountLimit(rate_per_s, max(burst, smallest_burst), excess, rule.window_ms)
