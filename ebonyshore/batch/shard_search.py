"""Which shards of a job are worth a claim: unclaimed, released or lapsed. Pure."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from ebonyshore.batch.jobs import IndexEntry, JobRecord, ShardRecord
from ebonyshore.store.marked_write import MarkedObject

MAX_PROBES = 8
FRUITLESS_PAUSE_MS = 2_000.0
# After an outage a holder that is alive renews within its retry interval of 1 s.
OUTAGE_GRACE_MS = 5_000.0


class _Observed(Struct):
    version: int
    seen_ms: float
    is_read: bool = False


class ShardSearch:
    """Remembers the versions of other holders' shards, to see their leases lapse.

    :param holder: instance id of this entry; a shard that it holds in the store but not in memory
        was lost by an earlier run or an unsettled write, and is free.
    :param random: spreads entries over the unclaimed shards.
    """

    __slots__ = (
        "_failed_ms",
        "_fruitless",
        "_holder",
        "_lease_interval_ms",
        "_observed",
        "_random",
    )

    def __init__(self, holder: str, lease_interval_ms: float, random: Random) -> None:
        self._holder = holder
        self._lease_interval_ms = lease_interval_ms
        self._random = random
        self._observed: dict[str, dict[int, _Observed]] = {}
        self._fruitless: dict[str, float] = {}
        self._failed_ms = float("-inf")

    def record_store_failure(self, now_ms: float) -> None:
        """Note that the store failed: holders could not renew either."""
        self._failed_ms = now_ms

    def exclude_backed_off(self, jobs: Iterable[IndexEntry], now_ms: float) -> list[IndexEntry]:
        """Leave out jobs whose last visit found nothing, for two seconds."""
        left = list(jobs)
        known = {job.job_id for job in left}
        self._observed = {job: o for job, o in self._observed.items() if job in known}
        self._fruitless = {j: ms for j, ms in self._fruitless.items() if ms > now_ms and j in known}
        return [job for job in left if job.job_id not in self._fruitless]

    def back_off_job(self, job_id: str, now_ms: float) -> None:
        """Note that no shard of a job was free."""
        self._fruitless[job_id] = now_ms + FRUITLESS_PAUSE_MS

    def candidates(
        self, job: JobRecord, versions: dict[int, int], held: set[int], now_ms: float
    ) -> list[int]:
        """Return the shards to look at; few of those that other entries are running.

        :param versions: of the shard records that exist, read just before ``now_ms``.
        :param held: shards that this entry holds.
        """
        closed = {*job.done_shards, *held}
        unclaimed = [s for s in range(job.shard_count) if s not in versions and s not in closed]
        self._random.shuffle(unclaimed)
        claimed = [s for s in versions if s not in closed]
        changed = [s for s in claimed if self._is_worth_reading(job.job_id, s, versions[s], now_ms)]
        self._random.shuffle(changed)
        return [*changed[:MAX_PROBES], *unclaimed]

    def is_claimable(self, current: MarkedObject[ShardRecord], now_ms: float) -> bool:
        """Return whether a shard that was read just before ``now_ms`` may be claimed."""
        body = current.body
        if body.holder in ("", self._holder):
            return True
        observed = self._observe(body.job_id, body.shard, current.version, now_ms)
        observed.is_read = True
        return self._has_lapsed(observed, now_ms)

    def _has_lapsed(self, observed: _Observed, now_ms: float) -> bool:
        is_old = now_ms - observed.seen_ms >= self._lease_interval_ms
        return is_old and now_ms - self._failed_ms >= OUTAGE_GRACE_MS

    def _is_worth_reading(self, job_id: str, shard: int, version: int, now_ms: float) -> bool:
        observed = self._observe(job_id, shard, version, now_ms)
        return not observed.is_read or self._has_lapsed(observed, now_ms)

    def _observe(self, job_id: str, shard: int, version: int, now_ms: float) -> _Observed:
        shards = self._observed.setdefault(job_id, {})
        observed = shards.get(shard)
        if observed is None or observed.version != version:
            observed = _Observed(version, now_ms)
            shards[shard] = observed
        return observed
