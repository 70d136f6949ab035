"""Removes jobs from the store once nobody may ask for them any more."""

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.runner.job_registry import JobRegistry

MARGIN_MS = 60_000.0  # clocks differ, and a job may have been sent well before it was accepted


def is_expired(record: JobRecord, result_retention_ms: float, wall_ms: float) -> bool:
    """Return whether a job and its results may be removed.

    Items that have not ended are given up after the job's own retention.
    """
    kept_ms = max(result_retention_ms, record.retention_ms) + MARGIN_MS
    return wall_ms > record.submitted_ms + kept_ms


class JobExpiry(PeriodicService):
    """Runs in every runner; the first live one removes.

    :param result_retention_ms: how long results stay readable after a job was submitted.
    """

    name = "job_expiry"
    interval_ms = 5_000.0

    def __init__(
        self,
        registry: JobRegistry,
        board: LoadBoard,
        result_retention_ms: float,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._board = board
        self._result_retention_ms = result_retention_ms
        self._clock = clock
        self._log = log

    async def run_once(self) -> None:
        if self._board.is_first_runner():
            await self.remove_expired()

    async def remove_expired(self) -> None:
        """Remove the jobs that have expired by now."""
        wall_ms = self._clock.wall_ms()
        for found in self._registry.all_records():
            if is_expired(found.body, self._result_retention_ms, wall_ms):
                await self._remove(found.body)

    async def _remove(self, record: JobRecord) -> None:
        try:
            await self._registry.call(self._registry.storage.delete, record)
        except StoreError as error:
            self._log.event("job_not_removed", job=record.job_id, error=str(error))
        else:
            self._registry.forget(record.job_id)
            self._log.event("job_removed", job=record.job_id)
