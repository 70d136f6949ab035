"""Tests of the rule that tells which part of a prompt crashes targets."""

import pytest

from ebonyshore.link.messages import CrashReport, Verdict
from ebonyshore.link.suspicion import (
    MAX_CRASH_IDS,
    MAX_SUSPECTS,
    PART_CONVICTION_CRASHES,
    SEPARATE_CRASHES,
    SHARED_CONVICTION_CRASHES,
    SuspicionTable,
)
from tests.test_suspicion_exchange import Fleet
from tools.replay_suspects import MAX_LATE_SENDS, SCENARIOS, Replay, TableRule

EXPIRY_MS = 600_000.0
SEEDS = range(4)
MIN_SERVED_SHARE = 0.5  # of the sound requests


def make_table():
    return SuspicionTable(EXPIRY_MS, SHARED_CONVICTION_CRASHES)


def crash(table, first, count, *digests):
    for number in range(first, first + count):
        table.record_crash(CrashReport(f"t{number}/1.1", "", digests), 0.0)


def test_part_is_convicted_after_several_crashes_and_refuses_all_requests_that_have_it():
    table = make_table()
    crash(table, 1, PART_CONVICTION_CRASHES - 1, "part-b")
    assert not table.is_refused(("any", "part-b"), 0.0)
    crash(table, PART_CONVICTION_CRASHES, 1, "part-b")
    assert table.is_refused(("any", "part-a", "part-b"), 0.0)
    assert not table.is_refused(("any", "part-a"), 0.0)
    assert not table.is_refused(("any", "part-b"), EXPIRY_MS + 1.0)


def test_completion_clears_a_convicted_part_but_not_a_whole_request():
    table = make_table()
    crash(table, 1, PART_CONVICTION_CRASHES, "whole", "part-b")
    assert table.record_completed("part-b") and not table.record_completed("whole")
    assert table.is_refused(("whole",), 0.0) and not table.is_refused(("any", "part-b"), 0.0)


def test_parts_that_crashed_together_are_told_apart_by_requests_with_one_of_them():
    """Guards against refusing sound requests for a part that only came along with the bad one."""
    table = make_table()
    crash(table, 1, PART_CONVICTION_CRASHES, "part-first", "part-bad")
    assert table.is_refused(("any", "part-first", "part-bad"), 0.0)
    assert not table.is_refused(("any", "part-first"), 0.0)
    assert not table.is_refused(("any", "part-bad"), 0.0)
    crash(table, 100, SEPARATE_CRASHES, "part-bad")
    assert table.is_refused(("any", "part-bad"), 0.0)
    assert not table.is_refused(("any", "part-first"), 0.0)


def test_part_that_crashed_once_more_for_another_reason_does_not_hide_the_bad_one():
    table = make_table()
    crash(table, 1, PART_CONVICTION_CRASHES, "part-first", "part-bad")
    crash(table, 100, 1, "part-first")
    assert table.is_refused(("any", "part-first", "part-bad"), 0.0)
    assert not table.is_refused(("any", "part-first"), 0.0)
    table.record_completed("part-first")
    assert table.is_refused(("any", "part-bad"), 0.0)


def test_what_callers_make_up_is_forgotten_first():
    table = make_table()
    crash(table, 1, 2, "part-bad")
    for number in range(MAX_SUSPECTS):
        crash(table, 10 + number, 1, f"part-{number}")
    assert len(table.export(0.0)) == MAX_SUSPECTS
    crash(table, 3, PART_CONVICTION_CRASHES - 2, "part-bad")
    assert table.is_refused(("any", "part-bad"), 0.0)


def test_crash_ids_of_one_part_are_limited():
    table = make_table()
    crash(table, 1, 2 * MAX_CRASH_IDS, "part-bad")
    assert table.verdict("part-bad", 0.0).crash_count == MAX_CRASH_IDS
    ids = tuple(f"u{number}/1.1" for number in range(MAX_CRASH_IDS))
    table.merge((Verdict("part-bad", MAX_CRASH_IDS, True, 0.0, weak_crash_ids=ids),), 0.0)
    assert table.verdict("part-bad", 0.0).crash_count == MAX_CRASH_IDS


def test_convicted_part_that_completes_at_one_process_is_cleared_at_all():
    """Guards against a conviction that the processes keep telling each other."""
    fleet = Fleet()
    ids = [f"t{number}/1.1" for number in range(PART_CONVICTION_CRASHES)]
    fleet.crash(fleet.entries[0], "part-a", *ids)
    fleet.step(200)
    assert all(fleet.convicted_at("part-a"))
    fleet.entries[1].record_completed("part-a", fleet.now_ms)
    fleet.step(200)
    assert not any(fleet.convicted_at("part-a"))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_bad_parts_are_found_and_sound_requests_served_in_random_fleets(scenario):
    for seed in SEEDS:
        replay = Replay(scenario, TableRule(), seed).run()
        assert replay.late_sends <= MAX_LATE_SENDS
        assert replay.sound_refused <= (1.0 - MIN_SERVED_SHARE) * replay.sound
