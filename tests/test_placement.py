"""Placement decisions, and the service that sends the orders while it holds the lease."""

from hypothesis import given
from hypothesis import settings as run_settings
from hypothesis import strategies as st

from ebonyshore.entry.link_messages import SendToAgent
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.placement import (
    ModelDemand,
    PlacementAction,
    PlacementLimits,
    PlacementOrder,
    PlacementState,
    PlacementTarget,
    decide_placement,
)
from ebonyshore.entry.placement_service import PlacementService
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Load, OrderResult
from ebonyshore.settings.settings_service import SettingsService
from ebonyshore.settings.settings_store import SettingsHead
from ebonyshore.store.lease import DEFAULT_LEASE_INTERVAL_MS, Lease
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from tests.stepping_clock import SteppingClock

LOAD, UNLOAD = PlacementAction.LOAD, PlacementAction.UNLOAD


def placement_target(
    name: str, *models: str, domain: str = "a", **fields: object
) -> PlacementTarget:
    return PlacementTarget(name, domain, models, max_running=10, **fields)


def decide(targets: list[PlacementTarget], demands: list[ModelDemand], **fields: object):
    return decide_placement(PlacementState(tuple(targets), tuple(demands), **fields))


def test_model_is_loaded_in_the_domain_with_fewest_copies() -> None:
    targets = [
        placement_target("t1", "m"),
        placement_target("t2"),
        placement_target("t3", domain="b"),
    ]
    assert decide(targets, [ModelDemand("m", 2)]) == [PlacementOrder("t3", LOAD, "m")]


def test_demand_adds_copies_one_at_a_time() -> None:
    """Guards against a burst of requests that makes all copies load at once."""
    targets = [
        placement_target("t1", "m", request_count=20),
        *(placement_target(f"t{n}") for n in range(2, 9)),
    ]
    orders = decide(targets, [ModelDemand("m", 1, requests=40)])
    assert [order.action for order in orders] == [LOAD]
    assert decide(targets, [ModelDemand("m", 1, requests=40)], pending=tuple(orders)) == []


def test_concurrent_loads_are_limited() -> None:
    targets = [placement_target(f"t{n}") for n in range(9)]
    demands = [ModelDemand(f"m{n}", 1) for n in range(5)]
    limits = PlacementLimits(max_loading=2)
    assert len(decide(targets, demands, limits=limits)) == 2


def test_last_live_copy_of_a_model_in_use_stays() -> None:
    """Guards against unloading the last copy of a model in use to load another model."""
    demands = [ModelDemand("m", 1), ModelDemand("n", 0, 0, requests=1)]
    targets = [
        placement_target("t1", "n", request_count=1),
        placement_target("t2", "n", is_live=False),
    ]
    assert decide(targets, demands) == []
    unused = [ModelDemand("m", 1), ModelDemand("n", 0)]
    assert decide(targets, unused) == [PlacementOrder("t1", UNLOAD, "n")]


def test_unmanaged_models_are_never_unloaded() -> None:
    assert decide([placement_target("t1", "other")], [ModelDemand("m", 1)]) == []


@st.composite
def placement_states(draw: st.DrawFn) -> PlacementState:
    models = ["m0", "m1", "m2"]
    targets = tuple(
        PlacementTarget(
            f"t{number}",
            draw(st.sampled_from("ab")),
            tuple(draw(st.lists(st.sampled_from([*models, "x"]), unique=True, max_size=2))),
            draw(st.booleans()),
            draw(st.integers(0, 10)),
            10,
        )
        for number in range(draw(st.integers(0, 6)))
    )
    demands = tuple(
        ModelDemand(model, draw(st.integers(0, 3)), 5, draw(st.integers(0, 40))) for model in models
    )
    pending = tuple(
        PlacementOrder(
            f"t{draw(st.integers(0, 6))}",
            draw(st.sampled_from((LOAD, UNLOAD))),
            draw(st.sampled_from(models)),
        )
        for _ in range(draw(st.integers(0, 2)))
    )
    return PlacementState(targets, demands, pending, PlacementLimits(2, draw(st.integers(1, 2))))


@run_settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(placement_states())
def test_orders_keep_their_rules(state: PlacementState) -> None:
    """Guards against orders that unload a needed model or overload the weight store.

    No target may get a second order while one is pending.
    """
    orders = decide_placement(state)
    all_orders = [*state.pending, *orders]
    live = {t.target_id: set(t.models) for t in state.targets if t.is_live}
    new_loads = [order for order in orders if order.action is LOAD]
    assert len({order.target_id for order in orders}) == len(orders)
    assert not {o.target_id for o in orders} & {o.target_id for o in state.pending}
    assert not new_loads or sum(order.action is LOAD for order in all_orders) <= 2
    for order in orders:
        assert order.target_id in live
        assert (order.model in live[order.target_id]) == (order.action is UNLOAD)
    for order in all_orders:
        if order.action is UNLOAD:
            live.get(order.target_id, set()).discard(order.model)
    for demand in state.demands:
        is_unloaded = any(o.action is UNLOAD and o.model == demand.model for o in orders)
        copies = sum(demand.model in models for models in live.values())
        assert not is_unloaded or copies >= max(demand.min_copies, demand.requests > 0)


class PlacementSetup:
    """A placement service with its lease on a platform in memory."""

    def __init__(self, platform: MemoryPlatform, clock: SteppingClock, name: str) -> None:
        self.sent: list[SendToAgent] = []
        self.membership = Membership()
        for number in range(3):
            view = TargetView(f"t{number}", "", "r", "a", (), incarnation="i", load=Load())
            self.membership.set_view(view)
        self.settings = SettingsService(EventLog())
        nodes = {"/tiers/a": {"does_place": True}, "/tiers/a/models/m": {}}
        self.settings.adopt(SettingsHead(1, nodes))
        self.settings.activate()
        self.lease = Lease(MarkedStore(platform, clock), "placement", name, name, clock)
        self.service = PlacementService(
            self.lease,
            self.membership,
            self.settings,
            platform,
            self.sent.append,
            clock,
            EventLog(),
        )


def test_only_the_lease_holder_sends_orders_with_its_fencing_number() -> None:
    clock = SteppingClock()
    platform = MemoryPlatform(clock)
    first, second = PlacementSetup(platform, clock, "a"), PlacementSetup(platform, clock, "b")
    first.service.on_timer()
    second.service.on_timer()
    assert [(s.target_id, s.message.action) for s in first.sent] == [("t0", "load")]
    assert second.sent == []
    clock.advance_ms(2 * DEFAULT_LEASE_INTERVAL_MS)
    second.service.on_timer()
    assert first.sent[0].message.fencing_number < second.sent[0].message.fencing_number


def test_order_without_a_weight_grant_is_not_sent() -> None:
    clock = SteppingClock()
    platform = MemoryPlatform(clock)
    platform.set_faults(PlatformFaults(weight_interval_ms=5_000))
    platform.request_weights("other")
    setup = PlacementSetup(platform, clock, "a")
    setup.service.on_timer()
    assert setup.sent == []
    clock.advance_ms(6_000)
    setup.service.on_timer()
    assert len(setup.sent) == 1


def test_refused_order_is_repeated_but_a_pending_one_is_not() -> None:
    clock = SteppingClock()
    setup = PlacementSetup(MemoryPlatform(clock), clock, "a")
    setup.service.on_timer()
    setup.service.on_timer()
    assert len(setup.sent) == 1
    setup.service.handle(OrderResult(setup.sent[0].message.order_id, ResultCode.FENCED))
    setup.service.on_timer()
    assert len(setup.sent) == 2


def test_lease_candidates_make_few_store_calls() -> None:
    """Guards against hundreds of entries that all read the lease at each decision."""
    clock = SteppingClock()
    platform = MemoryPlatform(clock)
    holder, candidate = PlacementSetup(platform, clock, "a"), PlacementSetup(platform, clock, "b")
    holder.service.on_timer()
    platform.calls.clear()
    for _ in range(30):
        clock.advance_ms(2_000)
        candidate.service.on_timer()
        holder.service.on_timer()
    assert platform.calls["get"] <= 4
    assert platform.calls["put"] <= 13
    assert candidate.sent == []


def test_unused_placement_makes_no_store_calls() -> None:
    clock = SteppingClock()
    platform = MemoryPlatform(clock)
    setup = PlacementSetup(platform, clock, "a")
    setup.settings.adopt(SettingsHead(2, {}))
    setup.service.on_timer()
    assert not platform.calls
