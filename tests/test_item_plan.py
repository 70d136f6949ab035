"""Tests of how batch items use the slots that online requests leave, and of their preemption."""

import pytest

from ebonyshore.runner.item_plan import (
    RESERVED_FOR_PRIMARY,
    RESERVED_SLOTS,
    TargetSlots,
    assign_primary_runners,
    make_plan,
    preferred_runner,
)


def make_slots(target_id="t1", online=0, others=0, own=(), capacity=8, is_usable=True):
    return TargetSlots(target_id, capacity, online, others, list(own), is_usable)


def test_items_fill_the_free_slots_except_the_reserved_ones():
    plan = make_plan([f"i{n}" for n in range(20)], [make_slots(online=2)])
    assert len(plan.starts) == 8 - 2 - RESERVED_SLOTS
    assert plan.stops == ()


def test_a_burst_of_online_requests_preempts_the_youngest_items():
    """Load pattern: online requests rise from 2 to 6 at a target that is full of batch items."""
    plan = make_plan(["i9"], [make_slots(online=6, own=["i1", "i2", "i3", "i4", "i5"])])
    assert plan.stops == ("i3", "i4", "i5")
    assert plan.starts == ()


def test_no_more_items_are_preempted_than_run_at_the_target():
    assert make_plan([], [make_slots(online=20, own=["i1"])]).stops == ("i1",)


def test_items_start_at_the_target_with_the_most_free_slots():
    targets = [make_slots("t1", online=4), make_slots("t2", online=0)]
    plan = make_plan(["i1", "i2", "i3", "i4"], targets)
    assert [start.target_id for start in plan.starts] == ["t2", "t2", "t2", "t2"]


def test_the_first_items_start_at_fast_targets():
    """Load pattern: targets of different speed with equally many free slots."""
    slow, fast = make_slots("slow", online=4), make_slots("fast", online=4)
    slow.speed, fast.speed = 0.6, 1.6
    plan = make_plan(["i1", "i2", "i3"], [slow, fast])
    assert [start.target_id for start in plan.starts] == ["fast", "fast", "slow"]


def test_an_unusable_target_gets_no_new_items_and_keeps_its_running_ones():
    plan = make_plan(["i1"], [make_slots(own=["i0"], is_usable=False)])
    assert plan.starts == () and plan.stops == ()


def test_every_runner_is_the_primary_runner_of_an_equal_share_of_targets():
    """Guards against a runner that has jobs but no target at which it can run their items."""
    runners = ["r1", "r2", "r3"]
    for fleet in range(200):
        primary_runners = assign_primary_runners(
            [f"d{fleet}-t{number}" for number in range(9)], runners
        )
        counts = [list(primary_runners.values()).count(runner) for runner in runners]
        assert counts == [3, 3, 3]


@pytest.mark.parametrize("targets, runners", [(9, 4), (10, 4), (17, 4), (6, 5), (3, 5)])
def test_no_runner_is_left_without_its_share_of_the_targets(targets, runners):
    """Guards against jobs that wait for a minute at a runner without a target of its own, while
    the others have three each."""
    names = [f"r{number}" for number in range(runners)]
    for fleet in range(40):
        assigned = assign_primary_runners([f"d{fleet}-t{n}" for n in range(targets)], names)
        counts = [list(assigned.values()).count(name) for name in names]
        assert min(counts) == targets // runners and max(counts) == -(-targets // runners)


def test_few_targets_change_their_primary_runner_when_a_runner_is_removed():
    targets = [f"t{n}" for n in range(60)]
    before = assign_primary_runners(targets, ["r1", "r2", "r3"])
    after = assign_primary_runners(targets, ["r1", "r2"])
    moved = [t for t in targets if before[t] != "r3" and after[t] != before[t]]
    assert len(moved) <= 15
    assert assign_primary_runners(targets, []) == {} and preferred_runner("t1", []) is None


def test_other_runners_leave_slots_free_for_the_primary_runner():
    other = make_slots(own=[])
    other.is_primary = False
    plan = make_plan([f"i{n}" for n in range(20)], [other])
    assert len(plan.starts) == 8 - RESERVED_SLOTS - RESERVED_FOR_PRIMARY


def test_runners_that_receive_jobs_at_the_same_time_do_not_overcommit_a_target():
    """Load pattern: many jobs arrive at once, and three runners, none of them the target's primary
    runner, see the same free slots before they learn of each other's starts."""
    started = 0
    for _ in range(3):
        other = make_slots(own=[])
        other.is_primary = False
        other.start_limit = 1
        started += len(make_plan([f"i{n}" for n in range(20)], [other]).starts)
    assert started <= RESERVED_SLOTS + RESERVED_FOR_PRIMARY


def test_other_runners_preempt_their_items_before_the_primary_runner_does():
    """Load pattern: two runners share a target of 8 slots when 4 online requests arrive."""
    primary = make_slots(online=4, others=3, own=["h1", "h2", "h3", "h4"])
    other = make_slots(online=4, others=4, own=["a1", "a2", "a3"])
    other.is_primary = False
    assert make_plan([], [primary]).stops == ()
    assert make_plan([], [other]).stops == ("a1", "a2", "a3")


def test_item_goes_to_another_target_than_those_at_which_it_broke():
    """Guards against an item that is sent to one faulty target again and again while others are
    free."""
    targets = [TargetSlots(f"t{n}", 9 - n, 0, 0, []) for n in range(1, 4)]
    broken = {"i1": {"t1"}, "i2": {"t1", "t2"}, "i4": {"t1", "t2", "t3"}}
    plan = make_plan(["i1", "i2", "i3", "i4"], targets, broken)
    assert [start.target_id for start in plan.starts] == ["t2", "t3", "t1", "t1"]
    full = [TargetSlots("t1", 3, 0, 0, [])]
    assert [start.target_id for start in make_plan(["i1"], full, broken).starts] == ["t1"]
