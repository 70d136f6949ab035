"""Writes the report: ``python -m ebonyshore_report [DAY.json ...]``.

Beside each ``DAY.json`` (``fleetbench run --report``) stands ``DAY.log`` (its output with
``--log all``).
"""

import argparse
import sys
from pathlib import Path

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_report.day_report import read_day_report
from ebonyshore_report.errors import ReportError
from ebonyshore_report.journal import read_runs
from ebonyshore_report.own_days import read_own_days
from ebonyshore_report.plots import save_plots
from ebonyshore_report.request_log import RequestLog
from ebonyshore_report.tables import LoggedDay, render_report

JOURNAL = Path("journal")
OWN_DAYS = Path("deploy/days")
DEFAULT_LATENCY_TARGET_MS = 400.0  # the longest of the first sites' routes
REPORT_FOLDER = Path("build/report")


def read_logged_day(path: Path) -> LoggedDay:
    """Return a day with its log.

    :raises ReportError: if one of the files is missing, or is something else.
    """
    try:
        day = read_day_report(path)
        with path.with_suffix(".log").open(encoding="utf-8", errors="replace") as lines:
            return LoggedDay(path.stem, day, RequestLog(lines))
    except OSError as error:
        raise ReportError(str(error)) from error


def write_report(
    journal: Path,
    own_days: Path,
    days: list[Path],
    folder: Path,
    since: str = "",
    latency_target_ms: float = DEFAULT_LATENCY_TARGET_MS,
) -> str:
    """Write ``report.md`` and the plots; return the text.

    :param own_days: folder of the repository's own days.
    :param days: reports of days that were played with their log.
    :param since: earliest start of hunts and plays that count, as ISO 8601 in UTC.
    :param latency_target_ms: the longest of the days' routes.
    :raises ReportError: if a file is not what it should be.
    """
    explained = [read_logged_day(path) for path in days]
    scores = read_runs(journal, "score")
    hunts = read_runs(journal, "hunt", since)
    plays = [*hunts, *read_runs(journal, "run", since)]
    text = render_report(
        scores, hunts, read_own_days(own_days, plays), explained, latency_target_ms
    )
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.md").write_text(text, encoding="utf-8")
    save_plots(scores, explained, folder)
    return text


def main() -> int:
    """Write the report that the arguments name; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m ebonyshore_report")
    parser.add_argument("days", nargs="*", type=Path, help="reports of played days")
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    parser.add_argument("--own-days", type=Path, default=OWN_DAYS)
    parser.add_argument("--folder", type=Path, default=REPORT_FOLDER)
    parser.add_argument(
        "--since", default="", help="earliest start of hunts, as 2026-01-31T00:00:00Z"
    )
    parser.add_argument("--latency-target-ms", type=float, default=DEFAULT_LATENCY_TARGET_MS)
    options = parser.parse_args()
    try:
        print(
            write_report(
                options.journal,
                options.own_days,
                options.days,
                options.folder,
                options.since,
                options.latency_target_ms,
            )
        )
    except EbonyshoreError as error:
        print(error, file=sys.stderr)
        return int(error.code)
    return 0


if __name__ == "__main__":
    sys.exit(main())
