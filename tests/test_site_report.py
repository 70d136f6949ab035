"""The report of days that the users' bench has played."""

from functools import partial

import msgspec
import pytest

from ebonyshore_report.__main__ import write_report
from ebonyshore_report.day_report import (
    DayReport,
    Disruption,
    Outage,
    Window,
    find_outages,
    on_time_bound,
    on_time_share,
    related_disruptions,
)
from ebonyshore_report.errors import ReportError
from ebonyshore_report.request_log import RequestLog

LOG = """
waiting for a core
  -11.9 edge-1 time_ms=1 event=process_started instance_id=edge-1 role=entry
  -11.9 storage-1 time_ms=1 event=process_started instance_id=storage-1 role=runner
    1.2 edge-1 time_ms=2 event=request_ended request=a outcome=answered first_event_ms=25.4 runs=1
    1.4 edge-1 time_ms=3 event=request_ended request=b outcome=answered first_event_ms=75.0 runs=1
    1.5 edge-1 time_ms=3 event=request_ended request=c outcome=overloaded detail="a b=c" runs=0
    9.5 edge-1 time_ms=4 event=process_started instance_id=edge-1 role=entry
"""


def window(start_s, asked, in_aim, worth=1.0):
    return Window(str(start_s), asked, in_aim, asked - in_aim, 0, 0, 0, worth)


@pytest.fixture
def day():
    windows = (window(6, 10, 10), window(8, 20, 5, worth=0.3), window(10, 10, 10))
    events = (Disruption(2.0, 3.0, "config_change"), Disruption(8.0, 9.0, "closing (kill_all)"))
    return DayReport(0.7, 0.8, windows, events)


def test_the_log_tells_ends_times_and_starts():
    log = RequestLog(LOG.splitlines())
    assert log.outcomes == {"answered": 2, "overloaded": 1}
    assert log.percentile_ms(50) == 25 and log.percentile_ms(99) == 75
    assert log.entry_starts_s == {"edge-1": [-11.9, 9.5]}


def test_no_entry_runs_from_the_disruption_to_the_first_start(day):
    assert find_outages(day, {"edge-1": [-11.9, 9.5], "edge-2": [9.8]}) == [Outage(8.0, 9.5)]


def test_one_entry_that_goes_on_leaves_no_outage(day):
    """Guards against a bound below what could be served."""
    assert find_outages(day, {"edge-1": [-11.9, 9.5], "edge-2": [-11.9]}) == []


def test_the_bound_loses_requests_whose_whole_time_passes_without_an_entry(day):
    assert on_time_bound(day, [], latency_target_ms=500.0) == 1.0
    # 20 requests in 2 s, of which those of the first second cannot be served in time.
    assert on_time_bound(day, [Outage(8.0, 9.5)], latency_target_ms=500.0) == pytest.approx(
        1 - 10 / 40
    )
    assert on_time_share(day) == pytest.approx(25 / 40)


def test_a_window_is_explained_by_what_happened_then(day):
    assert related_disruptions(day, day.windows[1]) == ["closing (kill_all)"]


def run(command, score, rules, start, name="quiet-1"):
    return {
        "cmd": command,
        "at": [start, start],
        "head": "0123456789",
        "site": "s",
        "score": score,
        "ok": True,
        "days": [{"name": name, "G": 0.9, "score": score, "rules": rules}],
    }


def test_the_report_shows_before_and_after_and_what_broke(tmp_path, day):
    journal = tmp_path / "journal"
    journal.mkdir()
    runs = [
        run("score", 0.5, {}, "1"),
        run("score", 0.75, {}, "2"),
        run("hunt", None, {"LOST": 1}, "3"),
    ]
    for number, found in enumerate(runs):
        (journal / f"{number}.json").write_bytes(msgspec.json.encode(found))
    played = tmp_path / "trouble.json"
    played.write_bytes(msgspec.json.encode(day))
    played.with_suffix(".log").write_text(LOG)
    text = write_report(journal, tmp_path, [played], tmp_path / "out")
    assert "| s | quiet-1 | 0.900 | 0.900 | 0.500 | 0.750 |" in text
    assert "quiet-1: LOST 1" in text
    assert "| trouble | 0.700 | 0.625 |" in text
    assert {path.name for path in (tmp_path / "out").iterdir()} == {
        "report.md",
        "scores.png",
        "trouble.png",
    }


def test_a_file_that_is_no_report_is_named(tmp_path):
    played = tmp_path / "other.json"
    played.write_text("{}")
    with pytest.raises(ReportError, match="other.json"):
        write_report(tmp_path, tmp_path, [played], tmp_path)


def test_own_days_are_counted_by_site_with_what_broke(tmp_path):
    """Guards against a matrix that counts plays of code before ``since``."""
    (tmp_path / "cut-burst.toml").write_text(
        'plan = [{ at = 5.0, kind = "retire" }]\n'
        'faults = [{ at = 3.0, kind = "core_cut", how = "one_way" }]\n'
        'closing = { kind = "kill_all" }\n'
    )
    name = "deploy/days/cut-burst.toml --vary --seed 7"
    runs = [
        run("hunt", None, {"LOST": 2}, "2026-01-01", name),
        run("hunt", None, {}, "2026-01-02", name),
        run("run", None, {}, "2026-01-03", "cut-burst"),
    ]
    for number, found in enumerate(runs):
        (tmp_path / f"{number}.json").write_bytes(msgspec.json.encode(found))
    write = partial(write_report, tmp_path, tmp_path, [], tmp_path / "out")
    kinds = "core_cut (one_way), retire, closing kill_all"
    assert f"| cut-burst | {kinds} | 3 | s {name}: LOST |" in write()
    assert f"| cut-burst | {kinds} | 2 | none |" in write("2026-01-02")
