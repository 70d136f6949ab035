"""Writes the report: ``python -m ebonyshore_report [DAY.json ...]``.

Each ``DAY.json`` is written by ``fleetbench run --report``. The same folder has to contain
``DAY.log``, the output of that command with ``--log all``.
"""

import argparse
import sys
from pathlib import Path

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_report.batch_use import read_batch_use
from ebonyshore_report.day_report import read_day_report
from ebonyshore_report.errors import ReportError
from ebonyshore_report.journal import read_runs
from ebonyshore_report.own_days import read_own_days
from ebonyshore_report.plots import save_plots
from ebonyshore_report.request_log import RequestLog
from ebonyshore_report.tables import LoggedDay, render_report

JOURNAL = Path("journal")
OWN_DAYS = Path("deploy/days")
# Longest latency target of the routes of the first sites.
DEFAULT_LATENCY_TARGET_MS = 400.0
REPORT_FOLDER = Path("build/report")


def read_logged_day(path: Path, before: Path | None = None) -> LoggedDay:
    """Return the report of a day with its log.

    :param path: ``DAY.json``, next to ``DAY.log``.
    :param before: folder with reports of the same names from before a change.
    :raises ReportError: if one of the files cannot be read, or the first is not a day report.
    """
    try:
        day = read_day_report(path)
        with path.with_suffix(".log").open(encoding="utf-8", errors="replace") as lines:
            log = list(lines)
        earlier = read_day_report(before / path.name) if before is not None else None
        batch = read_batch_use(log, day.end_s)
        return LoggedDay(path.stem, day, RequestLog(log), batch, earlier)
    except OSError as error:
        raise ReportError(str(error)) from error


def write_report(
    journal: Path,
    own_days: Path,
    days: list[Path],
    folder: Path,
    since: str = "",
    latency_target_ms: float = DEFAULT_LATENCY_TARGET_MS,
    before: Path | None = None,
) -> str:
    """Write ``report.md`` and the plots; return the text.

    :param journal: folder in which the bench keeps one file for each run.
    :param own_days: folder with the definitions of the repository's own days.
    :param days: day reports, each with its log next to it.
    :param folder: folder for the report, created if it is missing.
    :param since: earliest start of the hunts and single runs that count, as ISO 8601 in UTC; all if
        empty.
    :param latency_target_ms: longest latency target of the routes in the days.
    :param before: folder with reports of the same days from before a change, for a comparison.
    :raises ReportError: if a source file is missing or has another format.
    """
    logged_days = [read_logged_day(path, before) for path in days]
    scores = read_runs(journal, "score")
    hunts = read_runs(journal, "hunt", since)
    day_runs = [*hunts, *read_runs(journal, "run", since)]
    text = render_report(
        scores, hunts, read_own_days(own_days, day_runs), logged_days, latency_target_ms
    )
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.md").write_text(text, encoding="utf-8")
    save_plots(scores, logged_days, folder)
    return text


def main() -> int:
    """Write the report that the arguments describe; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m ebonyshore_report")
    parser.add_argument(
        "days", nargs="*", type=Path, help="day reports, with their logs next to them"
    )
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    parser.add_argument("--own-days", type=Path, default=OWN_DAYS)
    parser.add_argument("--folder", type=Path, default=REPORT_FOLDER)
    parser.add_argument(
        "--since",
        default="",
        help="earliest start of the hunts and runs that count, such as 2026-01-31T00:00:00Z",
    )
    parser.add_argument("--latency-target-ms", type=float, default=DEFAULT_LATENCY_TARGET_MS)
    parser.add_argument(
        "--before", type=Path, help="folder with reports of the same days from before a change"
    )
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
                options.before,
            )
        )
    except EbonyshoreError as error:
        print(error, file=sys.stderr)
        return int(error.code)
    return 0


if __name__ == "__main__":
    sys.exit(main())
