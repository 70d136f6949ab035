"""The jobs that a runner knows, and which of them it owns.

Every runner hears every job record. Owning a job only decides who spends work on it: results stay
right if two runners own one for a while.
"""

from asyncio import Event, get_running_loop
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import TypeVar

from msgspec import DecodeError

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.runner.job_progress import ItemState, JobProgress
from ebonyshore.runner.job_storage import JobStorage, job_object_name
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedObject
from ebonyshore.store.platform_api import StoredObject

ResultT = TypeVar("ResultT")


class KnownJob:
    """What this runner knows of one job; times are of the boot clock.

    :param found: the record as it was last heard.
    :param first_seen_ms: when the job was first heard of.

    ``changed_ms`` is when the record last changed, ``progress`` is ``None`` until results are read
    or listed here.
    """

    __slots__ = (
        "record_changed_ms",
        "claim_not_before_ms",
        "first_seen_ms",
        "marked_record",
        "progress",
    )

    def __init__(self, found: MarkedObject[JobRecord], first_seen_ms: float) -> None:
        self.marked_record = found
        self.first_seen_ms = first_seen_ms
        self.record_changed_ms = first_seen_ms
        self.claim_not_before_ms = 0.0
        self.progress: JobProgress | None = None

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.marked_record.body.job_id

    @property
    def record(self) -> JobRecord:
        """The job as it is stored."""
        return self.marked_record.body


class JobRegistry(KindListener):
    """Holds the known jobs.

    :param own_id: instance id of this runner.
    :param incarnation: run of this process.
    :param board: tells which runners hear this one.
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
        self._jobs: dict[str, KnownJob] = {}
        self._news: dict[str, Event] = {}
        self.is_leaving = False
        self.on_change: Callable[[], None] = lambda: None

    async def run_blocking(self, function: Callable[..., ResultT], *arguments) -> ResultT:
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
                self.update_record(self.storage.decode(found))
            except DecodeError as error:
                self._log.event("job_unreadable", key=found.key, error=str(error))

    def update_record(self, found: MarkedObject[JobRecord]) -> KnownJob:
        """Take a record and return the job; records older than the known one are ignored."""
        job_id = found.body.job_id
        now_ms = self._clock.boot_ms()
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = KnownJob(found, now_ms)
        elif job.marked_record.version >= found.version:
            return job
        job.marked_record = found
        job.record_changed_ms = now_ms
        if job.progress is not None:
            job.progress.record = found.body
        self.on_change()
        return job

    def add_accepted(self, found: MarkedObject[JobRecord], asked_ms: float) -> None:
        """Take a job that was just stored with this runner as its owner.

        :param asked_ms: when the store was asked to.
        """
        job = self.update_record(found)
        is_new = self.is_owner(found.body) and found.body.epoch <= 1
        # A job whose bodies are stored apart is claimed like one of an earlier run, and read then.
        if is_new and job.progress is None and not found.body.body_parts:
            job.progress = JobProgress(found.body)
            job.progress.synced_ms = asked_ms
            job.progress.writable_epoch = found.body.epoch
        self.on_change()

    def is_owner(self, record: JobRecord) -> bool:
        """Return whether this process is the owner."""
        return record.owner == self.own_id and record.owner_incarnation == self.incarnation

    def can_list_results(self, progress: JobProgress) -> bool:
        """Return whether this process may list results of a job, as far as it knows."""
        record = progress.record
        is_ready = progress.writable_epoch == record.epoch
        return self.is_owner(record) and is_ready and progress.highest_segment_epoch <= record.epoch

    def is_confirmed_owner(self, progress: JobProgress) -> bool:
        """Return whether this runner has a job and no other one can have taken it over by now.

        A runner claims a job only when it has not heard the owner for a while, and does not say
        that it hears it before the claim has ended. So an owner is certain if it has asked the
        store since every registered runner has been hearing it.
        """
        now_ms = self._clock.boot_ms()
        return self.can_list_results(progress) and all(
            self._board.is_mutual_since(peer, progress.synced_ms, now_ms)
            for peer in self._peers.of_role("runner")
        )

    def known_jobs(self) -> list[KnownJob]:
        """Return all known jobs."""
        return list(self._jobs.values())

    def owned_jobs(self) -> list[JobProgress]:
        """Return the jobs that this process runs, those due first at the front."""
        loaded = [job.progress for job in self._jobs.values() if job.progress is not None]
        jobs = [progress for progress in loaded if self.can_list_results(progress)]
        return sorted(jobs, key=lambda progress: (progress.record.submitted_ms, progress.job_id))

    def open_item_count(self) -> int:
        """Return how many items of owned jobs have no result yet."""
        return sum(progress.open_count for progress in self.owned_jobs())

    def known_for_ms(self, job_id: str) -> float:
        """Return for how long this process has known a job; the job is at least as old.

        A step of the time of day does not change it.
        """
        job = self._jobs.get(job_id)
        return self._clock.boot_ms() - job.first_seen_ms if job is not None else 0.0

    async def read_progress(self, job_id: str) -> JobProgress | None:
        """Return a job's progress as the store has it, or ``None`` if there is no such job.

        :raises StoreError: if the store does not answer.
        """
        job = self._jobs.get(job_id)
        if job is None:
            found = await self.run_blocking(self.storage.read, job_id)
            if found is None:
                return None
            job = self.update_record(found)
        if job.progress is not None and self._is_current(job.progress):
            return job.progress
        return await self.load_progress(job)

    def _is_current(self, progress: JobProgress) -> bool:
        """Return whether the store cannot hold more results than is known here."""
        return progress.is_finished or self.is_confirmed_owner(progress)

    async def load_progress(self, job: KnownJob) -> JobProgress:
        """Bring a job's progress to what the store has listed, and return it.

        :raises StoreError: if the store does not answer.
        """
        if job.progress is None:
            bodies = await self.run_blocking(self.storage.read_bodies, job.record)
            if job.progress is None:  # no other call came first
                job.progress = JobProgress(job.record, bodies)
        await self.load_segments(job.progress)
        return job.progress

    async def load_segments(self, progress: JobProgress) -> None:
        """Take the segments that the store has beyond those that are listed here.

        :raises StoreError: if the store does not answer.
        """
        first, asked_ms = progress.next_segment, self._clock.boot_ms()
        segments = await self.run_blocking(self.storage.read_segments, progress.job_id, first)
        progress.apply_segments(first, segments)
        progress.synced_ms = max(progress.synced_ms, asked_ms)
        if segments:
            self.notify_results(progress.job_id)

    async def wait_for_results(self, job_id: str) -> None:
        """Wait until results of a job are listed."""
        await self._news.setdefault(job_id, Event()).wait()

    def notify_results(self, job_id: str) -> None:
        """Wake those who wait for results."""
        event = self._news.pop(job_id, None)
        if event is not None:
            event.set()

    def remove(self, job_id: str) -> None:
        """Drop what is known of a job that is no longer stored."""
        self._jobs.pop(job_id, None)

    def _forget_key(self, key: str) -> None:
        name = key.split("/", 1)[1]
        for job_id in [known for known in self._jobs if job_object_name(known) == name]:
            self.remove(job_id)

    def dump(self) -> dict[str, object]:
        """Return the state of each known job."""
        return {job.job_id: _dump_job(job) for job in self._jobs.values()}


def _dump_job(job: KnownJob) -> dict[str, object]:
    items = job.progress.items if job.progress is not None else []
    return {
        "owner": job.record.owner,
        "epoch": job.record.epoch,
        "is_cancelled": job.record.is_cancelled,
        "listed": job.progress.listed_count if job.progress is not None else None,
        "running": sum(item.state is ItemState.RUNNING for item in items),
    }
