"""Jobs, shards and segments in the object store."""

from collections.abc import Iterable, Iterator
from hashlib import sha256

from msgspec import Struct
from msgspec.json import encode
from msgspec.structs import replace

from ebonyshore.batch.job_files import ID_CHARS, JobFiles, create_or_read
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
MAX_SEGMENT_BYTES = 700_000
DIGEST_CHARS = 16
MAX_LIVE_SHARD_READS = 64
# Many holders end shards of one job at the same time.
JOB_UPDATE_ATTEMPTS = 30


class JobRequest(Struct, frozen=True):
    """What a caller asks for.

    :param idempotency_key: the caller's own key, or empty.
    :param shard_items: items in a shard; 0 for the process's setting.
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
    """Items of a job with an outcome so far."""

    completed: int
    failed: int


class JobStore:
    """Reads and writes batch records.

    :param store: the object store with marked writes.
    :param index_buckets: number of index objects.
    :param shard_items: most items in a shard of a new job.
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
        """Make a job durable, or return the one accepted before.

        :raises RequestError: if the file is unknown, or the key was used before with other
            content.
        :raises StoreError: with ``maybe_run`` once the job may have become durable.
        """
        job = self._new_job(request)
        stored = create_or_read(self._store, job_key(job.job_id), job)
        if stored.content_digest != job.content_digest:
            raise RequestError(job.job_id, code=ResultCode.IDEMPOTENCY_MISMATCH)
        if not stored.is_ended:
            self._list_durable(stored)
        return stored

    def read_job(self, job_id: str) -> JobRecord:
        """Return a job.

        :raises RequestError: if there is none.
        """
        found = self._store.read(job_key(job_id), JobRecord)
        if found is None:
            raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
        return found.body

    def list_jobs(self) -> Iterator[JobRecord]:
        """Yield all jobs in the order of their ids."""
        for summary in self._list_all(JOB_PREFIX):
            yield self.read_job(summary.key.removeprefix(JOB_PREFIX))

    def list_versions(self, prefix: str) -> Iterator[tuple[str, int]]:
        """Yield key and version of the objects below a prefix; one call per 1000."""
        return ((summary.key, summary.version) for summary in self._list_all(prefix))

    def list_shard_versions(self, job_id: str) -> dict[int, int]:
        """Return the versions of a job's shard records by shard; one call per 1000 shards."""
        prefix = shard_prefix(job_id)
        return {
            int(key.removeprefix(prefix)): version for key, version in self.list_versions(prefix)
        }

    def read_progress(self, job: JobRecord) -> OutcomeCounts:
        """Return the counts of a job, with those of up to 64 shards that are still running."""
        completed = job.completed_items
        failed = job.failed_items
        if job.is_ended:
            return OutcomeCounts(completed, failed)
        live = [
            shard for shard in self.list_shard_versions(job.job_id) if shard not in job.done_shards
        ]
        for shard in live[:MAX_LIVE_SHARD_READS]:
            found = self.read_shard(job.job_id, shard)
            if found is not None:
                completed += found.body.completed_items
                failed += found.body.failed_items
        return OutcomeCounts(completed, failed)

    def read_outcomes(self, job: JobRecord) -> Iterator[ItemOutcome]:
        """Yield the committed outcomes of a job, shard by shard."""
        for number in range(job.shard_count):
            shard = self.read_shard(job.job_id, number)
            if shard is not None:
                for segment in self.read_segments(shard.body):
                    yield from segment.outcomes

    def cancel(self, job_id: str) -> JobRecord:
        """Mark a job as cancelled; a job that ended stays as it is."""

        def change(job: JobRecord | None) -> JobRecord | None:
            if job is None:
                raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
            if job.is_ended or job.state is JobState.CANCELLING:
                return None
            return replace(job, state=JobState.CANCELLING)

        return self._update_job(job_id, change)

    def read_shard(self, job_id: str, shard: int) -> MarkedObject[ShardRecord] | None:
        """Return a shard's record, or ``None`` if it was never claimed."""
        return self._store.read(shard_key(job_id, shard), ShardRecord)

    def claim(
        self, job: JobRecord, shard: int, holder: str, current: MarkedObject[ShardRecord] | None
    ) -> MarkedObject[ShardRecord]:
        """Take the lease of a shard that is free, or whose lease the caller saw lapse.

        :raises WriteConflictError: if another holder was faster.
        """
        if current is None:
            record = ShardRecord(job.job_id, shard, len(job.shard_range(shard)), holder, 1)
            return self._store.create(shard_key(job.job_id, shard), record)
        record = replace(current.body, holder=holder, epoch=current.body.epoch + 1)
        return self._store.replace(current, record)

    def close_shard(
        self, job: JobRecord, shard: int, current: MarkedObject[ShardRecord] | None
    ) -> ShardRecord:
        """End a shard of a cancelled job that nobody holds, with one write.

        :raises WriteConflictError: if another entry was faster.
        """
        if current is None:
            record = ShardRecord(
                job.job_id, shard, len(job.shard_range(shard)), epoch=1, is_ended=True
            )
            return self._store.create(shard_key(job.job_id, shard), record).body
        record = replace(current.body, holder="", epoch=current.body.epoch + 1, is_ended=True)
        return self._store.replace(current, record).body

    def commit(
        self, shard: MarkedObject[ShardRecord], progress: ShardUpdate
    ) -> MarkedObject[ShardRecord]:
        """Commit outcomes and renew or release the lease.

        :raises LeaseLostError: if another holder has claimed the shard; nothing was committed.
        """
        body = shard.body
        outcomes = progress.outcomes
        done = body.done_items + len(outcomes)
        if done > body.item_count or body.is_ended:
            raise InvariantError(f"{shard.key}: {done} outcomes for {body.item_count} items")
        segments = list(body.segments)
        for chunk in _split_outcomes(outcomes):
            segments.append(self._write_segment(body, len(segments), chunk, segments))
        completed = sum(outcome.code is ResultCode.OK for outcome in outcomes)
        is_ended = done == body.item_count or progress.is_closed
        record = replace(
            body,
            holder="" if is_ended or progress.is_released else body.holder,
            segments=tuple(segments),
            done_items=done,
            completed_items=body.completed_items + completed,
            failed_items=body.failed_items + len(outcomes) - completed,
            is_ended=is_ended,
            attempts=progress.attempts,
            suspect_items=progress.suspect_items,
        )
        try:
            return self._store.replace(shard, record)
        except WriteConflictError as error:
            raise LeaseLostError(shard.key) from error

    def read_segments(self, shard: ShardRecord) -> Iterator[SegmentRecord]:
        """Yield the committed segments of a shard.

        :raises StoreError: if one is missing.
        """
        for segment in shard.segments:
            found = self._store.read(segment_key(shard.job_id, shard.shard, segment), SegmentRecord)
            if found is None:
                raise StoreError(f"segment {segment} of {shard.job_id}/{shard.shard} is missing")
            yield found.body

    def record_ended_shards(self, job_id: str, shards: Iterable[ShardRecord]) -> JobRecord:
        """Note in the job that shards ended; end the job with its last shard. Idempotent."""
        ended = {shard.shard: shard for shard in shards}

        def change(job: JobRecord | None) -> JobRecord | None:
            if job is None:
                raise RequestError(f"job {job_id}", code=ResultCode.NOT_FOUND)
            new = [ended[number] for number in ended if number not in job.done_shards]
            return self._with_ends(job, new) if new else None

        job = self._update_job(job_id, change)
        if job.is_ended:
            self.index.remove(job_id)
        return job

    def _with_ends(self, job: JobRecord, shards: list[ShardRecord]) -> JobRecord:
        if not all(shard.is_ended for shard in shards):
            raise InvariantError(f"a shard of {job.job_id} has not ended")
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

    def _new_job(self, request: JobRequest) -> JobRecord:
        record = self.files.read(request.file_id, request.caller)
        content_digest = compute_digest(
            request.file_id.encode(),
            request.endpoint.encode(),
            encode(request.metadata, order="sorted"),
        )
        return JobRecord(
            "batch_" + _job_digest(request, content_digest)[:ID_CHARS],
            request.caller,
            request.tier,
            request.file_id,
            request.endpoint,
            sum(record.part_lines),
            request.shard_items or self._shard_items,
            request.due_wall_ms,
            self._clock.wall_ms(),
            content_digest,
            request.metadata,
            request.completion_window,
            settings_revision=request.settings_revision,
        )

    def _list_durable(self, job: JobRecord) -> None:
        """List a durable job; a failure must not say ``not_run``, since a resend may list it."""
        try:
            self.index.add(job)
        except StoreError as error:
            raise StoreError(
                f"{job.job_id}: {error}",
                code=ResultCode.WRITE_OUTCOME_UNKNOWN,
                execution=Execution.MAYBE_RUN,
            ) from error

    def _list_all(self, prefix: str) -> Iterator[ObjectSummary]:
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
    """Return the digest that a segment's name carries."""
    return sha256(encode(record)).hexdigest()[:DIGEST_CHARS]


def digest_from_name(segment: str) -> str:
    """Return the digest in a segment's name."""
    return segment.rpartition("-")[2]


def _job_digest(request: JobRequest, content_digest: str) -> str:
    key = request.idempotency_key
    identity = f"key:{key}" if key else f"content:{content_digest}"
    return compute_digest(request.caller.encode(), identity.encode())


def _final_state(job: JobRecord) -> JobState:
    return JobState.CANCELLED if job.state is JobState.CANCELLING else JobState.COMPLETED


def _split_outcomes(outcomes: tuple[ItemOutcome, ...]) -> list[tuple[ItemOutcome, ...]]:
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
