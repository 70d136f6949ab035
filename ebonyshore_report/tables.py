"""The report as Markdown."""

from collections.abc import Sequence

from msgspec import Struct

from ebonyshore_bench.markdown_table import table
from ebonyshore_report.day_report import (
    DayReport,
    find_outages,
    on_time_bound,
    on_time_share,
    related_disruptions,
    worst_windows,
)
from ebonyshore_report.journal import Run, group_by_site
from ebonyshore_report.own_days import OwnDay
from ebonyshore_report.request_log import RequestLog

COMMIT_LENGTH = 7


class LoggedDay(Struct, frozen=True):
    """A day with the log that our processes wrote in it."""

    name: str
    day: DayReport
    log: RequestLog


def render_report(
    scores: Sequence[Run],
    hunts: Sequence[Run],
    own_days: Sequence[OwnDay],
    days: Sequence[LoggedDay],
    latency_target_ms: float,
) -> str:
    """Return the whole report.

    :param own_days: with their plays.
    :param days: that were played with their log.
    :param latency_target_ms: time within which a request has to be served, for the bound.
    """
    lines = ["# Days on the users' bench", "", "## Scores", "", *_score_table(scores)]
    lines += ["", "## First and last score of each day", "", *_first_and_last_table(scores)]
    lines += ["", "## Hunts", "", *_hunt_table(hunts)]
    lines += ["", "## Own days", "", *_own_day_table(own_days)]
    if days:
        lines += ["", "## What binds", "", *_bound_table(days, latency_target_ms)]
        lines += ["", "## How requests ended", "", *_outcome_table(days)]
    return "\n".join(lines) + "\n"


def _score_table(runs: Sequence[Run]) -> list[str]:
    head = ["Start", "Commit", "Site", "Score", "Least worth of a day", "Rules broken"]
    rows = [
        [
            run.times[0],
            run.commit[:COMMIT_LENGTH],
            run.site or "–",
            _format_number(run.score),
            _format_number(
                min((day.worth for day in run.days if day.worth is not None), default=None)
            ),
            _format_violations(run),
        ]
        for run in runs
    ]
    return table(head, rows)


def _first_and_last_table(runs: Sequence[Run]) -> list[str]:
    head = ["Site", "Day", "Worth, first", "Worth, last", "Score, first", "Score, last"]
    rows: list[list[str]] = []
    for site, of_site in group_by_site(list(runs)).items():
        first = {day.name: day for day in of_site[0].days}
        for day in of_site[-1].days:
            before = first.get(day.name)
            if before is not None:
                rows.append(
                    [
                        site,
                        day.name,
                        _format_number(before.worth),
                        _format_number(day.worth),
                        _format_number(before.score),
                        _format_number(day.score),
                    ]
                )
    return table(head, rows)


def _hunt_table(runs: Sequence[Run]) -> list[str]:
    head = ["Start", "Commit", "Site", "Days", "Rules broken"]
    rows = [
        [
            run.times[0],
            run.commit[:COMMIT_LENGTH],
            run.site or "–",
            str(len(run.days)),
            _format_violations(run),
        ]
        for run in runs
    ]
    return table(head, rows)


def _own_day_table(days: Sequence[OwnDay]) -> list[str]:
    sites = sorted({site for day in days for site in day.run_counts})
    head = ["Day", "Kinds of trouble", *sites, "Rules broken"]
    rows = [
        [
            day.name,
            ", ".join(day.fault_kinds),
            *(str(day.run_counts.get(site, 0)) for site in sites),
            "; ".join(day.violations) or "none",
        ]
        for day in days
    ]
    return table(head, rows)


def _bound_table(days: Sequence[LoggedDay], latency_target_ms: float) -> list[str]:
    head = ["Day", "Worth", "Served on time", "Bound", "No entry ran, s", "Worst window", "Then"]
    rows: list[list[str]] = []
    for found in days:
        outages = find_outages(found.day, found.log.entry_starts_s)
        times = ", ".join(f"{outage.start_s:.1f}–{outage.end_s:.1f}" for outage in outages)
        (worst,) = worst_windows(found.day, 1)
        rows.append(
            [
                found.name,
                _format_number(found.day.worth),
                _format_number(on_time_share(found.day)),
                _format_number(on_time_bound(found.day, outages, latency_target_ms)),
                times or "–",
                f"{worst.name} s: {worst.worth:.2f}",
                ", ".join(related_disruptions(found.day, worst)) or "–",
            ]
        )
    return table(head, rows)


def _outcome_table(days: Sequence[LoggedDay]) -> list[str]:
    names = sorted({name for found in days for name in found.log.outcomes})
    head = ["Day", "First event p50 ms", "p99 ms", *names]
    rows = [
        [
            found.name,
            f"{found.log.percentile_ms(50):.0f}",
            f"{found.log.percentile_ms(99):.0f}",
            *(str(found.log.outcomes[name]) for name in names),
        ]
        for found in days
    ]
    return table(head, rows)


def _format_violations(run: Run) -> str:
    found = [
        f"{day.name}: {rule} {count}"
        for day in run.days
        for rule, count in day.broken_rules.items()
    ]
    return "; ".join(found) or "none"


def _format_number(value: float | None) -> str:
    return "–" if value is None else f"{value:.3f}"
