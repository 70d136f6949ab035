"""Checks after the faults: parts of prompts that crash targets, targets that name a limit, targets
that write refusals once more, and targets that answer errors to resumed streams."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import SoakClients
from ebonyshore_standins.caller_stream import CallerStream
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.stream_target import StreamTarget

SETTLE_MS = 3_000.0
# The platform's rule: at most three sends later than 3 s after the fifth crash under a part.
PART_CRASHES = 5
PART_SENDS = 3  # to each entry
MAX_LATE_SENDS = 3
# Of the sound requests with the same first part at least half are answered.
SOUND_REQUESTS = 20
# The platform's rule: from 3 s after a target first named a limit, one and a half times what that
# allows in 4 s, and 5 requests.
LIMIT_PER_S = 1.0
LIMIT_WINDOW_MS = 4_000.0
MAX_RATIO = 1.5
MAX_EXCESS = 5
LIMITED_DAY_MS = 8_000.0
LIMITED_INTERVAL_MS = 50.0
CALLERS = 24
REPEATED_REFUSAL_REQUESTS = 60
FAILED_STREAMS = 6
STREAM_EVENTS = 12
EVENTS_BEFORE_BREAK = 4


def check_crashing_part(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Check that requests with a part that has crashed five targets are hardly sent on."""
    known = _count_part_arrivals(fleet)
    crashes = sum(bool(crash.part) for target in fleet.targets for crash in target.crashes)
    checker.counts["part_crashes"] = crashes
    if crashes < PART_CRASHES:
        return
    clock.sleep_ms(SETTLE_MS)
    for _ in range(PART_SENDS):
        for entry in fleet.entries:
            clients.send_request_with_crashing_part(entry)
    late = _count_part_arrivals(fleet) - known
    checker.counts["late_part_sends"] = late
    if late > MAX_LATE_SENDS:
        checker.report_violation(f"{late} sends with a part that had crashed five targets")
    served = sum(clients.send_single_attempt_request(number) for number in range(SOUND_REQUESTS))
    checker.counts["sound_served"] = served
    if 2 * served < SOUND_REQUESTS:
        checker.report_violation(f"{served} of {SOUND_REQUESTS} sound requests were answered")


def _count_part_arrivals(fleet: PlatformFleet) -> int:
    return sum(
        len(arrivals) for target in fleet.targets for arrivals in target.part_arrivals_ms.values()
    )


def check_limited_targets(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Check that targets which name a limit get no more than that from all entries together."""
    limited = fleet.targets[:2]
    for target in limited:
        target.limit_per_s = LIMIT_PER_S
    named_ms = clock.monotonic_ms()
    with ThreadPoolExecutor(CALLERS) as callers:
        for number in range(int(LIMITED_DAY_MS / LIMITED_INTERVAL_MS)):
            callers.submit(clients.send_single_attempt_request, number)
            clock.sleep_ms(LIMITED_INTERVAL_MS)
    allowed = MAX_RATIO * LIMIT_PER_S * LIMIT_WINDOW_MS / MS_PER_S + MAX_EXCESS
    most = max(_most_in_a_window(target, named_ms + SETTLE_MS) for target in limited)
    checker.counts["most_at_limited"] = most
    if most > allowed:
        checker.report_violation(f"{most} requests in 4 s at a limit of {LIMIT_PER_S} a second")
    for target in limited:
        target.limit_per_s = None


def check_repeated_refusals(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker
) -> None:
    """Send requests to targets that write refusals once more.

    Whether a refused one has run, or one has run twice, is checked with all runs.
    """
    for target in fleet.targets:
        target.repeats_refusals = True
    with ThreadPoolExecutor(CALLERS) as callers:
        answered = callers.map(
            clients.send_single_attempt_request, range(REPEATED_REFUSAL_REQUESTS)
        )
        checker.counts["answered_among_copies"] = sum(answered)
    for target in fleet.targets:
        target.repeats_refusals = False
    copies = sum(target.repeated_refusals for target in fleet.targets)
    checker.counts["repeated_refusals"] = copies


def check_errors_to_resumed_streams(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker
) -> None:
    """Check that a stream is not continued by an error, and goes on once targets continue it."""
    for number in range(FAILED_STREAMS):
        stream = CallerStream(f"stream-failed-{number}", STREAM_EVENTS)
        first, second = fleet.entries[number % 2], fleet.entries[(number + 1) % 2]
        clients.call_or_none(partial(stream.read, first, EVENTS_BEFORE_BREAK))
        if not stream.data:
            continue
        received = len(stream.data)
        _set_fails_resumed(fleet, True)
        clients.call_or_none(partial(stream.read, second))
        _set_fails_resumed(fleet, False)
        if len(stream.data) != received:
            checker.report_violation(f"{stream.name}: an error continued the stream")
        clients.call_or_none(partial(stream.read, second))
        checker.count("continued_after_error" if stream.is_complete else "not_continued")
        if stream.is_complete:
            checker.check_stream(stream.stream_id, STREAM_EVENTS, "\n".join(stream.data))


def _set_fails_resumed(fleet: PlatformFleet, fails: bool) -> None:
    for target in fleet.targets:
        target.fails_resumed = fails


def _most_in_a_window(target: StreamTarget, since_ms: float) -> int:
    arrivals = [at_ms for at_ms in target.arrivals_ms if at_ms >= since_ms]
    counts = [
        sum(first <= at_ms < first + LIMIT_WINDOW_MS for at_ms in arrivals) for first in arrivals
    ]
    return max(counts, default=0)
