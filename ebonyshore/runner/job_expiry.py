"""Removes jobs from the store after the time in which callers may ask for them."""

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner.job_registry import JobRegistry

# Items are given up only after their job's retention time; this leaves time to list their results.
EXPIRY_MARGIN_MS = 60_000.0


def is_expired(record: JobRecord, result_retention_ms: float, known_for_ms: float) -> bool:
    """Return whether a job is old enough to be removed with its results.

    :param record: the job.
    :param result_retention_ms: time after submission for which results stay readable.
    :param known_for_ms: time that the job has been known, a lower bound of its age.
    """
    return known_for_ms > max(result_retention_ms, record.retention_ms) + EXPIRY_MARGIN_MS


class JobExpiry(PeriodicService):
    """Removes expired jobs periodically.

    The service runs in every runner, but only the live runner with the lowest id removes jobs. Jobs
    with unfinished items are kept unless they are cancelled.

    :param registry: the known jobs.
    :param load_table: tells whether this runner has the lowest id of the live ones.
    :param result_retention_ms: time after submission for which results stay readable.
    """

    name = "job_expiry"
    interval_ms = 5_000.0

    def __init__(
        self,
        registry: JobRegistry,
        load_table: LoadTable,
        result_retention_ms: float,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._load_table = load_table
        self._result_retention_ms = result_retention_ms
        self._log = log

    async def run_once(self) -> None:
        if self._load_table.has_lowest_runner_id():
            await self.remove_expired()

    async def remove_expired(self) -> None:
        """Remove all expired jobs; failures are logged and retried in the next period."""
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
