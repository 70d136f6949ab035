"""Records of files, jobs, shards and results in the object store, and their keys."""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.result_codes import ResultCode


class JobState(Enum):
    """State of a job. ``COMPLETED``, ``CANCELLED`` and ``EXPIRED`` are final."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class FileRecord(Struct, frozen=True):
    """An uploaded file, whose content is stored in parts.

    :param size_bytes: size of the file as uploaded.
    :param part_lines: number of lines in each part.
    :param duplicate_items: numbers of the lines that repeat the custom_id of an earlier line.
    """

    file_id: str
    caller: str
    purpose: str
    filename: str
    size_bytes: int
    part_lines: tuple[int, ...]
    created_wall_ms: int
    duplicate_items: tuple[int, ...] = ()


class JobRecord(Struct, frozen=True):
    """An accepted job.

    :param item_count: number of items; item ``n`` is line ``n`` of the file, counted from 0.
    :param shard_items: number of items in each shard but the last, which may be smaller.
    :param due_wall_ms: wall-clock time at which the job is due.
    :param content_digest: digest of the file's id, the endpoint and the metadata; tells whether a
        repeated submission has the same content.
    :param completion_window: the window that the caller asked for, such as ``24h``.
    :param done_shards: numbers of the shards that have ended.
    :param completed_items: number of items with a result, in the shards that have ended.
    :param failed_items: number of items that failed, in the shards that have ended.
    :param cancelled_items: number of items without an outcome, in the shards that have ended.
    :param ended_wall_ms: wall-clock time of the end; 0 until then.
    :param settings_revision: settings revision under which the job was accepted. An entry with an
        older revision may not know the job's models and does not process the job.
    """

    job_id: str
    caller: str
    tier: str
    file_id: str
    endpoint: str
    item_count: int
    shard_items: int
    due_wall_ms: int
    created_wall_ms: int
    content_digest: str
    metadata: dict[str, str] = {}
    completion_window: str = "24h"
    state: JobState = JobState.IN_PROGRESS
    done_shards: tuple[int, ...] = ()
    completed_items: int = 0
    failed_items: int = 0
    cancelled_items: int = 0
    ended_wall_ms: int = 0
    settings_revision: int = 0

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return -(-self.item_count // self.shard_items)

    @property
    def is_ended(self) -> bool:
        """Whether the state is final."""
        return self.state not in (JobState.IN_PROGRESS, JobState.CANCELLING)

    def shard_range(self, shard: int) -> range:
        """Return the numbers of the items in a shard."""
        start = shard * self.shard_items
        return range(start, min(start + self.shard_items, self.item_count))


class ShardRecord(Struct, frozen=True):
    """Progress of a shard and its lease.

    :param holder: instance id of the lease's holder; empty if the lease is released.
    :param epoch: the fencing number of the lease; incremented by each claim, and when a free shard
        of a cancelled job is ended.
    :param segments: names of the committed segments, in order.
    :param done_items: number of items with a committed outcome.
    :param completed_items: number of items whose committed outcome is a result.
    :param failed_items: number of items whose committed outcome is a failure.
    :param attempts: number of failed attempts by item, for items without an outcome.
    :param suspect_items: items without an outcome that a target was running when the target or its
        agent was lost.
    """

    job_id: str
    shard: int
    item_count: int
    holder: str = ""
    epoch: int = 0
    segments: tuple[str, ...] = ()
    done_items: int = 0
    completed_items: int = 0
    failed_items: int = 0
    is_ended: bool = False
    attempts: dict[int, int] = {}
    suspect_items: tuple[int, ...] = ()


class ItemOutcome(Struct, frozen=True):
    """The result or failure of an item. An item has exactly one outcome.

    :param item: number of the item in its job.
    :param code: ``OK`` for a result.
    :param http_status: HTTP status of the answer; 0 if the item failed without an answer.
    :param body: the answer as JSON text; empty for a failure.
    :param detail: reason of a failure.
    :param attempts: number of attempts, including the successful one; refusals, preemptions and
        most losses of an agent do not count.
    """

    item: int
    custom_id: str
    code: ResultCode
    http_status: int = 0
    body: str = ""
    detail: str = ""
    attempts: int = 1


class SegmentRecord(Struct, frozen=True):
    """Outcomes that were committed together. Segments are immutable.

    :param epoch: epoch of the shard's lease at the commit.
    :param previous_digest: digest of the shard's previous segment; empty for the first.
    """

    job_id: str
    shard: int
    epoch: int
    outcomes: tuple[ItemOutcome, ...]
    previous_digest: str = ""


class ShardUpdate(Struct, frozen=True):
    """Changes to a shard that are committed together.

    :param outcomes: new outcomes.
    :param attempts: number of failed attempts by item, for items without an outcome; replaces the
        recorded ones.
    :param suspect_items: items without an outcome that a target was running when the target or its
        agent was lost; replaces the recorded ones.
    :param releases_lease: whether the lease is released.
    :param ends_shard: whether the shard ends; items without an outcome then count as cancelled.
    """

    outcomes: tuple[ItemOutcome, ...] = ()
    attempts: dict[int, int] = {}
    suspect_items: tuple[int, ...] = ()
    releases_lease: bool = False
    ends_shard: bool = False


class IndexEntry(Struct, frozen=True):
    """An open job in the index."""

    job_id: str
    tier: str
    caller: str
    due_wall_ms: int
    shard_count: int


class IndexRecord(Struct, frozen=True):
    """The open jobs in one bucket of the index."""

    jobs: tuple[IndexEntry, ...] = ()


def file_key(file_id: str) -> str:
    """Return the key of a file record."""
    return f"files/{file_id}/record"


def file_part_key(file_id: str, part: int) -> str:
    """Return the key of a part of a file's content; parts are counted from 0."""
    return f"files/{file_id}/parts/{part:06d}"


def job_key(job_id: str) -> str:
    """Return the key of a job record."""
    return f"jobs/{job_id}"


def shard_key(job_id: str, shard: int) -> str:
    """Return the key of a shard record."""
    return f"shards/{job_id}/{shard:06d}"


def shard_prefix(job_id: str) -> str:
    """Return the prefix of the keys of a job's shard records."""
    return f"shards/{job_id}/"


def segment_key(job_id: str, shard: int, segment: str) -> str:
    """Return the key of a segment with the given name."""
    return f"segments/{job_id}/{shard:06d}/{segment}"


def segment_prefix(job_id: str) -> str:
    """Return the prefix of the keys of a job's segments."""
    return f"segments/{job_id}/"


def index_key(bucket: int) -> str:
    """Return the key of an index bucket."""
    return f"index/{bucket:02d}"
