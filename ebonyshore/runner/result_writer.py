"""Stores the results of owned jobs in segments, and lists them once they are stored."""

from asyncio import Task, create_task, sleep

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import (
    StoreError,
    ValueTooLargeError,
    WriteConflictError,
    WriteRefusedError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.job_types import JobRecord
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.pending_results import RefusalAction

LINGER_MS = 800.0  # time to collect results for one segment, since each call to the store is priced
DUE_LINGER_MS = 100.0  # the same for jobs whose results are due soon or overdue
DUE_MARGIN_MS = 2_500.0  # how long before they are due results count as due soon
FAILURE_LINGER_MS = 20.0  # less than an item waits for its next run after a failure
RETRY_DELAY_MS = 300.0


def linger_ms(record: JobRecord, wall_ms: float) -> float:
    """Return how long a result waits for further results of the job before it is stored.

    :param record: the job.
    :param wall_ms: current wall clock time.
    """
    due_ms = record.submitted_ms + record.completion_target_ms
    return DUE_LINGER_MS if wall_ms > due_ms - DUE_MARGIN_MS else LINGER_MS


def _has_pending(progress: JobProgress) -> bool:
    return bool(progress.pending_count) or progress.has_unsaved_failures


class ResultWriter:
    """Writes result segments, one at a time for each job.

    After a failed write one job at a time is tried until a write succeeds, since a store that fails
    does so for all jobs, and each call has a price.
    """

    def __init__(
        self, registry: JobRegistry, clock: Clock, log: EventLog, metrics: Metrics
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._writes: dict[str, Task[None]] = {}
        self._failed_job_id: str | None = None  # of the last write, if that failed

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be stored."""
        return not self._writes and not any(
            _has_pending(progress) for progress in self._registry.owned_jobs()
        )

    def start_due_writes(self, is_urgent: bool = False) -> None:
        """Start the writes that are due.

        :param is_urgent: whether to write all pending results at once, because this runner is about
            to release its jobs.
        """
        due = [
            progress
            for progress in self._registry.owned_jobs()
            if progress.job_id not in self._writes and self._is_due(progress, is_urgent)
        ]
        if self._failed_job_id is not None:
            # Another job is tried first, in case that the failure was one of the job alone.
            due.sort(key=lambda progress: progress.job_id == self._failed_job_id)
            del due[0 if self._writes else 1 :]
        for progress in due:
            self._writes[progress.job_id] = create_task(self._write(progress))

    def _is_due(self, progress: JobProgress, is_urgent: bool) -> bool:
        if not _has_pending(progress):
            return False
        if is_urgent or not progress.open_count:
            return True
        pending_ms = now_ms() - progress.pending_since_ms
        if progress.has_unsaved_failures:
            return pending_ms >= FAILURE_LINGER_MS
        return pending_ms >= linger_ms(progress.record, self._clock.wall_ms())

    async def _write(self, progress: JobProgress) -> None:
        registry = self._registry
        segment = progress.build_segment()
        number = progress.next_segment
        try:
            await registry.run_blocking(
                registry.storage.append_segment, progress.job_id, number, segment
            )
            self._failed_job_id = None
            known_count = progress.listed_count
            progress.apply_segments(number, [segment])
            self._metrics.count("results_listed", progress.listed_count - known_count)
            self._log.event(
                "results_listed",
                job=progress.job_id,
                segment=number,
                results=progress.listed_count - known_count,
                listed=progress.listed_count,
            )
        except WriteConflictError:
            self._failed_job_id = None
            await self._apply_stored_segments(progress, number)
        except WriteRefusedError as error:
            await self._handle_refusal(progress, error)
        except StoreError as error:
            self._failed_job_id = progress.job_id
            self._log.event("results_not_stored", job=progress.job_id, error=str(error))
            await sleep(RETRY_DELAY_MS / MS_PER_S)
        finally:
            del self._writes[progress.job_id]
            registry.notify_results(progress.job_id)
            registry.on_change()

    async def _handle_refusal(self, progress: JobProgress, error: WriteRefusedError) -> None:
        """Make the next segment smaller; a result that no segment can hold is given up."""
        refusal = progress.refuse_segment(isinstance(error, ValueTooLargeError))
        if refusal.is_first:
            self._log.event("segment_refused", job=progress.job_id, error=str(error))
        if refusal.action is RefusalAction.GIVE_UP:
            self._metrics.count("results_refused")
            self._log.event(
                "result_refused",
                job=progress.job_id,
                item=progress.items[refusal.index].item_id,
                error=str(error),
            )
        elif refusal.action is RefusalAction.RETRY_LATER:
            await sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _apply_stored_segments(self, progress: JobProgress, number: int) -> None:
        """List the segments in the store after another write has used this segment number."""
        registry = self._registry
        try:
            segments = await registry.run_blocking(
                registry.storage.read_segments, progress.job_id, number
            )
            progress.apply_segments(number, segments)
        except StoreError as error:
            self._log.event("segments_unread", job=progress.job_id, error=str(error))
            await sleep(RETRY_DELAY_MS / MS_PER_S)
            return
        self._log.event(
            "segment_conflict", job=progress.job_id, segment=number, found=len(segments)
        )
