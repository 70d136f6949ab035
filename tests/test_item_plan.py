"""How batch items fill what online bursts leave, and give way."""

from ebonyshore.runner.item_plan import (
    RESERVED_FOR_PRIMARY,
    RESERVED_SLOTS,
    TargetSlots,
    assign_primary_runners,
    make_plan,
    preferred_runner,
)


def room(target_id="t1", online=0, others=0, own=(), capacity=8, is_usable=True):
    return TargetSlots(target_id, capacity, online, others, list(own), is_usable)


def test_items_fill_the_free_places_but_the_reserve():
    plan = make_plan([f"i{n}" for n in range(20)], [room(online=2)])
    assert len(plan.starts) == 8 - 2 - RESERVED_SLOTS
    assert plan.stops == ()


def test_the_youngest_items_give_way_to_a_burst():
    """Load pattern: online requests rise from 2 to 6 at a target that is full of batch items."""
    plan = make_plan(["i9"], [room(online=6, own=["i1", "i2", "i3", "i4", "i5"])])
    assert plan.stops == ("i3", "i4", "i5")
    assert plan.starts == ()


def test_no_more_give_way_than_run_there():
    assert make_plan([], [room(online=20, own=["i1"])]).stops == ("i1",)


def test_items_go_to_the_emptiest_target_first():
    rooms = [room("t1", online=4), room("t2", online=0)]
    plan = make_plan(["i1", "i2", "i3", "i4"], rooms)
    assert [start.target_id for start in plan.starts] == ["t2", "t2", "t2", "t2"]


def test_an_unusable_target_gets_nothing_and_its_items_stay():
    plan = make_plan(["i1"], [room(own=["i0"], is_usable=False)])
    assert plan.starts == () and plan.stops == ()


def test_every_runner_has_its_share_of_targets_as_home():
    """Guards against a runner that has jobs and no place to run them."""
    runners = ["r1", "r2", "r3"]
    for day in range(200):
        homes = assign_primary_runners([f"d{day}-t{number}" for number in range(9)], runners)
        counts = [list(homes.values()).count(runner) for runner in runners]
        assert counts == [3, 3, 3]


def test_few_targets_change_their_home_when_a_runner_goes():
    targets = [f"t{n}" for n in range(60)]
    before = assign_primary_runners(targets, ["r1", "r2", "r3"])
    after = assign_primary_runners(targets, ["r1", "r2"])
    moved = [t for t in targets if before[t] != "r3" and after[t] != before[t]]
    assert len(moved) <= 15
    assert assign_primary_runners(targets, []) == {} and preferred_runner("t1", []) is None


def test_a_runner_uses_what_the_home_leaves_free():
    away = room(own=[])
    away.is_primary = False
    plan = make_plan([f"i{n}" for n in range(20)], [away])
    assert len(plan.starts) == 8 - RESERVED_SLOTS - RESERVED_FOR_PRIMARY


def test_jobs_that_come_to_all_runners_at_once_do_not_fill_a_target_several_times():
    """Load pattern: many jobs come at once; three runners away from home see the same free places
    before they hear of each other's starts."""
    started = 0
    for _ in range(3):
        away = room(own=[])
        away.is_primary = False
        away.start_limit = 1
        started += len(make_plan([f"i{n}" for n in range(20)], [away]).starts)
    assert started <= RESERVED_SLOTS + RESERVED_FOR_PRIMARY


def test_others_give_way_before_the_home_does():
    """Load pattern: two runners share a target of 8 places when 4 online requests come."""
    home = room(online=4, others=3, own=["h1", "h2", "h3", "h4"])
    away = room(online=4, others=4, own=["a1", "a2", "a3"])
    away.is_primary = False
    assert make_plan([], [home]).stops == ()
    assert make_plan([], [away]).stops == ("a1", "a2", "a3")
