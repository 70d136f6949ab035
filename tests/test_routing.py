"""Target selection, and the connections that an entry keeps to agents."""

import pytest
from msgspec.structs import replace

from ebonyshore.entry.connection_plan import MAX_CONNECTIONS, ping_interval_ms, preferred_targets
from ebonyshore.entry.link_messages import UpdateInstances
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.routing import Router, RouteRequest, online_utilization, routing_candidates
from ebonyshore.link.messages import Load
from ebonyshore_standins.scripted_agents import send_complete_answer
from tests.online_setup import OnlineSetup
from tools.simulate_routing import RoutingSimulation

NOW_MS = 100_000.0


def target_view(number: int, running: int = 0, domain: str = "a", **changes: object) -> TargetView:
    base = TargetView(
        f"t{number}",
        "",
        "r",
        domain,
        ("m",),
        incarnation="i",
        is_connected=True,
        load=Load(running, max_running=10, step_ms=8.0),
    )
    return replace(base, **changes)


def membership_of(*views: TargetView) -> Membership:
    membership = Membership()
    for each in views:
        membership.set_view(each)
    membership.update_median_steps()
    return membership


def route_request(head: str = "h", content: str = "c", **changes: object) -> RouteRequest:
    return RouteRequest("m", content, head, **changes)


def test_less_loaded_candidate_is_chosen() -> None:
    for number in range(20):
        chosen = Router("b").choose(
            route_request(f"h{number}"), membership_of(target_view(0, 5), target_view(1, 1)), NOW_MS
        )
        assert chosen.target_id == "t1"


def test_small_load_difference_does_not_outweigh_prefix_affinity_and_locality() -> None:
    """Guards against losing a cached prefix or a local target for a slightly lower load."""
    views = [target_view(0, 2, "a"), target_view(1, 2, "b")]
    for number in range(20):
        request = route_request(f"h{number}")
        primary, other = routing_candidates(request.head_digest, request.content_digest, views)
        assert Router("c").choose(request, membership_of(*views), NOW_MS) == primary
        slightly_less_loaded = replace(other, load=Load(1, max_running=10, step_ms=8.0))
        assert (
            Router("c").choose(request, membership_of(primary, slightly_less_loaded), NOW_MS)
            == primary
        )
        local = Router(other.failure_domain)
        assert (
            local.choose(request, membership_of(primary, slightly_less_loaded), NOW_MS)
            == slightly_less_loaded
        )


def test_own_dispatches_count_before_the_next_report() -> None:
    """Guards against a burst that goes as a whole to the target with the lowest reported load."""
    target = target_view(0, 1, in_flight=5, load_in_flight=1)
    assert online_utilization(target) == pytest.approx(0.5)


@pytest.mark.parametrize(
    "changes",
    [
        {"is_quiet": True},
        {"is_leaving": True},
        {"models": ("other",)},
        {"crashed_ms": NOW_MS - 100},
        {"load": Load(0, max_running=10, step_ms=100.0)},
    ],
)
def test_ineligible_target_is_skipped(changes: dict[str, object]) -> None:
    membership = membership_of(target_view(0, **changes), target_view(1, 3), target_view(2, 3))
    for number in range(50):
        request = route_request(f"h{number}")
        assert Router("a").choose(request, membership, NOW_MS).target_id != "t0"


def test_suspect_request_avoids_targets_with_another_suspect() -> None:
    """Guards against a crash with several suspects in flight, which convicts none of them."""
    membership = membership_of(target_view(0, 9), target_view(1, 0, in_flight_suspects=1))
    chosen = Router("a").choose(route_request(is_suspect=True), membership, NOW_MS)
    assert chosen.target_id == "t0"
    alone = membership_of(target_view(1, 0, in_flight_suspects=1))
    assert Router("a").choose(route_request(is_suspect=True), alone, NOW_MS) is None


def test_content_reaches_only_its_two_candidates() -> None:
    """Guards against content that crashes one target after the other.

    The loads change between the dispatches, as they do when other content with the same head has
    completed.
    """
    views = [target_view(n, 0) for n in range(20)]
    candidate_ids = {t.target_id for t in routing_candidates("h", "c", views)}
    reached = set()
    for step in range(60):
        loads = [target_view(n, (n * 7 + step * 3) % 11) for n in range(20)]
        router = Router("abc"[step % 3])
        reached.add(router.choose(route_request(), membership_of(*loads), NOW_MS).target_id)
        suspect = router.choose(route_request(is_suspect=True), membership_of(*loads), NOW_MS)
        reached.add(suspect.target_id)
    assert reached == candidate_ids
    excluded = route_request(excluded=frozenset(candidate_ids))
    assert Router("a").choose(excluded, membership_of(*views), NOW_MS) is None


def test_overflow_of_a_popular_head_spreads_over_all_targets() -> None:
    """Guards against an overload of the primary candidate of a head that many callers share."""
    views = [target_view(n, 0) for n in range(20)]
    primary = routing_candidates("h", "c", views)[0]
    views_with_full_primary = [
        replace(v, load=Load(10, 5, max_running=10)) if v == primary else v for v in views
    ]
    contents = [route_request(content=f"c{n}") for n in range(200)]
    reached = {
        Router("a").choose(each, membership_of(*views_with_full_primary), NOW_MS).target_id
        for each in contents
    }
    assert len(reached) == len(views) - 1


def test_candidates_are_in_two_failure_domains() -> None:
    """Guards against the loss of both candidates of a conversation with one failure domain."""
    views = [target_view(n, 0, "abc"[n % 3]) for n in range(12)]
    for number in range(40):
        first, second = routing_candidates(f"h{number}", f"c{number}", views)
        assert first.failure_domain != second.failure_domain


def test_simulated_load_balance_and_prefix_cache_hits() -> None:
    """Guards against entries that all choose the same target, and the loss of prefix affinity."""
    figures = {
        rule: RoutingSimulation(rule, 30, 15, 0.5, 0.9, 1).run(3_000)
        for rule in ("least of all", "two random", "two rendezvous")
    }
    # Figure 0 is the p99 load over the mean load, figure 2 the share of prefix cache hits.
    assert figures["two rendezvous"][0] < figures["least of all"][0]
    assert figures["two rendezvous"][2] > 1.5 * figures["two random"][2]


def test_control_traffic_with_860_targets_is_within_its_limit() -> None:
    assert len(preferred_targets([f"t{n}" for n in range(860)], "e")) == MAX_CONNECTIONS
    bytes_per_s = MAX_CONNECTIONS * 300 * 1_000 / ping_interval_ms(MAX_CONNECTIONS)
    assert bytes_per_s < 13_000


def test_connections_open_on_demand_and_close_when_idle() -> None:
    setup = OnlineSetup(*[[send_complete_answer] for _ in range(MAX_CONNECTIONS + 8)])
    connected = {k for k, v in setup.membership.targets().items() if v.is_connected}
    assert len(connected) == MAX_CONNECTIONS
    others = set(setup.membership.targets()) - connected
    connected_on_demand = 0
    for number in range(400):
        request = setup.request(head_digest=f"h{number}", content_digest=f"c{number}")
        list(setup.service.run(request))
        connected_on_demand = sum(
            v.is_connected for k, v in setup.membership.targets().items() if k in others
        )
        if connected_on_demand:
            break
    assert connected_on_demand
    setup.clock.sleep_ms(40_000)
    assert sum(v.is_connected for v in setup.membership.targets().values()) == MAX_CONNECTIONS


def test_unlisted_target_gets_no_requests_and_is_removed_when_idle() -> None:
    setup = OnlineSetup()
    listed = (setup.agents[1].instance,)
    messages = setup.service.run(setup.request())
    next(messages)
    setup.link.handle(UpdateInstances(listed))
    for number in range(20):
        list(setup.service.run(setup.request(head_digest=f"h{number}")))
    list(messages)
    setup.link.handle(UpdateInstances(listed))
    assert set(setup.membership.targets()) == {"t1"}
