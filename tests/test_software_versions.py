"""Tests that a stream goes on only at the software version that began it, with real processes."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException
from random import Random

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.fleet_client import read_job, submit_job
from ebonyshore_standins.fleet_config import MAX_ATTEMPTS
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from ebonyshore_standins.stream_target import StreamTarget, expected_data, mixed_streams

CLOCK = SystemClock()
EVENTS = 60
EVENT_INTERVAL_MS = 10.0
EVENTS_BEFORE_BREAK = 5
STREAMS = 12
BREAKS = 8
BREAK_INTERVAL_MS = 150.0


def make_target(target_id):
    """Return a target whose version depends on its id: ``t1`` and ``t3`` have the same one."""
    target = StreamTarget(target_id, event_interval_ms=EVENT_INTERVAL_MS)
    target.software_version = "v1" if int(target_id[1:]) % 2 else "v2"
    return target


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(
        tmp_path, runners=3, targets=4, address_octet=8, make_target=make_target
    )
    with running(platform_fleet):
        yield platform_fleet


def all_runs(fleet):
    return [run for target in fleet.targets for run in target.runs]


def break_connections_in_turn(fleet):
    random = Random(1)
    for _ in range(BREAKS):
        CLOCK.sleep_ms(BREAK_INTERVAL_MS)
        random.choice(fleet.targets).break_connections()


def test_answer_that_breaks_off_goes_on_at_the_version_that_began_it(fleet):
    """Guards against an entry that resumes a stream at any target of the service."""
    streams = [CallerStream(f"answer{number}", EVENTS) for number in range(STREAMS)]

    def read(number):
        with suppress(OSError, HTTPException):  # the answer was cut off
            streams[number].read(fleet.entries[number % 2])

    with ThreadPoolExecutor(STREAMS) as callers:
        list_of_reads = [callers.submit(read, number) for number in range(STREAMS)]
        break_connections_in_turn(fleet)
    assert all(future.exception() is None for future in list_of_reads)
    runs = Counter(run.stream_id for run in all_runs(fleet))
    cut = [stream.name for stream in streams if not stream.is_complete]
    assert all(runs[name] == MAX_ATTEMPTS for name in cut), (cut, runs)
    assert any(stream.is_complete and runs[stream.name] > 1 for stream in streams)
    assert mixed_streams(all_runs(fleet)) == set()


def test_item_that_breaks_off_goes_on_at_the_version_that_began_it(fleet):
    """Guards against a result with events of two versions."""
    assert submit_job(fleet.entries[0], "j1", items=STREAMS, events=EVENTS) == 202
    break_connections_in_turn(fleet)
    wait_until(lambda: len(read_job(fleet.entries[0], "j1")[1]["Results"]) == STREAMS)
    assert mixed_streams(all_runs(fleet)) == set()


def take_up_elsewhere(fleet, is_first_entry_killed):
    streams = [CallerStream(f"taken{number}", EVENTS) for number in range(STREAMS)]
    first, second = fleet.entries
    with ThreadPoolExecutor(STREAMS) as callers:
        list(callers.map(lambda stream: stream.read(first, EVENTS_BEFORE_BREAK), streams))
        if is_first_entry_killed:
            first.kill()
        list(callers.map(lambda stream: stream.read(second), streams))
    return streams


@pytest.mark.parametrize("is_first_entry_killed", [False, True], ids=["alive", "killed"])
def test_stream_that_is_taken_up_at_another_entry_goes_on_at_its_version(
    fleet, is_first_entry_killed
):
    """Guards against an entry that does not know which version began a stream elsewhere."""
    streams = take_up_elsewhere(fleet, is_first_entry_killed)
    assert [stream.statuses for stream in streams] == [[200, 200]] * STREAMS
    for stream in streams:
        assert "\n".join(stream.data) == expected_data(stream.stream_id, EVENTS)
    assert mixed_streams(all_runs(fleet)) == set()
