"""Tests that convictions outlive a stop of all processes."""

import asyncio
from contextlib import suppress
from http.client import HTTPException

import pytest

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner import shared_record
from ebonyshore.runner.conviction_store import (
    CONVICTIONS_KIND,
    ConvictionKeeper,
    ConvictionStorage,
)
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION
from ebonyshore_standins.crashing_target import CrashingTarget
from ebonyshore_standins.fleet_client import request_stream
from ebonyshore_standins.fleet_config import SINGLE_ATTEMPT_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, running, wait_until
from tests.failing_store import FailingStore
from tests.gateway_setup import make_suspicions

CRASH_IDS = ("t1/1.1", "t2/1.1", "t3/1.1")
BODY = b"crashes its targets"
REPEATS = 4


async def run_blocking(function, *arguments):
    return await asyncio.to_thread(function, *arguments)


class KeeperSetup:
    """One incarnation of a runner that keeps convictions in ``store``."""

    def __init__(self, store, clock, runner_id="a"):
        self.suspicions = make_suspicions(runner_id)
        self.load_table = LoadTable(runner_id)
        self.keeper = ConvictionKeeper(
            ConvictionStorage(store, MarkedStore(store, clock), EventLog()),
            self.suspicions,
            self.load_table,
            run_blocking,
            clock,
            EventLog(),
        )

    def convict(self, content):
        for crash_id in CRASH_IDS:
            self.suspicions.record_crash(crash_id, (content,), now_ms())

    def is_convicted(self, content):
        return self.suspicions.table.is_convicted(content, now_ms())


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 10))


def stored_names(store):
    return [found.key for found in store.list_objects(CONVICTIONS_KIND).objects]


def test_restarted_runner_knows_the_convictions_of_its_former_run(object_store, clock):
    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.convict("bad")
        await former.keeper.run_once()
        clock.advance_ms(SUSPICION_EXPIRY_MS / 2)
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.is_convicted("bad") and not successor.is_convicted("other")
        age_ms = successor.suspicions.table.verdict("bad", now_ms()).age_ms
        assert age_ms == pytest.approx(SUSPICION_EXPIRY_MS / 2, rel=0.01)

    run(scenario())


def test_conviction_that_expired_while_no_process_ran_is_deleted(object_store, clock):
    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.convict("bad")
        await former.keeper.run_once()
        assert stored_names(object_store) == [f"{CONVICTIONS_KIND}/bad"]
        clock.advance_ms(2 * SUSPICION_EXPIRY_MS)
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        await asyncio.sleep(0.002)
        await successor.keeper.run_once()
        assert not successor.is_convicted("bad")
        assert stored_names(object_store) == []

    run(scenario())


def test_clock_that_was_set_back_does_not_prolong_a_conviction(object_store, clock):
    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.convict("bad")
        await former.keeper.run_once()
        earlier = ManualClock(0.0)
        successor = KeeperSetup(object_store, earlier)
        await successor.keeper.run_once()
        assert successor.suspicions.table.verdict("bad", now_ms()).age_ms < 1_000.0

    run(scenario())


def test_conviction_that_cannot_be_decoded_does_not_hide_the_others(object_store, clock):
    async def scenario():
        former = KeeperSetup(object_store, clock)
        former.convict("bad")
        await former.keeper.run_once()
        object_store.put(f"{CONVICTIONS_KIND}/unreadable", b'{"sequence": 1}', ABSENT_VERSION)
        successor = KeeperSetup(object_store, clock)
        await successor.keeper.run_once()
        assert successor.is_convicted("bad")

    run(scenario())


def test_conviction_is_stored_after_an_outage_of_the_store(object_store, clock, monkeypatch):
    """Guards against a conviction that is forgotten because its first write failed."""
    monkeypatch.setattr(shared_record, "ERROR_PAUSE_MS", 0.0)

    async def scenario():
        store = FailingStore(object_store)
        setup = KeeperSetup(store, clock)
        setup.convict("bad")
        await setup.keeper.run_once()
        store.is_down = False
        await setup.keeper.run_once()
        assert stored_names(object_store) == [f"{CONVICTIONS_KIND}/bad"]

    run(scenario())


def test_content_stays_convicted_when_all_processes_are_killed(tmp_path):
    """Guards against crashes that are counted anew after each stop of all processes."""
    fleet = PlatformFleet(tmp_path, targets=5, address_octet=5, make_target=CrashingTarget)
    for target in fleet.targets:
        target.crashing_bodies = {BODY}
    with running(fleet):
        send_repeatedly(fleet, "before")
        crashes = sum(len(target.crashes) for target in fleet.targets)
        wait_until(lambda: any("conviction_stored" in r.read_log() for r in fleet.runners), 5.0)
        for process in fleet.processes:
            process.kill()
        former = {entry.name: convictions(entry) for entry in fleet.entries}
        for process in fleet.processes:
            process.start()
        wait_until(lambda: all(entry.is_ready() for entry in fleet.entries))
        wait_until(lambda: all(convictions(e) > former[e.name] for e in fleet.entries), 5.0)
        send_repeatedly(fleet, "after")
        assert sum(len(target.crashes) for target in fleet.targets) == crashes


def convictions(entry):
    return entry.read_log().count("event=content_convicted")


def send_repeatedly(fleet, name):
    for number in range(REPEATS):
        with suppress(OSError, HTTPException):  # the answer was cut off
            request_stream(
                fleet.entries[number % 2], f"{name}-{number}", SINGLE_ATTEMPT_PREFIX, body=BODY
            )
