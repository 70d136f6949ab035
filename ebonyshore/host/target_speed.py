"""How fast each target works in comparison with the others, learned from its answers. No I/O.

Load pattern: the targets of one service run at different speeds that no configuration names, and
any of them may become several times slower for a second. The long mean tells a target that is slow
by nature, the short one a target that is slow for now. Without new evidence the short one loses its
weight within seconds and the long one within a minute or two, so nothing is believed for ever.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from itertools import islice
from math import exp, log, sqrt

from msgspec import Struct, structs

from ebonyshore.host.event_times import (
    RECENT_HALF_LIFE_MS,
    USUAL_HALF_LIFE_MS,
    EventTimes,
    LoadEffect,
)
from ebonyshore.host.speed_sum import HeardReport, SpeedSum
from ebonyshore.host.target import Target
from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.target_speeds import SpeedReport, SpeedUpdate

USUAL_PRIOR = 30.0  # events; weight of the assumption that a target is as fast as the others
RECENT_PRIOR = 6.0  # events; weight of the assumption that a target is as fast as usual
MIN_WEIGHT = 1.0  # of evidence that is used or reported
MIN_SPEED = 0.1  # in relation to the mean target, as is the next
MAX_SPEED = 5.0
MIN_REPORT_INTERVAL_MS = 400.0  # between two reports of a process about one target
# Changes of the logarithm of the expected time between events. A report is due when the change
# exceeds both.
NOTICEABLE_CHANGE = 0.2
CHANCE_CHANGE = 2.0  # by chance, of a mean of few recent events; falls with their square root
ESTIMATE_LIFETIME_MS = 100.0
TARGET_LIFETIME_MS = 0.5  # lifetime of the estimates without news, for each target of a service
RENEWAL_INTERVAL_MS = USUAL_HALF_LIFE_MS / 2  # between two reports without a change
WAIT_PER_CHANGE_MS = 1_000.0  # a report that waits as long counts as changed by so much more
UNLIMITED_REPORTS = 1 << 30
MAX_SCANNED = 1_000  # targets that are looked at in one scan for reports
MAX_EVENT_MS = 1e9  # of reports that are used, as is the next
MAX_WEIGHT = 1e12


class SpeedEstimate(Struct, frozen=True):
    """What is expected of a target now.

    :param speed: work in a given time, in relation to the mean target of the service.
    :param usual_speed: the same over tens of seconds.
    :param event_ms: time between two events; 0 if it is not known.
    :param weight: number of events that the estimate rests on, decayed by their age.
    """

    speed: float = 1.0
    usual_speed: float = 1.0
    event_ms: float = 0.0
    weight: float = 0.0


UNKNOWN_SPEED = SpeedEstimate()

SpeedKey = tuple[Incarnation, bool]  # a target, and whether the events are those of batch items
ReportsByKind = tuple[dict[str, SpeedReport], dict[str, SpeedReport]]


class ServiceMeans(Struct, frozen=True):
    """What the targets of a service have in common.

    :param logs: for each kind of event the logarithm of the time between two, in milliseconds.
    :param service_ms: the time between two events over all kinds.
    """

    logs: tuple[float, ...] = (0.0, 0.0)
    service_ms: float = 0.0


class ServiceEstimates:
    """The estimates for the targets of one service, and what they were computed from.

    :ivar means: what all targets of the service have in common.
    :ivar by_id: the estimates by target id.
    :ivar covered: ids of the targets that were looked at; some have no estimate.
    :ivar news: ids of targets of which something was learned since their estimates.
    :ivar complete_ms: time at which the means and all estimates were computed.
    :ivar updated_ms: time at which estimates were last computed.
    """

    __slots__ = ("by_id", "complete_ms", "covered", "means", "news", "updated_ms")

    def __init__(self) -> None:
        self.means = ServiceMeans()
        self.by_id: dict[str, SpeedEstimate] = {}
        self.covered: set[str] = set()
        self.news: set[str] = set()
        self.complete_ms = self.updated_ms = float("-inf")

    def is_complete(self, targets: Sequence[Target], now_ms: float) -> bool:
        """Return whether it is not time yet to compute all estimates for some targets."""
        lifetime_ms = max(ESTIMATE_LIFETIME_MS, TARGET_LIFETIME_MS * len(targets))
        is_recent = now_ms - self.complete_ms < lifetime_ms
        return is_recent and len(targets) <= 2 * len(self.covered)

    def drop(self, target_id: str) -> None:
        """Forget the estimate of a target, which may come back as another incarnation."""
        self.by_id.pop(target_id, None)
        self.covered.discard(target_id)

    def changed(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets that have no estimate yet, or of which something was learned."""
        return [
            target
            for target in targets
            if target.target_id in self.news or target.target_id not in self.covered
        ]

    def replace_all(self, targets: Sequence[Target], by_kind: ReportsByKind, now_ms: float) -> None:
        """Compute all estimates.

        :param by_kind: what is known of the targets.
        """
        self.means = service_means(by_kind)
        self.by_id = {}
        self.covered = set()
        self.complete_ms = now_ms
        self.update(targets, by_kind, now_ms)

    def update(self, targets: Iterable[Target], by_kind: ReportsByKind, now_ms: float) -> None:
        """Compute the estimates of some targets."""
        for target in targets:
            key = target.target_id
            self.covered.add(key)
            if any(key in reports for reports in by_kind):
                self.by_id[key] = estimate_speed(key, by_kind, self.means)
        self.news.clear()
        self.updated_ms = now_ms


class DueReports:
    """Keeps which targets may have to be reported, and how urgent that is.

    Without news a report stays right: what its receivers believe decays as the sum does. Only what
    has changed is therefore looked at, and what was not sent for a long time.
    """

    __slots__ = ("_due_since_ms", "_news", "_sent")

    def __init__(self) -> None:
        self._news: dict[SpeedKey, None] = {}
        self._sent: OrderedDict[SpeedKey, HeardReport] = OrderedDict()
        self._due_since_ms: dict[SpeedKey, float] = {}

    def note(self, key: SpeedKey) -> None:
        """Record that something was learned of a target."""
        self._news[key] = None

    def drop(self, key: SpeedKey) -> None:
        """Forget a target."""
        self._news.pop(key, None)
        self._sent.pop(key, None)
        self._due_since_ms.pop(key, None)

    def take(
        self, find: Callable[[SpeedKey], SpeedReport | None], limit: int, now_ms: float
    ) -> list[tuple[SpeedKey, SpeedReport]]:
        """Return the reports to send now, the largest changes first; they count as sent.

        What has been due for longer goes before what has changed by as much.

        :param find: returns the present report of a target.
        :param limit: highest number of reports; the others stay due.
        """
        urgencies: list[tuple[float, SpeedKey, SpeedReport]] = []
        for key in islice(self._candidates(now_ms), MAX_SCANNED):
            self._news.pop(key, None)  # those that are looked at again go to the end
            report = find(key)
            sent = self._sent.get(key)
            change = None if report is None else due_change(report, sent, now_ms)
            if report is None or change is None:
                self._settle(key, sent, now_ms)
                continue
            since_ms = self._due_since_ms.setdefault(key, now_ms)
            self._news[key] = None
            urgency = change / NOTICEABLE_CHANGE + (now_ms - since_ms) / WAIT_PER_CHANGE_MS
            urgencies.append((urgency, key, report))
        urgent = nlargest(max(0, limit), urgencies, key=lambda found: found[0])
        for _, key, report in urgent:
            self.drop(key)
            self._sent[key] = HeardReport(now_ms, report)
        return [(key, report) for _, key, report in urgent]

    def _candidates(self, now_ms: float) -> list[SpeedKey]:
        candidates = dict(self._news)
        for key, sent in self._sent.items():
            if now_ms - sent.at_ms < RENEWAL_INTERVAL_MS:
                break
            candidates[key] = None
        return list(candidates)

    def _settle(self, key: SpeedKey, sent: HeardReport | None, now_ms: float) -> None:
        """Look at a target that is not due only when there is news, or its last report is old."""
        self._due_since_ms.pop(key, None)
        is_recent = sent is not None and now_ms - sent.at_ms < MIN_REPORT_INTERVAL_MS
        if is_recent:
            self._news[key] = None
        if sent is not None and now_ms - sent.at_ms >= RENEWAL_INTERVAL_MS:
            del self._sent[key]  # what receivers believe has hardly any weight left


class TargetSpeeds:
    """The speeds of all targets, from this process's streams and from the reports of others.

    Events of batch items and of other streams may differ in length. Each kind of event is therefore
    compared with events of its own kind only.

    :param own_id: instance id of this process; updates with this sender are ignored.
    """

    __slots__ = (
        "_due_merged",
        "_due_own",
        "_load_effect",
        "_others",
        "_own",
        "_own_id",
        "_services",
        "_unconfirmed",
    )

    def __init__(self, own_id: str = "") -> None:
        self._own_id = own_id
        self._load_effect = LoadEffect()
        self._own: dict[SpeedKey, EventTimes] = {}
        self._others: dict[SpeedKey, SpeedSum] = {}
        self._due_own = DueReports()
        self._due_merged = DueReports()
        self._services: dict[str, ServiceEstimates] = {}
        self._unconfirmed: set[Incarnation] = set()  # not found in the list of targets yet

    def record_events(
        self, target: Target, is_batch: bool, elapsed_ms: float, events: int, now_ms: float
    ) -> None:
        """Include events of one of this process's streams.

        :param is_batch: whether it is the stream of a batch item.
        :param elapsed_ms: time since the stream's event before these.
        """
        key = (target.incarnation, is_batch)
        times = self._own.get(key)
        if times is None:
            times = self._own[key] = EventTimes(target.entry.capacity, self._load_effect)
            self._unconfirmed.add(target.incarnation)
        times.record(elapsed_ms, events, target.running, now_ms)
        self._note_own(key)

    def record_silence(
        self, target: Target, is_batch: bool, silence_ms: float, now_ms: float
    ) -> None:
        """Include that none of this process's streams at a target has gone on for a time."""
        key = (target.incarnation, is_batch)
        times = self._own.get(key)
        if times is not None:
            times.record_silence(silence_ms, now_ms)
            self._note_own(key)

    def merge(self, update: SpeedUpdate, now_ms: float) -> None:
        """Include the reports of another process."""
        if update.sender == self._own_id:
            return
        for report in update.reports:
            if not _is_plausible(report):
                continue
            key = (report.incarnation, update.is_batch)
            known = self._others.get(key)
            if known is None:
                known = self._others[key] = SpeedSum()
                self._unconfirmed.add(report.incarnation)
            known.replace(update.sender, report, now_ms)
            self._note_news(key)

    def _note_own(self, key: SpeedKey) -> None:
        self._due_own.note(key)
        self._note_news(key)

    def _note_news(self, key: SpeedKey) -> None:
        self._due_merged.note(key)
        for service in self._services.values():
            service.news.add(key[0].target_id)

    def estimates(self, targets: Iterable[Target], now_ms: float) -> dict[str, SpeedEstimate]:
        """Return the estimates for targets of one service by target id.

        Those of targets with news may be up to :data:`ESTIMATE_LIFETIME_MS` old, all others up to
        :data:`TARGET_LIFETIME_MS` for each target of the service. Targets of unknown speed are left
        out.

        :param targets: the targets of the service that this process may use.
        """
        targets = list(targets)
        if not targets:
            return {}
        service = self._services.setdefault(targets[0].entry.service, ServiceEstimates())
        if now_ms - service.updated_ms < ESTIMATE_LIFETIME_MS:
            return service.by_id
        if service.is_complete(targets, now_ms):
            changed = service.changed(targets)
            service.update(changed, self._known(changed, now_ms), now_ms)
        else:
            service.replace_all(targets, self._known(targets, now_ms), now_ms)
        return service.by_id

    def snapshot(self, targets: Iterable[Target], now_ms: float) -> dict[str, SpeedEstimate]:
        """Return the estimates for targets of any services, also for those of unknown speed."""
        by_service: dict[str, list[Target]] = {}
        for target in targets:
            by_service.setdefault(target.entry.service, []).append(target)
        found: dict[str, SpeedEstimate] = {}
        for members in by_service.values():
            found |= dict.fromkeys((target.target_id for target in members), UNKNOWN_SPEED)
            found |= self.estimates(members, now_ms)
        return found

    def _known(self, targets: Iterable[Target], now_ms: float) -> ReportsByKind:
        by_kind: ReportsByKind = ({}, {})
        for target in targets:
            incarnation = target.incarnation
            for is_batch, reports in enumerate(by_kind):
                report = self._total((incarnation, bool(is_batch)), now_ms)
                if report is not None:
                    reports[target.target_id] = report
        return by_kind

    def _total(self, key: SpeedKey, now_ms: float) -> SpeedReport | None:
        """Return the sum of what all processes have seen; ``None`` if it has no weight any more."""
        others = self._others.get(key)
        total = None if others is None else others.total(key[0], now_ms)
        own = self._own_report(key, now_ms)
        if own is not None:
            total = own if total is None else _sum_reports(key[0], (total, own))
        return total if total is not None and total.usual_weight >= MIN_WEIGHT else None

    def _own_report(self, key: SpeedKey, now_ms: float) -> SpeedReport | None:
        times = self._own.get(key)
        if times is None or times.usual.value <= 0 or times.recent.value <= 0:
            return None
        return SpeedReport(
            key[0],
            times.usual.value,
            times.usual.weight(now_ms),
            times.recent.value,
            times.recent.weight(now_ms),
        )

    def own_updates(self, now_ms: float, limit: int = UNLIMITED_REPORTS) -> list[SpeedUpdate]:
        """Return what this process has seen and others should be told now.

        :param limit: highest number of reports. The largest changes go first.
        """
        due = self._due_own.take(lambda key: self._own_report(key, now_ms), limit, now_ms)
        return self._updates(due)

    def merged_updates(self, now_ms: float, limit: int = UNLIMITED_REPORTS) -> list[SpeedUpdate]:
        """Return what all processes have seen together and the entries should be told now.

        :param limit: highest number of reports. The largest changes go first.
        """
        due = self._due_merged.take(lambda key: self._total(key, now_ms), limit, now_ms)
        return self._updates(due)

    def _updates(self, due: list[tuple[SpeedKey, SpeedReport]]) -> list[SpeedUpdate]:
        """Return an update for each kind of event of which there is a report."""
        updates = []
        for is_batch in (False, True):
            reports = tuple(report for key, report in due if key[1] is is_batch)
            if reports:
                updates.append(SpeedUpdate(self._own_id, is_batch, reports))
        return updates

    def forget_unlisted(self, is_listed: Callable[[Incarnation], bool]) -> None:
        """Drop evidence about incarnations that were first heard of lately and are not listed."""
        for incarnation in [found for found in self._unconfirmed if not is_listed(found)]:
            self.drop(incarnation)
        self._unconfirmed.clear()

    def drop(self, incarnation: Incarnation) -> None:
        """Drop all evidence about an incarnation that is not listed any more."""
        for is_batch in (False, True):
            key = (incarnation, is_batch)
            self._own.pop(key, None)
            self._others.pop(key, None)
            self._due_own.drop(key)
            self._due_merged.drop(key)
        for service in self._services.values():
            service.drop(incarnation.target_id)


def service_means(by_kind: ReportsByKind) -> ServiceMeans:
    """Return what is common to the targets of a service."""
    logs = tuple(
        _weighted_mean((log(report.usual_ms), _trust(report)) for report in reports.values())
        for reports in by_kind
    )
    service_ms = _weighted_mean(
        (exp(kind_log), sum(report.usual_weight for report in reports.values()))
        for kind_log, reports in zip(logs, by_kind, strict=True)
    )
    return ServiceMeans(logs, service_ms)


def estimate_speed(target_id: str, by_kind: ReportsByKind, means: ServiceMeans) -> SpeedEstimate:
    """Return the estimate for a target of which something is known.

    :param by_kind: for each kind of event what is known of each target, by target id.
    """
    usual: list[tuple[float, float]] = []
    recent: list[tuple[float, float]] = []
    for kind_log, reports in zip(means.logs, by_kind, strict=True):
        report = reports.get(target_id)
        if report is None:
            continue
        usual.append((log(report.usual_ms) - kind_log, report.usual_weight))
        if report.recent_weight > 0 and report.recent_ms > 0:
            recent.append((log(report.recent_ms) - kind_log, report.recent_weight))
    return _estimate_target(usual, recent, means.service_ms)


def _estimate_target(
    usual: list[tuple[float, float]], recent: list[tuple[float, float]], service_ms: float
) -> SpeedEstimate:
    """Return the estimate from the logarithms of the relative times and their weights."""
    weight = sum(weight for _, weight in usual)
    recent_weight = sum(weight for _, weight in recent)
    usual_log = _weighted_mean(usual) * weight / (weight + USUAL_PRIOR)
    recent_share = recent_weight / (recent_weight + RECENT_PRIOR)
    now_log = usual_log + recent_share * (_weighted_mean(recent) - usual_log)
    return SpeedEstimate(
        _clamp_speed(exp(-now_log)),
        _clamp_speed(exp(-usual_log)),
        service_ms * exp(now_log),
        weight,
    )


def _trust(report: SpeedReport) -> float:
    """Return the weight of a target in the mean of its service.

    A target that is heard of much does not count for more than others.
    """
    return report.usual_weight / (report.usual_weight + USUAL_PRIOR)


def _clamp_speed(speed: float) -> float:
    return min(MAX_SPEED, max(MIN_SPEED, speed))


def _weighted_mean(pairs: Iterable[tuple[float, float]]) -> float:
    pairs = list(pairs)
    total = sum(weight for _, weight in pairs)
    return sum(value * weight for value, weight in pairs) / total if total > 0 else 0.0


def _aged(report: SpeedReport, age_ms: float) -> SpeedReport:
    return structs.replace(
        report,
        usual_weight=report.usual_weight * 0.5 ** (age_ms / USUAL_HALF_LIFE_MS),
        recent_weight=report.recent_weight * 0.5 ** (age_ms / RECENT_HALF_LIFE_MS),
    )


def _sum_reports(incarnation: Incarnation, reports: Iterable[SpeedReport]) -> SpeedReport:
    reports = list(reports)
    return SpeedReport(
        incarnation,
        _weighted_mean((report.usual_ms, report.usual_weight) for report in reports),
        sum(report.usual_weight for report in reports),
        _weighted_mean((report.recent_ms, report.recent_weight) for report in reports),
        sum(report.recent_weight for report in reports),
    )


def due_change(report: SpeedReport, sent: HeardReport | None, now_ms: float) -> float | None:
    """Return by how much a report differs from what its receivers expect.

    :param sent: the last report; ``None`` if there was none.
    :return: change of the logarithm of the expected time; ``None`` if no report is due.
    """
    if report.usual_weight < MIN_WEIGHT:
        return None
    if sent is None:
        return NOTICEABLE_CHANGE if report.usual_weight >= RECENT_PRIOR else None
    age_ms = now_ms - sent.at_ms
    if age_ms < MIN_REPORT_INTERVAL_MS:
        return None
    change = abs(log(_expected_ms(report) / _expected_ms(_aged(sent.report, age_ms))))
    by_chance = CHANCE_CHANGE / sqrt(1.0 + report.recent_weight)
    is_due = change >= max(NOTICEABLE_CHANGE, by_chance) or age_ms >= RENEWAL_INTERVAL_MS
    return change if is_due else None


def _is_plausible(report: SpeedReport) -> bool:
    has_times = 0 < report.usual_ms <= MAX_EVENT_MS and 0 < report.recent_ms <= MAX_EVENT_MS
    has_weights = 0 <= report.usual_weight <= MAX_WEIGHT and 0 <= report.recent_weight <= MAX_WEIGHT
    return has_times and has_weights


def _expected_ms(report: SpeedReport) -> float:
    if report.recent_ms <= 0:
        return report.usual_ms
    share = report.recent_weight / (report.recent_weight + RECENT_PRIOR)
    return report.usual_ms ** (1 - share) * report.recent_ms**share
