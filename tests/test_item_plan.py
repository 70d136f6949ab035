"""How batch items fill what online bursts leave, and give way."""

from ebonyshore.runner.item_plan import RESERVED_PLACES, TargetRoom, make_plan, owner_of


def room(target_id="t1", online=0, others=0, own=(), capacity=8, is_usable=True):
    return TargetRoom(target_id, capacity, online, others, list(own), is_usable)


def test_items_fill_the_free_places_but_the_reserve():
    plan = make_plan([f"i{n}" for n in range(20)], [room(online=2)])
    assert len(plan.starts) == 8 - 2 - RESERVED_PLACES
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


def test_each_target_belongs_to_one_runner_and_moves_little():
    runners = ["r1", "r2", "r3"]
    targets = [f"t{n}" for n in range(60)]
    before = {target: owner_of(target, runners) for target in targets}
    assert set(before.values()) == set(runners)
    after = {target: owner_of(target, ["r1", "r2"]) for target in targets}
    assert all(after[t] == before[t] for t in targets if before[t] != "r3")
    assert owner_of("t1", []) is None
