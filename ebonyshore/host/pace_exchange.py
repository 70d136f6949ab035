"""Exchanges limits of targets that return, and the evidence that they follow from, in datagrams.

Each process sends what it has seen to the runners, and one runner sends the entries the limits that
follow. Changes are sent several times, because datagrams may be lost. What concerns a target that
still has a limit is also repeated, so that a process that was started or cut off in the meantime
learns of it. The bytes that a process receives in a second are bounded: what has changed goes
before what is repeated, and what does not fit waits for its turn.
"""

from collections.abc import Mapping, Sequence, Set
from heapq import nsmallest

from ebonyshore.host.pace import TargetPace
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.byte_budget import ByteBudget
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.pace_messages import PaceLimits, PaceReport

ENTRY_BYTES_PER_S = 13_000.0  # to one entry; as much as its control traffic may be
RUNNER_BYTES_PER_S = 400_000.0  # to one runner, from all processes together
TARGET_BYTES = 64  # of what is sent about one target
UNDELAYED_TARGETS = 400  # that are looked at with each send
SCAN_TARGET_MS = 0.05  # between two looks for changes, for each target beyond these
CHANGE_SENDS = 3  # of each change
REPEAT_INTERVAL_MS = 1_000.0  # while a target has a limit
MAX_TARGETS_PER_DATAGRAM = 16  # keeps a datagram below 1,500 bytes

Addresses = list[tuple[str, int]]


class _Repeats:
    """Selects what has changed and what is due to be repeated."""

    __slots__ = ("_budget", "_left", "_next_scan_ms", "_sent_ms", "_values")

    def __init__(self) -> None:
        self._budget = ByteBudget()
        self._values: dict[Incarnation, object] = {}
        self._left: dict[Incarnation, int] = {}
        self._sent_ms: dict[Incarnation, float] = {}
        self._next_scan_ms = float("-inf")

    def is_scan_due(self, now_ms: float) -> bool:
        """Return whether to look for changes. With more targets that is done less often."""
        return now_ms >= self._next_scan_ms

    def note(self, values: Mapping[Incarnation, object], now_ms: float) -> None:
        """Record the present values of all known targets."""
        changed = [key for key, value in values.items() if self._values.get(key) != value]
        self._left = {key: left for key, left in self._left.items() if key in values}
        self._left.update(dict.fromkeys(changed, CHANGE_SENDS))
        self._sent_ms = {key: at_ms for key, at_ms in self._sent_ms.items() if key in values}
        self._values = dict(values)
        self._next_scan_ms = now_ms + SCAN_TARGET_MS * (len(values) - UNDELAYED_TARGETS)

    def repeat(self, incarnation: Incarnation) -> None:
        """Send the value of a target once more if it is known."""
        if incarnation in self._values:
            self._left.setdefault(incarnation, 1)

    def take_due(
        self, limited: Set[Incarnation], rate_bytes_per_s: float, now_ms: float
    ) -> list[Incarnation]:
        """Return the targets to send now.

        :param limited: those that have a limit.
        :param rate_bytes_per_s: how much may be sent.
        """
        available_bytes = self._budget.available_bytes(rate_bytes_per_s, now_ms)
        number = max(0, int(available_bytes / TARGET_BYTES))
        due = sorted(self._left, key=lambda key: -self._left[key])[:number]
        for key in due:
            self._left[key] -= 1
            if not self._left[key]:
                del self._left[key]
        due += self._due_repeats(limited - set(due), number - len(due), now_ms)
        self._sent_ms.update(dict.fromkeys(due, now_ms))
        self._budget.take(len(due) * TARGET_BYTES)
        return sorted(due, key=lambda incarnation: incarnation.target_id)

    def _due_repeats(
        self, limited: Set[Incarnation], number: int, now_ms: float
    ) -> list[Incarnation]:
        """Return the targets that were not sent for longest, if it is time."""
        due = [
            key
            for key in limited
            if now_ms - self._sent_ms.get(key, float("-inf")) >= REPEAT_INTERVAL_MS
        ]
        return nsmallest(number, due, key=lambda key: self._sent_ms.get(key, float("-inf")))


class PaceExchange:
    """Sends and receives the datagrams about targets that return.

    :param own_id: instance id of this process.
    :param targets: the known targets and their limits; news of others are ignored.
    """

    __slots__ = ("_evidence", "_limits", "_own_id", "_pace", "_targets")

    def __init__(self, own_id: str, targets: TargetTable) -> None:
        self._own_id = own_id
        self._targets = targets
        self._pace: TargetPace = targets.pace
        self._evidence = _Repeats()
        self._limits = _Repeats()

    def merge_report(self, report: PaceReport, now_ms: float) -> None:
        """Apply what another process has seen.

        One that learned of a target late has missed that it has no limit any more; it is told.
        """
        for evidence in report.evidence:
            capacity = self._capacity(evidence.incarnation)
            if capacity is not None:
                self._pace.merge_evidence(report.sender, evidence, capacity, now_ms)
                if evidence.limit is not None and self._pace.limit(evidence.incarnation) is None:
                    self._limits.repeat(evidence.incarnation)

    def adopt_limits(self, message: PaceLimits, now_ms: float) -> None:
        """Use the limits that a runner has computed."""
        for limit in message.limits:
            capacity = self._capacity(limit.incarnation)
            if capacity is not None:
                self._pace.adopt(limit, capacity, now_ms)

    def send_evidence(
        self, socket: LoadSocket, addresses: Addresses, now_ms: float, sender_count: int = 1
    ) -> None:
        """Send what this process has seen, where it is new or due to be repeated.

        :param sender_count: number of processes that send evidence to the same runner.
        """
        if not self._evidence.is_scan_due(now_ms):
            return
        values = {evidence.incarnation: evidence for evidence in self._pace.evidence(now_ms)}
        self._evidence.note({key: evidence.counts for key, evidence in values.items()}, now_ms)
        limited = {key for key, evidence in values.items() if evidence.limit is not None}
        rate_bytes_per_s = min(ENTRY_BYTES_PER_S, RUNNER_BYTES_PER_S / max(1, sender_count))
        for due in _batches(self._evidence.take_due(limited, rate_bytes_per_s, now_ms)):
            evidence = tuple(values[key] for key in due)
            socket.send(PaceReport(self._own_id, evidence), addresses)

    def send_limits(self, socket: LoadSocket, addresses: Addresses, now_ms: float) -> None:
        """Send the limits, where they are new or due to be repeated."""
        if not self._limits.is_scan_due(now_ms):
            return
        values = {limit.incarnation: limit for limit in self._pace.limits(now_ms)}
        self._limits.note(
            {key: (limit.limit, limit.pause_ms > 0.0) for key, limit in values.items()}, now_ms
        )
        limited = {key for key, limit in values.items() if limit.limit is not None}
        for due in _batches(self._limits.take_due(limited, ENTRY_BYTES_PER_S, now_ms)):
            limits = tuple(values[key] for key in due)
            socket.send(PaceLimits(self._own_id, limits), addresses)

    def _capacity(self, incarnation: Incarnation) -> int | None:
        """Return the capacity of a target, or ``None`` if the list does not show it."""
        target = self._targets.find(incarnation.target_id)
        if target is None or target.incarnation != incarnation:
            return None
        return target.entry.capacity


def _batches(incarnations: Sequence[Incarnation]) -> list[Sequence[Incarnation]]:
    """Split targets into groups that fit into one datagram each."""
    return [
        incarnations[start : start + MAX_TARGETS_PER_DATAGRAM]
        for start in range(0, len(incarnations), MAX_TARGETS_PER_DATAGRAM)
    ]
