"""The division of batch slots among client accounts, and a replay of one that floods the fleet."""

from random import Random

import pytest

from ebonyshore.runner.account_sharing import (
    room_for_account,
    start_in_part,
    take_in_turn,
    work_until_done,
)
from ebonyshore.runner.admission_policy import RunnerWork, retry_after_ms, tokens_beyond_retention
from ebonyshore.runner.job_order import JobDemand, order_jobs
from tests.test_job_order import ITEMS_PER_JOB, ByPolicy, FloodedJob, play_jobs

SEEDS = range(6)
USUAL_ARRIVALS_MS = (2_000.0, 10_000.0, 18_000.0, 26_000.0, 34_000.0)


def make_jobs(seed, crowd_jobs, crowd="crowd"):
    """Return jobs of one account at its usual pace, and many of another within 20 s."""
    random = Random(seed)
    usual = [
        FloodedJob(f"u{n}", at_ms, random, "usual") for n, at_ms in enumerate(USUAL_ARRIVALS_MS)
    ]
    many = [
        FloodedJob(f"c{n}", random.uniform(0.0, 20_000.0), random, crowd) for n in range(crowd_jobs)
    ]
    return usual + many


def items_in_time(jobs, account):
    return sum(job.items_in_time() for job in jobs if job.account == account)


def test_an_account_within_its_part_does_not_notice_one_that_floods():
    """One account asks for 7.5 of 16 slots; the other submits 3,600 s of work within 20 s."""
    asked = len(USUAL_ARRIVALS_MS) * ITEMS_PER_JOB
    for seed in SEEDS:
        flooded = play_jobs(ByPolicy(), make_jobs(seed, 60))
        assert items_in_time(flooded, "usual") >= 0.95 * asked


def test_sharing_leaves_no_slot_unused():
    """What one account leaves is used by the other, as much as if all jobs were of one account."""
    shared = unshared = 0
    for seed in SEEDS:
        shared += sum(job.items_in_time() for job in play_jobs(ByPolicy(), make_jobs(seed, 60)))
        jobs = play_jobs(ByPolicy(), make_jobs(seed, 60, crowd="usual"))
        unshared += items_in_time(jobs, "usual")
    assert shared >= 0.95 * unshared


def make_demand(job_id, account, due_in_ms, work_ms=8_000.0):
    return JobDemand(job_id, due_in_ms, 60_000.0, work_ms, 1_000.0, account=account)


def test_jobs_that_can_all_be_in_time_go_by_due_time_whosever_they_are():
    jobs = [make_demand(f"j{n}", "ab"[n % 2], 9_000.0 + 1_000.0 * n) for n in range(6)]
    assert order_jobs(jobs, 8).job_ids == tuple(job.job_id for job in jobs)


def test_when_slots_are_short_accounts_choose_in_turn_and_the_chosen_go_by_due_time():
    crowd = [make_demand(f"c{n}", "crowd", 3_000.0 + n) for n in range(8)]
    order = order_jobs([*crowd, make_demand("own", "usual", 4_000.0)], 8)
    assert order.job_ids[:2] == ("c0", "own") and order.late == {f"c{n}" for n in range(1, 8)}


def test_an_account_whose_job_is_hopeless_does_not_change_the_order_of_the_others():
    jobs = [make_demand(f"j{n}", "ab"[n % 2], 9_000.0 + 1_000.0 * n) for n in range(6)]
    order = order_jobs([make_demand("hopeless", "c", 500.0), *jobs], 8)
    assert order.late == {"hopeless"} and not order.part_slots


def test_work_that_is_due_much_later_gets_no_more_slots_first_than_it_needs():
    later = [make_demand(f"l{n}", "later", 600_000.0, 60_000.0) for n in range(10)]
    urgent = [make_demand(f"u{n}", "urgent", 10_000.0, 30_000.0) for n in range(4)]
    order = order_jobs([*later, *urgent], 8)
    assert order.part_slots["later"] < 2.5 < 4.0 < order.part_slots["urgent"]


def test_late_jobs_go_in_turn_by_account():
    late = [make_demand(f"c{n}", "crowd", 0.0) for n in range(3)]
    order = order_jobs([*late, make_demand("own", "usual", 0.0)], 8)
    assert order.job_ids.index("own") <= 1


def test_only_work_that_is_taken_counts():
    taken = []

    def take(job):
        taken.append(job[1])
        return job[1] != "refused"

    jobs = [("a", "refused", 3.0), ("a", "x", 2.0), ("b", "y", 4.0), ("a", "z", 3.0)]
    take_in_turn(jobs, lambda job: job[0], lambda job: job[2], take)
    assert taken == ["refused", "x", "y", "z"]


def test_items_go_ahead_up_to_the_part_of_their_account():
    items = ["a1", "a2", "a3", "late b0", "b1", "b2", "c1"]
    accounts = {item: item[0] for item in items if item[0] in "abc"}
    parts = dict.fromkeys("abc", 2.0)
    ordered = start_in_part(items, accounts.get, {"a": 1, "c": 2}, parts)
    assert ordered == ["b1", "a1", "b2", "a2", "a3", "late b0", "c1"]


@pytest.mark.parametrize(
    "demands, room", [((), 12.0), ((1.0, 2.0), 9.0), ((20.0, 2.0), 5.0), ((20.0, 20.0), 4.0)]
)
def test_an_account_gets_an_equal_part_and_what_others_leave(demands, room):
    assert room_for_account(12.0, demands) == room
    assert work_until_done(room, demands) == 12.0


def test_a_job_is_not_refused_for_the_work_of_another_account():
    flooded = RunnerWork(0, 0, 1.0, (10**6,), (10**6,))
    assert tokens_beyond_retention(flooded, 8_000, 18_000.0, 60_000.0) == 0
    assert tokens_beyond_retention(flooded, 31_000, 18_000.0, 60_000.0) == 1_000


def test_the_retry_delay_follows_the_accounts_part_of_the_work():
    alone = retry_after_ms(1_000, 1.0, 0.0)
    assert (alone, retry_after_ms(1_000, 1.0, 0.0, (300, 5_000))) == (1_000.0, 2_300.0)
