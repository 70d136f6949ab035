"""The clean-up duty: one entry at a time, under a lease, sweeps the stored objects."""

from collections.abc import Callable
from typing import Protocol

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.task import PeriodicTask
from ebonyshore.store.lease import Lease

DUTY = "clean-up"
# Every entry polls the lease four times per interval: with 380 entries, 13 reads/s.
LEASE_INTERVAL_MS = 120_000
# At 20 jobs per step, the 17,000 jobs of a day are swept in less than 4 hours.
STEPS_PER_POLL = 2


class Sweeper(Protocol):
    """Sweeps the stored objects of one kind, a few at a time."""

    def step(self) -> int:
        """Sweep the next objects and return the number of changes."""


class CleanupTask(PeriodicTask):
    """Polls the lease of the duty and runs the sweepers while it is held.

    :param lease: lease of the duty; must not be used by anything else.
    :param sweepers: sweepers by the name under which their changes are counted. Each change is a
        conditional write that is correct whichever process makes it, so the lease only saves calls.
    :param is_ready: returns whether the settings that the sweepers depend on are in force.
    """

    def __init__(
        self,
        lease: Lease,
        sweepers: dict[str, Sweeper],
        is_ready: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__(DUTY, clock)
        self._lease = lease
        self._sweepers = sweepers
        self._is_ready = is_ready
        self._metrics = metrics
        self._log = log

    def interval_ms(self) -> float:
        return self._lease.renewal_interval_ms()

    def run_once(self) -> None:
        if self._is_ready() and self._lease.acquire_or_renew():
            self._run_sweepers()

    def stop(self) -> None:
        super().stop()
        self._lease.release()

    def _run_sweepers(self) -> None:
        for name, sweeper in self._sweepers.items():
            for _ in range(STEPS_PER_POLL):
                if not self._lease.is_valid:
                    return
                try:
                    self._metrics.count(f"swept_{name}", sweeper.step())
                except EbonyshoreError as error:
                    self._log.event("sweep_failed", sweeper=name, detail=str(error))
                    break
