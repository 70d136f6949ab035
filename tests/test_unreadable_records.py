"""Records of the processes that cannot be read cost themselves alone."""

import pytest
from msgspec.json import encode

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import UnreadableObjectError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.job_types import JobRecord, ResultRecord, ResultSegment
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory
from ebonyshore.link.renewals import Renewal, RenewalListener
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.job_bodies import decode_submission
from ebonyshore.runner.conviction_store import ConvictionStorage
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_storage import JOBS_KIND, SAVED_ITEMS_KIND, SEGMENTS_KIND, JobStorage
from ebonyshore.runner.quota_storage import QUOTAS_KIND, QuotaStorage
from ebonyshore.runner.suspicion_store import SUSPICIONS_KEY, SuspicionStorage
from ebonyshore.store.platform_api import ABSENT_VERSION, StoredObject
from tests.registry_setup import ITEMS, RegistrySetup, make_peer

DEPTH = 100_000
UNREADABLE = {
    "deep nesting": b'{"sequence":1,"marks":[],"body":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "lone surrogate": b'{"sequence":1,"marks":[],"body":{"job_id":"\\udcff"}}',
    "invalid UTF-8": b'{"sequence":1,"marks":["\xff"],"body":{}}',
    "other type": b"7",
    "empty": b"",
}
each_unreadable = pytest.mark.parametrize("bad", UNREADABLE.values(), ids=UNREADABLE)
JOB = JobRecord("j2", "h", "/p/", 0, 1.0, 1.0, 3, ITEMS)


def envelope(body) -> bytes:
    return b'{"sequence":1,"marks":[],"body":%b}' % encode(body)


def change(key: str, value: bytes) -> StoredObject:
    return StoredObject(key, 5, value)


@each_unreadable
def test_unreadable_job_does_not_stop_the_others(store, bad):
    setup = RegistrySetup(storage=JobStorage(store))
    setup.registry.on_listing(
        [change(f"{JOBS_KIND}/bad", bad), change(f"{JOBS_KIND}/j2", envelope(JOB))]
    )
    assert setup.registry.find("j2") is not None


@each_unreadable
def test_unreadable_peer_and_renewal_do_not_stop_the_others(store, bad):
    peers = PeerDirectory(make_peer("a"), store, EventLog())
    good = change(f"{PEERS_KIND}/b", envelope(make_peer("b")))
    peers.on_listing([change(f"{PEERS_KIND}/bad", bad), good])
    assert set(peers.of_role("runner")) == {"b"}
    renewals = RenewalListener("a", store, EventLog())
    good = change("renewals/b", envelope(Renewal("b", "run-1", 1)))
    renewals.on_listing([change("renewals/bad", bad), good])
    assert renewals.is_known("b")


@each_unreadable
def test_unreadable_configuration_does_not_replace_the_one_in_force(bad):
    config = ConfigService("config/main", decode_config, EventLog())
    config.on_changes([change("config/main", b'{"Version":3,"Routes":[]}')])
    config.on_changes([StoredObject("config/main", 6, bad)])
    assert config.version == 3


@pytest.mark.parametrize(
    "fields",
    [
        b'"Limits":{"IdleTimeoutMs":-1}',
        b'"Limits":{"HeaderTimeoutMs":9000000000000000000}',
        b'"Tenants":[{"Name":"a","RatePerS":"nan"}]',
        b'"Tenants":[{"Name":"\xe0\xa4\x85","ApiKeys":["k"],"Burst":"inf"}]',
    ],
)
def test_configuration_with_a_number_out_of_range_is_invalid(fields):
    """Guards against timers and limits that never end, or fail when they are first used."""
    with pytest.raises(ValueError):
        decode_config(b'{"Version":3,"Routes":[],%b}' % fields)


@pytest.mark.parametrize("tokens", [-1, 10**18])
def test_item_cannot_give_tokens_back_to_its_quota(tokens):
    """Guards against a negative number that lets a caller exceed the limit of an account."""
    body = b'{"Items":[{"Id":"a","Path":"/x","TokenCount":%d}]}' % tokens
    with pytest.raises(ValueError):
        decode_submission(body)


def test_submission_nested_too_deeply_is_invalid():
    """Guards against a RecursionError, after which the caller gets no answer."""
    body = b'{"Items":[],"Other":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
    with pytest.raises(ValueError):
        decode_submission(body)


@each_unreadable
def test_unreadable_stored_object_raises_a_typed_error(store, bad):
    """Guards against errors that end the task of a claim or of a write of results."""
    storage = JobStorage(store)
    for key in (f"{JOBS_KIND}/j2", f"{SEGMENTS_KIND}/j2.0", f"{SAVED_ITEMS_KIND}/j2"):
        store.store.put(key, bad, ABSENT_VERSION)
    for read in (
        lambda: storage.read("j2"),
        lambda: storage.read_segments("j2", 0),
        lambda: storage.read_saved_items("j2"),
    ):
        with pytest.raises(UnreadableObjectError):
            read()


@each_unreadable
def test_unreadable_suspicions_and_convictions_count_as_none(store, object_store, bad):
    store.store.put(SUSPICIONS_KEY, bad, ABSENT_VERSION)
    assert SuspicionStorage(store, EventLog()).read().suspects == ()
    assert ConvictionStorage(object_store, store, EventLog())._decode(change("c/x", bad)) is None


@each_unreadable
def test_unreadable_ledger_refuses_what_needs_it(platform, bad):
    platform.put(f"{QUOTAS_KIND}/q", bad, ABSENT_VERSION)
    with pytest.raises(UnreadableObjectError):
        QuotaStorage(platform, SystemClock()).change("q", lambda ledger: None)


@pytest.mark.parametrize("index", [-1, len(ITEMS), 1 << 62])
def test_segment_that_names_an_unknown_item_lists_nothing(index):
    """Guards against results listed for another item, and against an IndexError."""
    progress = JobProgress(JOB)
    segment = ResultSegment((ResultRecord(0, True, "x"), ResultRecord(index, True, "y")), 1)
    with pytest.raises(UnreadableObjectError):
        progress.apply_segment(segment)
    assert progress.listed_count == 0
