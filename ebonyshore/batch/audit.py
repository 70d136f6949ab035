"""Verifies from the stored records that each accepted item has exactly one readable outcome."""

from collections import Counter

from msgspec import DecodeError, MsgspecError, Struct
from msgspec.json import decode

from ebonyshore.batch.job_files import parse_item
from ebonyshore.batch.job_store import SHARD_PREFIX, JobStore, digest_from_name, segment_digest
from ebonyshore.batch.jobs import ItemOutcome, JobRecord, JobState, SegmentRecord, ShardRecord
from ebonyshore.frame.errors import EbonyshoreError, RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_history import find_history_faults
from ebonyshore.settings.settings_store import SettingsStore


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

    def summary_line(self) -> str:
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
        job_ids = set()
        for job in self._jobs.list_jobs():
            job_ids.add(job.job_id)
            _JobAudit(self._jobs, job, report).run()
        for key, _ in self._jobs.list_versions(SHARD_PREFIX):
            if key.split("/")[1] not in job_ids:
                report.faults.append(f"{key}: the job is missing")
        report.faults += find_history_faults(self._settings)
        return report


class _JobAudit:
    """Compares a job's record, shards, segments and file with each other."""

    def __init__(self, jobs: JobStore, job: JobRecord, report: AuditReport) -> None:
        self._jobs = jobs
        self._job = job
        self._report = report
        self._ended = ShardRecord(job.job_id, -1, 0)

    def run(self) -> None:
        """Add the job to the report."""
        job = self._job
        self._report.jobs += 1
        self._report.accepted += job.item_count
        cancelled = 0
        for number in range(job.shard_count):
            cancelled += self._audit_shard(number)
        ended = self._ended
        found = (ended.completed_items, ended.failed_items, cancelled)
        recorded = (job.completed_items, job.failed_items, job.cancelled_items)
        self._expect(found == recorded, "", f"counts are {recorded}; the shards have {found}")
        is_all = sorted(job.done_shards) == list(range(job.shard_count))
        self._expect(is_all or not job.is_ended, "", "ended before its shards")
        self._expect(len(set(job.done_shards)) == len(job.done_shards), "", "a shard ended twice")

    def _audit_shard(self, number: int) -> int:
        """Return the items cancelled in a shard that ended."""
        items = self._job.shard_range(number)
        counts: Counter[int] = Counter()
        record = None
        try:
            found = self._jobs.read_shard(self._job.job_id, number)
            record = found.body if found else None
            if record is not None:
                self._audit_segments(record, counts)
        except (EbonyshoreError, MsgspecError) as error:
            self._fault(number, str(error))
        missing = sum(1 for item in items if not counts[item])
        self._report.duplicated += sum(count - 1 for count in counts.values())
        self._expect(all(item in items for item in counts), number, "has items of other shards")
        if record is None or number not in self._job.done_shards:
            self._note_open(number, missing)
            return 0
        return self._audit_ended(record, missing)

    def _note_open(self, number: int, missing: int) -> None:
        if self._job.is_ended:
            self._report.lost += missing
            self._fault(number, "the job ended without it")
        else:
            self._report.open_items += missing

    def _audit_ended(self, record: ShardRecord, missing: int) -> int:
        self._expect(record.is_ended, record.shard, "is open, but the job says it ended")
        self._ended = ShardRecord(
            record.job_id,
            -1,
            0,
            completed_items=self._ended.completed_items + record.completed_items,
            failed_items=self._ended.failed_items + record.failed_items,
        )
        is_cancelled = self._job.state in (JobState.CANCELLED, JobState.CANCELLING)
        if is_cancelled and missing == record.item_count - record.done_items:
            self._report.cancelled += missing
            return missing
        self._report.lost += missing
        return 0

    def _audit_segments(self, record: ShardRecord, counts: Counter[int]) -> None:
        previous = ""
        completed = 0
        total = 0
        custom_ids = self._custom_ids(record.shard)
        for name, segment in zip(record.segments, self._jobs.read_segments(record), strict=True):
            self._audit_chain(record, name, segment, previous)
            previous = digest_from_name(name)
            for outcome in segment.outcomes:
                counts[outcome.item] += 1
                total += 1
                completed += outcome.code is ResultCode.OK
                self._audit_outcome(record.shard, outcome, custom_ids)
        found = (total, completed, total - completed)
        recorded = (record.done_items, record.completed_items, record.failed_items)
        self._expect(
            found == recorded, record.shard, f"counts are {recorded}; the segments have {found}"
        )

    def _audit_chain(
        self, record: ShardRecord, name: str, segment: SegmentRecord, previous: str
    ) -> None:
        is_intact = segment_digest(segment) == digest_from_name(name)
        self._expect(is_intact, record.shard, f"segment {name} was altered")
        is_next = segment.previous_digest == previous
        self._expect(is_next, record.shard, f"segment {name} does not follow the one before")
        is_own = (segment.job_id, segment.shard) == (record.job_id, record.shard)
        self._expect(is_own, record.shard, f"segment {name} belongs to another shard")

    def _audit_outcome(
        self, shard: int, outcome: ItemOutcome, custom_ids: dict[int, str | None]
    ) -> None:
        expected = custom_ids.get(outcome.item)
        is_own = expected is None or expected == outcome.custom_id
        self._expect(is_own, shard, f"item {outcome.item} has another custom_id in its file")
        if outcome.code is not ResultCode.OK:
            self._report.failed += 1
            return
        self._report.completed += 1
        try:
            decode(outcome.body, type=dict)
        except (DecodeError, MsgspecError) as error:
            self._report.lost += 1
            self._fault(shard, f"the result of item {outcome.item} is unreadable: {error}")

    def _custom_ids(self, shard: int) -> dict[int, str | None]:
        """Return what the file says; ``None`` for malformed lines."""
        items = self._job.shard_range(shard)
        file = self._jobs.files.read(self._job.file_id, self._job.caller)
        lines = self._jobs.files.read_lines(file, items)
        return {item: _custom_id(line) for item, line in zip(items, lines, strict=True)}

    def _expect(self, is_true: bool, shard: int | str, text: str) -> None:
        if not is_true:
            self._fault(shard, text)

    def _fault(self, shard: int | str, text: str) -> None:
        self._report.faults.append(f"{self._job.job_id}/{shard}: {text}")


def _custom_id(line: bytes) -> str | None:
    try:
        return parse_item(line).custom_id
    except RequestError:
        return None
