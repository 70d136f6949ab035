"""Targets that say in their answers that they leave, before the list says so or without it."""

import asyncio

import pytest
from msgspec.structs import replace

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.routes import RouteKind, ServiceShare
from ebonyshore.http.connection_pool import ConnectionPool
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

LEAVING = "Server-Leaving: 1"
REQUESTS = 5


async def stream(session):
    session.send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Attempt-Id: {session.header('Attempt-Id')}\r\nServer-Signature: sig\r\n"
        f"{LEAVING}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    session.send_events(1, 4)
    session.end_stream()


async def cut_stream(session):
    session.send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Attempt-Id: {session.header('Attempt-Id')}\r\n"
        f"{LEAVING}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    session.send_events(1, 2)
    await session.writer.drain()
    session.reset()


def plain(status, *headers):
    async def script(session):
        session.send_answer(status, (LEAVING, *headers), b"answer")

    return script


async def stale_answer_first(session):
    session.send_answer(200, (LEAVING,), b"late", request_id="earlier")
    await send_complete_stream(session)


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def send_requests(route, scripts, requests=REQUESTS):
    """Send requests one after the other; return their answers and the number at each target."""
    targets = [ScriptedTarget(script) for script in scripts]
    gateway = Gateway(route)
    await gateway.start(*targets)
    answers = [await gateway.request() for _ in range(requests)]
    gateway.close()
    return answers, [len(target.sessions) for target in targets], gateway


@pytest.mark.parametrize(
    "script, kind",
    [
        (stream, RouteKind.STREAMING),
        (cut_stream, RouteKind.STREAMING),
        (stale_answer_first, RouteKind.STREAMING),
        (plain(200), RouteKind.IDEMPOTENT),
        (plain(500), RouteKind.IDEMPOTENT),
        (plain(404), RouteKind.IDEMPOTENT),
        (plain(503, "Not-Executed: 1"), RouteKind.IDEMPOTENT),
        (plain(421, "Instance-Id: t1"), RouteKind.IDEMPOTENT),
    ],
    ids=["stream", "cut", "stale", "plain", "failure", "denial", "refusal", "misdirected"],
)
def test_target_that_says_that_it_leaves_gets_one_request(script, kind):
    """Guards against requests to a target that leaves without the list saying so."""
    route = make_route(kind=kind, is_resumable=kind is RouteKind.STREAMING)
    answers, sessions, _ = run(send_requests(route, [script, send_complete_stream]))
    assert sessions[0] == 1
    assert all(status_of(answer) in (200, 404) for answer in answers)


def test_answer_of_another_server_says_nothing_of_the_target():
    """Guards against blaming a target for what a server at its former address says."""
    route = make_route(kind=RouteKind.IDEMPOTENT, is_resumable=False)
    script = plain(421, "Instance-Id: t9")
    _, sessions, gateway = run(send_requests(route, [script, send_complete_stream], requests=1))
    assert sessions == [1, 1]
    assert not gateway.table.find("t1").is_leaving


def test_stream_that_a_leaving_target_cuts_goes_on_elsewhere_and_is_no_crash():
    answers, sessions, gateway = run(
        send_requests(make_route(), [cut_stream, send_complete_stream], requests=1)
    )
    assert event_ids(answers[0]) == [1, 2, 3, 4] and is_complete_stream(answers[0])
    assert sessions == [1, 1]
    assert gateway.table.find("t1").outcomes.failure_rate(0.0) == 0.0
    assert gateway.suspicions.table.export(0.0) == ()


def test_service_that_leaves_target_by_target_serves_its_last_answers_and_then_refuses():
    answers, sessions, _ = run(send_requests(make_route(), [stream, stream], requests=3))
    assert [status_of(answer) for answer in answers] == [200, 200, 503]
    assert sessions == [1, 1]
    assert b'"code":%d' % ResultCode.NO_TARGET in answers[2] and b"Retry-After: " in answers[2]


def let_first_target_leave_while_it_connects(gateway, monkeypatch):
    acquire = ConnectionPool.acquire

    async def announce_while_connecting(*arguments):
        connection = await acquire(*arguments)
        gateway.table.find("t1").announce_leaving("answer")
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", announce_while_connecting)


def test_request_goes_to_another_service_of_its_route_if_the_first_one_leaves(monkeypatch):
    """Guards against refusing a request because of the service that was drawn for it."""

    async def scenario():
        targets = [ScriptedTarget(send_complete_stream) for _ in range(2)]
        shares = (ServiceShare("svc", 1.0), ServiceShare("other", 0.001))
        gateway = Gateway(make_route(shares=shares))
        await gateway.start(*targets)
        gateway.table.put(replace(gateway.table.find("t2").entry, service="other"))
        let_first_target_leave_while_it_connects(gateway, monkeypatch)
        answer = await gateway.request()
        gateway.close()
        return answer, [len(target.sessions) for target in targets]

    answer, sessions = run(scenario())
    assert status_of(answer) == 200 and sessions == [0, 1]


def test_request_is_not_sent_to_a_target_that_left_while_it_connected(monkeypatch):
    """Guards against work that was about to start when the news came."""

    async def scenario():
        targets = [ScriptedTarget(send_complete_stream) for _ in range(2)]
        gateway = Gateway(make_route())
        await gateway.start(*targets)
        let_first_target_leave_while_it_connects(gateway, monkeypatch)
        answer = await gateway.request()
        gateway.close()
        return answer, [len(target.sessions) for target in targets]

    answer, sessions = run(scenario())
    assert status_of(answer) == 200 and sessions == [0, 1]
