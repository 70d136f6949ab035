"""Which open job gets the next free place of an entry, and how large its shards are. Pure."""

from collections.abc import Iterable
from threading import Lock

from ebonyshore.batch.jobs import IndexEntry

SHARD_TARGET_MS = 60_000.0
MIN_SHARD_ITEMS = 20
COST_WEIGHT = 0.2


class JobRanker:
    """Orders open jobs for one entry.

    Every other place goes to the job that is due first. The places between go to the caller that
    this entry has served least, so that neither a caller with many jobs nor a job with many shards
    keeps the others waiting until it is done.
    """

    __slots__ = ("_places", "_served_items")

    def __init__(self) -> None:
        self._places = 0
        self._served_items: dict[str, int] = {}

    def rank(self, jobs: Iterable[IndexEntry]) -> list[IndexEntry]:
        """Return the jobs, the one to try first at the front."""
        known = list(jobs)
        if self._places % 2 == 0:
            return sorted(known, key=lambda job: (job.due_wall_ms, job.job_id))
        floor = min((self._served(job) for job in known), default=0)
        self._forget_others(known, floor)
        return sorted(
            known,
            key=lambda job: (self._served(job), job.shard_count, job.due_wall_ms, job.job_id),
        )

    def record_claim(self, caller: str, items: int) -> None:
        """Note that a shard of a caller's job got a place."""
        self._places += 1
        self._served_items[caller] = self._served_items.get(caller, 0) + items

    def _served(self, job: IndexEntry) -> int:
        return self._served_items.get(job.caller, 0)

    def _forget_others(self, jobs: list[IndexEntry], floor: int) -> None:
        """Drop callers without open jobs; what the others have in common carries no weight."""
        callers = {job.caller for job in jobs}
        self._served_items = {
            caller: served - floor
            for caller, served in self._served_items.items()
            if caller in callers
        }


class ShardSizer:
    """Chooses the shard size of new jobs from the measured time of items; safe from any thread.

    :param max_items: the largest shard, also used before anything was measured.
    :param window_items: items of a shard that run at the same time.
    """

    __slots__ = ("_item_ms", "_lock", "_max_items", "_window_items")

    def __init__(self, max_items: int, window_items: int) -> None:
        self._max_items = max_items
        self._window_items = window_items
        self._item_ms: dict[str, float] = {}
        self._lock = Lock()

    def record_item_duration(self, tier: str, item_ms: float) -> None:
        """Note the average time of an item in a shard that ended."""
        if item_ms <= 0:
            return
        with self._lock:
            known = self._item_ms.get(tier, item_ms)
            self._item_ms[tier] = known + (item_ms - known) * COST_WEIGHT

    def shard_size(self, tier: str) -> int:
        """Return the items whose shard runs for about a minute, between 20 and the largest."""
        with self._lock:
            item_ms = self._item_ms.get(tier)
        if item_ms is None:
            return self._max_items
        items = int(SHARD_TARGET_MS * self._window_items / item_ms)
        return min(self._max_items, max(min(MIN_SHARD_ITEMS, self._max_items), items))
