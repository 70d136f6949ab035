"""The loads that processes report to each other."""

from ebonyshore.link.load_board import (
    MUTUAL_LIFE_MS,
    REPORT_LIFE_MS,
    LoadBoard,
    LoadReport,
    TargetCounts,
)


def report(sender, sequence=1, role="runner", incarnation="run-1", counts=None, heard=()):
    return LoadReport(sender, incarnation, sequence, role, counts or {}, 0, heard)


def test_sums_leave_out_the_process_that_they_are_for():
    board = LoadBoard("r1")
    board.note(report("e1", role="entry", counts={"t1": TargetCounts(3, 0)}), 0.0)
    board.note(report("e2", role="entry", counts={"t1": TargetCounts(1, 0)}), 0.0)
    board.note(report("r2", counts={"t1": TargetCounts(0, 2)}), 0.0)
    assert board.totals() == {"t1": TargetCounts(4, 2)}
    assert board.totals(without="e1") == {"t1": TargetCounts(1, 2)}


def test_an_old_datagram_does_not_replace_a_newer_one():
    board = LoadBoard("r1")
    assert board.note(report("e1", 5, counts={"t1": TargetCounts(1, 0)}), 0.0)
    assert not board.note(report("e1", 4, counts={"t1": TargetCounts(9, 0)}), 0.0)
    assert board.totals() == {"t1": TargetCounts(1, 0)}


def test_a_new_run_of_a_process_starts_its_sequence_anew():
    board = LoadBoard("r1")
    board.note(report("e1", 5), 0.0)
    assert board.note(report("e1", 1, incarnation="run-2"), 0.0)


def test_a_silent_process_stops_counting_but_its_last_sign_is_known():
    """Guards against a silent owner's jobs being claimed as if it had never been heard."""
    board = LoadBoard("r1")
    board.note(report("r2", counts={"t1": TargetCounts(0, 2)}), 100.0)
    board.drop_expired(101.0 + REPORT_LIFE_MS)
    assert board.totals() == {}
    assert board.sign_of("r2").at_ms == 100.0


def test_hearing_is_mutual_only_if_both_hear_and_only_for_a_while():
    """Guards against an owner that is cut one way answering reads from an old listing."""
    board = LoadBoard("r1")
    board.note(report("r2", 1), 0.0)
    assert not board.is_mutual("r2", 0.0)
    board.note(report("r2", 2, heard=("r1",)), 0.0)
    assert board.is_mutual("r2", MUTUAL_LIFE_MS - 1)
    assert not board.is_mutual("r2", MUTUAL_LIFE_MS)
    assert not board.is_mutual("r3", 0.0)
