"""Targets that write an earlier refusal once more on a connection that is kept."""

import asyncio

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.routes import RouteKind
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.item_run import ItemRun, RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.gateway_setup import Gateway, event_ids, is_complete_stream, make_route, status_of
from tests.scripted_target import ScriptedTarget, break_off, send_complete_stream
from tests.test_item_run import RECORD, trust_end

REFUSALS = 4  # after which an entry tries no other target
EMPTY = b"Content-Length: 0\r\n\r\n"
BODIES = [
    EMPTY,
    b"Content-Length: 4\r\n\r\nfull",
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
]


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


# Without it a connection counts as certainly open for 150 ms only, which a busy machine exceeds.
KEPT_OPEN = "Keep-Alive: timeout=60\r\n"


def once_only_route(**overrides):
    values = {"kind": RouteKind.NON_IDEMPOTENT, "is_resumable": False, "max_attempts": 1}
    return make_route(**{**values, **overrides})


def refusal(request_id, status=503, name="Not-Executed", body=EMPTY, more=""):
    id_line = f"Attempt-Id: {request_id}\r\n" if request_id else ""
    return f"HTTP/1.1 {status} X\r\n{id_line}{name}: 1\r\n{more}".encode() + body


def refuse_with(request_id, **arguments):
    async def script(session):
        session.send(refusal(request_id, **arguments))

    return script


async def answer(session):
    session.send_answer(200, ["Server-Signature: sig"], b"whole")


def refuse_then_repeat(times, copy, pieces=False):
    """Refuse a number of requests; later write a copy of a refusal before an answer.

    The copy is written only on a connection on which a request was refused.
    """
    connections = []

    async def script(session):
        if len(connections) < times:
            connections.append(session.writer)
            session.send(refusal(session.header("Attempt-Id"), more=KEPT_OPEN))
            return
        if session.writer not in connections:
            await answer(session)
            return
        for part in [copy[at : at + 1] for at in range(len(copy))] if pieces else [copy]:
            session.send(part)
            await session.writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        await answer(session)

    return script


async def request_each(route, scripts, request_ids):
    """Send one request after the other; return the answers and the targets."""
    targets = [ScriptedTarget(script) for script in scripts]
    gateway = Gateway(route)
    await gateway.start(*targets)
    answers = []
    for request_id in request_ids:
        answers.append(await gateway.request(request_id=request_id, deadline="1500"))
        for target in gateway.table.accepting("svc"):
            target.full_until_ms = 0.0
    gateway.close()
    return answers, targets


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize(
    "request_id, status, name",
    [
        ("req-0", 503, "Not-Executed"),
        ("req-0", 429, "not-executed"),
        ("req-0", 421, "NOT-EXECUTED"),
        (None, 503, "Not-Executed"),
        (None, 421, "X-Other"),
    ],
)
@pytest.mark.parametrize("pieces", [False, True])
def test_copy_of_a_refusal_is_not_the_answer_to_a_later_request(
    request_id, status, name, body, pieces
):
    """Guards against a refusal of a request that runs, and against a second run of it."""
    copy = refusal(request_id, status, name, body)
    script = refuse_then_repeat(REFUSALS, copy, pieces)
    answers, targets = run(request_each(once_only_route(), [script], ["req-0", "req-1"]))
    assert [status_of(found) for found in answers] == [503, 200]
    assert len(targets[0].sessions) == REFUSALS + 1
    assert targets[0].connections == REFUSALS  # the last one was used again


def test_copy_of_a_refusal_is_not_the_answer_to_a_request_with_the_same_id():
    """Guards against a refusal of a request that runs, if a caller's next attempt has its id."""
    script = refuse_then_repeat(REFUSALS, refusal("req-1"))
    answers, targets = run(request_each(once_only_route(), [script], ["req-1", "req-1"]))
    assert [status_of(found) for found in answers] == [503, 200]
    assert len(targets[0].sessions) == REFUSALS + 1


@pytest.mark.parametrize(
    "status, headers", [(503, ["Not-Executed: 1"]), (500, []), (200, ["Content-Type: text/plain"])]
)
def test_copy_of_an_answer_is_not_taken_for_that_of_an_item_with_the_same_id(status, headers):
    """Guards against a result of another job, or a run elsewhere while this target runs the item:
    the job came back to this runner, or two jobs have items with the same id."""

    connections = []

    async def answer_first(session):
        connections.append(session.writer)
        session.send_answer(status, headers)

    async def repeat(session):
        if session.writer in connections:
            session.send_answer(status, headers)
            await session.writer.drain()
        await asyncio.sleep(0.1)
        await send_complete_stream(session)

    async def scenario():
        server = ScriptedTarget(answer_first, repeat)
        target = Target(TargetEntry("t1", "svc", await server.start(), "fd-a", 8))
        pool = ConnectionPool(4)
        for _ in range(2):
            item = Item(0, "req-1")
            item_run = ItemRun(
                WIRE_NAMES, pool, item, RECORD, RECORD.body, "host.example", trust_end
            )
            result = await item_run.run(ContentRun(target, RequestContent("c"), 0.0))
        pool.close()
        server.close()
        return result.outcome, item.data

    assert run(scenario()) == (RunOutcome.COMPLETE, ["d1", "d2", "d3", "d4"])


class RepeatingReporter(ScriptedTarget):
    """Writes bytes before its load reports, and others before an answer behind the first one."""

    def __init__(self, script, before=b"", before_answer=b""):
        super().__init__(refuse_with("req-0"), self._answer)
        self._script = script
        self._before, self._before_answer = before, before_answer
        self._reporting = None

    async def before_report(self, session):
        self._reporting = self._reporting or session.writer
        if self._before:
            session.send(self._before)
            await session.writer.drain()
            await asyncio.sleep(0.05)

    async def _answer(self, session):
        if session.writer is self._reporting:
            session.send(self._before_answer)
        await self._script(session)


async def continue_at(reporter):
    """Let a stream go on at a target to which there is a connection; return the answer."""
    gateway = Gateway(make_route())
    other_version = ScriptedTarget(send_complete_stream)
    first = ScriptedTarget(break_off, send_complete_stream)
    await gateway.start(first, reporter, versions=("v1", "v1"))
    address = await other_version.start()
    gateway.table.put(TargetEntry("t3", "svc", address, "fd-a", 8, 1, "v2"))
    async with gateway.pool.use(gateway.table.find("t2").entry.address, 300.0, 1e4) as used:
        used.send(b"POST /p/x HTTP/1.1\r\nAttempt-Id: req-0\r\nContent-Length: 0\r\n\r\n")
        await used.next_part()
        await used.next_part()
    relayed = await gateway.request()
    gateway.close()
    return relayed


@pytest.mark.parametrize(
    "copy",
    [refusal("req-0"), refusal(None), refusal("req-0", 500, "X-Other")],
    ids=["refusal", "refusal_without_id", "failure"],
)
def test_copy_of_a_refusal_is_not_taken_for_a_load_report(copy):
    """Guards against a stream that goes on at a target that was started again."""
    reporter = RepeatingReporter(send_complete_stream, before=copy)
    reporter.report = b'{"born":2}'
    run(continue_at(reporter))
    assert len(reporter.sessions) == 1


def test_refusal_without_an_id_on_a_new_connection_is_sent_to_another_target():
    """Guards against a request that waits for its deadline, as its refusal is left unread."""
    scripts = [refuse_with(None), answer]
    answers, targets = run(request_each(once_only_route(), scripts, ["req-1", "req-2", "req-3"]))
    assert [status_of(found) for found in answers] == [200, 200, 200]
    assert [len(target.sessions) for target in targets] == [3, 3]


def has_limit(gateway):
    incarnation = gateway.table.find("t1").incarnation
    return gateway.table.rate_limits.allowance(incarnation, now_ms()) is not None


def test_copy_of_an_answer_does_not_end_the_rate_limit_of_its_target():
    """Guards against requests above a limit that the target still names."""

    async def name_limit(session):
        session.send_answer(200, ["Server-Limit: 3", "Server-Signature: s"], b"whole")

    async def repeat(session):
        session.send(refusal("req-0"))
        await session.writer.drain()
        await asyncio.sleep(0.3)
        await name_limit(session)

    async def scenario():
        target = ScriptedTarget(name_limit, repeat)
        gateway = Gateway(once_only_route())
        await gateway.start(target)
        await gateway.request(request_id="req-1")
        known = has_limit(gateway)
        request = asyncio.create_task(gateway.request(request_id="req-2"))
        await asyncio.sleep(0.15)
        kept = has_limit(gateway)
        await request
        gateway.close()
        return known, kept

    assert run(scenario()) == (True, True)


def test_answer_that_names_two_requests_is_not_an_answer():
    async def answer_for_two(session):
        session.send(
            b"HTTP/1.1 503 X\r\nAttempt-Id: req-1\r\nAttempt-Id: req-0\r\nNot-Executed: 1\r\n"
            + EMPTY
        )
        await session.writer.drain()
        await asyncio.sleep(0.1)
        await answer(session)

    answers, _ = run(request_each(once_only_route(), [answer_for_two], ["req-1"]))
    assert status_of(answers[0]) == 200


@pytest.mark.parametrize("ends", ["close", "reset"])
def test_connection_that_ends_after_a_copy_of_a_refusal_ends_the_attempt(ends):
    """Guards against a request that waits for its deadline at a target that has gone."""

    async def repeat_and_end(session):
        session.send(refusal("req-0"))
        await session.writer.drain()
        await asyncio.sleep(0.05)
        session.reset() if ends == "reset" else session.writer.close()

    async def scenario():
        gateway = Gateway(once_only_route())
        await gateway.start(ScriptedTarget(repeat_and_end))
        began_ms = now_ms()
        answer = await gateway.request(deadline="1500")
        gateway.close()
        return status_of(answer), now_ms() - began_ms

    status, taken_ms = run(scenario())
    assert status == 502 and taken_ms < 1_000.0


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
@pytest.mark.parametrize("is_split", [False, True])
def test_connection_with_a_copy_behind_a_refusal_is_not_used_again(delay_s, is_split):
    """Guards against a copy that waits on an idle connection, whole or its beginning."""

    async def refuse_twice(session):
        request_id = session.header("Attempt-Id")
        copy = refusal(request_id)
        if delay_s:
            session.send(refusal(request_id))
            await session.writer.drain()
            await asyncio.sleep(delay_s)
            session.send(copy[:9] if is_split else copy)
        else:
            session.send(refusal(request_id) + (copy[:9] if is_split else copy))

    async def scenario():
        target = ScriptedTarget(*[refuse_twice] * REFUSALS, answer)
        gateway = Gateway(once_only_route())
        await gateway.start(target)
        refused = await gateway.request(request_id="req-1")
        await asyncio.sleep(0.1)
        connections = target.connections
        served = await gateway.request(request_id="req-2")
        gateway.close()
        return status_of(refused), status_of(served), target.connections - connections

    assert run(scenario()) == (503, 200, 1)


@pytest.mark.parametrize("is_resumable", [False, True])
def test_copy_of_a_refusal_within_a_stream_is_not_relayed(is_resumable):
    async def interrupt(session):
        session.start_stream()
        session.send_events(1, 2)
        session.send(refusal("req-1"))
        session.send_events(3, 4)
        session.end_stream()

    async def scenario():
        gateway = Gateway(make_route(is_resumable=is_resumable))
        await gateway.start(ScriptedTarget(interrupt), ScriptedTarget(send_complete_stream))
        relayed = await gateway.request()
        gateway.close()
        return relayed

    relayed = run(scenario())
    assert b"Not-Executed" not in relayed
    assert event_ids(relayed) == ([1, 2, 3, 4] if is_resumable else [1, 2])
    assert is_complete_stream(relayed) is is_resumable


def test_rest_of_a_copy_behind_a_load_report_does_not_break_the_answer():
    """Guards against a stream that is cut because a copy began before the request was sent."""
    copy = refusal("req-0", body=BODIES[1])

    class Reporter(RepeatingReporter):
        async def before_report(self, session):
            is_first = self._reporting is None
            await super().before_report(session)
            if is_first:  # in one packet with the report
                body = self.report
                session.send(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                session.send_answer = lambda **_: session.send(copy[:-2])

    reporter = Reporter(send_complete_stream, before_answer=copy[-2:])
    reporter.report = b'{"born":1}'
    relayed = run(continue_at(reporter))
    assert event_ids(relayed) == [1, 2, 3, 4] and is_complete_stream(relayed)


def test_copy_on_another_kept_connection_is_not_the_answer_to_the_next_try():
    """Guards against a second run, if a target writes the copy on any connection that it keeps."""
    kept, refused = set(), set()

    async def script(session):
        request_id = session.header("Attempt-Id")
        if request_id == "req-1" and request_id not in refused:
            refused.add(request_id)
            session.send(refusal(request_id))
            return
        if request_id in refused and session.writer in kept:
            session.send(refusal(request_id))
            await session.writer.drain()
        kept.add(session.writer)
        await asyncio.sleep(0.1)
        await answer(session)

    async def scenario():
        target = ScriptedTarget(script)
        gateway = Gateway(once_only_route())
        await gateway.start(target)
        await asyncio.gather(*(gateway.request(request_id=f"req-a{n}") for n in range(2)))
        served = await gateway.request(request_id="req-1")
        gateway.close()
        return status_of(served), len(target.sessions)

    assert run(scenario()) == (200, 4)


def test_refusal_without_an_id_behind_a_load_report_is_sent_to_another_target():
    """Guards against a stream that waits for its deadline, as reports count as requests."""

    async def scenario():
        targets = [ScriptedTarget(refuse_with(None)), ScriptedTarget(send_complete_stream)]
        gateway = Gateway(make_route(max_attempts=1))
        await gateway.start(*targets)
        gateway.origins.record("first-attempt", gateway.table.find("t1").entry.group)
        headers = ("Last-Event-Id: 2", "Resumes: first-attempt")
        answer = await gateway.request(headers=headers)
        gateway.close()
        return answer

    assert event_ids(run(scenario())) == [3, 4]
