"""The loads that processes report to each other."""

from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.load_board import (
    LOST_BATCH_MS,
    MUTUAL_LIFE_MS,
    REPORT_LIFE_MS,
    LoadBoard,
    LoadReport,
    LoadTotals,
    TargetCounts,
    merge_totals,
)


def report(sender, sequence=1, role="runner", incarnation="run-1", counts=None, heard=()):
    return LoadReport(sender, incarnation, sequence, role, counts or {}, 0, heard)


def test_sums_leave_out_the_process_that_they_are_for():
    board = LoadBoard("r1")
    board.note(report("e1", role="entry", counts={"t1": TargetCounts(3, 0)}), 0.0)
    board.note(report("e2", role="entry", counts={"t1": TargetCounts(1, 0)}), 0.0)
    board.note(report("r2", counts={"t1": TargetCounts(0, 2)}), 0.0)
    assert board.totals(0.0) == {"t1": TargetCounts(4, 2)}
    assert board.totals(0.0, without="e1") == {"t1": TargetCounts(1, 2)}


def test_an_old_datagram_does_not_replace_a_newer_one():
    board = LoadBoard("r1")
    assert board.note(report("e1", 5, counts={"t1": TargetCounts(1, 0)}), 0.0)
    assert not board.note(report("e1", 4, counts={"t1": TargetCounts(9, 0)}), 0.0)
    assert board.totals(0.0) == {"t1": TargetCounts(1, 0)}


def test_a_new_run_of_a_process_starts_its_sequence_anew():
    board = LoadBoard("r1")
    board.note(report("e1", 5), 0.0)
    assert board.note(report("e1", 1, incarnation="run-2"), 0.0)


def test_a_silent_process_stops_counting_but_its_last_sign_is_known():
    """Guards against a silent owner's jobs being claimed as if it had never been heard."""
    board = LoadBoard("r1")
    board.note(report("r2", counts={"t1": TargetCounts(0, 2)}), 100.0)
    board.drop_expired(101.0 + LOST_BATCH_MS)
    assert board.totals(101.0 + LOST_BATCH_MS) == {}
    assert board.sign_of("r2").at_ms == 100.0


def test_what_a_lost_machine_had_at_targets_still_takes_places_for_a_while():
    """Load pattern: a runner's machine loses power; no connection is closed, and its items run on
    at the targets, where online requests would wait behind them."""
    board = LoadBoard("r1")
    board.note(report("r2", counts={"t1": TargetCounts(2, 5)}), 0.0)
    board.drop_expired(REPORT_LIFE_MS + 1)
    assert board.totals(REPORT_LIFE_MS + 1)["t1"] == TargetCounts(0, 4)
    assert board.totals(LOST_BATCH_MS / 2)["t1"] == TargetCounts(0, 3)
    board.note(report("r2", 1, incarnation="run-2"), LOST_BATCH_MS / 2)
    assert board.totals(LOST_BATCH_MS / 2) == {}


def test_hearing_is_mutual_only_if_both_hear_and_only_for_a_while():
    """Guards against an owner that is cut one way answering reads from an old listing."""
    board = LoadBoard("r1")
    board.note(report("r2", 1), 0.0)
    assert not board.is_mutual("r2", 0.0)
    board.note(report("r2", 2, heard=("r1",)), 0.0)
    assert board.is_mutual("r2", MUTUAL_LIFE_MS - 1)
    assert not board.is_mutual("r2", MUTUAL_LIFE_MS)
    assert not board.is_mutual("r3", 0.0)


def totals(sender, runners, **counts):
    return LoadTotals(sender, "run-1", 1, counts, dict.fromkeys(runners, 0))


def test_sums_of_runners_that_do_not_hear_each_other_are_joined():
    """Load pattern: a cut between runners; both sides fill the same targets with batch items."""
    one = totals("r1", ["r1", "r2"], t1=TargetCounts(3, 5))
    other = totals("r3", ["r3"], t1=TargetCounts(2, 4), t2=TargetCounts(1, 0))
    merged = merge_totals([one, other])
    assert merged == {"t1": TargetCounts(3, 9), "t2": TargetCounts(1, 0)}


def test_sums_that_count_a_runner_twice_are_not_joined():
    newer = totals("r1", ["r1", "r2"], t1=TargetCounts(3, 5))
    older = totals("r2", ["r1", "r2"], t1=TargetCounts(3, 6))
    assert merge_totals([newer, older]) == {"t1": TargetCounts(3, 5)}


def test_an_entry_tells_both_sides_of_a_cut_what_it_sees():
    view = LoadView("fd-a", lambda: None)
    view.update_totals(totals("r1", ["r1"], t1=TargetCounts(0, 5)), 0.0)
    assert view.seen_batch() == {}
    view.update_totals(totals("r2", ["r2"], t1=TargetCounts(0, 4)), 10.0)
    assert view.seen_batch() == {"t1": 9} and set(view.open_items_by_runner) == {"r1", "r2"}
    view.update_totals(totals("r1", ["r1"], t1=TargetCounts(0, 5)), 900.0)
    assert view.seen_batch() == {}
    board = LoadBoard("r1")
    board.note(LoadReport("e1", "run-1", 1, "entry", {}, seen_batch={"t1": 9}), 0.0)
    assert board.seen_batch("t1") == 9 and board.seen_batch("t2") == 0
