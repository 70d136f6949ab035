"""Selects the shards of a job that this entry may claim: unclaimed, released or lapsed. No I/O."""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from ebonyshore.batch.jobs import IndexEntry, JobRecord, ShardRecord
from ebonyshore.store.marked_write import MarkedObject

# Limits the reads of shards that have a holder, since other entries are running most of them.
MAX_CLAIMED_CANDIDATES = 8
JOB_BACKOFF_MS = 2_000.0
# After a store outage, a live holder renews its lease within its retry interval of 1 s.
OUTAGE_GRACE_MS = 5_000.0


class _ObservedVersion(Struct):
    """A version of a shard record.

    :param seen_ms: monotonic time at which this entry first saw the version.
    :param is_read: whether the record was read at this version and had another holder.
    """

    version: int
    seen_ms: float
    is_read: bool = False


class ShardSearch:
    """Finds claimable shards; detects lapsed leases by shard records that do not change.

    All times are monotonic, in milliseconds.

    :param holder: instance id of this entry. A shard that names it as holder but is not held in
        memory was left by an earlier run of the process or by a write of unknown outcome, and is
        claimable.
    :param lease_interval_ms: time without a change of the record after which a lease has lapsed.
    :param random: shuffles the shards, so that entries rarely try the same one.
    """

    __slots__ = (
        "_backoff_until_ms",
        "_holder",
        "_lease_interval_ms",
        "_observed",
        "_random",
        "_store_failed_ms",
    )

    def __init__(self, holder: str, lease_interval_ms: float, random: Random) -> None:
        self._holder = holder
        self._lease_interval_ms = lease_interval_ms
        self._random = random
        self._observed: dict[str, dict[int, _ObservedVersion]] = {}
        self._backoff_until_ms: dict[str, float] = {}
        self._store_failed_ms = float("-inf")

    def record_store_failure(self, now_ms: float) -> None:
        """Record that the store failed, so that other holders could not renew their leases either.

        No lease counts as lapsed for the next :data:`OUTAGE_GRACE_MS`.
        """
        self._store_failed_ms = now_ms

    def exclude_backed_off(self, jobs: Iterable[IndexEntry], now_ms: float) -> list[IndexEntry]:
        """Return the jobs that are not backed off; forget everything about jobs not given."""
        remaining = list(jobs)
        known = {job.job_id for job in remaining}
        self._observed = {job: o for job, o in self._observed.items() if job in known}
        self._backoff_until_ms = {
            j: ms for j, ms in self._backoff_until_ms.items() if ms > now_ms and j in known
        }
        return [job for job in remaining if job.job_id not in self._backoff_until_ms]

    def back_off_job(self, job_id: str, now_ms: float) -> None:
        """Skip a job without claimable shards for :data:`JOB_BACKOFF_MS`."""
        self._backoff_until_ms[job_id] = now_ms + JOB_BACKOFF_MS

    def candidates(
        self, job: JobRecord, versions: dict[int, int], held: set[int], now_ms: float
    ) -> list[int]:
        """Return the shards to read and try to claim, in this order.

        First come up to :data:`MAX_CLAIMED_CANDIDATES` shards that have a record which was not read
        at its present version or whose lease has lapsed, then all shards without a record.

        :param versions: versions of the existing shard records, read just before ``now_ms``.
        :param held: shards that this entry holds.
        """
        excluded = {*job.done_shards, *held}
        unclaimed = [s for s in range(job.shard_count) if s not in versions and s not in excluded]
        self._random.shuffle(unclaimed)
        claimed = [s for s in versions if s not in excluded]
        to_read = [s for s in claimed if self._should_read(job.job_id, s, versions[s], now_ms)]
        self._random.shuffle(to_read)
        return [*to_read[:MAX_CLAIMED_CANDIDATES], *unclaimed]

    def is_claimable(self, current: MarkedObject[ShardRecord], now_ms: float) -> bool:
        """Return whether a shard may be claimed: it is released, this entry's own, or has lapsed.

        If another entry holds it, this remembers that the version has been read.

        :param current: the shard record, read just before ``now_ms``.
        """
        body = current.body
        if body.holder in ("", self._holder):
            return True
        observed = self._observe(body.job_id, body.shard, current.version, now_ms)
        observed.is_read = True
        return self._has_lapsed(observed, now_ms)

    def _has_lapsed(self, observed: _ObservedVersion, now_ms: float) -> bool:
        is_old = now_ms - observed.seen_ms >= self._lease_interval_ms
        return is_old and now_ms - self._store_failed_ms >= OUTAGE_GRACE_MS

    def _should_read(self, job_id: str, shard: int, version: int, now_ms: float) -> bool:
        observed = self._observe(job_id, shard, version, now_ms)
        return not observed.is_read or self._has_lapsed(observed, now_ms)

    def _observe(self, job_id: str, shard: int, version: int, now_ms: float) -> _ObservedVersion:
        shards = self._observed.setdefault(job_id, {})
        observed = shards.get(shard)
        if observed is None or observed.version != version:
            observed = _ObservedVersion(version, now_ms)
            shards[shard] = observed
        return observed
