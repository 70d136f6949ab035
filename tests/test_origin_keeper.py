"""Tests of keeping the stored record of the origins of streams, with a fake storage."""

import asyncio
from types import SimpleNamespace

import pytest

from ebonyshore.frame.errors import StoreUnavailableError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.target import TargetEntry, TargetGroup
from ebonyshore.host.targets import VERSION_LIFETIME_MS, TargetTable
from ebonyshore.link.datagrams import StreamQuery, StreamStarts
from ebonyshore.runner import origin_keeper
from ebonyshore.runner.origin_keeper import OriginKeeper
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.origin_storage import OriginRecord

OLD = TargetGroup("svc", "v1")
NEW = TargetGroup("svc", "v2")


def make_entry(target_id, version, started_ms=1):
    return TargetEntry(
        target_id, "svc", "10.0.0.1:80", "fd-a", 8, False, started_ms, software_version=version
    )


class FakeStorage:
    """The stored records; ``failures`` are raised by the next calls."""

    def __init__(self, **records):
        self.records = records
        self.failures = []
        self.calls = []

    def _note(self, call):
        self.calls.append(call)
        if self.failures:
            raise self.failures.pop(0)

    def read_all(self):
        self._note("read")
        return dict(self.records)

    def write(self, groups, streams):
        self._note("write")
        self.records["r0"] = OriginRecord(tuple(groups), (tuple(name for name, _ in streams),))
        return len(streams)

    def delete(self, instance_id):
        self._note(f"delete {instance_id}")
        self.records.pop(instance_id)


class Setup:
    def __init__(self, storage, is_lowest=True):
        self.storage = storage
        self.table = TargetTable()
        self.is_list_current = True
        self.registry = OriginRegistry("r0", self.table, lambda: self.is_list_current)
        self.peers = SimpleNamespace(
            own=SimpleNamespace(instance_id="r0"), of_role=lambda _role: {"r1": None}
        )
        load_table = SimpleNamespace(has_lowest_runner_id=lambda: is_lowest)
        self.keeper = OriginKeeper(
            self.registry, storage, load_table, self.peers, self._run, EventLog(), Metrics()
        )

    async def _run(self, function, *arguments):
        return function(*arguments)

    def list_versions(self, *versions):
        entries = [make_entry(f"t-{version}", version) for version in versions]
        self.table.replace_all(entries, now_ms())

    def answer(self, request_id):
        return self.registry.answer(StreamQuery("e0", "h", 1, request_id, "svc"))


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(origin_keeper, "ERROR_PAUSE_MS", 0.0)


def test_record_is_not_overwritten_before_it_was_read():
    """Guards against losing the versions of before the start while the store cannot be read."""
    storage = FakeStorage(r0=OriginRecord((OLD, NEW), (("s1",), ())))
    storage.failures = [StoreUnavailableError("down")]

    async def scenario():
        setup = Setup(storage)
        setup.list_versions("v2")
        await setup.keeper.run_once()
        before = setup.answer("s1")
        await setup.keeper.run_once()
        return before, setup.answer("s1")

    before, after = run(scenario)
    assert storage.calls == ["read", "read"]
    assert (before.has_history, before.origin) == (False, None)
    assert (after.has_history, after.origin, set(after.versions)) == (True, OLD, {"v1", "v2"})


def test_runner_that_has_not_read_the_list_does_not_know_the_past():
    async def scenario():
        setup = Setup(FakeStorage())
        await setup.keeper.run_once()
        return setup.answer("s1"), setup.storage.calls

    answer, calls = run(scenario)
    assert not answer.has_history and calls == ["read"]


@pytest.mark.parametrize("error", [WriteConflictError("r0"), StoreUnavailableError("down")])
def test_record_is_read_again_after_a_failed_write(error):
    """Guards against undoing a write of which this process does not know."""

    async def scenario():
        setup = Setup(FakeStorage())
        setup.list_versions("v1")
        await setup.keeper.run_once()
        setup.storage.failures = [error]
        setup.list_versions("v1", "v2")
        await setup.keeper.run_once()
        setup.storage.records["r0"] = OriginRecord((NEW,), (("s1",),))
        await setup.keeper.run_once()
        return setup

    setup = run(scenario)
    assert setup.storage.calls == ["read", "write", "write", "read", "write"]
    assert set(setup.storage.records["r0"].groups) == {OLD, NEW}


@pytest.mark.parametrize("is_lowest, stored", [(True, ("s1",)), (False, ())])
def test_streams_of_several_versions_are_stored_by_one_runner(is_lowest, stored):
    async def scenario():
        setup = Setup(FakeStorage(), is_lowest)
        setup.registry.add(StreamStarts("e0", (("s1", OLD),)))
        setup.list_versions("v1", "v2")
        for _ in range(3):
            await setup.keeper.run_once()
        return setup.storage

    storage = run(scenario)
    assert storage.calls == ["read", "write"]
    assert storage.records["r0"].streams == (stored,)


def test_record_of_a_runner_that_is_gone_is_deleted(monkeypatch):
    monkeypatch.setattr(origin_keeper, "GONE_LIFETIME_MS", 20.0)
    storage = FakeStorage(r1=OriginRecord((OLD,), ()), r2=OriginRecord((OLD,), ()))

    async def scenario():
        setup = Setup(storage)
        await setup.keeper.run_once()
        await asyncio.sleep(0.03)
        await setup.keeper.run_once()

    run(scenario)
    assert storage.calls == ["read", "delete r2"]


def test_version_of_an_entry_that_changes_without_a_start_is_remembered():
    table = TargetTable()
    table.put(make_entry("t1", "v1", started_ms=0), 0.0)
    table.put(make_entry("t1", "v2", started_ms=0), 1.0)
    assert table.recent_versions("svc", VERSION_LIFETIME_MS) == {"v1", "v2"}
    assert table.recent_versions("svc", VERSION_LIFETIME_MS + 2.0) == {"v2"}


def test_version_of_a_stream_is_possible_before_the_list_shows_it():
    """Guards against a record without the version at which a stream is known to have begun."""

    async def scenario():
        setup = Setup(FakeStorage())
        setup.list_versions("v1")
        setup.registry.add(StreamStarts("e0", (("s2", NEW),)))
        await setup.keeper.run_once()
        return setup.answer("s1"), setup.storage.records["r0"]

    answer, record = run(scenario)
    assert set(answer.versions) == {"v1", "v2"}
    assert set(record.groups) == {OLD, NEW}


async def be_without_the_store(setup, meanwhile):
    """Let a runner be without the store for a while, in which others go on."""
    setup.list_versions("v1")
    await setup.keeper.run_once()
    setup.is_list_current = False
    await setup.keeper.run_once()
    meanwhile(setup.storage.records)
    setup.is_list_current = True


def test_runner_that_was_without_the_store_does_not_know_the_past_before_it_has_read_it():
    """Guards against a version that came and went while a runner was cut off."""

    async def scenario():
        setup = Setup(FakeStorage())
        record = OriginRecord((OLD, NEW), ((), ("s2",)))
        await be_without_the_store(setup, lambda records: records.update(r1=record))
        before = setup.answer("s2")
        await setup.keeper.run_once()
        return before, setup.answer("s2")

    before, after = run(scenario)
    assert not before.has_history
    assert (after.has_history, after.origin, set(after.versions)) == (True, NEW, {"v1", "v2"})


def test_record_that_was_deleted_while_its_runner_was_cut_off_is_written_again():
    """Guards against a fleet without any record, which is noticed at the next stop of all."""

    async def scenario():
        setup = Setup(FakeStorage())
        await be_without_the_store(setup, lambda records: records.pop("r0"))
        await setup.keeper.run_once()
        return setup.storage.records

    assert run(scenario)["r0"].groups == (OLD,)
