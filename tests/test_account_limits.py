"""Tests of the quotas of client accounts with real processes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from threading import Timer

import pytest

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore_standins.fleet_client import request_stream
from ebonyshore_standins.fleet_config import account
from ebonyshore_standins.platform_fleet import PlatformFleet, running

RATE_PER_S, BURST = 12.0, 6.0
# The platform's rule for any window.
WINDOW_MS = 5_000.0
ALLOWED = (RATE_PER_S * WINDOW_MS / MS_PER_S + BURST) * 1.1 + 20.0
SETTLE_MS = 1_500.0  # from the start of the fleet until entries know each other's use
CLOCK = SystemClock()


@pytest.fixture
def fleet(tmp_path):
    limited = account("a1", "key-1", rate_per_s=RATE_PER_S, burst=BURST)
    platform_fleet = PlatformFleet(
        tmp_path, entries=3, targets=3, address_octet=17, accounts=[limited]
    )
    with running(platform_fleet):
        CLOCK.sleep_ms(SETTLE_MS)
        yield platform_fleet


def send(entry, number):
    try:
        status, headers, _ = request_stream(entry, f"request-{number}")
    except (OSError, HTTPException):
        return 0, None
    return status, headers.get("retry-after", headers.get("Retry-After"))


def send_at(entries, rate_per_s, duration_ms):
    """Send requests through some entries by turns; return pairs of the status and the delay."""
    with ThreadPoolExecutor(64) as callers:
        answers = []
        for number in range(int(duration_ms * rate_per_s / MS_PER_S)):
            answers.append(callers.submit(send, entries[number % len(entries)], number))
            CLOCK.sleep_ms(MS_PER_S / rate_per_s)
        return [answer.result() for answer in answers]


def most_in_a_window(fleet):
    arrivals = sorted(at_ms for target in fleet.targets for at_ms in target.arrivals_ms)
    return max(sum(first <= at_ms < first + WINDOW_MS for at_ms in arrivals) for first in arrivals)


def test_account_over_its_limit_is_refused_although_processes_die(fleet):
    """Guards against a limit that each entry applies by itself, or that a restart makes void."""
    timers = [
        Timer(3.0, fleet.runners[0].kill),
        Timer(5.0, fleet.entries[0].kill),
        Timer(6.0, fleet.entries[0].start),
    ]
    for timer in timers:
        timer.start()
    answers = send_at(fleet.entries, 60.0, 10_000.0)
    assert most_in_a_window(fleet) <= ALLOWED
    served = sum(status == 200 for status, _ in answers)
    assert served >= 0.5 * RATE_PER_S * 10.0
    refused = [delay for status, delay in answers if status == 429]
    assert refused and all(float(delay) > 0.0 for delay in refused)
    assert {status for status, _ in answers} <= {0, 200, 429, 503}


def test_account_within_its_limit_is_served_whichever_entry_it_uses(fleet):
    answers = send_at(fleet.entries[:1], 0.8 * RATE_PER_S, 6_000.0)
    assert {status for status, _ in answers} == {200}
