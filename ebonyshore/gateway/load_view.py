"""An entry's view of the targets' load: its own requests and the totals last received."""

from collections.abc import Callable, Iterable
from math import isfinite

from ebonyshore.gateway.balance import TargetLoad
from ebonyshore.gateway.heard_totals import HeardTotals
from ebonyshore.host.outliers import find_outliers
from ebonyshore.host.target import Target
from ebonyshore.host.target_speed import UNKNOWN_SPEED, SpeedEstimate, TargetSpeeds
from ebonyshore.link.load_table import LoadTotals, TotalsPart, merge_totals
from ebonyshore.link.target_counts import NO_COUNTS, TargetCounts

MAX_TOTALS_AGE_MS = 1_000.0
MAX_SENDER_SILENCE_MS = 400.0  # runners that send totals do so every 250 ms
SERVICE_TIME_SMOOTHING = 0.05  # weight of each new value in the exponential moving average
INITIAL_SERVICE_TIME_MS = 700.0
INITIAL_FIRST_EVENT_MS = 50.0


class LoadView:
    """Combines the entry's own request counts with the totals of all other processes.

    :param failure_domain: the failure domain of this process.
    :param on_change: called when one of the entry's own counts changes.
    :param speeds: the speeds of the targets; without it all are taken to be equally fast.
    :ivar on_outlier: called with a target that is found to fail more requests than others do.
    :ivar mean_service_time_ms: moving average of the time for which a request occupies a slot.
    :ivar mean_first_event_ms: moving average of the time to the first event at a target that has a
        free slot and mean speed.
    :ivar open_items_by_runner: number of open batch items of each live runner.
    """

    __slots__ = (
        "_failure_domain",
        "_on_change",
        "_speeds",
        "_heard",
        "_totals",
        "_totals_ms",
        "_unknown_ms",
        "mean_first_event_ms",
        "mean_service_time_ms",
        "on_outlier",
        "open_items_by_runner",
    )

    def __init__(
        self,
        failure_domain: str,
        on_change: Callable[[], None],
        speeds: TargetSpeeds | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._speeds = speeds or TargetSpeeds()
        self._heard: dict[str, HeardTotals] = {}
        self._unknown_ms: dict[str, float] = {}  # last parts of senders without complete totals
        self._totals: dict[str, TargetCounts] = {}
        self._totals_ms = float("-inf")
        self.mean_service_time_ms = INITIAL_SERVICE_TIME_MS
        self.mean_first_event_ms = INITIAL_FIRST_EVENT_MS
        self.open_items_by_runner: dict[str, int] = {}
        self.on_outlier: Callable[[Target], None] = lambda _target: None

    def update_totals(self, totals: LoadTotals, now_ms: float) -> None:
        """Replace the totals of one sender.

        They are the counts of all processes that the sender knows, except those of this process.

        There are several senders if some runners do not hear each other; their latest totals are
        then merged.

        :param now_ms: monotonic time.
        """
        known = self._heard.get(totals.sender)
        if known is None:
            self._heard[totals.sender] = HeardTotals(totals, now_ms)
        elif not known.replace(totals, now_ms):
            return
        self._unknown_ms.pop(totals.sender, None)
        self._merge(now_ms)

    def update_part(self, part: TotalsPart, now_ms: float) -> None:
        """Replace the counts at some targets in the totals of one sender.

        Ignored, but for :attr:`needs_totals`, if the sender's complete totals are not known.

        :param now_ms: monotonic time.
        """
        known = self._heard.get(part.sender)
        if known is None or known.incarnation != part.incarnation:
            self._unknown_ms[part.sender] = now_ms
        elif known.apply(part, now_ms):
            self._merge(now_ms)

    @property
    def needs_totals(self) -> bool:
        """Whether complete totals are missing, or some parts since."""
        if not self._heard or self._unknown_ms:
            return True
        return not all(heard.is_complete for heard in self._heard.values())

    def _merge(self, now_ms: float) -> None:
        self._drop_silent_senders(now_ms)
        newest_first = sorted(self._heard.items(), key=lambda item: -item[1].at_ms)
        if len(newest_first) == 1:
            self._totals = newest_first[0][1].counts
        else:
            self._totals = merge_totals(
                LoadTotals(sender, heard.incarnation, 0, heard.counts, heard.runners)
                for sender, heard in newest_first
            )
        self._totals_ms = now_ms
        self.open_items_by_runner = {}
        for _, heard in reversed(newest_first):
            self.open_items_by_runner.update(heard.runners)

    def observed_batch(self) -> dict[str, int]:
        """Return the number of batch items by target, for the reports to the runners.

        Empty unless several runners send totals: each of them then knows only a part of the batch
        items, and learns from the entry about the others.
        """
        if len(self._heard) < 2:
            return {}
        return {key: count.batch for key, count in self._totals.items() if count.batch}

    def _drop_silent_senders(self, now_ms: float) -> None:
        oldest_ms = now_ms - MAX_SENDER_SILENCE_MS
        self._heard = {key: heard for key, heard in self._heard.items() if heard.at_ms >= oldest_ms}
        self._unknown_ms = {
            key: at_ms for key, at_ms in self._unknown_ms.items() if at_ms >= oldest_ms
        }

    @property
    def has_totals(self) -> bool:
        """Whether any totals were received since the start of the process."""
        return isfinite(self._totals_ms)

    def totals_age_ms(self, now_ms: float) -> float:
        """Return the age of the totals in milliseconds; infinite if none were received."""
        return now_ms - self._totals_ms

    def record_start(self, target: Target) -> None:
        """Count an online request that is sent to a target."""
        target.own_online += 1
        self._on_change()

    def record_end(self, target: Target) -> None:
        """Count the end of an online request at a target."""
        target.own_online -= 1
        self._on_change()

    def record_service_time(self, duration_ms: float) -> None:
        """Include the time for which one request occupied a slot in the mean service time."""
        self.mean_service_time_ms += SERVICE_TIME_SMOOTHING * (
            duration_ms - self.mean_service_time_ms
        )

    def record_first_event(self, load: TargetLoad, delay_ms: float) -> None:
        """Include the time to the first event of a request.

        :param load: the target's load when the request was sent there.
        """
        if load.free_slots <= 0:
            return  # it may have waited for a slot
        self.mean_first_event_ms += SERVICE_TIME_SMOOTHING * (
            delay_ms * load.speed - self.mean_first_event_ms
        )

    def target_loads(self, targets: Iterable[Target], now_ms: float) -> list[TargetLoad]:
        """Return the load of each target.

        Totals that are too old are ignored, so only the entry's own requests count then.

        :param now_ms: monotonic time.
        """
        is_fresh = self.totals_age_ms(now_ms) < MAX_TOTALS_AGE_MS
        totals = self._totals if is_fresh else {}
        targets = list(targets)
        outliers = find_outliers(
            [(target.target_id, target.outcomes.failure_rate(now_ms)) for target in targets]
        )
        for target in targets:
            was_outlier, target.is_outlier = target.is_outlier, target.target_id in outliers
            if target.is_outlier and not was_outlier:
                self.on_outlier(target)
        speeds = self._speeds.estimates(targets, now_ms)
        return [
            self._target_load(target, totals, now_ms, speeds.get(target.target_id, UNKNOWN_SPEED))
            for target in targets
        ]

    def _target_load(
        self,
        target: Target,
        totals: dict[str, TargetCounts],
        now_ms: float,
        speed: SpeedEstimate,
    ) -> TargetLoad:
        others_counts = totals.get(target.target_id, NO_COUNTS)
        target.others_running = others_counts.online + others_counts.batch
        return TargetLoad(
            target.target_id,
            target.entry.capacity,
            others_counts.online + target.own_online,
            others_counts.batch + target.own_batch,
            target.entry.failure_domain == self._failure_domain,
            target.is_outlier or target.is_avoided(now_ms),
            speed=speed.speed,
            first_event_ms=self.mean_first_event_ms / speed.speed,
            event_ms=speed.event_ms,
        )
