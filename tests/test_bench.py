"""The bench: its traffic, its arithmetic, the baselines and a small run."""

import pytest
from msgspec.structs import replace

from ebonyshore.agent.baseline_policies import decide_first_come, decide_static_split, find_policy
from ebonyshore.agent.scheduler import BatchRun, SchedulerState, Weighting, decide
from ebonyshore_bench.engine_steps import measure_batch_yield, measure_window
from ebonyshore_bench.load_client import Percentiles
from ebonyshore_bench.plan import (
    BATCH_MODEL,
    ONLINE_MODEL,
    BatchPlan,
    BenchPlan,
    EnginePlan,
    TrafficPlan,
    Variant,
)
from ebonyshore_bench.projection import ProjectedFigure
from ebonyshore_bench.report import percentile_ratios, ratio
from ebonyshore_bench.slopes import fit_line
from ebonyshore_bench.traffic import make_arrivals, make_batch_lines
from ebonyshore_bench.variants import run_variant
from ebonyshore_standins.engine_runner import StepRecord


def test_the_same_seed_gives_the_same_traffic():
    """Variants are comparable only if each gets the same arrivals."""
    plan = TrafficPlan(duration_ms=20_000)
    assert make_arrivals(plan) == make_arrivals(plan)
    assert make_arrivals(plan) != make_arrivals(replace(plan, seed=1))
    assert make_batch_lines(BatchPlan(items=5), 1) == make_batch_lines(BatchPlan(items=5), 1)


def test_bursts_are_complete_and_arrivals_in_order():
    plan = TrafficPlan(duration_ms=20_000)
    arrivals = make_arrivals(plan)
    sizes = [sum(a.burst == burst for a in arrivals) for burst in range(4)]
    assert sizes == [plan.burst_requests] * 4
    assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at_ms)
    assert all(plan.min_tokens <= a.tokens <= plan.max_tokens for a in arrivals)


def step(started_ms: float, batch: int, online: int = 0, tokens: int = 0) -> StepRecord:
    sequences = {BATCH_MODEL: batch, ONLINE_MODEL: online}
    return StepRecord(started_ms, 10.0, sequences, {BATCH_MODEL: tokens}, {})


def test_yield_is_timed_to_the_first_step_without_the_preempted_batch():
    steps = [step(0, 8), step(10, 8), step(20, 6, 4), *(step(30 + 10 * n, 0, 4) for n in range(30))]
    found = measure_batch_yield(steps, 12.0)
    assert (found.batch_before, found.batch_after) == (8, 0)
    assert found.yield_ms == 18.0
    assert found.step_left_ms == 8.0


def test_batch_that_stays_has_not_yielded():
    """A burst served beside a full batch must not count as a fast yield."""
    found = measure_batch_yield([step(10 * n, 8) for n in range(40)], 12.0)
    assert found.yield_ms is None
    assert measure_batch_yield([step(10 * n, 0) for n in range(40)], 12.0) is None


def test_window_use_counts_only_the_window():
    use = measure_window([step(10 * n, 8, tokens=8) for n in range(100)], 200, 700)
    assert use.batch_tokens_per_s == pytest.approx(800)
    assert use.busy_share == pytest.approx(1.0)
    assert use.generated_batch_tokens == 800


def test_ratios():
    base = Percentiles(10, 10.0, 20.0, 40.0)
    assert percentile_ratios(Percentiles(5, 11.0, 20.0, 42.0), base) == Percentiles(
        5, 1.1, 1.0, 1.05
    )
    assert ratio(1.0, 0.0) == float("inf")


def test_slope_fit():
    slope = fit_line([(8, 21.0), (40, 85.0), (100, 205.0)])
    assert slope.fixed == pytest.approx(5.0)
    assert slope.per_unit == pytest.approx(2.0)
    assert slope.residual == pytest.approx(0.0, abs=1e-9)
    assert slope.at(860) == pytest.approx(1725.0)
    with pytest.raises(ValueError):
        fit_line([(3, 1.0), (3, 2.0)])


def test_a_missed_budget_shows_in_the_table():
    assert "missed" in ProjectedFigure("entry", "bytes", 26.0, 13.0, "B/s", "A").table_row()
    assert "missed" not in ProjectedFigure("entry", "bytes", 6.5, 13.0, "B/s", "A").table_row()


def state(online_waiting: int, batch: int, batch_waiting: int) -> SchedulerState:
    runs = tuple(BatchRun(str(number), 10, 1, 1.0) for number in range(batch))
    fields = (12.0, 0.5, 0.02, 26.0, 670.0, 0.0, Weighting.HARM_FIRST)
    return SchedulerState(0, online_waiting, runs, 0, (10,) * batch_waiting, 0, 16, *fields)


def test_baselines_do_not_protect_online_work():
    assert decide_first_come(state(20, 16, 5)).start_online == 20
    assert decide_first_come(state(20, 16, 5)).start_batch == 5
    split = decide_static_split(state(20, 2, 20))
    assert (split.start_online, split.start_batch, split.preempt) == (8, 6, ())
    assert find_policy("policy") is decide


def test_a_tiny_bench_measures_both_kinds_of_work(tmp_path):
    """Guards the whole measurement: fleet, traffic, step records, counters."""
    plan = BenchPlan(
        engines=EnginePlan(count=1),
        traffic=TrafficPlan(duration_ms=2_000, burst_interval_ms=1_500, burst_requests=4),
        batch=BatchPlan(items=60, warm_up_ms=1_500),
        entries=1,
    )
    result = run_variant(Variant("tiny", weighting="throughput_first"), plan, tmp_path)
    assert result.failures == []
    assert result.answered == len(make_arrivals(plan.traffic))
    assert result.first_token.count == result.answered
    assert result.batch_tokens_per_s > 0
    assert result.online_tokens_per_s > 0
    assert result.entry_cpu_ms > 0
