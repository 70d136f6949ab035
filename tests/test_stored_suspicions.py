"""Tests that suspicions below a conviction outlive a stop of all processes."""

import asyncio

import pytest

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner import shared_record, suspicion_store
from ebonyshore.runner.suspicion_store import SUSPICIONS_KEY, SuspicionKeeper, SuspicionStorage
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION
from tests.failing_store import FailingStore
from tests.gateway_setup import make_suspicions


async def run_blocking(function, *arguments):
    return await asyncio.to_thread(function, *arguments)


class KeeperSetup:
    """One incarnation of a runner that keeps suspicions in ``store``."""

    def __init__(self, store, clock, runner_id="a"):
        self.suspicions = make_suspicions(runner_id)
        self.keeper = SuspicionKeeper(
            SuspicionStorage(MarkedStore(store, clock), EventLog()),
            self.suspicions,
            LoadTable(runner_id),
            run_blocking,
            clock,
            EventLog(),
        )

    def crash(self, number, *contents):
        self.suspicions.record_crash(f"t{number}/1.1", contents, now_ms())

    def crashes(self, content):
        return self.suspicions.table.verdict(content, now_ms()).crash_count

    def is_convicted(self, content):
        return self.suspicions.table.is_convicted(content, now_ms())


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(shared_record, "ERROR_PAUSE_MS", 0.0)


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 10))


def test_restarted_runner_counts_on_from_the_crashes_of_its_former_run(object_store, clock):
    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.crash(1, "bad", "other")
        await former.keeper.run_once()
        former.crash(2, "bad")
        await former.keeper.run_once()
        clock.advance_ms(SUSPICION_EXPIRY_MS / 2)
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert (successor.crashes("bad"), successor.crashes("other")) == (2, 1)
        assert not successor.is_convicted("bad")
        age_ms = successor.suspicions.table.verdict("bad", now_ms()).age_ms
        assert age_ms == pytest.approx(SUSPICION_EXPIRY_MS / 2, rel=0.01)
        successor.crash(3, "bad")
        assert successor.is_convicted("bad") and not successor.is_convicted("other")

    run(scenario())


def test_content_that_completed_is_removed_from_the_store(object_store, clock, monkeypatch):
    """Guards against conviction by a crash after a restart that other content caused."""
    monkeypatch.setattr(suspicion_store, "CLEARED_WRITE_INTERVAL_MS", 0.0)

    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.crash(1, "harmless")
        await former.keeper.run_once()
        former.suspicions.record_completed("harmless", now_ms())
        await former.keeper.run_once()
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.crashes("harmless") == 0

    run(scenario())


def test_two_writers_keep_what_both_have_seen(object_store, clock):
    """Guards against a runner that is cut off from the others and overwrites their crashes."""

    async def scenario():
        first, second = (KeeperSetup(object_store, clock, name) for name in "ab")
        for setup in (first, second):
            await setup.keeper.run_once()
        first.crash(1, "bad")
        await first.keeper.run_once()
        second.crash(2, "bad")
        for _ in range(2):
            await second.keeper.run_once()
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.crashes("bad") == 2

    run(scenario())


def test_suspicions_that_cannot_be_decoded_are_replaced(object_store, clock):
    async def scenario():
        object_store.put(SUSPICIONS_KEY, b'{"sequence": 1}', ABSENT_VERSION)
        former = KeeperSetup(object_store, clock)
        former.crash(1, "bad")
        for _ in range(2):
            await former.keeper.run_once()
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.crashes("bad") == 1

    run(scenario())


def test_crash_is_stored_after_an_outage_of_the_store(object_store, clock):
    """Guards against a crash that is forgotten because its first write failed."""

    async def scenario():
        store = FailingStore(object_store)
        setup = KeeperSetup(store, clock)
        setup.crash(1, "bad")
        await setup.keeper.run_once()
        store.is_down = False
        await setup.keeper.run_once()
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.crashes("bad") == 1

    run(scenario())
