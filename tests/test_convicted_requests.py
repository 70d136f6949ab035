"""Tests of what callers get whose request crashes targets."""

import asyncio
from functools import partial

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host import content_run, crash_guard
from ebonyshore.host.crash_guard import SIMULTANEOUS_MS, SUSPICION_EXPIRY_MS
from ebonyshore.host.request_content import content_digest
from ebonyshore.host.target_check import TargetCondition
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

CHECK_MS = 400.0
PROGRESS_MS = 2 * SIMULTANEOUS_MS
RETRY_MS = 250.0  # within which the entry certainly sends a request again, on a busy machine too
DEADLINE_MS = 2_500  # of the requests that the set-up sends
CRASHES = ("t7/1.1", "t8/1.1", "t9/1.1")


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


def crashing_target(delay_ms=2 * SIMULTANEOUS_MS):
    """Return a target that ends some time after its first request."""

    async def crash(session):
        await asyncio.sleep(delay_ms / MS_PER_S)
        target.close()
        session.reset()

    target = ScriptedTarget(crash)
    return target


def retry_after_s(answer):
    line = next(line for line in answer.split(b"\r\n") if line.startswith(b"Retry-After: "))
    return float(line.partition(b": ")[2])


def test_request_with_convicted_content_is_refused_at_once_and_not_sent():
    async def scenario():
        gateway = Gateway(make_route())
        target = ScriptedTarget(send_complete_stream)
        await gateway.start(target)
        digest = content_digest("host.example", "POST", "/p/x", b"bad")
        for crash_id in CRASHES:
            gateway.suspicions.record_crash(crash_id, (digest,), now_ms())
        refused = await gateway.request(b"bad")
        served = await gateway.request(b"good")
        gateway.close()
        return refused, served, target.sessions

    refused, served, sessions = run(scenario())
    assert status_of(refused) == 503 and b'"code":%d' % ResultCode.CONVICTED in refused
    assert 0 < retry_after_s(refused) <= SUSPICION_EXPIRY_MS / MS_PER_S
    assert status_of(served) == 200
    assert [session.body for session in sessions] == [b"good"]


def test_request_is_not_sent_on_after_its_third_crash():
    """Guards against a route that allows more attempts than crashes are tolerated."""
    crashing = [crashing_target() for _ in CRASHES]
    last = ScriptedTarget(send_complete_stream)

    async def scenario():
        gateway = Gateway(make_route(max_attempts=6))
        await gateway.start(*crashing, last)
        answer = await gateway.request(b"bad")
        gateway.close()
        return answer

    answer = run(scenario())
    assert status_of(answer) == 502 and b'"code":%d' % ResultCode.CONVICTED in answer
    assert [len(target.sessions) for target in [*crashing, last]] == [1, 1, 1, 0]


def test_stream_that_makes_progress_is_sent_on_after_crashes(monkeypatch):
    """Guards against refusing a long stream that was in flight at several unrelated crashes."""
    monkeypatch.setattr(content_run, "MAX_CRASH_DELAY_MS", PROGRESS_MS / 2)

    def target_with_two_events(number):
        async def crash(session):
            session.start_stream()
            for event in (number, number + 1):
                session.send_events(event, event)
                await session.writer.drain()
                await asyncio.sleep(PROGRESS_MS / MS_PER_S)
            target.close()
            session.reset()

        target = ScriptedTarget(crash)
        return target

    async def scenario():
        gateway = Gateway(make_route(max_attempts=6))
        await gateway.start(
            *(target_with_two_events(number) for number in (1, 3, 5)),
            ScriptedTarget(partial(send_complete_stream, last=8)),
        )
        answer = await gateway.request(b"long")
        gateway.close()
        return answer

    answer = run(scenario())
    assert event_ids(answer) == list(range(1, 9)) and is_complete_stream(answer)


def test_request_that_crashes_targets_at_once_is_refused_after_three_sends(monkeypatch):
    """Its retries are not told from those of a power failure, but each send counts once."""
    for module in (crash_guard, content_run):
        monkeypatch.setattr(module, "SIMULTANEOUS_MS", RETRY_MS)
    crashing = [crashing_target(0.0) for _ in range(6)]
    last = ScriptedTarget(send_complete_stream)

    async def scenario():
        gateway = Gateway(make_route(max_attempts=2))
        await gateway.start(*crashing, last)
        answers = []
        for _ in range(5):
            answers.append(await gateway.request(b"bad"))
            await asyncio.sleep(2 * RETRY_MS / MS_PER_S)
        gateway.close()
        return answers

    assert [status_of(answer) for answer in run(scenario())] == [502, 502, 502, 503, 503]
    assert last.sessions == []


def restarting_target(restarts=1):
    """Return a target that ends at each request and serves again at once, as a new incarnation.

    :param restarts: number of restarts; afterwards only the connections break.
    """

    async def restart(session):
        await asyncio.sleep(2 * SIMULTANEOUS_MS / MS_PER_S)
        target.report = b'{"born":%d}' % (1 + min(restarts, len(target.sessions)))
        session.reset()

    target = ScriptedTarget(restart)
    return target


def test_request_that_crashes_targets_which_restart_at_once_is_refused_after_three_crashes():
    """Guards against crashes that are only seen in a list that shows the restart much later."""

    async def scenario():
        gateway = Gateway(make_route(max_attempts=1))
        await gateway.start(*(restarting_target() for _ in range(4)))
        answers = []
        for _ in range(4):
            answers.append(await gateway.request(b"bad"))
            await asyncio.sleep(2 * SIMULTANEOUS_MS / MS_PER_S)
        gateway.close()
        return answers

    assert [status_of(answer) for answer in run(scenario())] == [502, 502, 502, 503]


def test_breaks_after_one_restart_are_not_further_crashes():
    """Guards against counting one restart again until the list shows it."""

    async def scenario():
        gateway = Gateway(make_route(max_attempts=1))
        await gateway.start(restarting_target())
        statuses = []
        for _ in range(5):
            statuses.append(status_of(await gateway.request(b"unlucky")))
            await asyncio.sleep(2 * SIMULTANEOUS_MS / MS_PER_S)
        gateway.close()
        digest = content_digest("host.example", "POST", "/p/x", b"unlucky")
        return statuses, gateway.suspicions.table.verdict(digest, now_ms()).crash_count

    assert run(scenario()) == ([502] * 5, 1)


def test_targets_are_given_only_the_time_that_is_left_after_a_check():
    """Guards against a target that works on after its caller's deadline."""

    class SlowChecker:
        async def check(self, _target):
            await asyncio.sleep(CHECK_MS / MS_PER_S)
            return TargetCondition.DOWN

    last = ScriptedTarget(send_complete_stream)

    async def scenario():
        gateway = Gateway(make_route(max_attempts=3), checker=SlowChecker())
        await gateway.start(crashing_target(), crashing_target(), last)
        answer = await gateway.request(b"body")
        gateway.close()
        return answer

    assert status_of(run(scenario())) == 200
    assert int(last.sessions[0].header("Deadline-Ms")) <= DEADLINE_MS - CHECK_MS
