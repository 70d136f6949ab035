"""Runs the capacity probes and writes the projected load to ``build/capacity``."""

import argparse
import sys
from pathlib import Path

from msgspec import Struct
from msgspec.json import encode, format

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_bench.memory import ImportPoint, measure_imports
from ebonyshore_bench.probes import (
    FAST_ENGINE,
    CostPoint,
    PeerPoint,
    measure_answers,
    measure_callers,
    measure_entries,
    measure_jobs,
    measure_shard_polls,
    measure_targets,
    run_in_fleet,
)
from ebonyshore_bench.projection import DesignSize, MeasuredSlopes, fit_slopes, project
from ebonyshore_bench.slopes import LinearFit

DEFAULT_FOLDER = Path("build/capacity")
PROBES = {
    "A": ("targets of one entry", measure_targets),
    "B": ("entries of one agent", measure_entries),
    "C": ("tokens of an answer", measure_answers),
    "D": ("items of a job", measure_jobs),
    "E": ("callers of one entry", measure_callers),
}


class CapacityReport(Struct, frozen=True):
    """Measured points of all probes and the lines fitted to them."""

    targets: list[PeerPoint]
    entries: list[PeerPoint]
    answers: list[CostPoint]
    jobs: list[CostPoint]
    callers: list[CostPoint]
    polls: list[CostPoint]
    imports: list[ImportPoint]
    slopes: MeasuredSlopes


def main() -> int:
    """Run all probes, write the report and print it.

    :return: the exit status.
    """
    parser = argparse.ArgumentParser(prog="ebonyshore_bench.capacity", description=__doc__)
    parser.add_argument("--folder", type=Path, default=DEFAULT_FOLDER)
    folder = parser.parse_args().folder
    folder.mkdir(parents=True, exist_ok=True)
    report = measure()
    (folder / "report.json").write_bytes(format(encode(report)))
    text = markdown(report)
    (folder / "report.md").write_text(text, encoding="utf-8")
    print(text)
    return 0


def measure() -> CapacityReport:
    """Run all probes, each on its own fleet, and fit lines to the measured points."""
    points = []
    for letter, (name, probe) in PROBES.items():
        print(f"probe {letter}: {name}", file=sys.stderr)
        points.append(run_in_fleet(probe, FAST_ENGINE))
    print("probe F: shards held by another entry", file=sys.stderr)
    points.append(measure_shard_polls())
    return CapacityReport(*points, measure_imports(), fit_slopes(*points))


def markdown(report: CapacityReport) -> str:
    """Return the report as Markdown."""
    lines = ["# Capacity", "", "| Role | Figure | Value | Limit | Margin | Probe |"]
    lines += ["| --- |" + " --- |" * 5]
    lines += [figure.table_row() for figure in project(report.slopes, DesignSize())]
    lines += ["", "## Slopes", "", "| Slope | fixed | per unit | residual | points |"]
    lines += ["| --- |" + " --- |" * 4]
    for name in report.slopes.__struct_fields__:
        value = getattr(report.slopes, name)
        lines.append(
            _fit_row(name, value) if isinstance(value, LinearFit) else _value_row(name, value)
        )
    lines += ["", "## Platform calls by job", ""]
    lines += [f"* {point.count} items: {point.calls}" for point in report.jobs]
    lines += ["", "## Memory by import", "", "| Imported | resident MB | private MB |"]
    lines += ["| --- | --- | --- |", *(_import_row(point) for point in report.imports)]
    return "\n".join(lines) + "\n"


def _fit_row(name: str, slope: LinearFit) -> str:
    points = "; ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    return (
        f"| {name} | {slope.fixed:.4g} | {slope.per_unit:.4g} | {slope.residual:.2g} | {points} |"
    )


def _value_row(name: str, value: float | dict[str, float]) -> str:
    if isinstance(value, dict):
        text = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(value.items()))
        return f"| {name} | {text} | – | – | – |"
    return f"| {name} | {value:.4g} | – | – | – |"


def _import_row(point: ImportPoint) -> str:
    return (
        f"| {point.modules} | {point.resident_bytes / 1e6:.1f} | {point.private_bytes / 1e6:.1f} |"
    )


if __name__ == "__main__":
    try:
        sys.exit(main())
    except EbonyshoreError as error:
        sys.exit(f"capacity measurement failed: {error}")
