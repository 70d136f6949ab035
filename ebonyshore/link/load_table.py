"""The request counts that processes report for each target, and totals over them. No I/O.

Each process reports its own counts to all runners. One of the runners sends each entry the totals
of all other processes, so that the number of messages grows with the number of processes, not with
its square.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct, structs

from ebonyshore.link.count_sums import CountSums
from ebonyshore.link.target_counts import LOST_BATCH_DECAY_MS, NO_COUNTS, TargetCounts
from ebonyshore.link.wire_types import Finite

REPORT_TIMEOUT_MS = 1_000.0
MUTUAL_TIMEOUT_MS = 500.0


class LastSeen(Struct, frozen=True):
    """The last time at which a process was known to be running.

    :param at_ms: the time, on the clock of this process.
    :param incarnation: the run of the process; a restarted process has a new one.
    """

    at_ms: float
    incarnation: str


class Incarnation(Struct, frozen=True, array_like=True):
    """One run of a target.

    :param started_ms: wall time of its start; 0 if the list does not show it.
    """

    target_id: str
    started_ms: int


class LimitReport(Struct, frozen=True, array_like=True):
    """The rate limit that a target names for all processes, and requests that were sent there.

    :param rate_per_s: the limit; ``None`` if the target does not name one any more.
    :param age_ms: time since the response that said so.
    :param requests: number of requests in the last
        :data:`~ebonyshore.link.rate_limits.LIMIT_WINDOW_MS`.
    :param wanted_per_s: online requests a second that could have been sent there.
    """

    incarnation: Incarnation
    rate_per_s: Finite | None
    age_ms: Finite
    requests: Finite
    wanted_per_s: Finite = 0.0


class LoadReport(Struct, frozen=True, tag="report", array_like=True):
    """The counts of one process; replaces the previous report of the same process.

    :param sender: instance id of the process.
    :param incarnation: the run of the process.
    :param sequence: increases with each report of a run.
    :param role: ``entry`` or ``runner``.
    :param counts: counts by target id; targets without requests are omitted.
    :param open_items: number of batch items that the process has yet to complete.
    :param heard_runners: instance ids of the runners whose reports the process receives.
    :param observed_batch: number of batch items of all runners by target id, from the totals that
        an entry receives. Empty unless several runners send totals, which happens if they do not
        receive each other's reports.
    :param waiting_tokens: tokens of the unfinished items of the runner's jobs, by quota.
    :param contended_quotas: the quotas that are nearly used up, as far as the runner knows.
    :param leaving: targets that have said that they leave, before the list shows it.
    :param limits: rate limits of targets, and the requests of the process there.
    :param clock_ms: for an entry: its boot clock when it made the report.
    :param is_store_silent: for a runner: whether its store probe gets no answers.
    :param newest_versions: newest version of an object in the store that the process knows, by
        kind.
    :param reads_parts: for an entry: whether it understands :class:`TotalsPart`.
    :param needs_totals: for an entry that does: whether it has missed a part, or has no totals.
    """

    sender: str
    incarnation: str
    sequence: int
    role: str
    counts: dict[str, TargetCounts]
    open_items: int = 0
    heard_runners: tuple[str, ...] = ()
    observed_batch: dict[str, int] = {}
    waiting_tokens: dict[str, int] = {}
    contended_quotas: tuple[str, ...] = ()
    leaving: tuple[Incarnation, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    clock_ms: Finite = 0.0
    is_store_silent: bool = False
    newest_versions: dict[str, int] = {}
    reads_parts: bool = False
    needs_totals: bool = False


class LoadTotals(Struct, frozen=True, tag="totals", array_like=True):
    """The totals over all processes except the receiver.

    :param sender: instance id of the runner that sends the totals.
    :param incarnation: the run of the sender.
    :param sequence: increases with each message of a run.
    :param counts: counts by target id.
    :param runners: number of open items of each live runner, by instance id.
    :param leaving: as in :class:`LoadReport`, from all processes.
    :param limits: as in :class:`LoadReport`, with the requests of all other processes.
    :param newest_versions: as in :class:`LoadReport`, over all processes.
    :param part_number: number of the last :class:`TotalsPart` that these totals include.
    """

    sender: str
    incarnation: str
    sequence: int
    counts: dict[str, TargetCounts]
    runners: dict[str, int]
    leaving: tuple[Incarnation, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    newest_versions: dict[str, int] = {}
    part_number: int = 0


class TotalsPart(Struct, frozen=True, tag="totals_part", array_like=True):
    """The counts at some targets, which replace those of earlier totals and parts.

    :param sender: instance id of the runner that sends the totals.
    :param incarnation: the run of the sender.
    :param sequence: increases with each message of a run, as that of :class:`LoadTotals` does.
    :param number: one more than that of the last part that was sent to the receiver.
    :param counts: counts of all processes by target id. The receiver has no requests there as far
        as the sender knows, unless the target is also among ``others``.
    :param others: counts of all processes but the receiver, by target id.
    :param runners: as in :class:`LoadTotals`; empty if it was sent a short time ago.
    :param leaving: as in :class:`LoadTotals`, like the next two.
    """

    sender: str
    incarnation: str
    sequence: int
    number: int
    counts: dict[str, TargetCounts]
    others: dict[str, TargetCounts] = {}
    runners: dict[str, int] = {}
    leaving: tuple[Incarnation, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    newest_versions: dict[str, int] = {}


class LoadTable:
    """Keeps the latest report of each other process.

    All times are milliseconds on one clock of this process; every method must be given times of the
    same clock.

    :param own_id: instance id of this process; reports with this sender are ignored.
    """

    __slots__ = (
        "_last_seen",
        "_lost_reports",
        "_mutually_heard_since_ms",
        "_own_id",
        "_received_ms",
        "_reports",
        "_sums",
        "_unsummed",
    )

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._reports: dict[str, LoadReport] = {}
        self._received_ms: dict[str, float] = {}
        self._last_seen: dict[str, LastSeen] = {}
        self._lost_reports: dict[str, LoadReport] = {}
        self._mutually_heard_since_ms: dict[str, float] = {}
        self._sums = CountSums()
        self._unsummed: set[str] = set()  # senders whose latest report the sums do not include

    def add_report(self, report: LoadReport, now_ms: float) -> bool:
        """Store a received report, unless it is outdated or from this process.

        Datagrams may be duplicated or reordered.

        :return: whether the report was stored.
        """
        if report.sender == self._own_id:
            return False
        known = self._reports.get(report.sender)
        is_same_run = known is not None and known.incarnation == report.incarnation
        if is_same_run and known.sequence >= report.sequence:
            return False
        if (
            not self.is_mutually_heard(report.sender, now_ms)
            and self._own_id in report.heard_runners
        ):
            self._mutually_heard_since_ms[report.sender] = now_ms
        self._reports[report.sender] = report
        self._unsummed.add(report.sender)
        self._received_ms[report.sender] = now_ms
        self._lost_reports.pop(report.sender, None)
        self.mark_seen(report.sender, report.incarnation, now_ms)
        return True

    def mark_seen(self, sender: str, incarnation: str, now_ms: float) -> None:
        """Record that a process is running, as shown by its report or its record in the store."""
        self._last_seen[sender] = LastSeen(now_ms, incarnation)

    def drop_expired(self, now_ms: float) -> None:
        """Treat processes without a report for :data:`REPORT_TIMEOUT_MS` as lost.

        The counts of a lost process are removed :data:`LOST_BATCH_DECAY_MS` after it was last seen.
        """
        expired = [
            key for key, at_ms in self._received_ms.items() if now_ms - at_ms > REPORT_TIMEOUT_MS
        ]
        for sender in expired:
            self._lost_reports[sender] = self._reports.pop(sender)
            del self._received_ms[sender]
        for sender in list(self._lost_reports):
            if now_ms - self._last_seen[sender].at_ms > LOST_BATCH_DECAY_MS:
                del self._lost_reports[sender]
                self._sums.replace(sender, {})

    def last_seen(self, sender: str) -> LastSeen | None:
        """Return when a process was last seen, also if it is lost; ``None`` if it never was."""
        return self._last_seen.get(sender)

    def is_mutually_heard(self, sender: str, now_ms: float) -> bool:
        """Return whether this process and another one receive each other's reports.

        The latest report of the other process must be less than :data:`MUTUAL_TIMEOUT_MS` old and
        name this process as heard.
        """
        report = self._reports.get(sender)
        if report is None or self._own_id not in report.heard_runners:
            return False
        return now_ms - self._received_ms[sender] < MUTUAL_TIMEOUT_MS

    def is_mutually_heard_since(self, sender: str, since_ms: float, now_ms: float) -> bool:
        """Return whether :meth:`is_mutually_heard` has held without interruption since a time."""
        return (
            self.is_mutually_heard(sender, now_ms)
            and self._mutually_heard_since_ms[sender] <= since_ms
        )

    def has_lowest_runner_id(self) -> bool:
        """Return whether this process, a runner, has the lowest instance id of all live runners.

        That runner performs the duties for which one runner is enough.
        """
        return all(self._own_id < runner for runner in self.runners())

    def runners(self) -> dict[str, LoadReport]:
        """Return the latest reports of the other live runners, by instance id."""
        return {key: report for key, report in self._reports.items() if report.role == "runner"}

    def totals(self, now_ms: float, excluded: str = "") -> Mapping[str, TargetCounts]:
        """Return the total counts by target over all live and recently lost processes.

        Costs as much as has changed since the last call.

        :param excluded: instance id of a live process whose counts are left out.
        :return: not to be changed; valid until the next call of a method.
        """
        for sender in self._unsummed:
            report = self._reports.get(sender)
            if report is not None:
                self._sums.replace(sender, report.counts)
        self._unsummed.clear()
        for sender, report in self._lost_reports.items():
            silent_ms = now_ms - self._last_seen[sender].at_ms
            remaining = {key: count.decayed(silent_ms) for key, count in report.counts.items()}
            self._sums.replace(sender, remaining)
        if excluded in self._reports:
            return without(self._sums.by_target, self._sums.included(excluded))
        return self._sums.by_target

    @property
    def sums(self) -> Mapping[str, TargetCounts]:
        """The totals at the time of the last call of :meth:`totals`; not to be changed."""
        return self._sums.by_target

    def take_changed_targets(self) -> set[str]:
        """Return the ids of the targets whose totals have changed between calls of this method."""
        return self._sums.take_changed()

    def report(self, sender: str) -> LoadReport | None:
        """Return the latest report of a live process."""
        return self._reports.get(sender)

    def limits(self, now_ms: float, excluded: str = "") -> list[LimitReport]:
        """Return what all live processes have reported of rate limits, with their present ages.

        :param excluded: instance id of a process whose report is left out.
        """
        return [
            structs.replace(limit, age_ms=limit.age_ms + now_ms - self._received_ms[sender])
            for sender, report in self._reports.items()
            if sender != excluded
            for limit in report.limits
        ]

    def entries(self) -> dict[str, LoadReport]:
        """Return the latest reports of the live entries, by instance id."""
        return {key: report for key, report in self._reports.items() if report.role == "entry"}

    def live_processes(self) -> set[str]:
        """Return the instance ids of the other processes whose reports are not too old."""
        return set(self._reports)

    def observed_batch(self) -> dict[str, int]:
        """Return the highest numbers of batch items that entries report, by target id."""
        highest: dict[str, int] = {}
        for report in self._reports.values():
            for target_id, count in report.observed_batch.items():
                highest[target_id] = max(count, highest.get(target_id, 0))
        return highest


def merge_totals(totals: Iterable[LoadTotals]) -> dict[str, TargetCounts]:
    """Merge the totals of runners that do not receive each other's reports.

    Entries report to all runners, so every sender knows all online requests, but only the batch
    items of the runners whose reports it receives. Online counts are therefore merged by their
    maximum and batch counts by their sum. If two totals include the same runner, only the newer is
    used, so that no batch item is counted twice.

    :param totals: the latest totals of each sender, newest first.
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
    """Add ``counts`` to ``sums`` in place."""
    for target_id, count in counts.items():
        known = sums.get(target_id)
        sums[target_id] = count if known is None else known.plus(count)


def without(
    sums: Mapping[str, TargetCounts], counts: Mapping[str, TargetCounts]
) -> dict[str, TargetCounts]:
    """Return ``sums`` less the counts of one process that they include."""
    rest = dict(sums)
    for target_id, count in counts.items():
        left = rest.get(target_id, NO_COUNTS).minus(count)
        if left == NO_COUNTS:
            rest.pop(target_id, None)
        else:
            rest[target_id] = left
    return rest
