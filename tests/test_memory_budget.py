"""Memory that a server holds for callers that send much or do not read their answers."""

import asyncio

import pytest

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.memory_guard import MemoryGuard
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import MemoryBudget, connection_limit_bytes, may_take
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_connection import STREAM_BUFFER_BYTES
from ebonyshore.http.server_limits import ServerLimits
from tests.gateway_setup import Gateway, encode_request, make_route, read_all, status_of
from tests.scripted_target import ScriptedTarget

KERNEL_BYTES = 8 << 20  # that the sockets of a connection may buffer
LIMIT_BYTES = 1_000_000
FIRST_BODY_BYTES = 450_000  # two of them fit
HEAD_BYTES = 1_100  # that the head of a request takes, as objects


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


@pytest.mark.parametrize(
    "held_bytes, account, is_taken",
    [
        ({}, "a", True),
        ({"a": 400}, "a", True),  # nobody else wants the room
        ({"a": 600}, "a", True),
        ({"a": 600}, "b", True),
        ({"a": 600, "b": 100}, "a", False),
        ({"a": 600, "b": 100}, "b", True),
        ({"a": 900, "b": 100}, "b", False),
    ],
)
def test_an_account_with_slow_readers_does_not_take_the_room_of_another(
    held_bytes, account, is_taken
):
    assert may_take(held_bytes, account, 1_000) is is_taken


def test_connections_are_measured_once_in_a_while():
    measured = []
    budget = MemoryBudget(lambda: measured.append(1) or {"a": 10}, 10)
    assert [budget.is_exhausted(at_ms) for at_ms in (0.0, 10.0, 49.0, 50.0)] == [True] * 4
    assert len(measured) == 2


def test_limit_follows_from_the_memory_of_the_process():
    assert connection_limit_bytes(200_000_000) == 50_000_000
    assert connection_limit_bytes(None) > 0


def test_requests_are_ended_only_far_above_the_limit_and_down_to_well_below():
    held = {}
    budget = MemoryBudget(lambda: dict(held), 100)
    excess = []
    for size_bytes in (125, 126, 200):
        held["a"] = size_bytes
        budget.forget()
        excess.append(budget.excess_bytes(0.0))
    assert excess == [0.0, 51.0, 125.0]


def test_memory_that_nothing_counts_lowers_the_limit_until_it_is_free_again():
    async def scenario():
        server = HttpServer(None, ServerLimits(), print, 100)
        guard = MemoryGuard(server, 1_000, EventLog(), Metrics())
        limits = []
        for used_bytes in (800, 801, 500):
            guard.check(used_bytes)
            limits.append(server.memory.limit_bytes)
        return limits

    assert run(scenario()) == [100.0, 50.0, 100.0]


class KeepingServer:
    """Keeps each request until it is released, and answers as the budget says."""

    def __init__(self):
        self.may_end = asyncio.Event()
        self.server = HttpServer(self._serve, ServerLimits(), print, LIMIT_BYTES)

    async def _serve(self, request, responder):
        await self.may_end.wait()
        responder.send(200, Headers(), b"y")

    async def send(self, size_bytes):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(encode_request(b"x" * size_bytes, close=True))
        return reader, writer


def test_large_bodies_are_refused_while_others_fill_the_memory():
    async def scenario():
        keeping = KeepingServer()
        await keeping.server.listen("127.0.0.1", 0)
        first = [await keeping.send(FIRST_BODY_BYTES) for _ in range(2)]
        await asyncio.sleep(0.2)
        held_bytes = sum(connection.held_bytes for connection in keeping.server.connections)
        large, _ = await keeping.send(600_000)
        refused = await asyncio.wait_for(read_all(large), 2)
        small, _ = await keeping.send(100)
        keeping.may_end.set()
        answers = [await read_all(reader) for reader, _ in first]
        answers.append(await read_all(small))
        await asyncio.sleep(0.1)
        left_bytes = sum(connection.held_bytes for connection in keeping.server.connections)
        keeping.server.stop_listening()
        return held_bytes, refused, answers, left_bytes

    held_bytes, refused, answers, left_bytes = run(scenario())
    assert held_bytes == 2 * (FIRST_BODY_BYTES + HEAD_BYTES) and left_bytes == 0
    assert refused.startswith((b"HTTP/1.1 503", b"<reset>"))
    assert [status_of(answer) for answer in answers] == [200] * 3


def test_only_the_request_that_holds_most_is_ended():
    async def scenario():
        keeping = KeepingServer()
        await keeping.server.listen("127.0.0.1", 0)
        ended = []
        keeping.server.on_request_ended = ended.append
        calls = [await keeping.send(900_000), await keeping.send(90_000)]
        while sum(connection.held_bytes for connection in keeping.server.connections) < 990_000:
            await asyncio.sleep(0.01)
        keeping.server.memory._limit_bytes = 600_000
        keeping.server.memory.forget()
        keeping.server.check_memory()
        keeping.may_end.set()
        answers = [await read_all(reader) for reader, _ in calls]
        keeping.server.stop_listening()
        return ended, answers

    ended, answers = run(scenario())
    assert len(ended) == 1 and ended[0] >= 900_000
    assert answers[0] in (b"", b"<reset>")
    assert status_of(answers[1]) == 200


def test_target_is_not_read_while_its_caller_does_not_read():
    """Guards against answers that pile up, and against taking the caller's pause for a stall."""
    sent = []

    async def send_much(session):
        session.start_stream()
        for number in range(1, 2_001):
            session.send(event := make_event(number))
            sent.append(len(event))
            await session.writer.drain()
        session.end_stream()

    async def scenario():
        gateway = Gateway(make_route(timeout_ms=20_000.0))
        await gateway.start(ScriptedTarget(send_much), ScriptedTarget(send_much))
        reader, writer = await gateway.connect()
        writer.transport.pause_reading()
        writer.write(encode_request(close=True, deadline="9000"))
        await asyncio.sleep(2.0)
        sent_bytes = sum(sent)
        held_bytes = sum(connection.held_bytes for connection in gateway.server.connections)
        writer.transport.resume_reading()
        answer = await read_all(reader)
        gateway.close()
        return sent_bytes, held_bytes, answer

    sent_bytes, held_bytes, answer = run(scenario())
    assert sent_bytes < 2 * KERNEL_BYTES
    assert held_bytes < 2 * STREAM_BUFFER_BYTES
    assert answer.endswith(b"0\r\n\r\n") and answer.count(b"id: ") == 2_000


def make_event(number):
    event = b"id: %d\ndata: %b\n\n" % (number, b"y" * 16_000)
    return b"%x\r\n%b\r\n" % (len(event), event)
