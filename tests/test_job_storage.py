"""Tests of batch jobs in the platform's store, with lost answers and with two owners at once."""

import pytest
from msgspec import structs

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import StoreUnavailableError, WriteConflictError
from ebonyshore.host.job_types import ItemRecord, JobRecord, ResultRecord, ResultSegment
from ebonyshore.runner.job_expiry import is_expired
from ebonyshore.runner.job_storage import MAX_INLINE_BODY_BYTES, JobStorage, job_object_name
from ebonyshore.store.marked_write import MarkedStore


@pytest.fixture
def storage(object_store):
    return JobStorage(MarkedStore(object_store, SystemClock(), 1_000.0))


def make_record(body=b"body", items=2, owner="r1"):
    item_records = tuple(ItemRecord(f"i{n}", "/p/x", (("Model", "m"),), body) for n in range(items))
    return JobRecord("j1", "h", "/p/", 0, 1.0, 1.0, 3, item_records, owner=owner)


def make_segment(index, data="d"):
    return ResultSegment((ResultRecord(index, True, data),))


def test_storing_a_job_again_returns_the_existing_record(storage):
    first = storage.create(make_record())
    repeated = storage.create(make_record(owner="r2"))
    assert repeated.body.owner == "r1" and repeated.version == first.version


def test_a_lost_answer_to_the_create_call_does_not_duplicate_the_job(storage, object_platform):
    lost = iter(["lost"])
    object_platform.fault_hook = lambda method, _path: (
        next(lost, None) if method == "POST" else None
    )
    stored = storage.create(make_record())
    assert stored.body == storage.read("j1").body


def test_large_bodies_are_stored_separately_and_read_back_unchanged(storage):
    body = bytes(range(256)) * (MAX_INLINE_BODY_BYTES // 128)
    stored = storage.create(make_record(body, items=9))
    assert stored.body.body_parts > 1 and stored.body.items[0].body == b""
    assert storage.read_bodies(stored.body) == dict.fromkeys(range(9), body)


def test_two_owners_cannot_list_one_position_twice(storage):
    """Guards against writes of a suspended owner that resumes after its job was taken over."""
    storage.create(make_record())
    storage.append_segment("j1", 0, make_segment(0, "first"))
    with pytest.raises(WriteConflictError):
        storage.append_segment("j1", 0, make_segment(1, "second"))
    assert [part.results[0].data for part in storage.read_segments("j1", 0)] == ["first"]
    assert storage.read_segments("j1", 1) == []


def test_a_claim_based_on_an_outdated_record_is_refused(storage):
    stored = storage.create(make_record())
    claimed = storage.claim(stored, "r2", "run-1")
    assert (claimed.body.owner, claimed.body.epoch) == ("r2", 1)
    with pytest.raises(WriteConflictError):
        storage.claim(stored, "r3", "run-1")


def test_a_cancellation_is_not_overwritten_by_a_concurrent_claim(storage):
    stored = storage.create(make_record())
    assert storage.cancel("j1").body.is_cancelled
    with pytest.raises(WriteConflictError):
        storage.claim(stored, "r2", "run-1")
    assert storage.cancel("j1").body.is_cancelled
    assert storage.cancel("unknown") is None


def test_no_job_is_accepted_during_an_outage_of_the_store(storage, object_platform):
    object_platform.fault_hook = lambda _method, _path: 503
    with pytest.raises(StoreUnavailableError):
        storage.create(make_record())
    object_platform.fault_hook = lambda _method, _path: None
    assert storage.read("j1") is None


def test_a_job_is_deleted_with_its_bodies_and_segments(storage, object_platform):
    stored = storage.create(make_record(b"x" * MAX_INLINE_BODY_BYTES))
    storage.append_segment("j1", 0, make_segment(0))
    storage.delete(stored.body)
    assert object_platform.state.objects == {}


def test_a_job_expires_only_after_the_retention_times_of_its_results_and_items():
    job = make_record()
    assert not is_expired(job, 120_000.0, 180_000.0)
    assert is_expired(job, 120_000.0, 180_001.0)
    long = structs.replace(job, retention_ms=500_000.0)
    assert not is_expired(long, 120_000.0, 560_000.0)


def test_any_id_has_an_object_name():
    assert job_object_name("7c41e0-a") == "7c41e0-a"
    hashed = [
        job_object_name("a/b"),
        job_object_name("ä"),
        job_object_name("x" * 65),
        job_object_name(""),
    ]
    assert all(name.isalnum() for name in hashed) and len(set(hashed)) == 4
