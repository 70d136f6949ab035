"""What an entry believes of the targets' load: its own requests and the last sums it heard."""

from collections.abc import Callable, Iterable

from ebonyshore.gateway.balance import TargetLoad
from ebonyshore.host.outliers import find_outliers
from ebonyshore.host.targets import Target
from ebonyshore.link.load_board import LoadTotals, TargetCounts, merge_totals

MAX_TOTALS_AGE_MS = 1_000.0
MAX_SENDER_AGE_MS = 400.0  # a runner that sends sums does so every 250 ms
SERVICE_TIME_SMOOTHING = 0.05  # of each new value in the running mean
INITIAL_SERVICE_TIME_MS = 700.0
NO_COUNTS = TargetCounts(0, 0)


class LoadView:
    """Joins own counts with the sums of all others.

    :param failure_domain: that of the process.
    :param on_change: called when an own count changes.
    """

    __slots__ = (
        "_failure_domain",
        "_on_change",
        "_messages_by_sender",
        "_totals",
        "_totals_ms",
        "mean_service_time_ms",
        "open_items_by_runner",
    )

    def __init__(self, failure_domain: str, on_change: Callable[[], None]) -> None:
        self._failure_domain = failure_domain
        self._on_change = on_change
        self._messages_by_sender: dict[str, tuple[float, LoadTotals]] = {}
        self._totals: dict[str, TargetCounts] = {}
        self._totals_ms = float("-inf")
        self.mean_service_time_ms = INITIAL_SERVICE_TIME_MS
        self.open_items_by_runner: dict[str, int] = {}

    def update_totals(self, totals: LoadTotals, now_ms: float) -> None:
        """Take the sums of all other processes."""
        self._messages_by_sender[totals.sender] = (now_ms, totals)
        self._drop_stale_messages(now_ms)
        newest_first = sorted(self._messages_by_sender.values(), key=lambda pair: -pair[0])
        messages = [message for _, message in newest_first]
        self._totals = totals.counts if len(messages) == 1 else merge_totals(messages)
        self._totals_ms = now_ms
        self.open_items_by_runner = {}
        for message in reversed(messages):
            self.open_items_by_runner.update(message.runners)

    def seen_batch(self) -> dict[str, int]:
        """Return the batch items by target while several senders each know a part of them."""
        if len(self._messages_by_sender) < 2:
            return {}
        return {key: count.batch for key, count in self._totals.items() if count.batch}

    def _drop_stale_messages(self, now_ms: float) -> None:
        old = [
            key
            for key, (at_ms, _) in self._messages_by_sender.items()
            if now_ms - at_ms > MAX_SENDER_AGE_MS
        ]
        for sender in old:
            del self._messages_by_sender[sender]

    def totals_age_ms(self, now_ms: float) -> float:
        """Return how old the sums are."""
        return now_ms - self._totals_ms

    def record_start(self, target: Target) -> None:
        """Count an online request that goes to a target."""
        target.own_online += 1
        self._on_change()

    def record_end(self, target: Target) -> None:
        """Count the end of an online request at a target."""
        target.own_online -= 1
        self._on_change()

    def record_service_time(self, duration_ms: float) -> None:
        """Take the time that one request held its place."""
        self.mean_service_time_ms += SERVICE_TIME_SMOOTHING * (
            duration_ms - self.mean_service_time_ms
        )

    def target_loads(self, targets: Iterable[Target], now_ms: float) -> list[TargetLoad]:
        """Return the load of each target."""
        is_fresh = self.totals_age_ms(now_ms) < MAX_TOTALS_AGE_MS
        totals = self._totals if is_fresh else {}
        targets = list(targets)
        outliers = find_outliers(
            [(target.target_id, target.outcomes.failure_rate(now_ms)) for target in targets]
        )
        return [
            self._load(target, totals, now_ms, target.target_id in outliers) for target in targets
        ]

    def _load(
        self,
        target: Target,
        totals: dict[str, TargetCounts],
        now_ms: float,
        is_outlier: bool,
    ) -> TargetLoad:
        others = totals.get(target.target_id, NO_COUNTS)
        return TargetLoad(
            target.target_id,
            target.entry.capacity,
            others.online + target.own_online,
            others.batch + target.own_batch,
            target.entry.failure_domain == self._failure_domain,
            is_outlier or target.is_avoided(now_ms),
        )
