"""Tests of what callers get while targets name rate limits, and of what counts as naming one."""

import asyncio
from functools import partial

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.rate_limits import LIMIT_WINDOW_MS
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

LOWEST = 0.1  # one request in four seconds


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def send_stream(session, limit, last=4, is_broken=False):
    first = int(session.header("Last-Event-Id") or 0) + 1
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Server-Limit: {limit}"]
    lines += [f"Attempt-Id: {session.header('Attempt-Id')}", "Server-Signature: sig"]
    session.send("\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]))
    session.send_events(first, last)
    await session.writer.drain()
    if is_broken:
        await asyncio.sleep(0.02)
        session.reset()
    else:
        session.end_stream()


class LimitedGateway(Gateway):
    """A gateway with one target."""

    async def start_with(self, *scripts):
        self.target = ScriptedTarget(*scripts)
        await self.start(self.target)
        return self

    @property
    def incarnation(self):
        return self.table.find("t1").incarnation

    @property
    def allowance(self):
        return self.table.rate_limits.allowance(self.incarnation, now_ms())

    def use_up(self, ago_ms=0.0):
        self.table.rate_limits.record_sent(self.incarnation, now_ms() - ago_ms)


def test_request_beyond_a_limit_is_refused_at_once_and_not_sent():
    async def scenario():
        gateway = await LimitedGateway(make_route()).start_with(partial(send_stream, limit=LOWEST))
        served = await gateway.request(b"one")
        gateway.use_up()
        refused = await gateway.request(b"two")
        gateway.close()
        return served, refused, len(gateway.target.sessions)

    served, refused, runs = run(scenario())
    assert (status_of(served), status_of(refused), runs) == (200, 503, 1)
    assert b"Retry-After: " in refused


@pytest.mark.parametrize("value", ["nan", "-1", "many", ""])
def test_value_that_is_no_rate_neither_limits_a_target_nor_lifts_its_limit(value):
    async def scenario():
        malformed = partial(send_stream, limit=value)
        gateway = await LimitedGateway(make_route()).start_with(
            malformed, partial(send_stream, limit=LOWEST), malformed
        )
        known = []
        for body in (b"one", b"two", b"three"):
            await gateway.request(body)
            known.append(gateway.allowance)
        gateway.close()
        return known

    assert run(scenario()) == [None, 1, 0]


def test_load_report_without_a_limit_does_not_lift_it():
    async def scenario():
        gateway = await LimitedGateway(make_route()).start_with(partial(send_stream, limit=LOWEST))
        await gateway.request(b"one")
        await gateway.checker.check(gateway.table.find("t1"))
        gateway.close()
        return gateway.allowance

    assert run(scenario()) is not None


def test_answer_without_a_limit_lifts_it():
    async def scenario():
        gateway = await LimitedGateway(make_route()).start_with(
            partial(send_stream, limit=LOWEST), send_complete_stream
        )
        for body in (b"one", b"two"):
            await gateway.request(body)
        gateway.close()
        return gateway.allowance

    assert run(scenario()) is None


def test_stream_that_breaks_while_all_targets_are_at_their_limits_goes_on_later():
    """Guards against cutting a stream that could be completed a little late."""

    async def scenario():
        gateway = await LimitedGateway(make_route()).start_with(
            partial(send_stream, limit=LOWEST, last=2, is_broken=True),
            partial(send_stream, limit=LOWEST),
        )
        gateway.table.rate_limits.observe(gateway.incarnation, LOWEST, now_ms(), "answer")
        gateway.use_up(ago_ms=LIMIT_WINDOW_MS - 700.0)
        gateway.table.rate_limits.observe(gateway.incarnation, None, now_ms(), "answer")
        began_ms = now_ms()
        answer = await gateway.request(b"body")
        gateway.close()
        return answer, now_ms() - began_ms

    answer, duration_ms = run(scenario())
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    assert duration_ms > 500.0
