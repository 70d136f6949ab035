"""How fast each target works in comparison with the others, learned from its answers. No I/O.

Load pattern: the targets of one service run at different speeds that no configuration names, and
any of them may become several times slower for a second. The long mean tells a target that is slow
by nature, the short one a target that is slow for now. Without new evidence the short one loses its
weight within seconds and the long one within a minute or two, so nothing is believed for ever.
"""

from collections.abc import Iterable
from math import exp, log, sqrt

from msgspec import Struct, structs

from ebonyshore.host.event_times import (
    RECENT_HALF_LIFE_MS,
    USUAL_HALF_LIFE_MS,
    EventTimes,
    LoadEffect,
)
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
REPORT_LIFETIME_MS = 5 * USUAL_HALF_LIFE_MS


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


class TargetSpeeds:
    """The speeds of all targets, from this process's streams and from the reports of others.

    Events of batch items and of other streams may differ in length. Each kind of event is therefore
    compared with events of its own kind only.

    :param own_id: instance id of this process; updates with this sender are ignored.
    """

    __slots__ = ("_estimates", "_load_effect", "_others", "_own", "_own_id", "_sent")

    def __init__(self, own_id: str = "") -> None:
        self._own_id = own_id
        self._load_effect = LoadEffect()
        self._own: dict[tuple[Incarnation, bool], EventTimes] = {}
        self._others: dict[tuple[Incarnation, bool], dict[str, tuple[float, SpeedReport]]] = {}
        self._sent: dict[tuple[Incarnation, bool, bool], tuple[float, SpeedReport]] = {}
        self._estimates: dict[str, tuple[float, dict[str, SpeedEstimate]]] = {}

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
        times.record(elapsed_ms, events, target.running, now_ms)

    def record_silence(
        self, target: Target, is_batch: bool, silence_ms: float, now_ms: float
    ) -> None:
        """Include that none of this process's streams at a target has gone on for a time."""
        times = self._own.get((target.incarnation, is_batch))
        if times is not None:
            times.record_silence(silence_ms, now_ms)

    def merge(self, update: SpeedUpdate, now_ms: float) -> None:
        """Include the reports of another process."""
        if update.sender == self._own_id:
            return
        for report in update.reports:
            if report.usual_ms <= 0 or report.recent_ms <= 0:
                continue
            by_sender = self._others.setdefault((report.incarnation, update.is_batch), {})
            by_sender[update.sender] = (now_ms, report)

    def estimates(self, targets: Iterable[Target], now_ms: float) -> dict[str, SpeedEstimate]:
        """Return the estimates for targets of one service by target id.

        They may be up to :data:`ESTIMATE_LIFETIME_MS` old. Targets of unknown speed are left out.
        """
        targets = list(targets)
        if not targets:
            return {}
        service = targets[0].entry.service
        made_ms, estimates = self._estimates.get(service, (float("-inf"), {}))
        if now_ms - made_ms >= ESTIMATE_LIFETIME_MS:
            estimates = self._estimate(targets, now_ms)
            self._estimates[service] = (now_ms, estimates)
        return estimates

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

    def _estimate(self, targets: list[Target], now_ms: float) -> dict[str, SpeedEstimate]:
        by_kind = [self._known(targets, is_batch, now_ms) for is_batch in (False, True)]
        return estimate_speeds(by_kind)

    def _known(
        self, targets: Iterable[Target], is_batch: bool, now_ms: float
    ) -> dict[str, SpeedReport]:
        return {
            target.target_id: report
            for target in targets
            if (report := self._total(target.incarnation, is_batch, now_ms)) is not None
        }

    def _total(self, incarnation: Incarnation, is_batch: bool, now_ms: float) -> SpeedReport | None:
        """Return the sum of what all processes have seen; ``None`` if it has no weight any more."""
        key = (incarnation, is_batch)
        reports = [
            _aged(report, now_ms - at_ms) for at_ms, report in self._others.get(key, {}).values()
        ]
        own = self._own_report(key, now_ms)
        if own is not None:
            reports.append(own)
        total = _sum_reports(incarnation, reports)
        return total if total.usual_weight >= MIN_WEIGHT else None

    def _own_report(self, key: tuple[Incarnation, bool], now_ms: float) -> SpeedReport | None:
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

    def own_updates(self, now_ms: float) -> list[SpeedUpdate]:
        """Return what this process has seen and others should be told now."""
        updates = []
        for is_batch in (False, True):
            found = [
                report
                for key in self._own
                if key[1] is is_batch and (report := self._own_report(key, now_ms)) is not None
            ]
            updates += self._update(found, is_batch, False, now_ms)
        return updates

    def merged_updates(self, now_ms: float) -> list[SpeedUpdate]:
        """Return what all processes have seen together and the entries should be told now."""
        updates = []
        for is_batch in (False, True):
            keys = dict.fromkeys(key for key in (*self._own, *self._others) if key[1] is is_batch)
            found = [self._total(incarnation, is_batch, now_ms) for incarnation, _ in keys]
            reports = [report for report in found if report is not None]
            updates += self._update(reports, is_batch, True, now_ms)
        return updates

    def _update(
        self, reports: list[SpeedReport], is_batch: bool, is_merged: bool, now_ms: float
    ) -> list[SpeedUpdate]:
        """Return an update with those reports that are due, or none; they count as sent."""
        due = []
        for report in reports:
            key = (report.incarnation, is_batch, is_merged)
            if _is_due(report, self._sent.get(key), now_ms):
                self._sent[key] = (now_ms, report)
                due.append(report)
        return [SpeedUpdate(self._own_id, is_batch, tuple(due))] if due else []

    def forget(self, listed: set[Incarnation], now_ms: float) -> None:
        """Drop evidence about incarnations that are not listed any more, and outdated reports."""
        for by_sender in self._others.values():
            outdated = [
                sender
                for sender, (at_ms, _) in by_sender.items()
                if now_ms - at_ms > REPORT_LIFETIME_MS
            ]
            for sender in outdated:
                del by_sender[sender]
        for evidence in (self._own, self._others, self._sent):
            for key in [key for key in evidence if key[0] not in listed]:
                del evidence[key]


def estimate_speeds(by_kind: Iterable[dict[str, SpeedReport]]) -> dict[str, SpeedEstimate]:
    """Return the estimates for the targets of a service.

    :param by_kind: for each kind of event what is known of each target, by target id.
    """
    usual_logs: dict[str, list[tuple[float, float]]] = {}
    recent_logs: dict[str, list[tuple[float, float]]] = {}
    mean_ms: list[tuple[float, float]] = []
    for reports in by_kind:
        if not reports:
            continue
        service_log = _weighted_mean(
            [(log(report.usual_ms), _trust(report)) for report in reports.values()]
        )
        mean_ms.append((exp(service_log), sum(report.usual_weight for report in reports.values())))
        for target_id, report in reports.items():
            usual = (log(report.usual_ms) - service_log, report.usual_weight)
            usual_logs.setdefault(target_id, []).append(usual)
            if report.recent_weight > 0:
                recent = (log(report.recent_ms) - service_log, report.recent_weight)
                recent_logs.setdefault(target_id, []).append(recent)
    service_ms = _weighted_mean(mean_ms)
    return {
        target_id: _estimate_target(usual, recent_logs.get(target_id, []), service_ms)
        for target_id, usual in usual_logs.items()
    }


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


def _is_due(report: SpeedReport, sent: tuple[float, SpeedReport] | None, now_ms: float) -> bool:
    """Return whether receivers of the last report expect something noticeably different."""
    if report.usual_weight < MIN_WEIGHT:
        return False
    if sent is None:
        return report.usual_weight >= RECENT_PRIOR
    sent_ms, last = sent
    if now_ms - sent_ms < MIN_REPORT_INTERVAL_MS:
        return False
    believed_ms = _expected_ms(_aged(last, now_ms - sent_ms))
    change = abs(log(_expected_ms(report) / believed_ms))
    by_chance = CHANCE_CHANGE / sqrt(1.0 + report.recent_weight)
    return change >= max(NOTICEABLE_CHANGE, by_chance) or now_ms - sent_ms >= USUAL_HALF_LIFE_MS / 2


def _expected_ms(report: SpeedReport) -> float:
    share = report.recent_weight / (report.recent_weight + RECENT_PRIOR)
    return report.usual_ms ** (1 - share) * report.recent_ms**share
