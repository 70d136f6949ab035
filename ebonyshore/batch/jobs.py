"""Records of batch work as they are stored."""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.result_codes import ResultCode


class JobState(Enum):
    """State of a job; the last three are final."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class FileRecord(Struct, frozen=True):
    """An uploaded file; its content is in parts.

    :param part_lines: number of lines in each part.
    :param duplicate_items: lines whose custom_id an earlier line has.
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

    :param item_count: number of items; item ``n`` is line ``n`` of the file.
    :param shard_items: items in each shard but the last.
    :param done_shards: numbers of the shards that ended.
    :param completed_items: items that ended with a result, in the shards that ended.
    :param failed_items: items that ended with a reason, in the shards that ended.
    :param settings_revision: under which the job was accepted; an entry with an older one may not
        know its models and leaves it alone.
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
        """Return the item numbers of a shard."""
        start = shard * self.shard_items
        return range(start, min(start + self.shard_items, self.item_count))


class ShardRecord(Struct, frozen=True):
    """Progress of a shard and its lease.

    :param holder: instance id of the holder; empty if released.
    :param epoch: grows with each claim; the fencing number of the lease.
    :param segments: numbers of the committed segments.
    :param done_items: number of items with a committed outcome.
    :param attempts: failed attempts of items without an outcome.
    :param suspect_items: items without an outcome that were in flight when a target was lost.
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
    """The one outcome of an item.

    :param item: number of the item in its job.
    :param http_status: status of the answer; 0 if the item failed without one.
    :param body: the answer as JSON text.
    """

    item: int
    custom_id: str
    code: ResultCode
    http_status: int = 0
    body: str = ""
    detail: str = ""
    attempts: int = 1


class SegmentRecord(Struct, frozen=True):
    """Outcomes that were committed together; never changed.

    :param previous_digest: digest of the segment before in the shard, empty for the first.
    """

    job_id: str
    shard: int
    epoch: int
    outcomes: tuple[ItemOutcome, ...]
    previous_digest: str = ""


class ShardUpdate(Struct, frozen=True):
    """What one commit adds to a shard.

    :param is_released: whether the lease is given back.
    :param is_closed: whether the items without an outcome are cancelled.
    """

    outcomes: tuple[ItemOutcome, ...] = ()
    attempts: dict[int, int] = {}
    suspect_items: tuple[int, ...] = ()
    is_released: bool = False
    is_closed: bool = False


class IndexEntry(Struct, frozen=True):
    """An open job as the index lists it."""

    job_id: str
    tier: str
    caller: str
    due_wall_ms: int
    shard_count: int


class IndexRecord(Struct, frozen=True):
    """Open jobs of one bucket."""

    jobs: tuple[IndexEntry, ...] = ()


def file_key(file_id: str) -> str:
    """Return the key of a file record."""
    return f"files/{file_id}/record"


def file_part_key(file_id: str, part: int) -> str:
    """Return the key of a part of a file's content."""
    return f"files/{file_id}/parts/{part:06d}"


def job_key(job_id: str) -> str:
    """Return the key of a job record."""
    return f"jobs/{job_id}"


def shard_key(job_id: str, shard: int) -> str:
    """Return the key of a shard record."""
    return f"shards/{job_id}/{shard:06d}"


def shard_prefix(job_id: str) -> str:
    """Return the prefix of the keys of a job's shards."""
    return f"shards/{job_id}/"


def segment_key(job_id: str, shard: int, segment: str) -> str:
    """Return the key of a segment."""
    return f"segments/{job_id}/{shard:06d}/{segment}"


def segment_prefix(job_id: str) -> str:
    """Return the prefix of the keys of a job's segments."""
    return f"segments/{job_id}/"


def index_key(bucket: int) -> str:
    """Return the key of an index bucket."""
    return f"index/{bucket:02d}"
