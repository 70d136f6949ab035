"""Adds up what several processes report of the speed of one target, one report at a time. No I/O.

All weights of one mean decay by the same law. The sum of the weights therefore decays like each of
them, and a report that is replaced is taken out as it has decayed since.
"""

from msgspec import Struct

from ebonyshore.host.event_times import RECENT_HALF_LIFE_MS, USUAL_HALF_LIFE_MS
from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.target_speeds import SpeedReport

REPORT_LIFETIME_MS = 5 * USUAL_HALF_LIFE_MS
MAX_CANCELLATION = 1e9  # of what is left, in the part that is taken out of a sum


class DecayingSum:
    """A sum of weighted values, whose weights halve in a fixed time."""

    __slots__ = ("_half_life_ms", "_product", "weight")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._product = 0.0
        self.weight = 0.0

    @property
    def mean(self) -> float:
        """The weighted mean; 0 without any weight."""
        return self._product / self.weight if self.weight > 0 else 0.0

    def decay(self, elapsed_ms: float) -> None:
        """Reduce all weights as after a time."""
        kept = 0.5 ** (elapsed_ms / self._half_life_ms)
        self._product *= kept
        self.weight *= kept

    def add(self, value: float, weight: float) -> None:
        """Include a value."""
        self._product += value * weight
        self.weight += weight

    def remove(self, value: float, weight: float, age_ms: float) -> float:
        """Take out a value that was included some time ago; return the weight that is taken out."""
        decayed = weight * 0.5 ** (age_ms / self._half_life_ms)
        self._product -= value * decayed
        self.weight -= decayed
        return decayed

    def is_exact_without(self, removed_weight: float) -> bool:
        """Return whether the sum has enough correct digits after a weight was taken out."""
        return self.weight * MAX_CANCELLATION >= removed_weight


class HeardReport(Struct, frozen=True):
    """A report and the time at which it was received."""

    at_ms: float
    report: SpeedReport


class SpeedSum:
    """The sum of the latest reports of all senders about one target and one kind of event.

    Times are given in the order of the calls.
    """

    __slots__ = ("_at_ms", "_heard", "_recent", "_usual")

    def __init__(self) -> None:
        self._heard: dict[str, HeardReport] = {}  # least recently renewed first
        self._at_ms = 0.0
        self._clear()

    def replace(self, sender: str, report: SpeedReport, now_ms: float) -> None:
        """Include a report in place of the sender's last one."""
        self._advance(now_ms)
        replaced = self._heard.pop(sender, None)
        self._heard[sender] = HeardReport(self._at_ms, report)
        self._usual.add(report.usual_ms, report.usual_weight)
        self._recent.add(report.recent_ms, report.recent_weight)
        if replaced is not None:
            self._remove(replaced)

    def total(self, incarnation: Incarnation, now_ms: float) -> SpeedReport:
        """Return the sum over all senders."""
        self._advance(now_ms)
        return SpeedReport(
            incarnation,
            self._usual.mean,
            max(0.0, self._usual.weight),
            self._recent.mean,
            max(0.0, self._recent.weight),
        )

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._at_ms
        if elapsed_ms > 0:
            self._usual.decay(elapsed_ms)
            self._recent.decay(elapsed_ms)
            self._at_ms = now_ms
        while self._heard:
            sender, oldest = next(iter(self._heard.items()))
            if self._at_ms - oldest.at_ms <= REPORT_LIFETIME_MS:
                return
            del self._heard[sender]
            self._remove(oldest)

    def _remove(self, heard: HeardReport) -> None:
        report, age_ms = heard.report, self._at_ms - heard.at_ms
        usual = self._usual.remove(report.usual_ms, report.usual_weight, age_ms)
        recent = self._recent.remove(report.recent_ms, report.recent_weight, age_ms)
        if not (self._usual.is_exact_without(usual) and self._recent.is_exact_without(recent)):
            self._add_up()

    def _add_up(self) -> None:
        """Compute the sums anew; the difference of nearly equal numbers has few correct digits."""
        self._clear()
        for heard in self._heard.values():
            age_ms = self._at_ms - heard.at_ms
            report = heard.report
            usual_kept = 0.5 ** (age_ms / USUAL_HALF_LIFE_MS)
            recent_kept = 0.5 ** (age_ms / RECENT_HALF_LIFE_MS)
            self._usual.add(report.usual_ms, report.usual_weight * usual_kept)
            self._recent.add(report.recent_ms, report.recent_weight * recent_kept)

    def _clear(self) -> None:
        self._usual = DecayingSum(USUAL_HALF_LIFE_MS)
        self._recent = DecayingSum(RECENT_HALF_LIFE_MS)
