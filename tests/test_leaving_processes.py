"""Targets that say only in their answers that they leave, with real processes."""

import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.fleet_config import SERVICE
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from ebonyshore_standins.stream_target import StreamTarget

CLOCK = SystemClock()
DRAIN_MS = 2_000.0  # the platform's bound
REQUESTS = 30
ITEMS = 12


def make_target(target_id):
    return StreamTarget(target_id, capacity=4)


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, address_octet=9, make_target=make_target)
    with running(platform_fleet):
        yield platform_fleet


def send_requests(fleet, name):
    """Send requests through both entries; return their statuses."""
    with ThreadPoolExecutor(4) as callers:
        responses = callers.map(
            lambda number: request_stream(fleet.entries[number % 2], f"{name}-{number}")[0],
            range(REQUESTS),
        )
        return list(responses)


def run_job(fleet, name):
    assert submit_job(fleet.entries[0], name, items=ITEMS) == 202
    wait_until(lambda: len(read_job(fleet.entries[0], name)[1].get("Results", ())) == ITEMS)


def let_first_target_leave(fleet):
    """Let the first target say that it leaves to an entry; return it."""
    target = fleet.targets[0]
    target.says_it_leaves = True
    known_runs = len(target.runs)
    numbers = iter(range(1_000))
    wait_until(
        lambda: request_stream(fleet.entries[0], f"news-{next(numbers)}")[0] == 200
        and len(target.runs) > known_runs
    )
    return target


def late_runs(target, since_ms):
    return [run.request_id for run in target.runs if run.started_ms > since_ms + DRAIN_MS]


@pytest.mark.parametrize("is_store_down", [False, True], ids=["store", "outage"])
def test_no_process_sends_to_a_target_that_has_told_one_that_it_leaves(fleet, is_store_down):
    """Guards against requests and items at a target whose entry in the list stays as it was."""
    run_job(fleet, "before")
    target = let_first_target_leave(fleet)
    told_ms = CLOCK.monotonic_ms()
    if is_store_down:
        fleet.platform.fault_hook = lambda _method, _path: 503
    CLOCK.sleep_ms(DRAIN_MS)
    assert send_requests(fleet, "after") == [200] * REQUESTS
    if not is_store_down:
        run_job(fleet, "after")
    assert late_runs(target, told_ms) == []


def test_target_that_is_started_again_under_its_id_is_used(fleet):
    """Guards against a target that is lost to the fleet because an earlier run of it left."""
    target = let_first_target_leave(fleet)
    target.says_it_leaves = False
    target.born_ms += 1
    fleet.platform.state.put("servers", target.target_id, target.target_entry(SERVICE))
    CLOCK.sleep_ms(DRAIN_MS / 2)
    known_runs = len(target.runs)
    assert send_requests(fleet, "again") == [200] * REQUESTS
    assert len(target.runs) > known_runs


def test_entry_that_lapses_and_comes_back_does_not_make_a_target_usable_again(fleet):
    target = let_first_target_leave(fleet)
    told_ms = CLOCK.monotonic_ms()
    fleet.platform.state.delete("servers", target.target_id, None)
    CLOCK.sleep_ms(DRAIN_MS)
    fleet.platform.state.put("servers", target.target_id, target.target_entry(SERVICE))
    CLOCK.sleep_ms(DRAIN_MS / 2)
    assert send_requests(fleet, "back") == [200] * REQUESTS
    run_job(fleet, "back")
    assert late_runs(target, told_ms) == []


def test_entry_that_was_frozen_after_the_news_does_not_send_to_the_target(fleet):
    """Guards against an entry that wakes with requests waiting and chooses as before the news."""
    target = let_first_target_leave(fleet)
    told_ms = CLOCK.monotonic_ms()
    for entry in fleet.entries:
        entry.signal(signal.SIGSTOP)
    with ThreadPoolExecutor(1) as caller:
        statuses = caller.submit(send_requests, fleet, "frozen")
        CLOCK.sleep_ms(DRAIN_MS)
        for entry in fleet.entries:
            entry.signal(signal.SIGCONT)
        assert statuses.result() == [200] * REQUESTS
    assert late_runs(target, told_ms) == []


@pytest.mark.parametrize("role", ["entries", "runners"])
def test_process_that_is_started_again_does_not_use_a_target_that_leaves(fleet, role):
    """Guards against news of a leave that only the processes that run have heard."""
    run_job(fleet, "before")
    target = let_first_target_leave(fleet)
    told_ms = CLOCK.monotonic_ms()
    CLOCK.sleep_ms(DRAIN_MS)
    process = getattr(fleet, role)[0]
    process.kill()
    process.start()
    wait_until(fleet.entries[0].is_ready)
    assert send_requests(fleet, "again") == [200] * REQUESTS
    run_job(fleet, "again")
    assert late_runs(target, told_ms) == []
