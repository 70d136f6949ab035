"""Load reports that processes send to each other, and the totals over them."""

from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.load_report_sender import UNCHANGED_INTERVAL_MS, LoadReportSender
from ebonyshore.link.load_table import (
    LOST_BATCH_DECAY_MS,
    MUTUAL_TIMEOUT_MS,
    REPORT_TIMEOUT_MS,
    LoadReport,
    LoadTable,
    LoadTotals,
    TargetCounts,
    merge_totals,
)
from ebonyshore.link.peers import PeerRecord


def make_report(
    sender, sequence=1, role="runner", incarnation="run-1", counts=None, heard_runners=()
):
    return LoadReport(sender, incarnation, sequence, role, counts or {}, 0, heard_runners)


def test_totals_exclude_the_process_that_receives_them():
    load_table = LoadTable("r1")
    load_table.add_report(make_report("e1", role="entry", counts={"t1": TargetCounts(3, 0)}), 0.0)
    load_table.add_report(make_report("e2", role="entry", counts={"t1": TargetCounts(1, 0)}), 0.0)
    load_table.add_report(make_report("r2", counts={"t1": TargetCounts(0, 2)}), 0.0)
    assert load_table.totals(0.0) == {"t1": TargetCounts(4, 2)}
    assert load_table.totals(0.0, excluded="e1") == {"t1": TargetCounts(1, 2)}


def test_an_outdated_report_does_not_replace_a_newer_one():
    load_table = LoadTable("r1")
    assert load_table.add_report(make_report("e1", 5, counts={"t1": TargetCounts(1, 0)}), 0.0)
    assert not load_table.add_report(make_report("e1", 4, counts={"t1": TargetCounts(9, 0)}), 0.0)
    assert load_table.totals(0.0) == {"t1": TargetCounts(1, 0)}


def test_a_restarted_process_may_start_its_sequence_again():
    load_table = LoadTable("r1")
    load_table.add_report(make_report("e1", 5), 0.0)
    assert load_table.add_report(make_report("e1", 1, incarnation="run-2"), 0.0)


def test_a_lost_process_no_longer_counts_but_is_known_as_last_seen():
    """Guards against claiming the jobs of a lost owner as if it had never been seen."""
    load_table = LoadTable("r1")
    load_table.add_report(make_report("r2", counts={"t1": TargetCounts(0, 2)}), 100.0)
    load_table.drop_expired(101.0 + LOST_BATCH_DECAY_MS)
    assert load_table.totals(101.0 + LOST_BATCH_DECAY_MS) == {}
    assert load_table.last_seen("r2").at_ms == 100.0


def test_requests_of_a_lost_instance_still_count_for_a_while():
    """A runner's instance loses power. Its connections are not closed, so its items continue to run
    at the targets, and online requests that ignored them would be queued behind them."""
    load_table = LoadTable("r1")
    load_table.add_report(make_report("r2", counts={"t1": TargetCounts(2, 5)}), 0.0)
    load_table.drop_expired(REPORT_TIMEOUT_MS + 1)
    assert load_table.totals(REPORT_TIMEOUT_MS + 1)["t1"] == TargetCounts(0, 4)
    assert load_table.totals(LOST_BATCH_DECAY_MS / 2)["t1"] == TargetCounts(0, 3)
    load_table.add_report(make_report("r2", 1, incarnation="run-2"), LOST_BATCH_DECAY_MS / 2)
    assert load_table.totals(LOST_BATCH_DECAY_MS / 2) == {}


def test_mutually_heard_requires_recent_reports_in_both_directions():
    """Guards against an owner that answers reads with outdated results: it receives the reports of
    the other runners, but they do not receive its own and have taken over its jobs."""
    load_table = LoadTable("r1")
    load_table.add_report(make_report("r2", 1), 0.0)
    assert not load_table.is_mutually_heard("r2", 0.0)
    load_table.add_report(make_report("r2", 2, heard_runners=("r1",)), 0.0)
    assert load_table.is_mutually_heard("r2", MUTUAL_TIMEOUT_MS - 1)
    assert not load_table.is_mutually_heard("r2", MUTUAL_TIMEOUT_MS)
    assert not load_table.is_mutually_heard("r3", 0.0)


def make_totals(sender, runners, **counts):
    return LoadTotals(sender, "run-1", 1, counts, dict.fromkeys(runners, 0))


def test_totals_of_separated_runners_are_merged():
    """In a partition between runners, both sides send batch items to the same targets."""
    first = make_totals("r1", ["r1", "r2"], t1=TargetCounts(3, 5))
    second = make_totals("r3", ["r3"], t1=TargetCounts(2, 4), t2=TargetCounts(1, 0))
    merged = merge_totals([first, second])
    assert merged == {"t1": TargetCounts(3, 9), "t2": TargetCounts(1, 0)}


def test_totals_that_include_the_same_runner_are_not_added():
    newer = make_totals("r1", ["r1", "r2"], t1=TargetCounts(3, 5))
    older = make_totals("r2", ["r1", "r2"], t1=TargetCounts(3, 6))
    assert merge_totals([newer, older]) == {"t1": TargetCounts(3, 5)}


def test_an_entry_reports_batch_counts_to_both_sides_of_a_partition():
    view = LoadView("fd-a", lambda: None)
    view.update_totals(make_totals("r1", ["r1"], t1=TargetCounts(0, 5)), 0.0)
    assert view.observed_batch() == {}
    view.update_totals(make_totals("r2", ["r2"], t1=TargetCounts(0, 4)), 10.0)
    assert view.observed_batch() == {"t1": 9} and set(view.open_items_by_runner) == {"r1", "r2"}
    view.update_totals(make_totals("r1", ["r1"], t1=TargetCounts(0, 5)), 900.0)
    assert view.observed_batch() == {}
    load_table = LoadTable("r1")
    load_table.add_report(LoadReport("e1", "run-1", 1, "entry", {}, observed_batch={"t1": 9}), 0.0)
    load_table.add_report(LoadReport("e2", "run-1", 1, "entry", {}, observed_batch={"t1": 4}), 0.0)
    assert load_table.observed_batch() == {"t1": 9}


class RecordingSocket:
    def __init__(self):
        self.sent = []

    def send(self, message, _addresses):
        self.sent.append(message)


class RunnerPeers:
    own = PeerRecord("r1", "runner", "10.0.0.1", 7000, "fd-a", "run-1")

    def addresses(self, _role):
        return [("10.0.0.2", 7000)]


def test_a_report_that_says_nothing_new_is_sent_only_as_a_heartbeat():
    """Load pattern: a runner receives hundreds of reports a second, and each one wakes it."""
    counts = {"t1": TargetCounts(1, 0)}
    sender = LoadReportSender(RunnerPeers(), lambda: dict(counts))
    socket = RecordingSocket()
    for at_ms in range(0, 1_000, 20):
        sender.send(socket, float(at_ms))
    assert len(socket.sent) == 1_000 / UNCHANGED_INTERVAL_MS
    counts["t1"] = TargetCounts(2, 0)
    sender.send(socket, 1_000.0 - 20.0)
    sender.send(socket, 1_000.0 - 19.0)
    assert [report.counts["t1"].online for report in socket.sent[-2:]] == [1, 2]
    sequences = [report.sequence for report in socket.sent]
    assert sequences == sorted(set(sequences))
