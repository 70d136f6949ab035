"""Tests of streams that callers take up after all processes were killed, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.fleet_client import read_job, submit_job
from ebonyshore_standins.fleet_config import SERVICE
from ebonyshore_standins.platform_fleet import PlatformFleet, wait_until
from ebonyshore_standins.stream_target import StreamTarget, expected_data, mixed_streams

CLOCK = SystemClock()
STREAMS = 24
ITEMS = 12
EVENTS = 90
EVENT_INTERVAL_MS = 30.0
BEGUN_BEFORE_KILL_MS = 800.0
LIST_MS = 700.0  # until all processes know a change of the list
CALLER_DEADLINE_MS = 5_000.0
RETRY_MS = 300.0
OLD, NEW = "v1", "v2"


@pytest.fixture
def make_fleet(tmp_path):
    """Return a function that starts a fleet with targets of given software versions."""
    fleets = []

    def make(*versions):
        def make_target(target_id):
            target = StreamTarget(target_id, event_interval_ms=EVENT_INTERVAL_MS)
            target.software_version = versions[int(target_id[1:]) - 1]
            return target

        fleet = PlatformFleet(
            tmp_path, runners=3, targets=len(versions), address_octet=9, make_target=make_target
        )
        fleets.append(fleet)
        fleet.start()
        CLOCK.sleep_ms(LIST_MS)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def read_until_deadline(fleet, stream, turn):
    """Read a stream, taking it up at the other entry when it breaks off or is refused."""
    end_ms = CLOCK.monotonic_ms() + CALLER_DEADLINE_MS
    while not stream.is_complete and CLOCK.monotonic_ms() < end_ms:
        with suppress(OSError, HTTPException):  # broken off, or the entry does not run
            stream.read(fleet.entries[turn % 2], timeout_s=3.0)
        turn += 1
        if not stream.is_complete:
            CLOCK.sleep_ms(RETRY_MS)


def play(fleet, before_kill=lambda: None, after_start=lambda: None, killed=None):
    """Kill processes while callers read streams, start them again; return the streams.

    :param killed: the processes; all if omitted.
    """
    streams = [CallerStream(f"s{number}", EVENTS) for number in range(STREAMS)]
    with ThreadPoolExecutor(STREAMS) as callers:
        for turn, stream in enumerate(streams):
            callers.submit(read_until_deadline, fleet, stream, turn)
        CLOCK.sleep_ms(BEGUN_BEFORE_KILL_MS)
        before_kill()
        for process in killed or fleet.processes:
            process.kill()
        for process in killed or fleet.processes:
            process.start()
        after_start()
    return streams


def whole_streams(streams):
    """Return the number of streams of which the caller has all events."""
    whole = [stream for stream in streams if stream.is_complete]
    for stream in whole:
        assert "\n".join(stream.data) == expected_data(stream.stream_id, EVENTS)
    return len(whole)


def mixed(fleet):
    return mixed_streams(run for target in fleet.targets for run in target.runs)


def list_targets(fleet, version, state="ready"):
    for target in fleet.targets:
        if target.software_version == version:
            fleet.platform.state.put(
                "servers", target.target_id, target.target_entry(SERVICE, state)
            )


def unlist_targets(fleet, *versions):
    for target in fleet.targets:
        if target.software_version in versions:
            fleet.platform.state.delete("servers", target.target_id, None)


def let_targets_leave(fleet, version):
    list_targets(fleet, version, "draining")
    CLOCK.sleep_ms(LIST_MS / 2)
    unlist_targets(fleet, version)
    CLOCK.sleep_ms(LIST_MS)


def test_version_that_left_just_before_all_processes_were_killed_is_remembered(make_fleet):
    """Guards against taking the only version that is listed for the only one there has been."""
    fleet = make_fleet(OLD, NEW, OLD, NEW)
    streams = play(fleet, before_kill=lambda: let_targets_leave(fleet, OLD))
    assert mixed(fleet) == set()
    assert whole_streams(streams) > 0


def test_streams_of_two_versions_go_on_after_all_processes_were_killed(make_fleet):
    """Guards against a record of the streams' origins that ends with the processes."""
    fleet = make_fleet(OLD, NEW, OLD, NEW)
    streams = play(fleet)
    assert mixed(fleet) == set()
    assert whole_streams(streams) >= STREAMS / 2


def test_streams_of_the_only_version_go_on_after_all_processes_were_killed(make_fleet):
    """Guards against refusing streams although there has never been another version."""
    fleet = make_fleet(OLD, OLD, OLD, OLD)
    streams = play(fleet)
    assert whole_streams(streams) == STREAMS


def test_streams_of_the_only_version_go_on_elsewhere_while_the_store_is_down(make_fleet):
    """Guards against refusing streams because nobody can read the list, which cannot change."""
    fleet = make_fleet(OLD, OLD, OLD, OLD)

    def break_store():
        fleet.platform.fault_hook = lambda _method, _path: 503
        CLOCK.sleep_ms(LIST_MS)

    streams = play(fleet, before_kill=break_store, killed=fleet.entries[:1])
    assert whole_streams(streams) == STREAMS


def test_items_do_not_go_on_at_another_version_after_all_processes_were_stopped(make_fleet):
    """Guards against items whose stored events are taken for those of the only listed version."""
    fleet = make_fleet(OLD, NEW, OLD, NEW)
    assert submit_job(fleet.entries[0], "j1", items=ITEMS, events=EVENTS) == 202
    CLOCK.sleep_ms(BEGUN_BEFORE_KILL_MS)
    with ThreadPoolExecutor(len(fleet.processes)) as stops:
        list(stops.map(lambda process: process.stop(), fleet.processes))
    unlist_targets(fleet, OLD)
    fleet.restart_all()
    wait_until(lambda: len(read_job(fleet.entries[0], "j1")[1]["Results"]) == ITEMS)
    assert any("event=items_restored" in runner.read_log() for runner in fleet.runners)
    assert mixed(fleet) == set()


def test_versions_that_are_listed_again_one_by_one_after_an_outage_are_not_mixed(make_fleet):
    """Guards against going on at the first version that is listed after all were killed, and
    against refusing streams that began while the store was down."""
    fleet = make_fleet(OLD, OLD, OLD, NEW)
    fleet.platform.fault_hook = lambda _method, _path: 503

    def list_again():
        CLOCK.sleep_ms(800.0)
        unlist_targets(fleet, OLD, NEW)
        fleet.platform.fault_hook = lambda _method, _path: None
        CLOCK.sleep_ms(200.0)
        list_targets(fleet, NEW)
        CLOCK.sleep_ms(1_600.0)
        list_targets(fleet, OLD)

    streams = play(fleet, after_start=list_again)
    assert mixed(fleet) == set()
    assert whole_streams(streams) >= STREAMS / 2
