"""Exchanges limits of targets that return, and the evidence that they follow from, in datagrams.

Each process sends what it has seen to the runners, and one runner sends the entries the limits that
follow. Changes are sent several times, because datagrams may be lost. What concerns a target that
still has a limit is also repeated, so that a process that was started or cut off in the meantime
learns of it.
"""

from collections.abc import Mapping, Sequence, Set

from ebonyshore.host.pace import TargetPace
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.pace_messages import PaceLimits, PaceReport

CHANGE_SENDS = 3  # of each change
REPEAT_INTERVAL_MS = 1_000.0  # while a target has a limit
MAX_TARGETS_PER_DATAGRAM = 16  # keeps a datagram below 1,500 bytes

Addresses = list[tuple[str, int]]


class _Repeats:
    """Selects what has changed and what is due to be repeated."""

    __slots__ = ("_left", "_repeated_ms", "_values")

    def __init__(self) -> None:
        self._values: dict[Incarnation, object] = {}
        self._left: dict[Incarnation, int] = {}
        self._repeated_ms = float("-inf")

    def note(self, values: Mapping[Incarnation, object]) -> None:
        """Record the present values of all known targets."""
        changed = [key for key, value in values.items() if self._values.get(key) != value]
        self._left = {key: left for key, left in self._left.items() if key in values}
        self._left.update(dict.fromkeys(changed, CHANGE_SENDS))
        self._values = dict(values)

    def repeat(self, incarnation: Incarnation) -> None:
        """Send the value of a target once more if it is known."""
        if incarnation in self._values:
            self._left.setdefault(incarnation, 1)

    def take_due(self, limited: Set[Incarnation], now_ms: float) -> list[Incarnation]:
        """Return the targets to send now.

        :param limited: those that have a limit.
        """
        due = set(self._left)
        self._left = {key: left - 1 for key, left in self._left.items() if left > 1}
        if now_ms - self._repeated_ms >= REPEAT_INTERVAL_MS:
            self._repeated_ms = now_ms
            due |= limited
        return sorted(due, key=lambda incarnation: incarnation.target_id)


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

    def send_evidence(self, socket: LoadSocket, addresses: Addresses, now_ms: float) -> None:
        """Send what this process has seen, where it is new or due to be repeated."""
        values = {evidence.incarnation: evidence for evidence in self._pace.evidence(now_ms)}
        self._evidence.note({key: evidence.counts for key, evidence in values.items()})
        limited = {key for key, evidence in values.items() if evidence.limit is not None}
        for due in _batches(self._evidence.take_due(limited, now_ms)):
            evidence = tuple(values[key] for key in due)
            socket.send(PaceReport(self._own_id, evidence), addresses)

    def send_limits(self, socket: LoadSocket, addresses: Addresses, now_ms: float) -> None:
        """Send the limits, where they are new or due to be repeated."""
        values = {limit.incarnation: limit for limit in self._pace.limits(now_ms)}
        self._limits.note(
            {key: (limit.limit, limit.pause_ms > 0.0) for key, limit in values.items()}
        )
        limited = {key for key, limit in values.items() if limit.limit is not None}
        for due in _batches(self._limits.take_due(limited, now_ms)):
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
