"""What another writer has stored and cannot be read costs itself alone."""

import asyncio
import json
from time import process_time

import pytest

from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.target_service import TargetService
from ebonyshore.host.targets import TargetTable
from ebonyshore.http.client import ExchangeError
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.object_store import PlatformObjectStore
from ebonyshore.platform.target_entries import decode_target_entry
from ebonyshore.store.store_http_client import StoreResponse
from ebonyshore.store.unreadable_objects import UnreadableObjects

READABLE = {
    "Service": "svc",
    "Address": "10.0.0.9:80",
    "Zone": "fd-a",
    "Version": "v1",
    "Capacity": 8,
    "State": "ready",
    "Sequence": 1,
    "born": 5,
}
DEPTH = 100_000
UNREADABLE_SPECS = {
    "lone surrogate": b'{"Note":"\\udcff"}',
    "invalid UTF-8": b'{"Service":"\xff\xfe"}',
    "deep nesting": b"[" * DEPTH + b"]" * DEPTH,
    "brackets in a text": b'{"Note":"]}\\"\\\\","Other":"\\ud800"}',
    "number out of range": b'{"Capacity":1e999999,"Service":"svc"}',
    "not a number": b'{"Capacity":NaN}',
    "control character": b'{"Note":"\x00"}',
    "a text": b'"not an entry"',
}


class CannedHttpClient:
    """Answers each read with the next of some bodies."""

    def __init__(self, *bodies: bytes) -> None:
        self._bodies = list(bodies)
        self.paths: list[str] = []

    def read(self, path: str, watch_timeout_ms: float | None = None) -> StoreResponse:
        self.paths.append(path)
        return StoreResponse(200, "", self._bodies.pop(0))


def stored(name: str, spec: bytes, revision: int = 7) -> bytes:
    return b'{"Metadata":{"Name":%b,"Revision":%d},"Spec":%b,"Status":null}' % (
        json.dumps(name).encode(),
        revision,
        spec,
    )


def page(*objects: bytes, is_truncated: bool = False) -> bytes:
    flag = b"true" if is_truncated else b"false"
    return b'{"Items":[%b],"Truncated":%b,"StoreRevision":9}' % (b", ".join(objects), flag)


def events(*objects: bytes) -> bytes:
    listed = b",".join(b'{"Object":%b,"Deleted":false}' % found for found in objects)
    return b'{"events":[%b],"StoreRevision":12}' % listed


def usable_names(objects) -> list[str]:
    names = [found.key.split("/", 1)[1] for found in objects]
    entries = [
        decode_target_entry(name, found.value) for name, found in zip(names, objects, strict=True)
    ]
    return [entry.target_id for entry in entries if entry is not None]


def spec(**changes: object) -> bytes:
    return json.dumps({**READABLE, **changes}).encode()


@pytest.mark.parametrize("bad", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS)
def test_unreadable_entry_in_a_list_leaves_the_others(bad):
    """Guards against processes without any target because of one entry."""
    body = page(stored("t1", spec()), stored("other", bad), stored("t2", spec()))
    listing = PlatformObjectStore(CannedHttpClient(body)).list_objects("servers")
    assert usable_names(listing.objects) == ["t1", "t2"] and listing.revision == 9


@pytest.mark.parametrize("bad", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS)
def test_watch_goes_on_after_an_event_that_cannot_be_read(bad):
    """Guards against processes that learn of no change because of one event."""
    body = events(stored("other", bad), stored("t2", spec()))
    result = PlatformObjectStore(CannedHttpClient(body)).watch("servers", 9, 0)
    assert usable_names(result.changes) == ["t2"] and result.revision == 12


def test_list_goes_on_after_a_page_that_ends_with_an_unreadable_name():
    nameless = b'{"Metadata":{"Name":"\\udcff"},"Spec":null}'
    client = CannedHttpClient(
        page(stored("t1", spec()), nameless, is_truncated=True), page(stored("t2", spec()))
    )
    listing = PlatformObjectStore(client).list_objects("servers")
    assert usable_names(listing.objects) == ["t1", "t2"]
    assert client.paths[1].endswith("After=t1")


@pytest.mark.parametrize("bad", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS)
def test_entry_that_becomes_unreadable_names_no_target_any_more(bad):
    """Guards against requests to a server whose entry another writer has replaced."""
    client = CannedHttpClient(
        page(stored("t1", spec()), stored("t2", spec())), events(stored("t1", bad, revision=11))
    )
    store = PlatformObjectStore(client)

    async def apply() -> TargetTable:
        table = TargetTable()
        service = TargetService(
            table, "servers", decode_target_entry, ConnectionPool(1), EventLog(), Metrics()
        )
        service.on_interruption()  # for a while, a missing entry may be of a target that is alive
        service.on_listing(store.list_objects("servers").objects)
        service.on_changes(store.watch("servers", 9, 0).changes)
        return table

    assert set(asyncio.run(apply()).by_id()) == {"t2"}


@pytest.mark.parametrize("unit", [b'"', b'\\"', b'"\\', b"[", b'[":', b"{,"])
def test_separating_objects_takes_time_linear_in_the_size(unit):
    """Guards against a list of 1 MB that keeps a process busy for minutes."""
    body = b'{"Items":[{"Metadata":{"Name":"a"},"Spec":' + unit * (1_000_000 // len(unit))
    started_s = process_time()
    with pytest.raises(StoreUnavailableError):
        PlatformObjectStore(CannedHttpClient(body)).list_objects("servers")
    assert process_time() - started_s < 5.0


def test_unreadable_entry_is_reported_with_its_key_once_for_each_content():
    metrics = Metrics()
    unreadable = UnreadableObjects(EventLog(), metrics)
    bodies = [page(stored("a", b'"\\udcff"')), page(stored("a", b'"\\udcff"'), stored("b", b"NaN"))]
    store = PlatformObjectStore(CannedHttpClient(*bodies), unreadable.report)
    for count in (1, 2):
        store.list_objects("servers")
        assert metrics.counter("object_unreadable") == count


@pytest.mark.parametrize("name", ["Service", "Address", "Zone", "Version", "Capacity", "Sequence"])
def test_entry_without_a_field_of_the_protocol_is_not_used(name):
    fields = {key: value for key, value in READABLE.items() if key != name}
    assert decode_target_entry("t1", json.dumps(fields).encode()) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": "10.0.0.9:0"},
        {"Address": "10.0.0.9:65536"},
        {"Address": "10.0.0.9:99999999999999999"},
        {"Address": "some.host:80"},
        {"Address": "[::1]:x"},
        {"Capacity": 10**7},
        {"Capacity": True},
        {"born": -1},
        {"born": 2**63},
        {"born": 1.5},
        {"Sequence": -1},
        {"Sequence": "1"},
        {"Zone": ""},
        {"Version": 3},
    ],
)
def test_entry_with_a_value_out_of_range_is_not_used(changes):
    assert decode_target_entry("t1", spec()) is not None
    assert decode_target_entry("t1", spec(**changes)) is None


@pytest.mark.parametrize("address", ["127.0.0.1:65536", "127.0.0.1:99999999999", "::", "h\x00:1"])
def test_connection_to_an_invalid_address_is_refused_with_a_typed_error(address):
    """Guards against an OverflowError that no caller expects."""

    async def connect() -> None:
        await ConnectionPool(1).acquire(address, 500.0, 500.0)

    with pytest.raises(ExchangeError) as raised:
        asyncio.run(connect())
    assert not raised.value.was_sent
