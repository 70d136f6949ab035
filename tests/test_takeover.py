"""Tests of what two runners list and return when one takes a job over from the other."""

import asyncio
from threading import Event

import pytest
from msgspec.json import decode

from ebonyshore.frame.errors import WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.job_types import ResultRecord, ResultSegment
from ebonyshore.host.pace_exchange import PaceExchange
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.link.job_call import JobCall, JobCallKind
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.deployment import PlatformDeployment
from ebonyshore.runner.job_api import JobApi
from ebonyshore.runner.job_storage import JobStorage
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.runner_load import RunnerLoad
from ebonyshore.store.marked_write import MarkedStore
from tests.gateway_setup import make_suspicions
from tests.registry_setup import ITEMS, RegistrySetup, claim_and_wait, make_peer

OTHER_RUNNER = "b"
OWNER_SILENCE_MS = 5_000.0


def make_segment(*indexes, epoch=1):
    return ResultSegment(tuple(ResultRecord(index, True, "d") for index in indexes), epoch)


@pytest.fixture
def claimed_setup(object_store):
    """Runner ``a`` after it has claimed a job from ``b``, and the storage that both use."""
    storage = JobStorage(MarkedStore(object_store, RegistrySetup().clock))
    setup = RegistrySetup(owner=OTHER_RUNNER, epoch=1, storage=storage)
    setup.claims.note_start()
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    asyncio.run(claim_and_wait(setup))
    return setup


def test_a_previous_owner_cannot_list_results_after_the_claim(claimed_setup):
    """Guards against a delayed write of an owner that was suspended. The new owner would not know
    of its results and would answer reads without them."""
    assert [progress.job_id for progress in claimed_setup.registry.owned_jobs()] == ["j1"]
    with pytest.raises(WriteConflictError):
        claimed_setup.storage.append_segment("j1", 0, make_segment(0))


def test_a_new_owner_lists_its_results_after_those_of_the_previous_owner(object_store):
    storage = JobStorage(MarkedStore(object_store, RegistrySetup().clock))
    setup = RegistrySetup(owner=OTHER_RUNNER, epoch=1, storage=storage)
    storage.append_segment("j1", 0, make_segment(1))
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    asyncio.run(claim_and_wait(setup))
    (progress,) = setup.registry.owned_jobs()
    assert progress.listed_count == 1 and progress.next_segment == 2
    storage.append_segment("j1", 2, make_segment(0, epoch=2))
    assert [segment.epoch for segment in storage.read_segments("j1", 0)] == [1, 2, 2]


def test_a_claim_is_retried_until_its_fence_is_stored(object_store):
    """Guards against running a job whose claim was stored but whose fence segment was not."""
    storage = JobStorage(MarkedStore(object_store, RegistrySetup().clock))
    setup = RegistrySetup(owner=OTHER_RUNNER, epoch=1, storage=storage)
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    claimed = storage.claim(setup.registry.known_jobs()[0].marked_record, "a", "run-1")
    setup.read()
    setup.registry.update_record(claimed)
    assert setup.registry.owned_jobs() == []
    asyncio.run(claim_and_wait(setup))
    assert len(setup.registry.owned_jobs()) == 1
    assert storage.read_segments("j1", 0) == [ResultSegment((), 2)]


def test_an_owner_stops_when_it_reads_a_segment_of_a_later_epoch():
    setup = RegistrySetup()
    assert len(setup.registry.owned_jobs()) == 1
    setup.storage.stored = [ResultSegment((), 2)]
    setup.read()
    assert setup.registry.owned_jobs() == []


def test_an_owner_that_was_out_of_contact_reads_the_store_before_it_answers():
    """Guards against an instance that was suspended answering from memory as soon as other runners
    receive its reports again."""
    setup = RegistrySetup()
    setup.receive_report("a", sequence=1)
    setup.read()
    assert setup.storage.reads == 0
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    setup.receive_report("a", sequence=2)
    setup.read()
    assert setup.storage.reads == 1
    setup.clock.advance_ms(100.0)
    setup.read()
    assert setup.storage.reads == 1


def test_an_owner_reads_the_store_while_a_runner_that_it_does_not_know_reports():
    """Guards against answers of an owner that is cut off from the store, from its memory, for jobs
    that a runner has taken over which registered during the cut."""
    setup = RegistrySetup()
    setup.receive_report("a", sequence=1)
    setup.receive_report(sequence=1, sender="new")
    setup.read()
    assert setup.storage.reads == 1
    setup.clock.advance_ms(1.0)
    setup.receive_report("a", sequence=2, sender="new")
    setup.read()
    setup.read()
    assert setup.storage.reads == 2


def test_an_owner_reads_the_store_while_others_know_a_newer_list_of_processes():
    """Guards against the same if the reports of the new runner do not reach the owner."""
    setup = RegistrySetup()
    setup.receive_report("a", sequence=1)
    setup.is_peer_list_current = False
    setup.read()
    assert setup.storage.reads == 1
    setup.is_peer_list_current = True
    setup.read()
    assert setup.storage.reads == 1


def test_concurrent_reads_of_the_store_list_all_segments_that_either_returns():
    """Guards against dropping segments that only the later read returns."""
    setup = RegistrySetup(owner=OTHER_RUNNER)
    first_read_done = Event()

    class FakeStorage:
        def read_bodies(self, _record):
            return {}

        def read_segments(self, _job_id, _first):
            if not first_read_done.is_set():
                first_read_done.set()
                return [make_segment(0)]
            return [make_segment(0), make_segment(1)]

    setup.registry.storage = FakeStorage()

    async def read_twice():
        read = setup.registry.read_progress
        return await asyncio.gather(read("j1"), read("j1"))

    assert asyncio.run(read_twice())[1].listed_count == len(ITEMS)


def test_a_runner_does_not_report_an_owner_as_heard_while_it_replaces_it():
    """Guards against an owner that counts as confirmed while its job is being claimed."""
    setup = RegistrySetup(owner=OTHER_RUNNER)
    sent = []

    class FakeSocket:
        def send(self, message, _addresses):
            sent.append(message)

    class FakePeers:
        own = make_peer("a")
        process_count = 1

        def of_role(self, _role):
            return {}

        def addresses(self, _role):
            return []

    class FakeAdmission:
        def waiting_tokens(self):
            return {}

        def contended_quotas(self):
            return ()

    load = RunnerLoad(
        FakePeers(),
        TargetTable(),
        setup.load_table,
        setup.registry,
        setup.claims,
        FakeAdmission(),
        make_suspicions("b"),
        PaceExchange("b", TargetTable()),
        setup.clock,
        OriginRegistry("b", TargetTable(), lambda: True),
        WatchMonitor(1_000.0, lambda: False, setup.clock, EventLog(), Metrics()),
    )
    setup.receive_report("a", sequence=1)
    asyncio.run(send_report(load, FakeSocket()))
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    asyncio.run(send_report_during_claim(setup, load, FakeSocket()))
    heard = [message.heard_runners for message in sent if hasattr(message, "heard_runners")]
    assert heard == [(OTHER_RUNNER,), ()]


async def send_report(load, socket):
    load.send(socket)


async def send_report_during_claim(setup, load, socket):
    await asyncio.sleep(0.1)  # a report that comes too soon after the last one is held back
    setup.claims.claim_unowned_jobs()
    setup.receive_report("a", sequence=2)
    load.send(socket)


def test_read_that_waits_does_not_return_what_was_known_before_a_takeover(object_store):
    """Guards against a read that begins at a confirmed owner, waits while another runner takes the
    job over and lists results, and ends without them."""
    setup = RegistrySetup(storage=JobStorage(MarkedStore(object_store, RegistrySetup().clock)))
    api = JobApi(
        "127.0.0.1",
        0,
        PlatformDeployment(),
        setup.registry,
        None,
        ConfigService("config/main", decode_config, EventLog()),
        setup.clock,
        EventLog(),
        Metrics(),
    )
    call = JobCall(JobCallKind.RESULTS, "j1", wait_ms=100.0)

    async def read():
        setup.receive_report("a", sequence=1)
        waiting = asyncio.create_task(api._read_results(call))
        await asyncio.sleep(0.02)
        setup.clock.advance_ms(OWNER_SILENCE_MS)
        setup.storage.append_segment("j1", 0, make_segment(0, epoch=2))
        return await waiting

    assert len(decode(asyncio.run(read()).body)["Results"]) == 1
