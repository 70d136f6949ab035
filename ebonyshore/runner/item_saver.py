"""Stores the events of unfinished items, so that they are not lost with this runner."""

from asyncio import Task, create_task

from ebonyshore.frame.errors import StoreError, ValueTooLargeError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.saved_items import (
    MAX_SAVED_BYTES,
    make_saved_items,
    save_interval_ms,
    unsaved_work_ms,
)
from ebonyshore.store.platform_api import ABSENT_VERSION

FAILURE_PAUSE_MS = 1_000.0  # until the next job is tried after a failure
RETRY_DELAY_MS = 5_000.0  # until the same job is tried again
MIN_LIMIT_BYTES = 4_096
CHECK_INTERVAL_MS = 200.0  # between two looks for unsaved work


class ItemSaver:
    """Writes the unfinished items of one job at a time, first of the job with the most work.

    A write that fails is repeated later; a runner that stops does not wait for that. What is not
    stored is done again by the next owner.

    :param registry: the known jobs.
    :param load_table: tells the number of live runners, which share the rate of writes.
    :param limit_bytes: largest size of the items of a job in JSON; halved if the store takes less.
    """

    def __init__(
        self,
        registry: JobRegistry,
        load_table: LoadTable,
        log: EventLog,
        metrics: Metrics,
        limit_bytes: int = MAX_SAVED_BYTES,
    ) -> None:
        self._registry = registry
        self._load_table = load_table
        self._log = log
        self._metrics = metrics
        self._task: Task[None] | None = None
        self._limit_bytes = limit_bytes
        self._next_ms = float("-inf")
        self._versions: dict[str, int] = {}  # of the stored objects, by job id
        self._retry_ms: dict[str, float] = {}  # of the last write that failed, by job id

    def is_idle(self) -> bool:
        """Return whether a runner that stops has nothing left to store."""
        return self._task is None and self._choose_job(is_urgent=True) is None

    def step(self, is_urgent: bool = False) -> None:
        """Start the next write if one is due. To be called several times a second.

        :param is_urgent: whether to store all unfinished items, because this runner is about to
            release its jobs.
        """
        if self._task is not None or (now_ms() < self._next_ms and not is_urgent):
            return
        progress = self._choose_job(is_urgent)
        if progress is None:
            self._next_ms = now_ms() + CHECK_INTERVAL_MS
            return
        self._next_ms = now_ms() + save_interval_ms(1 + len(self._load_table.runners()))
        self._task = create_task(self._save(progress))

    def _choose_job(self, is_urgent: bool) -> JobProgress | None:
        owned = {progress.job_id: progress for progress in self._registry.owned_jobs()}
        self._versions = {key: known for key, known in self._versions.items() if key in owned}
        self._retry_ms = {key: at_ms for key, at_ms in self._retry_ms.items() if at_ms > now_ms()}
        jobs = {key: progress for key, progress in owned.items() if key not in self._retry_ms}
        work_ms = {
            job_id: unsaved_work_ms(progress, now_ms(), is_urgent)
            for job_id, progress in jobs.items()
        }
        job_id = max(work_ms, key=work_ms.__getitem__, default=None)
        return jobs[job_id] if job_id is not None and work_ms[job_id] else None

    async def _save(self, progress: JobProgress) -> None:
        job_id, storage = progress.job_id, self._registry.storage
        saved = make_saved_items(progress, now_ms(), self._limit_bytes)
        version = self._versions.get(job_id, ABSENT_VERSION)
        try:
            self._versions[job_id] = await self._registry.run_blocking(
                storage.save_items, job_id, saved, version
            )
        except WriteConflictError:
            await self._read_version(job_id)
        except StoreError as error:
            if isinstance(error, ValueTooLargeError):
                self._limit_bytes = max(MIN_LIMIT_BYTES, self._limit_bytes // 2)
            self._delay(job_id, error)
        else:
            for item in saved.items:
                progress.items[item.index].saved_slot_ms = item.slot_ms
            self._metrics.count("items_saved", len(saved.items))
            self._log.event("items_saved", job=job_id, items=len(saved.items))
        finally:
            self._task = None
            self._registry.on_change()

    async def _read_version(self, job_id: str) -> None:
        """Read the version that a previous owner has stored."""
        try:
            self._versions[job_id] = await self._registry.run_blocking(
                self._registry.storage.saved_items_version, job_id
            )
        except StoreError as error:
            self._delay(job_id, error)

    def _delay(self, job_id: str, error: StoreError) -> None:
        self._next_ms = now_ms() + FAILURE_PAUSE_MS
        self._retry_ms[job_id] = now_ms() + RETRY_DELAY_MS
        self._log.event("items_not_saved", job=job_id, error=str(error))
