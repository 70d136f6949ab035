"""Tests of the bound on what a runner holds of the answers that it receives for its items."""

import asyncio
import gc
import tracemalloc

import pytest

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.event_stream import MAX_EVENT_BYTES, EventSplitter, StreamOrderError
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.item_run import ItemRun, RunOutcome
from ebonyshore.runner.job_progress import Item
from ebonyshore.runner.output_budget import OutputBudget, OutputHolder
from tests.scripted_target import ScriptedTarget
from tests.test_item_run import RECORD, trust_end

LIMIT_BYTES = 100


class FakeRun(OutputHolder):
    def __init__(self):
        self.is_given_up = False

    def give_up(self):
        self.is_given_up = True


def begin_runs(budget, *held_bytes):
    runs = [FakeRun() for _ in held_bytes]
    for run, size_bytes in zip(runs, held_bytes, strict=True):
        budget.begin(run)
        budget.update(run, size_bytes)
    return [run.is_given_up for run in runs]


@pytest.mark.parametrize(
    "held_bytes, given_up",
    [
        ((40, 30, 30), [False, False, False]),
        ((40, 30, 31), [False, False, True]),
        ((40, 50, 0, 11), [False, False, False, True]),
        ((500,), [False]),
        ((500, 1, 0), [False, True, False]),
    ],
)
def test_runs_that_began_last_are_given_up(held_bytes, given_up):
    """Guards against runs without end that leave no room for those that would end."""
    assert begin_runs(OutputBudget(LIMIT_BYTES), *held_bytes) == given_up


def test_a_run_that_grows_makes_later_ones_give_up():
    budget, runs = OutputBudget(LIMIT_BYTES), [FakeRun(), FakeRun()]
    for run in runs:
        budget.begin(run, 40)
    budget.update(runs[0], 70)
    assert [run.is_given_up for run in runs] == [False, True]
    budget.update(runs[1], 1_000)  # it has not ended yet
    assert budget.total_bytes == 70


def test_no_run_starts_while_half_of_the_limit_is_held():
    budget, run = OutputBudget(LIMIT_BYTES), FakeRun()
    budget.begin(run, LIMIT_BYTES // 2)
    assert not budget.may_start
    budget.end(run)
    assert budget.may_start and budget.total_bytes == 0


def test_item_whose_run_is_given_up_starts_again():
    """Guards against an item that is listed as complete without its whole output."""

    async def send_slowly(session):
        session.start_stream()
        for number in range(1, 6):
            session.send_events(number, number)
            await session.writer.drain()
            await asyncio.sleep(0.01)
        session.end_stream()

    async def scenario():
        server = ScriptedTarget(send_slowly)
        target = Target(TargetEntry("t1", "svc", await server.start(), "fd-a", 8))
        pool, budget = ConnectionPool(4), OutputBudget(1)
        items = [Item(0, "one"), Item(1, "two")]
        runs = [
            ItemRun(WIRE_NAMES, pool, item, RECORD, b"", "h", trust_end, budget=budget)
            for item in items
        ]
        results = await asyncio.gather(
            *(run.run(ContentRun(target, RequestContent("content"), 0.0)) for run in runs)
        )
        pool.close()
        server.close()
        return items, results, budget.total_bytes

    items, results, total_bytes = asyncio.run(asyncio.wait_for(scenario(), 10))
    assert [result.outcome for result in results] == [RunOutcome.COMPLETE, RunOutcome.GIVEN_UP]
    assert [len(item.data) for item in items] == [5, 0]
    assert items[1].last_event_id is None and total_bytes == 0


def test_event_that_was_too_long_is_not_kept_by_its_error():
    """Guards against a megabyte for each broken answer until the next collection."""
    event = b"y" * (MAX_EVENT_BYTES + 1)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(3):
            with pytest.raises(StreamOrderError):
                EventSplitter().feed(event)
        assert tracemalloc.get_traced_memory()[0] < MAX_EVENT_BYTES
    finally:
        tracemalloc.stop()
        gc.enable()
