"""Which job is next, and how large shards are."""

from ebonyshore.batch.job_scheduling import JobRanker, ShardSizer
from ebonyshore.batch.jobs import IndexEntry

SHARD_ITEMS = 500


def job(name: str, caller: str = "c", due: int = 100, shards: int = 1, tier: str = "t"):
    return IndexEntry(name, tier, caller, due, shards)


def claims(jobs: list[IndexEntry], count: int) -> list[str]:
    """Return the jobs that get the next places if each has one shard for every claim."""
    order = JobRanker()
    chosen = []
    for _ in range(count):
        first = order.rank(jobs)[0]
        order.record_claim(first.caller, SHARD_ITEMS)
        chosen.append(first.job_id)
    return chosen


def test_earliest_due_job_is_first_across_tiers() -> None:
    jobs = [job("late", due=300, tier="a"), job("soon", due=100, tier="b"), job("mid", due=200)]
    assert [j.job_id for j in JobRanker().rank(jobs)] == ["soon", "mid", "late"]


def test_large_job_due_first_leaves_every_other_place_to_small_ones() -> None:
    """Guards against 240 shards that run before a small job of another or the same caller."""
    for caller in ("big", "small"):
        jobs = [job("large", "big", due=1, shards=240), job("little", caller, due=2)]
        assert claims(jobs, 4).count("little") == 2


def test_caller_with_many_jobs_does_not_crowd_out_another() -> None:
    jobs = [job(f"many-{n}", "greedy", due=n) for n in range(50)] + [job("one", "modest", due=99)]
    assert "one" in claims(jobs, 4)


def test_newcomer_owes_and_is_owed_nothing() -> None:
    """Guards against a caller that was served for days and then waits for days."""
    order = JobRanker()
    for _ in range(1001):
        order.record_claim("old", SHARD_ITEMS)
    order.rank([job("a", "old")])
    jobs = [job("a", "old", due=1), job("b", "new", due=2)]
    chosen = []
    for _ in range(6):
        first = order.rank(jobs)[0]
        order.record_claim(first.caller, SHARD_ITEMS)
        chosen.append(first.job_id)
    assert chosen.count("a") >= 3


def test_shards_of_costly_items_are_smaller() -> None:
    sizer = ShardSizer(SHARD_ITEMS, window_items=64)
    assert sizer.shard_size("t") == SHARD_ITEMS
    sizer.record_item_duration("t", 30_000.0)
    assert sizer.shard_size("t") == 128
    sizer.record_item_duration("u", 10_000_000.0)
    assert sizer.shard_size("u") == 20
    sizer.record_item_duration("v", 100.0)
    assert sizer.shard_size("v") == SHARD_ITEMS
