"""Memory of a real runner whose targets answer items without end, with the smallest limit."""

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.endless_target import EndlessAnswer, EndlessTarget
from ebonyshore_standins.fleet_client import read_job, submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

RUNNER_MB = 180
TARGETS = 12
ITEMS = 100
FAULT_MS = 4_000.0
CLOCK = SystemClock()


@pytest.fixture
def fleet(tmp_path):
    fleet = PlatformFleet(tmp_path, 1, 1, TARGETS, address_octet=68, make_target=EndlessTarget)
    for process in fleet.runners:
        process.memory_mb = RUNNER_MB
    fleet.set_store_address(fleet.platform.address)
    with running(fleet):
        yield fleet


class JobWatch:
    """Reads a job, and the memory of the runner, each time that it is asked."""

    def __init__(self, fleet, job_id):
        self.peak_mb = 0.0
        self._fleet = fleet
        self._job_id = job_id

    def is_done(self):
        self.peak_mb = max(self.peak_mb, self._fleet.runners[0].resident_mb())
        _, page = read_job(self._fleet.entries[0], self._job_id)
        return len(page.get("Results", ())) == ITEMS


@pytest.mark.parametrize("faulty", [2, TARGETS])
@pytest.mark.parametrize("answer", EndlessAnswer)
def test_answers_without_end_to_items_do_not_use_up_the_memory_of_a_runner(fleet, answer, faulty):
    """Guards against items whose answers fill the memory of their runner together."""
    for target in fleet.targets[:faulty]:
        target.answer = answer
    assert submit_job(fleet.entries[0], "endless", ITEMS) == 202
    watch = JobWatch(fleet, "endless")
    end_ms = CLOCK.monotonic_ms() + FAULT_MS
    wait_until(lambda: watch.is_done() or CLOCK.monotonic_ms() > end_ms)
    for target in fleet.targets:
        target.answer = None
    wait_until(watch.is_done, 60.0)
    assert watch.peak_mb < RUNNER_MB
