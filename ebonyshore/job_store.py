"""Files, jobs, shards and segments in the object store."""

from collections.abc import Iterator
from hashlib import sha256

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode

from ebonyshore.clock import Clock
from ebonyshore.errors import LeaseLostError, RequestError, StoreError, WriteConflictError
from ebonyshore.jobs import (
    FileRecord,
    IndexEntry,
    IndexRecord,
    ItemOutcome,
    JobRecord,
    JobState,
    SegmentRecord,
    ShardRecord,
    file_key,
    file_part_key,
    index_key,
    job_key,
    segment_key,
    shard_key,
)
from ebonyshore.marked_write import MarkedObject, MarkedStore
from ebonyshore.openai_api import digest
from ebonyshore.platform_api import ABSENT_VERSION
from ebonyshore.result_codes import ResultCode

JOB_PREFIX = "jobs/"
MAX_PART_BYTES = 900_000
MAX_SEGMENT_BYTES = 700_000
ID_CHARS = 24
DIGEST_CHARS = 16


class BatchItem(Struct, frozen=True):
    """One line of a batch file."""

    custom_id: str
    url: str
    body: dict[str, object]
    method: str = "POST"


class JobRequest(Struct, frozen=True):
    """What a caller asks for.

    :param idempotency_key: the caller's own key, or empty.
    """

    caller: str
    tier: str
    file_id: str
    endpoint: str
    due_wall_ms: int
    metadata: dict[str, str] = {}
    idempotency_key: str = ""
    completion_window: str = "24h"


class JobStore:
    """Reads and writes batch records.

    :param store: the object store with marked writes.
    :param index_buckets: number of index objects.
    :param shard_items: items in a shard of a new job.
    """

    def __init__(
        self, store: MarkedStore, clock: Clock, index_buckets: int, shard_items: int
    ) -> None:
        self._store = store
        self._clock = clock
        self._index_buckets = index_buckets
        self._shard_items = shard_items

    def save_file(self, caller: str, purpose: str, filename: str, data: bytes) -> FileRecord:
        """Keep a file; the same content of the same caller has the same id.

        :raises RequestError: if it has no lines or a line is too long.
        """
        file_id = "file-" + digest(caller.encode(), data)[:ID_CHARS]
        parts = _split_lines(data)
        record = FileRecord(
            file_id,
            caller,
            purpose,
            filename,
            len(data),
            tuple(part.count(b"\n") for part in parts),
            self._clock.wall_ms(),
        )
        for number, part in enumerate(parts):
            self._put_once(file_part_key(file_id, number), part)
        return self._create_or_read(file_key(file_id), record)

    def read_file(self, file_id: str, caller: str) -> FileRecord:
        """Return a caller's file.

        :raises RequestError: if the caller has no such file.
        """
        found = self._store.read(file_key(file_id), FileRecord)
        if found is None or found.body.caller != caller:
            raise RequestError(f"file {file_id}", code=ResultCode.NOT_FOUND)
        return found.body

    def read_lines(self, record: FileRecord, items: range) -> Iterator[bytes]:
        """Yield the lines with the given numbers."""
        first = 0
        for number, count in enumerate(record.part_lines):
            wanted = range(max(items.start, first), min(items.stop, first + count))
            if wanted:
                lines = self._read_part(record.file_id, number).split(b"\n")
                yield from (lines[item - first] for item in wanted)
            first += count

    def accept(self, request: JobRequest) -> JobRecord:
        """Make a job durable, or return the one accepted before.

        :raises RequestError: if the file is unknown or malformed, or the key was used before with
            other content.
        """
        record = self.read_file(request.file_id, request.caller)
        content_digest = digest(
            request.file_id.encode(), request.endpoint.encode(), encode(request.metadata)
        )
        job_id = "batch_" + _job_digest(request, content_digest)[:ID_CHARS]
        job = JobRecord(
            job_id,
            request.caller,
            request.tier,
            request.file_id,
            request.endpoint,
            sum(record.part_lines),
            self._shard_items,
            request.due_wall_ms,
            self._clock.wall_ms(),
            content_digest,
            request.metadata,
            request.completion_window,
        )
        stored = self._create_or_read(job_key(job_id), job)
        if stored.content_digest != content_digest:
            raise RequestError(job_id, code=ResultCode.IDEMPOTENCY_MISMATCH)
        if not stored.is_ended:
            self._add_to_index(stored)
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
        start_after = ""
        while page := self._store.store.list_keys(JOB_PREFIX, start_after):
            for summary in page:
                yield self.read_job(summary.key.removeprefix(JOB_PREFIX))
            start_after = page[-1].key

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
            return _replace(job, state=JobState.CANCELLING)

        return self._store.update(job_key(job_id), JobRecord, change).body

    def open_jobs(self, bucket: int) -> tuple[IndexEntry, ...]:
        """Return the open jobs of a bucket."""
        found = self._store.read(index_key(bucket), IndexRecord)
        return found.body.jobs if found else ()

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
        record = _replace(current.body, holder=holder, epoch=current.body.epoch + 1)
        return self._store.replace(current, record)

    def commit(
        self, shard: MarkedObject[ShardRecord], outcomes: tuple[ItemOutcome, ...]
    ) -> MarkedObject[ShardRecord]:
        """Commit outcomes and renew the lease; with no outcomes only renew.

        :raises LeaseLostError: if another holder has claimed the shard; nothing was committed.
        """
        body = shard.body
        segments = list(body.segments)
        for chunk in _split_outcomes(outcomes):
            segments.append(self._write_segment(body, len(segments), chunk, segments))
        done = body.done_items + len(outcomes)
        completed = sum(outcome.code is ResultCode.OK for outcome in outcomes)
        record = _replace(
            body,
            segments=tuple(segments),
            done_items=done,
            completed_items=body.completed_items + completed,
            failed_items=body.failed_items + len(outcomes) - completed,
            is_ended=done == body.item_count,
        )
        return self._replace_shard(shard, record)

    def release(
        self, shard: MarkedObject[ShardRecord], is_ended: bool = False
    ) -> MarkedObject[ShardRecord]:
        """Give the lease back so that another holder need not wait for it to lapse."""
        record = _replace(shard.body, holder="", is_ended=is_ended or shard.body.is_ended)
        return self._replace_shard(shard, record)

    def read_segments(self, shard: ShardRecord) -> Iterator[SegmentRecord]:
        """Yield the committed segments of a shard.

        :raises StoreError: if one is missing.
        """
        for segment in shard.segments:
            found = self._store.read(segment_key(shard.job_id, shard.shard, segment), SegmentRecord)
            if found is None:
                raise StoreError(f"segment {segment} of {shard.job_id}/{shard.shard} is missing")
            yield found.body

    def record_shard_end(self, shard: ShardRecord) -> JobRecord:
        """Note in the job that a shard ended; end the job with its last shard. Idempotent."""

        def change(job: JobRecord | None) -> JobRecord | None:
            if job is None or shard.shard in job.done_shards:
                return None
            done_shards = (*job.done_shards, shard.shard)
            is_last = len(done_shards) == job.shard_count
            cancelled = shard.item_count - shard.done_items
            return _replace(
                job,
                done_shards=done_shards,
                completed_items=job.completed_items + shard.completed_items,
                failed_items=job.failed_items + shard.failed_items,
                cancelled_items=job.cancelled_items + cancelled,
                state=_final_state(job) if is_last else job.state,
                ended_wall_ms=self._clock.wall_ms() if is_last else 0,
            )

        updated = self._store.update(job_key(shard.job_id), JobRecord, change)
        if updated is None:
            raise StoreError(f"job {shard.job_id} is missing")
        if updated.body.is_ended:
            self._remove_from_index(updated.body)
        return updated.body

    def _replace_shard(
        self, shard: MarkedObject[ShardRecord], record: ShardRecord
    ) -> MarkedObject[ShardRecord]:
        try:
            return self._store.replace(shard, record)
        except WriteConflictError as error:
            raise LeaseLostError(shard.key) from error

    def _write_segment(
        self,
        shard: ShardRecord,
        number: int,
        outcomes: tuple[ItemOutcome, ...],
        segments: list[str],
    ) -> str:
        previous = segments[-1].rpartition("-")[2] if segments else ""
        record = SegmentRecord(shard.job_id, shard.shard, shard.epoch, outcomes, previous)
        name = f"{number:04d}-{shard.epoch}-{sha256(encode(record)).hexdigest()[:DIGEST_CHARS]}"
        self._create_or_read(segment_key(shard.job_id, shard.shard, name), record)
        return name

    def _add_to_index(self, job: JobRecord) -> None:
        entry = IndexEntry(job.job_id, job.tier, job.caller, job.due_wall_ms, job.shard_count)

        def change(index: IndexRecord | None) -> IndexRecord | None:
            jobs = index.jobs if index else ()
            if any(known.job_id == job.job_id for known in jobs):
                return None
            return IndexRecord((*jobs, entry))

        self._store.update(self._index_key(job.job_id), IndexRecord, change)

    def _remove_from_index(self, job: JobRecord) -> None:
        def change(index: IndexRecord | None) -> IndexRecord | None:
            jobs = index.jobs if index else ()
            left = tuple(known for known in jobs if known.job_id != job.job_id)
            return None if len(left) == len(jobs) else IndexRecord(left)

        self._store.update(self._index_key(job.job_id), IndexRecord, change)

    def _index_key(self, job_id: str) -> str:
        return index_key(int(sha256(job_id.encode()).hexdigest()[:8], 16) % self._index_buckets)

    def _create_or_read(self, key: str, record: Struct) -> Struct:
        try:
            return self._store.create(key, record).body
        except WriteConflictError:
            found = self._store.read(key, type(record))
            if found is None:
                raise
            return found.body

    def _put_once(self, key: str, value: bytes) -> None:
        """Write a value that depends only on its key."""
        if self._store.store.get(key) is None:
            self._store.store.put(key, value, ABSENT_VERSION)

    def _read_part(self, file_id: str, part: int) -> bytes:
        stored = self._store.store.get(file_part_key(file_id, part))
        if stored is None or stored.value is None:
            raise StoreError(f"part {part} of {file_id} is missing")
        return stored.value


def parse_item(line: bytes) -> BatchItem:
    """Return the item in a line.

    :raises RequestError: if the line is malformed.
    """
    try:
        return decode(line, type=BatchItem)
    except (DecodeError, ValidationError) as error:
        raise RequestError(str(error)) from error


def _replace(record: Struct, **changes: object) -> Struct:
    fields = {name: getattr(record, name) for name in record.__struct_fields__}
    return type(record)(**{**fields, **changes})


def _job_digest(request: JobRequest, content_digest: str) -> str:
    key = request.idempotency_key
    identity = f"key:{key}" if key else f"content:{content_digest}"
    return digest(request.caller.encode(), identity.encode())


def _final_state(job: JobRecord) -> JobState:
    return JobState.CANCELLED if job.state is JobState.CANCELLING else JobState.COMPLETED


def _split_lines(data: bytes) -> list[bytes]:
    lines = [line for line in data.split(b"\n") if line.strip()]
    if not lines:
        raise RequestError("the file has no lines")
    parts: list[list[bytes]] = [[]]
    size = 0
    for line in lines:
        if len(line) >= MAX_PART_BYTES:
            raise RequestError(
                f"a line has {len(line)} bytes; at most {MAX_PART_BYTES - 1} are allowed",
                code=ResultCode.REQUEST_TOO_LARGE,
            )
        if size + len(line) + 1 > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(line)
        size += len(line) + 1
    return [b"\n".join(part) + b"\n" for part in parts]


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
