"""Online requests between callers and targets that fail in all the ways that targets do."""

import asyncio

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.routes import RouteKind
from tests.gateway_setup import (
    Gateway,
    encode_request,
    event_ids,
    is_whole_stream,
    make_route,
    status_of,
)
from tests.scripted_target import ScriptedTarget, whole_stream


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def forwarded(route, *targets, **request):
    gateway = Gateway(route)
    await gateway.start(*targets)
    answer = await gateway.ask(**request)
    gateway.close()
    assert gateway.failures == []
    return answer, gateway


def once_route(**changes):
    return make_route(is_resumable=False, max_attempts=1, **changes)


def plain_route(kind=RouteKind.IDEMPOTENT, **changes):
    return make_route(kind=kind, is_resumable=False, **changes)


def test_a_stream_is_passed_on_whole_with_the_targets_signature():
    target = ScriptedTarget(whole_stream)
    answer, _ = run(forwarded(make_route(), target, body=b"hello"))
    assert status_of(answer) == 200
    assert event_ids(answer) == [1, 2, 3, 4] and is_whole_stream(answer)
    assert b"Server-Signature: sig" in answer
    session = target.sessions[0]
    assert session.body == b"hello" and session.head.startswith("POST /p/x HTTP/1.1")
    assert session.header("Expect-Instance") == "t1"
    assert 0 < int(session.header("Deadline-Ms")) <= 2500


def test_a_broken_stream_goes_on_at_another_target_after_the_last_whole_event():
    """Guards against a gap or a repeat where two targets' events join."""

    async def break_off(session):
        session.start_stream()
        session.send_events(1, 2)
        session.send("6\r\nid: 3\n\r\n")
        await session.writer.drain()
        await asyncio.sleep(0.05)
        session.reset()

    second = ScriptedTarget(whole_stream)
    answer, _ = run(forwarded(make_route(), ScriptedTarget(break_off), second))
    assert event_ids(answer) == [1, 2, 3, 4] and is_whole_stream(answer)
    assert second.sessions[0].header("Last-Event-Id") == "2"


@pytest.mark.parametrize(
    "spoilt",
    [
        b"5\r\nhello\r\n",  # not an event
        b"zz\r\n",  # not a chunk
        b"0\r\n\r\n",  # ends after two events: whole as far as anyone can tell
    ],
)
def test_spoilt_bytes_never_look_like_a_whole_answer(spoilt):
    async def spoil(session):
        session.start_stream()
        session.send_events(1, 2)
        session.send(spoilt)
        await session.writer.drain()
        session.writer.close()

    answer, _ = run(forwarded(once_route(), ScriptedTarget(spoil)))
    assert event_ids(answer) == [1, 2]
    assert is_whole_stream(answer) == spoilt.startswith(b"0")


def test_a_request_that_may_have_run_is_not_repeated_and_not_called_not_run():
    """Guards against a request that must not be repeated running twice, or a false refusal."""

    async def run_and_reset(session):
        session.reset()

    second = ScriptedTarget(whole_stream)
    answer, _ = run(forwarded(once_route(), ScriptedTarget(run_and_reset), second))
    assert status_of(answer) == 502
    assert second.sessions == []


def test_a_request_that_a_target_has_refused_goes_to_another():
    async def refuse(session):
        session.send_answer(503, ["Not-Executed: 1"])

    second = ScriptedTarget(whole_stream)
    answer, _ = run(forwarded(once_route(), ScriptedTarget(refuse), second))
    assert status_of(answer) == 200 and len(second.sessions) == 1


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_promises_not_run_is_passed_on_only_with_the_targets_word(status):
    """Guards against the target's own failure being told as a refusal."""

    async def fail(session):
        session.send_answer(status)

    answer, _ = run(forwarded(once_route(), ScriptedTarget(fail)))
    assert status_of(answer) == 502


def test_when_all_targets_refuse_the_caller_is_told_when_to_come_back():
    async def refuse(session):
        session.send_answer(503, ["Not-Executed: 1"])

    answer, _ = run(forwarded(once_route(), ScriptedTarget(refuse), ScriptedTarget(refuse)))
    assert status_of(answer) == 503 and b"Retry-After: " in answer


def test_an_answer_to_another_request_is_dropped():
    """Guards against answers that cross: a late second answer comes where this one is due."""

    async def answer_twice(session):
        session.send_answer(200, body=b"of another", request_id="req-0")
        session.send_answer(200, ["Server-Signature: s"], b"mine")

    answer, _ = run(forwarded(plain_route(), ScriptedTarget(answer_twice)))
    assert answer.endswith(b"mine") and b"of another" not in answer


def test_a_connection_with_bytes_after_the_answer_is_not_used_again():
    async def say_more(session):
        session.send_answer(200, body=b"whole")
        session.send_answer(200, body=b"extra")

    async def scenario():
        target = ScriptedTarget(say_more)
        gateway = Gateway(plain_route())
        await gateway.start(target)
        answers = [await gateway.ask() for _ in range(3)]
        gateway.close()
        return answers, target

    answers, target = run(scenario())
    assert all(answer.endswith(b"whole") for answer in answers)
    assert target.connections == 3


def test_a_truncated_answer_is_asked_for_again_where_that_is_allowed():
    async def truncate(session):
        session.send("HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\nContent-Length: 9\r\n\r\nhalf")
        await session.writer.drain()
        session.writer.close()

    async def whole(session):
        session.send_answer(200, body=b"the whole")

    answer, _ = run(forwarded(plain_route(), ScriptedTarget(truncate), ScriptedTarget(whole)))
    assert answer.endswith(b"the whole")
    answer, _ = run(
        forwarded(
            plain_route(RouteKind.NON_IDEMPOTENT), ScriptedTarget(truncate), ScriptedTarget(whole)
        )
    )
    assert status_of(answer) == 502


def test_an_answer_without_a_length_ends_with_its_connection():
    async def unframed(session):
        session.send("HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\n\r\nup to the end")
        await session.writer.drain()
        session.writer.close()

    answer, _ = run(forwarded(plain_route(), ScriptedTarget(unframed)))
    assert answer.endswith(b"up to the end")


def test_a_caller_that_leaves_ends_the_work_at_the_target():
    """Guards against targets working on for nobody."""
    ended = asyncio.Event()

    async def never_end(session):
        session.start_stream()
        session.send_events(1, 1)
        await session.writer.drain()
        try:
            await session.reader.read()
        finally:
            ended.set()

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(ScriptedTarget(never_end))
        reader, writer = await gateway.connect()
        writer.write(encode_request())
        await reader.readuntil(b"id: 1")
        writer.close()
        await asyncio.wait_for(ended.wait(), 0.5)
        target = gateway.table.find("t1")
        gateway.close()
        return target

    assert run(scenario()).own_online == 0


def test_a_silent_target_is_left_for_another_and_avoided():
    async def say_nothing(session):
        await session.reader.read()

    second = ScriptedTarget(whole_stream)
    answer, gateway = run(forwarded(make_route(), ScriptedTarget(say_nothing), second))
    assert event_ids(answer) == [1, 2, 3, 4]
    assert gateway.table.find("t1").avoid_until_ms > 0


def test_the_routes_time_bounds_the_wait_and_says_that_the_request_may_have_run():
    async def say_nothing(session):
        await session.reader.read()

    answer, _ = run(forwarded(once_route(timeout_ms=200.0), ScriptedTarget(say_nothing)))
    assert status_of(answer) == 504


def test_a_target_that_takes_no_connection_has_not_run_the_request():
    async def scenario():
        gone = ScriptedTarget(whole_stream)
        gateway = Gateway(once_route())
        await gateway.start(gone, ScriptedTarget(whole_stream))
        gone.close()
        await asyncio.sleep(0.01)
        answer = await gateway.ask()
        gateway.close()
        return answer

    assert status_of(run(scenario())) == 200


def test_a_request_without_any_target_is_refused_at_once():
    answer, _ = run(forwarded(once_route()))
    assert status_of(answer) == 503 and b"Retry-After: 0.50" in answer


def test_a_failed_answer_of_a_target_is_passed_on_with_its_signature():
    async def fail(session):
        session.send_answer(500, ["Server-Signature: s5"], b"oops")

    answer, _ = run(forwarded(once_route(), ScriptedTarget(fail)))
    assert status_of(answer) == 500 and b"Server-Signature: s5" in answer


def test_loads_are_counted_while_a_request_runs():
    seen = []

    async def scenario():
        gateway = Gateway(make_route())

        async def look(session):
            seen.append(gateway.table.find("t1").own_online)
            await whole_stream(session)

        await gateway.start(ScriptedTarget(look))
        await gateway.ask()
        gateway.close()
        return gateway

    gateway = run(scenario())
    assert seen == [1] and gateway.table.find("t1").own_online == 0
    assert gateway.changes == 2


def test_a_failure_that_the_target_answers_itself_counts_against_it():
    """Guards against a target that fails its requests with a good health check being kept in use:
    requests that must not be repeated pass its failures on."""

    async def fail(session):
        session.send_answer(500)

    async def scenario():
        gateway = Gateway(once_route())
        await gateway.start(ScriptedTarget(fail))
        for _ in range(4):
            assert status_of(await gateway.ask()) == 500
        gateway.close()
        return gateway.table.find("t1").outcomes.failure_rate(now_ms())

    assert run(scenario()) > 0.9
