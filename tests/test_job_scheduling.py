"""Tests of the order in which shards of jobs are claimed, and of the shard size."""

from ebonyshore.batch.job_scheduling import JobRanker, ShardSizer
from ebonyshore.batch.jobs import IndexEntry

SHARD_ITEMS = 500


def make_entry(name: str, caller: str = "c", due: int = 100, shards: int = 1, tier: str = "t"):
    return IndexEntry(name, tier, caller, due, shards)


def claim_jobs(jobs: list[IndexEntry], count: int) -> list[str]:
    """Return the ids of the jobs that get the next claims, if all have enough shards."""
    ranker = JobRanker()
    chosen = []
    for _ in range(count):
        first = ranker.rank(jobs)[0]
        ranker.record_claim(first.caller, SHARD_ITEMS)
        chosen.append(first.job_id)
    return chosen


def test_job_due_first_is_ranked_first_across_tiers() -> None:
    jobs = [
        make_entry("late", due=300, tier="a"),
        make_entry("soon", due=100, tier="b"),
        make_entry("mid", due=200),
    ]
    assert [j.job_id for j in JobRanker().rank(jobs)] == ["soon", "mid", "late"]


def test_large_job_due_first_gets_only_every_other_claim() -> None:
    """Guards against a small job, of the same or another caller, that waits for 240 shards."""
    for caller in ("big", "small"):
        jobs = [make_entry("large", "big", due=1, shards=240), make_entry("little", caller, due=2)]
        assert claim_jobs(jobs, 4).count("little") == 2


def test_caller_with_many_jobs_does_not_starve_another() -> None:
    jobs = [make_entry(f"many-{n}", "greedy", due=n) for n in range(50)] + [
        make_entry("one", "modest", due=99)
    ]
    assert "one" in claim_jobs(jobs, 4)


def test_new_caller_does_not_starve_one_served_before() -> None:
    """Guards against a caller that was served alone for days and then waits for days."""
    ranker = JobRanker()
    for _ in range(1001):
        ranker.record_claim("old", SHARD_ITEMS)
    ranker.rank([make_entry("a", "old")])
    jobs = [make_entry("a", "old", due=1), make_entry("b", "new", due=2)]
    chosen = []
    for _ in range(6):
        first = ranker.rank(jobs)[0]
        ranker.record_claim(first.caller, SHARD_ITEMS)
        chosen.append(first.job_id)
    assert chosen.count("a") >= 3


def test_shards_of_slow_items_are_smaller() -> None:
    sizer = ShardSizer(SHARD_ITEMS, window_items=64)
    assert sizer.shard_size("t") == SHARD_ITEMS
    sizer.record_item_duration("t", 30_000.0)
    assert sizer.shard_size("t") == 128
    sizer.record_item_duration("u", 10_000_000.0)
    assert sizer.shard_size("u") == 20
    sizer.record_item_duration("v", 100.0)
    assert sizer.shard_size("v") == SHARD_ITEMS
