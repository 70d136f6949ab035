"""Tests of the clean-up duty: what it repairs and deletes, and which process holds it."""

import pytest
from msgspec.json import encode

from ebonyshore.batch.batch_sweep import BatchSweeper
from ebonyshore.batch.cleanup import DUTY, CleanupTask
from ebonyshore.batch.jobs import SegmentRecord, ShardRecord, segment_key, shard_key
from ebonyshore.frame.errors import StoreError, StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.store.lease import DEFAULT_LEASE_INTERVAL_MS, Lease
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.batch_simulation import CHAT_PATH, BatchSimulation, SimulationClock

ITEMS = 100


def make_sweeper(world: BatchSimulation) -> BatchSweeper:
    return BatchSweeper(make_store(world), world.fault_free_job_store())


def make_store(world: BatchSimulation) -> MarkedStore:
    return MarkedStore(world.platform, SimulationClock(world, None))


def write_orphaned_segment(world: BatchSimulation, job_id: str) -> str:
    key = segment_key(job_id, 0, "0000-1-orphan")
    make_store(world).create(key, SegmentRecord(job_id, 0, 1, ()))
    return key


def test_only_orphaned_segments_of_an_ended_job_are_deleted() -> None:
    world = BatchSimulation(5)
    job_id = world.submit(ITEMS)
    assert world.run_to_completion(60_000)
    before = list(
        world.fault_free_job_store().read_outcomes(world.fault_free_job_store().read_job(job_id))
    )
    key = write_orphaned_segment(world, job_id)
    sweeper = make_sweeper(world)
    assert sweeper.step() == 1
    assert world.platform.get(key) is None
    job = world.fault_free_job_store().read_job(job_id)
    assert list(world.fault_free_job_store().read_outcomes(job)) == before
    assert sweeper.step() == 0


def test_segments_of_an_open_job_are_not_deleted() -> None:
    """Guards against deleting a segment whose commit is in progress."""
    world = BatchSimulation(5)
    job_id = world.submit(ITEMS)
    make_store(world).create(shard_key(job_id, 0), ShardRecord(job_id, 0, 40, "other", 1))
    key = write_orphaned_segment(world, job_id)
    assert make_sweeper(world).step() == 0
    assert world.platform.get(key) is not None


def test_stored_job_that_is_missing_in_the_index_is_added() -> None:
    """Guards against a job that stays open for ever after its submission failed as maybe_run."""
    world = BatchSimulation(5)
    put = world.platform.put

    def fail_index(key: str, value: bytes, expected_version: int) -> int:
        if key.startswith("index/"):
            world.platform.put = put
            raise StoreUnavailableError(key)
        return put(key, value, expected_version)

    world.platform.put = fail_index
    api = world.entries[0].api
    body = {"model": "writer", "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
    line = encode({"custom_id": "c", "url": CHAT_PATH, "body": body})
    upload = api.save_file("bakery", "batch", "f", line)
    with pytest.raises(StoreError):
        api.create("bakery", {"input_file_id": upload["id"], "endpoint": CHAT_PATH}, "")
    (accepted,) = world.fault_free_job_store().list_jobs()
    world.run(5_000)
    assert not world.fault_free_job_store().read_job(accepted.job_id).is_ended
    assert make_sweeper(world).step() == 1
    world.run(10_000)
    assert world.fault_free_job_store().read_job(accepted.job_id).completed_items == 1


class _CountingSweeper:
    def __init__(self) -> None:
        self.steps = 0

    def step(self) -> int:
        self.steps += 1
        return 0


def test_another_process_sweeps_when_the_holder_is_gone() -> None:
    world = BatchSimulation(5, entries=0)
    tasks = []
    sweepers = []
    for name in ("one", "two"):
        clock = SimulationClock(world, None)
        sweeper = _CountingSweeper()
        lease = Lease(make_store(world), DUTY, name, name, clock)
        tasks.append(
            CleanupTask(lease, {"all": sweeper}, lambda: True, clock, Metrics(), EventLog())
        )
        sweepers.append(sweeper)
    for _ in range(4):
        for task in tasks:
            task.on_timer()
        world.run(tasks[0].next_timer_ms() - world.now_ms)
    assert sweepers[0].steps > 0
    assert sweepers[1].steps == 0
    world.run(DEFAULT_LEASE_INTERVAL_MS)
    tasks[1].on_timer()
    world.run(DEFAULT_LEASE_INTERVAL_MS)
    tasks[1].on_timer()
    assert sweepers[1].steps > 0
