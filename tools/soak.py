"""Soak test of the batch code: runs it in a simulated fleet under random faults.

The runs inject all kinds of faults together, each kind alone and each pair of kinds, in turn. The
seed and figures of each run are printed. The exit status is 1 if an item was lost or duplicated or
any other fault was found.
"""

import sys
from collections import Counter
from itertools import combinations, cycle
from pathlib import Path
from typing import Annotated

import typer

sys.path.insert(0, str(Path(__file__).parent.parent))

from ebonyshore_standins.batch_faults import (  # noqa: E402 - needs the path above
    FaultInjector,
    FaultReport,
    run_with_faults,
)
from ebonyshore_standins.batch_simulation import BatchSimulation  # noqa: E402

ITEMS_PER_RUN = 2_000


def soak(
    seed: Annotated[int, typer.Option(help="seed of the first run; each further run adds one")] = 0,
    items: Annotated[int, typer.Option(help="total number of items over all runs")] = 300_000,
) -> None:
    """Run batch jobs under random faults until ``items`` items have ended."""
    kinds = FaultInjector(BatchSimulation(0)).all_kinds
    fault_choices = cycle([(), *((kind,) for kind in kinds), *combinations(kinds, 2)])
    reports: list[FaultReport] = []
    remaining = items
    while remaining > 0:
        report = run_with_faults(
            seed + len(reports), min(remaining, ITEMS_PER_RUN), next(fault_choices)
        )
        reports.append(report)
        remaining -= report.items
        print_report(report)
    is_clean = print_total(reports)
    sys.exit(0 if is_clean else 1)


def print_report(report: FaultReport) -> None:
    """Print the figures and faults of one run."""
    print(
        f"seed={report.seed} items={report.items} events={report.events} lost={report.lost} "
        f"doubled={report.doubled} failed={report.failed} "
        f"wrongly_failed={report.wrongly_failed} cancelled={report.cancelled} "
        f"max_start_after_cancel_ms={report.max_start_after_cancel_ms:.0f}",
        flush=True,
    )
    for fault in report.faults:
        print(f"  fault: {fault}")


def print_total(reports: list[FaultReport]) -> bool:
    """Print the totals of all runs.

    :return: whether no item was lost or duplicated and no other fault was found.
    """
    by_kind: Counter[str] = Counter()
    for report in reports:
        by_kind.update(report.by_kind)
    for kind, events in by_kind.most_common():
        print(f"  {kind}: {events}")
    lost = sum(report.lost for report in reports)
    doubled = sum(report.doubled for report in reports)
    faults = sum(len(report.faults) for report in reports)
    print(
        f"total: runs={len(reports)} items={sum(r.items for r in reports)} "
        f"events={sum(r.events for r in reports)} lost={lost} doubled={doubled} "
        f"wrongly_failed={sum(r.wrongly_failed for r in reports)} faults={faults}"
    )
    return not (lost or doubled or faults)


if __name__ == "__main__":
    typer.run(soak)
