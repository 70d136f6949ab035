"""Choice of targets, and the connections kept for it."""

import pytest
from msgspec.structs import replace

from ebonyshore.entry.connection_plan import MAX_CONNECTIONS, ping_interval_ms, preferred_targets
from ebonyshore.entry.link_messages import UpdateInstances
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.routing import Router, RouteRequest, online_utilization, routing_candidates
from ebonyshore.link.messages import Load
from ebonyshore_standins.scripted_agents import answer_whole
from tests.online_setup import OnlineSetup
from tools.simulate_routing import Simulation

NOW_MS = 100_000.0


def view(number: int, running: int = 0, domain: str = "a", **changes: object) -> TargetView:
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


def members(*views: TargetView) -> Membership:
    membership = Membership()
    for each in views:
        membership.set_view(each)
    membership.update_median_steps()
    return membership


def route(head: str = "h", content: str = "c", **changes: object) -> RouteRequest:
    return RouteRequest("m", content, head, **changes)


def test_less_loaded_candidate_wins() -> None:
    for number in range(20):
        chosen = Router("b").choose(route(f"h{number}"), members(view(0, 5), view(1, 1)), NOW_MS)
        assert chosen.target_id == "t1"


def test_near_tie_goes_to_the_home_of_the_head_and_then_to_the_local_domain() -> None:
    """Guards against the loss of a cached prefix, and of nearness, for a small gain in load."""
    views = [view(0, 2, "a"), view(1, 2, "b")]
    for number in range(20):
        request = route(f"h{number}")
        home, other = routing_candidates(request.head_digest, request.content_digest, views)
        assert Router("c").choose(request, members(*views), NOW_MS) == home
        a_little_less = replace(other, load=Load(1, max_running=10, step_ms=8.0))
        assert Router("c").choose(request, members(home, a_little_less), NOW_MS) == home
        local = Router(other.failure_domain)
        assert local.choose(request, members(home, a_little_less), NOW_MS) == a_little_less


def test_own_dispatches_count_before_the_next_report() -> None:
    """Guards against sending a whole burst to the target whose last report was lowest."""
    target = view(0, 1, in_flight=5, load_in_flight=1)
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
def test_unfit_target_is_skipped(changes: dict[str, object]) -> None:
    membership = members(view(0, **changes), view(1, 3), view(2, 3))
    for number in range(50):
        request = route(f"h{number}")
        assert Router("a").choose(request, membership, NOW_MS).target_id != "t0"


def test_suspect_goes_where_no_other_suspect_is() -> None:
    """Guards against a crash that cannot be blamed on one content."""
    membership = members(view(0, 9), view(1, 0, in_flight_suspects=1))
    chosen = Router("a").choose(route(is_suspect=True), membership, NOW_MS)
    assert chosen.target_id == "t0"
    alone = members(view(1, 0, in_flight_suspects=1))
    assert Router("a").choose(route(is_suspect=True), alone, NOW_MS) is None


def test_one_content_reaches_its_two_candidates_only() -> None:
    """Guards against content that crashes targets going round the fleet.

    The loads change between the dispatches, and other content with the same head has completed.
    """
    views = [view(n, 0) for n in range(20)]
    two = {t.target_id for t in routing_candidates("h", "c", views)}
    reached = set()
    for step in range(60):
        loads = [view(n, (n * 7 + step * 3) % 11) for n in range(20)]
        router = Router("abc"[step % 3])
        reached.add(router.choose(route(), members(*loads), NOW_MS).target_id)
        suspect = router.choose(route(is_suspect=True), members(*loads), NOW_MS)
        reached.add(suspect.target_id)
    assert reached == two
    excluded = route(excluded=frozenset(two))
    assert Router("a").choose(excluded, members(*views), NOW_MS) is None


def test_overflow_of_a_popular_head_spreads_over_all_targets() -> None:
    """Guards against a head that many callers share overloading its home."""
    views = [view(n, 0) for n in range(20)]
    home = routing_candidates("h", "c", views)[0]
    busy = [replace(v, load=Load(10, 5, max_running=10)) if v == home else v for v in views]
    contents = [route(content=f"c{n}") for n in range(200)]
    reached = {Router("a").choose(each, members(*busy), NOW_MS).target_id for each in contents}
    assert len(reached) == len(views) - 1


def test_candidates_are_in_two_failure_domains() -> None:
    """Guards against the loss of one domain taking both candidates of a conversation."""
    views = [view(n, 0, "abc"[n % 3]) for n in range(12)]
    for number in range(40):
        first, second = routing_candidates(f"h{number}", f"c{number}", views)
        assert first.failure_domain != second.failure_domain


def test_simulated_load_and_prefix_hits() -> None:
    """Guards against herding and against the loss of prefix affinity."""
    figures = {
        rule: Simulation(rule, 30, 15, 0.5, 0.9, 1).run(3_000)
        for rule in ("least of all", "two random", "two rendezvous")
    }
    assert figures["two rendezvous"][0] < figures["least of all"][0]
    assert figures["two rendezvous"][2] > 1.5 * figures["two random"][2]


def test_860_targets_fit_the_control_budget() -> None:
    assert len(preferred_targets([f"t{n}" for n in range(860)], "e")) == MAX_CONNECTIONS
    bytes_per_s = MAX_CONNECTIONS * 300 * 1_000 / ping_interval_ms(MAX_CONNECTIONS)
    assert bytes_per_s < 13_000


def test_connections_open_on_demand_and_close_when_idle() -> None:
    setup = OnlineSetup(*[[answer_whole] for _ in range(MAX_CONNECTIONS + 8)])
    connected = {k for k, v in setup.membership.targets().items() if v.is_connected}
    assert len(connected) == MAX_CONNECTIONS
    others = set(setup.membership.targets()) - connected
    used = 0
    for number in range(400):
        request = setup.request(head_digest=f"h{number}", content_digest=f"c{number}")
        list(setup.service.run(request))
        used = sum(v.is_connected for k, v in setup.membership.targets().items() if k in others)
        if used:
            break
    assert used
    setup.clock.sleep_ms(40_000)
    assert sum(v.is_connected for v in setup.membership.targets().values()) == MAX_CONNECTIONS


def test_unlisted_target_stays_out_until_it_is_idle() -> None:
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
