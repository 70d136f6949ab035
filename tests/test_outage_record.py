"""Tests of what runners keep on the disk of their instance while the store is down."""

import asyncio
import os

import pytest

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.target import TargetEntry, TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.datagrams import StreamQuery, StreamStarts
from ebonyshore.runner import outage_keeper
from ebonyshore.runner.conviction_store import ConvictionRecord
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.outage_file import (
    FILE_NAME,
    NoDisk,
    OutageFile,
    OutageRecord,
    make_outage_storage,
)
from ebonyshore.runner.outage_keeper import OutageKeeper
from tests.gateway_setup import make_suspicions

OLD, NEW = TargetGroup("svc", "v1"), TargetGroup("svc", "v2")


class Runner:
    """What a runner knows, and the keeper of its record; a new one knows nothing.

    :ivar is_in_touch: whether the store answers.
    """

    def __init__(self, storage):
        self.is_in_touch = False
        self.registry = OriginRegistry("r0", TargetTable(), lambda: self.is_in_touch)
        self.suspicions = make_suspicions("r0")
        self.keeper = OutageKeeper(
            storage,
            self.registry,
            self.suspicions,
            lambda: self.is_in_touch,
            ManualClock(),
            EventLog(),
        )

    def list_versions(self, *groups):
        entries = [
            TargetEntry(f"t{n}", "svc", "h:1", "fd", 8, software_version=group.software_version)
            for n, group in enumerate(groups)
        ]
        self.registry._targets.replace_all(entries, now_ms())

    def find(self, request_id):
        return self.registry.answer(StreamQuery("e0", "h", 1, request_id, "svc"))


class CountingDisk(NoDisk):
    def __init__(self):
        self.records = []
        self.deletions = 0

    def write(self, record):
        self.records.append(record)

    def delete(self):
        self.deletions += 1


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 10))


def test_streams_and_crashes_of_an_outage_outlive_the_process(tmp_path):
    """Guards against streams that cannot go on, and content that crashes further targets."""
    storage = OutageFile(tmp_path / "data", EventLog())

    async def scenario():
        former, later = Runner(storage), Runner(storage)
        former.list_versions(OLD, NEW)
        former.registry.add(StreamStarts("e0", (("s1", OLD), ("s2", NEW))))
        for number in range(3):
            former.suspicions.record_crash(f"crash{number}", ["content"], now_ms())
        await former.keeper.run_once()
        await later.keeper.run_once()
        assert later.find("s1").origin == OLD and later.find("s2").origin == NEW
        assert set(later.find("s3").versions) == {"v1", "v2"}
        assert not later.find("s1").has_history  # other versions may be in the store
        return [runner.suspicions.table.verdict("content", now_ms()) for runner in (former, later)]

    known, loaded = run(scenario)
    assert sorted(loaded.crash_ids) == sorted(known.crash_ids) == ["crash0", "crash1", "crash2"]
    assert loaded.is_convicted == known.is_convicted


def test_record_is_written_only_if_something_has_changed_and_deleted_after_the_outage(monkeypatch):
    monkeypatch.setattr(outage_keeper, "KEEP_MS", 0.0)
    disk = CountingDisk()

    async def scenario():
        runner = Runner(disk)
        await runner.keeper.run_once()  # nothing is known
        runner.list_versions(OLD, NEW)
        runner.registry.add(StreamStarts("e0", (("s1", OLD),)))
        runner.is_in_touch = True
        await runner.keeper.run_once()
        assert disk.records == []
        runner.is_in_touch = False
        for _ in range(3):
            await runner.keeper.run_once()
        assert len(disk.records) == 1
        runner.is_in_touch = True
        for _ in range(2):
            await runner.keeper.run_once()
        assert disk.deletions == 1

    run(scenario)


@pytest.mark.parametrize("content", [b"", b"{", b"\xff", b'{"origins": 1}', b"[" * 100_000])
def test_file_that_cannot_be_read_counts_as_none(tmp_path, content):
    """Guards against a runner that cannot start because its disk was torn."""
    (tmp_path / FILE_NAME).write_bytes(content)
    storage = OutageFile(tmp_path, EventLog())
    assert storage.read() is None
    storage.write(OutageRecord())
    assert storage.read() == OutageRecord()


def test_disk_that_takes_nothing_does_not_end_the_runner(tmp_path):
    folder = tmp_path / "file"
    folder.write_text("no folder")
    storage = OutageFile(folder, EventLog())
    storage.write(OutageRecord())
    assert storage.read() is None
    storage.delete()


def test_former_record_stays_until_the_new_one_is_complete(tmp_path, monkeypatch):
    storage = OutageFile(tmp_path, EventLog())
    former = OutageRecord(suspects=(ConvictionRecord("content", ("crash",), 1),))
    storage.write(former)

    def fail(_descriptor):
        raise OSError("no space")

    monkeypatch.setattr(os, "fsync", fail)
    storage.write(OutageRecord())
    assert storage.read() == former


def test_instance_without_a_disk_keeps_nothing():
    storage = make_outage_storage(None, EventLog())
    storage.write(OutageRecord())
    assert storage.read() is None
