"""Verifies from the stored records that each accepted item has exactly one readable outcome."""

from collections import Counter

from msgspec import Struct

from ebonyshore.errors import EbonyshoreError
from ebonyshore.job_store import JobStore
from ebonyshore.jobs import JobRecord, JobState
from ebonyshore.result_codes import ResultCode
from ebonyshore.settings_store import SettingsStore, digest_of


class AuditReport(Struct):
    """Counts of items over all jobs.

    :param open_items: without an outcome in jobs that have not ended.
    :param lost: without an outcome in jobs that have ended, or with an unreadable one.
    :param faults: one line for each fault found.
    """

    jobs: int = 0
    accepted: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0
    open_items: int = 0
    duplicated: int = 0
    lost: int = 0
    faults: list[str] = []

    def line(self) -> str:
        """Return the closing line."""
        return (
            f"audit: jobs={self.jobs} accepted={self.accepted} completed={self.completed} "
            f"failed={self.failed} cancelled={self.cancelled} duplicated={self.duplicated} "
            f"lost={self.lost}"
        )

    @property
    def is_clean(self) -> bool:
        """Whether nothing is duplicated, lost or altered."""
        return not (self.duplicated or self.lost or self.faults)


class Auditor:
    """Reads everything that the store holds of jobs and settings."""

    def __init__(self, jobs: JobStore, settings: SettingsStore) -> None:
        self._jobs = jobs
        self._settings = settings

    def run(self) -> AuditReport:
        """Return the report."""
        report = AuditReport()
        for job in self._jobs.list_jobs():
            self._audit_job(job, report)
        self._audit_settings(report)
        return report

    def _audit_job(self, job: JobRecord, report: AuditReport) -> None:
        report.jobs += 1
        report.accepted += job.item_count
        counts: Counter[int] = Counter()
        for shard in range(job.shard_count):
            self._audit_shard(job, shard, counts, report)
        missing = job.item_count - len(counts)
        report.duplicated += sum(count - 1 for count in counts.values())
        if not job.is_ended:
            report.open_items += missing
        elif job.state is JobState.CANCELLED:
            report.cancelled += missing
        else:
            report.lost += missing

    def _audit_shard(
        self, job: JobRecord, shard: int, counts: Counter[int], report: AuditReport
    ) -> None:
        record = self._jobs.read_shard(job.job_id, shard)
        if record is None:
            return
        try:
            for segment in self._jobs.read_segments(record.body):
                for outcome in segment.outcomes:
                    counts[outcome.item] += 1
                    if outcome.code is ResultCode.OK:
                        report.completed += 1
                    else:
                        report.failed += 1
        except EbonyshoreError as error:
            report.faults.append(f"{job.job_id}/{shard}: {error}")

    def _audit_settings(self, report: AuditReport) -> None:
        previous = None
        for change in self._settings.read().recent:
            if change.digest != digest_of(change):
                report.faults.append(f"settings revision {change.revision} was altered")
            if previous is not None and change.previous_digest != previous.digest:
                report.faults.append(
                    f"settings revision {change.revision} does not follow {previous.revision}"
                )
            previous = change
