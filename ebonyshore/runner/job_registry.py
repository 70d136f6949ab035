"""The jobs that a runner knows, and which of them it owns.

Every runner hears every job record. A job whose owner is gone, or that has none, is claimed by one
of the live runners. Owning a job only decides who spends work on it: results stay right if two
runners own one for a while. A new owner first stores a segment, so that what the former one still
stores later conflicts and cannot be missing from the new owner's memory.
"""

from asyncio import Event, Task, create_task, get_running_loop
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import TypeVar

from msgspec import DecodeError

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord, ResultSegment
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.runner.claim_policy import OwnerSigns, may_claim
from ebonyshore.runner.item_plan import first_choice
from ebonyshore.runner.job_progress import ItemState, JobProgress
from ebonyshore.runner.job_storage import JobStorage, job_name
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedObject
from ebonyshore.store.platform_api import StoredObject

CLAIM_RETRY_MS = 500.0
MAX_FENCE_TRIES = 5

ResultT = TypeVar("ResultT")


class JobRegistry(KindListener):
    """Holds records and jobs.

    :param own_id: instance id of this runner.
    :param incarnation: run of this process.
    :param board: tells which runners live.
    :param peers: all runners that are registered, live or not.
    :param executor: runs calls to the store.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: str,
        storage: JobStorage,
        board: LoadBoard,
        peers: PeerDirectory,
        clock: Clock,
        executor: Executor,
        log: EventLog,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.storage = storage
        self._board = board
        self._peers = peers
        self._clock = clock
        self._executor = executor
        self._log = log
        self._records: dict[str, MarkedObject[JobRecord]] = {}
        self._progress: dict[str, JobProgress] = {}
        self._news: dict[str, Event] = {}
        self._claims: dict[str, Task[None]] = {}
        self._claimed_from: dict[str, str] = {}
        self._claim_not_before_ms: dict[str, float] = {}
        self._record_ms: dict[str, float] = {}
        self._first_seen_ms: dict[str, float] = {}
        self._started_ms = 0.0
        self.is_leaving = False
        self.on_change: Callable[[], None] = lambda: None

    def begin(self) -> None:
        """Note the start; owners have from then on to be heard."""
        self._started_ms = self._clock.boot_ms()

    def is_certain(self, progress: JobProgress) -> bool:
        """Return whether this runner has a job and no other one can have taken it over by now.

        A runner claims a job only when it has not heard the owner for a while, and does not say
        that it hears it before the claim has ended. So an owner is certain if it has asked the
        store since every registered runner has been hearing it.
        """
        now_ms = self._clock.boot_ms()
        return self.holds(progress) and all(
            self._board.is_mutual_since(peer, progress.checked_ms, now_ms)
            for peer in self._peers.of_role("runner")
        )

    def owners_being_replaced(self) -> set[str]:
        """Return the owners that this runner is claiming jobs from."""
        return set(self._claimed_from.values())

    async def call(self, function: Callable[..., ResultT], *arguments) -> ResultT:
        """Run a blocking call to the store on a thread."""
        return await get_running_loop().run_in_executor(self._executor, function, *arguments)

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            if found.value is None:
                self._forget_key(found.key)
                continue
            try:
                self.note(self.storage.decode(found))
            except DecodeError as error:
                self._log.event("job_unreadable", key=found.key, error=str(error))

    def note(self, found: MarkedObject[JobRecord]) -> None:
        """Take a record; older ones than known are ignored."""
        job_id = found.body.job_id
        known = self._records.get(job_id)
        if known is not None and known.version >= found.version:
            return
        self._records[job_id] = found
        self._record_ms[job_id] = self._clock.boot_ms()
        self._first_seen_ms.setdefault(job_id, self._record_ms[job_id])
        progress = self._progress.get(job_id)
        if progress is not None:
            progress.record = found.body
            progress.version = found.version
        self.on_change()

    def add_own(self, found: MarkedObject[JobRecord], asked_ms: float) -> None:
        """Take a job that was just stored with this runner as its owner.

        :param asked_ms: when the store was asked to.
        """
        self.note(found)
        record = found.body
        if record.job_id not in self._progress and self.owns(record) and record.epoch <= 1:
            progress = JobProgress(record, found.version)
            progress.checked_ms = asked_ms
            progress.ready_epoch = record.epoch
            self._progress[record.job_id] = progress
        self.on_change()

    def owns(self, record: JobRecord) -> bool:
        """Return whether this process is the owner."""
        return record.owner == self.own_id and record.owner_incarnation == self.incarnation

    def holds(self, progress: JobProgress) -> bool:
        """Return whether this process may list results of a job, as far as it knows."""
        record = progress.record
        is_ready = progress.ready_epoch == record.epoch
        return self.owns(record) and is_ready and progress.writer_epoch <= record.epoch

    def owned(self) -> list[JobProgress]:
        """Return the jobs that this process runs, those due first at the front."""
        jobs = [progress for progress in self._progress.values() if self.holds(progress)]
        return sorted(jobs, key=lambda progress: (progress.record.submitted_ms, progress.job_id))

    def known_for_ms(self, job_id: str) -> float:
        """Return for how long this process has known a job; the job is at least as old.

        A step of the time of day does not change it.
        """
        now_ms = self._clock.boot_ms()
        return now_ms - self._first_seen_ms.get(job_id, now_ms)

    def open_items(self) -> int:
        """Return how many items of owned jobs have no result yet."""
        return sum(progress.open_count for progress in self.owned())

    def all_records(self) -> list[MarkedObject[JobRecord]]:
        """Return all known records."""
        return list(self._records.values())

    async def read_progress(self, job_id: str) -> JobProgress | None:
        """Return a job's progress as the store has it, or ``None`` if there is no such job.

        :raises StoreError: if the store does not answer.
        """
        progress = self._progress.get(job_id)
        if progress is not None and self._is_current(progress):
            return progress
        if job_id not in self._records:
            found = await self.call(self.storage.read, job_id)
            if found is None:
                return None
            self.note(found)
        return await self._load(job_id)

    def _is_current(self, progress: JobProgress) -> bool:
        """Return whether the store cannot hold more results than is known here."""
        return progress.is_finished or self.is_certain(progress)

    async def wait_for_news(self, job_id: str) -> None:
        """Wait until results of a job are listed."""
        await self._news.setdefault(job_id, Event()).wait()

    def tell_news(self, job_id: str) -> None:
        """Wake those who wait for results."""
        event = self._news.pop(job_id, None)
        if event is not None:
            event.set()

    def claim_free(self) -> None:
        """Begin to claim jobs that have no live owner; call several times a second."""
        if self.is_leaving:
            return
        now_ms = self._clock.boot_ms()
        runners = [self.own_id, *self._board.runners()]
        for job_id, found in self._records.items():
            if job_id not in self._claims and self._is_to_claim(found.body, runners, now_ms):
                self._claimed_from[job_id] = found.body.owner
                self._claims[job_id] = create_task(self._claim(job_id))

    async def release_all(self) -> None:
        """Give up the owned jobs that are not finished, so that other runners go on."""
        self.is_leaving = True
        for progress in self.owned():
            if progress.is_finished or progress.record.is_cancelled:
                continue
            try:
                found = self._records[progress.job_id]
                self.note(await self.call(self.storage.claim, found, "", ""))
            except StoreError as error:
                self._log.event("job_release_failed", job=progress.job_id, error=str(error))

    def _is_to_claim(self, record: JobRecord, runners: list[str], now_ms: float) -> bool:
        job_id = record.job_id
        progress = self._progress.get(job_id)
        if record.is_cancelled or (progress is not None and progress.is_finished):
            return False
        if now_ms < self._claim_not_before_ms.get(job_id, 0.0):
            return False
        if self.owns(record):
            return progress is None or progress.ready_epoch != record.epoch
        is_first_choice = first_choice(job_id, runners) == self.own_id
        sign = self._board.sign_of(record.owner)
        signs = OwnerSigns(
            heard_ms=sign.at_ms if sign else self._started_ms,
            record_ms=self._record_ms[job_id],
            incarnation=sign.incarnation if sign else "",
        )
        return may_claim(record, self.own_id, is_first_choice, signs, now_ms)

    async def _claim(self, job_id: str) -> None:
        try:
            await self._load(job_id)
            found = self._records[job_id]
            if self._progress[job_id].is_finished:
                return
            claimed = found
            if not self.owns(found.body):
                claimed = await self.call(self.storage.claim, found, self.own_id, self.incarnation)
                self.note(claimed)
            await self._begin_epoch(self._progress[job_id], claimed.body.epoch, found.body.owner)
            self._log.event(
                "job_claimed", job=job_id, previous=found.body.owner, epoch=found.body.epoch
            )
        except WriteConflictError:
            self._log.event("job_claim_lost", job=job_id)
        except StoreError as error:
            self._log.event("job_claim_failed", job=job_id, error=str(error))
        finally:
            self._claim_not_before_ms[job_id] = self._clock.boot_ms() + CLAIM_RETRY_MS
            del self._claims[job_id]
            del self._claimed_from[job_id]
            self.on_change()

    async def _begin_epoch(self, progress: JobProgress, epoch: int, former_owner: str) -> None:
        """Make sure that no former owner lists results of a claimed job any more.

        An owner that has released the job has ended its writes before.

        :raises WriteConflictError: if other writers took each number that was tried.
        """
        if epoch > 1 and former_owner:
            await self._store_fence(progress, epoch)
        progress.ready_epoch = epoch

    async def _store_fence(self, progress: JobProgress, epoch: int) -> None:
        fence = ResultSegment((), epoch)
        for _ in range(MAX_FENCE_TRIES):
            number = progress.next_segment
            try:
                await self.call(self.storage.append, progress.job_id, number, fence)
            except WriteConflictError:
                await self._load(progress.job_id)
                if progress.writer_epoch >= epoch:
                    return  # stored by an earlier try, or a later owner has begun
            else:
                progress.apply_from(number, [fence])
                return
        raise WriteConflictError(f"{progress.job_id}: other writers took {MAX_FENCE_TRIES} numbers")

    async def _load(self, job_id: str) -> JobProgress:
        """Bring a job's progress to what the store has listed."""
        found = self._records[job_id]
        progress = self._progress.get(job_id) or JobProgress(found.body, found.version)
        first, asked_ms = progress.next_segment, self._clock.boot_ms()
        segments = await self.call(self.storage.segments, job_id, first)
        if found.body.body_parts and not progress.bodies:
            progress.bodies = await self.call(self.storage.bodies, found.body)
        known = self._progress.setdefault(job_id, progress)
        known.apply_from(first, segments)
        known.checked_ms = max(known.checked_ms, asked_ms)
        known.bodies = known.bodies or progress.bodies
        if segments:
            self.tell_news(job_id)
        return known

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job that is no longer stored."""
        self._records.pop(job_id, None)
        self._progress.pop(job_id, None)
        self._claim_not_before_ms.pop(job_id, None)
        self._record_ms.pop(job_id, None)
        self._first_seen_ms.pop(job_id, None)

    def _forget_key(self, key: str) -> None:
        name = key.split("/", 1)[1]
        for job_id in [known for known in self._records if job_name(known) == name]:
            self.forget(job_id)

    def dump(self) -> dict[str, object]:
        """Return the state of each known job."""
        return {
            job_id: {
                "owner": found.body.owner,
                "epoch": found.body.epoch,
                "is_cancelled": found.body.is_cancelled,
                "listed": (
                    progress.listed_count if (progress := self._progress.get(job_id)) else None
                ),
                "running": _running(progress) if progress else 0,
            }
            for job_id, found in self._records.items()
        }


def _running(progress: JobProgress) -> int:
    return sum(item.state is ItemState.RUNNING for item in progress.items)
