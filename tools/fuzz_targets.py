"""The decoders of foreign bytes, as functions that a fuzzer calls.

Each function returns or raises nothing for any bytes: the typed errors of its decoder are expected,
and every other exception is a fault.
"""

from asyncio import run, sleep
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

from msgspec import Struct
from msgspec.json import encode
from msgspec.msgpack import encode as encode_message

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import StoreUnavailableError, UnreadableObjectError
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.heard_totals import HeardTotals
from ebonyshore.host.accounts import Account, digest_key
from ebonyshore.host.event_stream import EventSplitter, StreamOrderError
from ebonyshore.host.job_types import BodyPart, ItemRecord, JobRecord, ResultSegment
from ebonyshore.host.key_ring import KeyRing
from ebonyshore.host.request_content import content_digest, part_digests
from ebonyshore.host.response_reader import AttemptFailedError, ResponseReader
from ebonyshore.host.routes import RouteTable
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_speed import TargetSpeeds
from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError
from ebonyshore.http.headers import FIELD_BYTES, Headers
from ebonyshore.http.messages import Request
from ebonyshore.http.request_reader import (
    FIELD_FRAMING_BYTES,
    RequestReader,
    RequestRejectedError,
)
from ebonyshore.http.responder import Responder
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_connection import ServerConnection
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.datagrams import Datagram, StreamQuery
from ebonyshore.link.job_call import JobCallKind, decode_job_request
from ebonyshore.link.load_table import (
    Incarnation,
    LimitReport,
    LoadReport,
    LoadTable,
    LoadTotals,
    TargetCounts,
    TotalsPart,
)
from ebonyshore.link.peers import PeerRecord
from ebonyshore.link.rate_limits import RateLimits
from ebonyshore.link.renewals import Renewal
from ebonyshore.link.target_speeds import SpeedReport, SpeedUpdate
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.job_bodies import decode_submission
from ebonyshore.platform.object_store import PlatformObjectStore
from ebonyshore.platform.target_entries import decode_start, decode_target_entry
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.quota_ledger import QuotaLedger
from ebonyshore.runner.saved_items import SavedItems
from ebonyshore.runner.suspicion_store import SuspicionRecord
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.store_http_client import StoreResponse
from ebonyshore_standins.client_crowd import HTTP_SHAPES
from ebonyshore_standins.memory_platform import MemoryPlatform
from ebonyshore_standins.received_bytes import feed_bytes
from ebonyshore_standins.wire_samples import (
    CONFIG,
    ENTRY,
    EVENTS,
    OBJECT,
    PAGE,
    REQUEST,
    RESPONSE,
    SUBMISSION,
    SWITCHING,
    UPGRADE,
)

LOW_LIMITS = ServerLimits(max_header_bytes=2_000, max_body_bytes=5_000)
# Fields as objects, their bytes twice at most, and the body.
MAX_HELD_BYTES = (
    LOW_LIMITS.max_header_bytes * (FIELD_BYTES // FIELD_FRAMING_BYTES + 3)
    + LOW_LIMITS.max_body_bytes
)
MAX_CHUNKS = 64  # in which the bytes of a connection arrive
FUZZED_BYTES = 4_000  # of what a client sends without end
RECORD_TYPES = (
    JobRecord,
    BodyPart,
    ResultSegment,
    SavedItems,
    PeerRecord,
    Renewal,
    QuotaLedger,
    SuspicionRecord,
)
JOB = JobRecord("j", "h", "/p/", 0, 1.0, 1.0, 3, (ItemRecord("i", "/x", (("A", "b"),), b"c"),))
RECORD = b'{"sequence":1,"marks":["00ff"],"body":%b}' % encode(JOB)
STREAM = b"id: 1\ndata: abc\n\nid: 2\ndata: d\ndata: e\n\nid: 3\n\n"
REPORT = LoadReport(
    "a",
    "run-1",
    3,
    "entry",
    {"t1": TargetCounts(1, 2)},
    limits=(LimitReport(Incarnation("t1", 5), 2.5, 10.0, 3.0),),
)
TOTALS = LoadTotals("a", "run-1", 3, REPORT.counts, {"b": 2}, (), REPORT.limits)
SPEEDS = SpeedUpdate("a", False, (SpeedReport(Incarnation("t1", 5), 20.0, 5.0, 30.0, 2.0),))
PART = TotalsPart("a", "run-1", 4, 1, {"t1": TargetCounts(2, 1)}, {"t2": TargetCounts(1, 0)})
DATAGRAMS = (REPORT, TOTALS, PART, SPEEDS, StreamQuery("a", "127.0.0.1", 9, "q"))


class FuzzTarget(Struct, frozen=True):
    """A decoder to fuzz.

    :param check: calls it; raises only if the decoder has a fault.
    :param examples: valid inputs, which the fuzzer changes.
    """

    name: str
    check: Callable[[bytes], None]
    examples: tuple[bytes, ...]


class _Transport:
    """A transport that sends nothing."""

    def __init__(self) -> None:
        self.is_closed = False

    def write(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        pass

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        pass


class _StoreClient:
    def __init__(self, body: bytes) -> None:
        self._body = body

    def read(self, path: str, watch_timeout_ms: float | None = None) -> StoreResponse:
        return StoreResponse(200, "", self._body)


def _chunks(data: bytes) -> list[bytes]:
    """Split the bytes of a connection; the first byte determines the size of the parts."""
    size = max(len(data) // MAX_CHUNKS + 1, data[0] if data else 1)
    return [data[start : start + size] for start in range(0, len(data), size)]


def check_listing(data: bytes) -> None:
    """Read a page of a list; decode its entries."""
    with suppress(StoreUnavailableError):
        for found in PlatformObjectStore(_StoreClient(data)).list_objects("k").objects:
            decode_target_entry("t", found.value)


def check_watch(data: bytes) -> None:
    """Read the events of a watch; decode their entries."""
    with suppress(StoreUnavailableError):
        for found in PlatformObjectStore(_StoreClient(data)).watch("k", 1, 0).changes:
            decode_target_entry("t", found.value or b"")


def check_stored_object(data: bytes) -> None:
    """Read one object, and its bytes as each type of record."""
    with suppress(StoreUnavailableError):
        PlatformObjectStore(_StoreClient(data)).get("k/n")
    store = MarkedStore(MemoryPlatform(SystemClock()), SystemClock())
    for record_type in RECORD_TYPES:
        with suppress(UnreadableObjectError):
            store.decode("k/n", 1, data, record_type)


def check_target_report(data: bytes) -> None:
    """Decode a load report of a target."""
    decode_start(data)


def check_config(data: bytes) -> None:
    """Decode a configuration and look up a route and a key in it."""
    with suppress(ValueError):
        config = decode_config(data)
        RouteTable(config).find("a.example", "/x/y")
        KeyRing(config.accounts or ()).find(Headers([("Authorization", "Bearer k")]))


def check_submission(data: bytes) -> None:
    """Decode a job that a caller submits."""
    with suppress(ValueError):
        encode(decode_submission(data).items)


def check_events(data: bytes) -> None:
    """Split an event stream."""
    splitter = EventSplitter()
    with suppress(StreamOrderError):
        for chunk in _chunks(data):
            splitter.feed(chunk)


def check_response(data: bytes) -> None:
    """Read the response of a target: as a stream, as a body, and without interest in its body."""
    for read_rest in (_read_stream, _read_body, ResponseReader.skip_body):
        with suppress(ExchangeError, AttemptFailedError, StreamOrderError):
            run(_read_response(data, read_rest))


async def _read_response(
    data: bytes, read_rest: Callable[[ResponseReader], Awaitable[None]]
) -> None:
    connection = ClientConnection()
    connection.connection_made(_Transport())
    connection.send(b"")
    for chunk in _chunks(data):
        feed_bytes(connection, chunk)
    connection.connection_lost(None)
    target = Target(TargetEntry("t1", "svc", "10.0.0.9:80", "fd-a", 8))
    reader = ResponseReader(connection, WIRE_NAMES, target, "a1", float("inf"))
    await reader.read_head(None)
    await read_rest(reader)


async def _read_stream(reader: ResponseReader) -> None:
    splitter = EventSplitter()
    while not isinstance(part := await reader.next_part(None), BodyEnd):
        splitter.feed(part)


async def _read_body(reader: ResponseReader) -> None:
    decode_start(await reader.read_body(lambda: reader.next_part(None)))


def check_request(data: bytes) -> None:
    """Read requests of a caller."""
    run(_read_requests(data))


async def _read_requests(data: bytes) -> None:
    ring = KeyRing([Account("n", frozenset([digest_key("k")]))])

    async def handle(request: Request, responder: Responder) -> None:
        ring.find(request.headers)
        host = request.headers.get("host") or ""
        content_digest(host, request.method, request.target, request.body)
        part_digests(request.headers.get_joined("prompt-prefix"))
        with suppress(ValueError):
            decode_job_request(request.target)
        request.headers.end_to_end().encode()
        responder.send(200, Headers(), b"")

    await _serve(data, handle)


async def _serve(data: bytes, handle: Callable[[Request, Responder], Awaitable[None]]) -> None:
    failures: list[Exception] = []
    server = HttpServer(handle, ServerLimits(), lambda _request, error: failures.append(error))
    connection = ServerConnection(server)
    connection.connection_made(_Transport())
    for chunk in _chunks(data):
        feed_bytes(connection, chunk)
        while connection._task is not None:
            await sleep(0)
    connection.connection_lost(None)
    if failures:
        raise failures[0]


def check_request_memory(data: bytes) -> None:
    """Read requests of a caller with low limits, and compare what they hold with these."""
    reader = RequestReader(lambda: LOW_LIMITS, lambda: 0.0)
    with suppress(RequestRejectedError):
        for chunk in _chunks(data):
            received = reader.feed(memoryview(chunk))
            while received:
                received = reader.feed_rest()
            if reader.held_bytes > MAX_HELD_BYTES:
                raise AssertionError(f"an incomplete request holds {reader.held_bytes} bytes")


def check_job_call(data: bytes) -> None:
    """Decode the target of a request about a job."""
    with suppress(ValueError):
        decode_job_request(data.decode("latin-1"))


def check_datagram(data: bytes) -> None:
    """Decode a datagram of another process, and apply it where it changes sums over processes."""
    message = MessageCodec(Datagram, Metrics()).decode(data)
    if isinstance(message, LoadReport):
        table = LoadTable("z")
        table.add_report(message, 1.0)
        table.drop_expired(2.0)
        table.totals(2.0)
        _apply_limits(table.limits(2.0))
    elif isinstance(message, LoadTotals):
        _apply_limits(message.limits)
        HeardTotals(message, 1.0).apply(PART, 2.0)
    elif isinstance(message, TotalsPart):
        _apply_limits(message.limits)
        HeardTotals(TOTALS, 1.0).apply(message, 2.0)
    elif isinstance(message, SpeedUpdate):
        speeds = TargetSpeeds()
        speeds.merge(message, 1.0)
        speeds.merged_updates(2.0)


def _apply_limits(reports: Iterable[LimitReport]) -> None:
    limits = RateLimits(lambda: 2, 0.0)
    limits.update_others("a", reports, 1.0)
    for report in reports:
        limits.allowance(report.incarnation, 2.0)
        limits.batch_allowance(report.incarnation, 2.0)
    limits.own_reports(3.0)


JOB_CALL = b"/jobs/j1?" + b"&".join(
    b"call=%b&first=1&wait_ms=5.5&item_id=i&age_ms=2&account=a" % kind.value.encode()
    for kind in JobCallKind
)

FUZZ_TARGETS = (
    FuzzTarget("listing", check_listing, (PAGE, ENTRY)),
    FuzzTarget("watch", check_watch, (EVENTS,)),
    FuzzTarget("stored_object", check_stored_object, (RECORD, OBJECT)),
    FuzzTarget("target_report", check_target_report, (b'{"born":5,"Queued":1}', ENTRY)),
    FuzzTarget("config", check_config, (CONFIG,)),
    FuzzTarget("submission", check_submission, (SUBMISSION,)),
    FuzzTarget("events", check_events, (STREAM,)),
    FuzzTarget("response", check_response, (RESPONSE, RESPONSE + RESPONSE, SWITCHING)),
    FuzzTarget("request", check_request, (REQUEST, REQUEST + REQUEST, UPGRADE)),
    FuzzTarget(
        "request_memory",
        check_request_memory,
        tuple(b"".join(shape.parts(FUZZED_BYTES)) for shape in HTTP_SHAPES.values()),
    ),
    FuzzTarget("job_call", check_job_call, (JOB_CALL,)),
    FuzzTarget("datagram", check_datagram, tuple(map(encode_message, DATAGRAMS))),
)
