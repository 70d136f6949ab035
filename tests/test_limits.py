"""Caller limits, fair shares, the retry budget and deadlines under load and partial failure."""

import pytest
from msgspec.structs import replace

from ebonyshore.entry.admission import Admission, UsageReporter
from ebonyshore.entry.limits import SHARE_EXPIRY_MS, CallerLimit, CallerLimits, fair_shares
from ebonyshore.entry.rate_coordinator import choose_coordinators, coordinator_of
from ebonyshore.entry.retry import FREE_RETRIES_PER_WINDOW, RetryBudget, error_for_caller
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode
from ebonyshore.link.messages import (
    CallerShare,
    CallerShares,
    Dispatch,
    Failed,
    Load,
    Refused,
    UsageDigest,
)
from ebonyshore_standins.scripted_agents import ScriptedAgent, send_complete_answer
from tests.online_setup import OnlineSetup
from tests.test_routing import target_view
from tools.simulate_limits import LimitSimulation

LIMIT = CallerLimit(100.0, 20)


def count_admitted(
    limits: CallerLimits, caller: str, count: int, start_ms: float, gap_ms: float
) -> int:
    return sum(limits.admit(caller, LIMIT, start_ms + n * gap_ms).is_admitted for n in range(count))


def test_burst_is_admitted_up_to_its_size() -> None:
    limits = CallerLimits(0.0)
    assert count_admitted(limits, "c", 50, 0.0, 0.0) == 20
    refused = limits.admit("c", LIMIT, 0.0)
    assert 0 < refused.retry_after_ms <= 10_000
    assert count_admitted(limits, "c", 50, 100.0, 0.0) == 10


@pytest.mark.parametrize(("entries", "demand"), [(3, 200.0), (30, 1_000.0), (380, 120.0)])
def test_admitted_rate_is_near_the_limit(entries: int, demand: float) -> None:
    """Guards against a rate far from the limit when the requests spread over many entries.

    Each entry would admit the whole limit, or hardly any request, because it sees only a few.
    """
    simulation = LimitSimulation(entries, demand, 2)
    simulation.run()
    assert simulation.admitted_rate(10_000, 60_000) == pytest.approx(100.0, rel=0.03)


@pytest.mark.parametrize("entries", [3, 380])
def test_caller_that_sends_in_bursts_gets_its_limit(entries: int) -> None:
    """Guards against a delayed demand estimate that admits less or more than the limit."""
    simulation = LimitSimulation(entries, 400.0, 2, burst_ms=2_000.0)
    simulation.run()
    assert simulation.admitted_rate(10_000, 60_000) == pytest.approx(100.0, rel=0.07)


def test_coordinator_loss_neither_blocks_a_caller_nor_lifts_its_limit() -> None:
    simulation = LimitSimulation(30, 200.0, 2, 20_000.0, 3_000.0)
    simulation.run()
    assert 80 < simulation.admitted_rate(20_000, 30_000) < 130
    limits = CallerLimits(0.0)
    limits.admit("c", LIMIT, 0.0)
    limits.apply_shares((CallerShare("c", 0.0),), 0.0)
    assert count_admitted(limits, "c", 10, 1_000.0, 10.0) == 0
    assert count_admitted(limits, "c", 10, SHARE_EXPIRY_MS + 1, 10.0) == 10


def test_coordinators_are_live_and_the_same_at_all_entries() -> None:
    views = [target_view(n) for n in range(100)]
    coordinators = choose_coordinators(views)
    assert coordinators == choose_coordinators(reversed(views))
    lost = coordinator_of("c", coordinators)
    number = int(lost[1:])
    views[number] = replace(views[number], is_quiet=True)
    coordinators_after_loss = choose_coordinators(views)
    assert lost not in coordinators_after_loss
    assert len(set(coordinators) & set(coordinators_after_loss)) == len(coordinators) - 1


@pytest.mark.parametrize(
    ("demands", "weights", "expected"),
    [
        ({"a": 10, "b": 90}, {"a": 1, "b": 1}, {"a": 10, "b": 40}),
        ({"a": 90, "b": 90}, {"a": 3, "b": 2}, {"a": 30, "b": 20}),
        ({"a": 5, "b": 5}, {"a": 1, "b": 1}, {"a": 5, "b": 5}),
    ],
)
def test_fair_shares(demands, weights, expected) -> None:
    assert fair_shares(demands, weights, 50.0) == pytest.approx(expected)


def test_overload_refuses_only_the_caller_above_its_fair_share() -> None:
    """Guards against refusals to other callers while one caller floods the entry."""
    limits = CallerLimits(0.0)
    high_limit = CallerLimit(10_000.0, 10_000)
    now_ms, admitted_requests = 0.0, {"flood": 0, "small": 0}
    for second in range(6):
        for number in range(100):
            now_ms += 10.0
            for caller in ["flood"] * 9 + ["small"] * (number % 2):
                decision = limits.admit(caller, high_limit, now_ms)
                admitted_requests[caller] += second > 2 and decision.is_admitted
        limits.update_fair_shares(1.5 if second < 2 else 1.0001, now_ms)
    assert admitted_requests["small"] == 150
    assert admitted_requests["flood"] < 0.6 * 2_700
    limits.update_fair_shares(0.5, now_ms)
    assert limits.admit("flood", high_limit, now_ms).is_admitted


def test_retry_budget_limits_dispatches_during_an_outage() -> None:
    def fail(agent: ScriptedAgent, dispatch: Dispatch) -> None:
        code, execution = ResultCode.STREAM_BROKEN, Execution.MAYBE_RUN
        agent.reply(Failed(dispatch.request_id, code, execution))

    setup = OnlineSetup(*[[fail] for _ in range(6)])
    requests = 200
    for number in range(requests):
        with pytest.raises(RefusedError) as refusal:
            list(setup.service.run(setup.request(head_digest=f"h{number}")))
        assert refusal.value.retry_after_ms
    assert setup.dispatch_count() <= requests * 1.1 + FREE_RETRIES_PER_WINDOW + 1


def test_refusals_of_stopping_agents_do_not_consume_the_retry_budget() -> None:
    """Guards against a rolling restart that uses up the attempts or the retry budget."""
    leave = [lambda a, d: a.reply(Refused(d.request_id, ResultCode.LEAVING))]
    setup = OnlineSetup(leave, [send_complete_answer])
    for number in range(30):
        list(setup.service.run(setup.request(head_digest=f"h{number}")))


def test_request_waits_for_an_agent_that_is_starting() -> None:
    """Guards against a refusal while no agent is ready between two steps of a rolling restart."""
    starts = [lambda a, d: a.reply(Refused(d.request_id, ResultCode.NO_TARGET))] * 5
    setup = OnlineSetup([*starts, send_complete_answer])
    assert list(setup.service.run(setup.request()))


def test_retry_budget_is_a_share_of_recent_requests() -> None:
    budget = RetryBudget()
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_retry(0.1, 0.0) for _ in range(50)) == 13
    assert sum(budget.try_retry(0.1, 60_000.0) for _ in range(50)) == 3


def test_request_that_cannot_meet_its_deadline_is_not_dispatched() -> None:
    """Guards against work whose result is too late, and against a refusal at the deadline only."""
    setup = OnlineSetup()
    list(setup.service.run(setup.request()))
    setup.service._service_times.record("reader", 20_000.0)
    for agent in setup.agents:
        agent.load = Load(16, 80, max_running=16, step_ms=8.0)
    setup.clock.sleep_ms(1_500)
    before = setup.dispatch_count()
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request(deadline_ms=setup.clock.monotonic_ms() + 500)))
    assert refusal.value.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.value.execution is Execution.NOT_RUN
    assert refusal.value.retry_after_ms
    assert setup.dispatch_count() == before


@pytest.mark.parametrize("code", [c for c in ResultCode if RESULT_INFO[c].is_retryable])
def test_retryable_refusals_have_a_retry_time_if_a_retry_is_safe(code: ResultCode) -> None:
    assert error_for_caller(RefusedError(code=code), True, False).retry_after_ms
    not_run = RefusedError(code=code, execution=Execution.NOT_RUN)
    assert error_for_caller(not_run, False, False).retry_after_ms
    may_have_run = RefusedError(code=code, execution=Execution.MAYBE_RUN)
    assert error_for_caller(may_have_run, False, False).retry_after_ms is None


def test_usage_is_sent_to_the_coordinator_and_its_reply_is_applied() -> None:
    setup = OnlineSetup([send_complete_answer], [send_complete_answer])
    admission = Admission("entry-1", setup.settings, setup.clock, setup.metrics)
    reporter = UsageReporter(admission, setup.membership, setup.link, setup.clock)
    received = []
    for agent in setup.agents:
        deliver = agent.receive
        agent.receive = lambda message, deliver=deliver: (
            received.append(message),
            deliver(message),
        )
    setup.link.subscribe(CallerShares, lambda _, shares: admission.apply_shares(shares))
    for _ in range(5):
        admission.check("c")
    reporter.on_timer()
    digests = [message for message in received if isinstance(message, UsageDigest)]
    assert [(u.caller, u.requests, u.admitted) for d in digests for u in d.usages] == [("c", 5, 5)]
    coordinator = coordinator_of("c", choose_coordinators(setup.membership.targets().values()))
    setup.link.receive(coordinator, CallerShares((CallerShare("c", 0.0),)))
    with pytest.raises(RefusedError) as refusal:
        admission.check("c")
    assert (refusal.value.code, refusal.value.execution) == (
        ResultCode.CALLER_LIMIT,
        Execution.NOT_RUN,
    )


def test_agent_refusal_is_reported_as_not_run() -> None:
    """Guards against a refusal by an agent that the caller sees as a possible run."""
    busy = [lambda a, d: a.reply(Refused(d.request_id, ResultCode.TARGET_BUSY, 700))]
    setup = OnlineSetup(busy)
    with pytest.raises(RefusedError) as refusal:
        list(setup.service.run(setup.request()))
    assert refusal.value.execution is Execution.NOT_RUN
    assert refusal.value.retry_after_ms == 700
