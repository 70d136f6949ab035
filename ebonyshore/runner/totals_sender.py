"""Sends the load totals to the entries: all of them in a small fleet, otherwise what has changed.

The sums are computed once for all entries, and encoded once for those of one failure domain. What
an entry itself has reported is taken out of its message for those targets where it has requests.

As long as the complete totals fit one packet, each message has all of them. In a larger fleet a
message has the targets whose totals have changed, in one packet. An entry that has missed one asks
for the complete totals in its next report. Until then it uses the counts that it has; each of them
was the true one at some time, and all are repeated in turn.
"""

from collections.abc import Callable, Mapping, Sequence
from math import inf
from time import thread_time
from typing import cast

from msgspec import Raw
from msgspec.msgpack import Encoder

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.datagrams import Datagram
from ebonyshore.link.limit_sums import LimitSums
from ebonyshore.link.load_socket import PACKET_BYTES, LoadSocket
from ebonyshore.link.load_table import (
    LoadReport,
    LoadTable,
    LoadTotals,
    TotalsPart,
    add_counts,
    without,
)
from ebonyshore.link.peers import PeerDirectory, PeerRecord
from ebonyshore.link.target_counts import NO_COUNTS, TargetCounts
from ebonyshore.runner.pending_targets import PendingTargets

TARGET_BYTES = 16  # of one target in the totals, encoded, as assumed for the size of a fleet
PART_COUNT_BYTES = 1_000  # of the counts in one part; the rest of the packet is for other fields
ENTRY_BYTES_PER_S = 25_000.0  # of parts, to one entry
MAX_PROCESSOR_SHARE = 0.1  # of one core, for the totals
MAX_INTERVAL_MS = 200.0  # between two messages to an entry, whatever they cost
HEARTBEAT_MS = 100.0  # between two parts if nothing has changed
SLOW_FIELDS_INTERVAL_MS = 200.0  # for what entries need to know less often
REPEATED_TARGETS_PER_S = 100.0  # that are sent although their totals have not changed
MAX_REPEATED_TARGETS = 16  # in one part
COMPLETE_INTERVAL_MS = 2_000.0  # between complete totals to one entry that reads parts
OUTDATED_INTERVAL_MS = 200.0  # the same for one that does not
MAX_COMPLETE_TOTALS = 16  # in one send, in a large fleet

Counts = Mapping[str, TargetCounts]


class _Send:
    """What all messages of one send have in common.

    :ivar has_parts: whether the fleet is too large for complete totals in each message.
    :ivar sent_bytes: sum over all entries.
    """

    __slots__ = (
        "_socket",
        "has_parts",
        "limits",
        "now_ms",
        "own_report",
        "runners",
        "sent_bytes",
    )

    def __init__(
        self,
        socket: LoadSocket,
        own_report: LoadReport,
        runners: dict[str, int],
        limits: LimitSums,
        now_ms: float,
    ) -> None:
        self._socket = socket
        self.own_report = own_report
        self.runners = runners
        self.limits = limits
        self.now_ms = now_ms
        self.has_parts = False
        self.sent_bytes = 0

    def send(self, message: Datagram, entry: PeerRecord) -> None:
        """Send a message to an entry."""
        self.sent_bytes += self._socket.send(message, [(entry.host, entry.port)])


class _DomainPart:
    """The counts for the entries of one failure domain, encoded once for all of them."""

    __slots__ = ("counts", "encoded")

    def __init__(self, counts: dict[str, TargetCounts], encoder: Encoder) -> None:
        self.counts = counts
        self.encoded = cast(dict[str, TargetCounts], Raw(encoder.encode(counts)))


class ToldEntry:
    """What an entry was sent.

    :ivar incarnation: the run of the entry.
    :ivar number: number of the last part.
    :ivar complete_ms: time of the last complete totals.
    """

    __slots__ = ("complete_ms", "incarnation", "number")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.number = 0
        self.complete_ms = -inf


class TotalsSender:
    """Sends the totals to all entries, at most as often as their size and cost allow.

    :param peers: the entries.
    :param targets: tells the failure domains of the targets.
    :param load_table: the counts of all other processes.
    :param processor_time_s: returns the processor time that was used so far.
    :ivar held_until_ms: time from which totals may be sent that were too early.
    """

    __slots__ = (
        "_changed",
        "_encoder",
        "_heartbeat_ms",
        "_load_table",
        "_peers",
        "_pending",
        "_processor_time_s",
        "_repeated_ms",
        "_sent_own",
        "_slow_fields_ms",
        "_targets",
        "_to_repeat",
        "_told",
        "_next_ms",
        "held_until_ms",
    )

    def __init__(
        self,
        peers: PeerDirectory,
        targets: TargetTable,
        load_table: LoadTable,
        processor_time_s: Callable[[], float] = thread_time,
    ) -> None:
        self._peers = peers
        self._targets = targets
        self._load_table = load_table
        self._processor_time_s = processor_time_s
        self._encoder = Encoder()
        self._changed: set[str] = set()  # since the last message
        self._told: dict[str, ToldEntry] = {}
        self._pending: dict[str, PendingTargets] = {}
        self._sent_own: Counts = {}
        self._to_repeat: list[str] = []
        self._repeated_ms = -inf
        self._slow_fields_ms = -inf
        self._heartbeat_ms = -inf
        self._next_ms = -inf
        self.held_until_ms = -inf

    def send(
        self,
        socket: LoadSocket,
        own_report: LoadReport,
        runners: dict[str, int],
        limits: LimitSums,
        boot_ms: float,
        now_ms: float,
    ) -> None:
        """Send the totals to all entries; does nothing if it is too early.

        :param own_report: the counts of this process, and what else all processes should know.
        :param runners: number of open items of each live runner.
        :param limits: the rate limits of targets over all processes.
        :param boot_ms: time on the clock of the load table.
        """
        if now_ms < self._next_ms:
            self.held_until_ms = self._next_ms
            return
        self.held_until_ms = -inf
        began_s = self._processor_time_s()
        entries = self._peers.of_role("entry")
        totals = self._load_table.totals(boot_ms)
        self._note_entries(entries)
        self._note_changes(own_report.counts)
        target_count = len(totals.keys() | own_report.counts.keys())
        send = _Send(socket, own_report, runners, limits, now_ms)
        if target_count * TARGET_BYTES <= PACKET_BYTES:
            self._send_complete(send, list(entries.values()))
            for pending in self._pending.values():
                pending.clear()
        else:
            self._send_parts(send, entries)
        self._pace(send, len(entries), began_s)

    def stop(self) -> None:
        """Let the entries ask for complete totals if this process sends them again later."""
        self._load_table.take_changed_targets()
        self._next_ms = self.held_until_ms = -inf
        if self._pending:
            self._pending.clear()
            for told in self._told.values():
                told.number += 1
                told.complete_ms = -inf

    def _note_entries(self, entries: Mapping[str, PeerRecord]) -> None:
        for instance_id in self._told.keys() - entries.keys():
            del self._told[instance_id]
        domains = {entry.failure_domain for entry in entries.values()}
        for failure_domain in self._pending.keys() - domains:
            del self._pending[failure_domain]
        for entry in entries.values():
            told = self._told.get(entry.instance_id)
            if told is None or told.incarnation != entry.incarnation:
                self._told[entry.instance_id] = ToldEntry(entry.incarnation)
            if entry.failure_domain not in self._pending:
                self._pending[entry.failure_domain] = PendingTargets(
                    self._domain_test(entry.failure_domain)
                )

    def _domain_test(self, failure_domain: str) -> Callable[[str], bool]:
        def is_near(target_id: str) -> bool:
            target = self._targets.find(target_id)
            return target is not None and target.entry.failure_domain == failure_domain

        return is_near

    def _note_changes(self, own: Counts) -> None:
        changed = self._load_table.take_changed_targets()
        changed |= {
            target_id
            for target_id in own.keys() | self._sent_own.keys()
            if own.get(target_id) != self._sent_own.get(target_id)
        }
        self._changed, self._sent_own = changed, own
        for pending in self._pending.values():
            pending.add(changed)

    def _send_parts(self, send: "_Send", entries: Mapping[str, PeerRecord]) -> None:
        behind = [entry for entry in entries.values() if self._needs_complete(entry, send.now_ms)]
        behind.sort(key=lambda entry: self._told[entry.instance_id].complete_ms)
        complete = behind[:MAX_COMPLETE_TOTALS]
        self._send_complete(send, complete)
        send.has_parts = True
        is_silent = not any(self._pending.values())
        if is_silent and send.now_ms - self._heartbeat_ms < HEARTBEAT_MS:
            return
        self._heartbeat_ms = send.now_ms
        has_slow_fields = send.now_ms - self._slow_fields_ms >= SLOW_FIELDS_INTERVAL_MS
        if has_slow_fields:
            self._slow_fields_ms = send.now_ms
        repeated = self._take_repeated(send.now_ms)
        parts = {
            failure_domain: _DomainPart(
                self._sums_of(pending.take(PART_COUNT_BYTES, repeated), send.own_report.counts),
                self._encoder,
            )
            for failure_domain, pending in self._pending.items()
        }
        told_now = {entry.instance_id for entry in complete}
        for entry in entries.values():
            report = self._load_table.report(entry.instance_id)
            if entry.instance_id not in told_now and report is not None and report.reads_parts:
                self._send_part(send, entry, report, parts[entry.failure_domain], has_slow_fields)

    def _needs_complete(self, entry: PeerRecord, now_ms: float) -> bool:
        report = self._load_table.report(entry.instance_id)
        since_ms = now_ms - self._told[entry.instance_id].complete_ms
        if report is None or not report.reads_parts:
            return since_ms >= OUTDATED_INTERVAL_MS
        return since_ms == inf or (report.needs_totals and since_ms >= COMPLETE_INTERVAL_MS)

    def _sums_of(self, target_ids: Sequence[str], own: Counts) -> dict[str, TargetCounts]:
        totals = self._load_table.sums
        return {
            target_id: totals.get(target_id, NO_COUNTS).plus(own.get(target_id, NO_COUNTS))
            for target_id in target_ids
        }

    def _send_part(
        self,
        send: "_Send",
        entry: PeerRecord,
        report: LoadReport,
        part: "_DomainPart",
        has_slow_fields: bool,
    ) -> None:
        told = self._told[entry.instance_id]
        told.number += 1
        own_report = send.own_report
        message = TotalsPart(
            own_report.sender,
            own_report.incarnation,
            own_report.sequence,
            told.number,
            part.encoded,
            self._others_of(report, part.counts, own_report.counts),
            send.runners if has_slow_fields else {},
            own_report.leaving,
            send.limits.without(report.limits, is_heard=True),
            own_report.newest_versions if has_slow_fields else {},
        )
        send.send(message, entry)

    def _others_of(self, report: LoadReport, told: Counts, own: Counts) -> dict[str, TargetCounts]:
        """Return the counts of all others where an entry has requests, if there is news of them."""
        due = [key for key in report.counts if key in told or key in self._changed]
        sums = self._sums_of(due, own)
        return {key: sums[key].minus(report.counts[key]) for key in due}

    def _take_repeated(self, now_ms: float) -> list[str]:
        """Return the next targets in turn, so that each is sent again after some time."""
        elapsed_ms = min(now_ms - self._repeated_ms, MAX_INTERVAL_MS)
        number = int(min(MAX_REPEATED_TARGETS, elapsed_ms * REPEATED_TARGETS_PER_S / MS_PER_S))
        if number < 1:
            return []
        self._repeated_ms = now_ms
        if not self._to_repeat:
            self._to_repeat = list(self._targets.by_id())
        repeated, self._to_repeat = self._to_repeat[:number], self._to_repeat[number:]
        return repeated

    def _send_complete(self, send: "_Send", entries: list[PeerRecord]) -> None:
        if not entries:
            return
        own_report = send.own_report
        counts = _sum_counts(self._load_table.sums, own_report.counts)
        for entry in entries:
            told = self._told[entry.instance_id]
            told.complete_ms = send.now_ms
            report = self._load_table.report(entry.instance_id)
            message = LoadTotals(
                own_report.sender,
                own_report.incarnation,
                own_report.sequence,
                counts if report is None else without(counts, report.counts),
                send.runners,
                own_report.leaving,
                send.limits.without(() if report is None else report.limits, report is not None),
                own_report.newest_versions,
                told.number,
            )
            send.send(message, entry)

    def _pace(self, send: "_Send", entry_count: int, began_s: float) -> None:
        cost_ms = (self._processor_time_s() - began_s) * MS_PER_S
        wait_ms = cost_ms / MAX_PROCESSOR_SHARE
        if entry_count and send.has_parts:
            wait_ms = max(wait_ms, send.sent_bytes / entry_count / ENTRY_BYTES_PER_S * MS_PER_S)
        self._next_ms = send.now_ms + min(MAX_INTERVAL_MS, wait_ms)
        if any(self._pending.values()):
            self.held_until_ms = self._next_ms


def _sum_counts(first: Counts, second: Counts) -> dict[str, TargetCounts]:
    sums = dict(first)
    add_counts(sums, second)
    return sums
