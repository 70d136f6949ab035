"""The lease on the configuration: removed keys under cuts, freezes, restarts and lost messages."""

import asyncio
import heapq
from functools import partial
from random import Random

import pytest
from msgspec.json import encode

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.lease_keeper import LeaseKeeper
from ebonyshore.host.config_lease import (
    INTERVAL_SPREAD,
    MAX_READ_INTERVAL_MS,
    ConfigConfirmation,
    ConfigLease,
    ReadSchedule,
)
from ebonyshore.host.config_reader import ConfigReader
from ebonyshore.host.config_service import ConfigService
from ebonyshore.link.datagrams import ConfigConfirmed
from ebonyshore.link.load_table import LoadReport
from ebonyshore.platform.config_object import decode_config
from ebonyshore.runner.config_confirmer import MAX_INTERVAL_MS, is_reader
from ebonyshore.store.platform_api import StoredObject
from ebonyshore_standins.fleet_config import account, make_config

REVOCATION_MS = 5_000.0
MAX_READ_MS = 1_500.0  # time limit of a call to the store
STEP_MS = 20.0
DAY_MS = 60_000.0
REPORT_INTERVAL_MS = 250.0


class ModelStore:
    """Versions by the time at which they took effect; each removes one more key."""

    def __init__(self, random):
        self.effect_ms = [0.0]  # of version n + 1
        self.acknowledged_ms = [0.0]
        while self.effect_ms[-1] < DAY_MS:
            self.effect_ms.append(self.acknowledged_ms[-1] + random.choice([300.0, 9_000.0]))
            self.acknowledged_ms.append(self.effect_ms[-1] + random.uniform(1.0, 400.0))

    def version_at(self, at_ms):
        return sum(effect_ms <= at_ms for effect_ms in self.effect_ms)

    def may_use(self, key_version, at_ms):
        """Return whether a request sent now may use a key that version ``key_version`` removes."""
        return at_ms <= self.acknowledged_ms[key_version - 1] + REVOCATION_MS


class Outages:
    """Random spans in which something does not work."""

    def __init__(self, random, share):
        self.spans = []
        at_ms = 0.0
        while at_ms < DAY_MS:
            length_ms = random.choice([300.0, 2_000.0, 9_000.0])
            at_ms += random.expovariate(1.0) * length_ms * (1.0 - share) / share
            self.spans.append((at_ms, at_ms + length_ms))
            at_ms += length_ms

    def is_on(self, at_ms, since_ms=None):
        """Return whether an outage is on, or was on since an earlier time."""
        since_ms = at_ms if since_ms is None else since_ms
        return any(begin <= at_ms and since_ms < end for begin, end in self.spans)


class ModelEntry:
    """One entry with its own clock, and all confirmations that its present run has received."""

    def __init__(self, random, share):
        self.random = random
        self.cut, self.frozen = Outages(random, share), Outages(random, share / 3)
        self.clock_offset_ms = random.uniform(0.0, 1e9)
        self.run = 0
        self.restart(0.0)

    def restart(self, at_ms):
        self.run += 1
        self.started_ms = at_ms
        self.lease, self.schedule = ConfigLease(REVOCATION_MS), ReadSchedule(self.random.random)
        self.in_force, self.received, self.is_reading = 0, [], False

    def clock_ms(self, at_ms):
        return at_ms + self.clock_offset_ms

    def confirm(self, version, clock_ms):
        self.received.append((version, clock_ms))
        self.lease.confirm(ConfigConfirmation(version, clock_ms), self.in_force)

    def expected_admission(self, at_ms):
        began = [clock for version, clock in self.received if version <= self.in_force]
        limit_ms = max(began, default=float("-inf")) + self.lease.length_ms
        return self.clock_ms(at_ms) < limit_ms

    def admits(self, at_ms):
        return self.lease.remaining_ms(self.in_force, self.clock_ms(at_ms)) > 0.0


class Model:
    """Entries, one runner that reads for them, and datagrams and calls that take any time."""

    def __init__(self, seed, share):
        self.random = Random(seed)
        self.store = ModelStore(self.random)
        self.entries = [ModelEntry(self.random, share) for _ in range(3)]
        self.runner_cut = Outages(self.random, share)
        self.heard = {}  # latest clock and run that the runner has heard, by entry
        self.events = []  # due time, number, action
        self.admitted = self.refused = 0

    def later(self, at_ms, action):
        heapq.heappush(self.events, (at_ms, len(self.events) + self.random.random(), action))

    def send(self, at_ms, action):
        """Deliver a datagram: it may be lost, late or delivered twice."""
        for _ in range(self.random.choice([0, 1, 1, 1, 1, 2])):
            delay_ms = self.random.choice([1.0, 1.0, 5.0, 4_000.0])
            self.later(at_ms + self.random.uniform(0.5, delay_ms), action)

    def read(self, at_ms, duration_ms, on_version):
        """Read the store linearizably: the version is that of a moment during the read."""
        version = self.store.version_at(at_ms + self.random.uniform(0.0, duration_ms))
        self.later(at_ms + duration_ms, lambda end_ms: on_version(version, end_ms))

    def run(self):
        at_ms = 0.0
        while at_ms < DAY_MS:
            at_ms += STEP_MS
            while self.events and self.events[0][0] <= at_ms:
                due_ms, _, action = heapq.heappop(self.events)
                action(due_ms)
            if at_ms % REPORT_INTERVAL_MS < STEP_MS:
                self.report(at_ms)
            if at_ms % MAX_INTERVAL_MS < STEP_MS and not self.runner_cut.is_on(at_ms):
                self.read_as_runner(at_ms)
            for entry in self.entries:
                self.step(entry, at_ms)

    def report(self, at_ms):
        for entry in self.entries:
            if not entry.frozen.is_on(at_ms) and not entry.cut.is_on(at_ms):
                heard = (entry.run, entry.clock_ms(at_ms))
                self.send(at_ms, partial(self.hear, entry, heard))

    def hear(self, entry, heard, _at_ms):
        self.heard[entry] = max(heard, self.heard.get(entry, heard))

    def read_as_runner(self, at_ms):
        snapshot = dict(self.heard)

        def answer(version, end_ms):
            for entry, (run, clock_ms) in snapshot.items():
                self.send(end_ms, partial(self.confirm, entry, run, version, clock_ms))

        self.read(at_ms, self.random.choice([4.0, 4.0, MAX_READ_MS]), answer)

    def confirm(self, entry, run, version, clock_ms, at_ms):
        if entry.frozen.is_on(at_ms):  # the datagram waits in its socket
            self.later(at_ms + 100.0, partial(self.confirm, entry, run, version, clock_ms))
        elif run == entry.run and not entry.cut.is_on(at_ms):
            entry.confirm(version, clock_ms)

    def step(self, entry, at_ms):
        if self.random.random() < 0.0002:
            entry.restart(at_ms)
        if entry.frozen.is_on(at_ms):
            return
        if not entry.cut.is_on(at_ms) and self.random.random() < 0.1:
            # Any version may be in force by a watch or a stale read, which confirm nothing.
            newest = self.store.version_at(at_ms)
            entry.in_force = max(entry.in_force, newest - self.random.choice([0, 0, 1, 2]))
        due_ms = entry.schedule.due_ms(entry.lease, entry.in_force)
        if not entry.is_reading and due_ms <= entry.clock_ms(at_ms):
            self.read_as_entry(entry, at_ms)
        self.check_request(entry, at_ms)

    def read_as_entry(self, entry, at_ms):
        run, began_ms = entry.run, entry.clock_ms(at_ms)
        entry.is_reading = True
        is_cut = entry.cut.is_on(at_ms)

        def answer(version, end_ms):
            if entry.frozen.is_on(end_ms):
                self.later(end_ms + 100.0, lambda t: answer(version, t))
            elif run == entry.run:
                entry.is_reading = False
                entry.schedule.record_read(began_ms, has_succeeded=not is_cut)
                if not is_cut:
                    entry.in_force = max(entry.in_force, version)
                    entry.confirm(version, began_ms)

        duration_ms = self.random.choice([4.0, 4.0, 4.0, MAX_READ_MS])
        self.read(at_ms, MAX_READ_MS if is_cut else duration_ms, answer)

    def check_request(self, entry, at_ms):
        """A request with the key that the version after the one in force removes is sent now."""
        is_admitted = entry.admits(at_ms)
        assert is_admitted == entry.expected_admission(at_ms)
        if is_admitted:
            self.admitted += 1
            if entry.in_force < len(self.store.effect_ms):
                assert self.store.may_use(entry.in_force + 1, at_ms)
            return
        self.refused += 1
        # Since an end of all trouble, a pending call has ended and one more read was made.
        calm_ms = MAX_READ_MS + MAX_READ_INTERVAL_MS * (1.0 + INTERVAL_SPREAD) + 10 * STEP_MS
        since_ms = at_ms - calm_ms
        is_calm = not entry.cut.is_on(at_ms, since_ms) and not entry.frozen.is_on(at_ms, since_ms)
        assert not is_calm or entry.started_ms > since_ms


@pytest.mark.parametrize("seed", range(40))
def test_no_removed_key_is_used_after_the_bound(seed):
    model = Model(seed, share=(0.1, 0.4)[seed % 2])
    model.run()
    assert model.admitted and (seed % 2 == 0 or model.refused)


def make_keeper(store, clock):
    config = ConfigService("config/main", decode_config, EventLog())
    reader = ConfigReader(store, "config/main", config, EventLog(), Metrics())
    keeper = LeaseKeeper(
        REVOCATION_MS, "run-2", config, reader, clock, lambda: 0.0, EventLog(), Metrics()
    )
    return config, keeper


def stored_config(version, *accounts):
    value = encode(make_config(version, accounts=accounts or None))
    return StoredObject("config/main", 10 + version, value)


class FakeStore:
    def __init__(self):
        self.stored = stored_config(1, account("a", "key"))
        self.reads = 0

    def get(self, _key):
        self.reads += 1
        if self.stored is None:
            raise StoreUnavailableError("down")
        return self.stored


def confirmed(version, clock_ms, incarnation="run-2"):
    return ConfigConfirmed("r1", version, incarnation, clock_ms)


def test_keeper_relies_on_nothing_until_the_version_in_force_is_confirmed():
    """Guards against a restarted entry that uses a key from a stale read or an old message."""
    clock = ManualClock(100_000.0)
    config, keeper = make_keeper(FakeStore(), clock)
    config.on_changes([stored_config(1, account("a", "key"))])
    assert not keeper.is_valid()
    keeper.on_confirmed(confirmed(1, clock.boot_ms(), incarnation="run-1"))
    assert not keeper.is_valid()
    keeper.on_confirmed(confirmed(2, clock.boot_ms()))
    assert not keeper.is_valid()
    config.on_changes([stored_config(2, account("a"))])
    assert keeper.is_valid() and 0 < keeper.dump()["remaining_ms"] < REVOCATION_MS
    clock.advance_ms(REVOCATION_MS)
    assert not keeper.is_valid()
    config.on_changes([stored_config(3)])
    assert keeper.is_valid()  # no accounts any more


def test_keeper_reads_at_start_and_when_another_process_has_seen_a_newer_version():
    async def scenario():
        store, clock = FakeStore(), ManualClock(100_000.0)
        config, keeper = make_keeper(store, clock)
        await keeper.start()
        await asyncio.sleep(0.02)
        assert store.reads == 0  # no configuration, so no accounts
        config.on_changes([stored_config(1, account("a", "key"))])
        await asyncio.sleep(0.05)
        assert store.reads == 1 and keeper.is_valid()
        store.stored = stored_config(2, account("a", "other"))
        clock.advance_ms(300.0)
        keeper.on_confirmed(confirmed(2, clock.boot_ms()))
        await asyncio.sleep(0.05)
        assert store.reads == 2 and config.version == 2
        await keeper.stop()

    asyncio.run(scenario())


def test_schedule_reads_only_when_nobody_else_confirms():
    lease, schedule = ConfigLease(REVOCATION_MS), ReadSchedule(lambda: 0.0)
    for at_ms in range(0, 20_000, 700):
        lease.confirm(ConfigConfirmation(1, at_ms - REPORT_INTERVAL_MS), 1)
        assert schedule.due_ms(lease, 1) > at_ms + 700
    schedule.record_read(21_000.0, has_succeeded=False)
    schedule.record_read(22_000.0, has_succeeded=False)
    assert schedule.due_ms(lease, 1) == 24_000.0


@pytest.mark.parametrize(
    "own_id, is_own_silent, others, expected",
    [
        ("r1", False, {"r2": False}, True),
        ("r2", False, {"r1": False}, False),
        ("r2", False, {"r1": True}, True),
        ("r1", True, {"r2": False}, False),
        ("r1", True, {"r2": True}, True),
        ("r2", True, {"r1": True}, False),
        ("r1", True, {}, True),
    ],
)
def test_lowest_runner_whose_store_answers_reads(own_id, is_own_silent, others, expected):
    reports = {
        key: LoadReport(key, "run", 1, "runner", {}, is_store_silent=is_silent)
        for key, is_silent in others.items()
    }
    assert is_reader(own_id, is_own_silent, reports) is expected
