"""Admission of online requests at one entry, and its exchange with the callers' home agents."""

from hashlib import blake2b
from threading import Lock

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.callers import limit_for_caller
from ebonyshore.entry.limits import FAIRNESS_INTERVAL_MS, CallerLimits
from ebonyshore.entry.link_messages import SendToAgent
from ebonyshore.entry.membership import Membership
from ebonyshore.entry.rate_coordinator import USAGE_INTERVAL_MS, choose_coordinators, coordinator_of
from ebonyshore.entry.routing import mean_utilization
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import CallerShares, CallerUsage, UsageDigest
from ebonyshore.settings.settings_service import SettingsService


class Admission:
    """Thread-safe front of :class:`CallerLimits`."""

    def __init__(
        self, entry_id: str, settings: SettingsService, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._lock = Lock()
        self._limits = CallerLimits(blake2b(entry_id.encode(), digest_size=1).digest()[0] / 256)

    def check(self, caller: str) -> None:
        """Count a request of a caller.

        :raises RefusedError: if the caller is above its limit, or above its share in an overload.
        """
        limit = limit_for_caller(self._settings.current(), caller)
        with self._lock:
            verdict = self._limits.admit(caller, limit, self._clock.monotonic_ms())
        if verdict.is_admitted:
            return
        code = ResultCode.OVERLOADED if verdict.is_overload else ResultCode.CALLER_LIMIT
        self._metrics.count(code.name.lower())
        raise RefusedError(code=code, retry_after_ms=verdict.retry_after_ms)

    def take_usages(self) -> list[CallerUsage]:
        """Return the usage since the last call."""
        with self._lock:
            return self._limits.take_usages(self._clock.monotonic_ms())

    def apply_shares(self, shares: CallerShares) -> None:
        """Take over a home agent's answer."""
        with self._lock:
            self._limits.apply_shares(shares.shares, self._clock.monotonic_ms())

    def update_fair_shares(self, load: float) -> None:
        """Tell how loaded the targets are."""
        with self._lock:
            self._limits.update_fair_shares(load, self._clock.monotonic_ms())


class UsageReporter(Task[None]):
    """Sends usage to the home agents and keeps the fair shares current."""

    def __init__(
        self, admission: Admission, membership: Membership, link: AgentLink, clock: Clock
    ) -> None:
        super().__init__("usage-reporter", clock)
        self._admission = admission
        self._membership = membership
        self._link = link
        self._next_ms = 0.0
        self._next_fairness_ms = 0.0

    def handle(self, message: None) -> None:
        """The reporter gets no messages."""

    def timer_ms(self) -> float | None:
        return self._next_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_ms = now_ms + USAGE_INTERVAL_MS
        targets = list(self._membership.targets().values())
        if now_ms >= self._next_fairness_ms:
            self._next_fairness_ms = now_ms + FAIRNESS_INTERVAL_MS
            self._admission.update_fair_shares(mean_utilization(targets))
        homes = choose_coordinators(targets)
        by_home: dict[str, list[CallerUsage]] = {}
        for usage in self._admission.take_usages():
            home = coordinator_of(usage.caller, homes)
            if home is not None:
                by_home.setdefault(home, []).append(usage)
        for home, usages in by_home.items():
            self._link.post(SendToAgent(home, UsageDigest(tuple(usages))))
