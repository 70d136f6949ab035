"""What callers were told, and what breaks a promise; safe to use from any thread."""

from collections.abc import Sequence
from threading import Lock

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore_standins.stream_target import RunRecord, expected_data

REFUSAL_STATUSES = (408, 421, 429, 503)
CANCEL_TIMEOUT_MS = 3_000.0  # after which a runner starts no item of a job that has ended
MAX_FAULT_DURATION_MS = (
    2_500.0  # a runner that is paused or cut off hears of the end that much later
)
CANCEL_BOUND_MS = CANCEL_TIMEOUT_MS + MAX_FAULT_DURATION_MS


class JobSize(Struct, frozen=True):
    """Number of items of a job, and of events of each item."""

    items: int
    events: int


class GuaranteeChecker:
    """Collects answers while the soak runs and compares them with the targets' runs at its end."""

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
        """Count an outcome."""
        with self._lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def report_violation(self, text: str) -> None:
        """Note a broken promise."""
        with self._lock:
            self.violations.append(f"{self._clock.monotonic_ms():.0f} {text}")

    def check_stream(self, request_id: str, events: int, data: str) -> None:
        """Check an answer that ended as whole."""
        self.count("streams_whole")
        if data != expected_data(request_id, events):
            self.report_violation(f"request {request_id}: the answer is not its own or not whole")

    def check_page(self, job_id: str, first: int, page: dict[str, object]) -> None:
        """Check a page of results against all that were read before."""
        with self._lock:
            known = self._results.setdefault(job_id, [])
            found = [(r["Id"], r["State"], r["Data"]) for r in page["Results"]]
            overlap = known[first : first + len(found)]
            is_same = found[: len(overlap)] == overlap
            if first + len(found) > len(known):
                known.extend(found[len(known) - first :])
        if not is_same:
            self.report_violation(f"job {job_id}: a position has another result than before")

    def check_config(self, entry: str, pid: int, version: int) -> None:
        """Take that one process has served a route that only one version has."""
        with self._lock:
            newest = self._config_versions.get((entry, pid), 0)
            self._config_versions[entry, pid] = max(newest, version)
        if version < newest:
            self.report_violation(f"{entry} went back from configuration {newest} to {version}")

    def result_count(self, job_id: str) -> int:
        """Return how many results of a job were read so far."""
        with self._lock:
            return len(self._results.get(job_id, ()))

    def check_runs(self, runs: Sequence[RunRecord]) -> None:
        """Compare with what reached the targets."""
        runs_by_id: dict[str, int] = {}
        for run in runs:
            runs_by_id[run.request_id] = runs_by_id.get(run.request_id, 0) + 1
        for request_id, number in runs_by_id.items():
            if request_id.startswith("once") and number > 1:
                self.report_violation(f"request {request_id} ran {number} times")
        for request_id in self.refused_request_ids & set(runs_by_id):
            self.report_violation(f"request {request_id} ran though it was refused as not run")
        for job_id, size in self.refused_jobs.items():
            if job_id not in self.accepted_jobs and any(
                f"{job_id}-{n}" in runs_by_id for n in range(size.items)
            ):
                self.report_violation(f"job {job_id} ran though every send of it was refused")
        for job_id, size in self.accepted_jobs.items():
            self._check_job(job_id, size)
        self._check_starts_after_cancel(runs)

    def _check_starts_after_cancel(self, runs: Sequence[RunRecord]) -> None:
        for run in runs:
            job_id = run.request_id.rpartition("-")[0]
            ended_ms = self.cancel_acknowledged_ms.get(job_id)
            if ended_ms is not None and run.started_ms > ended_ms + CANCEL_BOUND_MS:
                self.report_violation(
                    f"item {run.request_id} started {run.started_ms - ended_ms:.0f} ms after "
                    "its job had ended"
                )

    def _check_job(self, job_id: str, size: JobSize) -> None:
        found = self._results.get(job_id, [])
        ids = [item_id for item_id, _, _ in found]
        if len(set(ids)) != len(ids):
            self.report_violation(f"job {job_id}: an item stands at two positions")
        if job_id not in self.cancelled_jobs and len(found) != size.items:
            self.report_violation(f"job {job_id}: {len(found)} of {size.items} items are listed")
        for item_id, state, data in found:
            if state == "complete" and data != expected_data(item_id, size.events):
                self.report_violation(f"item {item_id}: its text is not whole")
            if state != "complete" and job_id not in self.cancelled_jobs:
                self.report_violation(f"item {item_id} was given up though it could be done")
