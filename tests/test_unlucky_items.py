"""Tests that items under which targets crashed are completed all the same, with real processes."""

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.crashing_target import CrashingTarget
from ebonyshore_standins.fleet_client import item_body, read_job, submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

ITEMS = 12
UNLUCKY_ITEMS = 3
EVENTS = 100
CRASH_TIMEOUT_S = 40.0  # of the crashes
CALM_S = 15.0  # in which all items are completed, once targets do not crash any more
CLOCK = SystemClock()


def make_target_that_crashes_after_events(target_id):
    return CrashingTarget(target_id, events_before_crash=3)


@pytest.fixture
def fleet(request, tmp_path):
    platform_fleet = PlatformFleet(tmp_path, targets=6, address_octet=14, make_target=request.param)
    for target in platform_fleet.targets:
        target.crashing_bodies = {item_body(number) for number in range(UNLUCKY_ITEMS)}
    with running(platform_fleet):
        yield platform_fleet


def crashes(fleet, body):
    return sum(crash.body == body for target in fleet.targets for crash in target.crashes)


def stop_crashes_of_unlucky_items(fleet, after):
    """Let the targets end under each unlucky item that often, and then no more."""
    left = {item_body(number) for number in range(UNLUCKY_ITEMS)}

    def is_over():
        for body in [body for body in left if crashes(fleet, body) >= after]:
            left.discard(body)
            for target in fleet.targets:
                target.crashing_bodies.discard(body)
        return not left

    wait_until(is_over, CRASH_TIMEOUT_S)


def results(fleet, entry=0):
    return read_job(fleet.entries[entry], "j1")[1].get("Results", ())


@pytest.mark.parametrize("after, restarts", [(3, False), (5, False), (5, True)])
@pytest.mark.parametrize(
    "fleet",
    [CrashingTarget, make_target_that_crashes_after_events],
    ids=["reset", "reset_after_events"],
    indirect=True,
)
def test_item_whose_first_runs_ended_with_their_targets_is_completed(fleet, after, restarts):
    """Guards against items that are held, or given up, because targets crashed under them."""
    assert submit_job(fleet.entries[0], "j1", ITEMS, EVENTS) == 202
    stop_crashes_of_unlucky_items(fleet, after)
    if restarts:
        fleet.restart_all()
    wait_until(lambda: len(results(fleet)) == ITEMS, CALM_S)
    assert {result["State"] for result in results(fleet, 1)} == {"complete"}
