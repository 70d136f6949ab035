"""Tests of the report of days on the users' test bench."""

from functools import partial

import msgspec
import pytest

from ebonyshore_report.__main__ import write_report
from ebonyshore_report.batch_use import BatchUse, read_batch_use
from ebonyshore_report.day_report import (
    DayReport,
    Disruption,
    Outage,
    RequestShare,
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


def make_window(start_s, request_count, in_aim, worth=1.0):
    return Window(str(start_s), request_count, in_aim, request_count - in_aim, 0, 0, 0, worth)


@pytest.fixture
def day():
    windows = (make_window(6, 10, 10), make_window(8, 20, 5, worth=0.3), make_window(10, 10, 10))
    events = (Disruption(2.0, 3.0, "config_change"), Disruption(8.0, 9.0, "closing (kill_all)"))
    return DayReport(0.7, 0.8, windows, events)


def test_log_gives_outcomes_latencies_and_entry_starts():
    log = RequestLog(LOG.splitlines())
    assert log.outcomes == {"answered": 2, "overloaded": 1}
    assert log.percentile_ms(50) == 25 and log.percentile_ms(99) == 75
    assert log.entry_starts_s == {"edge-1": [-11.9, 9.5]}


def test_outage_lasts_from_the_disruption_to_the_first_restart(day):
    assert find_outages(day, {"edge-1": [-11.9, 9.5], "edge-2": [9.8]}) == [Outage(8.0, 9.5)]


def test_entry_that_keeps_running_prevents_an_outage(day):
    """Guards against an upper bound below the share of requests that could be served."""
    assert find_outages(day, {"edge-1": [-11.9, 9.5], "edge-2": [-11.9]}) == []


def test_bound_excludes_requests_whose_latency_target_passes_during_an_outage(day):
    assert on_time_bound(day, [], latency_target_ms=500.0) == 1.0
    # Of 20 requests in 2 s, those of the first second cannot be served on time.
    assert on_time_bound(day, [Outage(8.0, 9.5)], latency_target_ms=500.0) == pytest.approx(
        1 - 10 / 40
    )
    assert on_time_share(day) == pytest.approx(25 / 40)


def test_disruptions_around_a_window_are_listed(day):
    assert related_disruptions(day, day.windows[1]) == ["closing (kill_all)"]


def make_run(command, score, rules, start, name="quiet-1"):
    return {
        "cmd": command,
        "at": [start, start],
        "head": "0123456789",
        "site": "s",
        "score": score,
        "ok": True,
        "days": [{"name": name, "G": 0.9, "score": score, "rules": rules}],
    }


def test_report_shows_first_and_last_scores_and_violations(tmp_path, day):
    journal = tmp_path / "journal"
    journal.mkdir()
    runs = [
        make_run("score", 0.5, {}, "1"),
        make_run("score", 0.75, {}, "2"),
        make_run("hunt", None, {"LOST": 1}, "3"),
    ]
    for number, content in enumerate(runs):
        (journal / f"{number}.json").write_bytes(msgspec.json.encode(content))
    report_path = tmp_path / "trouble.json"
    report_path.write_bytes(msgspec.json.encode(day))
    report_path.with_suffix(".log").write_text(LOG)
    text = write_report(journal, tmp_path, [report_path], tmp_path / "out")
    assert "| s | quiet-1 | 0.900 | 0.900 | 0.500 | 0.750 |" in text
    assert "quiet-1: LOST 1" in text
    assert "| trouble | 0.700 | 0.625 |" in text
    assert {path.name for path in (tmp_path / "out").iterdir()} == {
        "report.md",
        "scores.png",
        "trouble.png",
    }


def test_error_names_a_file_that_is_no_day_report(tmp_path):
    report_path = tmp_path / "other.json"
    report_path.write_text("{}")
    with pytest.raises(ReportError, match="other.json"):
        write_report(tmp_path, tmp_path, [report_path], tmp_path)


def test_runs_of_own_days_are_counted_by_site_with_their_violations(tmp_path):
    """Guards against counting runs of older code, which started before ``since``."""
    (tmp_path / "cut-burst.toml").write_text(
        'plan = [{ at = 5.0, kind = "retire" }]\n'
        'faults = [{ at = 3.0, kind = "core_cut", how = "one_way" }]\n'
        'closing = { kind = "kill_all" }\n'
    )
    name = "deploy/days/cut-burst.toml --vary --seed 7"
    runs = [
        make_run("hunt", None, {"LOST": 2}, "2026-01-01", name),
        make_run("hunt", None, {}, "2026-01-02", name),
        make_run("run", None, {}, "2026-01-03", "cut-burst"),
    ]
    for number, content in enumerate(runs):
        (tmp_path / f"{number}.json").write_bytes(msgspec.json.encode(content))
    write = partial(write_report, tmp_path, tmp_path, [], tmp_path / "out")
    kinds = "core_cut (one_way), retire, closing kill_all"
    assert f"| cut-burst | {kinds} | 3 | s {name}: LOST |" in write()
    assert f"| cut-burst | {kinds} | 2 | none |" in write("2026-01-02")


BATCH_LOG = """
    1.0 storage-1 time_ms=1 event=batch_use open=9 running=8
    2.0 storage-1 time_ms=1 event=batch_use open=9 running=6
    2.0 storage-2 time_ms=1 event=batch_use open=9 running=4
    2.5 storage-1 time_ms=1 event=results_listed results=2 listed=2
    3.0 storage-2 time_ms=1 event=batch_use open=9 running=4
    9.0 storage-2 time_ms=1 event=batch_use open=9 running=4
   11.0 storage-2 time_ms=1 event=batch_use open=9 running=4
   11.0 storage-2 time_ms=1 event=results_listed results=4 listed=6
"""


def test_slots_of_batch_items_give_the_number_that_was_possible():
    """Guards against time without work, after a gap of the log, that counts as time in slots."""
    use = read_batch_use(BATCH_LOG.splitlines(), until_s=10.0)
    assert use == BatchUse(slot_s=10.0, completed=2, item_slot_s=2.0)
    assert use.possible == 5


def test_day_without_batch_items_has_no_bound():
    assert read_batch_use([], until_s=10.0).possible == 0


def test_report_shows_the_requests_before_and_after_a_change(tmp_path, day):
    share = RequestShare("ask", 10, 6, 1, 1, 1, 1, 0.75)
    after = msgspec.structs.replace(day, kinds=(share,), domains=(share,))
    before = msgspec.structs.replace(
        after, kinds=(msgspec.structs.replace(share, worth=0.5),), domains=()
    )
    (tmp_path / "before").mkdir()
    for folder, report in ((tmp_path, after), (tmp_path / "before", before)):
        (folder / "trouble.json").write_bytes(msgspec.json.encode(report))
    (tmp_path / "trouble.log").write_text(LOG + BATCH_LOG)
    (tmp_path / "journal").mkdir()
    text = write_report(
        tmp_path / "journal",
        tmp_path,
        [tmp_path / "trouble.json"],
        tmp_path / "out",
        before=tmp_path / "before",
    )
    assert "| ask | 10 | 6 | 1 | 1 | 1 | 1 | 0.750 | 0.500 |" in text
    assert "| ask | 10 | 6 | 1 | 1 | 1 | 1 | 0.750 | – |" in text
    assert "| window 8 | 20 | 5 | 15 | 0 | 0 | 0 | 0.300 | 0.300 |" in text
    assert "| trouble | 6 | 6 | 1.00 | 18 | 3.0 |" in text
