"""Tests that targets which name a rate limit get no more than that, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

import pytest

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore_standins.fleet_client import read_job, request_stream, submit_job
from ebonyshore_standins.fleet_config import STREAM_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until

# The platform's rule: from 3 s after a target first named its limit, it gets at most one and a half
# times what that allows in any 4 s, and 5 requests.
SETTLE_MS = 3_000.0
WINDOW_MS = 4_000.0
MAX_RATIO = 1.5
MAX_EXCESS = 5

LIMIT_PER_S = 3.0
TARGETS = 6
EVENTS = 80
RATE_PER_S = 60.0
DAY_MS = 13_000.0
MIN_USE = 0.5  # of what the limits allow, while callers ask for more
ITEMS = 40
CLOCK = SystemClock()


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, entries=3, targets=TARGETS, address_octet=13)
    with running(platform_fleet):
        yield platform_fleet


def limit_targets(fleet, count, limit_per_s=LIMIT_PER_S):
    """Let targets name a limit; return them and the time."""
    limited = fleet.targets[:count]
    for target in limited:
        target.limit_per_s = limit_per_s
    return limited, CLOCK.monotonic_ms()


def most_in_a_window(target, since_ms):
    arrivals = [at_ms for at_ms in target.arrivals_ms if at_ms >= since_ms]
    counts = [sum(first <= at_ms < first + WINDOW_MS for at_ms in arrivals) for first in arrivals]
    return max(counts, default=0)


def windows_over_the_limit(limited, limited_ms, limit_per_s=LIMIT_PER_S):
    allowed = MAX_RATIO * limit_per_s * WINDOW_MS / MS_PER_S + MAX_EXCESS
    found = {t.target_id: most_in_a_window(t, limited_ms + SETTLE_MS) for t in limited}
    return {target_id: count for target_id, count in found.items() if count > allowed}


def send(fleet, number):
    name = f"request-{number}"
    entry = fleet.entries[number % len(fleet.entries)]
    try:
        status, headers, _ = request_stream(entry, name, STREAM_PREFIX, EVENTS)
    except (OSError, HTTPException):
        return 0, None
    return status, headers.get("retry-after", headers.get("Retry-After"))


def send_for_a_day(fleet):
    """Send requests through all entries; return pairs of the status and the retry delay."""
    with ThreadPoolExecutor(200) as callers:
        answers = []
        for number in range(int(DAY_MS * RATE_PER_S / MS_PER_S)):
            answers.append(callers.submit(send, fleet, number))
            CLOCK.sleep_ms(MS_PER_S / RATE_PER_S)
        return [answer.result() for answer in answers]


def test_some_targets_get_no_more_than_the_limit_that_they_name(fleet):
    """Guards against a limit that each process applies by itself, or none does."""
    limited, limited_ms = limit_targets(fleet, 4)
    answers = send_for_a_day(fleet)
    assert windows_over_the_limit(limited, limited_ms) == {}
    assert {status for status, _ in answers} <= {200, 503}


def test_callers_are_refused_when_all_targets_get_what_they_take(fleet):
    """Guards against sending on what no target takes, and against refusing more than that."""
    limited, limited_ms = limit_targets(fleet, TARGETS)
    answers = send_for_a_day(fleet)
    assert windows_over_the_limit(limited, limited_ms) == {}
    refused = [retry_after for status, retry_after in answers if status == 503]
    assert refused and all(float(retry_after) > 0 for retry_after in refused)
    served = sum(status == 200 for status, _ in answers)
    assert served >= MIN_USE * TARGETS * LIMIT_PER_S * DAY_MS / MS_PER_S


def test_items_count_towards_the_limit_and_end_when_it_is_lifted(fleet):
    limited, limited_ms = limit_targets(fleet, TARGETS, 1.0)
    assert submit_job(fleet.entries[0], "j1", ITEMS, EVENTS) == 202
    answers = send_for_a_day(fleet)
    assert windows_over_the_limit(limited, limited_ms, 1.0) == {}
    assert any(status == 200 for status, _ in answers)
    for target in limited:
        target.limit_per_s = None
    wait_until(lambda: len(read_job(fleet.entries[0], "j1")[1].get("Results", ())) == ITEMS)
