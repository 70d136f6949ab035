"""Jobs, shards and segments in the object store.

A job is divided into shards, each with a record that also holds its lease. Outcomes of items are
written in segments, and a segment is committed once the shard record names it.
"""

from collections.abc import Iterable, Iterator
from hashlib import sha256

from msgspec import Struct
from msgspec.json import encode
from msgspec.structs import replace

from ebonyshore.batch.job_files import ID_DIGEST_CHARS, JobFiles, create_or_read
from ebonyshore.batch.job_index import JobIndex
from ebonyshore.batch.jobs import (
    ItemOutcome,
    JobRecord,
    JobState,
    SegmentRecord,
    ShardRecord,
    ShardUpdate,
    job_key,
    segment_key,
    shard_key,
    shard_prefix,
)
from ebonyshore.entry.openai_api import compute_digest
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    InvariantError,
    LeaseLostError,
    RequestError,
    StoreError,
    WriteConflictError,
)
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ObjectSummary

JOB_PREFIX = "jobs/"
SHARD_PREFIX = "shards/"
MAX_SEGMENT_BYTES = 700_000  # keeps a segment below the store's limit of 1 MB
SEGMENT_DIGEST_CHARS = 16
MAX_PROGRESS_SHARD_READS = 64
# High, since many holders may record the ends of shards of one job at the same time.
JOB_UPDATE_ATTEMPTS = 30


class JobRequest(Struct, frozen=True):
    """A submission of a job.

    :param due_wall_ms: wall-clock time at which the job is due.
    :param idempotency_key: the caller's idempotency key; empty for none, so that submissions of
        the same content are the same job.
    :param completion_window: the window that the caller asked for.
    :param shard_items: number of items in a shard; 0 for the process setting.
    :param settings_revision: settings revision that the entry uses.
    """

    caller: str
    tier: str
    file_id: str
    endpoint: str
    due_wall_ms: int
    metadata: dict[str, str] = {}
    idempotency_key: str = ""
    completion_window: str = "24h"
    shard_items: int = 0
    settings_revision: int = 0


class OutcomeCounts(Struct, frozen=True):
    """Numbers of items of a job that have a result or have failed so far."""

    completed: int
    failed: int


class JobStore:
    """Reads and writes the records of jobs, shards and segments.

    Every method raises a :class:`StoreError` if the store fails.

    :param store: the object store with marked writes.
    :param index_buckets: number of buckets of the index; must be the same in every process.
    :param shard_items: number of items in a shard of a new job whose request does not give one.
    """

    def __init__(
        self, store: MarkedStore, clock: Clock, index_buckets: int, shard_items: int
    ) -> None:
        self._store = store
        self._clock = clock
        self._shard_items = shard_items
        self.files = JobFiles(store, clock)
        self.index = JobIndex(store, index_buckets)

    def accept(self, request: JobRequest) -> JobRecord:
        """Store a job and add it to the index, or return the one accepted before.

        :raises RequestError: if the caller has no such file, or has used the idempotency key for
            other content.
        :raises StoreError: with ``execution`` ``MAYBE_RUN`` once the job may be stored.
        """
        job = self._make_job(request)
        stored = create_or_read(self._store, job_key(job.job_id), job)
        if stored.content_digest != job.content_digest:
            raise RequestError(job.job_id, code=ResultCode.IDEMPOTENCY_MISMATCH)
        if not stored.is_ended:
            self._add_to_index(stored)
        return stored

    def read_job(self, job_id: str) -> JobRecord:
        """Return the record of a job.

        :raises RequestError: if there is no such job.
        """
        found = self._store.read(job_key(job_id), JobRecord)
        if found is None:
            raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
        return found.body

    def list_jobs(self) -> Iterator[JobRecord]:
        """Yield all jobs in the order of their ids."""
        for summary in self._list_objects(JOB_PREFIX):
            yield self.read_job(summary.key.removeprefix(JOB_PREFIX))

    def list_versions(self, prefix: str) -> Iterator[tuple[str, int]]:
        """Yield the keys and versions of all objects under a prefix; one call per 1000 objects."""
        return ((summary.key, summary.version) for summary in self._list_objects(prefix))

    def list_shard_versions(self, job_id: str) -> dict[int, int]:
        """Return the versions of a job's shard records by shard; one call per 1000 records."""
        prefix = shard_prefix(job_id)
        return {
            int(key.removeprefix(prefix)): version for key, version in self.list_versions(prefix)
        }

    def read_progress(self, job: JobRecord) -> OutcomeCounts:
        """Return the current counts of a job.

        They include the shards that have ended and up to :data:`MAX_PROGRESS_SHARD_READS` others,
        with one read each.
        """
        completed = job.completed_items
        failed = job.failed_items
        if job.is_ended:
            return OutcomeCounts(completed, failed)
        running = [
            shard for shard in self.list_shard_versions(job.job_id) if shard not in job.done_shards
        ]
        for shard in running[:MAX_PROGRESS_SHARD_READS]:
            found = self.read_shard(job.job_id, shard)
            if found is not None:
                completed += found.body.completed_items
                failed += found.body.failed_items
        return OutcomeCounts(completed, failed)

    def read_outcomes(self, job: JobRecord) -> Iterator[ItemOutcome]:
        """Yield the committed outcomes of a job, in the order of its shards."""
        for number in range(job.shard_count):
            shard = self.read_shard(job.job_id, number)
            if shard is not None:
                for segment in self.read_segments(shard.body):
                    yield from segment.outcomes

    def cancel(self, job_id: str) -> JobRecord:
        """Start the cancellation of a job; a job that has ended is not changed.

        :raises RequestError: if there is no such job.
        """

        def change(job: JobRecord | None) -> JobRecord | None:
            if job is None:
                raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
            if job.is_ended or job.state is JobState.CANCELLING:
                return None
            return replace(job, state=JobState.CANCELLING)

        return self._update_job(job_id, change)

    def read_shard(self, job_id: str, shard: int) -> MarkedObject[ShardRecord] | None:
        """Return the record of a shard, or ``None`` if it was never claimed."""
        return self._store.read(shard_key(job_id, shard), ShardRecord)

    def claim(
        self, job: JobRecord, shard: int, holder: str, current: MarkedObject[ShardRecord] | None
    ) -> MarkedObject[ShardRecord]:
        """Take the lease of a shard that is released or unclaimed, or whose lease has lapsed.

        :param holder: instance id of the new holder.
        :param current: the shard's record as read, or ``None`` if it has none.
        :raises WriteConflictError: if the record has changed since.
        """
        if current is None:
            record = ShardRecord(job.job_id, shard, len(job.shard_range(shard)), holder, 1)
            return self._store.create(shard_key(job.job_id, shard), record)
        record = replace(current.body, holder=holder, epoch=current.body.epoch + 1)
        return self._store.replace(current, record)

    def close_shard(
        self, job: JobRecord, shard: int, current: MarkedObject[ShardRecord] | None
    ) -> ShardRecord:
        """End a shard of a cancelled job whose lease is free, with one write.

        :param current: the shard's record as read, or ``None`` if it has none.
        :raises WriteConflictError: if the record has changed since.
        """
        if current is None:
            record = ShardRecord(
                job.job_id, shard, len(job.shard_range(shard)), epoch=1, is_ended=True
            )
            return self._store.create(shard_key(job.job_id, shard), record).body
        record = replace(current.body, holder="", epoch=current.body.epoch + 1, is_ended=True)
        return self._store.replace(current, record).body

    def commit(
        self, shard: MarkedObject[ShardRecord], update: ShardUpdate
    ) -> MarkedObject[ShardRecord]:
        """Write outcomes and the new shard record, which also renews or releases the lease.

        :param shard: the shard record that the holder wrote last.
        :return: the new shard record.
        :raises LeaseLostError: if the record has changed, so another holder has claimed the shard;
            nothing was committed.
        :raises InvariantError: if the shard has ended or would get more outcomes than items.
        """
        body = shard.body
        outcomes = update.outcomes
        done = body.done_items + len(outcomes)
        if done > body.item_count or body.is_ended:
            raise InvariantError(f"{shard.key}: {done} outcomes for {body.item_count} items")
        segments = list(body.segments)
        for chunk in _split_outcomes(outcomes):
            segments.append(self._write_segment(body, len(segments), chunk, segments))
        completed = sum(outcome.code is ResultCode.OK for outcome in outcomes)
        is_ended = done == body.item_count or update.ends_shard
        record = replace(
            body,
            holder="" if is_ended or update.releases_lease else body.holder,
            segments=tuple(segments),
            done_items=done,
            completed_items=body.completed_items + completed,
            failed_items=body.failed_items + len(outcomes) - completed,
            is_ended=is_ended,
            attempts=update.attempts,
            suspect_items=update.suspect_items,
        )
        try:
            return self._store.replace(shard, record)
        except WriteConflictError as error:
            raise LeaseLostError(shard.key) from error

    def read_segments(self, shard: ShardRecord) -> Iterator[SegmentRecord]:
        """Yield the committed segments of a shard, in order.

        :raises StoreError: if a segment is missing.
        """
        for segment in shard.segments:
            found = self._store.read(segment_key(shard.job_id, shard.shard, segment), SegmentRecord)
            if found is None:
                raise StoreError(f"segment {segment} of {shard.job_id}/{shard.shard} is missing")
            yield found.body

    def record_ended_shards(self, job_id: str, shards: Iterable[ShardRecord]) -> JobRecord:
        """Record in a job that shards have ended. Idempotent.

        The last shard ends the job, which is then removed from the index.

        :raises RequestError: if there is no such job.
        :raises InvariantError: if one of the shards has not ended.
        """
        ended = {shard.shard: shard for shard in shards}

        def change(job: JobRecord | None) -> JobRecord | None:
            if job is None:
                raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
            new = [ended[number] for number in ended if number not in job.done_shards]
            return self._add_ended_shards(job, new) if new else None

        job = self._update_job(job_id, change)
        if job.is_ended:
            self.index.remove(job_id)
        return job

    def _add_ended_shards(self, job: JobRecord, shards: list[ShardRecord]) -> JobRecord:
        if not all(shard.is_ended for shard in shards):
            raise InvariantError(f"{job.job_id}: a shard recorded as ended has not ended")
        done_shards = (*job.done_shards, *(shard.shard for shard in shards))
        is_last = len(done_shards) == job.shard_count
        return replace(
            job,
            done_shards=done_shards,
            completed_items=job.completed_items + sum(s.completed_items for s in shards),
            failed_items=job.failed_items + sum(s.failed_items for s in shards),
            cancelled_items=job.cancelled_items + sum(s.item_count - s.done_items for s in shards),
            state=_final_state(job) if is_last else job.state,
            ended_wall_ms=self._clock.wall_ms() if is_last else 0,
        )

    def _update_job(self, job_id: str, change) -> JobRecord:
        return self._store.update(job_key(job_id), JobRecord, change, JOB_UPDATE_ATTEMPTS).body

    def _make_job(self, request: JobRequest) -> JobRecord:
        file = self.files.read(request.file_id, request.caller)
        content_digest = compute_digest(
            request.file_id.encode(),
            request.endpoint.encode(),
            encode(request.metadata, order="sorted"),
        )
        return JobRecord(
            "batch_" + _job_digest(request, content_digest)[:ID_DIGEST_CHARS],
            request.caller,
            request.tier,
            request.file_id,
            request.endpoint,
            sum(file.part_lines),
            request.shard_items or self._shard_items,
            request.due_wall_ms,
            self._clock.wall_ms(),
            content_digest,
            request.metadata,
            request.completion_window,
            settings_revision=request.settings_revision,
        )

    def _add_to_index(self, job: JobRecord) -> None:
        """Add a stored job to the index.

        A failure must not be reported as ``NOT_RUN``: the job is stored, and a repeated submission
        may add it to the index.
        """
        try:
            self.index.add(job)
        except StoreError as error:
            raise StoreError(
                f"{job.job_id}: {error}",
                code=ResultCode.WRITE_OUTCOME_UNKNOWN,
                execution=Execution.MAYBE_RUN,
            ) from error

    def _list_objects(self, prefix: str) -> Iterator[ObjectSummary]:
        start_after = ""
        while page := self._store.store.list_keys(prefix, start_after):
            yield from page
            start_after = page[-1].key

    def _write_segment(
        self,
        shard: ShardRecord,
        number: int,
        outcomes: tuple[ItemOutcome, ...],
        segments: list[str],
    ) -> str:
        previous = digest_from_name(segments[-1]) if segments else ""
        record = SegmentRecord(shard.job_id, shard.shard, shard.epoch, outcomes, previous)
        name = f"{number:04d}-{shard.epoch}-{segment_digest(record)}"
        create_or_read(self._store, segment_key(shard.job_id, shard.shard, name), record)
        return name


def segment_digest(record: SegmentRecord) -> str:
    """Compute the digest that the name of a segment contains."""
    return sha256(encode(record)).hexdigest()[:SEGMENT_DIGEST_CHARS]


def digest_from_name(segment: str) -> str:
    """Return the digest in the name of a segment."""
    return segment.rpartition("-")[2]


def _job_digest(request: JobRequest, content_digest: str) -> str:
    """Return a digest of the caller and its idempotency key, or of the content without a key."""
    key = request.idempotency_key
    identity = f"key:{key}" if key else f"content:{content_digest}"
    return compute_digest(request.caller.encode(), identity.encode())


def _final_state(job: JobRecord) -> JobState:
    return JobState.CANCELLED if job.state is JobState.CANCELLING else JobState.COMPLETED


def _split_outcomes(outcomes: tuple[ItemOutcome, ...]) -> list[tuple[ItemOutcome, ...]]:
    """Split outcomes into chunks of at most :data:`MAX_SEGMENT_BYTES`.

    An outcome that is larger gets a chunk of its own.
    """
    chunks: list[tuple[ItemOutcome, ...]] = []
    chunk: list[ItemOutcome] = []
    size = 0
    for outcome in outcomes:
        outcome_bytes = len(encode(outcome))
        if chunk and size + outcome_bytes > MAX_SEGMENT_BYTES:
            chunks.append(tuple(chunk))
            chunk, size = [], 0
        chunk.append(outcome)
        size += outcome_bytes
    return [*chunks, tuple(chunk)] if chunk else chunks
