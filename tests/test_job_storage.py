"""Batch jobs in the platform's store, with lost answers and two owners at once."""

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


def record(body=b"body", items=2, owner="r1"):
    found = tuple(ItemRecord(f"i{n}", "/p/x", (("Model", "m"),), body) for n in range(items))
    return JobRecord("j1", "h", "/p/", 0, 1.0, 1.0, 3, found, owner=owner)


def segment(index, data="d"):
    return ResultSegment((ResultRecord(index, True, data),))


def test_a_job_that_comes_again_is_the_one_stored_first(storage):
    first = storage.create(record())
    again = storage.create(record(owner="r2"))
    assert again.body.owner == "r1" and again.version == first.version


def test_a_lost_answer_to_the_acceptance_does_not_double_the_job(storage, object_platform):
    lost = iter(["lost"])
    object_platform.fault = lambda method, _path: next(lost, None) if method == "POST" else None
    stored = storage.create(record())
    assert stored.body == storage.read("j1").body


def test_large_bodies_are_stored_apart_and_come_back_unchanged(storage):
    body = bytes(range(256)) * (MAX_INLINE_BODY_BYTES // 128)
    stored = storage.create(record(body, items=9))
    assert stored.body.body_parts > 1 and stored.body.items[0].body == b""
    assert storage.read_bodies(stored.body) == dict.fromkeys(range(9), body)


def test_two_owners_cannot_list_one_position_twice(storage):
    """Guards against an owner that wakes up after its job was taken over."""
    storage.create(record())
    storage.append_segment("j1", 0, segment(0, "first"))
    with pytest.raises(WriteConflictError):
        storage.append_segment("j1", 0, segment(1, "second"))
    assert [part.results[0].data for part in storage.read_segments("j1", 0)] == ["first"]
    assert storage.read_segments("j1", 1) == []


def test_a_claim_on_an_old_record_is_refused(storage):
    stored = storage.create(record())
    claimed = storage.claim(stored, "r2", "run-1")
    assert (claimed.body.owner, claimed.body.epoch) == ("r2", 1)
    with pytest.raises(WriteConflictError):
        storage.claim(stored, "r3", "run-1")


def test_a_cancel_survives_a_claim_that_comes_between(storage):
    stored = storage.create(record())
    assert storage.cancel("j1").body.is_cancelled
    with pytest.raises(WriteConflictError):
        storage.claim(stored, "r2", "run-1")
    assert storage.cancel("j1").body.is_cancelled
    assert storage.cancel("unknown") is None


def test_an_outage_accepts_nothing(storage, object_platform):
    object_platform.fault = lambda _method, _path: 503
    with pytest.raises(StoreUnavailableError):
        storage.create(record())
    object_platform.fault = lambda _method, _path: None
    assert storage.read("j1") is None


def test_a_job_is_deleted_with_all_that_belongs_to_it(storage, object_platform):
    stored = storage.create(record(b"x" * MAX_INLINE_BODY_BYTES))
    storage.append_segment("j1", 0, segment(0))
    storage.delete(stored.body)
    assert object_platform.state.objects == {}


def test_a_job_expires_only_after_its_results_and_its_items_may_be_dropped():
    job = record()
    assert not is_expired(job, 120_000.0, 180_000.0)
    assert is_expired(job, 120_000.0, 180_001.0)
    long = structs.replace(job, retention_ms=500_000.0)
    assert not is_expired(long, 120_000.0, 560_000.0)


def test_any_id_has_an_object_name():
    assert job_object_name("7c41e0-a") == "7c41e0-a"
    odd = [
        job_object_name("a/b"),
        job_object_name("ä"),
        job_object_name("x" * 65),
        job_object_name(""),
    ]
    assert all(name.isalnum() for name in odd) and len(set(odd)) == 4
