"""Planned stop of a server whose callers keep sending requests."""

import asyncio
from types import SimpleNamespace

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway import front_server
from ebonyshore.gateway.front_server import FrontServer
from ebonyshore.host.host_settings import ListenAddress
from ebonyshore.http.headers import Headers
from ebonyshore.platform.wire_names import WIRE_NAMES
from tests.gateway_setup import encode_request, make_route, read_all, status_of

LARGE_BODY = b"y" * 16_000_000


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 10))


class SlowForwarder:
    """Answers each request in two parts."""

    def __init__(self):
        self.may_end = asyncio.Event()

    async def forward(self, _route, _request, responder, _account):
        responder.start_stream(200, Headers())
        await self.may_end.wait()
        responder.write(b"end")
        responder.end_stream()


class LargeAnswers:
    """Answers each request with more than a connection can take at once."""

    async def forward(self, _route, _request, responder, _account):
        responder.send(200, Headers(), LARGE_BODY)


def make_front(forwarder):
    table = SimpleNamespace(find=lambda _host, _path: make_route())
    config = SimpleNamespace(table=table, version=1, change_listeners=[])
    address = ListenAddress("127.0.0.1", 0)
    authenticator = SimpleNamespace(authenticate=lambda _headers, _is_public: None)
    no_account_limits = None  # no request has an account here
    return FrontServer(
        address,
        WIRE_NAMES,
        config,
        forwarder,
        None,
        authenticator,
        no_account_limits,
        EventLog(),
        Metrics(),
    )


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def connect(front):
    return await asyncio.open_connection("127.0.0.1", front.port)


def test_request_after_an_answer_that_did_not_announce_the_stop_is_answered(monkeypatch):
    """Guards against a connection that is closed although its caller may go on to use it."""
    monkeypatch.setattr(front_server, "LISTEN_WHILE_DRAINING_MS", 300.0)

    async def scenario():
        forwarder = SlowForwarder()
        front = make_front(forwarder)
        await front.start()
        reader, writer = await connect(front)
        writer.write(encode_request())
        await reader.readuntil(b"\r\n\r\n")
        front.begin_drain()
        forwarder.may_end.set()
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(encode_request())
        answer = await read_all(reader)
        await wait_until(front.is_drained)
        await front.stop()
        return answer

    answer = run(scenario())
    assert status_of(answer) == 200 and b"Connection: close" in answer


def test_request_on_a_new_connection_at_the_last_moment_is_answered(monkeypatch):
    """Guards against a connection that is closed before its first request has arrived."""
    monkeypatch.setattr(front_server, "LISTEN_WHILE_DRAINING_MS", 100.0)

    async def scenario():
        forwarder = SlowForwarder()
        forwarder.may_end.set()
        front = make_front(forwarder)
        await front.start()
        front.begin_drain()
        await asyncio.sleep(0.08)
        reader, writer = await connect(front)
        await asyncio.sleep(0.08)
        writer.write(encode_request())
        answer = await read_all(reader)
        await wait_until(front.is_drained)
        await front.stop()
        return answer

    assert status_of(run(scenario())) == 200


def test_process_waits_for_callers_that_read_the_end_of_their_answer_slowly(monkeypatch):
    """Guards against an answer that is cut off in the buffer of a process that stops."""
    monkeypatch.setattr(front_server, "LISTEN_WHILE_DRAINING_MS", 0.0)

    async def scenario():
        front = make_front(LargeAnswers())
        await front.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port, limit=4_096)
        writer.transport.pause_reading()
        writer.write(encode_request(close=True))
        await asyncio.sleep(0.1)
        front.begin_drain()
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_later(0.2, writer.transport.resume_reading)
        reading = asyncio.create_task(read_all(reader))
        await wait_until(front.is_drained)
        await front.stop()
        return await reading

    answer = run(scenario())
    assert answer.count(b"y") == len(LARGE_BODY) and b"<reset>" not in answer
