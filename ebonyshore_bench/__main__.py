"""Runs all variants of the scheduling benchmark and writes the report to ``build/bench``."""

import argparse
import sys
from pathlib import Path

from msgspec.json import encode, format
from msgspec.structs import replace

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_bench.overhead import measure_overhead
from ebonyshore_bench.plan import VARIANTS, BenchPlan
from ebonyshore_bench.plots import save_plots
from ebonyshore_bench.report import BenchReport, markdown
from ebonyshore_bench.variants import run_variant

DEFAULT_FOLDER = Path("build/bench")


def main() -> int:
    """Run the benchmark and print the report.

    :return: the exit status.
    """
    parser = argparse.ArgumentParser(prog="ebonyshore_bench", description=__doc__)
    parser.add_argument("--folder", type=Path, default=DEFAULT_FOLDER)
    parser.add_argument("--seed", type=int, default=BenchPlan().traffic.seed)
    parser.add_argument("--duration-ms", type=float, default=BenchPlan().traffic.duration_ms)
    arguments = parser.parse_args()
    plan = BenchPlan()
    traffic = replace(plan.traffic, seed=arguments.seed, duration_ms=arguments.duration_ms)
    report = run_bench(replace(plan, traffic=traffic), arguments.folder)
    print(markdown(report))
    return 0


def run_bench(plan: BenchPlan, folder: Path) -> BenchReport:
    """Run all variants of a plan and write the report, its data and its plots.

    :param plan: the parameters of the benchmark.
    :param folder: folder for ``report.md``, ``report.json`` and the plots; created if missing.
    :return: the report.
    """
    folder.mkdir(parents=True, exist_ok=True)
    results = {}
    for variant in VARIANTS:
        print(f"running {variant.name}", file=sys.stderr)
        results[variant.name] = run_variant(variant, plan, folder)
    report = BenchReport(plan, results, measure_overhead(folder))
    (folder / "report.md").write_text(markdown(report), encoding="utf-8")
    (folder / "report.json").write_bytes(format(encode(report)))
    save_plots(report, folder)
    return report


if __name__ == "__main__":
    try:
        sys.exit(main())
    except EbonyshoreError as error:
        sys.exit(f"benchmark failed: {error}")
