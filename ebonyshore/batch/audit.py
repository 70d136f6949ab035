"""Verifies that each accepted item has exactly one readable outcome in the stored records."""

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
    """Result of an audit. All counts but ``jobs`` are numbers of items.

    :param accepted: items of all jobs.
    :param completed: committed results.
    :param failed: committed failures.
    :param cancelled: items without an outcome in ended shards of cancelled jobs.
    :param open_items: items without an outcome in open shards of open jobs.
    :param duplicated: committed outcomes in excess of one per item.
    :param lost: items without an outcome in jobs or shards that have ended, or with an unreadable
        result.
    :param faults: one message for each fault found.
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
        """Return the line that sums up the report."""
        return (
            f"audit: jobs={self.jobs} accepted={self.accepted} completed={self.completed} "
            f"failed={self.failed} cancelled={self.cancelled} duplicated={self.duplicated} "
            f"lost={self.lost}"
        )

    @property
    def is_clean(self) -> bool:
        """Whether no item is duplicated or lost and no fault was found."""
        return not (self.duplicated or self.lost or self.faults)


class Auditor:
    """Audits all jobs and the settings history in the store.

    :param jobs: the stored jobs.
    :param settings: the stored settings.
    """

    def __init__(self, jobs: JobStore, settings: SettingsStore) -> None:
        self._jobs = jobs
        self._settings = settings

    def run(self) -> AuditReport:
        """Read all records and return the report."""
        report = AuditReport()
        job_ids = set()
        for job in self._jobs.list_jobs():
            job_ids.add(job.job_id)
            _JobAuditor(self._jobs, job, report).run()
        for key, _ in self._jobs.list_versions(SHARD_PREFIX):
            if key.split("/")[1] not in job_ids:
                report.faults.append(f"{key}: shard of a job that does not exist")
        report.faults += find_history_faults(self._settings)
        return report


class _JobAuditor:
    """Checks a job's record, shards, segments and file against each other.

    ``_ended_totals`` is not the record of a shard; it only holds the summed counts of the ended
    shards.
    """

    def __init__(self, jobs: JobStore, job: JobRecord, report: AuditReport) -> None:
        self._jobs = jobs
        self._job = job
        self._report = report
        self._ended_totals = ShardRecord(job.job_id, -1, 0)

    def run(self) -> None:
        """Add the job's counts and faults to the report."""
        job = self._job
        self._report.jobs += 1
        self._report.accepted += job.item_count
        cancelled = 0
        for number in range(job.shard_count):
            cancelled += self._audit_shard(number)
        ended = self._ended_totals
        found = (ended.completed_items, ended.failed_items, cancelled)
        recorded = (job.completed_items, job.failed_items, job.cancelled_items)
        self._check(
            found == recorded,
            "",
            f"completed, failed and cancelled items: {recorded} in the job, {found} in its shards",
        )
        has_all_shards = sorted(job.done_shards) == list(range(job.shard_count))
        self._check(has_all_shards or not job.is_ended, "", "the job ended before all its shards")
        self._check(
            len(set(job.done_shards)) == len(job.done_shards),
            "",
            "a shard is recorded as ended twice",
        )

    def _audit_shard(self, number: int) -> int:
        """Audit a shard and return the number of cancelled items, 0 for an open shard."""
        items = self._job.shard_range(number)
        counts: Counter[int] = Counter()
        record = None
        try:
            found = self._jobs.read_shard(self._job.job_id, number)
            record = found.body if found else None
            if record is not None:
                self._audit_segments(record, counts)
        except (EbonyshoreError, MsgspecError) as error:
            self._add_fault(number, str(error))
        missing = sum(1 for item in items if not counts[item])
        self._report.duplicated += sum(count - 1 for count in counts.values())
        self._check(all(item in items for item in counts), number, "contains items of other shards")
        if record is None or number not in self._job.done_shards:
            self._count_open_items(number, missing)
            return 0
        return self._audit_ended_shard(record, missing)

    def _count_open_items(self, number: int, missing: int) -> None:
        if self._job.is_ended:
            self._report.lost += missing
            self._add_fault(number, "the job ended before this shard")
        else:
            self._report.open_items += missing

    def _audit_ended_shard(self, record: ShardRecord, missing: int) -> int:
        self._check(record.is_ended, record.shard, "is open, but recorded as ended in the job")
        self._ended_totals = ShardRecord(
            record.job_id,
            -1,
            0,
            completed_items=self._ended_totals.completed_items + record.completed_items,
            failed_items=self._ended_totals.failed_items + record.failed_items,
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
        custom_ids = self._read_custom_ids(record.shard)
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
        self._check(
            found == recorded,
            record.shard,
            f"all, completed and failed items: {recorded} in the shard, {found} in its segments",
        )

    def _audit_chain(
        self, record: ShardRecord, name: str, segment: SegmentRecord, previous: str
    ) -> None:
        is_intact = segment_digest(segment) == digest_from_name(name)
        self._check(is_intact, record.shard, f"segment {name} does not match its digest")
        is_next = segment.previous_digest == previous
        self._check(is_next, record.shard, f"segment {name} does not follow the previous segment")
        is_own = (segment.job_id, segment.shard) == (record.job_id, record.shard)
        self._check(is_own, record.shard, f"segment {name} belongs to another shard")

    def _audit_outcome(
        self, shard: int, outcome: ItemOutcome, custom_ids: dict[int, str | None]
    ) -> None:
        expected = custom_ids.get(outcome.item)
        is_own = expected is None or expected == outcome.custom_id
        self._check(is_own, shard, f"the custom_id of item {outcome.item} differs from its file")
        if outcome.code is not ResultCode.OK:
            self._report.failed += 1
            return
        self._report.completed += 1
        try:
            decode(outcome.body, type=dict)
        except (DecodeError, MsgspecError) as error:
            self._report.lost += 1
            self._add_fault(shard, f"the result of item {outcome.item} is unreadable: {error}")

    def _read_custom_ids(self, shard: int) -> dict[int, str | None]:
        """Return the custom_ids in the file by item; ``None`` for malformed lines."""
        items = self._job.shard_range(shard)
        file = self._jobs.files.read(self._job.file_id, self._job.caller)
        lines = self._jobs.files.read_lines(file, items)
        return {item: _parse_custom_id(line) for item, line in zip(items, lines, strict=True)}

    def _check(self, is_met: bool, shard: int | str, text: str) -> None:
        """Add a fault if a condition is not met.

        :param shard: number of the shard; empty for the job itself.
        """
        if not is_met:
            self._add_fault(shard, text)

    def _add_fault(self, shard: int | str, text: str) -> None:
        self._report.faults.append(f"{self._job.job_id}/{shard}: {text}")


def _parse_custom_id(line: bytes) -> str | None:
    try:
        return parse_item(line).custom_id
    except RequestError:
        return None
