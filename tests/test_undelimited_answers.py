"""Tests of answers that have neither a length nor chunks and end with their connection."""

import asyncio
from functools import partial

from msgspec.structs import replace

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.suspicion import PART_CONVICTION_CRASHES
from ebonyshore.runner.item_run import RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream
from tests.test_item_run import distrust_end, run_item

PARTS = "Prompt-Prefix: a1:100,b2:100,c3:100"
SOUND_PARTS = "Prompt-Prefix: a1:100,c4:100"
SERVING = b'{"born":1}'


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def send_undelimited_stream(session, last):
    first = int(session.header("Last-Event-Id") or 0) + 1
    session.send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Attempt-Id: {session.header('Attempt-Id')}\r\nServer-Signature: sig\r\n\r\n"
    )
    for number in range(first, last + 1):
        session.send(f"id: {number}\ndata: d{number}\n\n")
    await session.writer.drain()
    session.writer.close()


def serving_target():
    target = ScriptedTarget(partial(send_undelimited_stream, last=4))
    target.report = SERVING
    return target


def ending_target():
    """Return a target that ends after the second event of its answer."""

    async def end(session):
        await asyncio.sleep(0.02)
        target.close()
        await send_undelimited_stream(session, last=2)

    target = ScriptedTarget(end)
    return target


def test_stream_that_ended_with_its_target_is_not_complete():
    """Guards against a stream that looks complete because its target crashed between two events."""

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(ending_target(), ScriptedTarget(send_complete_stream))
        answer = await gateway.request(b"body")
        gateway.close()
        return answer

    answer = run(scenario())
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)


def test_stream_that_ended_with_its_target_is_cut_if_it_cannot_be_resumed():
    async def scenario():
        gateway = Gateway(make_route(max_attempts=1, is_resumable=False))
        await gateway.start(ending_target())
        answer = await gateway.request(b"body")
        gateway.close()
        return answer

    answer = run(scenario())
    assert event_ids(answer) == [1, 2] and not is_complete_stream(answer)


def test_stream_that_ended_with_a_target_that_leaves_is_not_complete():
    """Guards against taking the exit of a target that leaves for the end of its answers."""

    async def scenario():
        gateway = Gateway(make_route())

        async def leave(session):
            gateway.table.put(replace(gateway.table.find("t1").entry, is_leaving=True))
            target.close()
            await send_undelimited_stream(session, last=2)

        target = ScriptedTarget(leave)
        await gateway.start(target, ScriptedTarget(send_complete_stream))
        answer = await gateway.request(b"body")
        gateway.close()
        return answer

    answer = run(scenario())
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)


def gateway_stream(*targets, **route):
    """Return the answer to one request of a gateway with these targets."""

    async def scenario():
        gateway = Gateway(make_route(**route))
        await gateway.start(*targets)
        answer = await gateway.request(b"body")
        gateway.close()
        return answer

    return run(scenario())


def proxied_target(last):
    """Return a target that is gone behind a proxy, which accepts connections and resets them."""
    target = ScriptedTarget(partial(send_undelimited_stream, last=last))

    async def reset(session):
        session.reset()

    target.before_report = reset
    return target


def test_stream_whose_target_shows_no_report_afterwards_is_not_complete():
    """Guards against taking accepted connections for a target that serves on.

    What accepts them may be a proxy, or a link, before a target that has ended.
    """
    answer = gateway_stream(proxied_target(last=2), ScriptedTarget(send_complete_stream))
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)
    answer = gateway_stream(proxied_target(last=2), max_attempts=1, is_resumable=False)
    assert event_ids(answer) == [1, 2] and not is_complete_stream(answer)


def test_stream_is_complete_if_its_target_has_room_for_a_check_after_a_moment():
    """Guards against cutting the answers of a target that has too many connections for a while."""
    target = serving_target()
    refusals = [True] * 3

    async def close_at_first(session):
        if refusals:
            refusals.pop()
            session.reset()

    target.before_report = close_at_first
    answer = gateway_stream(target, max_attempts=1, is_resumable=False)
    assert event_ids(answer) == [1, 2, 3, 4] and is_complete_stream(answer)


def test_all_streams_of_a_target_that_was_started_again_are_cut():
    """Guards against noticing a restart only at the first of the answers that ended with it."""
    ends_s = {"req-1": 0.02, "req-2": 0.1, "req-3": 0.2}

    async def end_late(session):
        target.report = b'{"born":2}'
        await asyncio.sleep(ends_s[session.header("Attempt-Id")])
        await send_undelimited_stream(session, last=2)

    target = ScriptedTarget(end_late)

    async def scenario():
        gateway = Gateway(make_route(max_attempts=1, is_resumable=False))
        await gateway.start(target)
        answers = await asyncio.gather(
            *(gateway.request(name.encode(), request_id=name) for name in ends_s)
        )
        target.scripts = [partial(send_undelimited_stream, last=4)]
        later = await gateway.request(b"later")
        gateway.close()
        return answers, later

    answers, later = run(scenario())
    assert [event_ids(answer) for answer in answers] == [[1, 2]] * 3
    assert not any(is_complete_stream(answer) for answer in answers)
    assert is_complete_stream(later)


def test_part_whose_streams_end_with_their_targets_is_refused():
    """Guards against clearing a part by answers that only look complete."""

    async def scenario():
        gateway = Gateway(make_route(max_attempts=1))
        await gateway.start(*(ending_target() for _ in range(PART_CONVICTION_CRASHES + 1)))
        statuses = []
        for number in range(PART_CONVICTION_CRASHES + 1):
            answer = await gateway.request(b"%d" % number, [PARTS])
            statuses.append(status_of(answer))
        gateway.close()
        return statuses

    assert run(scenario()) == [200] * PART_CONVICTION_CRASHES + [503]


def test_stream_of_a_target_that_serves_on_is_complete_and_clears_its_parts():
    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(serving_target())
        for number in range(PART_CONVICTION_CRASHES):
            gateway.suspicions.record_crash(f"x{number}/1.1", ("part-a1",), now_ms())
        refused = await gateway.request(b"one", [SOUND_PARTS])
        gateway.suspicions.table.record_completed("part-a1")
        gateway.suspicions.record_crash("x9/1.1", ("part-a1",), now_ms())
        served = await gateway.request(b"two", [SOUND_PARTS])
        is_suspect = gateway.suspicions.table.is_suspect("part-a1", now_ms())
        gateway.close()
        return status_of(refused), served, is_suspect

    refused, served, is_suspect = run(scenario())
    assert refused == 503
    assert event_ids(served) == [1, 2, 3, 4] and is_complete_stream(served)
    assert not is_suspect


def test_stream_of_a_target_that_does_not_tell_its_start_is_complete_and_clears_nothing():
    async def scenario():
        gateway = Gateway(make_route())
        target = serving_target()
        target.report = b"{}"
        await gateway.start(target)
        gateway.suspicions.record_crash("x9/1.1", ("part-a1",), now_ms())
        served = await gateway.request(b"two", [SOUND_PARTS])
        is_suspect = gateway.suspicions.table.is_suspect("part-a1", now_ms())
        gateway.close()
        return served, is_suspect

    served, is_suspect = run(scenario())
    assert event_ids(served) == [1, 2, 3, 4] and is_complete_stream(served)
    assert is_suspect


def test_item_whose_answer_ended_with_its_target_is_not_complete():
    item = Item(0, "req-1")
    ended, _ = run_item(item, partial(send_undelimited_stream, last=2), confirm_end=distrust_end)
    assert ended[0].outcome is RunOutcome.BROKEN and ended[0].may_be_crash
    assert item.last_event_id == 2
    served, _ = run_item(item, partial(send_undelimited_stream, last=4))
    assert served[0].outcome is RunOutcome.COMPLETE
