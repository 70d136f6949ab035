"""Renders the report as Markdown."""

from collections.abc import Sequence

from msgspec import Struct

from ebonyshore_bench.markdown_table import table
from ebonyshore_report.batch_use import BatchUse
from ebonyshore_report.day_report import (
    DayReport,
    RequestShare,
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
    """The report of a day with the log of this system's processes.

    :param name: name of the report's file without suffix.
    :param batch: the slots of batch items until the end of the last window.
    :param before: the report of the same day before a change; ``None`` if there is none.
    """

    name: str
    day: DayReport
    log: RequestLog
    batch: BatchUse
    before: DayReport | None = None


def render_report(
    scores: Sequence[Run],
    hunts: Sequence[Run],
    own_days: Sequence[OwnDay],
    days: Sequence[LoggedDay],
    latency_target_ms: float,
) -> str:
    """Return the whole report as Markdown.

    :param scores: runs of the command ``score``, oldest first.
    :param hunts: runs of the command ``hunt``, oldest first.
    :param own_days: days of this repository with their runs.
    :param days: days with reports and logs; without any, their sections are left out.
    :param latency_target_ms: time within which a request has to be served, for the upper bound.
    """
    lines = ["# Days on the users' bench", "", "## Scores", "", *_score_table(scores)]
    lines += ["", "## First and last score of each day", "", *_first_and_last_table(scores)]
    lines += ["", "## Hunts", "", *_hunt_table(hunts)]
    lines += ["", "## Own days", "", *_own_day_table(own_days)]
    if days:
        lines += [
            "",
            "## Upper bound of the requests served on time",
            "",
            *_bound_table(days, latency_target_ms),
        ]
        lines += ["", "## Outcomes of requests", "", *_outcome_table(days)]
        lines += ["", "## Batch items and what their slots allow", "", *_batch_table(days)]
        for logged_day in days:
            lines += ["", f"## Requests of {logged_day.name}", "", *_share_table(logged_day)]
    return "\n".join(lines) + "\n"


def _score_table(runs: Sequence[Run]) -> list[str]:
    head = ["Start", "Commit", "Site", "Score", "Lowest worth of a day", "Rule violations"]
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
    for site, site_runs in group_by_site(list(runs)).items():
        first_days = {day.name: day for day in site_runs[0].days}
        for day in site_runs[-1].days:
            first_day = first_days.get(day.name)
            if first_day is not None:
                rows.append(
                    [
                        site,
                        day.name,
                        _format_number(first_day.worth),
                        _format_number(day.worth),
                        _format_number(first_day.score),
                        _format_number(day.score),
                    ]
                )
    return table(head, rows)


def _hunt_table(runs: Sequence[Run]) -> list[str]:
    head = ["Start", "Commit", "Site", "Days", "Rule violations"]
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
    head = ["Day", "Fault kinds", *sites, "Rule violations"]
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
    head = [
        "Day",
        "Worth",
        "Served on time",
        "Bound",
        "Without an entry, s",
        "Worst window",
        "Then",
    ]
    rows: list[list[str]] = []
    for logged_day in days:
        outages = find_outages(logged_day.day, logged_day.log.entry_starts_s)
        times = ", ".join(f"{outage.start_s:.1f}–{outage.end_s:.1f}" for outage in outages)
        (worst,) = worst_windows(logged_day.day, 1)
        rows.append(
            [
                logged_day.name,
                _format_number(logged_day.day.worth),
                _format_number(on_time_share(logged_day.day)),
                _format_number(on_time_bound(logged_day.day, outages, latency_target_ms)),
                times or "–",
                f"{worst.name} s: {worst.worth:.2f}",
                ", ".join(related_disruptions(logged_day.day, worst)) or "–",
            ]
        )
    return table(head, rows)


def _outcome_table(days: Sequence[LoggedDay]) -> list[str]:
    outcome_names = sorted({name for logged_day in days for name in logged_day.log.outcomes})
    head = ["Day", "First event p50 ms", "p99 ms", *outcome_names]
    rows = [
        [
            logged_day.name,
            f"{logged_day.log.percentile_ms(50):.0f}",
            f"{logged_day.log.percentile_ms(99):.0f}",
            *(str(logged_day.log.outcomes[name]) for name in outcome_names),
        ]
        for logged_day in days
    ]
    return table(head, rows)


def _batch_table(days: Sequence[LoggedDay]) -> list[str]:
    head = ["Day", "Completed", "Possible", "Share", "Time in slots s", "Of an item s"]
    rows = [
        [
            logged_day.name,
            str(logged_day.batch.completed),
            str(logged_day.batch.possible),
            _format_share(logged_day.batch.completed, logged_day.batch.possible),
            f"{logged_day.batch.slot_s:.0f}",
            f"{logged_day.batch.item_slot_s:.1f}",
        ]
        for logged_day in days
    ]
    return table(head, rows)


def _share_table(logged_day: LoggedDay) -> list[str]:
    """Return the requests by kind, failure domain and window, with the worth before a change."""
    head = ["", "Asked", "In time", "Late", "Refused", "Failed", "Not owed", "Worth", "Before"]
    day, before = logged_day.day, logged_day.before
    rows: list[list[str]] = []
    for prefix, shares, shares_before in (
        ("", day.kinds, before.kinds if before else ()),
        ("", day.domains, before.domains if before else ()),
        ("window ", day.windows, before.windows if before else ()),
    ):
        worth_before = {share.name: share.worth for share in shares_before}
        rows += [_share_row(prefix, share, worth_before.get(share.name)) for share in shares]
    return table(head, rows)


def _share_row(prefix: str, share: RequestShare, worth_before: float | None) -> list[str]:
    counts = (
        share.request_count,
        share.in_aim,
        share.late,
        share.refused,
        share.failed,
        share.not_owed,
    )
    worths = (_format_number(share.worth), _format_number(worth_before))
    return [prefix + share.name, *map(str, counts), *worths]


def _format_share(part: int, total: int) -> str:
    return f"{part / total:.2f}" if total else "–"


def _format_violations(run: Run) -> str:
    violations = [
        f"{day.name}: {rule} {count}"
        for day in run.days
        for rule, count in day.broken_rules.items()
    ]
    return "; ".join(violations) or "none"


def _format_number(value: float | None) -> str:
    return "–" if value is None else f"{value:.3f}"
