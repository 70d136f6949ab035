"""Reuse of idle connections to targets."""

import asyncio

import pytest

from ebonyshore.host.routes import RouteKind
from ebonyshore.http.idle_timeouts import IdleTimeout
from tests.gateway_setup import Gateway, make_route, status_of
from tests.scripted_target import ScriptedTarget


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def send_requests(target, pauses_s, **route_overrides):
    """Send a request, and one more after each pause; return the number of connections opened."""
    gateway = Gateway(make_route(is_resumable=False, **route_overrides))
    await gateway.start(target)
    statuses = []
    for number, pause_s in enumerate((0.0, *pauses_s)):
        await asyncio.sleep(pause_s)
        statuses.append(status_of(await gateway.request(request_id=f"req-{number}")))
    gateway.close()
    return statuses


def answer(*headers, status=200):
    async def script(session):
        session.send_answer(status, headers)

    return script


def test_request_that_must_not_be_repeated_reuses_a_connection_that_is_kept_open():
    """Guards against a new connection for each request where they come far apart."""
    target = ScriptedTarget(answer("Keep-Alive: timeout=2"))
    assert run(send_requests(target, [0.4] * 3)) == [200] * 4
    assert target.connections == 1


def test_request_that_must_not_be_repeated_does_not_use_a_connection_that_may_be_closed():
    target = ScriptedTarget(answer("Keep-Alive: timeout=1"))
    assert run(send_requests(target, [0.7])) == [200] * 2
    assert target.connections == 2


def test_how_long_a_target_keeps_connections_open_is_learned_if_it_does_not_tell():
    target = ScriptedTarget(answer())
    run(send_requests(target, [0.9, 0.4, 0.4]))
    assert target.connections == 2


def test_connection_of_a_refusal_is_kept():
    """Guards against a new connection for each request that a full target refuses."""
    target = ScriptedTarget(
        answer("Not-Executed: 1", status=503), answer("Not-Executed: 1", status=503), answer()
    )
    other = ScriptedTarget(answer())

    async def scenario():
        gateway = Gateway(make_route(is_resumable=False))
        await gateway.start(target, other)
        statuses = []
        for number in range(3):
            statuses.append(status_of(await gateway.request(request_id=f"req-{number}")))
            await asyncio.sleep(0.1)  # the target is avoided for less
        gateway.close()
        return statuses

    assert run(scenario()) == [200] * 3
    assert len(target.sessions) == 3 and target.connections == 1


def test_second_copy_of_a_refusal_is_not_taken_for_the_next_answer_to_the_request():
    """Guards against a second run of a request that seems to be refused twice."""

    async def refuse_twice(session):
        session.send_answer(503, ["Not-Executed: 1"])
        await session.writer.drain()
        await asyncio.sleep(0.1)
        session.send_answer(503, ["Not-Executed: 1"])

    target = ScriptedTarget(refuse_twice, answer())
    assert run(send_requests(target, [])) == [200]
    assert len(target.sessions) == 2


def test_second_copy_of_a_failure_is_not_taken_for_the_answer_to_the_next_attempt():
    async def fail_twice(session):
        session.send_answer(500)
        await session.writer.drain()
        await asyncio.sleep(0.1)
        session.send_answer(500)

    async def answer_slowly(session):
        await asyncio.sleep(0.3)
        session.send_answer()

    target = ScriptedTarget(fail_twice, answer_slowly)
    statuses = run(send_requests(target, [], kind=RouteKind.IDEMPOTENT, max_attempts=2))
    assert statuses == [200]
    assert len(target.sessions) == 2


def learn(*observations):
    timeout = IdleTimeout()
    for name, value_ms in observations:
        if name == "announced":
            timeout.announced_ms = value_ms
        elif name == "open":
            timeout.record_open(value_ms)
        else:
            timeout.record_closed(value_ms)
    return timeout


@pytest.mark.parametrize(
    "observations, max_idle_ms, safe_idle_ms",
    [
        ((), 3_000.0, 150.0),
        ((("announced", 5_000.0),), 3_000.0, 3_000.0),
        ((("announced", 5_000.0), ("closed", 100.0)), 3_000.0, 60.0),
        ((("open", 1_000.0),), 3_000.0, 600.0),
        ((("closed", 1_000.0),), 600.0, 150.0),
        ((("open", 900.0), ("closed", 500.0)), 300.0, 300.0),
        ((("closed", 100.0), ("open", 900.0)), 3_000.0, 540.0),  # closed for another reason
    ],
)
def test_limits_follow_from_what_the_server_tells_and_does(observations, max_idle_ms, safe_idle_ms):
    timeout = learn(*observations)
    assert (timeout.max_idle_ms, timeout.safe_idle_ms) == (max_idle_ms, safe_idle_ms)
