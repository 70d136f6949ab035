"""Repairs what interrupted batch work leaves in the store; run by the holder of the clean-up duty.

Open jobs that are missing in the index are added. This happens if the submitting entry failed
halfway and the submission was not repeated. Segments to which no shard record refers are deleted
once all shards of the job have ended. They are left by holders that failed before the commit;
before the shards have ended, a commit may be in progress.

The cost is one list call for each page of jobs, two reads for each open job (the job and the
index) and, for each ended job, one read of the job and of each of its shards and one list call. The
versions of swept ended jobs are kept in memory, so that the same process does not sweep them again.
"""

from ebonyshore.batch.job_store import JOB_PREFIX, JobStore
from ebonyshore.batch.jobs import JobRecord, segment_key, segment_prefix
from ebonyshore.frame.errors import RequestError, WriteConflictError, WriteOutcomeUnknownError
from ebonyshore.store.marked_write import MarkedStore

JOBS_PER_STEP = 20
# Bounds the memory; at this number all are forgotten, and the jobs are swept again.
MAX_SWEPT_VERSIONS = 50_000


class BatchSweeper:
    """Sweeps all jobs in turn, :data:`JOBS_PER_STEP` at each step.

    :param store: the store that ``jobs`` uses.
    :param jobs: the jobs to sweep.
    """

    def __init__(self, store: MarkedStore, jobs: JobStore) -> None:
        self._store = store.store
        self._jobs = jobs
        self._last_key = ""
        self._swept_versions: dict[str, int] = {}

    def step(self) -> int:
        """Sweep the next page of jobs.

        :return: number of jobs added to the index and segments deleted.
        :raises StoreError: if the store fails; the next step repeats the page.
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
            # It is deleted already, or the next holder of the duty tries again.
            return False
        return True
