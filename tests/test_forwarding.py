"""Forwarding of online requests to targets that fail in various ways."""

import asyncio

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.routes import RouteKind
from tests.gateway_setup import (
    Gateway,
    encode_request,
    event_ids,
    is_complete_stream,
    make_route,
    status_of,
)
from tests.scripted_target import ScriptedTarget, send_complete_stream


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def forward_request(route, *targets, **arguments):
    gateway = Gateway(route)
    await gateway.start(*targets)
    answer = await gateway.request(**arguments)
    gateway.close()
    assert gateway.failures == []
    return answer, gateway


def non_repeatable_route(**overrides):
    return make_route(is_resumable=False, max_attempts=1, **overrides)


def plain_route(kind=RouteKind.IDEMPOTENT, **overrides):
    return make_route(kind=kind, is_resumable=False, **overrides)


def test_stream_is_relayed_completely_with_the_targets_signature():
    target = ScriptedTarget(send_complete_stream)
    answer, _ = run(forward_request(make_route(), target, body=b"hello"))
    assert status_of(answer) == 200
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    assert b"Server-Signature: sig" in answer
    session = target.sessions[0]
    assert session.body == b"hello" and session.head.startswith("POST /p/x HTTP/1.1")
    assert session.header("Expect-Instance") == "t1"
    assert 0 < int(session.header("Deadline-Ms")) <= 2500


def test_broken_stream_resumes_at_another_target_after_the_last_complete_event():
    """Guards against a missing or repeated event where the events of two targets meet."""

    async def break_off(session):
        session.start_stream()
        session.send_events(1, 2)
        session.send("6\r\nid: 3\n\r\n")
        await session.writer.drain()
        await asyncio.sleep(0.05)
        session.reset()

    second = ScriptedTarget(send_complete_stream)
    answer, _ = run(forward_request(make_route(), ScriptedTarget(break_off), second))
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    assert second.sessions[0].header("Last-Event-Id") == "2"


async def break_off_after_two_events(session):
    session.start_stream()
    session.send_events(1, 2)
    await session.writer.drain()
    session.reset()


async def break_off_before_any_event(session):
    session.start_stream()
    await session.writer.drain()
    session.reset()


@pytest.mark.parametrize("last_version", ["v2", "v1"])
def test_stream_does_not_go_on_at_a_target_that_was_started_again(last_version):
    """Guards against a target that has another version than the list shows, also as the first."""
    targets = [
        ScriptedTarget(break_off_after_two_events),
        *(ScriptedTarget(send_complete_stream) for _ in range(3)),
    ]
    targets[1].report = b'{"born":2}'
    targets[2].report = b'{"born":1}'

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(*targets, versions=("v1", "v1", "v1", last_version))
        answer = await gateway.request()
        gateway.close()
        return answer

    answer = run(scenario())
    assert [len(target.sessions) for target in targets] == [1, 0, 1, 0]
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)


@pytest.mark.parametrize(
    "begin, versions, tried, is_complete",
    [
        (break_off_after_two_events, ("v1", "v2", "v1"), [1, 0, 1], True),
        (break_off_after_two_events, ("v1", "v2", "v2"), [2, 0, 0], False),
        (break_off_before_any_event, ("v1", "v2", "v1"), [1, 1, 0], True),
    ],
)
def test_stream_goes_on_only_at_the_version_that_brought_its_first_event(
    begin, versions, tried, is_complete
):
    """Guards against an answer with events of two versions, which do not fit together."""
    targets = [ScriptedTarget(begin), *(ScriptedTarget(send_complete_stream) for _ in range(2))]

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(*targets, versions=versions)
        answer = await gateway.request()
        gateway.close()
        return answer

    answer = run(scenario())
    assert [len(target.sessions) for target in targets] == tried
    assert is_complete_stream(answer) is is_complete
    assert event_ids(answer) == ([1, 2, 3, 4] if is_complete else [1, 2])


@pytest.mark.parametrize(
    "malformed",
    [
        b"5\r\nhello\r\n",  # not an event
        b"zz\r\n",  # not a chunk
        b"0\r\n\r\n",  # ends after two events, so it is indistinguishable from a complete stream
    ],
)
def test_malformed_stream_is_never_relayed_as_complete(malformed):
    async def send_malformed(session):
        session.start_stream()
        session.send_events(1, 2)
        session.send(malformed)
        await session.writer.drain()
        session.writer.close()

    answer, _ = run(forward_request(non_repeatable_route(), ScriptedTarget(send_malformed)))
    assert event_ids(answer) == [1, 2]
    assert is_complete_stream(answer) == malformed.startswith(b"0")


def test_request_that_may_have_run_is_neither_repeated_nor_refused():
    """Guards against a second run of a request that must not be repeated, and a false refusal."""

    async def run_and_reset(session):
        session.reset()

    second = ScriptedTarget(send_complete_stream)
    answer, _ = run(forward_request(non_repeatable_route(), ScriptedTarget(run_and_reset), second))
    assert status_of(answer) == 502
    assert second.sessions == []


def test_request_refused_by_a_target_is_sent_to_another():
    async def refuse(session):
        session.send_answer(503, ["Not-Executed: 1"])

    second = ScriptedTarget(send_complete_stream)
    answer, _ = run(forward_request(non_repeatable_route(), ScriptedTarget(refuse), second))
    assert status_of(answer) == 200 and len(second.sessions) == 1


@pytest.mark.parametrize("status", [408, 429, 503])
def test_refusal_status_without_the_not_executed_header_is_not_relayed(status):
    """Guards against reporting a failure of the target as a refusal."""

    async def fail(session):
        session.send_answer(status)

    answer, _ = run(forward_request(non_repeatable_route(), ScriptedTarget(fail)))
    assert status_of(answer) == 502


def test_request_refused_by_all_targets_is_answered_with_a_retry_delay():
    async def refuse(session):
        session.send_answer(503, ["Not-Executed: 1"])

    answer, _ = run(
        forward_request(non_repeatable_route(), ScriptedTarget(refuse), ScriptedTarget(refuse))
    )
    assert status_of(answer) == 503 and b"Retry-After: " in answer


def test_response_to_another_request_is_discarded():
    """Guards against relaying a late response to an earlier request on the same connection."""

    async def answer_twice(session):
        session.send_answer(200, body=b"of another", request_id="req-0")
        session.send_answer(200, ["Server-Signature: s"], b"mine")

    answer, _ = run(forward_request(plain_route(), ScriptedTarget(answer_twice)))
    assert answer.endswith(b"mine") and b"of another" not in answer


def test_connection_with_bytes_after_the_response_is_not_reused():
    async def send_surplus_response(session):
        session.send_answer(200, body=b"whole")
        session.send_answer(200, body=b"extra")

    async def scenario():
        target = ScriptedTarget(send_surplus_response)
        gateway = Gateway(plain_route())
        await gateway.start(target)
        answers = [await gateway.request(request_id=f"req-{number}") for number in range(3)]
        gateway.close()
        return answers, target

    answers, target = run(scenario())
    assert all(answer.endswith(b"whole") for answer in answers)
    assert target.connections == 3


def test_truncated_response_is_retried_if_the_route_allows_it():
    async def truncate(session):
        session.send("HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\nContent-Length: 9\r\n\r\nhalf")
        await session.writer.drain()
        session.writer.close()

    async def whole(session):
        session.send_answer(200, body=b"the whole")

    answer, _ = run(forward_request(plain_route(), ScriptedTarget(truncate), ScriptedTarget(whole)))
    assert answer.endswith(b"the whole")
    answer, _ = run(
        forward_request(
            plain_route(RouteKind.NON_IDEMPOTENT), ScriptedTarget(truncate), ScriptedTarget(whole)
        )
    )
    assert status_of(answer) == 502


def test_response_without_a_length_ends_with_its_connection():
    async def unframed(session):
        session.send("HTTP/1.1 200 OK\r\nAttempt-Id: req-1\r\n\r\nup to the end")
        await session.writer.drain()
        session.writer.close()

    answer, _ = run(forward_request(plain_route(), ScriptedTarget(unframed)))
    assert answer.endswith(b"up to the end")


def test_disconnected_caller_ends_the_request_at_the_target():
    """Guards against targets that keep running a request whose caller has disconnected."""
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


def test_request_to_an_unresponsive_target_is_retried_and_the_target_avoided():
    async def never_respond(session):
        await session.reader.read()

    second = ScriptedTarget(send_complete_stream)
    answer, gateway = run(forward_request(make_route(), ScriptedTarget(never_respond), second))
    assert event_ids(answer) == [1, 2, 3, 4]
    assert gateway.table.find("t1").avoid_until_ms > 0


def test_route_timeout_ends_the_wait_and_is_answered_as_maybe_executed():
    async def never_respond(session):
        await session.reader.read()

    answer, _ = run(
        forward_request(non_repeatable_route(timeout_ms=200.0), ScriptedTarget(never_respond))
    )
    assert status_of(answer) == 504


def test_request_to_an_unreachable_target_is_not_executed():
    async def scenario():
        gone = ScriptedTarget(send_complete_stream)
        gateway = Gateway(non_repeatable_route())
        await gateway.start(gone, ScriptedTarget(send_complete_stream))
        gone.close()
        await asyncio.sleep(0.01)
        answer = await gateway.request()
        gateway.close()
        return answer

    assert status_of(run(scenario())) == 200


def test_request_without_any_target_is_refused_immediately():
    answer, _ = run(forward_request(non_repeatable_route()))
    assert status_of(answer) == 503 and b"Retry-After: 0.50" in answer


def test_error_response_of_a_target_is_relayed_with_its_signature():
    async def fail(session):
        session.send_answer(500, ["Server-Signature: s5"], b"oops")

    answer, _ = run(forward_request(non_repeatable_route(), ScriptedTarget(fail)))
    assert status_of(answer) == 500 and b"Server-Signature: s5" in answer


def test_running_requests_count_towards_the_load():
    observed_loads = []

    async def scenario():
        gateway = Gateway(make_route())

        async def observe_load(session):
            observed_loads.append(gateway.table.find("t1").own_online)
            await send_complete_stream(session)

        await gateway.start(ScriptedTarget(observe_load))
        await gateway.request()
        gateway.close()
        return gateway

    gateway = run(scenario())
    assert observed_loads == [1] and gateway.table.find("t1").own_online == 0
    assert gateway.load_changes == 2


def test_error_responses_count_as_failures_of_the_target():
    """Guards against continued use of a target that passes its health check but fails its requests:
    the failures of requests that must not be repeated are relayed, not retried."""

    async def fail(session):
        session.send_answer(500)

    async def scenario():
        gateway = Gateway(non_repeatable_route())
        await gateway.start(ScriptedTarget(fail))
        for _ in range(4):
            assert status_of(await gateway.request()) == 500
        gateway.close()
        return gateway.table.find("t1").outcomes.failure_rate(now_ms())

    assert run(scenario()) > 0.9
