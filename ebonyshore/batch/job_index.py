"""The index of open jobs: a few objects that entries poll for changes."""

from hashlib import sha256

from msgspec import Struct

from ebonyshore.batch.jobs import IndexEntry, IndexRecord, JobRecord, index_key
from ebonyshore.store.marked_write import MarkedStore

NO_WAIT_MS = 0


class _CachedBucket(Struct):
    """A bucket as this process last read it.

    :param revision: store revision up to which its changes are known.
    """

    revision: int = 0
    jobs: tuple[IndexEntry, ...] = ()


class JobIndex:
    """Adds, removes and lists open jobs.

    Jobs are distributed over buckets, one object each, by a hash of their ids.

    :param bucket_count: number of buckets; must be the same in every process.
    """

    def __init__(self, store: MarkedStore, bucket_count: int) -> None:
        self._store = store
        self._bucket_count = bucket_count
        self._cached = [_CachedBucket() for _ in range(bucket_count)]
        self._next_bucket = 0

    def add(self, job: JobRecord) -> bool:
        """Add a job; return whether it was not in the index before."""
        was_added = False
        entry = IndexEntry(job.job_id, job.tier, job.caller, job.due_wall_ms, job.shard_count)

        def change(index: IndexRecord | None) -> IndexRecord | None:
            nonlocal was_added
            jobs = index.jobs if index else ()
            was_added = all(known.job_id != job.job_id for known in jobs)
            if not was_added:
                return None
            return IndexRecord((*jobs, entry))

        self._store.update(self._key(job.job_id), IndexRecord, change)
        return was_added

    def remove(self, job_id: str) -> None:
        """Remove a job, if it is in the index."""

        def change(index: IndexRecord | None) -> IndexRecord | None:
            jobs = index.jobs if index else ()
            left = tuple(known for known in jobs if known.job_id != job_id)
            return None if len(left) == len(jobs) else IndexRecord(left)

        self._store.update(self._key(job_id), IndexRecord, change)

    def poll(self) -> tuple[IndexEntry, ...]:
        """Refresh the next bucket with one call and return the open jobs of all buckets.

        Each call refreshes another bucket, in turn; the jobs of the others are those last read. The
        store call is a watch that does not wait: it returns the object only if it has changed.
        """
        number = self._next_bucket
        self._next_bucket = (number + 1) % self._bucket_count
        key = index_key(number)
        bucket = self._cached[number]
        result = self._store.store.watch(key, bucket.revision, NO_WAIT_MS)
        for change in result.changes:
            if change.key == key and change.value is not None:
                found = self._store.decode(key, change.version, change.value, IndexRecord)
                bucket.jobs = found.body.jobs
        bucket.revision = result.revision
        return tuple(entry for known in self._cached for entry in known.jobs)

    def _key(self, job_id: str) -> str:
        return index_key(int(sha256(job_id.encode()).hexdigest()[:8], 16) % self._bucket_count)
