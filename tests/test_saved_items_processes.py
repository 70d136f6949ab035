"""Items go on after the events that their runner stored before it stopped, with real processes."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from ebonyshore_standins.stream_target import StreamTarget, expected_data, mixed_streams

CLOCK = SystemClock()
JOBS = 4
ITEMS = 4
EVENTS = 600  # three seconds
ONLINE_EVENTS = 300
CAPACITY = 8
TARGETS = 3


def make_target(target_id):
    return StreamTarget(target_id, CAPACITY)


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, targets=TARGETS, make_target=make_target)
    with running(platform_fleet):
        yield platform_fleet


def all_runs(fleet):
    return [run for target in fleet.targets for run in target.runs]


def submit_jobs(fleet):
    """Submit jobs to both runners, and wait until all their items are half done."""
    for number in range(JOBS):
        assert submit_job(fleet.entries[0], f"j{number}", ITEMS, EVENTS) == 202
    wait_until(lambda: sum(run.last_event > EVENTS / 2 for run in all_runs(fleet)) == JOBS * ITEMS)


def check_results(fleet):
    for number in range(JOBS):
        entry, job_id = fleet.entries[0], f"j{number}"
        wait_until(
            lambda entry=entry, job_id=job_id: len(read_job(entry, job_id)[1].get("Results", ()))
            == ITEMS
        )
        for result in read_job(entry, job_id)[1]["Results"]:
            assert result["Data"] == expected_data(result["Id"], EVENTS)
    assert not mixed_streams(all_runs(fleet))


def resumed_items(fleet, since_ms):
    """Return the items that went on after earlier events."""
    runs = [run for run in all_runs(fleet) if run.started_ms >= since_ms]
    return {run.request_id for run in runs if run.first_event > EVENTS / 8}


def test_items_go_on_after_a_planned_stop_of_their_runner(fleet):
    """Guards against work that each replacement of a runner repeats."""
    submit_jobs(fleet)
    stopped_ms = CLOCK.monotonic_ms()
    for runner in fleet.runners:
        assert runner.stop() == 0
        runner.start()
    check_results(fleet)
    assert len(resumed_items(fleet, stopped_ms)) == JOBS * ITEMS


def test_items_that_online_requests_have_interrupted_go_on_after_a_kill(fleet):
    """Guards against the loss of all work that waits for the end of a burst."""
    submit_jobs(fleet)
    with ThreadPoolExecutor(CAPACITY * TARGETS) as callers:
        burst = [
            callers.submit(
                request_stream, fleet.entries[number % 2], f"o{number}", events=ONLINE_EVENTS
            )
            for number in range(CAPACITY * TARGETS)
        ]
        state = fleet.platform.state
        wait_until(lambda: sum(kind == "jobitems" for kind, _ in list(state.objects)) == JOBS)
        killed_ms = CLOCK.monotonic_ms()
        for runner in fleet.runners:
            runner.kill()
            runner.start()
        assert [answer.result()[0] for answer in burst] == [200] * len(burst)
    check_results(fleet)
    assert len(resumed_items(fleet, killed_ms)) >= JOBS
