"""A job registry without other processes, for tests of a runner's knowledge of jobs."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.link.load_table import LoadReport, LoadTable
from ebonyshore.link.peers import PeerRecord
from ebonyshore.runner.job_claims import JobClaims
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.store.marked_write import MarkedObject

ITEMS = tuple(ItemRecord(f"i{n}", "/p/x", (), b"b") for n in range(2))


def make_peer(name):
    return PeerRecord(name, "runner", "10.0.0.1", 7000, "fd-a", "run-1")


class CountingStorage:
    """A fake job storage with a fixed list of segments.

    It counts the reads of segments and records the ids of deleted jobs.
    """

    def __init__(self):
        self.stored = []
        self.reads = 0
        self.deleted = []

    def read_bodies(self, _record):
        return {}

    def read_segments(self, _job_id, first):
        self.reads += 1
        return self.stored[first:]

    def read_saved_items(self, _job_id):
        return None

    def delete(self, record):
        self.deleted.append(record.job_id)


class FakePeers:
    """A fake peer directory that holds one other runner, with the id ``b``."""

    def of_role(self, _role):
        return {"b": make_peer("b")}


class RegistrySetup:
    """The registry of a runner with one job, and the load table on which ownership depends."""

    def __init__(self, owner="a", retention_ms=1.0, epoch=0, storage=None, items=ITEMS, own_id="a"):
        self.clock = ManualClock(10_000.0)
        self.is_peer_list_current = True
        self.load_table = LoadTable(own_id)
        self.storage = storage or CountingStorage()
        self.registry = JobRegistry(
            own_id,
            "run-1",
            self.storage,
            self.load_table,
            FakePeers(),
            self.clock,
            ThreadPoolExecutor(1),
            EventLog(),
            lambda: self.is_peer_list_current,
        )
        self.claims = JobClaims(self.registry, self.load_table, self.clock, EventLog())
        record = JobRecord(
            "j1",
            "h",
            "/p/",
            0,
            retention_ms,
            1.0,
            3,
            items,
            owner=owner,
            owner_incarnation="run-1",
            epoch=epoch,
        )
        found = storage.create(record) if storage else MarkedObject("jobs/j1", 5, 1, (), record)
        self.registry.add_accepted(found, self.clock.boot_ms())

    def receive_report(self, *heard, sequence, sender="b"):
        """Receive a load report of a runner that names the runners ``heard``."""
        report = LoadReport(sender, "run-1", sequence, "runner", {}, 0, heard)
        self.load_table.add_report(report, self.clock.boot_ms())

    def read(self):
        return asyncio.run(self.registry.read_progress("j1"))


async def claim_and_wait(setup):
    """Claim the jobs that can be claimed, and wait until all claims have ended."""
    setup.claims.claim_unowned_jobs()
    while setup.claims.owners_being_replaced():
        await asyncio.sleep(0.01)
