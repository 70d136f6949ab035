"""Global rate limit of a caller over all entries, coordinated by one agent for each caller.

The coordinating agent adds up the usage that the entries report and replies to each with the
fraction of the caller's requests to admit. No I/O; times are passed in.

Eight agents act as coordinators. They are chosen by rendezvous hashing over all listed targets, so
that an entry needs at most eight additional connections. When a coordinator is lost, its callers
move to another one, which starts with a full bucket: at most one additional burst is admitted.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyshore.entry.limits import CallerLimit, TokenBucket
from ebonyshore.entry.membership import TargetView
from ebonyshore.entry.routing import rendezvous_hash
from ebonyshore.link.messages import CallerShare, CallerUsage

COORDINATOR_COUNT = 8
# Rendezvous hash key that selects the coordinators; all entries must use the same.
COORDINATORS_KEY = "caller-homes"
USAGE_INTERVAL_MS = 500.0
REPORT_EXPIRY_MS = 2_000.0  # an entry that has not reported for this long has no demand
RATE_SMOOTHING_FACTOR = 0.3  # weight of a new rate in the average
BUCKET_RECOVERY_S = 1.0
ACCOUNT_EXPIRY_MS = 30_000.0


def choose_coordinators(targets: Iterable[TargetView]) -> list[str]:
    """Return the ids of the targets whose agents act as coordinators, at most eight.

    Unresponsive and leaving targets are excluded.
    """
    eligible = [t.target_id for t in targets if not t.is_quiet and not t.is_leaving]
    eligible.sort(key=lambda target_id: rendezvous_hash(COORDINATORS_KEY, target_id), reverse=True)
    return eligible[:COORDINATOR_COUNT]


def coordinator_of(caller: str, coordinators: list[str]) -> str | None:
    """Return the id of the target that coordinates a caller, or ``None`` if there is none.

    :param coordinators: from :func:`choose_coordinators`.
    """
    return max(coordinators, key=lambda target_id: rendezvous_hash(caller, target_id), default=None)


@dataclass(slots=True)
class _EntryReport:
    """The last usage report of one entry.

    :param heard_ms: monotonic time of the report.
    :param rate: requests per second that the caller offers to the entry, exponentially smoothed.
    """

    heard_ms: float
    rate: float


@dataclass(slots=True)
class _CallerAccount:
    """Usage of one caller.

    :param bucket: global token bucket; negative after more was admitted than the limit allows.
    :param reports: last report of each entry.
    :param heard_ms: monotonic time of the last report of any entry.
    """

    bucket: TokenBucket
    reports: dict[bytes, _EntryReport] = field(default_factory=dict)
    heard_ms: float = 0.0


class RateCoordinator:
    """Coordinates the rate of the callers that are assigned to this agent; not thread-safe.

    :param limit_of: returns a caller's limit from the settings in force.
    """

    def __init__(self, limit_of: Callable[[str], CallerLimit]) -> None:
        self._limit_of = limit_of
        self._accounts: dict[str, _CallerAccount] = {}
        self._next_expiry_ms = 0.0

    def record_usage(
        self, entry: bytes, usages: tuple[CallerUsage, ...], now_ms: float
    ) -> tuple[CallerShare, ...]:
        """Record an entry's usage and return the fractions that it may admit until its next digest.

        :param entry: identity of the reporting entry.
        """
        self._remove_idle_accounts(now_ms)
        return tuple(self._record(entry, usage, now_ms) for usage in usages)

    def _record(self, entry: bytes, usage: CallerUsage, now_ms: float) -> CallerShare:
        limit = self._limit_of(usage.caller)
        account = self._accounts.get(usage.caller)
        if account is None:
            account = _CallerAccount(TokenBucket(limit.burst_requests, now_ms))
            self._accounts[usage.caller] = account
        account.heard_ms = now_ms
        account.bucket.refill(limit.requests_per_s, limit.burst_requests, now_ms)
        account.bucket.tokens -= usage.admitted
        account.bucket.tokens = max(-float(limit.burst_requests), account.bucket.tokens)
        self._update_demand(account, entry, usage.requests, now_ms)
        demand = sum(report.rate for report in account.reports.values())
        # A deficit or surplus of the bucket is compensated within BUCKET_RECOVERY_S, so the
        # long-term rate equals the limit whatever the error of the demand estimate.
        allowed = limit.requests_per_s + account.bucket.tokens / BUCKET_RECOVERY_S
        ratio = 1.0 if demand <= 0 else min(1.0, max(0.0, allowed / demand))
        return CallerShare(usage.caller, ratio)

    def _update_demand(
        self, account: _CallerAccount, entry: bytes, requests: int, now_ms: float
    ) -> None:
        """Drop expired reports and update the rate that an entry reports."""
        for key in [
            k for k, r in account.reports.items() if now_ms - r.heard_ms > REPORT_EXPIRY_MS
        ]:
            del account.reports[key]
        report = account.reports.get(entry)
        if report is None:
            rate = requests / (REPORT_EXPIRY_MS / 1000)
            account.reports[entry] = _EntryReport(now_ms, rate)
            return
        elapsed_s = max(now_ms - report.heard_ms, USAGE_INTERVAL_MS / 2) / 1000
        report.rate += RATE_SMOOTHING_FACTOR * (requests / elapsed_s - report.rate)
        report.heard_ms = now_ms

    def _remove_idle_accounts(self, now_ms: float) -> None:
        """Remove accounts without a report for :data:`ACCOUNT_EXPIRY_MS`, at that interval."""
        if now_ms < self._next_expiry_ms:
            return
        self._next_expiry_ms = now_ms + ACCOUNT_EXPIRY_MS
        for caller in [
            c for c, a in self._accounts.items() if now_ms - a.heard_ms > ACCOUNT_EXPIRY_MS
        ]:
            del self._accounts[caller]
