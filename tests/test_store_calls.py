"""Calls to the store that grow with the number of processes, counted on real processes."""

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.fleet_client import read_job, submit_job
from ebonyshore_standins.fleet_config import SERVICE
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

CLOCK = SystemClock()
JOBS = 15
JOB_INTERVAL_MS = 350.0
MAX_JOB_WATCHES_PER_S = 1.0  # of each runner


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, entries=3)
    with running(platform_fleet):
        yield platform_fleet


def count_watches(fleet, kind):
    """Count the watches of a kind from now on; return the list that they are added to."""
    watches = []

    def count(method, path):
        if method == "GET" and f"/{kind}?" in path and "Watch=" in path:
            watches.append(path)

    fleet.platform.fault_hook = count
    return watches


def test_lost_runner_costs_the_entries_no_calls_to_the_store(fleet):
    """Guards against a call by each entry for each sign of life of the other runners."""
    fleet.runners[1].kill()
    CLOCK.sleep_ms(1_500.0)
    watches = count_watches(fleet, "processes")
    CLOCK.sleep_ms(4_000.0)
    assert len(watches) <= len(fleet.processes)


def test_job_costs_the_other_runners_less_than_a_call_each(fleet):
    """Guards against a call by each runner for each job of the fleet."""
    watches = count_watches(fleet, "jobs")
    started_ms = CLOCK.monotonic_ms()
    for number in range(JOBS):
        assert submit_job(fleet.entries[0], f"j{number}", items=2) == 202
        CLOCK.sleep_ms(JOB_INTERVAL_MS)
    wait_until(lambda: len(read_job(fleet.entries[0], f"j{JOBS - 1}")[1]["Results"]) == 2)
    duration_s = (CLOCK.monotonic_ms() - started_ms) / 1_000.0
    # The first watch of each runner returns at once.
    limit = len(fleet.runners) * (MAX_JOB_WATCHES_PER_S * duration_s + 1)
    assert len(watches) <= limit


def count_origin_calls(fleet):
    """Return the numbers of reads and writes of the origins of streams so far."""
    calls = [method for method, path in list(fleet.platform.calls) if "/streamorigins" in path]
    return calls.count("GET"), len(calls) - calls.count("GET")


def test_origins_of_streams_cost_one_read_and_one_write_per_runner_on_calm_days(fleet):
    """Guards against calls for streams although there is one software version."""
    streams = [CallerStream(f"calm{number}", 5) for number in range(10)]
    for stream in streams:
        assert stream.read(fleet.entries[0]) == 200
    CLOCK.sleep_ms(2_000.0)
    assert count_origin_calls(fleet) == (len(fleet.runners), len(fleet.runners))
    fleet.restart_all()
    CLOCK.sleep_ms(2_000.0)
    assert count_origin_calls(fleet) == (2 * len(fleet.runners), len(fleet.runners))


def test_origins_of_streams_cost_two_writes_a_second_during_a_release(fleet):
    """Guards against a call to the store for each stream."""
    fleet.targets[0].software_version = "v2"
    fleet.platform.state.put("servers", "t1", fleet.targets[0].target_entry(SERVICE))
    CLOCK.sleep_ms(1_000.0)
    _, former_writes = count_origin_calls(fleet)
    assert former_writes <= 2 * len(fleet.runners) + 1  # the versions before and after
    started_ms = CLOCK.monotonic_ms()
    for number in range(40):
        assert CallerStream(f"release{number}", 5).read(fleet.entries[number % 3]) == 200
    duration_s = (CLOCK.monotonic_ms() - started_ms) / 1_000.0
    _, writes = count_origin_calls(fleet)
    assert 0 < writes - former_writes <= 2 * duration_s + 1
