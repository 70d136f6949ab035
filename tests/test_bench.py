"""Tests of the benchmark: traffic, arithmetic, baseline policies and a small run."""

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


def test_same_seed_gives_same_traffic():
    """Variants are comparable only if all of them get the same arrivals."""
    plan = TrafficPlan(duration_ms=20_000)
    assert make_arrivals(plan) == make_arrivals(plan)
    assert make_arrivals(plan) != make_arrivals(replace(plan, seed=1))
    assert make_batch_lines(BatchPlan(items=5), 1) == make_batch_lines(BatchPlan(items=5), 1)


def test_bursts_are_complete_and_arrivals_are_ordered():
    plan = TrafficPlan(duration_ms=20_000)
    arrivals = make_arrivals(plan)
    sizes = [sum(a.burst == burst for a in arrivals) for burst in range(4)]
    assert sizes == [plan.burst_requests] * 4
    assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at_ms)
    assert all(plan.min_tokens <= a.tokens <= plan.max_tokens for a in arrivals)


def make_step(started_ms: float, batch: int, online: int = 0, tokens: int = 0) -> StepRecord:
    sequences = {BATCH_MODEL: batch, ONLINE_MODEL: online}
    return StepRecord(started_ms, 10.0, sequences, {BATCH_MODEL: tokens}, {})


def test_yield_time_ends_at_first_step_without_preempted_batch():
    steps = [
        make_step(0, 8),
        make_step(10, 8),
        make_step(20, 6, 4),
        *(make_step(30 + 10 * n, 0, 4) for n in range(30)),
    ]
    batch_yield = measure_batch_yield(steps, 12.0)
    assert (batch_yield.batch_before, batch_yield.batch_after) == (8, 0)
    assert batch_yield.yield_ms == 18.0
    assert batch_yield.step_left_ms == 8.0


def test_batch_that_is_not_preempted_has_not_yielded():
    """A burst served while the batch sequences keep running must not count as a fast yield."""
    batch_yield = measure_batch_yield([make_step(10 * n, 8) for n in range(40)], 12.0)
    assert batch_yield.yield_ms is None
    assert measure_batch_yield([make_step(10 * n, 0) for n in range(40)], 12.0) is None


def test_window_rates_count_only_the_window():
    use = measure_window([make_step(10 * n, 8, tokens=8) for n in range(100)], 200, 700)
    assert use.batch_tokens_per_s == pytest.approx(800)
    assert use.busy_share == pytest.approx(1.0)
    assert use.generated_batch_tokens == 800


def test_ratios_to_baseline():
    base = Percentiles(10, 10.0, 20.0, 40.0)
    assert percentile_ratios(Percentiles(5, 11.0, 20.0, 42.0), base) == Percentiles(
        5, 1.1, 1.0, 1.05
    )
    assert ratio(1.0, 0.0) == float("inf")


def test_line_fit():
    line = fit_line([(8, 21.0), (40, 85.0), (100, 205.0)])
    assert line.fixed == pytest.approx(5.0)
    assert line.per_unit == pytest.approx(2.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    assert line.at(860) == pytest.approx(1725.0)
    with pytest.raises(ValueError):
        fit_line([(3, 1.0), (3, 2.0)])


def test_exceeded_limit_is_marked_in_the_table():
    assert "missed" in ProjectedFigure("entry", "bytes", 26.0, 13.0, "B/s", "A").table_row()
    assert "missed" not in ProjectedFigure("entry", "bytes", 6.5, 13.0, "B/s", "A").table_row()


def make_state(online_waiting: int, batch: int, batch_waiting: int) -> SchedulerState:
    runs = tuple(BatchRun(str(number), 10, 1, 1.0) for number in range(batch))
    fields = (12.0, 0.5, 0.02, 26.0, 670.0, 0.0, Weighting.HARM_FIRST)
    return SchedulerState(0, online_waiting, runs, 0, (10,) * batch_waiting, 0, 16, *fields)


def test_baseline_policies_do_not_protect_online_work():
    assert decide_first_come(make_state(20, 16, 5)).start_online == 20
    assert decide_first_come(make_state(20, 16, 5)).start_batch == 5
    split = decide_static_split(make_state(20, 2, 20))
    assert (split.start_online, split.start_batch, split.preempt) == (8, 6, ())
    assert find_policy("policy") is decide


def test_small_run_measures_online_and_batch_work(tmp_path):
    """Covers the whole measurement: fleet, traffic, step records and counters."""
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
