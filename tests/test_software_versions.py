"""Tests that a stream goes on only at the software version that began it, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from random import Random

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_client import STREAM_DEADLINE_MS, read_job, submit_job
from ebonyshore_standins.fleet_config import ROUTE_HOST, STREAM_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, wait_until
from ebonyshore_standins.stream_target import StreamTarget

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
    try:
        platform_fleet.start()
        yield platform_fleet
    finally:
        platform_fleet.stop()


class CallerStream:
    """A stream as a caller reads it, over one or more attempts."""

    def __init__(self, name):
        self.name = name
        self.last_event = 0
        self.statuses = []

    def read(self, entry, attempt, events=EVENTS):
        """Read up to event ``events`` in one attempt, and close the connection."""
        headers = {
            "Host": ROUTE_HOST,
            WIRE_NAMES.request_id: f"{self.name}-{attempt}",
            WIRE_NAMES.remaining_ms: str(STREAM_DEADLINE_MS),
            "Length-Hint": str(EVENTS),
        }
        if self.last_event:
            headers[WIRE_NAMES.last_event_id] = str(self.last_event)
            headers[WIRE_NAMES.resumed_request] = f"{self.name}-0"
        connection = HTTPConnection(entry.ip, entry.front_port, timeout=10)
        try:
            connection.request("POST", f"{STREAM_PREFIX}x", self.name.encode(), headers)
            response = connection.getresponse()
            self.statuses.append(response.status)
            while self.last_event < events and (line := response.readline()):
                if line.startswith(b"id: "):
                    self.last_event = int(line[4:])
        finally:
            connection.close()


def mixed_streams(fleet):
    """Return the ids of streams and items with events of targets of two versions."""
    runs = sorted(
        (run for target in fleet.targets for run in target.runs), key=lambda run: run.started_ms
    )
    versions, mixed = {}, set()
    for run in runs:
        stream = run.resumed_request or run.request_id
        if run.first_event == 1:
            versions[stream] = run.software_version
        elif run.last_event >= run.first_event and run.software_version != versions[stream]:
            mixed.add(stream)
    return mixed


def break_connections_in_turn(fleet):
    random = Random(1)
    for _ in range(BREAKS):
        CLOCK.sleep_ms(BREAK_INTERVAL_MS)
        random.choice(fleet.targets).break_connections()


def test_answer_that_breaks_off_goes_on_at_the_version_that_began_it(fleet):
    """Guards against an entry that resumes a stream at any target of the service."""
    streams = [CallerStream(f"answer{number}") for number in range(STREAMS)]

    def read(number):
        with suppress(OSError, HTTPException):  # the answer was cut off
            streams[number].read(fleet.entries[number % 2], 0)

    with ThreadPoolExecutor(STREAMS) as callers:
        list_of_reads = [callers.submit(read, number) for number in range(STREAMS)]
        break_connections_in_turn(fleet)
    assert all(future.exception() is None for future in list_of_reads)
    assert sum(stream.last_event == EVENTS for stream in streams) > STREAMS / 2
    assert mixed_streams(fleet) == set()


def test_item_that_breaks_off_goes_on_at_the_version_that_began_it(fleet):
    """Guards against a result with events of two versions."""
    assert submit_job(fleet.entries[0], "j1", items=STREAMS, events=EVENTS) == 202
    break_connections_in_turn(fleet)
    wait_until(lambda: len(read_job(fleet.entries[0], "j1")[1]["Results"]) == STREAMS)
    assert mixed_streams(fleet) == set()


def take_up_elsewhere(fleet, is_first_entry_killed):
    streams = [CallerStream(f"taken{number}") for number in range(STREAMS)]
    first, second = fleet.entries
    with ThreadPoolExecutor(STREAMS) as callers:
        list(callers.map(lambda stream: stream.read(first, 0, EVENTS_BEFORE_BREAK), streams))
        if is_first_entry_killed:
            first.kill()
        list(callers.map(lambda stream: stream.read(second, 1), streams))
    return streams


@pytest.mark.parametrize("is_first_entry_killed", [False, True], ids=["alive", "killed"])
def test_stream_that_is_taken_up_at_another_entry_goes_on_at_its_version(
    fleet, is_first_entry_killed
):
    """Guards against an entry that does not know which version began a stream elsewhere."""
    streams = take_up_elsewhere(fleet, is_first_entry_killed)
    assert [stream.statuses for stream in streams] == [[200, 200]] * STREAMS
    assert all(stream.last_event == EVENTS for stream in streams)
    assert mixed_streams(fleet) == set()
