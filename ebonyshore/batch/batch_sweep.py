"""Repairs and clears what interrupted batch work leaves; run by the holder of the clean-up duty.

An open job that the index does not list, because its submitter failed halfway and never resent it,
is listed. A segment that no ended shard refers to, because its holder failed before the commit, is
deleted; segments of shards that have not ended are left alone, since a commit may be under way.

Costs one list call for each page of jobs, and for each job that ended one list call and one read
for each of its shards. The versions of jobs that were swept are remembered.
"""

from ebonyshore.batch.job_store import JOB_PREFIX, JobStore
from ebonyshore.batch.jobs import JobRecord, segment_key, segment_prefix
from ebonyshore.frame.errors import RequestError, WriteConflictError, WriteOutcomeUnknownError
from ebonyshore.store.marked_write import MarkedStore

JOBS_PER_STEP = 20
MAX_SWEPT_VERSIONS = 50_000


class BatchSweeper:
    """Goes through all jobs, a page at each step.

    :param store: the store that ``jobs`` uses.
    """

    def __init__(self, store: MarkedStore, jobs: JobStore) -> None:
        self._store = store.store
        self._jobs = jobs
        self._last_key = ""
        self._swept_versions: dict[str, int] = {}

    def step(self) -> int:
        """Check one page; return how many jobs were listed and segments deleted.

        :raises StoreError: the page is checked again by the next step.
        """
        page = self._store.list_keys(JOB_PREFIX, self._last_key, JOBS_PER_STEP)
        changes = 0
        for summary in page:
            if self._swept_versions.get(summary.key) != summary.version:
                changes += self._sweep_job(summary.key, summary.version)
        self._last_key = page[-1].key if len(page) == JOBS_PER_STEP else ""
        return changes

    def _sweep_job(self, key: str, version: int) -> int:
        try:
            job = self._jobs.read_job(key.removeprefix(JOB_PREFIX))
        except RequestError:
            return 0
        if not job.is_ended:
            return int(self._jobs.index.add(job))
        deleted = self._delete_orphaned_segments(job)
        if len(self._swept_versions) >= MAX_SWEPT_VERSIONS:
            self._swept_versions.clear()
        self._swept_versions[key] = version
        return deleted

    def _delete_orphaned_segments(self, job: JobRecord) -> int:
        committed = set()
        for number in range(job.shard_count):
            shard = self._jobs.read_shard(job.job_id, number)
            if shard is None or not shard.body.is_ended:
                return 0
            committed.update(
                segment_key(job.job_id, number, segment) for segment in shard.body.segments
            )
        deleted = 0
        for key, version in self._jobs.list_versions(segment_prefix(job.job_id)):
            if key not in committed:
                deleted += self._try_delete(key, version)
        return deleted

    def _try_delete(self, key: str, version: int) -> bool:
        try:
            self._store.delete(key, version)
        except (WriteConflictError, WriteOutcomeUnknownError):
            # The next holder finds it gone or tries again.
            return False
        return True
