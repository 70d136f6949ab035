"""Streams whose events are slow but steady, and streams that stall."""

import asyncio

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.pause_limits import PauseLimits, patience_ms
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route
from tests.scripted_target import ScriptedTarget


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
