"""Sizes are counted as the store, callers and other processes count them: in encoded bytes."""

import asyncio
import json

import pytest
from msgspec.structs import replace

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.encoded_size import json_size
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.host.target import TargetGroup
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request
from ebonyshore.link.datagrams import StreamStarts
from ebonyshore.link.job_call import PATH_HEADER
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.platform.job_bodies import encode_results
from ebonyshore.runner import result_writer
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_storage import JobStorage
from ebonyshore.runner.quota_ledger import (
    KnownReservations,
    QuotaLedger,
    Reservation,
    ReservationRequest,
    change_ledger,
)
from ebonyshore.runner.result_writer import ResultWriter
from ebonyshore.runner.saved_items import make_saved_items
from ebonyshore.runner.suspicion_store import SuspicionKeeper, SuspicionStorage
from ebonyshore.store.marked_write import MarkedStore
from tests.registry_setup import RegistrySetup
from tests.test_account_jobs import ApiCaller, make_runners
from tests.test_stored_convictions import KeeperSetup, run_blocking

PAGE_BYTES = 1_000_000
GUJARATI = "સ"  # three bytes
RESULTS_PATH = "/ebonyshore/objects/jobresults"
TEXTS = {
    "three_bytes": GUJARATI * 100_000,
    "escapes": "\x01" * 120_000,
    "quotes": '"\\' * 150_000,
    "larger_than_an_object": GUJARATI * 1_000_000,
}


class RecordingLog(EventLog):
    """Keeps the names of events."""

    def __init__(self):
        super().__init__()
        self.names = []

    def event(self, name, **_fields):
        self.names.append(name)


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    monkeypatch.setattr(result_writer, "RETRY_DELAY_MS", 5.0)


def make_setup(object_store, items=6):
    records = tuple(ItemRecord(f"i{n}", "/p/x", (), b"b") for n in range(items))
    storage = JobStorage(MarkedStore(object_store, ManualClock(0.0)))
    return RegistrySetup("a", 1e9, epoch=1, storage=storage, own_id="a", items=records)


def write_results(setup, texts, timeout_s=4.0):
    """End items with the given texts; return the events of the log while they are written."""
    (progress,) = setup.registry.owned_jobs()
    log = RecordingLog()

    async def write():
        for item, text in zip(progress.items, texts, strict=False):
            item.data = [text]
            progress.end_item(item, True, 0.0)
        writer = ResultWriter(setup.registry, ManualClock(1e12), log, Metrics())
        async with asyncio.timeout(timeout_s):
            while progress.pending_count:
                writer.start_due_writes(is_urgent=True)
                await asyncio.sleep(0.001)

    asyncio.run(write())
    return log.names


def read_all(progress):
    """Return the results page by page, as callers read them, with the sizes of the pages."""
    results, sizes, position = [], [], 0
    while (page := progress.result_page(position)).results:
        body = encode_results(page)
        sizes.append(len(body))
        results += json.loads(body)["Results"]
        position = page.next_position
    return results, sizes


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
def test_results_of_any_text_are_listed_whole(object_store, text):
    """Guards against finished items that are never listed, as the store refuses their results."""
    setup = make_setup(object_store)
    write_results(setup, [text] * 6)
    reader = make_setup(object_store).read()  # as the next owner reads the store
    results, sizes = read_all(reader)
    assert [(found["State"], found["Data"]) for found in results] == [("complete", text)] * 6
    assert all(size <= PAGE_BYTES for size in sizes) or len(sizes) == 6


def test_store_that_takes_smaller_values_than_expected_gets_smaller_ones(
    object_platform, object_store
):
    setup = make_setup(object_store)
    object_platform.state.value_bytes = 40_000
    write_results(setup, ["x" * 90_000] * 3)
    assert len(make_setup(object_store).read().result_page(0).results) == 3


def test_result_that_the_store_refuses_for_good_does_not_block_others(
    object_platform, object_store
):
    """Guards against items that wait behind a result which no write can store."""
    serve = object_platform.serve

    def refuse_bad_text(method, target, body):
        return (400, {}) if b"bad" in body else serve(method, target, body)

    object_platform.serve = refuse_bad_text
    setup = make_setup(object_store)
    log = write_results(setup, ["good", "bad", "good"])
    results, _ = read_all(make_setup(object_store).read())
    states = {found["Id"]: found["State"] for found in results}
    assert states == {"i0": "complete", "i1": "dead_lettered", "i2": "complete"}
    assert log.count("result_refused") == 1


def test_bodies_that_exceed_an_object_are_stored(object_store):
    """Guards against a job that is refused for ever as if the store were down."""
    bodies = (b"a" * 1_700_000, b"", b"c" * 590_000)
    items = tuple(ItemRecord(f"i{n}", "/p/x", (), body) for n, body in enumerate(bodies))
    storage = JobStorage(MarkedStore(object_store, ManualClock(0.0)))
    setup = RegistrySetup("a", 1e9, epoch=1, storage=storage, own_id="a", items=items)
    progress = setup.read()
    assert tuple(progress.item_body(n) for n in range(3)) == bodies


def test_unfinished_items_that_fit_are_saved_beside_one_that_does_not():
    setup = RegistrySetup(epoch=1)
    (progress,) = setup.registry.owned_jobs()
    group = TargetGroup("svc", "v1")
    for item, text in zip(progress.items, ("\x01" * 400_000, "short"), strict=True):
        item.add_event(1, text, group)
    progress.items[0].ended_runs_ms = 9_000.0
    assert [item.index for item in make_saved_items(progress, 0.0).items] == [1]


def test_long_ids_of_streams_arrive():
    """Guards against streams whose origin is not known, as their datagram was too large."""
    starts = tuple((f"{n}" + "x" * 4_000, TargetGroup("svc", "v1")) for n in range(25))

    async def send():
        received = []
        receiver = LoadSocket(Metrics(), received.append)
        sender = LoadSocket(Metrics(), received.append)
        await receiver.open("127.0.0.1", 0)
        await sender.open("127.0.0.1", 0)
        sender.send(StreamStarts("e1", starts), [receiver._transport.get_extra_info("sockname")])
        await asyncio.sleep(0.1)
        receiver.close()
        sender.close()
        return received

    received = asyncio.run(send())
    assert {stream for message in received for stream in message.streams} == set(starts)


@pytest.mark.parametrize(
    "field, value, status",
    [("Id", "a\nb", 400), ("Id", " a", 400), ("Id", "第", 202), ("Path", "x" * 1_100_000, 413)],
    ids=["line_feed", "space_at_the_start", "beyond_latin_1", "too_large"],
)
def test_job_that_can_never_run_is_refused_for_good(platform, field, value, status):
    """Guards against a job that is refused without end, or accepted and never run."""
    job = json.dumps({"Items": [{"Id": "i1", "Path": "/p/x", field: value}]}).encode()
    request = Request("POST", "/jobs/j1?call=submit", Headers([(PATH_HEADER, "/p/")]), job, 0.0)
    request.headers.add("Host", "h")
    replies = []

    class Answer:
        def send(self, status, headers, body):
            replies.append((status, headers.get("Retry-After")))

        def set_holder(self, _holder):
            pass

    async def submit():
        api = ApiCaller(make_runners(platform, accounts=None)[0]).api
        await api._serve(request, Answer())

    asyncio.run(submit())
    assert replies == [(status, None)]


@pytest.mark.parametrize("is_accepted", [True, False])
def test_ledger_without_room_is_not_written_larger(is_accepted):
    """Guards against a limit that cannot be written, not even to give tokens back."""
    ledger = QuotaLedger(tuple(Reservation(f"j{n}", 1, "a") for n in range(100)))
    request = ReservationRequest(Reservation("new", 1, "a"), is_accepted)
    known = KnownReservations()
    full = change_ledger(ledger, known, [request], 1_000, limit_bytes=json_size(ledger))
    assert full.ledger == ledger and ("new" in full.refused) is not is_accepted
    assert not change_ledger(ledger, known, [request], 1_000).refused


def test_convictions_behind_one_that_the_store_refuses_are_stored(
    object_platform, object_store, clock
):
    setup = KeeperSetup(object_store, clock)
    serve = object_platform.serve
    object_platform.serve = lambda method, target, body: (
        (400, {}) if b"bad" in body else serve(method, target, body)
    )

    async def store():
        for content in ("good", *(f"bad-{number}" for number in range(9))):
            setup.convict(content)
        await setup.keeper.run_once()

    asyncio.run(store())
    assert [name for _, name in object_platform.state.objects] == ["good"]


def test_suspicions_that_fit_are_stored(object_platform, object_store, clock):
    setup = KeeperSetup(object_store, clock)
    keeper = SuspicionKeeper(
        SuspicionStorage(MarkedStore(object_store, clock), EventLog()),
        setup.suspicions,
        setup.load_table,
        run_blocking,
        clock,
        EventLog(),
        limit_bytes=1_000,
    )

    async def store():
        setup.suspicions.record_crash("t1/1.1", [f"c{n}" for n in range(100)], now_ms())
        await keeper.run_once()

    asyncio.run(store())
    (stored,) = object_platform.state.objects.values()
    suspects = stored["Spec"]["body"]["suspects"]
    assert suspects and json_size(suspects) <= 1_000


def test_store_that_refuses_everything_for_a_while_costs_no_result(object_platform, object_store):
    """Guards against giving up results for a refusal that does not concern them."""
    serve, refused = object_platform.serve, []

    def refuse_at_first(method, target, body):
        if target.startswith(RESULTS_PATH) and len(refused) < 40:
            refused.append(target)
            return 403, {}
        return serve(method, target, body)

    setup = make_setup(object_store)
    object_platform.serve = refuse_at_first
    write_results(setup, ["good"] * 3)
    results, _ = read_all(make_setup(object_store).read())
    assert [found["State"] for found in results] == ["complete"] * 3 and len(refused) == 40


def test_next_owner_stores_a_result_in_parts_from_the_start():
    """Guards against a result that is joined from the parts of two owners."""
    record = JobRecord("j1", "h", "/p/", 0, 1e9, 1.0, 3, (ItemRecord("i0", "/p/x", (), b""),))
    former, successor, reader = (JobProgress(record, segment_bytes=1_000) for _ in range(3))
    successor.record = replace(record, epoch=2)
    for progress, text in ((former, "a" * 2_500), (successor, "b" * 2_500)):
        progress.items[0].data = [text]
        progress.end_item(progress.items[0], True, 0.0)
    stored = [former.build_segment()]
    former.apply_segment(stored[0])
    late = former.build_segment()
    successor.apply_segment(stored[0])
    while successor.pending_count:
        stored.append(successor.build_segment())
        successor.apply_segment(stored[-1])
    reader.apply_segments(0, [stored[0], stored[1], late, *stored[2:]])
    (result,) = reader.result_page(0).results
    assert result.is_complete and result.data == "b" * 2_500
