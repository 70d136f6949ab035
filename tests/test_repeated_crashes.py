"""Tests that content which crashes its targets is not sent to further ones, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.crashing_target import CrashingTarget, CrashMode
from ebonyshore_standins.fleet_client import request_stream
from ebonyshore_standins.fleet_config import SINGLE_ATTEMPT_PREFIX, STREAM_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

# The platform's rule: at most three sends later than 3 s after the third crash.
TOLERATED_CRASHES = 3
SETTLE_MS = 3_000.0
MAX_LATE_SENDS = 3

RESUMABLE_BODY = b"crashes on the resumable route"
SINGLE_ATTEMPT_BODY = b"crashes on the single-attempt route"
EVENTS = 200  # of each answer, so that runs which crash after a few events do not complete it
SENDS = 34
SEND_INTERVAL_MS = 500.0
RARE_SENDS = 4
RARE_SEND_INTERVAL_MS = 4_000.0
ROUNDS = 8
SENDS_BEFORE_KILL = 2
KILL_DELAY_MS = 1_000.0
CLOCK = SystemClock()


@pytest.fixture
def fleet(request, tmp_path):
    platform_fleet = PlatformFleet(
        tmp_path,
        targets=6,
        address_octet=2,
        make_target=request.param,
    )
    for target in platform_fleet.targets:
        target.crashing_bodies = {RESUMABLE_BODY, SINGLE_ATTEMPT_BODY}
    with running(platform_fleet):
        yield platform_fleet


def send_and_ignore_failure(entry, request_id, prefix, body):
    with suppress(OSError, HTTPException):  # the answer was cut off
        request_stream(entry, request_id, prefix, EVENTS, body=body)


def crash_times_ms(fleet, body):
    return sorted(
        crash.at_ms for target in fleet.targets for crash in target.crashes if crash.body == body
    )


def late_sends(crashes_ms):
    if len(crashes_ms) < TOLERATED_CRASHES:
        return []
    settled_ms = crashes_ms[TOLERATED_CRASHES - 1] + SETTLE_MS
    return [at_ms - settled_ms for at_ms in crashes_ms if at_ms > settled_ms]


def too_many_late_sends(fleet, *bodies):
    late = {body: len(late_sends(crash_times_ms(fleet, body))) for body in bodies}
    return {body: count for body, count in late.items() if count > MAX_LATE_SENDS}


def make_silent_target(target_id):
    return CrashingTarget(target_id, CrashMode.SILENT)


def make_target_that_crashes_at_once(target_id):
    return CrashingTarget(target_id, begin_ms=0.0)


def make_target_that_crashes_after_events(target_id):
    return CrashingTarget(target_id, events_before_crash=3)


@pytest.mark.parametrize(
    "fleet",
    [CrashingTarget, make_silent_target, make_target_that_crashes_at_once],
    ids=["reset", "silent", "reset_at_once"],
    indirect=True,
)
def test_request_that_has_crashed_three_targets_is_not_sent_on(fleet):
    """Guards against crashes that are counted within one send and forgotten with its end."""
    with ThreadPoolExecutor(2 * SENDS) as callers:
        for number in range(SENDS):
            entry = fleet.entries[number % 2]
            for prefix, body in (
                (STREAM_PREFIX, RESUMABLE_BODY),
                (SINGLE_ATTEMPT_PREFIX, SINGLE_ATTEMPT_BODY),
            ):
                request_id = f"{prefix.strip('/')}-{number}"
                callers.submit(send_and_ignore_failure, entry, request_id, prefix, body)
            CLOCK.sleep_ms(SEND_INTERVAL_MS)
    assert too_many_late_sends(fleet, RESUMABLE_BODY, SINGLE_ATTEMPT_BODY) == {}
    wait_until(lambda: request_stream(fleet.entries[1], "harmless")[0] == 200, 5.0)


@pytest.mark.parametrize(
    "fleet", [make_target_that_crashes_after_events], ids=["reset"], indirect=True
)
def test_request_that_crashes_its_targets_after_events_is_not_sent_on(fleet):
    """Guards against crashes that do not count because the stream could be continued."""
    for number in range(RARE_SENDS):
        entry = fleet.entries[number % len(fleet.entries)]
        send_and_ignore_failure(entry, f"rare-{number}", STREAM_PREFIX, RESUMABLE_BODY)
        CLOCK.sleep_ms(RARE_SEND_INTERVAL_MS)
    assert too_many_late_sends(fleet, RESUMABLE_BODY) == {}


@pytest.mark.parametrize("fleet", [CrashingTarget], ids=["reset"], indirect=True)
def test_crashes_below_a_conviction_are_known_after_all_processes_were_killed(fleet):
    """Guards against counts that start anew each time all processes end."""
    for number in range(ROUNDS):
        for send in range(SENDS_BEFORE_KILL):
            request_id = f"{number}-{send}"
            entry = fleet.entries[send % len(fleet.entries)]
            send_and_ignore_failure(entry, request_id, SINGLE_ATTEMPT_PREFIX, SINGLE_ATTEMPT_BODY)
        CLOCK.sleep_ms(KILL_DELAY_MS)
        fleet.restart_all()
    assert too_many_late_sends(fleet, SINGLE_ATTEMPT_BODY) == {}
