"""How many requests of a client account this entry may admit. No I/O.

Load pattern: an account sends many times its limit, over all entries or over a few of them, while
entries are killed, frozen or cut off.

A limit is one token bucket for the whole fleet. A runner keeps its level (``account_ledger``) from
what all entries report, and tells it to each entry. The entry subtracts what it has admitted since
the report that the level contains, and what the others will have admitted by now. As requests that
arrive at several entries at once would find the same tokens, each is let through with such a
probability that those which come before the next totals use up no more than is left.

The rule for any span allows more than the limit. A part of this excess is a debt that the bucket
may run up, so that late totals do not refuse accounts which keep to their limit.

An entry without fresh totals admits an equal share of the rate. A share is hardly saved up: after
an idle time many entries would otherwise spend their savings at the same moment.

All times are milliseconds on a clock that advances while the instance is suspended.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from random import Random

from msgspec import Struct, to_builtins

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.link.account_limit import AccountLimit
from ebonyshore.link.account_messages import (
    TENTHS,
    AccountSum,
    AccountTotals,
    AccountUsage,
    AccountUse,
)
from ebonyshore.link.shared_rates import EventRate, ShareBucket, is_let_through

TOTALS_TIMEOUT_MS = 800.0  # older totals are not used
LATE_TOTALS_MS = 300.0  # a report or the totals may have been lost
REPORT_DELAY_MS = 200.0  # until the requests of one entry are known to all others
SURGE_FLOOR_PER_S = 2.0  # rates below differ by chance
IDLE_EXPIRY_MS = 60_000.0  # after the last request of an account, until it is forgotten
NEAR_LIMIT_DEBT_PART = 0.25  # of the debt, by requests that no totals contain yet
MIN_RETRY_AFTER_MS = 50.0


class AccountState:
    """What this entry knows of one account.

    :ivar admitted: requests that the entry has admitted since it started, without those that were
        given back.
    :ivar admissions: their rate.
    :ivar running: requests of the entry at targets.
    :ivar unheard: requests admitted that no totals contain yet, by the sequence number of the first
        report that does.
    :ivar wanted: requests that came to the entry.
    :ivar usual_per_s: rate at which they came when the last totals arrived.
    :ivar share: the tokens that the entry uses while it has no fresh totals.
    :ivar next_free_ms: time up to which refused callers were told to return.
    :ivar changed_ms: time of the last request or end of a request.
    """

    __slots__ = (
        "admissions",
        "admitted",
        "changed_ms",
        "next_free_ms",
        "running",
        "share",
        "unheard",
        "usual_per_s",
        "wanted",
    )

    def __init__(self) -> None:
        self.admitted = 0
        self.admissions = EventRate()
        self.running = 0
        self.unheard: Counter[int] = Counter()
        self.wanted = EventRate()
        self.usual_per_s = 0.0
        self.share: ShareBucket | None = None
        self.next_free_ms = 0.0
        self.changed_ms = 0.0

    def forget_heard(self, sequence: int) -> None:
        """Remove the requests that a report up to ``sequence`` contained."""
        for number in [number for number in self.unheard if number <= sequence]:
            del self.unheard[number]

    def surge(self, now_ms: float) -> float:
        """Return how many times more requests come than when the last totals arrived."""
        present_per_s = self.wanted.per_s(now_ms) + SURGE_FLOOR_PER_S
        return max(1.0, present_per_s / (self.usual_per_s + SURGE_FLOOR_PER_S))

    def next_delay_ms(
        self, limit: AccountLimit, rate_per_s: float, wait_ms: float, now_ms: float
    ) -> float:
        """Return when a refused caller may return, after those that were refused before it.

        Nobody is told to wait for more than a window, as by then others may have stopped.

        :param rate_per_s: rate at which this entry is expected to admit requests.
        :param wait_ms: time until the next request can be admitted.
        """
        first_ms = max(now_ms + wait_ms, self.next_free_ms)
        first_ms = min(first_ms, now_ms + limit.window_ms)
        self.next_free_ms = first_ms + MS_PER_S / rate_per_s
        return max(MIN_RETRY_AFTER_MS, first_ms - now_ms)


class Refusal(Struct, frozen=True):
    """Why a request is refused.

    :param retry_after_ms: time until a request of the account is expected to be admitted.
    :param level: tokens that the fleet has left; ``None`` if this entry uses its share.
    :param totals_age_ms: highest age of the totals; infinite if there are none.
    """

    retry_after_ms: float
    level: float | None
    totals_age_ms: float
    limit: AccountLimit


class FleetUse(Struct, frozen=True):
    """What all entries use of an account, as far as this one knows. Rates are averages.

    The use of other entries is missing if totals do not list the account: it is far from its limit,
    and all entries together run fewer than ``LISTED_RUNNING`` of its requests.

    :param admitted_per_s: requests a second that are admitted.
    :param wanted_per_s: requests a second that come, admitted or not.
    :param running: requests at targets.
    """

    admitted_per_s: float
    wanted_per_s: float
    running: int


class AccountQuotas:
    """Admits the requests of accounts at one entry.

    :param instance_id: instance id of this entry.
    :param incarnation: the run of this entry.
    :param entry_count: returns the number of entries, this one included; 0 if it is not known.
    :param random: varies the start of the shares, and which requests are let through.
    """

    __slots__ = (
        "_entry_count",
        "_incarnation",
        "_instance_id",
        "_limits",
        "_totals",
        "_totals_ms",
        "_random",
        "_received_ms",
        "_sent_ms",
        "_sequence",
        "_states",
        "_sums",
    )

    def __init__(
        self, instance_id: str, incarnation: str, entry_count: Callable[[], int], random: Random
    ) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._entry_count = entry_count
        self._random = random
        self._limits: Mapping[str, AccountLimit] = {}
        self._states: dict[str, AccountState] = {}
        self._sequence = 0
        self._sent_ms: dict[int, float] = {}  # by sequence number, of reports still of use
        self._totals: AccountTotals | None = None
        self._sums: dict[str, AccountSum] = {}
        self._totals_ms = float("-inf")  # send time of the last report that the totals contain
        self._received_ms = float("-inf")

    @property
    def source(self) -> str | None:
        """The run of the runner whose totals are used; ``None`` if there are none."""
        return None if self._totals is None else self._totals.sender

    def apply_limits(self, limits: Mapping[str, AccountLimit]) -> None:
        """Replace the limits; accounts without one are not limited."""
        self._limits = limits

    def admit(self, account: str, now_ms: float) -> Refusal | None:
        """Count a request, and return why it is refused, or ``None`` if it is admitted."""
        state = self._states.setdefault(account, AccountState())
        state.wanted.record(now_ms)
        state.changed_ms = now_ms
        limit = self._limits.get(account)
        refusal = None if limit is None else self._check(account, state, limit, now_ms)
        if refusal is None:
            state.admitted += 1
            state.admissions.record(now_ms)
            state.unheard[self._sequence + 1] += 1
        return refusal

    def give_back(self, account: str, now_ms: float) -> None:
        """Do not count a request that was admitted, as it has not run and never will."""
        state = self._states.setdefault(account, AccountState())
        state.changed_ms = now_ms
        state.admitted -= 1
        state.unheard[self._sequence + 1] -= 1
        if state.share is not None:
            state.share.give_back()

    def record_start(self, account: str, now_ms: float) -> None:
        """Count a request that is sent to a target."""
        state = self._states.setdefault(account, AccountState())
        state.running += 1
        state.changed_ms = now_ms

    def record_end(self, account: str, now_ms: float) -> None:
        """Count the end of a request at a target."""
        state = self._states[account]
        state.running -= 1
        state.changed_ms = now_ms

    def is_informed(self, now_ms: float) -> bool:
        """Return whether the totals are fresh.

        Their age counts from when this entry sent the last report that they contain, so that totals
        which were held up on the way are not taken for fresh.
        """
        return now_ms - self._totals_ms < TOTALS_TIMEOUT_MS

    def totals_age_ms(self, now_ms: float) -> float:
        """Return the highest age that the totals may have; infinite if there are none."""
        return now_ms - self._totals_ms

    def update(self, totals: AccountTotals, now_ms: float) -> bool:
        """Apply totals, unless they are outdated; return whether they were applied.

        Totals of another runner are used only after those of the present one are too old, as its
        reports go to one runner only.
        """
        sent_ms = self._sent_ms.get(totals.sequence)
        if totals.incarnation != self._incarnation or sent_ms is None:
            return False
        if now_ms - sent_ms >= TOTALS_TIMEOUT_MS:
            return False
        known = self._totals
        if known is not None:
            is_same_source = totals.sender == known.sender
            if is_same_source and totals.number <= known.number:
                return False
            if not is_same_source and self.is_informed(now_ms):
                return False
        self._totals = totals
        self._sums = {found.account: found for found in totals.sums}
        self._totals_ms = sent_ms
        self._received_ms = now_ms
        for number in [number for number in self._sent_ms if number < totals.sequence]:
            del self._sent_ms[number]
        for state in self._states.values():
            state.forget_heard(totals.sequence)
            state.share = None
            state.usual_per_s = state.wanted.per_s(now_ms)
        return True

    def next_usage(self, now_ms: float) -> AccountUsage:
        """Return the next report of this entry."""
        self._sequence += 1
        self._sent_ms[self._sequence] = now_ms
        for number, sent_ms in list(self._sent_ms.items()):
            if now_ms - sent_ms > TOTALS_TIMEOUT_MS:
                del self._sent_ms[number]
        self._remove_idle(now_ms)
        uses = tuple(
            self._use_of(account, state, now_ms)
            for account, state in self._states.items()
            if state.unheard or state.changed_ms >= self._totals_ms
        )
        return AccountUsage(self._instance_id, self._incarnation, self._sequence, uses)

    def is_report_urgent(self, now_ms: float) -> bool:
        """Return whether totals get old, or an account with unreported use is near its limit."""
        if now_ms - self._totals_ms > LATE_TOTALS_MS:
            return True
        return any(
            state.unheard and self._is_near_limit(account, state)
            for account, state in self._states.items()
        )

    def fleet_use(self, account: str, now_ms: float) -> FleetUse:
        """Return what all entries use of an account."""
        state = self._states.get(account) or AccountState()
        others = self._sums.get(account) if self.is_informed(now_ms) else None
        admitted_per_s = state.admissions.per_s(now_ms)
        wanted_per_s = state.wanted.per_s(now_ms)
        if others is None:
            return FleetUse(admitted_per_s, wanted_per_s, state.running)
        return FleetUse(
            others.admitted_per_s + admitted_per_s,
            others.wanted_per_s + wanted_per_s,
            others.running + state.running,
        )

    def listed_uses(self, now_ms: float) -> dict[str, FleetUse]:
        """Return what all entries use of the accounts that totals list, by name.

        Empty without fresh totals.
        """
        if not self.is_informed(now_ms):
            return {}
        return {account: self.fleet_use(account, now_ms) for account in self._sums}

    def dump(self, now_ms: float) -> dict[str, object]:
        """Return the limit and the known use of each account, for the state dump."""
        return {
            account: {
                "limit": to_builtins(self._limits.get(account)),
                "admitted": state.admitted,
                "unheard": state.unheard.total(),
                "running": state.running,
                "wanted_per_s": state.wanted.per_s(now_ms),
                "others": to_builtins(self._sums.get(account)),
                "level": self._reported_level(account, state, now_ms),
            }
            for account, state in self._states.items()
        }

    def accounts_at_limit(self, now_ms: float) -> int:
        """Return the number of accounts whose callers were told to return later."""
        return sum(state.next_free_ms > now_ms for state in self._states.values())

    def _check(
        self, account: str, state: AccountState, limit: AccountLimit, now_ms: float
    ) -> Refusal | None:
        if self.is_informed(now_ms):
            return self._check_level(account, state, limit, now_ms)
        return self._check_share(state, limit, now_ms)

    def _check_level(
        self, account: str, state: AccountState, limit: AccountLimit, now_ms: float
    ) -> Refusal | None:
        level = self._level(account, state, limit, now_ms)
        left = (level + limit.debt) * self._certainty(now_ms)
        others_wanted_per_s = self._others_wanted_per_s(account, state, now_ms)
        draw = self._random.random()
        if left >= 1.0 and is_let_through(left, others_wanted_per_s, REPORT_DELAY_MS, draw):
            if level >= 1.0:
                state.next_free_ms = now_ms
            return None
        own_per_s = state.wanted.per_s(now_ms)
        own_part = own_per_s / (own_per_s + others_wanted_per_s)
        wait_ms = max(0.0, 1.0 - left) / limit.rate_per_s * MS_PER_S
        delay_ms = state.next_delay_ms(limit, limit.rate_per_s * own_part, wait_ms, now_ms)
        return Refusal(delay_ms, level, self.totals_age_ms(now_ms), limit)

    def _check_share(
        self, state: AccountState, limit: AccountLimit, now_ms: float
    ) -> Refusal | None:
        share_per_s = self._share_per_s(limit)
        if share_per_s is None:
            return Refusal(TOTALS_TIMEOUT_MS, None, self.totals_age_ms(now_ms), limit)
        if state.share is None:
            state.share = ShareBucket(self._random.random(), now_ms)
        wait_ms = state.share.wait_ms(share_per_s, now_ms)
        if wait_ms <= 0.0:
            state.share.take()
            return None
        delay_ms = state.next_delay_ms(limit, share_per_s, wait_ms, now_ms)
        return Refusal(delay_ms, None, self.totals_age_ms(now_ms), limit)

    def _share_per_s(self, limit: AccountLimit) -> float | None:
        """Return this entry's part of a rate; ``None`` if it does not know of other entries."""
        entry_count = self._entry_count()
        if self._totals is not None:
            entry_count = max(entry_count, self._totals.entry_count)
        return limit.rate_per_s / entry_count if entry_count else None

    def _level(
        self, account: str, state: AccountState, limit: AccountLimit, now_ms: float
    ) -> float:
        """Return the tokens that the fleet has left, with what the others use in the meantime."""
        found = self._sums.get(account)
        level = limit.unlisted_level if found is None else found.level
        others_per_s = 0.0
        if found is not None:
            # Other entries admit at most what is left in the time until they hear of each other.
            max_admitted_per_s = (level + limit.debt) / REPORT_DELAY_MS * MS_PER_S
            wanted_per_s = self._others_wanted_per_s(account, state, now_ms)
            others_per_s = max(found.admitted_per_s, min(wanted_per_s, max_admitted_per_s))
        age_s = (now_ms - self._received_ms) / MS_PER_S
        level += (limit.rate_per_s - others_per_s) * age_s
        return min(limit.burst, min(level, limit.burst) - state.unheard.total())

    def _others_wanted_per_s(self, account: str, state: AccountState, now_ms: float) -> float:
        """Return the rate at which requests come to the others, if it rose there as it did here."""
        found = self._sums.get(account)
        return 0.0 if found is None else found.wanted_per_s * state.surge(now_ms)

    def _certainty(self, now_ms: float) -> float:
        """Return the part of what seems to be left that may be used, less as the totals get old.

        If many entries are cut off at the same moment, each still believes in the same tokens.
        """
        late_ms = max(0.0, now_ms - self._totals_ms - LATE_TOTALS_MS)
        return 1.0 - late_ms / (TOTALS_TIMEOUT_MS - LATE_TOTALS_MS)

    def _reported_level(self, account: str, state: AccountState, now_ms: float) -> float | None:
        """Return the level for a runner that has just started.

        Without totals the entries use no more than their shares, so the level does not fall then.
        """
        limit = self._limits.get(account)
        if limit is None or now_ms - self._totals_ms > limit.window_ms:
            return None
        return self._level(account, state, limit, min(now_ms, self._totals_ms + TOTALS_TIMEOUT_MS))

    def _is_near_limit(self, account: str, state: AccountState) -> bool:
        """Return whether totals list the account, or unreported use takes much of its debt."""
        limit = self._limits.get(account)
        if limit is None:
            return False
        return account in self._sums or state.unheard.total() > limit.debt * NEAR_LIMIT_DEBT_PART

    def _use_of(self, account: str, state: AccountState, now_ms: float) -> AccountUse:
        level = self._reported_level(account, state, now_ms)
        return AccountUse(
            account,
            state.admitted,
            state.unheard.total(),
            round(state.wanted.per_s(now_ms) * TENTHS),
            state.running,
            None if level is None else round(level * TENTHS),
        )

    def _remove_idle(self, now_ms: float) -> None:
        idle = [
            account
            for account, state in self._states.items()
            if not state.running and now_ms - state.changed_ms > IDLE_EXPIRY_MS
        ]
        for account in idle:
            del self._states[account]
