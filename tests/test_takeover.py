"""What two runners list and answer when one takes a job over from the other."""

import asyncio
from threading import Event

import pytest

from ebonyshore.frame.errors import WriteConflictError
from ebonyshore.host.job_types import ResultRecord, ResultSegment
from ebonyshore.runner.job_storage import JobStorage
from ebonyshore.runner.runner_load import RunnerLoad
from ebonyshore.store.marked_write import MarkedStore
from tests.registry_setup import ITEMS, Registry, claim, peer

OTHER = "b"
SILENCE_MS = 5_000.0


def results(*indexes, epoch=1):
    return ResultSegment(tuple(ResultRecord(index, True, "d") for index in indexes), epoch)


@pytest.fixture
def taken(object_store):
    """Runner a, which has just claimed a job from b, and the storage that both use."""
    storage = JobStorage(MarkedStore(object_store, Registry().clock))
    setup = Registry(owner=OTHER, epoch=1, storage=storage)
    setup.claims.note_start()
    setup.clock.advance_ms(SILENCE_MS)
    asyncio.run(claim(setup))
    return setup


def test_a_former_owner_lists_nothing_after_the_claim(taken):
    """Guards against a write that was under way when its sender froze: the new owner would not
    know of it, and answer reads without it."""
    assert [progress.job_id for progress in taken.registry.owned_jobs()] == ["j1"]
    with pytest.raises(WriteConflictError):
        taken.storage.append_segment("j1", 0, results(0))


def test_a_new_owner_lists_after_what_the_former_one_has_listed(object_store):
    storage = JobStorage(MarkedStore(object_store, Registry().clock))
    setup = Registry(owner=OTHER, epoch=1, storage=storage)
    storage.append_segment("j1", 0, results(1))
    setup.clock.advance_ms(SILENCE_MS)
    asyncio.run(claim(setup))
    (progress,) = setup.registry.owned_jobs()
    assert progress.listed_count == 1 and progress.next_segment == 2
    storage.append_segment("j1", 2, results(0, epoch=2))
    assert [segment.epoch for segment in storage.read_segments("j1", 0)] == [1, 2, 2]


def test_a_claim_is_repeated_until_the_former_owner_is_shut_out(object_store):
    """Guards against running a job whose claim was stored while the segment was not."""
    storage = JobStorage(MarkedStore(object_store, Registry().clock))
    setup = Registry(owner=OTHER, epoch=1, storage=storage)
    setup.clock.advance_ms(SILENCE_MS)
    claimed = storage.claim(setup.registry.known_jobs()[0].marked_record, "a", "run-1")
    setup.read()
    setup.registry.update_record(claimed)
    assert setup.registry.owned_jobs() == []
    asyncio.run(claim(setup))
    assert len(setup.registry.owned_jobs()) == 1
    assert storage.read_segments("j1", 0) == [ResultSegment((), 2)]


def test_an_owner_stops_once_it_sees_a_later_ones_segment():
    setup = Registry()
    assert len(setup.registry.owned_jobs()) == 1
    setup.storage.stored = [ResultSegment((), 2)]
    setup.read()
    assert setup.registry.owned_jobs() == []


def test_an_owner_that_was_not_heard_for_a_while_asks_the_store_first():
    """Guards against an instance that was suspended answering from memory once it is heard."""
    setup = Registry()
    setup.hear_other("a", sequence=1)
    setup.read()
    assert setup.storage.reads == 0
    setup.clock.advance_ms(SILENCE_MS)
    setup.hear_other("a", sequence=2)
    setup.read()
    assert setup.storage.reads == 1
    setup.clock.advance_ms(100.0)
    setup.read()
    assert setup.storage.reads == 1


def test_reads_of_the_store_that_overlap_list_all_that_either_found():
    """Guards against dropping what the later read has found."""
    setup = Registry(owner=OTHER)
    first_is_over = Event()

    class Storage:
        def read_bodies(self, _record):
            return {}

        def read_segments(self, _job_id, _first):
            if not first_is_over.is_set():
                first_is_over.set()
                return [results(0)]
            return [results(0), results(1)]

    setup.registry.storage = Storage()

    async def read_twice():
        read = setup.registry.read_progress
        return await asyncio.gather(read("j1"), read("j1"))

    assert asyncio.run(read_twice())[1].listed_count == len(ITEMS)


def test_a_runner_does_not_say_that_it_hears_an_owner_that_it_replaces():
    """Guards against the owner being certain of a job while the claim is on its way."""
    setup = Registry(owner=OTHER)
    sent = []

    class Exchange:
        def send(self, message, _addresses):
            sent.append(message)

    class Peers:
        own = peer("a")

        def of_role(self, _role):
            return {}

    class Targets:
        def own_counts(self):
            return {}

    load = RunnerLoad(Peers(), Targets(), setup.board, setup.registry, setup.claims, setup.clock)
    setup.hear_other("a", sequence=1)
    load.send(Exchange())
    setup.clock.advance_ms(SILENCE_MS)
    asyncio.run(load_during_claim(setup, load, Exchange()))
    heard = [message.heard for message in sent if hasattr(message, "heard")]
    assert heard == [(OTHER,), ()]


async def load_during_claim(setup, load, exchange):
    setup.claims.claim_unowned_jobs()
    setup.hear_other("a", sequence=2)
    load.send(exchange)
