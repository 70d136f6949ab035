"""Tests of the number of platform calls of batch work; the formula is in docs/design.md, 5.2."""

from collections import Counter

from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore_standins.batch_simulation import BatchSimulation

ITEMS = 800
SHARD_ITEMS = 200


def make_idle_simulation() -> BatchSimulation:
    settings = BatchSettings(shard_items=SHARD_ITEMS, max_shards=4, window_items=64)
    simulation = BatchSimulation(3, entries=1, agents=2, settings=settings)
    simulation.run(1_000)
    simulation.platform.calls = Counter()
    return simulation


def test_writes_of_a_job_follow_the_design_formula() -> None:
    """Guards against a write for each item, and further writes for each shard or checkpoint."""
    simulation = make_idle_simulation()
    written_kinds: list[str] = []
    put = simulation.platform.put

    def counting_put(key: str, value: bytes, expected_version: int) -> int:
        written_kinds.append(key.split("/")[0])
        return put(key, value, expected_version)

    simulation.platform.put = counting_put
    job_id = simulation.submit(ITEMS)
    accepted = Counter(written_kinds)
    assert accepted == {"files": 2, "jobs": 1, "index": 1}
    assert simulation.run_to_completion(120_000)
    counts = Counter(written_kinds) - accepted
    shards = ITEMS // SHARD_ITEMS
    commits = counts["shards"] - shards
    assert counts["index"] == 1
    assert counts["jobs"] == shards
    assert counts["segments"] <= commits
    duration_ms = simulation.fault_free_job_store().read_job(job_id).ended_wall_ms
    assert commits <= shards * (1 + duration_ms / simulation.settings.checkpoint_interval_ms)
    assert sum(counts.values()) < ITEMS / 10


def test_idle_poll_is_one_watch_call() -> None:
    simulation = make_idle_simulation()
    simulation.submit(20)
    assert simulation.run_to_completion(60_000)
    simulation.run(5_000)
    simulation.platform.calls = Counter()
    polls = 50
    simulation.run(polls * simulation.settings.poll_interval_ms)
    assert set(simulation.platform.calls) == {"watch"}
    assert simulation.platform.calls["watch"] <= polls * 1.1


def test_cancelling_unclaimed_shards_takes_one_write_each() -> None:
    """Guards against claiming, loading and releasing each shard of a cancelled job."""
    simulation = make_idle_simulation()
    simulation.entries[0].freeze(10_000)
    job_id = simulation.submit(SHARD_ITEMS * 20)
    assert simulation.cancel(job_id)
    simulation.platform.calls = Counter()
    assert simulation.run_to_completion(60_000)
    job_and_index_writes = 2
    assert simulation.platform.calls["put"] == 20 + job_and_index_writes
