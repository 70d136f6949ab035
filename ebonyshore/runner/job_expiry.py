"""Removes jobs from the store once nobody may ask for them any more."""

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.runner.job_registry import JobRegistry

MARGIN_MS = 60_000.0  # for items that are given up after the job's own retention


def is_expired(record: JobRecord, result_retention_ms: float, known_for_ms: float) -> bool:
    """Return whether a job is old enough to be removed with its results.

    :param known_for_ms: for how long the job has been known at least.
    """
    return known_for_ms > max(result_retention_ms, record.retention_ms) + MARGIN_MS


class JobExpiry(PeriodicService):
    """Runs in every runner; the first live one removes. A job that is still open is kept.

    :param result_retention_ms: how long results stay readable after a job was submitted.
    """

    name = "job_expiry"
    interval_ms = 5_000.0

    def __init__(
        self,
        registry: JobRegistry,
        board: LoadBoard,
        result_retention_ms: float,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._board = board
        self._result_retention_ms = result_retention_ms
        self._log = log

    async def run_once(self) -> None:
        if self._board.is_first_runner():
            await self.remove_expired()

    async def remove_expired(self) -> None:
        """Remove the jobs that have expired by now."""
        for job in self._registry.known_jobs():
            known_for_ms = self._registry.known_for_ms(job.job_id)
            if is_expired(job.record, self._result_retention_ms, known_for_ms):
                await self._remove(job.record)

    async def _remove(self, record: JobRecord) -> None:
        try:
            progress = await self._registry.read_progress(record.job_id)
            if progress and not (progress.is_finished or progress.record.is_cancelled):
                return
            await self._registry.run_blocking(self._registry.storage.delete, record)
        except StoreError as error:
            self._log.event("job_not_removed", job=record.job_id, error=str(error))
        else:
            self._registry.remove(record.job_id)
            self._log.event("job_removed", job=record.job_id)
