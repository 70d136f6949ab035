"""Bodies that are no event streams and too long to be held back whole."""

import asyncio

import pytest

from ebonyshore.gateway.body_relay import HELD_BODY_BYTES
from ebonyshore.host.crash_guard import CrashGuard
from ebonyshore.http.client import MAX_HEAD_FIELDS
from ebonyshore.http.responder import Responder
from tests.gateway_setup import Gateway, make_route, status_of
from tests.scripted_target import ScriptedTarget

SIZE_BYTES = 1_000_000
BODY = bytes(range(256)) * (SIZE_BYTES // 256)
LENGTH = f"Content-Length: {len(BODY)}"
CHUNKED = "Transfer-Encoding: chunked"


def send_part(size_bytes, length_line=LENGTH, status=200):
    """Return a script that sends the first bytes of a body and resets the connection."""

    async def script(session):
        session.send(f"HTTP/1.1 {status} X\r\nAttempt-Id: req-1\r\n{length_line}\r\n\r\n")
        part = BODY[:size_bytes]
        if length_line == CHUNKED:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        session.send(part)
        await session.writer.drain()
        await asyncio.sleep(0.2)
        session.reset()

    return script


async def send_whole(session):
    session.send_answer(body=BODY)
    await session.writer.drain()


async def send_whole_in_chunks(session):
    session.send(f"HTTP/1.1 200 X\r\nAttempt-Id: req-1\r\n{CHUNKED}\r\n\r\n")
    for start in range(0, len(BODY), 10_000):
        part = BODY[start : start + 10_000]
        session.send(b"%x\r\n%b\r\n" % (len(part), part))
    session.send(b"0\r\n\r\n")
    await session.writer.drain()


def request(*scripts):
    """Return the answer to one request, the targets and the gateway."""

    async def scenario():
        gateway = Gateway(make_route())
        targets = [ScriptedTarget(script) for script in scripts]
        await gateway.start(*targets)
        answer = await gateway.request()
        gateway.close()
        return answer, [len(target.sessions) for target in targets], gateway

    return asyncio.run(asyncio.wait_for(scenario(), 20))


def split(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    return head, body


@pytest.mark.parametrize("script", [send_whole, send_whole_in_chunks])
def test_long_body_arrives_whole(script):
    answer, _, _ = request(script)
    head, body = split(answer)
    assert LENGTH.encode() in head
    assert body == BODY


def test_long_body_without_length_is_relayed_in_chunks_if_there_is_little_room(monkeypatch):
    monkeypatch.setattr(Responder, "has_much_room", lambda _responder: False)
    answer, _, gateway = request(send_whole_in_chunks)
    head, body = split(answer)
    assert CHUNKED.encode() in head and b"Content-Length" not in head
    assert len(body) > len(BODY) and body.endswith(b"\r\n0\r\n\r\n")
    assert gateway.metrics.counter("bodies_relayed") == 1


def test_request_is_retried_if_a_short_beginning_of_its_body_came():
    answer, sessions, _ = request(send_part(HELD_BODY_BYTES // 2), send_whole)
    assert split(answer)[1] == BODY
    assert sessions == [1, 1]


@pytest.mark.parametrize("line", [LENGTH, CHUNKED, "X: until the connection ends"])
def test_body_that_breaks_off_does_not_look_complete(line, monkeypatch):
    """Guards against a second answer, or an end, after a part of the first one."""

    async def is_down(_guard, _run):
        return False

    monkeypatch.setattr(CrashGuard, "confirm_end", is_down)
    monkeypatch.setattr(Responder, "has_much_room", lambda _responder: False)
    answer, sessions, _ = request(send_part(300_000, line), send_whole)
    _, body = split(answer)
    assert HELD_BODY_BYTES < len(body) < 310_000
    assert not body.endswith(b"0\r\n\r\n")
    assert sessions == [1, 0]


@pytest.mark.parametrize("status", [500, 503])
def test_nothing_of_a_long_body_of_a_failure_is_relayed(status):
    answer, sessions, _ = request(send_part(300_000, status=status), send_whole)
    assert split(answer)[1] == BODY
    assert sessions == [1, 1]


def test_request_is_retried_after_a_head_with_too_many_fields():
    async def send_fields(session):
        session.send("HTTP/1.1 200 X\r\nAttempt-Id: req-1\r\n" + "x: y\r\n" * MAX_HEAD_FIELDS)
        session.send("Content-Length: 0\r\n\r\n")

    answer, sessions, _ = request(send_fields, send_whole)
    assert split(answer)[1] == BODY
    assert sessions == [1, 1]


def test_request_that_holds_most_is_ended_as_one_that_may_have_run():
    """Guards against 503 for a request that may have run, and against blaming its target."""

    async def wait(_session):
        await asyncio.sleep(5)

    async def scenario():
        gateway = Gateway(make_route())
        target = ScriptedTarget(wait)
        await gateway.start(target)
        task = asyncio.ensure_future(gateway.request(body=b"x" * 300_000))
        await asyncio.sleep(0.2)
        gateway.server.memory._limit_bytes = 100_000
        gateway.server.check_memory()
        answer = await task
        failure_rate = gateway.table.find("t1").outcomes.failure_rate(0.0)
        gateway.close()
        return answer, failure_rate, len(target.sessions)

    answer, failure_rate, sessions = asyncio.run(scenario())
    assert status_of(answer) == 502
    assert (failure_rate, sessions) == (0.0, 1)
