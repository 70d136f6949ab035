"""Claims jobs that have no live owner, and releases this runner's own jobs.

A new owner first stores an empty segment as a fence. A write of the previous owner that arrives
later then conflicts, so the store never holds results that the new owner does not know.
"""

from asyncio import Task, create_task

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import ResultSegment
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner.claim_policy import OwnerActivity, may_claim
from ebonyshore.runner.item_plan import preferred_runner
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_registry import JobRegistry, KnownJob
from ebonyshore.runner.saved_items import restore_items

CLAIM_RETRY_DELAY_MS = 500.0
MAX_FENCE_ATTEMPTS = 5


class ActiveClaim(Struct):
    """A claim that is in progress.

    :param previous_owner: instance id of the owner in the job record; empty if there is none.
    :param task: carries out the claim.
    """

    previous_owner: str
    task: Task[None]


class JobClaims:
    """Claims jobs for this runner and releases them.

    :param registry: the known jobs.
    :param load_table: tells which runners are live and when each was last active.
    """

    def __init__(
        self, registry: JobRegistry, load_table: LoadTable, clock: Clock, log: EventLog
    ) -> None:
        self._registry = registry
        self._load_table = load_table
        self._clock = clock
        self._log = log
        self._claims: dict[str, ActiveClaim] = {}
        self._started_ms = 0.0

    def note_start(self) -> None:
        """Set the start time, which counts as the last activity of owners not heard from yet."""
        self._started_ms = self._clock.boot_ms()

    def owners_being_replaced(self) -> set[str]:
        """Return the instance ids of the owners from which this runner is claiming jobs."""
        return {claim.previous_owner for claim in self._claims.values()}

    def claim_unowned_jobs(self) -> None:
        """Start to claim jobs that have no live owner, unless this runner is leaving.

        To be called several times a second.
        """
        if self._registry.is_leaving:
            return
        now_ms = self._clock.boot_ms()
        runners = [self._registry.own_id, *self._load_table.runners()]
        for job in self._registry.known_jobs():
            if job.job_id not in self._claims and self._should_claim(job, runners, now_ms):
                task = create_task(self._claim(job))
                self._claims[job.job_id] = ActiveClaim(job.record.owner, task)

    async def release_jobs(self) -> None:
        """Release all unfinished jobs of this runner, so that other runners can claim them."""
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

    def _should_claim(self, job: KnownJob, runners: list[str], now_ms: float) -> bool:
        record, progress = job.record, job.progress
        if record.is_cancelled or (progress is not None and progress.is_finished):
            return False
        if now_ms < job.claim_not_before_ms:
            return False
        if self._registry.is_owner(record):
            # An own job has to be claimed again as long as no claim of it was completed.
            return progress is None or progress.writable_epoch != record.epoch
        own_id = self._registry.own_id
        is_preferred = preferred_runner(job.job_id, runners) == own_id
        owner_seen = self._load_table.last_seen(record.owner)
        activity = OwnerActivity(
            last_active_ms=owner_seen.at_ms if owner_seen else self._started_ms,
            last_record_change_ms=job.record_changed_ms,
            incarnation=owner_seen.incarnation if owner_seen else "",
        )
        return may_claim(record, own_id, is_preferred, activity, now_ms)

    async def _claim(self, job: KnownJob) -> None:
        try:
            await self._take_over(job)
        except WriteConflictError:
            self._log.event("job_claim_lost", job=job.job_id)
        except StoreError as error:
            self._log.event("job_claim_failed", job=job.job_id, error=str(error))
        finally:
            job.claim_not_before_ms = self._clock.boot_ms() + CLAIM_RETRY_DELAY_MS
            del self._claims[job.job_id]
            self._registry.on_change()

    async def _take_over(self, job: KnownJob) -> None:
        registry = self._registry
        progress = await registry.load_progress(job)
        if progress.is_finished:
            return
        stored = claimed = job.marked_record
        if not registry.is_owner(stored.body):
            claimed = await registry.run_blocking(
                registry.storage.claim, stored, registry.own_id, registry.incarnation
            )
            registry.update_record(claimed)
        if claimed.body.epoch > 1:
            await self._restore_items(progress)
        await self._start_epoch(progress, claimed.body.epoch, stored.body.owner)
        self._log.event(
            "job_claimed",
            job=job.job_id,
            previous=stored.body.owner,
            epoch=stored.body.epoch,
        )

    async def _restore_items(self, progress: JobProgress) -> None:
        """Let items go on after the events that a previous owner has stored.

        If these cannot be read the items start again.
        """
        registry = self._registry
        try:
            saved = await registry.run_blocking(registry.storage.read_saved_items, progress.job_id)
        except StoreError as error:
            self._log.event("items_not_restored", job=progress.job_id, error=str(error))
            return
        restored = restore_items(progress, saved) if saved is not None else 0
        if restored:
            self._log.event("items_restored", job=progress.job_id, items=restored)

    async def _start_epoch(self, progress: JobProgress, epoch: int, previous_owner: str) -> None:
        """Make sure that no previous owner can list results of a claimed job any more.

        A fence is not needed for the first owner of a job, nor if the previous owner has released
        the job, since it completes its writes before it does so.

        :param epoch: epoch of the claim.
        :param previous_owner: owner before the claim; empty if the job was free.
        :raises WriteConflictError: if other writers have used each segment number that was tried.
        """
        if epoch > 1 and previous_owner:
            await self._store_fence_segment(progress, epoch)
        progress.writable_epoch = epoch

    async def _store_fence_segment(self, progress: JobProgress, epoch: int) -> None:
        registry = self._registry
        fence = ResultSegment((), epoch)
        for _ in range(MAX_FENCE_ATTEMPTS):
            number = progress.next_segment
            try:
                await registry.run_blocking(
                    registry.storage.append_segment, progress.job_id, number, fence
                )
            except WriteConflictError:
                await registry.load_segments(progress)
                if progress.highest_segment_epoch >= epoch:
                    return  # an earlier attempt stored the fence, or a later owner has started
            else:
                progress.apply_segments(number, [fence])
                return
        raise WriteConflictError(
            f"fence of job {progress.job_id} not stored: other writers used"
            f" {MAX_FENCE_ATTEMPTS} segment numbers in succession"
        )
