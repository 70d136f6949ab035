"""Tests that processes learn of each other's crashes, although datagrams are lost."""

from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.datagrams import Datagram, SuspicionUpdate
from ebonyshore.link.messages import Verdict
from ebonyshore.link.suspicion import SHARED_CONVICTION_CRASHES, WEAK_CONVICTION_CRASHES
from ebonyshore.link.suspicion_exchange import (
    CONVICTION_INTERVAL_MS,
    MAX_COMPLETED_CONTENTS,
    MAX_VERDICTS_PER_DATAGRAM,
    RECENT_COMPLETION_MS,
)
from tests.gateway_setup import make_suspicions

STEP_MS = 20.0
LOST_SENDS = 2  # in succession, from one process to another
MAX_PACKET_BYTES = 1_472  # of a datagram on Ethernet


class Fleet:
    """Entries and runners that exchange suspicions; :attr:`drops` says which datagrams are lost.

    As in the processes, entries send to the runners, runners send changes to all processes, and the
    first runner sends convictions also to the entries.
    """

    def __init__(self, entries=2, runners=2):
        self.now_ms = 0.0
        self.entries = [make_suspicions(f"e{n}") for n in range(entries)]
        self.runners = [make_suspicions(f"r{n}") for n in range(runners)]
        self.drops = lambda _sender, _receiver: False
        self.datagrams = 0

    def step(self, count=1):
        for _ in range(count):
            self.now_ms += STEP_MS
            for entry in self.entries:
                entry.send(self._socket(entry), self.runners, [], self.now_ms)
            for runner in self.runners:
                runners = [peer for peer in self.runners if peer is not runner]
                everyone = runners + self.entries
                convictions_to = everyone if runner is self.runners[0] else runners
                runner.send(self._socket(runner), everyone, convictions_to, self.now_ms)

    def _socket(self, sender):
        fleet = self

        class Socket:
            def send(self, message, receivers):
                for receiver in receivers:
                    fleet.datagrams += 1
                    if not fleet.drops(sender, receiver):
                        is_runner = receiver in fleet.runners
                        receiver.merge(message.verdicts, fleet.now_ms, is_relayed=is_runner)

        return Socket()

    def crash(self, process, content, *crash_ids):
        for crash_id in crash_ids:
            process.record_crash(crash_id, (content,), self.now_ms)

    def convicted_at(self, content):
        processes = self.entries + self.runners
        return [p.table.is_convicted(content, self.now_ms) for p in processes]


def test_crashes_that_different_processes_have_seen_convict_content_at_all():
    fleet = Fleet()
    fleet.crash(fleet.entries[0], "bad", "t1/1.1")
    fleet.crash(fleet.entries[1], "bad", "t2/1.1")
    fleet.crash(fleet.runners[1], "bad", "t3/1.1")
    fleet.step(2)
    assert all(fleet.convicted_at("bad"))


def test_weak_evidence_of_different_processes_convicts_after_more_crashes():
    """Guards against content that crashes its targets after a few events, and against holding back
    a long item that was in flight at several crashes which it did not cause."""
    fleet = Fleet()
    for number in range(WEAK_CONVICTION_CRASHES):
        fleet.step(2)
        assert not any(fleet.convicted_at("bad"))
        process = (fleet.entries + fleet.runners)[number % 3]
        process.record_crash(f"t{number}/1.1", ("bad",), fleet.now_ms, ("bad",))
    fleet.step(2)
    assert all(fleet.convicted_at("bad"))


def test_crash_that_is_weak_evidence_to_one_process_only_counts_in_full():
    fleet = Fleet()
    for number in range(SHARED_CONVICTION_CRASHES):
        crash_id = f"t{number}/1.1"
        fleet.entries[0].record_crash(crash_id, ("bad",), fleet.now_ms, ("bad",))
        fleet.crash(fleet.entries[1], "bad", crash_id)
    fleet.step(4)
    assert all(fleet.convicted_at("bad"))


def test_one_crash_that_several_processes_have_seen_counts_once():
    fleet = Fleet()
    for process in fleet.entries + fleet.runners:
        fleet.crash(process, "harmless", "t1/1.1")
    fleet.step(4)
    assert not any(fleet.convicted_at("harmless"))


def test_completion_at_one_process_clears_content_at_all():
    """Guards against convicting content that completes elsewhere between its crashes."""
    fleet = Fleet()
    for number in range(4):
        fleet.crash(fleet.entries[0], "harmless", f"t{number}/1.1")
        fleet.step(4)
        fleet.entries[1].record_completed("harmless", fleet.now_ms)
        fleet.step(4)
    assert not any(fleet.convicted_at("harmless"))


def test_content_that_completes_elsewhere_is_not_convicted_by_crashes_in_quick_succession():
    """Guards against refusing popular content when many targets crash at the same time."""
    fleet = Fleet()
    fleet.entries[1].record_completed("popular", fleet.now_ms)
    for number in range(4):
        fleet.crash(fleet.entries[0], "popular", f"t{number}/1.1")
        fleet.step(2)
    fleet.crash(fleet.entries[1], "popular", "t5/1.1", "t6/1.1", "t7/1.1")
    fleet.step(4)
    assert not any(fleet.convicted_at("popular"))


def test_content_is_convicted_although_it_completed_long_ago():
    fleet = Fleet()
    fleet.entries[0].record_completed("bad", fleet.now_ms)
    fleet.now_ms += RECENT_COMPLETION_MS
    fleet.crash(fleet.entries[0], "bad", "t1/1.1", "t2/1.1", "t3/1.1")
    fleet.step(2)
    assert all(fleet.convicted_at("bad"))


def test_completed_content_that_is_remembered_is_limited():
    fleet = Fleet()
    for number in range(MAX_COMPLETED_CONTENTS + 1):
        fleet.entries[0].record_completed(f"c{number}", fleet.now_ms)
    fleet.crash(fleet.entries[0], "c0", "t1/1.1")
    fleet.crash(fleet.entries[0], "c1", "t1/1.1")
    assert fleet.entries[0].table.is_suspect("c0", fleet.now_ms)
    assert not fleet.entries[0].table.is_suspect("c1", fleet.now_ms)


def test_changes_reach_all_if_one_send_of_each_arrives():
    fleet = Fleet()
    sends = {}

    def drops(sender, receiver):
        sends[sender, receiver] = sends.get((sender, receiver), 0) + 1
        return sends[sender, receiver] <= LOST_SENDS

    fleet.drops = drops
    fleet.crash(fleet.entries[0], "bad", "t1/1.1", "t2/1.1", "t3/1.1")
    fleet.step(2 * (LOST_SENDS + 1))
    assert all(fleet.convicted_at("bad"))


def test_process_that_was_started_later_learns_of_convictions():
    fleet = Fleet()
    fleet.crash(fleet.entries[0], "bad", "t1/1.1", "t2/1.1", "t3/1.1")
    fleet.step(10)
    fleet.entries[1] = make_suspicions("e1")
    fleet.runners[0] = make_suspicions("r0")
    fleet.step(2 + 2 * int(CONVICTION_INTERVAL_MS / STEP_MS))
    assert all(fleet.convicted_at("bad"))


def test_nothing_is_sent_while_nothing_is_suspect():
    fleet = Fleet()
    fleet.step(200)
    assert fleet.datagrams == 0


def test_many_changes_are_split_into_several_datagrams():
    fleet = Fleet(entries=1, runners=1)
    contents = [f"c{number}" for number in range(2 * MAX_VERDICTS_PER_DATAGRAM + 1)]
    for content in contents:
        fleet.crash(fleet.entries[0], content, "t1/1.1")
    fleet.entries[0].send(fleet._socket(fleet.entries[0]), fleet.runners, [], 0.0)
    assert fleet.datagrams == 3
    assert all(fleet.runners[0].table.is_suspect(content, 0.0) for content in contents)


def test_full_datagram_fits_into_one_packet():
    """Guards against fragments: a datagram is lost with any one of them."""
    crash_ids = tuple(f"i-0123456789ab/1796359862969.{number}@1796377321439" for number in range(5))
    verdict = Verdict(
        "0123456789abcdef", 5, True, 123.456, crash_ids=crash_ids[:2], weak_crash_ids=crash_ids[2:]
    )
    update = SuspicionUpdate("storage-vn-south-a-1", (verdict,) * MAX_VERDICTS_PER_DATAGRAM)
    assert len(MessageCodec(Datagram, Metrics()).encode(update)) <= MAX_PACKET_BYTES
