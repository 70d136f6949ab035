"""Tests of when a runner may claim a batch job whose owner is gone."""

import pytest
from msgspec import structs

from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.runner.claim_policy import OWNER_TIMEOUT_MS, OwnerActivity, may_claim

RECORD = JobRecord(
    "j1",
    "host.example",
    "/p/",
    0,
    60_000.0,
    18_000.0,
    3,
    (ItemRecord("i1", "/p/x", (), b"body"),),
    owner="a",
    owner_incarnation="run-1",
    epoch=1,
)
SILENT_OWNER = OwnerActivity(last_active_ms=0.0, last_record_change_ms=0.0)


def test_a_restarted_owner_claims_its_own_job_at_once():
    """Guards against items that are never finished after all processes were killed. The restarted
    owner is active again, so no other runner claims its jobs, and it may not be the preferred
    runner itself."""
    activity = OwnerActivity(last_active_ms=0.0, last_record_change_ms=0.0, incarnation="run-2")
    assert may_claim(RECORD, "a", False, activity, 10.0)


def test_another_runner_waits_longer_before_it_claims_a_job_of_a_restarted_owner():
    activity = OwnerActivity(last_active_ms=1_900.0, last_record_change_ms=0.0, incarnation="run-2")
    assert not may_claim(RECORD, "b", True, activity, 2_000.0)
    assert may_claim(RECORD, "b", True, activity, 2 * OWNER_TIMEOUT_MS + 1)


def test_only_the_preferred_runner_claims_the_job_of_a_silent_owner():
    now_ms = OWNER_TIMEOUT_MS + 1
    assert may_claim(RECORD, "b", True, SILENT_OWNER, now_ms)
    assert not may_claim(RECORD, "c", False, SILENT_OWNER, now_ms)
    assert not may_claim(RECORD, "b", True, SILENT_OWNER, OWNER_TIMEOUT_MS - 1)


def test_a_recent_claim_counts_as_activity_of_the_owner():
    """Guards against two runners without contact taking a job from each other in turn."""
    claimed = structs.replace(RECORD, epoch=2)
    activity = OwnerActivity(last_active_ms=0.0, last_record_change_ms=10_000.0)
    assert not may_claim(claimed, "b", True, activity, 10_000.0 + OWNER_TIMEOUT_MS + 1)


@pytest.mark.parametrize("epoch, factor", [(1, 1), (2, 2), (3, 4), (4, 8), (9, 8)])
def test_each_change_of_owner_doubles_the_timeout_up_to_a_bound(epoch, factor):
    record = structs.replace(RECORD, epoch=epoch)
    assert not may_claim(record, "b", True, SILENT_OWNER, factor * OWNER_TIMEOUT_MS)
    assert may_claim(record, "b", True, SILENT_OWNER, factor * OWNER_TIMEOUT_MS + 1)


def test_a_job_without_an_owner_is_claimed_unless_it_is_cancelled():
    free = structs.replace(RECORD, owner="", owner_incarnation="")
    assert may_claim(free, "b", True, SILENT_OWNER, 1.0)
    assert not may_claim(structs.replace(free, is_cancelled=True), "b", True, SILENT_OWNER, 1.0)
