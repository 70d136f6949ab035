"""One run of a batch item at a target: what counts as a failure, and where the next run goes on."""

import asyncio

import pytest

from ebonyshore.host.job_types import ItemRecord
from ebonyshore.host.targets import Target, TargetEntry
from ebonyshore.http.client import ConnectionPool
from ebonyshore.platform.names import WIRE
from ebonyshore.runner.item_run import ItemRun, RunOutcome
from ebonyshore.runner.job_progress import Item
from tests.scripted_target import ScriptedTarget, whole_stream

RECORD = ItemRecord("req-1", "/p/x", (("Model", "m"),), b"body")


def run_item(item, *scripts):
    """Run an item once for each script; return the results and the target's sessions."""

    async def scenario():
        server = ScriptedTarget(*scripts)
        address = await server.start()
        target = Target(TargetEntry("t1", "svc", address, "fd-a", 8))
        pool = ConnectionPool(4)
        results = []
        for _ in scripts:
            run = ItemRun(WIRE, pool, item, RECORD, RECORD.body, "host.example")
            results.append(await run.run(target))
        pool.close()
        server.close()
        return results, server.sessions

    return asyncio.run(asyncio.wait_for(scenario(), 10))


def answer(status, *headers):
    async def script(session):
        session.send_answer(status, headers)

    return script


@pytest.mark.parametrize(
    "script, outcome",
    [
        (answer(500), RunOutcome.FAILED),
        (answer(422), RunOutcome.REJECTED),
        (answer(503, "Not-Executed: 1"), RunOutcome.NOT_RUN),
        (answer(421), RunOutcome.NOT_RUN),
        (answer(503), RunOutcome.BROKEN),
        (answer(504), RunOutcome.BROKEN),
        (answer(404), RunOutcome.BROKEN),
        (answer(429), RunOutcome.BROKEN),
    ],
)
def test_only_a_failure_of_the_items_own_counts_as_one(script, outcome):
    """Guards against an item being given up that no target has failed: other answers say something
    of the target or of the way there."""
    results, _ = run_item(Item(0, "req-1"), script)
    assert results[0].outcome is outcome


def test_the_next_run_goes_on_after_the_last_whole_event():
    async def break_off(session):
        session.start_stream()
        session.send_events(1, 2)
        await session.writer.drain()
        await asyncio.sleep(0.02)
        session.reset()

    item = Item(0, "req-1")
    results, sessions = run_item(item, break_off, whole_stream)
    assert [result.outcome for result in results] == [RunOutcome.BROKEN, RunOutcome.COMPLETE]
    assert sessions[1].header("Last-Event-Id") == "2"
    assert item.data == ["d1", "d2", "d3", "d4"]


def test_the_request_of_an_item_is_what_was_submitted():
    _, sessions = run_item(Item(0, "req-1"), whole_stream)
    session = sessions[0]
    assert session.head.startswith("POST /p/x HTTP/1.1") and session.body == b"body"
    assert session.header("Host") == "host.example" and session.header("Model") == "m"
    assert session.header("Expect-Instance") == "t1"
