"""Choice of targets, and the connections kept for it."""

import pytest
from msgspec.structs import replace

from ebonyshore.connection_plan import MAX_CONNECTIONS, ping_interval_ms, preferred
from ebonyshore.link_messages import InstancesKnown
from ebonyshore.membership import Membership, TargetView
from ebonyshore.messages import Load
from ebonyshore.routing import Router, RouteRequest, candidates, load_of
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
    membership.update_typical_steps()
    return membership


def route(head: str = "h", content: str = "c", **changes: object) -> RouteRequest:
    return RouteRequest("m", content, head, **changes)


def test_less_loaded_candidate_wins_and_domain_breaks_near_ties() -> None:
    router = Router("b")
    assert router.choose(route(), members(view(0, 5), view(1, 1)), NOW_MS).target_id == "t1"
    near = members(view(0, 1), view(1, 2, "b"))
    assert router.choose(route(), near, NOW_MS).target_id == "t1"


def test_own_dispatches_count_before_the_next_report() -> None:
    """Guards against sending a whole burst to the target whose last report was lowest."""
    target = view(0, 1, in_flight=5, load_in_flight=1)
    assert load_of(target) == pytest.approx(0.5)


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


def test_unknown_content_reaches_its_two_candidates_only() -> None:
    """Guards against content that crashes targets going round the fleet while they are busy."""
    views = [view(n, 0) for n in range(20)]
    two = {t.target_id for t in candidates("h", views)}
    busy = members(
        *(replace(v, load=Load(10, 5, max_running=10)) if v.target_id in two else v for v in views)
    )
    router = Router("a")
    reached = {router.choose(route(content=f"c{n}"), busy, NOW_MS).target_id for n in range(30)}
    assert reached <= two
    excluded = frozenset(two)
    assert router.choose(route(excluded=excluded), busy, NOW_MS) is None
    router.record_completed("c", "h")
    spread = {router.choose(route(content=f"c{n}"), busy, NOW_MS).target_id for n in range(30)}
    assert len(spread - two) > 5
    suspect = route(is_suspect=True)
    assert router.choose(suspect, busy, NOW_MS).target_id in two


def test_candidates_are_in_two_failure_domains() -> None:
    """Guards against the loss of one domain taking both candidates of a conversation."""
    views = [view(n, 0, "abc"[n % 3]) for n in range(12)]
    for number in range(40):
        first, second = candidates(f"h{number}", views)
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
    assert len(preferred([f"t{n}" for n in range(860)], "e")) == MAX_CONNECTIONS
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
    setup.link.handle(InstancesKnown(listed))
    for number in range(20):
        list(setup.service.run(setup.request(head_digest=f"h{number}")))
    list(messages)
    setup.link.handle(InstancesKnown(listed))
    assert set(setup.membership.targets()) == {"t1"}
