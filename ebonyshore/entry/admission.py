"""Admission of online requests at one entry, and usage reports to the rate coordinators."""

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
    """Thread-safe wrapper of :class:`CallerLimits` that reads the limits from the settings.

    :param entry_id: instance id of the entry. It determines the phase of the gates (see
        :class:`CallerLimits`), so that the entries do not all admit at the same moments.
    """

    def __init__(
        self, entry_id: str, settings: SettingsService, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._lock = Lock()
        self._limits = CallerLimits(blake2b(entry_id.encode(), digest_size=1).digest()[0] / 256)

    def check(self, caller: str) -> None:
        """Count a request of a caller and check that it may be admitted.

        :raises RefusedError: with code ``CALLER_LIMIT`` if the caller exceeds its limit, or
            ``OVERLOADED`` if the targets are overloaded and the caller exceeds its fair share.
        """
        limit = limit_for_caller(self._settings.current(), caller)
        with self._lock:
            decision = self._limits.admit(caller, limit, self._clock.monotonic_ms())
        if decision.is_admitted:
            return
        code = ResultCode.OVERLOADED if decision.is_overload else ResultCode.CALLER_LIMIT
        self._metrics.count(code.name.lower())
        raise RefusedError(code=code, retry_after_ms=decision.retry_after_ms)

    def take_usages(self) -> list[CallerUsage]:
        """Return the usage since the last call and reset it."""
        with self._lock:
            return self._limits.take_usages(self._clock.monotonic_ms())

    def apply_shares(self, shares: CallerShares) -> None:
        """Apply a coordinator's reply."""
        with self._lock:
            self._limits.apply_shares(shares.shares, self._clock.monotonic_ms())

    def update_fair_shares(self, load: float) -> None:
        """Recompute the fair shares.

        :param load: mean online utilization of the targets; above 1 is overload.
        """
        with self._lock:
            self._limits.update_fair_shares(load, self._clock.monotonic_ms())


class UsageReporter(Task[None]):
    """Periodically sends usage to the rate coordinators and recomputes the fair shares.

    :param link: sends the reports.
    """

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
        """Do nothing; the reporter receives no messages."""

    def next_timer_ms(self) -> float | None:
        return self._next_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_ms = now_ms + USAGE_INTERVAL_MS
        targets = list(self._membership.targets().values())
        if now_ms >= self._next_fairness_ms:
            self._next_fairness_ms = now_ms + FAIRNESS_INTERVAL_MS
            self._admission.update_fair_shares(mean_utilization(targets))
        coordinators = choose_coordinators(targets)
        usages_by_coordinator: dict[str, list[CallerUsage]] = {}
        for usage in self._admission.take_usages():
            coordinator = coordinator_of(usage.caller, coordinators)
            if coordinator is not None:
                usages_by_coordinator.setdefault(coordinator, []).append(usage)
        for coordinator, usages in usages_by_coordinator.items():
            self._link.post(SendToAgent(coordinator, UsageDigest(tuple(usages))))
