"""Platform adapter: decoding of settings, objects and bodies, and the object store client."""

import asyncio
import json
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import (
    HistoryLostError,
    SettingsError,
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
    WriteRefusedError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.accounts import Account, digest_key
from ebonyshore.host.job_types import ListedResult, ResultPage
from ebonyshore.host.routes import RouteKind, RouteTable
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.job_bodies import decode_submission, encode_results
from ebonyshore.platform.settings_file import load_host_settings
from ebonyshore.platform.target_entries import decode_target_entry
from ebonyshore.store.store_probe import StoreProbe

SETTINGS = """
NodeName = "edge-1"
Ip = "10.1.0.10"
Zone = "fd-a"
Region = "r1"
InternalPorts = [7720, 7735]
HeartbeatMs = 1200
NewField = "ignored"
[Listen]
Front = "10.1.0.10:8161"
Ready = "10.1.0.10:8167"
[Bounds]
GraceS = 8
[Platform]
Address = "10.200.1.7:8169"
"""

ROUTE = {"Name": "r1", "Hostname": "A.example", "PathPrefix": "/x/", "Type": "streaming"}
ENTRY = {
    "Service": "svc",
    "Address": "10.0.0.9:80",
    "Zone": "fd-a",
    "Version": "v1",
    "Sequence": 1,
    "Capacity": 8,
    "State": "ready",
    "born": 5,
}


def test_settings_are_decoded_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    settings = load_host_settings(path)
    assert (settings.front.host, settings.front.port) == ("10.1.0.10", 8161)
    assert settings.store_url == "http://10.200.1.7:8169"
    assert settings.grace_ms == 8_000.0 and settings.failure_domain == "fd-a"


@pytest.mark.parametrize(
    "text, expected_word",
    [
        ("not toml", "boot.toml"),
        (SETTINGS.replace("NodeName", "Other"), "NodeName"),
        (SETTINGS.replace("8161", "no-port"), "boot.toml"),
        (SETTINGS.replace("[7720, 7735]", "[7720]"), "InternalPorts"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, text, expected_word):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected_word):
        load_host_settings(path)


def encode_config(*routes, **fields):
    return json.dumps({"Version": 3, "Routes": list(routes), **fields}).encode()


def test_longest_matching_path_prefix_selects_the_route():
    longer = {**ROUTE, "Name": "r2", "PathPrefix": "/x/y/", "Type": "idempotent"}
    table = RouteTable(decode_config(encode_config(ROUTE, longer)))
    assert table.find("a.example", "/x/z").name == "r1"
    assert table.find("A.EXAMPLE:80", "/x/y/z").name == "r2"
    assert table.find("a.example", "/x") is None
    assert table.find("b.example", "/x/z") is None


@pytest.mark.parametrize(
    "changes, is_repeatable",
    [
        ({"Type": "idempotent"}, True),
        ({"Type": "non_idempotent"}, False),
        ({"Type": "streaming"}, False),
        ({"Type": "streaming", "Resumable": True}, True),
        ({"Type": "unheard of"}, False),
    ],
)
def test_kind_of_route_determines_whether_requests_are_repeatable(changes, is_repeatable):
    """Guards against repeating requests of a route whose kind forbids it."""
    route = decode_config(encode_config({**ROUTE, **changes})).routes[0]
    assert route.is_repeatable is is_repeatable


def test_limits_traffic_shares_and_times_are_decoded():
    decoded = decode_config(
        encode_config(
            {**ROUTE, "Type": "batch", "TrafficSplit": [{"Service": "a", "Weight": 90}]}
            | {"RetentionS": 60, "CompletionTargetMs": 18000, "MaxAttempts": 3},
            Services=[{"Name": "a", "MaxConnections": 200, "Engine": {"Capacity": 8}}],
            Limits={"MaxHeaderBytes": 100, "IdleTimeoutMs": 9},
        )
    )
    route = decoded.routes[0]
    assert route.kind is RouteKind.BATCH and route.retention_ms == 60_000.0
    assert [(share.service, share.weight) for share in route.shares] == [("a", 90.0)]
    assert decoded.services["a"].capacity == 8
    assert decoded.limits.max_header_bytes == 100 and decoded.limits.idle_timeout_ms == 9


@pytest.mark.parametrize("value", [b"", b"[]", b'{"Version": "x", "Routes": []}', b"\xff"])
def test_invalid_configuration_raises_value_error(value):
    with pytest.raises(ValueError):
        decode_config(value)


def test_target_entry_is_decoded():
    entry = decode_target_entry("t1", json.dumps(ENTRY).encode())
    assert (entry.address, entry.capacity, entry.is_leaving) == ("10.0.0.9:80", 8, False)
    assert entry.started_ms == 5


@pytest.mark.parametrize(
    "changes",
    [
        {"Capacity": "many"},
        {"Capacity": 0},
        {"State": "dreaming"},
        {"Address": "nowhere"},
        {"Service": None},
        {"Zone": 7},
    ],
)
def test_invalid_target_entry_is_ignored(changes):
    """Guards against one invalid entry making the other targets unusable."""
    assert decode_target_entry("t1", json.dumps({**ENTRY, **changes}).encode()) is None
    assert decode_target_entry("t1", b"\x00not json") is None


def test_job_is_decoded_and_results_are_encoded():
    item = {"Id": "i1", "Path": "/x/1", "Headers": {"Model": "m"}, "Body": "aGk=", "TokenCount": 9}
    job = decode_submission(json.dumps({"Items": [item]}).encode())
    assert job.items[0].body == b"hi" and job.items[0].headers == (("Model", "m"),)
    page = ResultPage(2, 1, (ListedResult("i1", False, ""),))
    assert json.loads(encode_results(page)) == {
        "Total": 2,
        "Next": 1,
        "Results": [{"Id": "i1", "State": "dead_lettered", "Data": ""}],
    }


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"Items": [{"Id": "a", "Path": "/", "Body": "!"}]}']
)
def test_invalid_job_raises_value_error(body):
    with pytest.raises(ValueError):
        decode_submission(body)


def test_duplicate_item_ids_raise_value_error():
    items = [{"Id": "a", "Path": "/"}, {"Id": "a", "Path": "/"}]
    with pytest.raises(ValueError):
        decode_submission(json.dumps({"Items": items}).encode())


def test_objects_are_created_read_updated_and_deleted(object_store):
    version = object_store.put("jobs/a", b'{"n":1}', 0)
    stored = object_store.get("jobs/a")
    assert (stored.version, json.loads(stored.value)) == (version, {"n": 1})
    newer = object_store.put("jobs/a", b'{"n":2}', version)
    for stale in (0, version):
        with pytest.raises(WriteConflictError):
            object_store.put("jobs/a", b'{"n":3}', stale)
    object_store.delete("jobs/a", newer)
    assert object_store.get("jobs/a") is None
    with pytest.raises(WriteConflictError):
        object_store.put("jobs/a", b'{"n":4}', newer)


def test_listing_reads_all_pages_and_a_watch_continues_from_its_revision(
    object_store, object_platform
):
    for number in range(501):
        object_platform.state.put("servers", f"s{number:03}", {"n": number})
    listing = object_store.list_objects("servers")
    assert len(listing.objects) == 501
    object_platform.state.put("servers", "s000", {"n": -1})
    object_platform.state.delete("servers", "s001", None)
    result = object_store.watch("servers", listing.revision, 100)
    changes = {stored.key: stored.value for stored in result.changes}
    assert json.loads(changes["servers/s000"]) == {"n": -1} and changes["servers/s001"] is None
    assert object_store.watch("servers", result.revision, 10).changes == ()


def test_lost_history_is_distinguished_from_an_outage(object_store, object_platform):
    object_platform.state.put("servers", "a", {})
    object_platform.state.discard_history()
    with pytest.raises(HistoryLostError):
        object_store.watch("servers", 1, 10)


def test_unanswered_watch_is_ended_when_the_store_answers_again(object_store, object_platform):
    """Guards against a configuration change that takes effect only after the timeout of a watch.

    A store that is down may accept a watch and never answer it, even after it has recovered.
    """
    store_is_down = Event()
    store_is_down.set()
    watch_may_end = Event()

    def hold_watches(_method, path):
        if "Watch" in path and store_is_down.is_set():
            watch_may_end.wait(10)
            return "reset"
        return 503 if store_is_down.is_set() else None

    object_platform.fault_hook = hold_watches
    probe = StoreProbe(object_store, "config/main", SystemClock(), EventLog(), lambda stored: None)
    with ThreadPoolExecutor(1) as executor:
        watch_call = executor.submit(object_store.watch, "config", 1, 9_000)
        asyncio.run(probe.run_once())
        assert probe.is_silent and not watch_call.done()
        store_is_down.clear()
        asyncio.run(probe.run_once())
        with pytest.raises(StoreUnavailableError):
            watch_call.result(1.0)
        watch_may_end.set()
    object_platform.state.put("config", "main", {"n": 1})
    assert len(object_store.watch("config", 1, 100).changes) == 1


@pytest.mark.parametrize("fault", [429, 503, "reset"])
def test_refused_read_raises_store_unavailable(object_store, object_platform, fault):
    object_platform.fault_hook = lambda _method, _path: fault
    with pytest.raises(StoreUnavailableError):
        object_store.get("jobs/a")


@pytest.mark.parametrize(
    "fault, expected_error",
    [
        (408, StoreUnavailableError),
        (429, StoreUnavailableError),
        (503, StoreUnavailableError),
        (400, WriteRefusedError),
        (413, ValueTooLargeError),
        (500, WriteOutcomeUnknownError),
        ("reset", WriteOutcomeUnknownError),
        ("lost", WriteOutcomeUnknownError),
    ],
)
def test_failed_write_raises_the_error_for_its_outcome(
    object_store, object_platform, fault, expected_error
):
    """Guards against treating a write whose response was lost as not done."""
    object_platform.fault_hook = lambda _method, _path: fault
    with pytest.raises(expected_error):
        object_store.put("jobs/a", b"{}", 0)
    object_platform.fault_hook = lambda _method, _path: None
    assert (object_store.get("jobs/a") is not None) == (fault == "lost")


def test_accounts_are_decoded_and_their_keys_are_kept_as_digests():
    account = {"Name": "a1", "ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 57, "Burst": 20}
    route = {**ROUTE, "Public": True, "Priority": 2, "GapTargetMs": 1000}
    config = decode_config(
        json.dumps({"Version": 1, "Routes": [route], "Tenants": [account]}).encode()
    )
    assert config.accounts == (
        Account("a1", frozenset({digest_key("k1"), digest_key("k2")}), 1, 57.0, 20.0),
    )
    assert "k1" not in repr(config)
    assert config.routes[0].is_public and config.routes[0].priority == 2
    assert config.routes[0].max_gap_ms == 1_000.0


def test_a_configuration_without_accounts_differs_from_one_with_an_empty_list():
    without = decode_config(json.dumps({"Version": 1, "Routes": [ROUTE]}).encode())
    empty = decode_config(json.dumps({"Version": 1, "Routes": [ROUTE], "Tenants": []}).encode())
    assert without.accounts is None and empty.accounts == ()


def test_bounds_of_keys_and_quotas_are_read_from_the_settings(tmp_path):
    path = tmp_path / "boot.toml"
    bounds = "StrictRevoke = true\nRevokeMs = 5000\nQuotaWindowS = 4\nQuotaSlack = 20\n"
    path.write_text(SETTINGS.replace("GraceS = 8\n", f"GraceS = 8\n{bounds}"))
    settings = load_host_settings(path)
    assert (settings.revocation_ms, settings.quota_window_ms) == (5_000.0, 4_000.0)
    assert (settings.quota_overage, settings.quota_slack) == (0.0, 20.0)
    path.write_text(SETTINGS)
    assert load_host_settings(path).revocation_ms is None


def test_memory_limit_of_a_process_is_read(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + "\n[Limits]\nMemoryMb = 232\nMaxFds = 4096\n")
    assert load_host_settings(path).memory_bytes == 232_000_000
    path.write_text(SETTINGS)
    assert load_host_settings(path).memory_bytes is None
