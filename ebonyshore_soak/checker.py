"""Records what callers were told and finds violated guarantees. Thread-safe."""

from collections.abc import Sequence
from threading import Lock

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore_standins.fleet_client import STREAM_DEADLINE_MS
from ebonyshore_standins.fleet_config import MAX_ATTEMPTS
from ebonyshore_standins.stream_target import RunRecord, expected_data, mixed_streams

ONLINE_PREFIXES = (
    "stream-",
    "once-",
    "crash-",
    "part-",
    "account-",
)  # of the ids of online requests
# A request that is sent once more may end later than the first by this much.
DEADLINE_SLACK_MS = 500.0
REFUSAL_STATUSES = (408, 421, 429, 503)
# Time after which a runner starts no more items of a cancelled job.
CANCEL_TIMEOUT_MS = 3_000.0
# A runner that is paused or disconnected learns of a cancellation up to this much later.
MAX_FAULT_DURATION_MS = 2_500.0
CANCEL_BOUND_MS = CANCEL_TIMEOUT_MS + MAX_FAULT_DURATION_MS


class JobSize(Struct, frozen=True):
    """Number of items of a job and number of events in the result of each item."""

    items: int
    events: int


class GuaranteeChecker:
    """Collects responses during the soak test and compares them with the targets' runs at its end.

    :ivar violations: one text for each violated guarantee, after its monotonic time in ms.
    :ivar counts: number of outcomes by name.
    :ivar refused_request_ids: requests with a single attempt that were refused as not run.
    :ivar accepted_jobs: jobs that were accepted, by ID.
    :ivar refused_jobs: jobs of which every submission was refused, by ID.
    :ivar cancelled_jobs: jobs whose cancellation was requested, with or without a response.
    :ivar cancel_acknowledged_ms: monotonic time of the acknowledged cancellation, by job ID.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self.violations: list[str] = []
        self.counts: dict[str, int] = {}
        self.refused_request_ids: set[str] = set()
        self.accepted_jobs: dict[str, JobSize] = {}
        self.refused_jobs: dict[str, JobSize] = {}
        self.cancelled_jobs: set[str] = set()
        self.cancel_acknowledged_ms: dict[str, float] = {}
        self._config_versions: dict[tuple[str, int], int] = {}
        self._results: dict[str, list[tuple[str, str, str]]] = {}

    def count(self, name: str) -> None:
        """Count one occurrence of an outcome."""
        with self._lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def report_violation(self, text: str) -> None:
        """Record the violation of a guarantee."""
        with self._lock:
            self.violations.append(f"{self._clock.monotonic_ms():.0f} {text}")

    def check_stream(self, request_id: str, events: int, data: str) -> None:
        """Count a stream that ended as complete and check its data.

        :param events: number of events that the request asked for.
        :param data: data of all events, joined by line feeds.
        """
        self.count("streams_whole")
        if data != expected_data(request_id, events):
            self.report_violation(
                f"request {request_id}: the response belongs to another request or is incomplete"
            )

    def check_page(self, job_id: str, first: int, page: dict[str, object]) -> None:
        """Compare a page of results with the results read before, and record the new ones.

        :param first: position of the first result of the page.
        """
        with self._lock:
            known_results = self._results.setdefault(job_id, [])
            page_results = [(r["Id"], r["State"], r["Data"]) for r in page["Results"]]
            overlap = known_results[first : first + len(page_results)]
            is_same = page_results[: len(overlap)] == overlap
            if first + len(page_results) > len(known_results):
                known_results.extend(page_results[len(known_results) - first :])
        if not is_same:
            self.report_violation(f"job {job_id}: the result at a position has changed")

    def check_config(self, entry: str, pid: int, version: int) -> None:
        """Record a configuration version that a process serves; it must not decrease.

        :param entry: name of the entry.
        :param pid: process ID of the entry, as a restarted entry may serve an older version.
        """
        with self._lock:
            newest = self._config_versions.get((entry, pid), 0)
            self._config_versions[entry, pid] = max(newest, version)
        if version < newest:
            self.report_violation(f"{entry} reverted from configuration {newest} to {version}")

    def result_count(self, job_id: str) -> int:
        """Return the number of results of a job that have been read."""
        with self._lock:
            return len(self._results.get(job_id, ()))

    def check_runs(self, runs: Sequence[RunRecord]) -> None:
        """Check requests and jobs against the runs that the targets recorded."""
        run_counts: dict[str, int] = {}
        for run in runs:
            run_counts[run.request_id] = run_counts.get(run.request_id, 0) + 1
        for request_id, count in run_counts.items():
            if request_id.startswith("once") and count > 1:
                self.report_violation(f"request {request_id} ran {count} times")
        self._check_attempts(runs)
        for stream_id in mixed_streams(runs):
            self.report_violation(f"{stream_id} has events of two software versions")
        for request_id in self.refused_request_ids & set(run_counts):
            self.report_violation(f"request {request_id} ran although it was refused as not run")
        for job_id, size in self.refused_jobs.items():
            if job_id not in self.accepted_jobs and any(
                f"{job_id}-{item}" in run_counts for item in range(size.items)
            ):
                self.report_violation(f"job {job_id} ran although every submission was refused")
        for job_id, size in self.accepted_jobs.items():
            self._check_job(job_id, size)
        self._check_starts_after_cancel(runs)

    def _check_attempts(self, runs: Sequence[RunRecord]) -> None:
        """Check how often each online request ran, and the time that it gave its targets."""
        first_runs: dict[str, RunRecord] = {}
        counts: dict[str, int] = {}
        for run in sorted(runs, key=lambda run: run.received_ms):
            if not run.request_id.startswith(ONLINE_PREFIXES):
                continue
            counts[run.request_id] = counts.get(run.request_id, 0) + 1
            first = first_runs.setdefault(run.request_id, run)
            end_ms = first.received_ms + min(STREAM_DEADLINE_MS, first.remaining_ms)
            excess_ms = run.received_ms + run.remaining_ms - end_ms
            if excess_ms > DEADLINE_SLACK_MS:
                self.report_violation(
                    f"request {run.request_id}: a target was given {excess_ms:.0f} ms too much"
                )
        for request_id, count in counts.items():
            if count > MAX_ATTEMPTS:
                self.report_violation(f"request {request_id} ran {count} times")

    def _check_starts_after_cancel(self, runs: Sequence[RunRecord]) -> None:
        for run in runs:
            job_id = run.request_id.rpartition("-")[0]
            cancelled_ms = self.cancel_acknowledged_ms.get(job_id)
            if cancelled_ms is not None and run.started_ms > cancelled_ms + CANCEL_BOUND_MS:
                self.report_violation(
                    f"item {run.request_id} started {run.started_ms - cancelled_ms:.0f} ms after "
                    "the cancellation of its job"
                )

    def _check_job(self, job_id: str, size: JobSize) -> None:
        results = self._results.get(job_id, [])
        item_ids = [item_id for item_id, _, _ in results]
        if len(set(item_ids)) != len(item_ids):
            self.report_violation(f"job {job_id}: an item is listed at two positions")
        if job_id not in self.cancelled_jobs and len(results) != size.items:
            self.report_violation(f"job {job_id}: {len(results)} of {size.items} items are listed")
        for item_id, state, data in results:
            if state == "complete" and data != expected_data(item_id, size.events):
                self.report_violation(f"item {item_id}: its data is incomplete")
            if state != "complete" and job_id not in self.cancelled_jobs:
                self.report_violation(
                    f"item {item_id} was given up although its target could complete it"
                )
