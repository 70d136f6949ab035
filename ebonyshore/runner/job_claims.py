"""Takes over jobs that have no live owner, and gives the own ones up.

A new owner first stores a segment, so that what the former one still stores later conflicts and
cannot be missing from the new owner's memory.
"""

from asyncio import Task, create_task

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import ResultSegment
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.runner.claim_policy import OwnerActivity, may_claim
from ebonyshore.runner.item_plan import preferred_runner
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_registry import JobRegistry, KnownJob

CLAIM_RETRY_MS = 500.0
MAX_FENCE_TRIES = 5


class PendingClaim(Struct):
    """A claim on its way.

    :param former_owner: instance that the job's record named; empty if none.
    """

    previous_owner: str
    task: Task[None]


class JobClaims:
    """Claims jobs for this runner.

    :param board: tells which runners live.
    """

    def __init__(
        self, registry: JobRegistry, board: LoadBoard, clock: Clock, log: EventLog
    ) -> None:
        self._registry = registry
        self._board = board
        self._clock = clock
        self._log = log
        self._claims: dict[str, PendingClaim] = {}
        self._started_ms = 0.0

    def note_start(self) -> None:
        """Note the start; owners have from then on to be heard."""
        self._started_ms = self._clock.boot_ms()

    def owners_being_replaced(self) -> set[str]:
        """Return the owners that this runner is claiming jobs from."""
        return {claim.previous_owner for claim in self._claims.values()}

    def claim_unowned_jobs(self) -> None:
        """Begin to claim jobs that have no live owner; call several times a second."""
        if self._registry.is_leaving:
            return
        now_ms = self._clock.boot_ms()
        runners = [self._registry.own_id, *self._board.runners()]
        for job in self._registry.known_jobs():
            if job.job_id not in self._claims and self._is_to_claim(job, runners, now_ms):
                task = create_task(self._claim(job))
                self._claims[job.job_id] = PendingClaim(job.record.owner, task)

    async def release_jobs(self) -> None:
        """Give up the owned jobs that are not finished, so that other runners go on."""
        registry = self._registry
        registry.is_leaving = True
        for job in registry.known_jobs():
            progress = job.progress
            if progress is None or not registry.can_list_results(progress):
                continue
            if progress.is_finished or progress.record.is_cancelled:
                continue
            try:
                registry.update_record(
                    await registry.run_blocking(registry.storage.claim, job.marked_record, "", "")
                )
            except StoreError as error:
                self._log.event("job_release_failed", job=job.job_id, error=str(error))

    def _is_to_claim(self, job: KnownJob, runners: list[str], now_ms: float) -> bool:
        record, progress = job.record, job.progress
        if record.is_cancelled or (progress is not None and progress.is_finished):
            return False
        if now_ms < job.claim_not_before_ms:
            return False
        if self._registry.is_owner(record):
            return progress is None or progress.writable_epoch != record.epoch
        own_id = self._registry.own_id
        is_first_choice = preferred_runner(job.job_id, runners) == own_id
        sign = self._board.sign_of(record.owner)
        signs = OwnerActivity(
            last_heard_ms=sign.at_ms if sign else self._started_ms,
            record_changed_ms=job.record_changed_ms,
            incarnation=sign.incarnation if sign else "",
        )
        return may_claim(record, own_id, is_first_choice, signs, now_ms)

    async def _claim(self, job: KnownJob) -> None:
        try:
            await self._take_over(job)
        except WriteConflictError:
            self._log.event("job_claim_lost", job=job.job_id)
        except StoreError as error:
            self._log.event("job_claim_failed", job=job.job_id, error=str(error))
        finally:
            job.claim_not_before_ms = self._clock.boot_ms() + CLAIM_RETRY_MS
            del self._claims[job.job_id]
            self._registry.on_change()

    async def _take_over(self, job: KnownJob) -> None:
        registry = self._registry
        progress = await registry.load_progress(job)
        if progress.is_finished:
            return
        former = claimed = job.marked_record
        if not registry.is_owner(former.body):
            claimed = await registry.run_blocking(
                registry.storage.claim, former, registry.own_id, registry.incarnation
            )
            registry.update_record(claimed)
        await self._begin_epoch(progress, claimed.body.epoch, former.body.owner)
        self._log.event(
            "job_claimed",
            job=job.job_id,
            previous=former.body.owner,
            epoch=former.body.epoch,
        )

    async def _begin_epoch(self, progress: JobProgress, epoch: int, former_owner: str) -> None:
        """Make sure that no former owner lists results of a claimed job any more.

        An owner that has released the job has ended its writes before.

        :raises WriteConflictError: if other writers took each number that was tried.
        """
        if epoch > 1 and former_owner:
            await self._store_fence(progress, epoch)
        progress.writable_epoch = epoch

    async def _store_fence(self, progress: JobProgress, epoch: int) -> None:
        registry = self._registry
        fence = ResultSegment((), epoch)
        for _ in range(MAX_FENCE_TRIES):
            number = progress.next_segment
            try:
                await registry.run_blocking(
                    registry.storage.append_segment, progress.job_id, number, fence
                )
            except WriteConflictError:
                await registry.load_segments(progress)
                if progress.highest_segment_epoch >= epoch:
                    return  # stored by an earlier try, or a later owner has begun
            else:
                progress.apply_segments(number, [fence])
                return
        raise WriteConflictError(f"{progress.job_id}: other writers took {MAX_FENCE_TRIES} numbers")
