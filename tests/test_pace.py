"""Limits of targets that return to service: the rule, its sharing, and a replay of many entries."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.balance import TargetLoad, limit_returning
from ebonyshore.host.pace import (
    MAX_TRIAL_PAUSE_MS,
    MIN_TRIAL_PAUSE_MS,
    OTHERS_TIMEOUT_MS,
    PaceAllowance,
    PaceChange,
    TargetPace,
)
from ebonyshore.host.pace_exchange import CHANGE_SENDS, REPEAT_INTERVAL_MS, PaceExchange
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.pace_messages import PaceCounts, PaceReport
from tests.gateway_setup import Gateway, make_route, status_of
from tests.pace_replay import Replay
from tests.scripted_target import ScriptedTarget, send_complete_stream


def make_entry(target_id="t1", started_ms=1):
    return TargetEntry(target_id, "svc", "10.0.0.9:80", "fd-a", 8, started_ms=started_ms)


def make_pace(process_count=1):
    """Return a pace with a target that returns at 0 ms; others answer after 50 ms."""
    pace, target = TargetPace(lambda: process_count), Target(make_entry())
    for _ in range(50):
        pace.delays.record("r1", 50.0)
    pace.start(target, 0.0)
    return pace, target


def answer(pace, target, sent_ms, delay_ms=50.0):
    pace.record_answer(target, "r1", sent_ms, sent_ms + delay_ms)


def allowance(pace, target, now_ms, in_flight=0, draw=0.0):
    found = pace.allowance(target.incarnation, in_flight, now_ms, lambda: draw)
    return None if found is None else found.requests


def test_targets_that_were_in_use_have_no_limit():
    pace, target = TargetPace(lambda: 1), Target(make_entry())
    answer(pace, target, 0.0, delay_ms=5_000.0)
    pace.record_refusal(target, 10.0, 20.0)
    assert allowance(pace, target, 30.0) is None


def test_limit_rises_with_answers_in_time_until_the_target_is_steady():
    pace, target = make_pace()
    changes = []
    pace.on_change = lambda _incarnation, change, _limit: changes.append(change)
    assert allowance(pace, target, 0.0) == 1
    assert allowance(pace, target, 0.0, in_flight=1) == 0
    answer(pace, target, 10.0)
    assert allowance(pace, target, 60.0, in_flight=1) == 2
    for sent_ms in (60.0, 61.0, 120.0):
        answer(pace, target, sent_ms)
    assert allowance(pace, target, 200.0) is None
    assert changes == [PaceChange.STEADY]


def test_late_answers_halve_the_limit_and_delay_the_next_trial():
    pace, target = make_pace()
    for sent_ms in (0.0, 1.0, 2.0):
        answer(pace, target, sent_ms)
    answer(pace, target, 60.0, delay_ms=400.0)
    assert pace.limit(target.incarnation) == 3.5
    answer(pace, target, 61.0, delay_ms=500.0)  # sent before the fall
    assert pace.limit(target.incarnation) == 3.5
    pace.record_refusal(target, 600.0, 601.0)
    pace.record_refusal(target, 700.0, 701.0)
    assert allowance(pace, target, 702.0) == 0
    assert allowance(pace, target, 701.0 + MIN_TRIAL_PAUSE_MS) == 1


def test_pause_between_trials_is_limited():
    pace, target = make_pace()
    for number in range(20):
        pace.record_failure(target, 1_000.0 * number, 1_000.0 * number)
    assert allowance(pace, target, 19_001.0) == 0
    assert allowance(pace, target, 19_000.0 + MAX_TRIAL_PAUSE_MS) == 1


def test_an_answer_is_in_time_if_it_leaves_most_of_the_target_latency():
    pace, target = make_pace()
    pace.record_answer(target, "r1", 0.0, 150.0, target_latency_ms=300.0)
    assert allowance(pace, target, 200.0) == 3


def test_target_that_accepts_no_connection_keeps_half_and_one_that_crashes_one():
    pace, target = TargetPace(lambda: 1), Target(make_entry())
    pace.record_doubt(target, 0.0, 1.0)
    assert allowance(pace, target, 2.0) == 4
    pace.record_failure(target, 2.0, 3.0)
    assert pace.limit(target.incarnation) == 1.0


def test_a_process_without_news_uses_its_share():
    """Guards against a flood by many entries, each of which tries one request."""
    pace, target = make_pace(process_count=100)
    pace.record_news(0.0)
    assert allowance(pace, target, 1.0) == 1
    later_ms = OTHERS_TIMEOUT_MS + 1.0
    assert allowance(pace, target, later_ms, draw=0.5) == 0
    assert allowance(pace, target, later_ms, draw=0.995) == 1


def test_only_targets_that_appear_after_the_first_list_return():
    """Guards against a process that treats the whole fleet as returning when it starts."""
    table = TargetTable()
    table.replace_all([make_entry()], 0.0)
    table.put(make_entry("t2"), 1.0)
    table.put(make_entry("t1", started_ms=2), 2.0)
    assert set(table.pace.dump()) == {"t1", "t2"}
    table.remove("t2", 3.0)
    assert set(table.pace.dump()) == {"t1"}


class Peer(PaceExchange):
    """A process that collects what it sends."""

    def __init__(self, name):
        self.table = TargetTable(pace=TargetPace(lambda: 3))
        self.table.put(make_entry())
        self.target = self.table.find("t1")
        super().__init__(name, self.table)

    def collect(self, send, now_ms):
        sent = []
        send(SimpleNamespace(send=lambda message, _addresses: sent.append(message)), [], now_ms)
        return sent


def test_evidence_of_all_processes_counts_once_and_the_limit_reaches_the_others():
    first, second, runner = Peer("e1"), Peer("e2"), Peer("r1")
    for peer in (first, second, runner):
        peer.table.pace.start(peer.target, 0.0)
    for peer in (first, second):
        answer(peer.table.pace, peer.target, 10.0)
        for report in peer.collect(peer.send_evidence, 70.0) * CHANGE_SENDS:
            runner.merge_report(report, 80.0)
    assert runner.table.pace.limit(runner.target.incarnation) == 5.0
    for message in runner.collect(runner.send_limits, 90.0):
        first.adopt_limits(message, 200.0)
    assert first.table.pace.limit(first.target.incarnation) == 5.0


def test_runner_that_was_started_learns_of_a_limit_from_the_entries():
    entry, runner = Peer("e1"), Peer("r1")
    entry.table.pace.start(entry.target, 0.0)
    for _ in range(CHANGE_SENDS):
        entry.collect(entry.send_evidence, 1.0)
    assert not entry.collect(entry.send_evidence, 2.0)
    for report in entry.collect(entry.send_evidence, 1.0 + REPEAT_INTERVAL_MS):
        runner.merge_report(report, 1_100.0)
    assert runner.table.pace.limit(runner.target.incarnation) == 1.0


def test_an_entry_that_lists_a_target_late_learns_that_it_is_steady():
    """Guards against an entry that keeps off a target which all others use."""
    entry, runner = Peer("e1"), Peer("r1")
    runner.table.pace.start(runner.target, 0.0)
    for sent_ms in range(4):
        answer(runner.table.pace, runner.target, float(sent_ms))
    for _ in range(CHANGE_SENDS):
        runner.collect(runner.send_limits, 60.0)
    entry.table.pace.start(entry.target, 500.0)
    for report in entry.collect(entry.send_evidence, 501.0):
        runner.merge_report(report, 510.0)
    for message in runner.collect(runner.send_limits, 520.0):
        entry.adopt_limits(message, 530.0)
    assert entry.table.pace.limit(entry.target.incarnation) is None


def test_news_of_targets_that_are_not_listed_are_ignored():
    entry, runner = Peer("e1"), Peer("r1")
    runner.table.remove("t1", 0.0)
    entry.table.pace.start(entry.target, 0.0)
    for report in entry.collect(entry.send_evidence, 1.0):
        assert isinstance(report, PaceReport)
        runner.merge_report(report, 2.0)
    assert runner.table.pace.evidence(3.0) == ()


def test_a_target_that_has_left_or_leaves_gets_no_limit():
    table = TargetTable()
    table.put(make_entry())
    target = table.find("t1")
    table.put(make_entry(started_ms=2), 1.0)
    table.pace.record_failure(target, 2.0, 3.0)
    leaving = table.find("t1")
    leaving.is_leaving = True
    table.pace.record_failure(leaving, 2.0, 3.0)
    assert table.pace.dump() == {}


def test_an_entry_that_only_follows_the_runner_reports_nothing():
    """Guards against datagrams of all entries for each target that returns."""
    entry, runner = Peer("e1"), Peer("r1")
    for peer in (entry, runner):
        peer.table.pace.start(peer.target, 0.0)
    entry.table.pace.record_news(1.0)
    for message in runner.collect(runner.send_limits, 1.0):
        entry.adopt_limits(message, 2.0)
    assert entry.collect(entry.send_evidence, 3.0) == []


def test_counts_of_a_process_that_was_restarted_begin_anew():
    assert PaceCounts(1, 0, 0).since(PaceCounts(5, 2, 0)) == PaceCounts(1, 0, 0)
    assert PaceCounts(6, 2, 0).since(PaceCounts(5, 2, 0)) == PaceCounts(1, 0, 0)


def test_limit_takes_free_slots_unless_there_is_too_little_room():
    loads = [TargetLoad("t1", 8, 2, 1), TargetLoad("t2", 8, 7, 0)]

    def free_slots(choices, requests=0, has_fallen=False):
        allowances = {"t1": PaceAllowance(requests, has_fallen)}
        limited = limit_returning(loads, allowances, choices)
        return [load.free_slots for load in limited]

    assert free_slots(1.0) == [0, 1] and free_slots(1.0, requests=2) == [2, 1]
    assert free_slots(4.0) == [5, 1] and free_slots(4.0, has_fallen=True) == [0, 1]


def test_all_processes_know_whether_a_limit_has_fallen():
    entry, runner = Peer("e1"), Peer("r1")
    runner.table.pace.start(runner.target, 0.0)
    runner.table.pace.record_refusal(runner.target, 1.0, 2.0)
    for message in runner.collect(runner.send_limits, 3.0):
        entry.adopt_limits(message, 4.0)
    assert entry.table.pace.allowance(entry.target.incarnation, 0, 5.0, float).has_fallen


@pytest.mark.parametrize("processes, targets, returning", [(2, 8, 2), (60, 16, 4), (400, 16, 2)])
@pytest.mark.parametrize("cold_ms, slow_down", [(0.0, 1.0), (2_500.0, 4.0)])
def test_targets_that_return_are_in_use_within_two_seconds_and_not_flooded(
    processes, targets, returning, cold_ms, slow_down
):
    """Goals: nine tenths of the demand after two seconds, one in a hundred later than elsewhere."""
    days = [
        Replay(seed, processes, targets, returning, 3_000.0, cold_ms, slow_down, load=0.65)
        for seed in range(4)
    ]
    assert sum(day.used for day in days) >= 0.9 * len(days)
    late, sent = (sum(getattr(day, name)[True] for day in days) for name in ("late", "sent"))
    late_elsewhere = sum(day.late[False] for day in days) / sum(day.sent[False] for day in days)
    assert late / sent <= late_elsewhere + 0.01


def draw_short_fleet(seed):
    """Return a replay in which half of the targets return cold, while the others lack room."""
    random = Random(seed)
    processes, targets = random.choice([2, 5, 20, 60]), random.choice([4, 8, 16])
    cold_ms, slow_down = random.uniform(0.0, 30_000.0), random.choice([1.5, 2.5, 4.0])
    load = random.uniform(0.55, 0.85)
    return Replay(seed, processes, targets, targets // 2, 3_000.0, cold_ms, slow_down, load)


def test_targets_that_return_cold_to_a_fleet_short_of_room_are_not_flooded():
    days = [draw_short_fleet(seed) for seed in range(24)]
    assert sum(day.used for day in days) >= 0.9 * len(days)
    shares = [
        sum(day.late[is_returning] for day in days) / sum(day.sent[is_returning] for day in days)
        for is_returning in (True, False)
    ]
    assert shares[0] <= shares[1] + 0.01


def test_callers_get_what_there_is_when_all_targets_return():
    day, before = (
        Replay(1, 60, 8, 8, 3_000.0, 0.0, 1.0, is_paced=is_paced) for is_paced in (True, False)
    )
    assert day.refused <= before.refused


@pytest.mark.parametrize("status, limit", [(None, 3.0), (503, 1.0)])
def test_forwarder_keeps_to_the_limit_and_records_the_answers(status, limit):
    """The target that returns is the first choice, and gets one request at a time."""

    async def refuse(session):
        session.send_answer(status, ("Not-Executed: full",))

    async def send_two():
        gateway = Gateway(make_route())
        returning = ScriptedTarget(send_complete_stream if status is None else refuse)
        await gateway.start(returning, ScriptedTarget(send_complete_stream))
        target = gateway.table.find("t1")
        gateway.table.pace.start(target, now_ms())
        target.own_online += 1
        await gateway.request()
        assert returning.sessions == []
        target.own_online -= 1
        answer = await gateway.request()
        gateway.close()
        return (
            status_of(answer),
            len(returning.sessions),
            gateway.table.pace.limit(target.incarnation),
        )

    assert asyncio.run(send_two()) == (200, 1, limit)
