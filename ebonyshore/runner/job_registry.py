"""The jobs that a runner knows, and which of them it owns.

Every runner watches all job records. Ownership of a job only decides which runner spends work on
it: results stay correct even if two runners consider themselves the owner for a while.
"""

from asyncio import Event, get_running_loop
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from typing import TypeVar

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import UnreadableObjectError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import JobRecord
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.runner.job_progress import MAX_SEGMENT_BYTES, ItemState, JobProgress
from ebonyshore.runner.job_storage import JobStorage, job_object_name
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedObject
from ebonyshore.store.platform_api import StoredObject

LISTING_AGE_MS = 10_000.0  # longer than it takes to read all pages of a list

ResultT = TypeVar("ResultT")


class KnownJob:
    """A job as far as this runner knows it. Times are of the boot clock.

    :param marked_record: the latest known job record, with what a conditional write of it needs.
    :param first_seen_ms: time at which the job was first seen.
    :ivar record_changed_ms: time at which the record was last seen to change.
    :ivar claim_not_before_ms: time before which the job must not be claimed again.
    :ivar progress: items and results; ``None`` until this runner reads or lists results of the job.
    """

    __slots__ = (
        "claim_not_before_ms",
        "first_seen_ms",
        "marked_record",
        "progress",
        "record_changed_ms",
    )

    def __init__(self, marked_record: MarkedObject[JobRecord], first_seen_ms: float) -> None:
        self.marked_record = marked_record
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
        """The latest known job record."""
        return self.marked_record.body


class JobRegistry(KindListener):
    """Holds the known jobs and follows the changes of their records.

    :param own_id: instance id of this runner.
    :param incarnation: incarnation of this process.
    :param storage: reads and writes jobs in the store.
    :param load_table: tells which runners receive reports from this one.
    :param peers: all registered runners, live or not.
    :param executor: runs blocking calls to the store.
    :param is_peer_list_current: returns whether ``peers`` has been read from the store and no other
        process is known to have a newer version of it.
    :param segment_bytes: size in JSON to which results are collected in one segment.
    :ivar is_leaving: whether this runner is giving its jobs to others and takes no new ones.
    :ivar newest_version: highest version of a job's record that is known.
    :ivar on_change: called when jobs, items or claims have changed, so that work may be due.
    """

    def __init__(
        self,
        own_id: str,
        incarnation: str,
        storage: JobStorage,
        load_table: LoadTable,
        peers: PeerDirectory,
        clock: Clock,
        executor: Executor,
        log: EventLog,
        is_peer_list_current: Callable[[], bool],
        segment_bytes: int = MAX_SEGMENT_BYTES,
    ) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.storage = storage
        self._load_table = load_table
        self._peers = peers
        self._clock = clock
        self._executor = executor
        self._log = log
        self._is_peer_list_current = is_peer_list_current
        self._segment_bytes = segment_bytes
        self._jobs: dict[str, KnownJob] = {}
        self._result_events: dict[str, Event] = {}
        self.is_leaving = False
        self.newest_version = 0
        self.on_change: Callable[[], None] = lambda: None

    async def run_blocking(self, function: Callable[..., ResultT], *arguments) -> ResultT:
        """Run a blocking call to the store on a thread and return its result."""
        return await get_running_loop().run_in_executor(self._executor, function, *arguments)

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        """Apply a complete list of the records, and forget the jobs that are not in it.

        A job that was stored after the list was requested may be missing in it, so only jobs that
        have been known for :data:`LISTING_AGE_MS` are forgotten.
        """
        self.on_changes(objects)
        listed = {found.key.split("/", 1)[1] for found in objects}
        for job_id in list(self._jobs):
            is_listed = job_object_name(job_id) in listed
            if not is_listed and self.known_for_ms(job_id) > LISTING_AGE_MS:
                self.remove(job_id)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            if found.value is None:
                self._remove_key(found.key)
                continue
            try:
                self.update_record(self.storage.decode(found))
            except UnreadableObjectError as error:
                self._log.event("job_unreadable", key=found.key, error=str(error))

    def update_record(self, marked_record: MarkedObject[JobRecord]) -> KnownJob:
        """Update a job to a record read from the store, and return the job.

        The job is added if it is not known yet. A record that is not newer than the known one is
        ignored.
        """
        job_id = marked_record.body.job_id
        now_ms = self._clock.boot_ms()
        self.newest_version = max(self.newest_version, marked_record.version)
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = KnownJob(marked_record, now_ms)
        elif job.marked_record.version >= marked_record.version:
            return job
        elif job.record.caller != marked_record.body.caller:
            # The job was removed, and another account has submitted one under its id.
            job = self._jobs[job_id] = KnownJob(marked_record, now_ms)
        job.marked_record = marked_record
        job.record_changed_ms = now_ms
        if job.progress is not None:
            job.progress.record = marked_record.body
        self.on_change()
        return job

    def add_accepted(self, stored: MarkedObject[JobRecord], requested_ms: float) -> None:
        """Add a job that this runner has just stored for a caller.

        :param stored: the job record in the store. It may name another owner if the job had been
            stored before.
        :param requested_ms: boot clock time just before the store was called.
        """
        job = self.update_record(stored)
        is_new = self.is_owner(stored.body) and stored.body.epoch <= 1
        # A job whose bodies are stored separately has no progress yet: like a job of an earlier
        # incarnation, it is claimed first, which reads the bodies.
        if is_new and job.progress is None and not stored.body.body_parts:
            job.progress = JobProgress(stored.body, segment_bytes=self._segment_bytes)
            job.progress.synced_ms = requested_ms
            job.progress.writable_epoch = stored.body.epoch
        self.on_change()

    def is_owner(self, record: JobRecord) -> bool:
        """Return whether a job record names this process as the owner.

        Records that name an earlier incarnation of this instance do not count.
        """
        return record.owner == self.own_id and record.owner_incarnation == self.incarnation

    def can_list_results(self, progress: JobProgress) -> bool:
        """Return whether this process may list results of a job, as far as it knows.

        It may if it owns the job, has completed the claim of the current epoch, and knows of no
        segment of a later epoch.
        """
        record = progress.record
        is_ready = progress.writable_epoch == record.epoch
        return self.is_owner(record) and is_ready and progress.highest_segment_epoch <= record.epoch

    def is_confirmed_owner(self, progress: JobProgress) -> bool:
        """Return whether this runner owns a job and no other runner can have taken it over.

        A runner claims a job only after it has received no reports from the owner for a while, and
        does not name the owner as heard in its own reports until the claim has ended. An owner is
        therefore confirmed if all other runners have named it as heard without interruption since
        before it last asked the store for the job's segments. While the owner cannot read the store
        a new runner may register, which it learns from that runner's reports, or from those of
        any process that has seen the registration.
        """
        now_ms = self._clock.boot_ms()
        runners = self._peers.of_role("runner").keys() | self._load_table.runners().keys()
        return (
            self.can_list_results(progress)
            and self._is_peer_list_current()
            and all(
                self._load_table.is_mutually_heard_since(runner, progress.synced_ms, now_ms)
                for runner in runners
            )
        )

    def known_jobs(self) -> list[KnownJob]:
        """Return a copy of the list of all known jobs."""
        return list(self._jobs.values())

    def owned_jobs(self) -> list[JobProgress]:
        """Return the jobs whose results this process may list, in the order of submission."""
        loaded = [job.progress for job in self._jobs.values() if job.progress is not None]
        jobs = [progress for progress in loaded if self.can_list_results(progress)]
        return sorted(jobs, key=lambda progress: (progress.record.submitted_ms, progress.job_id))

    def open_item_count(self) -> int:
        """Return the number of items of owned jobs that have no result yet."""
        return sum(progress.open_count for progress in self.owned_jobs())

    def find(self, job_id: str) -> KnownJob | None:
        """Return a job, or ``None`` if its record is not known."""
        return self._jobs.get(job_id)

    def is_known(self, job_id: str) -> bool:
        """Return whether the record of a job is known."""
        return job_id in self._jobs

    def unfinished_tokens(self, job: KnownJob) -> int | None:
        """Return the tokens of a job's items that have no result yet.

        :return: the number; ``None`` if another runner owns the job and it may be unfinished.
        """
        progress = job.progress
        if job.record.is_cancelled or (progress is not None and progress.is_finished):
            return 0
        if progress is None or not self.can_list_results(progress):
            return None
        return progress.unfinished_tokens

    def known_for_ms(self, job_id: str) -> float:
        """Return how long this process has known a job, a lower bound of the job's age.

        The time is not affected by steps of the wall clock.

        :return: time in milliseconds; 0 if the job is not known.
        """
        job = self._jobs.get(job_id)
        return self._clock.boot_ms() - job.first_seen_ms if job is not None else 0.0

    def live_owner(self, job_id: str) -> str | None:
        """Return the other runner that owns a job and hears this one; ``None`` if there is none.

        That runner answers reads from memory, while this one would have to read the store.
        """
        job = self._jobs.get(job_id)
        if job is None or job.record.owner in ("", self.own_id):
            return None
        if job.progress is not None and job.progress.is_finished:
            return None
        owner = job.record.owner
        return owner if self._load_table.is_mutually_heard(owner, self._clock.boot_ms()) else None

    async def read_progress(self, job_id: str) -> JobProgress | None:
        """Return the progress of a job, with all results that the store holds.

        The store is read unless this runner is the confirmed owner or all results are known.

        :return: the progress, or ``None`` if there is no such job.
        :raises StoreError: if the store cannot be read.
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
        """Return whether the store cannot hold results that this runner does not know."""
        return progress.is_finished or self.is_confirmed_owner(progress)

    async def load_progress(self, job: KnownJob) -> JobProgress:
        """Read the segments of a job that are not known yet, and return the job's progress.

        :raises StoreError: if the store cannot be read.
        """
        if job.progress is None:
            bodies = await self.run_blocking(self.storage.read_bodies, job.record)
            if job.progress is None:  # no concurrent call has set it in the meantime
                job.progress = JobProgress(job.record, bodies, self._segment_bytes)
        await self.load_segments(job.progress)
        return job.progress

    async def load_segments(self, progress: JobProgress) -> None:
        """Read the segments that are not known yet and list their results.

        :raises StoreError: if the store cannot be read.
        """
        first, requested_ms = progress.next_segment, self._clock.boot_ms()
        segments = await self.run_blocking(self.storage.read_segments, progress.job_id, first)
        progress.apply_segments(first, segments)
        progress.synced_ms = max(progress.synced_ms, requested_ms)
        if segments:
            self.notify_results(progress.job_id)

    async def wait_for_results(self, job_id: str) -> None:
        """Wait until results of a job may have been listed, see :meth:`notify_results`."""
        await self._result_events.setdefault(job_id, Event()).wait()

    def notify_results(self, job_id: str) -> None:
        """Wake all tasks that wait for results of a job."""
        event = self._result_events.pop(job_id, None)
        if event is not None:
            event.set()

    def remove(self, job_id: str) -> None:
        """Forget a job that is no longer stored. Does nothing if the job is not known."""
        self._jobs.pop(job_id, None)
        self.notify_results(job_id)

    def _remove_key(self, key: str) -> None:
        name = key.split("/", 1)[1]
        for job_id in [known for known in self._jobs if job_object_name(known) == name]:
            self.remove(job_id)

    def dump(self) -> dict[str, object]:
        """Return the state of each known job by job id, for the state dump."""
        return {job.job_id: _dump_job(job) for job in self._jobs.values()}


def _dump_job(job: KnownJob) -> dict[str, object]:
    items = job.progress.items if job.progress is not None else []
    return {
        "account": job.record.caller,
        "owner": job.record.owner,
        "epoch": job.record.epoch,
        "is_cancelled": job.record.is_cancelled,
        "listed": job.progress.listed_count if job.progress is not None else None,
        "running": sum(item.state is ItemState.RUNNING for item in items),
    }
