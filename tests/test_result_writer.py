"""Writes of results while the store fails: it is called for one job at a time."""

import asyncio
from types import SimpleNamespace

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.runner import result_writer
from ebonyshore.runner.result_writer import ResultWriter

RETRY_DELAY_MS = 20.0
JOBS = 20


class PendingProgress:
    """A job all of whose items have ended and wait to be stored."""

    has_unsaved_failures = False
    open_count = 0
    next_segment = 0
    listed_count = 1

    def __init__(self, job_id):
        self.job_id = job_id
        self.pending_count = 1

    def build_segment(self):
        return SimpleNamespace(results=(self.job_id,))

    def apply_segments(self, _first, _segments):
        self.pending_count = 0


class OneStoreRegistry:
    """Holds the jobs and a store that fails for some of them.

    :ivar calls: job ids of the writes, in order.
    """

    def __init__(self, failing):
        self.jobs = [PendingProgress(f"j{n}") for n in range(JOBS)]
        self.failing = failing
        self.calls = []
        self.storage = SimpleNamespace(append_segment=None)

    def owned_jobs(self):
        return self.jobs

    async def run_blocking(self, _function, job_id, _number, _segment):
        self.calls.append(job_id)
        if job_id in self.failing:
            raise StoreUnavailableError("down")

    def notify_results(self, _job_id):
        """Do nothing: nobody waits for results here."""

    def on_change(self):
        """Do nothing: the test calls the writer itself."""


async def write_for(registry, duration_ms):
    writer = ResultWriter(registry, ManualClock(0.0), EventLog(), Metrics())
    for _ in range(int(duration_ms)):
        writer.start_due_writes()
        await asyncio.sleep(0.001)


def test_store_that_fails_for_all_jobs_is_called_for_one_job_at_a_time(monkeypatch):
    """Guards against a billed call every 300 ms for each of the jobs that wait."""
    monkeypatch.setattr(result_writer, "RETRY_DELAY_MS", RETRY_DELAY_MS)
    registry = OneStoreRegistry({f"j{n}" for n in range(JOBS)})
    asyncio.run(write_for(registry, 10 * RETRY_DELAY_MS))
    assert len(registry.calls) <= JOBS + 10 * 2
    registry.failing = set()
    asyncio.run(write_for(registry, 10 * RETRY_DELAY_MS))
    assert not any(progress.pending_count for progress in registry.jobs)


def test_job_that_cannot_be_stored_does_not_hold_up_others(monkeypatch):
    monkeypatch.setattr(result_writer, "RETRY_DELAY_MS", RETRY_DELAY_MS)
    registry = OneStoreRegistry({"j0"})
    asyncio.run(write_for(registry, 10 * RETRY_DELAY_MS))
    assert [p.job_id for p in registry.jobs if p.pending_count] == ["j0"]
