"""Watches of the store whose connections fall silent, with real processes."""

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.fleet_client import cancel_job, submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet, running
from ebonyshore_standins.stream_target import StreamTarget

CLOCK = SystemClock()
CANCEL_MS = 3_000.0  # within which no item of an ended job starts any more
OBSERVED_MS = 9_000.0  # after the end of a job
JOBS = 6  # some of them are ended at a runner that is not their owner
ITEMS = 50
EVENTS = 60
EVENT_INTERVAL_MS = 20.0
SILENT_MS = 2_500.0
SMALL_JOB_INTERVAL_MS = 300.0


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(
        tmp_path,
        runners=4,
        make_target=lambda target_id: StreamTarget(target_id, event_interval_ms=EVENT_INTERVAL_MS),
    )
    with running(platform_fleet):
        yield platform_fleet


def is_watch_of(kind, method, path):
    return method == "GET" and f"/{kind}?" in path and "Watch=" in path


def silence_watches(fleet, kind):
    """Let the store answer none of the watches of a kind that it receives from now on."""
    fleet.platform.fault_hook = lambda method, path: (
        "silent" if is_watch_of(kind, method, path) else None
    )


def late_starts(fleet, ended_ms):
    """Return the items that reached targets too late, with the ms since the end of their jobs.

    :param ended_ms: times at which the ends of jobs were acknowledged, by job id.
    """
    runs = [run for target in fleet.targets for run in list(target.runs)]
    since_end = [
        (run.request_id, run.received_ms - ended_ms[job_id])
        for run in runs
        if (job_id := run.request_id.rpartition("-")[0]) in ended_ms
    ]
    return [(item, late_ms) for item, late_ms in since_end if late_ms > CANCEL_MS]


def test_items_of_an_ended_job_do_not_start_while_its_owner_has_a_silent_watch(fleet):
    """Guards against a runner that goes by an old record because its watch is dead."""
    first, second = fleet.entries
    job_ids = [f"ended{number}" for number in range(JOBS)]
    assert [submit_job(first, job_id, ITEMS, EVENTS) for job_id in job_ids] == [202] * JOBS
    silence_watches(fleet, "jobs")
    end_ms = CLOCK.monotonic_ms() + SILENT_MS
    number = 0
    while CLOCK.monotonic_ms() < end_ms:  # so that pending watches return and are sent again
        submit_job(first, f"small{number}", items=1)
        number += 1
        CLOCK.sleep_ms(SMALL_JOB_INTERVAL_MS)
    fleet.platform.fault_hook = lambda _method, _path: None
    ended_ms = {}
    for job_id in job_ids:
        assert cancel_job(second, job_id) == 200
        ended_ms[job_id] = CLOCK.monotonic_ms()
    CLOCK.sleep_ms(OBSERVED_MS)
    assert late_starts(fleet, ended_ms) == []
