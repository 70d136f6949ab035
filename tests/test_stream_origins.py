"""Tests of finding the targets at which a stream began that its caller takes up again."""

import asyncio
from types import SimpleNamespace

import pytest
from msgspec import Struct, json, msgpack

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway import stream_origins
from ebonyshore.gateway.list_check import ListCheck
from ebonyshore.gateway.origin_query import OriginQuery
from ebonyshore.gateway.stream_origins import StreamOrigins, UnknownOriginError
from ebonyshore.host.target import TargetEntry, TargetGroup
from ebonyshore.host.targets import VERSION_LIFETIME_MS, TargetTable
from ebonyshore.link.datagrams import StreamAnswer, StreamQuery, StreamStarts
from ebonyshore.link.peers import PeerRecord
from ebonyshore.link.stream_records import MAX_RECORDS, RECORD_LIFETIME_MS, StreamRecords
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.origin_storage import MAX_STREAM_BYTES, OriginRecord, make_record
from tests.gateway_setup import Gateway, event_ids, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

OLD = TargetGroup("svc", "v1")
NEW = TargetGroup("svc", "v2")
TAKE_UP_HEADERS = ("Last-Event-Id: 2", "Resumes: first-attempt")


def make_entry(version):
    return TargetEntry(f"t-{version}", "svc", "10.0.0.1:80", "fd-a", 8, software_version=version)


class StoreList(ListCheck):
    """What the store lists, which the watch of an entry may not have returned.

    :ivar versions: versions of the listed targets; ``None`` if the store cannot be read.
    :ivar reads: number of times it was read.
    """

    def __init__(self, table):
        self.versions = ()
        self.reads = 0
        self._table = table

    async def confirm(self):
        self.reads += 1
        for version in self.versions or ():
            self._table.note_group(TargetGroup("svc", version), now_ms())
        return self.versions is not None


class Fleet:
    """Entries with a common target table, and runners; datagrams arrive at once.

    :ivar store_list: what the store lists now.
    :ivar lost: number of datagrams that are lost from now on.
    :ivar dead: ids of the processes that receive nothing.
    :ivar late: ids of the processes that do not receive the next datagram.
    """

    def __init__(self, versions=("v1", "v2"), runners=3):
        self.table = TargetTable()
        self.store_list = StoreList(self.table)
        self.list_versions(*versions)
        self.is_list_current = True
        self.runners = {f"r{number}": self.make_runner(f"r{number}") for number in range(runners)}
        self.entries = [self._make_entry(f"e{number}") for number in range(2)]
        self.lost = 0
        self.dead = set()
        self.late = set()
        self.queries = 0

    def make_runner(self, name):
        """Return a runner that knows no stream and has read what is stored."""
        runner = OriginRegistry(name, self.table, lambda: self.is_list_current)
        runner.has_loaded = True
        return runner

    def list_versions(self, *versions):
        self.table.replace_all([make_entry(version) for version in versions], now_ms=0.0)

    def _make_entry(self, name):
        records = {
            runner: PeerRecord(runner, "runner", runner, 1, "fd-a", "1") for runner in self.runners
        }
        others = [(other, 1) for other in ("e0", "e1") if other != name]
        peers = SimpleNamespace(
            own=PeerRecord(name, "entry", name, 1, "fd-a", "1"),
            of_role=lambda _role: records,
            addresses=lambda role: (
                [(runner, 1) for runner in self.runners] if role == "runner" else others
            ),
        )
        return StreamOrigins(
            peers, self.table, self._deliver, lambda: self.is_list_current, self.store_list
        )

    def _deliver(self, message, addresses):
        for host, _ in addresses:
            self.lost -= 1
            if host in self.late:
                self.late.discard(host)
            elif self.lost < 0 and host not in self.dead:
                if host in self.runners:
                    self._receive(host, message)
                else:
                    self._receive_at_entry(self.entries[int(host[1:])], message)

    def _receive_at_entry(self, entry, message):
        if isinstance(message, StreamQuery):
            entry.answer(message)
        else:
            entry.on_answer(message)

    def _receive(self, runner, message):
        if isinstance(message, StreamStarts):
            self.runners[runner].add(message)
        elif isinstance(message, StreamQuery):
            self.queries += 1
            entry = self.entries[int(message.host[1:])]
            entry.on_answer(self.runners[runner].answer(message))


def run(scenario, **arguments):
    async def call():
        return await scenario(Fleet(**arguments))

    return asyncio.run(asyncio.wait_for(call(), 10))


async def find_or_error(entry, request_id="s1"):
    try:
        return (await entry.find(request_id, "svc")).origin
    except UnknownOriginError:
        return UnknownOriginError


@pytest.mark.parametrize("lost, dead", [(0, ()), (2, ()), (0, ("r0",))])
def test_another_entry_finds_the_origin_of_a_stream(lost, dead):
    """Guards against streams that cannot go on because a datagram was lost or a runner ended."""

    async def scenario(fleet):
        fleet.dead = set(dead)
        fleet.lost = lost
        fleet.entries[0].record("s1", OLD)
        fleet.entries[0].report_streams()
        return await find_or_error(fleet.entries[1])

    assert run(scenario) == OLD


def test_stream_is_found_after_all_runners_were_started_again():
    """Guards against streams that cannot go on although the entry that began them still knows."""

    async def scenario(fleet):
        fleet.entries[0].record("s1", OLD)
        fleet.entries[0].report_streams()
        for name in fleet.runners:
            fleet.runners[name] = fleet.make_runner(name)
        return await find_or_error(fleet.entries[1])

    assert run(scenario) == OLD


def test_entry_whose_list_is_old_learns_of_a_version_that_it_does_not_know():
    """Guards against mixing at an entry that cannot read the list while a version is added."""

    async def scenario(fleet):
        former = TargetTable()
        former.replace_all([make_entry("v1")], now_ms=0.0)
        fleet.entries[1]._targets = former
        fleet.is_list_current = False
        fleet.entries[0].record("s1", NEW)
        found = await find_or_error(fleet.entries[1])
        fleet.dead = set(fleet.runners)
        return found, await find_or_error(fleet.entries[1], "s2")

    assert run(scenario) == (NEW, UnknownOriginError)


def test_queries_that_are_lost_are_sent_again():
    async def scenario(fleet):
        fleet.entries[0].record("s1", OLD)
        fleet.lost = len(fleet.runners)
        return await find_or_error(fleet.entries[1])

    assert run(scenario) == OLD


def test_stream_that_began_before_the_second_version_came_is_found(monkeypatch):
    """Guards against streams that are cut off in the first moments of a release."""
    monkeypatch.setattr(stream_origins, "VERSIONS_INTERVAL_MS", 0.0)

    async def scenario(fleet):
        fleet.entries[0].record("s1", OLD)
        fleet.list_versions("v1", "v2")
        fleet.entries[0].report_streams()
        return await find_or_error(fleet.entries[1])

    assert run(scenario, versions=("v1",)) == OLD


def test_unknown_stream_is_refused_only_if_there_are_several_versions():
    async def scenario(fleet):
        found = [await find_or_error(fleet.entries[1], name) for name in ("s1", None)]
        return found, fleet.queries

    assert run(scenario) == ([UnknownOriginError] * 2, 6)  # runners are asked twice
    assert run(scenario, versions=("v1",)) == ([OLD] * 2, 6)


def test_unknown_stream_is_refused_while_a_version_has_just_gone():
    """Guards against mixing at the end of a release, when streams of the old version remain."""

    async def scenario(fleet):
        fleet.table.replace_all([make_entry("v2")], now_ms())
        return await find_or_error(fleet.entries[1])

    assert run(scenario) is UnknownOriginError


def test_records_expire_and_are_bounded():
    records = StreamRecords()
    records.add("s1", OLD, 0.0)
    assert records.find("s1", RECORD_LIFETIME_MS) == OLD
    assert records.find("s1", RECORD_LIFETIME_MS + 1.0) is None
    for number in range(MAX_RECORDS):
        records.add(f"n{number}", NEW, 1.0)
    assert records.find("s1", 1.0) is None and records.find("n0", 1.0) == NEW


def take_up(versions, origin, listed_for_ms=VERSION_LIFETIME_MS):
    """Take up a stream that began at ``origin``; return the answer and the sessions by target.

    :param listed_for_ms: time for which the entry has read the list of targets.
    """
    targets = [ScriptedTarget(send_complete_stream) for _ in versions]

    async def scenario():
        gateway = Gateway(make_route())
        await gateway.start(*targets, versions=versions)
        listed = [target.entry for target in gateway.table.by_id().values()]
        gateway.table.replace_all(listed, now_ms() - listed_for_ms)
        if origin is not None:
            gateway.origins.record("first-attempt", origin)
        answer = await gateway.request(headers=TAKE_UP_HEADERS)
        gateway.close()
        return answer

    answer = asyncio.run(asyncio.wait_for(scenario(), 10))
    return answer, [len(target.sessions) for target in targets]


def test_stream_is_taken_up_at_its_version():
    answer, sessions = take_up(("v1", "v2"), NEW)
    assert status_of(answer) == 200 and event_ids(answer) == [3, 4]
    assert sessions == [0, 1]


@pytest.mark.parametrize(
    "versions, origin, code",
    [
        (("v1", "v2"), None, ResultCode.STREAM_ORIGIN_UNKNOWN),
        (("v1", "v1"), NEW, ResultCode.NO_TARGET),
    ],
)
def test_stream_that_cannot_go_on_is_refused_as_not_run(versions, origin, code):
    """Guards against an answer that goes on at a version that did not begin it."""
    answer, sessions = take_up(versions, origin)
    assert status_of(answer) == 503 and b'"code":%d' % code in answer
    assert b"Retry-After: " in answer
    assert sessions == [0, 0]


def test_unknown_stream_goes_on_if_there_is_one_version():
    answer, sessions = take_up(("v1", "v1"), None)
    assert status_of(answer) == 200 and event_ids(answer) == [3, 4]
    assert sum(sessions) == 1


def test_entry_that_has_just_started_does_not_take_its_list_for_all_versions():
    """Guards against mixing because the only version that is listed seems to be the only one."""
    answer, sessions = take_up(("v1", "v1"), None, listed_for_ms=VERSION_LIFETIME_MS - 1_000.0)
    assert status_of(answer) == 503 and sessions == [0, 0]


def start_afresh(entry):
    """Let an entry list its targets for the first time."""
    listed = [target.entry for target in entry._targets.by_id().values()]
    entry._targets = TargetTable()
    entry._targets.replace_all(listed, now_ms())


def ask_fresh_entry(prepare):
    """Let an entry that has just started look for an unknown stream of the only listed version."""

    async def scenario(fleet):
        start_afresh(fleet.entries[1])
        prepare(fleet)
        return await find_or_error(fleet.entries[1])

    return run(scenario, versions=("v1",), runners=3)


def lose_knowledge(fleet, *names):
    for name in names:
        fleet.runners[name].has_loaded = False


@pytest.mark.parametrize(
    "listed, found",
    [(("v1", "v2"), UnknownOriginError), (None, UnknownOriginError), (("v1",), OLD)],
)
def test_entry_that_nobody_answers_does_not_rely_on_a_list_that_may_be_old(listed, found):
    """Guards against mixing at an entry that is cut off while a new version joins."""

    async def scenario(fleet):
        fleet.table.replace_all([make_entry("v1")], now_ms() - VERSION_LIFETIME_MS - 1_000.0)
        fleet.table._listed_ms = now_ms() - VERSION_LIFETIME_MS - 1_000.0
        fleet.dead = {"r0", "r1", "r2", "e0"}
        fleet.store_list.versions = listed
        origin = await find_or_error(fleet.entries[1])
        assert fleet.store_list.reads == 1
        return origin

    assert run(scenario, versions=("v1",)) == found


def test_entry_that_is_answered_does_not_read_the_list():
    async def scenario(fleet):
        fleet.table._listed_ms = now_ms() - VERSION_LIFETIME_MS - 1_000.0
        assert await find_or_error(fleet.entries[1]) == OLD
        return fleet.store_list.reads

    assert run(scenario, versions=("v1",)) == 0


def test_others_are_heard_beside_the_one_that_answers_first():
    """Guards against mixing because a runner that stood still answers before it reads the list."""

    async def scenario(fleet):
        start_afresh(fleet.entries[1])
        old_table = TargetTable()
        old_table.replace_all([make_entry("v1")], now_ms())
        fleet.runners["r0"] = OriginRegistry("r0", old_table, lambda: True)
        fleet.runners["r0"].has_loaded = True
        fleet.list_versions("v1", "v2")
        fleet.late = {"r1", "r2"}
        return await find_or_error(fleet.entries[1])

    assert run(scenario, versions=("v1",)) == UnknownOriginError


@pytest.mark.parametrize(
    "unloaded, dead, is_list_current, found",
    [
        ((), (), True, OLD),
        (("r0", "r1"), (), True, OLD),
        (("r0", "r1", "r2"), (), True, UnknownOriginError),
        ((), ("r0", "r1", "r2"), True, UnknownOriginError),
        ((), (), False, OLD),  # the store is down: the list of nobody changes
        ((), ("r0", "r1"), False, UnknownOriginError),  # others may be able to read it
    ],
)
def test_only_a_runner_that_knows_the_past_tells_that_there_is_one_version(
    unloaded, dead, is_list_current, found
):
    """Guards against taking the lack of an answer, or of knowledge, for a proof."""

    def prepare(fleet):
        lose_knowledge(fleet, *unloaded)
        fleet.dead = set(dead) | {"e0"}
        fleet.is_list_current = is_list_current

    assert ask_fresh_entry(prepare) == found


def test_version_that_only_one_runner_has_loaded_is_respected():
    record = OriginRecord((NEW,), (("s2",),))

    async def scenario(fleet):
        start_afresh(fleet.entries[1])
        own_table = TargetTable()
        own_table.replace_all([make_entry("v1")], now_ms())
        fleet.runners["r2"] = OriginRegistry("r2", own_table, lambda: True)
        fleet.runners["r2"].has_loaded = True
        fleet.runners["r2"].merge(record)
        return [await find_or_error(fleet.entries[1], name) for name in ("s1", "s2", None)]

    assert run(scenario, versions=("v1",)) == [UnknownOriginError, NEW, UnknownOriginError]


def test_answer_of_the_former_software_is_no_proof():
    """Guards against trusting the default values of fields that the sender does not know."""
    query = OriginQuery()
    query.add(
        msgpack.decode(msgpack.encode(("stream_answer", "r0", "s1", None)), type=StreamAnswer)
    )
    assert not query.is_complete(["r0"])


def test_one_process_without_the_store_does_not_prove_that_the_list_of_others_is_whole():
    """Guards against counting runners that read the list, but not the past, as a majority."""
    query = OriginQuery()
    query.add(StreamAnswer("r0", "s1", None, ("v1",), has_history=True, is_list_current=False))
    for name in ("r1", "r2"):
        query.add(StreamAnswer(name, "s1", None, ("v1",), has_history=False, is_list_current=True))
    assert not query.is_complete(["r0", "r1", "r2"])


def test_former_software_understands_the_messages():
    class FormerQuery(Struct, tag="stream_query", array_like=True):
        sender: str
        host: str
        port: int
        request_id: str

    message = StreamQuery("e0", "h", 1, "s1", "svc")
    assert msgpack.decode(msgpack.encode(message), type=FormerQuery).request_id == "s1"


def test_stored_record_is_bounded_and_keeps_the_newest_streams():
    streams = [(f"request-{number:010}", OLD if number % 2 else NEW) for number in range(60_000)]
    record = make_record([OLD, NEW], streams)
    assert len(json.encode(record)) < MAX_STREAM_BYTES + 1_000
    assert sorted(group[-1] for group in record.streams) == [streams[-2][0], streams[-1][0]]
    assert sum(map(len, record.streams)) > 25_000


def test_stream_is_told_to_runners_other_than_the_storing_one_before_it_is_relayed():
    """Guards against streams whose origin ends with an entry and one runner of its domain."""

    async def scenario(fleet):
        fleet.entries[0].note_totals_sender("r0")
        fleet.entries[0].record("s1", OLD)
        at_once = [name for name, runner in fleet.runners.items() if runner.added]
        fleet.entries[0].report_streams()
        return at_once, fleet.runners["r0"].added

    assert run(scenario) == (["r1", "r2"], 1)
