"""Requests that are complete, or get a slot, late in the planned stop of an entry."""

import signal
import socket
from http.client import HTTPException
from threading import Thread

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_client import job_body, request_stream
from ebonyshore_standins.fleet_config import (
    BATCH_PREFIX,
    ROUTE_HOST,
    SINGLE_ATTEMPT_PREFIX,
    STREAM_PREFIX,
)
from ebonyshore_standins.object_store_server import OBJECTS_PATH
from ebonyshore_standins.platform_fleet import PlatformFleet, running
from ebonyshore_standins.stream_target import StreamTarget

TARGETS, SLOTS = 2, 4
EVENT_MS = 100.0
LONG_EVENTS = 30
BODY_BYTES = 64
BYTE_INTERVAL_MS = 150.0  # below the time after which an idle connection is closed
BODY_MS = 4_000.0  # longest time from the head to the last byte
LAST_CONNECT_MS = 2_800.0  # after the signal: when the entry still accepts connections
LAST_BYTES_MS = (500, 2_500, 4_000, 5_000, 6_000, 6_800)  # after the signal
LATE_MS = 3_000.0  # after the signal: just before the entry stops to accept connections
JOB_BODY = job_body("late", 1)
SLOW_WRITE_MS = 1_000.0
CLOCK = SystemClock()


def make_target(target_id):
    target = StreamTarget(target_id, capacity=SLOTS)
    target.event_interval_ms = EVENT_MS
    return target


@pytest.fixture
def fleet(tmp_path):
    fleet = PlatformFleet(tmp_path, 1, 1, TARGETS, address_octet=67, make_target=make_target)
    with running(fleet):
        yield fleet


def slow_writes_of_jobs(method, path):
    """Let the object store take a while for each write of a job."""
    if method != "GET" and path.startswith(f"{OBJECTS_PATH}jobs"):
        CLOCK.sleep_ms(SLOW_WRITE_MS)


class LateRequest:
    """A request whose body arrives byte by byte, and ends at a time after the signal."""

    def __init__(
        self, entry, path, request_id, signal_ms, last_byte_ms, events, body=b"x" * BODY_BYTES
    ):
        self.request_id = request_id
        self.last_byte_ms = last_byte_ms
        self.answer = b""
        self._entry = entry
        self._body = body
        self._end_ms = signal_ms + last_byte_ms
        self._begin_ms = signal_ms + min(LAST_CONNECT_MS, last_byte_ms - BODY_MS)
        self._head = (
            f"POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"{WIRE_NAMES.remaining_ms}: 8000\r\nLength-Hint: {events}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        CLOCK.sleep_ms(max(0.0, self._begin_ms - CLOCK.monotonic_ms()))
        with socket.create_connection((self._entry.ip, self._entry.front_port), 10.0) as connection:
            connection.sendall(self._head.encode())
            unsent = self._body
            while CLOCK.monotonic_ms() < self._end_ms:
                connection.sendall(unsent[:1])
                unsent = unsent[1:]
                pause_ms = min(BYTE_INTERVAL_MS, self._end_ms - CLOCK.monotonic_ms())
                CLOCK.sleep_ms(max(0.0, pause_ms))
            connection.sendall(unsent)
            try:
                while data := connection.recv(65_536):
                    self.answer += data
            except OSError:
                pass

    def join(self):
        self._thread.join(12.0)

    @property
    def status(self):
        return int(self.answer.split(b" ", 2)[1]) if self.answer else None

    def is_whole(self, events):
        return (
            self.status == 200
            and self.answer.endswith(b"0\r\n\r\n")
            and _ids(self.answer) == [*range(1, events + 1)]
        )


def _ids(answer):
    return [int(line[4:]) for line in answer.split(b"\n") if line.startswith(b"id: ")]


def run_count(fleet, request_id):
    return sum(run.request_id == request_id for target in fleet.targets for run in target.runs)


def check_answered(fleet, request, events):
    """Check that a request was answered as a whole, or refused and not run."""
    if request.status == 503:
        assert run_count(fleet, request.request_id) == 0
    else:
        assert request.is_whole(events), (
            request.last_byte_ms,
            request.status,
            _ids(request.answer),
        )
        assert run_count(fleet, request.request_id) == 1


@pytest.mark.parametrize("prefix", [SINGLE_ATTEMPT_PREFIX, STREAM_PREFIX])
def test_request_that_is_complete_late_in_a_planned_stop_is_answered_or_refused(fleet, prefix):
    """Guards against requests that are passed on and cut at the end of the grace period."""
    (entry,) = fleet.entries
    signal_ms = CLOCK.monotonic_ms() + 300.0
    requests = [
        LateRequest(entry, f"{prefix}x", f"late{number}", signal_ms, last_byte_ms, LONG_EVENTS)
        for number, last_byte_ms in enumerate(LAST_BYTES_MS)
    ]
    CLOCK.sleep_ms(signal_ms - CLOCK.monotonic_ms())
    entry.signal(signal.SIGTERM)
    for request in requests:
        request.join()
    for request in requests:
        check_answered(fleet, request, LONG_EVENTS)
    assert requests[0].status == requests[1].status == 200
    assert entry.wait() == 0


def test_job_that_is_complete_late_in_a_planned_stop_is_accepted_or_refused(fleet):
    """Guards against jobs that are stored and whose callers get no answer."""
    (entry,) = fleet.entries
    fleet.platform.fault_hook = slow_writes_of_jobs
    signal_ms = CLOCK.monotonic_ms() + 300.0
    requests = [
        LateRequest(entry, f"{BATCH_PREFIX}x", f"job{number}", signal_ms, last_byte_ms, 1, JOB_BODY)
        for number, last_byte_ms in enumerate(LAST_BYTES_MS)
    ]
    CLOCK.sleep_ms(signal_ms - CLOCK.monotonic_ms())
    entry.signal(signal.SIGTERM)
    for request in requests:
        request.join()
    stored = {name for kind, name in fleet.platform.state.objects if kind == "jobs"}
    statuses = {request.request_id: request.status for request in requests}
    assert set(statuses.values()) <= {202, 503}, statuses
    assert {job_id for job_id, status in statuses.items() if status == 202} == stored
    assert statuses["job0"] == statuses["job1"] == 202
    assert entry.wait() == 0


def test_request_that_would_wait_for_a_slot_late_in_a_planned_stop_is_refused(fleet):
    """Guards against requests that get a slot of a busy fleet just before their entry ends."""
    (entry,) = fleet.entries
    answers = {}

    def call(request_id):
        headers = {WIRE_NAMES.remaining_ms: "8000"}
        try:
            answers[request_id] = request_stream(
                entry, request_id, SINGLE_ATTEMPT_PREFIX, LONG_EVENTS, 12.0, extra_headers=headers
            )
        except (OSError, HTTPException) as error:
            answers[request_id] = error

    count = 2 * TARGETS * SLOTS  # of which half have to wait
    early = [Thread(target=call, args=(f"early{n}",)) for n in range(count)]
    late = [Thread(target=call, args=(f"late{n}",)) for n in range(count)]
    for thread in early:
        thread.start()
    entry.signal(signal.SIGTERM)
    CLOCK.sleep_ms(LATE_MS)
    for thread in late:
        thread.start()
    for thread in [*early, *late]:
        thread.join(15.0)
    for request_id, answer in answers.items():
        assert isinstance(answer, tuple), (request_id, answer)
        if answer[0] == 200:
            assert _ids(answer[2]) == [*range(1, LONG_EVENTS + 1)], request_id
            assert request_id.startswith("early"), request_id
        else:
            assert answer[0] == 503 and run_count(fleet, request_id) == 0, (request_id, answer)
    assert sum(answer[0] == 200 for answer in answers.values()) >= TARGETS * SLOTS
    assert entry.wait() == 0
