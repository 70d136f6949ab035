"""The benchmark report: ratios to the baseline, goals, and Markdown tables. No I/O."""

from statistics import median

from msgspec import Struct

from ebonyshore_bench.load_client import Percentiles
from ebonyshore_bench.markdown_table import table
from ebonyshore_bench.overhead import Overhead
from ebonyshore_bench.plan import BenchPlan
from ebonyshore_bench.variants import VariantResult

LATENCY_RATIO_GOAL = 1.05
THROUGHPUT_GOAL = 0.95
YIELD_MARGIN_MS = 10.0
ADDED_LATENCY_GOAL_MS = 1.0


class Goal(Struct, frozen=True):
    """A goal and the measured figure.

    :param name: name of the goal.
    :param figure: the measured figure as text.
    :param is_met: whether the goal is met; ``None`` if nothing was measured.
    """

    name: str
    figure: str
    is_met: bool | None

    def cells(self) -> list[str]:
        """Return the cells of the row in the table of goals."""
        verdict = {True: "met", False: "**not met**", None: "not measured"}[self.is_met]
        return [self.name, self.figure, verdict]


class BenchReport(Struct, frozen=True):
    """Results of one run of the benchmark.

    :param plan: the parameters of the run.
    :param results: the result of each variant, by name.
    :param overhead: latency and processor time that entry and agent add to a request.
    """

    plan: BenchPlan
    results: dict[str, VariantResult]
    overhead: Overhead

    def idle_tokens_per_s(self) -> float:
        """Return the idle capacity: tokens/s of ``batch_alone`` minus those of ``online_alone``."""
        alone = self.results["batch_alone"].batch_tokens_per_s
        return alone - self.results["online_alone"].online_tokens_per_s

    def idle_time_tokens_per_s(self) -> float:
        """Return the tokens/s of ``batch_alone``, scaled to the time without online requests."""
        alone = self.results["batch_alone"].batch_tokens_per_s
        shares = [engine.online_share for engine in self.results["online_alone"].engines]
        return alone * (1 - sum(shares) / len(shares))

    def batch_ratio(self, name: str) -> float:
        """Return the batch tokens/s of a variant as a ratio to the idle capacity."""
        return ratio(self.results[name].batch_tokens_per_s, self.idle_tokens_per_s())

    def first_token_ratio(self, name: str) -> Percentiles:
        """Return the first-token percentiles of a variant as ratios to ``online_alone``."""
        alone = self.results["online_alone"].first_token
        return percentile_ratios(self.results[name].first_token, alone)

    def interval_ratio(self, name: str) -> Percentiles:
        """Return the inter-token percentiles of a variant as ratios to ``online_alone``."""
        alone = self.results["online_alone"].token_interval
        return percentile_ratios(self.results[name].token_interval, alone)


def ratio(value: float, base: float) -> float:
    """Return ``value / base``; infinite for a base of 0 or less."""
    return value / base if base > 0 else float("inf")


def percentile_ratios(value: Percentiles, base: Percentiles) -> Percentiles:
    """Return the ratio of each percentile; the count is that of ``value``."""
    return Percentiles(
        value.count,
        ratio(value.p50_ms, base.p50_ms),
        ratio(value.p95_ms, base.p95_ms),
        ratio(value.p99_ms, base.p99_ms),
    )


def count_late_yields(result: VariantResult) -> int:
    """Count the bursts to which batch work did not yield in time.

    A yield is late if it took longer than the rest of the running step plus
    :data:`YIELD_MARGIN_MS`, or if more than half of the batch sequences remained.
    """
    return sum(
        each.yield_ms is None or each.yield_ms > each.step_left_ms + YIELD_MARGIN_MS
        for each in result.yields
    )


def evaluate_goals(report: BenchReport) -> list[Goal]:
    """Compare the measured figures with the goals of the design page."""
    first = report.first_token_ratio("harm_first").p99_ms
    interval = report.interval_ratio("harm_first").p99_ms
    throughput = report.batch_ratio("throughput_first")
    harm_first = report.results["harm_first"]
    added_ms = report.overhead.added_p50_ms
    return [
        Goal("p99 first token, harm_first", f"{first:.3f}", first <= LATENCY_RATIO_GOAL),
        Goal("p99 inter-token, harm_first", f"{interval:.3f}", interval <= LATENCY_RATIO_GOAL),
        Goal(
            "batch to idle capacity, throughput_first",
            f"{throughput:.3f}",
            throughput >= THROUGHPUT_GOAL,
        ),
        Goal(
            "yielded within a step + 10 ms, harm_first",
            f"{len(harm_first.yields) - count_late_yields(harm_first)} of {len(harm_first.yields)}",
            count_late_yields(harm_first) == 0 if harm_first.yields else None,
        ),
        Goal("added latency, median", f"{added_ms:.2f} ms", added_ms < ADDED_LATENCY_GOAL_MS),
    ]


def markdown(report: BenchReport) -> str:
    """Return the report as Markdown."""
    lines = ["# Benchmark", "", f"Plan: `{report.plan}`", ""]
    lines += table(["Goal", "Measured", ""], [goal.cells() for goal in evaluate_goals(report)])
    lines += ["", *_latency_table(report), "", *_batch_table(report), "", *_cost_table(report), ""]
    lines += _overhead_lines(report.overhead)
    return "\n".join(lines) + "\n"


def _latency_table(report: BenchReport) -> list[str]:
    header = ["Variant", "answered", "failed"]
    for figure in ("first", "ratio", "between", "ratio"):
        header += [f"{figure} p50", "p95", "p99"]
    rows: list[list[str]] = []
    for name, result in report.results.items():
        if not result.answered:
            continue
        cells = [name, str(result.answered), str(len(result.failures))]
        cells += _percentile_cells(result.first_token, 1) + _percentile_cells(
            report.first_token_ratio(name), 2
        )
        cells += _percentile_cells(result.token_interval, 1) + _percentile_cells(
            report.interval_ratio(name), 2
        )
        rows.append(cells)
    return ["## Online latency (ms) and ratio to online_alone", "", *table(header, rows)]


def _batch_table(report: BenchReport) -> list[str]:
    header = [
        "Variant",
        "batch tokens/s",
        "ratio to idle capacity",
        "engines busy",
        "yields",
        "late",
    ]
    header += ["yield p50 ms", "max", "burst in engine p50 ms", "max", "preempted"]
    header += ["unfinished tokens"]
    rows: list[list[str]] = []
    for name, result in report.results.items():
        if not result.batch_tokens_per_s:
            continue
        busy = sum(engine.busy_share for engine in result.engines) / len(result.engines)
        yields_ms = [y.yield_ms for y in result.yields if y.yield_ms is not None]
        seen_ms = [y.online_seen_ms for y in result.yields if y.online_seen_ms is not None]
        cells = [name, f"{result.batch_tokens_per_s:.0f}", f"{report.batch_ratio(name):.3f}"]
        cells += [f"{busy:.3f}", str(len(result.yields)), str(count_late_yields(result))]
        cells += _median_and_max(yields_ms) + _median_and_max(seen_ms)
        cells += [str(result.counters.get("batch_preempted", 0))]
        cells += [f"{result.unfinished_ratio:.4f}"]
        rows.append(cells)
    capacity = (
        f"Idle capacity: {report.idle_tokens_per_s():.0f} tokens/s beside the online tokens; "
        f"{report.idle_time_tokens_per_s():.0f} tokens/s in the time without online requests."
    )
    return ["## Batch", "", capacity, "", *table(header, rows)]


def _median_and_max(times_ms: list[float]) -> list[str]:
    if not times_ms:
        return ["–", "–"]
    return [f"{median(times_ms):.1f}", f"{max(times_ms):.1f}"]


def _cost_table(report: BenchReport) -> list[str]:
    header = ["Variant", "entries", "agents", "bench"]
    header += ["send lag p99", "wake lag p99", "step lag mean"]
    rows: list[list[str]] = []
    for name, result in report.results.items():
        uses = (result.entry_cpu_ms, result.agent_cpu_ms, result.bench_cpu_ms)
        cells = [name] + [f"{use / result.duration_ms:.3f}" for use in uses]
        cells += [f"{result.send_lag.p99_ms:.2f}", f"{result.wake_lag.p99_ms:.2f}"]
        lag_ms = sum(engine.step_lag_ms for engine in result.engines) / len(result.engines)
        rows.append([*cells, f"{lag_ms:.2f}"])
    return [
        "## Processor time (cores) and lag of the load generator (ms)",
        "",
        *table(header, rows),
    ]


def _overhead_lines(overhead: Overhead) -> list[str]:
    return [
        "## Overhead of entry and agent per request (idle fleet, one token)",
        "",
        f"First token p50/p95/p99: direct {' / '.join(_percentile_cells(overhead.direct, 2))} ms, "
        f"through entry and agent {' / '.join(_percentile_cells(overhead.through, 2))} ms. "
        f"Processor time: entry {overhead.entry_cpu_ms:.2f} ms, "
        f"agent {overhead.agent_cpu_ms:.2f} ms per request.",
    ]


def _percentile_cells(percentiles: Percentiles, digits: int) -> list[str]:
    values = (percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms)
    return [f"{value:.{digits}f}" for value in values]
