"""Plots of a benchmark report."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first

from ebonyshore_bench.report import LATENCY_RATIO_GOAL, THROUGHPUT_GOAL, BenchReport  # noqa: E402

DPI = 110


def save_plots(report: BenchReport, folder: Path) -> None:
    """Write ``latency.png`` and ``batch.png`` to a folder."""
    _save_latency(report, folder / "latency.png")
    _save_batch(report, folder / "batch.png")


def _save_latency(report: BenchReport, path: Path) -> None:
    names = [name for name, result in report.results.items() if result.answered]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for axis, title, ratios in (
        (axes[0], "first token", report.first_token_ratio),
        (axes[1], "between tokens", report.interval_ratio),
    ):
        for offset, label in enumerate(("p50_ms", "p95_ms", "p99_ms")):
            heights = [getattr(ratios(name), label) for name in names]
            positions = [index + 0.25 * offset for index in range(len(names))]
            axis.bar(positions, heights, 0.25, label=label.removesuffix("_ms"))
        axis.axhline(LATENCY_RATIO_GOAL, linestyle="--", color="black")
        axis.set_xticks([index + 0.25 for index in range(len(names))], names, rotation=20)
        axis.set_ylabel("ratio to online_alone")
        axis.set_yscale("log")
        axis.set_title(title)
        axis.legend()
    _save(figure, path)


def _save_batch(report: BenchReport, path: Path) -> None:
    names = [name for name, result in report.results.items() if result.batch_tokens_per_s]
    figure, axis = pyplot.subplots(figsize=(8, 4))
    axis.bar(names, [report.batch_ratio(name) for name in names])
    axis.axhline(THROUGHPUT_GOAL, linestyle="--", color="black")
    axis.set_ylabel("batch tokens/s as a ratio to idle capacity")
    _save(figure, path)


def _save(figure: pyplot.Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DPI)
    pyplot.close(figure)
