"""Tests of one run of a batch item: its outcome, and where the next run resumes."""

import asyncio

import pytest

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.target_entries import decode_start
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner import item_run
from ebonyshore.runner.item_run import ItemRun, RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.scripted_target import ScriptedTarget, send_complete_stream

RECORD = ItemRecord("req-1", "/p/x", (("Model", "m"),), b"body")


@pytest.fixture(autouse=True)
def patient_connection(monkeypatch):
    """Let no test here depend on how fast a connection on a busy machine is established."""
    monkeypatch.setattr(item_run, "CONNECT_TIMEOUT_MS", 10_000.0)


async def trust_end(_run):
    return True


async def distrust_end(_run):
    return False


def run_item(item, *scripts, confirm_end=trust_end, record=RECORD):
    """Run an item once with each script; return the results and the target's sessions."""

    async def scenario():
        server = ScriptedTarget(*scripts)
        address = await server.start()
        target = Target(TargetEntry("t1", "svc", address, "fd-a", 8))
        pool = ConnectionPool(4)
        results = []
        for _ in scripts:
            run = ItemRun(WIRE_NAMES, pool, item, record, record.body, "host.example", confirm_end)
            results.append(await run.run(ContentRun(target, RequestContent("content"), 0.0)))
        pool.close()
        server.close()
        return results, server.sessions

    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize(
    "report, outcome, runs",
    [
        (b'{"born":1}', RunOutcome.COMPLETE, 1),
        (b"", RunOutcome.COMPLETE, 1),
        (b'{"born":2}', RunOutcome.NOT_RUN, 0),
    ],
)
def test_item_does_not_go_on_at_a_target_that_was_started_again(report, outcome, runs):
    """Guards against a target that has another version than the list shows."""

    async def scenario():
        server = ScriptedTarget(send_complete_stream)
        server.report = report
        address = await server.start()
        target = Target(TargetEntry("t1", "svc", address, "fd-a", 8, started_ms=1))
        pool = ConnectionPool(4)
        checker = TargetChecker(WIRE_NAMES, pool, decode_start)
        item = Item(0, "req-1")
        run = ItemRun(
            WIRE_NAMES, pool, item, RECORD, RECORD.body, "host.example", trust_end, checker
        )
        result = await run.run(ContentRun(target, RequestContent("content"), 0.0))
        pool.close()
        server.close()
        return result.outcome, len(server.sessions), target.is_outdated

    found = asyncio.run(asyncio.wait_for(scenario(), 10))
    assert found == (outcome, runs, runs == 0)


def respond_with(status, *headers):
    async def script(session):
        session.send_answer(status, headers)

    return script


@pytest.mark.parametrize(
    "script, outcome",
    [
        (respond_with(500), RunOutcome.FAILED),
        (respond_with(422), RunOutcome.REJECTED),
        (respond_with(503, "Not-Executed: 1"), RunOutcome.NOT_RUN),
        (respond_with(421), RunOutcome.NOT_RUN),
        (respond_with(503), RunOutcome.BROKEN),
        (respond_with(504), RunOutcome.BROKEN),
        (respond_with(404), RunOutcome.BROKEN),
        (respond_with(429), RunOutcome.BROKEN),
    ],
)
def test_only_a_failure_reported_by_the_target_counts_as_a_failed_run(script, outcome):
    """Guards against giving up an item that never failed at a target: error statuses other than
    422 and 500 are caused by the target's state or by the network, not by the item."""
    results, _ = run_item(Item(0, "req-1"), script)
    assert results[0].outcome is outcome


@pytest.mark.parametrize("status, headers", [(500, ()), (503, ("Not-Executed: 1",))])
def test_second_copy_of_an_answer_is_not_taken_for_that_to_the_next_run(status, headers):
    """Guards against giving up an item, or running it elsewhere, while a target runs it."""

    async def answer_twice(session):
        session.send_answer(status, headers)
        await session.writer.drain()
        await asyncio.sleep(0.1)
        session.send_answer(status, headers)

    async def send_slowly(session):
        await asyncio.sleep(0.3)
        await send_complete_stream(session)

    results, sessions = run_item(Item(0, "req-1"), answer_twice, send_slowly)
    assert results[1].outcome is RunOutcome.COMPLETE
    assert len(sessions) == 2


def test_the_next_run_resumes_after_the_last_complete_event():
    async def reset_after_two_events(session):
        session.start_stream()
        session.send_events(1, 2)
        await session.writer.drain()
        await asyncio.sleep(0.02)
        session.reset()

    item = Item(0, "req-1")
    results, sessions = run_item(item, reset_after_two_events, send_complete_stream)
    assert [result.outcome for result in results] == [RunOutcome.BROKEN, RunOutcome.COMPLETE]
    assert sessions[1].header("Last-Event-Id") == "2"
    assert item.data == ["d1", "d2", "d3", "d4"]


def test_the_request_to_the_target_is_the_submitted_item():
    _, sessions = run_item(Item(0, "req-1"), send_complete_stream)
    session = sessions[0]
    assert session.head.startswith("POST /p/x HTTP/1.1") and session.body == b"body"
    assert session.header("Host") == "host.example" and session.header("Model") == "m"
    assert session.header("Expect-Instance") == "t1"


def test_item_whose_id_path_and_headers_are_beyond_latin_1_is_completed():
    """Guards against an item that can never be sent and is tried again without end."""
    record = ItemRecord("第一", "/p/第一", (("Model", "第一"),), b"body")
    results, sessions = run_item(Item(0, "第一"), send_complete_stream, record=record)
    assert results[0].outcome is RunOutcome.COMPLETE
    assert sessions[0].header("Model") == "第一"


def test_item_whose_events_are_slow_everywhere_is_completed():
    """Guards against runs that are given up one after the other, each after a new prompt."""

    async def send_slowly(session):
        session.start_stream()
        first = int(session.header("Last-Event-Id") or 0) + 1
        for number in range(first, 4):
            session.send_events(number, number)
            await session.writer.drain()
            await asyncio.sleep(1.4)
        session.end_stream()

    async def scenario():
        server = ScriptedTarget(send_slowly)
        target = Target(TargetEntry("t1", "svc", await server.start(), "fd-a", 8))
        item = Item(0, "req-1")
        outcomes = []
        while RunOutcome.COMPLETE not in outcomes and len(outcomes) < 4:
            run = ItemRun(
                WIRE_NAMES, ConnectionPool(4), item, RECORD, RECORD.body, "host.example", trust_end
            )
            outcomes.append((await run.run(ContentRun(target, RequestContent("c"), 0.0))).outcome)
            item.consecutive_broken_runs += 1
        server.close()
        return outcomes

    outcomes = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert outcomes == [RunOutcome.SILENT, RunOutcome.COMPLETE]


def test_submitted_headers_do_not_replace_those_of_the_run():
    """Guards against an item that never completes, or only in part, for a header of its own."""
    headers = (("Last-Event-Id", "x"), ("Deadline-Ms", "0"), ("Expect-Instance", "other"))
    record = ItemRecord("req-1", "/p/x", headers, b"body")

    async def send_all(session):
        session.start_stream()
        session.send_events(1, 4)
        session.end_stream()

    results, sessions = run_item(Item(0, "req-1"), send_all, record=record)
    assert results[0].outcome is RunOutcome.COMPLETE
    head = sessions[0].head.lower()
    assert sessions[0].header("Last-Event-Id") is None
    assert head.count("deadline-ms:") == head.count("expect-instance:") == 1
    assert sessions[0].header("Expect-Instance") == "t1"


@pytest.mark.parametrize("item_id", ["né", "第一", "a b"], ids=["latin_1", "beyond", "space"])
def test_id_of_an_item_is_sent_as_it_was_submitted(item_id):
    """Guards against a target that runs a request whose id nobody has sent."""
    record = ItemRecord(item_id, "/p/x", (), b"body")
    results, sessions = run_item(Item(0, item_id), send_complete_stream, record=record)
    assert results[0].outcome is RunOutcome.COMPLETE
    assert sessions[0].header("Attempt-Id") == item_id


def test_output_that_exceeds_an_object_of_the_store_is_kept():
    """Guards against an item that runs again and again, as its output was not stored whole."""

    async def send_long_events(session):
        session.start_stream()
        for number in (1, 2):
            event = f"id: {number}\ndata: {'સ' * 200_000}\n\n".encode()
            session.send(b"%x\r\n%b\r\n" % (len(event), event))
        session.end_stream()

    item = Item(0, "req-1")
    results, _ = run_item(item, send_long_events)
    assert results[0].outcome is RunOutcome.COMPLETE
    assert item.data == ["સ" * 200_000] * 2
