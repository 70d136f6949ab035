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
from ebonyshore_standins.batch_simulation import CHAT_PATH, BatchSimulation
from ebonyshore_standins.simulation_clock import SimulationClock

ITEMS = 100


def make_sweeper(simulation: BatchSimulation) -> BatchSweeper:
    return BatchSweeper(make_store(simulation), simulation.fault_free_job_store())


def make_store(simulation: BatchSimulation) -> MarkedStore:
    return MarkedStore(simulation.platform, SimulationClock(simulation, None))


def write_orphaned_segment(simulation: BatchSimulation, job_id: str) -> str:
    key = segment_key(job_id, 0, "0000-1-orphan")
    make_store(simulation).create(key, SegmentRecord(job_id, 0, 1, ()))
    return key


def test_only_orphaned_segments_of_an_ended_job_are_deleted() -> None:
    simulation = BatchSimulation(5)
    job_id = simulation.submit(ITEMS)
    assert simulation.run_to_completion(60_000)
    before = list(
        simulation.fault_free_job_store().read_outcomes(
            simulation.fault_free_job_store().read_job(job_id)
        )
    )
    key = write_orphaned_segment(simulation, job_id)
    sweeper = make_sweeper(simulation)
    assert sweeper.step() == 1
    assert simulation.platform.get(key) is None
    job = simulation.fault_free_job_store().read_job(job_id)
    assert list(simulation.fault_free_job_store().read_outcomes(job)) == before
    assert sweeper.step() == 0


def test_segments_of_an_open_job_are_not_deleted() -> None:
    """Guards against deleting a segment whose commit is in progress."""
    simulation = BatchSimulation(5)
    job_id = simulation.submit(ITEMS)
    make_store(simulation).create(shard_key(job_id, 0), ShardRecord(job_id, 0, 40, "other", 1))
    key = write_orphaned_segment(simulation, job_id)
    assert make_sweeper(simulation).step() == 0
    assert simulation.platform.get(key) is not None


def test_stored_job_that_is_missing_in_the_index_is_added() -> None:
    """Guards against a job that stays open for ever after its submission failed as maybe_run."""
    simulation = BatchSimulation(5)
    put = simulation.platform.put

    def fail_index(key: str, value: bytes, expected_version: int) -> int:
        if key.startswith("index/"):
            simulation.platform.put = put
            raise StoreUnavailableError(key)
        return put(key, value, expected_version)

    simulation.platform.put = fail_index
    api = simulation.entries[0].api
    body = {"model": "writer", "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
    line = encode({"custom_id": "c", "url": CHAT_PATH, "body": body})
    upload = api.save_file("bakery", "batch", "f", line)
    with pytest.raises(StoreError):
        api.create("bakery", {"input_file_id": upload["id"], "endpoint": CHAT_PATH}, "")
    (accepted,) = simulation.fault_free_job_store().list_jobs()
    simulation.run(5_000)
    assert not simulation.fault_free_job_store().read_job(accepted.job_id).is_ended
    assert make_sweeper(simulation).step() == 1
    simulation.run(10_000)
    assert simulation.fault_free_job_store().read_job(accepted.job_id).completed_items == 1


class _CountingSweeper:
    def __init__(self) -> None:
        self.steps = 0

    def step(self) -> int:
        self.steps += 1
        return 0


def test_another_process_sweeps_when_the_holder_is_gone() -> None:
    simulation = BatchSimulation(5, entries=0)
    tasks = []
    sweepers = []
    for name in ("one", "two"):
        clock = SimulationClock(simulation, None)
        sweeper = _CountingSweeper()
        lease = Lease(make_store(simulation), DUTY, name, name, clock)
        tasks.append(
            CleanupTask(lease, {"all": sweeper}, lambda: True, clock, Metrics(), EventLog())
        )
        sweepers.append(sweeper)
    for _ in range(4):
        for task in tasks:
            task.on_timer()
        simulation.run(tasks[0].next_timer_ms() - simulation.now_ms)
    assert sweepers[0].steps > 0
    assert sweepers[1].steps == 0
    simulation.run(DEFAULT_LEASE_INTERVAL_MS)
    tasks[1].on_timer()
    simulation.run(DEFAULT_LEASE_INTERVAL_MS)
    tasks[1].on_timer()
    assert sweepers[1].steps > 0
