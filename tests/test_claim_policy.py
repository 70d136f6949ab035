"""Who takes over a batch job whose owner is gone."""

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
SILENT = OwnerActivity(last_heard_ms=0.0, record_changed_ms=0.0)


def test_an_owner_that_runs_anew_claims_its_own_job_at_once():
    """Guards against items left lying after all processes were killed: the owner is heard again,
    so no other runner claims its jobs, and it ranks below another for the job itself."""
    signs = OwnerActivity(last_heard_ms=0.0, record_changed_ms=0.0, incarnation="run-2")
    assert may_claim(RECORD, "a", False, signs, 10.0)


def test_another_runner_leaves_the_jobs_of_an_owner_that_runs_anew_to_it():
    signs = OwnerActivity(last_heard_ms=1_900.0, record_changed_ms=0.0, incarnation="run-2")
    assert not may_claim(RECORD, "b", True, signs, 2_000.0)
    assert may_claim(RECORD, "b", True, signs, 2 * OWNER_TIMEOUT_MS + 1)


def test_a_silent_owner_loses_its_job_to_the_first_choice_only():
    now_ms = OWNER_TIMEOUT_MS + 1
    assert may_claim(RECORD, "b", True, SILENT, now_ms)
    assert not may_claim(RECORD, "c", False, SILENT, now_ms)
    assert not may_claim(RECORD, "b", True, SILENT, OWNER_TIMEOUT_MS - 1)


def test_a_fresh_claim_is_a_sign_of_life():
    """Guards against two runners that do not hear each other taking a job in turn."""
    claimed = structs.replace(RECORD, epoch=2)
    signs = OwnerActivity(last_heard_ms=0.0, record_changed_ms=10_000.0)
    assert not may_claim(claimed, "b", True, signs, 10_000.0 + OWNER_TIMEOUT_MS + 1)


@pytest.mark.parametrize("epoch, factor", [(1, 1), (2, 2), (3, 4), (4, 8), (9, 8)])
def test_each_change_of_owner_doubles_the_wait_up_to_a_bound(epoch, factor):
    record = structs.replace(RECORD, epoch=epoch)
    assert not may_claim(record, "b", True, SILENT, factor * OWNER_TIMEOUT_MS)
    assert may_claim(record, "b", True, SILENT, factor * OWNER_TIMEOUT_MS + 1)


def test_a_free_job_is_claimed_and_a_cancelled_one_is_not():
    free = structs.replace(RECORD, owner="", owner_incarnation="")
    assert may_claim(free, "b", True, SILENT, 1.0)
    assert not may_claim(structs.replace(free, is_cancelled=True), "b", True, SILENT, 1.0)
