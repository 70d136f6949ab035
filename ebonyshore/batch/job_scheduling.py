"""Chooses the job whose shard an entry claims next, and the shard size of new jobs. No I/O."""

from collections.abc import Iterable
from threading import Lock

from ebonyshore.batch.jobs import IndexEntry

# Duration of a shard that the shard size aims at.
SHARD_DURATION_MS = 60_000.0
MIN_SHARD_ITEMS = 20
# Weight of a new measurement in the moving average.
DURATION_SMOOTHING_WEIGHT = 0.2


class JobRanker:
    """Ranks the open jobs for one entry.

    Every other claim goes to the job that is due first. The claims between go to the caller that
    this entry has served the fewest items, so that neither a caller with many jobs nor a job with
    many shards delays the others until it is done.
    """

    __slots__ = ("_claim_count", "_served_items")

    def __init__(self) -> None:
        self._claim_count = 0
        self._served_items: dict[str, int] = {}

    def rank(self, jobs: Iterable[IndexEntry]) -> list[IndexEntry]:
        """Return the jobs in the order in which their shards are to be claimed."""
        open_jobs = list(jobs)
        if self._claim_count % 2 == 0:
            return sorted(open_jobs, key=lambda job: (job.due_wall_ms, job.job_id))
        fewest = min((self._get_served_items(job) for job in open_jobs), default=0)
        self._normalize_served_items(open_jobs, fewest)
        return sorted(
            open_jobs,
            key=lambda job: (
                self._get_served_items(job),
                job.shard_count,
                job.due_wall_ms,
                job.job_id,
            ),
        )

    def record_claim(self, caller: str, items: int) -> None:
        """Record that a shard of a caller's job was claimed.

        :param items: number of items that the shard has to run.
        """
        self._claim_count += 1
        self._served_items[caller] = self._served_items.get(caller, 0) + items

    def _get_served_items(self, job: IndexEntry) -> int:
        return self._served_items.get(job.caller, 0)

    def _normalize_served_items(self, jobs: list[IndexEntry], fewest: int) -> None:
        """Remove callers without open jobs, and subtract what all callers have in common.

        Only the differences count: a caller that was served alone for days does not have to wait
        until a new one has been served as much.
        """
        callers = {job.caller for job in jobs}
        self._served_items = {
            caller: served - fewest
            for caller, served in self._served_items.items()
            if caller in callers
        }


class ShardSizer:
    """Chooses the shard size of new jobs from the measured duration of items; thread-safe.

    :param max_items: largest shard size, also used for a tier without measurements.
    :param window_items: items of a shard that run at the same time.
    """

    __slots__ = ("_average_item_ms", "_lock", "_max_items", "_window_items")

    def __init__(self, max_items: int, window_items: int) -> None:
        self._max_items = max_items
        self._window_items = window_items
        self._average_item_ms: dict[str, float] = {}
        self._lock = Lock()

    def record_item_duration(self, tier: str, item_ms: float) -> None:
        """Record the average duration of an item, in ms, in a shard that ended; 0 is ignored."""
        if item_ms <= 0:
            return
        with self._lock:
            average_ms = self._average_item_ms.get(tier, item_ms)
            self._average_item_ms[tier] = (
                average_ms + (item_ms - average_ms) * DURATION_SMOOTHING_WEIGHT
            )

    def shard_size(self, tier: str) -> int:
        """Return the number of items for which a shard takes about one minute.

        It is at least :data:`MIN_SHARD_ITEMS` and at most the largest shard size, which wins if it
        is smaller.
        """
        with self._lock:
            item_ms = self._average_item_ms.get(tier)
        if item_ms is None:
            return self._max_items
        items = int(SHARD_DURATION_MS * self._window_items / item_ms)
        return min(self._max_items, max(min(MIN_SHARD_ITEMS, self._max_items), items))
