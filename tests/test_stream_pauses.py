"""Streams whose events are slow but steady, and streams that stall."""

import asyncio
from threading import Thread
from time import sleep

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.pause_limits import PauseLimits, patience_ms
from ebonyshore.host.routes import RouteKind
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def forward(route, *targets, deadline="9000"):
    gateway = Gateway(route)
    await gateway.start(*targets)
    answer = await gateway.request(deadline=deadline)
    gateway.close()
    assert gateway.failures == []
    return answer


def slow_target(pause_s, last=4):
    async def send_slowly(session):
        session.start_stream()
        first = int(session.header("Last-Event-Id") or 0) + 1
        for number in range(first, last + 1):
            if number > 1:
                await session.writer.drain()
                await asyncio.sleep(pause_s)
            session.send_events(number, number)
        session.end_stream()

    return ScriptedTarget(send_slowly)


@pytest.mark.parametrize(
    "max_gap_ms, target_count, max_runs", [(1_000.0, 3, 1), (None, 3, 2), (None, 1, 1)]
)
def test_stream_with_slow_steady_events_is_relayed_whole(max_gap_ms, target_count, max_runs):
    """Guards against moving a stream on and on between targets that are all as slow."""

    async def play(max_attempts):
        route = make_route(timeout_ms=10_000.0, max_attempts=max_attempts, max_gap_ms=max_gap_ms)
        targets = [slow_target(0.9) for _ in range(target_count)]
        answer = await forward(route, *targets)
        assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
        return sum(len(target.sessions) for target in targets)

    async def scenario():
        return await asyncio.gather(*(play(max_attempts) for max_attempts in (1, 2, 4)))

    assert max(run(scenario())) <= max_runs


def test_stream_is_left_to_go_on_if_the_other_targets_are_avoided():
    async def scenario():
        gateway = Gateway(make_route(timeout_ms=10_000.0, max_attempts=3))
        targets = [slow_target(1.0, last=2), slow_target(1.0, last=2)]
        await gateway.start(*targets)
        gateway.table.find("t2").mark_unresponsive(now_ms())
        answer = await gateway.request(deadline="9000")
        gateway.close()
        return answer, [len(target.sessions) for target in targets]

    answer, sessions = run(scenario())
    assert event_ids(answer) == [1, 2] and is_complete_stream(answer)
    assert sessions == [1, 0]


class TargetInThread:
    """A target on an event loop of its own, which goes on while that of the entry stands still."""

    def __init__(self, target):
        self.target = target
        self.loop = asyncio.new_event_loop()
        Thread(target=self.loop.run_forever, daemon=True).start()

    async def start(self):
        started = asyncio.run_coroutine_threadsafe(self.target.start(), self.loop)
        return await asyncio.wrap_future(started)


def test_streams_go_on_after_the_entry_was_suspended():
    """Guards against starting all streams again because the entry itself was silent."""
    targets = [slow_target(0.1, last=20), slow_target(0.1, last=20)]

    async def scenario():
        gateway = Gateway(make_route(timeout_ms=10_000.0, max_attempts=3))
        await gateway.start(*(TargetInThread(target) for target in targets))
        request = asyncio.create_task(gateway.request(deadline="9000"))
        await asyncio.sleep(0.5)
        sleep(1.2)
        answer = await request
        gateway.close()
        return answer

    assert is_complete_stream(run(scenario()))
    assert sum(len(target.sessions) for target in targets) == 1


def stream_with_pauses(limits, *pauses_ms):
    at_ms = 0.0
    limits.begin_attempt()
    limits.record_event(at_ms)
    for pause_ms in pauses_ms:
        at_ms += pause_ms
        limits.record_event(at_ms)
    return limits


@pytest.mark.parametrize(
    "max_gap_ms, pauses_ms, limit_ms",
    [
        (None, (), 700.0),
        (400.0, (), 700.0),
        (1_000.0, (), 1_250.0),
        (None, (600.0, 600.0), 700.0),  # too few to show a rhythm
        (None, (20.0, 20.0, 20.0), 700.0),
        (1_000.0, (20.0, 20.0, 20.0), 700.0),  # a stream this steady has stalled
        (None, (400.0, 300.0, 400.0), 1_200.0),
        (None, (650.0, 650.0, 650.0), 1_500.0),  # less than the callers' patience
        (2_000.0, (1_900.0, 1_900.0, 1_900.0), 5_700.0),
    ],
)
def test_limit_follows_from_the_route_and_from_the_rhythm_of_the_stream(
    max_gap_ms, pauses_ms, limit_ms
):
    limits = PauseLimits(900.0, 700.0, max_gap_ms, patience_ms(300.0, max_gap_ms))
    assert stream_with_pauses(limits, *pauses_ms).limit_ms == limit_ms


def test_each_move_doubles_the_limits():
    limits = PauseLimits(900.0, 700.0)
    limits.record_move()
    limits.begin_attempt()
    assert limits.limit_ms == 1_800.0
    assert stream_with_pauses(limits).limit_ms == 1_400.0
    limits.record_move()
    assert limits.limit_ms == 2_800.0


def test_time_to_the_first_event_of_another_target_is_no_pause_of_the_stream():
    limits = stream_with_pauses(PauseLimits(900.0, 700.0), 20.0, 20.0, 20.0)
    limits.begin_attempt()
    assert limits.limit_ms == 900.0
    limits.record_event(5_000.0)
    assert limits.limit_ms == 700.0


def trickle(head, block=b"y", pause_s=0.1):
    async def send_bit_by_bit(session):
        session.send(head)
        while True:
            await session.writer.drain()
            await asyncio.sleep(pause_s)
            session.send(block)

    return ScriptedTarget(send_bit_by_bit)


def idempotent_route(**overrides):
    return make_route(kind=RouteKind.IDEMPOTENT, is_resumable=False, **overrides)


async def answer_plainly(session):
    session.send_answer(body=b"whole")


@pytest.mark.parametrize(
    "head, block",
    [
        (HEAD + b"Content-Length: 100\r\n\r\n", b"y"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\ny\r\n"),
        (HEAD + b"\r\n", b"y"),
        (b"HTTP/1.1 200 OK\r\nAttempt-Id: req-0\r\nContent-Length: 100\r\n\r\n", b"y"),
    ],
    ids=["length", "chunks", "neither", "answer to another request"],
)
def test_plain_answer_that_trickles_is_given_up_in_time(head, block):
    """Guards against a body that a byte now and then keeps from ever ending."""

    async def scenario():
        began_ms = now_ms()
        route = idempotent_route(timeout_ms=10_000.0)
        answer = await forward(route, trickle(head, block), ScriptedTarget(answer_plainly))
        return answer, now_ms() - began_ms

    answer, duration_ms = run(scenario())
    assert answer.endswith(b"whole")
    assert duration_ms < 2_000.0


def test_large_body_that_arrives_steadily_is_not_given_up():
    target = trickle(HEAD + b"Content-Length: 40000\r\n\r\n", b"y" * 4_000, 0.2)
    answer = run(
        forward(idempotent_route(timeout_ms=10_000.0), target, ScriptedTarget(answer_plainly))
    )
    assert answer.endswith(b"y" * 40_000)


def test_stream_whose_next_event_trickles_is_resumed_in_time():
    async def begin_and_trickle(session):
        session.start_stream()
        session.send_events(1, 2)
        while True:
            await session.writer.drain()
            await asyncio.sleep(0.1)
            session.send(b"2\r\n:\n\r\n")

    async def scenario():
        began_ms = now_ms()
        route = make_route(timeout_ms=10_000.0)
        targets = ScriptedTarget(begin_and_trickle), ScriptedTarget(send_complete_stream)
        return await forward(route, *targets), now_ms() - began_ms

    answer, duration_ms = run(scenario())
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    assert duration_ms < 1_500.0


def test_stream_that_trickles_and_cannot_be_resumed_ends_at_its_deadline():
    target = trickle(STREAM_HEAD, b"2\r\n:\n\r\n")
    answer = run(forward(make_route(is_resumable=False, max_attempts=1), target, deadline="1500"))
    assert status_of(answer) == 504
