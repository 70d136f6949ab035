"""The token buckets of all client accounts, kept by the runner that hears of all entries. No I/O.

Load pattern: an account sends many times its limit over many entries, some of which are not heard.

Entries report how many requests they have admitted since they started, so a report that is lost,
late or doubled changes nothing. What an entry that died had admitted is already subtracted. A
runner that begins to keep the buckets takes them as overdrawn, unless entries still know better
from the runner before it.

Entries that are not heard use an equal share of each rate. The part of it that the allowed excess
does not cover is set aside.
"""

from collections.abc import Mapping, Set

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.link.account_limit import AccountLimit
from ebonyshore.link.account_messages import (
    TENTHS,
    AccountSum,
    AccountTotals,
    AccountUsage,
    AccountUse,
)
from ebonyshore.link.account_quotas import TOTALS_TIMEOUT_MS
from ebonyshore.link.shared_rates import EventRate, aged_rate

LEARNING_MS = 1_000.0  # after its start a runner uses the levels that entries still know
SILENT_EXPIRY_MS = 3_000.0  # after which the requests of a silent entry are taken for ended
# Of the debt, with which a bucket starts, as its account may have sent requests before the runner
# heard of them.
INITIAL_DEBT_PART = 0.5
USE_LIFETIME_MS = 10_000.0  # after which averaged rates without further requests are nothing
LISTED_RUNNING = 4  # requests at targets from which on an account is listed


class EntryUse:
    """What one entry uses of an account.

    :ivar report: the last report of the entry about the account.
    :ivar reported_ms: time at which that report was received.
    :ivar admissions: rate at which the entry admits requests, from the differences of its reports.
    :ivar admitted_per_s: that rate at the last update.
    :ivar wanted_per_s: rate of requests at the last update; those since the report are not known.
    """

    __slots__ = ("admissions", "admitted_per_s", "report", "reported_ms", "wanted_per_s")

    def __init__(self, report: AccountUse) -> None:
        self.report = report
        self.reported_ms = 0.0
        self.admissions = EventRate()
        self.admitted_per_s = 0.0
        self.wanted_per_s = 0.0

    def update(self, now_ms: float) -> None:
        """Compute the present rates."""
        self.admitted_per_s = self.admissions.per_s(now_ms)
        self.wanted_per_s = aged_rate(self.report.wanted_tenths / TENTHS, now_ms - self.reported_ms)

    def has_ended(self, now_ms: float) -> bool:
        """Return whether the entry has no requests and its rates have become nothing."""
        return not self.report.running and now_ms - self.reported_ms > USE_LIFETIME_MS


class FleetSum:
    """What all entries use of an account. Rates are averages."""

    __slots__ = ("admitted_per_s", "running", "wanted_per_s")

    def __init__(self) -> None:
        self.admitted_per_s = 0.0
        self.wanted_per_s = 0.0
        self.running = 0

    def add(self, use: EntryUse) -> None:
        """Add the use of an entry at its last update."""
        self.admitted_per_s += use.admitted_per_s
        self.wanted_per_s += use.wanted_per_s
        self.running += use.report.running

    def without(self, account: str, level: float, use: EntryUse) -> AccountSum:
        """Return the message to the entry with this use, without what it uses itself."""
        return AccountSum(
            account,
            round(level * TENTHS),
            max(0, round((self.admitted_per_s - use.admitted_per_s) * TENTHS)),
            max(0, round((self.wanted_per_s - use.wanted_per_s) * TENTHS)),
            self.running - use.report.running,
        )

    def as_message(self, account: str, level: float) -> AccountSum:
        """Return the message to an entry that does not use the account."""
        return AccountSum(
            account,
            round(level * TENTHS),
            round(self.admitted_per_s * TENTHS),
            round(self.wanted_per_s * TENTHS),
            self.running,
        )


class HeardEntry:
    """What was heard of an entry.

    :ivar previous: its run before; reports of that one which come late are ignored.
    :ivar sequence: sequence number of its last report.
    :ivar heard_ms: time of that report.
    :ivar uses: its use of each account.
    """

    __slots__ = ("heard_ms", "incarnation", "previous", "sequence", "uses")

    def __init__(self, incarnation: str, previous: str) -> None:
        self.incarnation = incarnation
        self.previous = previous
        self.sequence = 0
        self.heard_ms = float("-inf")
        self.uses: dict[str, EntryUse] = {}


class AccountBucket:
    """The token bucket of an account.

    :ivar told_level: level that entries knew from the runner before this one, kept up to date.
    """

    __slots__ = ("_forgotten", "_level", "_updated_ms", "told_level")

    def __init__(self, level: float, now_ms: float) -> None:
        self._level = level
        self._forgotten = 0.0  # tokens taken beyond the highest debt and not accrued since
        self._updated_ms = now_ms
        self.told_level = float("-inf")

    @property
    def level(self) -> float:
        """Tokens that are left."""
        return max(self._level, self.told_level)

    def refill(self, limit: AccountLimit, rate_per_s: float, now_ms: float) -> None:
        """Add what has accrued at a rate since the last call."""
        accrued = max(0.0, rate_per_s * (now_ms - self._updated_ms) / MS_PER_S)
        self._forgotten = max(0.0, self._forgotten - accrued)
        self._level = min(limit.burst, self._level + accrued)
        self.told_level = min(limit.burst, self.told_level + accrued)
        self._updated_ms = now_ms

    def take(self, tokens: float, limit: AccountLimit) -> None:
        """Subtract tokens, or add those given back; the debt is at most what the rule allows.

        Tokens that are given back replace those beyond this debt first.
        """
        if tokens < 0.0:
            replaced = min(-tokens, self._forgotten)
            self._forgotten -= replaced
            tokens += replaced
        self._forgotten += max(0.0, tokens - self.level - limit.excess)
        self._level = min(limit.burst, max(-limit.excess, self._level - tokens))
        self.told_level = min(limit.burst, max(-limit.excess, self.told_level - tokens))

    def learn(self, level: float) -> None:
        """Use a level that an entry knows, or the lowest if there are several."""
        is_first = self.told_level == float("-inf")
        self.told_level = level if is_first else min(self.told_level, level)


class AccountLedger:
    """Adds up the reports of all entries, and tells each entry what the others use.

    All times are milliseconds on a clock that advances while the instance is suspended.

    :param incarnation: the run of this runner.
    """

    __slots__ = (
        "_buckets",
        "_entries",
        "_heard_ms",
        "_limits",
        "_number",
        "_started_ms",
        "incarnation",
    )

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._limits: Mapping[str, AccountLimit] = {}
        self._buckets: dict[str, AccountBucket] = {}
        self._entries: dict[str, HeardEntry] = {}
        self._number = 0
        self._started_ms = float("-inf")
        self._heard_ms = float("-inf")

    def apply_limits(self, limits: Mapping[str, AccountLimit]) -> None:
        """Replace the limits; accounts without one are not limited."""
        self._limits = limits
        self._buckets = {key: found for key, found in self._buckets.items() if key in limits}

    def add(self, usage: AccountUsage, now_ms: float) -> bool:
        """Apply a report, unless it is outdated; return whether it was applied."""
        entry = self._entry_of(usage, now_ms)
        if entry is None:
            return False
        if now_ms - self._heard_ms > TOTALS_TIMEOUT_MS:
            self._begin(now_ms)
        entry = self._entries.setdefault(usage.sender, entry)
        entry.sequence = usage.sequence
        entry.heard_ms = self._heard_ms = now_ms
        for use in usage.uses:
            self._add_use(entry, use, now_ms)
        return True

    def totals(self, registered: Set[str], now_ms: float) -> dict[str, AccountTotals]:
        """Return the message to each entry that is heard.

        :param registered: instance ids of all entries.
        """
        heard = self._heard(now_ms)
        entry_count = len(registered | heard)
        self._refill(len(registered - heard), entry_count, now_ms)
        self._number += 1
        sums = self._listed_sums(now_ms)
        messages_to_others = {
            account: found.as_message(account, self._level(account))
            for account, found in sums.items()
        }
        messages = {}
        for instance_id in heard:
            entry = self._entries[instance_id]
            told = dict(messages_to_others)
            for account in entry.uses.keys() & sums.keys():
                use = entry.uses[account]
                if not use.has_ended(now_ms):
                    told[account] = sums[account].without(account, self._level(account), use)
            messages[instance_id] = AccountTotals(
                self.incarnation,
                self._number,
                entry.incarnation,
                entry.sequence,
                entry_count,
                tuple(told.values()),
            )
        return messages

    def dump(self) -> dict[str, object]:
        """Return the level of each bucket, for the state dump."""
        return {account: bucket.level for account, bucket in self._buckets.items()}

    def _begin(self, now_ms: float) -> None:
        """Forget everything: the entries have reported to another runner, or to none."""
        self._started_ms = now_ms
        self._buckets.clear()
        self._entries.clear()

    def _entry_of(self, usage: AccountUsage, now_ms: float) -> HeardEntry | None:
        """Return the sender's entry, a new one for a new run; ``None`` if the report is old.

        A late report of the run before may look like a new run, but only until the present run is
        taken for silent.
        """
        known = self._entries.get(usage.sender)
        if known is None:
            return HeardEntry(usage.incarnation, "")
        if known.incarnation == usage.incarnation:
            return known if usage.sequence > known.sequence else None
        if known.previous == usage.incarnation and self._is_heard(known, now_ms):
            return None
        restarted = HeardEntry(usage.incarnation, known.incarnation)
        self._entries[usage.sender] = restarted
        return restarted

    def _add_use(self, entry: HeardEntry, use: AccountUse, now_ms: float) -> None:
        known = entry.uses.get(use.account)
        limit = self._limits.get(use.account)
        is_new = known is None
        if limit is not None and known is not None:
            is_new = now_ms - known.reported_ms > limit.window_ms
        if known is None:
            known = entry.uses[use.account] = EntryUse(use)
        admitted = use.unheard if is_new else use.admitted - known.report.admitted
        known.admissions.record(now_ms, max(0, admitted))
        known.report = use
        known.reported_ms = now_ms
        if limit is not None:
            self._take(use, limit, admitted, now_ms)

    def _take(self, use: AccountUse, limit: AccountLimit, admitted: int, now_ms: float) -> None:
        bucket = self._buckets.get(use.account)
        if bucket is None:
            accrued = limit.rate_per_s * (now_ms - self._started_ms) / MS_PER_S
            level = min(limit.burst, accrued - limit.debt * INITIAL_DEBT_PART)
            bucket = self._buckets[use.account] = AccountBucket(level, now_ms)
        bucket.take(admitted, limit)
        if use.level_tenths is not None and now_ms - self._started_ms < LEARNING_MS:
            bucket.learn(use.level_tenths / TENTHS)

    def _heard(self, now_ms: float) -> set[str]:
        return {
            instance_id
            for instance_id, entry in self._entries.items()
            if self._is_heard(entry, now_ms)
        }

    @staticmethod
    def _is_heard(entry: HeardEntry, now_ms: float) -> bool:
        return now_ms - entry.heard_ms < TOTALS_TIMEOUT_MS

    def _refill(self, unheard: int, entry_count: int, now_ms: float) -> None:
        for account, bucket in self._buckets.items():
            limit = self._limits[account]
            reserved_per_s = limit.rate_per_s * unheard / max(1, entry_count)
            lowered_by = max(0.0, reserved_per_s - limit.reserve_per_s)
            bucket.refill(limit, limit.rate_per_s - lowered_by, now_ms)

    def _listed_sums(self, now_ms: float) -> dict[str, FleetSum]:
        """Return what all entries use of the accounts that are listed."""
        sums: dict[str, FleetSum] = {}
        for entry in self._entries.values():
            if now_ms - entry.heard_ms < SILENT_EXPIRY_MS:
                for account, use in entry.uses.items():
                    if not use.has_ended(now_ms):
                        use.update(now_ms)
                        sums.setdefault(account, FleetSum()).add(use)
        for account in self._buckets.keys() - sums.keys():
            sums[account] = FleetSum()
        return {
            account: found for account, found in sums.items() if self._is_listed(account, found)
        }

    def _level(self, account: str) -> float:
        bucket = self._buckets.get(account)
        return 0.0 if bucket is None else bucket.level

    def _is_listed(self, account: str, found: FleetSum) -> bool:
        if found.running >= LISTED_RUNNING:
            return True
        limit = self._limits.get(account)
        return limit is not None and self._level(account) < limit.unlisted_level
