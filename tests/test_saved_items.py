"""Unfinished items go on after the events that a previous owner of their job has stored."""

import asyncio

import pytest
from msgspec.structs import replace

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.job_types import ResultSegment
from ebonyshore.host.target import TargetGroup
from ebonyshore.runner import item_saver
from ebonyshore.runner.item_saver import ItemSaver
from ebonyshore.runner.job_progress import ItemState, JobProgress
from ebonyshore.runner.job_storage import JobStorage
from ebonyshore.runner.saved_items import (
    MAX_SAVED_BYTES,
    MAX_SAVES_PER_S,
    MIN_RUNNING_WORK_MS,
    MIN_WAITING_WORK_MS,
    make_saved_items,
    restore_items,
    save_interval_ms,
    unsaved_work_ms,
)
from ebonyshore.store.marked_write import MarkedStore
from tests.failing_store import FailingStore
from tests.registry_setup import RegistrySetup, claim_and_wait

GROUP = TargetGroup("svc", "v1")
OWNER_SILENCE_MS = 5_000.0
RETENTION_MS = 1e9


def make_setup(object_store, own_id):
    """Runner ``own_id`` and a job that runner ``b`` owns or has owned."""
    storage = JobStorage(MarkedStore(object_store, RegistrySetup().clock))
    return RegistrySetup("b", RETENTION_MS, epoch=1, storage=storage, own_id=own_id)


def own_progress(setup):
    (progress,) = setup.registry.owned_jobs()
    return progress


def interrupt(item, events=3, slot_ms=2_000.0):
    """Let an item receive events and be interrupted after some time in a slot."""
    first = (item.last_event_id or 0) + 1
    for event_id in range(first, first + events):
        item.add_event(event_id, f"e{event_id}", GROUP)
    item.ended_runs_ms += slot_ms


async def save_all(setup, is_urgent=False):
    saver = ItemSaver(setup.registry, setup.load_table, EventLog(), Metrics())
    for _ in range(3):
        saver.step(is_urgent)
        while saver._task is not None:
            await asyncio.sleep(0.001)
    return saver


def make_failing_setup(object_store):
    """A store that goes down, and a runner with unsaved work."""
    failing = FailingStore(object_store)
    failing.is_down = False
    setup = make_setup(failing, "b")
    interrupt(own_progress(setup).items[0])
    failing.is_down = True
    failing.calls = 0
    return failing, setup


def take_over(object_store):
    """Let a second runner claim the job of the first; return the job's progress there."""
    setup = make_setup(object_store, "a")
    setup.clock.advance_ms(OWNER_SILENCE_MS)
    asyncio.run(claim_and_wait(setup))
    return own_progress(setup)


@pytest.fixture
def owner(object_store):
    """Runner ``b``, which stores the job; it is silent afterwards."""
    return make_setup(object_store, "b")


def test_the_next_owner_goes_on_after_the_stored_events(owner, object_store):
    """Guards against work that is done again after each loss of a runner."""
    interrupt(own_progress(owner).items[1])
    asyncio.run(save_all(owner))
    items = take_over(object_store).items
    assert (items[1].last_event_id, items[1].origin) == (3, GROUP)
    assert items[1].slot_ms(0.0) == 2_000.0 and items[1].state is ItemState.WAITING
    assert items[0].last_event_id is None


def test_result_of_a_restored_item_has_all_events(owner, object_store):
    interrupt(own_progress(owner).items[0])
    asyncio.run(save_all(owner))
    progress = take_over(object_store)
    progress.items[0].add_event(4, "e4", GROUP)
    progress.end_item(progress.items[0], True, 0.0)
    assert progress.build_segment().results[0].data == "e1\ne2\ne3\ne4"


def test_latest_stored_events_count(owner, object_store):
    item = own_progress(owner).items[0]
    for _ in range(2):
        interrupt(item)
        asyncio.run(save_all(owner))
    assert take_over(object_store).items[0].last_event_id == 6


def test_second_owner_replaces_what_the_first_has_stored(owner, object_store):
    interrupt(own_progress(owner).items[0])
    asyncio.run(save_all(owner))
    setup = make_setup(object_store, "b")  # knows no version of the stored object
    interrupt(own_progress(setup).items[0], events=5)
    asyncio.run(save_all(setup, is_urgent=True))
    assert setup.storage.read_saved_items("j1").items[0].last_event_id == 5


def test_little_work_is_stored_only_by_a_runner_that_stops(owner):
    interrupt(own_progress(owner).items[0], slot_ms=MIN_WAITING_WORK_MS - 1)
    asyncio.run(save_all(owner))
    assert owner.storage.read_saved_items("j1") is None
    saver = asyncio.run(save_all(owner, is_urgent=True))
    assert len(owner.storage.read_saved_items("j1").items) == 1

    async def is_idle():
        return saver.is_idle()

    assert asyncio.run(is_idle())


def test_running_items_are_stored_after_long_work():
    progress = own_progress(RegistrySetup(epoch=1))
    item = progress.items[0]
    interrupt(item, slot_ms=0.0)
    item.start_run(0.0)
    assert unsaved_work_ms(progress, MIN_RUNNING_WORK_MS - 1) == 0.0
    assert unsaved_work_ms(progress, MIN_RUNNING_WORK_MS) == MIN_RUNNING_WORK_MS


def test_saved_work_is_not_saved_again(owner):
    interrupt(own_progress(owner).items[0])
    asyncio.run(save_all(owner))
    version = owner.storage.saved_items_version("j1")
    asyncio.run(save_all(owner))
    assert owner.storage.saved_items_version("j1") == version


def test_events_of_another_job_with_the_same_id_are_not_used():
    """Guards against results of other content after a job was removed and submitted again."""
    progress = own_progress(RegistrySetup(epoch=1))
    interrupt(progress.items[0])
    saved = make_saved_items(progress, 0.0)
    for record in (
        replace(progress.record, submitted_ms=1),
        replace(
            progress.record, items=tuple(replace(i, body=b"other") for i in progress.record.items)
        ),
        replace(progress.record, items=()),
    ):
        other = JobProgress(record)
        assert restore_items(other, saved) == 0
        assert all(item.last_event_id is None for item in other.items)


def test_items_that_have_a_result_or_events_are_left_as_they_are():
    progress = own_progress(RegistrySetup(epoch=1))
    for item in progress.items:
        interrupt(item)
    saved = make_saved_items(progress, 0.0)
    other = JobProgress(progress.record)
    other.end_item(other.items[0], False, 0.0)
    interrupt(other.items[1], events=7)
    assert restore_items(other, saved) == 0
    assert other.items[1].last_event_id == 7


def test_no_more_is_stored_than_fits_into_an_object():
    progress = own_progress(RegistrySetup(epoch=1))
    for item, slot_ms in zip(progress.items, (1_000.0, 9_000.0), strict=True):
        item.add_event(1, "x" * (MAX_SAVED_BYTES * 2 // 3), GROUP)
        item.ended_runs_ms = slot_ms
    assert [item.index for item in make_saved_items(progress, 0.0).items] == [1]


def test_runners_share_the_rate_of_writes():
    assert save_interval_ms(300) * MAX_SAVES_PER_S == 300 * 1_000.0


def test_claim_succeeds_although_the_stored_events_cannot_be_read(owner, object_store):
    """Guards against jobs that nobody runs because of an optional object."""
    object_store.put("jobitems/j1", b'{"items": 1}', 0)
    progress = take_over(object_store)
    assert all(item.last_event_id is None for item in progress.items)


def test_write_that_fails_is_repeated(object_store, monkeypatch):
    monkeypatch.setattr(item_saver, "RETRY_DELAY_MS", 0.0)
    failing, setup = make_failing_setup(object_store)
    asyncio.run(save_all(setup))
    failing.is_down = False
    asyncio.run(save_all(setup))
    assert len(setup.storage.read_saved_items("j1").items) == 1


def test_runner_that_stops_calls_a_failing_store_once_for_each_job(object_store):
    """Guards against hundreds of calls to a store that is down."""
    failing, setup = make_failing_setup(object_store)

    async def stop():
        saver = await save_all(setup, is_urgent=True)
        return saver.is_idle()

    assert asyncio.run(stop())
    assert failing.calls == 1


def test_saved_items_are_removed_with_their_job(owner):
    interrupt(own_progress(owner).items[0])
    asyncio.run(save_all(owner))
    owner.storage.append_segment("j1", 0, ResultSegment((), 1))
    owner.storage.delete(own_progress(owner).record)
    assert owner.storage.read_saved_items("j1") is None
