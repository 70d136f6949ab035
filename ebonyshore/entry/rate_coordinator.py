"""The global rate of a caller: added up by its home agent, which answers with the share to admit.

Pure. Eight agents are homes, chosen by rendezvous hashing over all listed targets, so that an entry
needs at most eight more connections. When a home is lost, the callers go to another one, which
starts with a full bucket: at most one burst more is admitted.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyshore.entry.limits import CallerLimit, TokenBucket
from ebonyshore.entry.membership import TargetView
from ebonyshore.entry.routing import rendezvous_hash
from ebonyshore.link.messages import CallerShare, CallerUsage

COORDINATOR_COUNT = 8
COORDINATORS_KEY = "caller-homes"
USAGE_INTERVAL_MS = 500.0
REPORT_EXPIRY_MS = 2_000.0
SMOOTHING = 0.3
RECOVERY_S = 1.0
FORGET_MS = 30_000.0


def choose_coordinators(targets: Iterable[TargetView]) -> list[str]:
    """Return the targets whose agents are homes; quiet and leaving ones are passed over."""
    fit = [t.target_id for t in targets if not t.is_quiet and not t.is_leaving]
    fit.sort(key=lambda target_id: rendezvous_hash(COORDINATORS_KEY, target_id), reverse=True)
    return fit[:COORDINATOR_COUNT]


def coordinator_of(caller: str, homes: list[str]) -> str | None:
    """Return the home of a caller, or ``None`` if there is no agent."""
    return max(homes, key=lambda target_id: rendezvous_hash(caller, target_id), default=None)


@dataclass(slots=True)
class _Report:
    """Last report of one entry; ``rate`` is smoothed over several."""

    heard_ms: float
    rate: float


@dataclass(slots=True)
class _Account:
    bucket: TokenBucket
    reports: dict[bytes, _Report] = field(default_factory=dict)
    heard_ms: float = 0.0


class RateCoordinator:
    """Accounts of the callers whose home this agent is; used from one thread.

    :param limit_of: returns a caller's limit from the settings in force.
    """

    def __init__(self, limit_of: Callable[[str], CallerLimit]) -> None:
        self._limit_of = limit_of
        self._accounts: dict[str, _Account] = {}
        self._next_forget_ms = 0.0

    def record_usage(
        self, entry: bytes, usages: tuple[CallerUsage, ...], now_ms: float
    ) -> tuple[CallerShare, ...]:
        """Add an entry's usage and return what it may admit until its next digest."""
        self._forget(now_ms)
        return tuple(self._record(entry, usage, now_ms) for usage in usages)

    def _record(self, entry: bytes, usage: CallerUsage, now_ms: float) -> CallerShare:
        limit = self._limit_of(usage.caller)
        account = self._accounts.get(usage.caller)
        if account is None:
            account = _Account(TokenBucket(limit.burst_requests, now_ms))
            self._accounts[usage.caller] = account
        account.heard_ms = now_ms
        account.bucket.refill(limit.requests_per_s, limit.burst_requests, now_ms)
        account.bucket.tokens -= usage.admitted
        account.bucket.tokens = max(-float(limit.burst_requests), account.bucket.tokens)
        self._note_report(account, entry, usage.requests, now_ms)
        demand = sum(report.rate for report in account.reports.values())
        # A debt or a reserve in the bucket is worked off within RECOVERY_S, so the long-run rate is
        # the limit whatever the error of the demand estimate.
        allowed = limit.requests_per_s + account.bucket.tokens / RECOVERY_S
        ratio = 1.0 if demand <= 0 else min(1.0, max(0.0, allowed / demand))
        return CallerShare(usage.caller, ratio)

    def _note_report(self, account: _Account, entry: bytes, requests: int, now_ms: float) -> None:
        for key in [
            k for k, r in account.reports.items() if now_ms - r.heard_ms > REPORT_EXPIRY_MS
        ]:
            del account.reports[key]
        report = account.reports.get(entry)
        if report is None:
            rate = requests / (REPORT_EXPIRY_MS / 1000)
            account.reports[entry] = _Report(now_ms, rate)
            return
        passed_s = max(now_ms - report.heard_ms, USAGE_INTERVAL_MS / 2) / 1000
        report.rate += SMOOTHING * (requests / passed_s - report.rate)
        report.heard_ms = now_ms

    def _forget(self, now_ms: float) -> None:
        if now_ms < self._next_forget_ms:
            return
        self._next_forget_ms = now_ms + FORGET_MS
        for caller in [c for c, a in self._accounts.items() if now_ms - a.heard_ms > FORGET_MS]:
            del self._accounts[caller]
