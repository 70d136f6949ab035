"""What every process has at each target, and the sums that follow. Pure.

Each process reports its own counts. Runners hear all reports; one of them sends each entry the sums
of the others, so that the number of messages grows with the number of processes, not its square.
"""

from collections.abc import Iterable
from math import ceil

from msgspec import Struct

REPORT_TIMEOUT_MS = 1_000.0
MUTUAL_TIMEOUT_MS = 500.0
# A lost instance closes no connection, so targets go on with its requests until they end.
LOST_ONLINE_DECAY_MS = 1_000.0
LOST_BATCH_DECAY_MS = 5_000.0


class LastSeen(Struct, frozen=True):
    """When a process was last known to live, and which run of it."""

    at_ms: float
    incarnation: str


class TargetCounts(Struct, frozen=True, array_like=True):
    """Requests of one or more processes at one target."""

    online: int
    batch: int

    def plus(self, other: "TargetCounts") -> "TargetCounts":
        """Return the sum."""
        return TargetCounts(self.online + other.online, self.batch + other.batch)

    def decayed(self, silent_ms: float) -> "TargetCounts":
        """Return what is still there of a process that has been silent for a time."""
        online = self.online * max(0.0, 1.0 - silent_ms / LOST_ONLINE_DECAY_MS)
        batch = self.batch * max(0.0, 1.0 - silent_ms / LOST_BATCH_DECAY_MS)
        return TargetCounts(ceil(online), ceil(batch))


class LoadReport(Struct, frozen=True, tag="report", array_like=True):
    """One process's own counts; replaces its report before.

    :param incarnation: run of the process.
    :param sequence: grows with each report of the run.
    :param role: ``entry`` or ``runner``.
    :param counts: by target id; targets without a request are left out.
    :param open_items: batch items that the process has still to finish.
    :param heard_runners: runners that the process has heard lately.
    :param observed_batch: all batch items by target that an entry knows of, while it receives
        totals from runners that do not hear each other.
    """

    sender: str
    incarnation: str
    sequence: int
    role: str
    counts: dict[str, TargetCounts]
    open_items: int = 0
    heard_runners: tuple[str, ...] = ()
    observed_batch: dict[str, int] = {}


class LoadTotals(Struct, frozen=True, tag="totals", array_like=True):
    """The sums of all processes but the receiver.

    :param runners: open items of each live runner, by instance id.
    """

    sender: str
    incarnation: str
    sequence: int
    counts: dict[str, TargetCounts]
    runners: dict[str, int]


LoadMessage = LoadReport | LoadTotals


class LoadTable:
    """Holds the latest report of each process.

    :param own_id: instance id of this process; its own reports are not heard.
    """

    __slots__ = ("_heard_ms", "_last_signs", "_lost", "_mutual_since_ms", "_own_id", "_reports")

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._reports: dict[str, LoadReport] = {}
        self._heard_ms: dict[str, float] = {}
        self._last_signs: dict[str, LastSeen] = {}
        self._lost: dict[str, LoadReport] = {}
        self._mutual_since_ms: dict[str, float] = {}

    def add_report(self, report: LoadReport, now_ms: float) -> bool:
        """Take a report; return whether it was new. Datagrams may come twice or out of order."""
        if report.sender == self._own_id:
            return False
        known = self._reports.get(report.sender)
        is_old = known is not None and known.incarnation == report.incarnation
        if is_old and known.sequence >= report.sequence:
            return False
        if (
            not self.is_mutually_heard(report.sender, now_ms)
            and self._own_id in report.heard_runners
        ):
            self._mutual_since_ms[report.sender] = now_ms
        self._reports[report.sender] = report
        self._heard_ms[report.sender] = now_ms
        self._lost.pop(report.sender, None)
        self.mark_seen(report.sender, report.incarnation, now_ms)
        return True

    def mark_seen(self, sender: str, incarnation: str, now_ms: float) -> None:
        """Take that a process was alive, as its report or its record in the store shows."""
        self._last_signs[sender] = LastSeen(now_ms, incarnation)

    def drop_expired(self, now_ms: float) -> None:
        """Forget processes that were not heard for :data:`REPORT_TIMEOUT_MS`."""
        expired = [
            key for key, at_ms in self._heard_ms.items() if now_ms - at_ms > REPORT_TIMEOUT_MS
        ]
        for sender in expired:
            self._lost[sender] = self._reports.pop(sender)
            del self._heard_ms[sender]
        for sender in list(self._lost):
            if now_ms - self._last_signs[sender].at_ms > LOST_BATCH_DECAY_MS:
                del self._lost[sender]

    def last_seen(self, sender: str) -> LastSeen | None:
        """Return the last sign of a process, also one that is silent now; ``None`` if none came."""
        return self._last_signs.get(sender)

    def is_mutually_heard(self, sender: str, now_ms: float) -> bool:
        """Return whether a process was heard just now, and hears this one."""
        report = self._reports.get(sender)
        if report is None or self._own_id not in report.heard_runners:
            return False
        return now_ms - self._heard_ms[sender] < MUTUAL_TIMEOUT_MS

    def is_mutually_heard_since(self, sender: str, since_ms: float, now_ms: float) -> bool:
        """Return whether a process has heard this one, and was heard, from a time on till now."""
        return self.is_mutually_heard(sender, now_ms) and self._mutual_since_ms[sender] <= since_ms

    def has_lowest_runner_id(self) -> bool:
        """Return whether this process, a runner, has the lowest id of the live ones.

        Duties that need no more than one runner are that one's.
        """
        return all(self._own_id < runner for runner in self.runners())

    def runners(self) -> dict[str, LoadReport]:
        """Return the reports of the live runners, without this process's own."""
        return {key: report for key, report in self._reports.items() if report.role == "runner"}

    def totals(self, now_ms: float, excluded: str = "") -> dict[str, TargetCounts]:
        """Return the sums by target over the heard and lately lost processes, except one."""
        sums: dict[str, TargetCounts] = {}
        for sender, report in self._reports.items():
            if sender != excluded:
                add_counts(sums, report.counts)
        for sender, report in self._lost.items():
            silent_ms = now_ms - self._last_signs[sender].at_ms
            left = {key: count.decayed(silent_ms) for key, count in report.counts.items()}
            add_counts(sums, left)
        return sums

    def max_observed_batch(self, target_id: str) -> int:
        """Return the most batch items that an entry sees at a target; 0 if none tells."""
        return max(
            (report.observed_batch.get(target_id, 0) for report in self._reports.values()),
            default=0,
        )


def merge_totals(totals: Iterable[LoadTotals]) -> dict[str, TargetCounts]:
    """Join the sums of senders that do not hear each other.

    Entries report to all runners, so each sender knows all online requests, but batch items of its
    own side only. Sums that count one runner twice are not joined; the newer one is taken.

    :param totals: newest first, one of each sender.
    """
    merged: dict[str, TargetCounts] = {}
    counted: set[str] = set()
    for message in totals:
        if counted & set(message.runners):
            continue
        counted |= set(message.runners)
        for target_id, count in message.counts.items():
            known = merged.get(target_id, TargetCounts(0, 0))
            online = max(known.online, count.online)
            merged[target_id] = TargetCounts(online, known.batch + count.batch)
    return merged


def add_counts(sums: dict[str, TargetCounts], counts: dict[str, TargetCounts]) -> None:
    """Add ``counts`` to ``sums``."""
    for target_id, count in counts.items():
        known = sums.get(target_id)
        sums[target_id] = count if known is None else known.plus(count)
