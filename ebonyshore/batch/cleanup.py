"""The clean-up duty: one entry, under a lease, takes small steps through what is stored."""

from collections.abc import Callable
from typing import Protocol

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.task import PeriodicTask
from ebonyshore.store.lease import Lease

DUTY = "clean-up"
# Every entry polls the lease four times in the interval: 380 entries make 13 reads/s.
LEASE_INTERVAL_MS = 120_000
# With 20 jobs a step, the 17,000 jobs of a day are looked at in less than 4 hours.
STEPS_PER_POLL = 2


class Sweeper(Protocol):
    """Goes through one kind of objects."""

    def step(self) -> int:
        """Check a few objects and return how many were changed."""


class CleanupTask(PeriodicTask):
    """Polls the lease of the duty and sweeps while it is held.

    :param lease: of the duty; used by this task alone.
    :param is_ready: whether the settings that sweepers depend on are in force.
    :param sweepers: by the name under which their changes are counted. Each change is a conditional
        write that is right whoever makes it, so the lease only saves calls.
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
        return self._lease.poll_interval_ms()

    def run_once(self) -> None:
        if self._is_ready() and self._lease.poll():
            self._sweep()

    def stop(self) -> None:
        super().stop()
        self._lease.release()

    def _sweep(self) -> None:
        for name, sweeper in self._sweepers.items():
            for _ in range(STEPS_PER_POLL):
                if not self._lease.is_valid:
                    return
                try:
                    self._metrics.count(f"swept_{name}", sweeper.step())
                except EbonyshoreError as error:
                    self._log.event("sweep_failed", sweeper=name, detail=str(error))
                    break
