"""Tests of what tells that the list of targets, or the store, was read lately."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway import list_check
from ebonyshore.gateway.list_check import StoreListCheck
from ebonyshore.host.target import TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.store.store_probe import MAX_ANSWER_AGE_MS, StoreProbe

GROUP = TargetGroup("svc", "v2")


def run(scenario, read_groups):
    """Run a scenario with a check and its target table."""

    async def call():
        table = TargetTable()
        with ThreadPoolExecutor(2) as executor:
            check = StoreListCheck(read_groups, table, executor, EventLog(), Metrics())
            return await scenario(check, table)

    return asyncio.run(asyncio.wait_for(call(), 10))


def test_groups_in_the_store_count_as_recent():
    async def scenario(check, table):
        assert await check.confirm()
        return table.recent_versions("svc", now_ms())

    assert run(scenario, lambda: [GROUP]) == {"v2"}


def test_list_that_cannot_be_read_is_not_confirmed():
    def fail():
        raise StoreUnavailableError("down")

    async def scenario(check, _table):
        return [await check.confirm() for _ in range(2)]

    assert run(scenario, fail) == [False, False]


def test_read_that_began_earlier_confirms_nothing():
    """Guards against a version that joined between the beginning of a read and the question."""
    reads, may_return = [], Event()

    def read():
        reads.append(now_ms)
        may_return.wait(5)
        return [GROUP]

    async def scenario(check, _table):
        first = asyncio.create_task(check.confirm())
        while not reads:
            await asyncio.sleep(0.001)
        later = [asyncio.create_task(check.confirm()) for _ in range(20)]
        await asyncio.sleep(0.01)
        may_return.set()
        assert all(await asyncio.gather(first, *later))
        return len(reads)

    assert run(scenario, read) == 2  # those that came later share one


def test_question_waits_only_for_a_while(monkeypatch):
    monkeypatch.setattr(list_check, "CHECK_TIMEOUT_MS", 50.0)
    may_return = Event()

    async def scenario(check, _table):
        try:
            return await check.confirm()
        finally:
            may_return.set()

    assert not run(scenario, lambda: may_return.wait(5) and [])


class ReadableStore:
    def get_stale(self, _key):
        return None


@pytest.mark.parametrize("age_ms, is_in_touch", [(0.0, True), (MAX_ANSWER_AGE_MS + 1, False)])
def test_process_that_stood_still_is_not_in_touch_until_the_store_answers(age_ms, is_in_touch):
    """Guards against a runner that vouches for a list from before it was suspended."""
    clock = ManualClock()
    probe = StoreProbe(ReadableStore(), "config/main", clock, EventLog(), lambda _stored: None)
    assert not probe.is_in_touch()
    asyncio.run(probe.run_once())
    clock.advance_ms(age_ms)
    assert probe.is_in_touch() == is_in_touch
    asyncio.run(probe.run_once())
    assert probe.is_in_touch()
