"""The targets that a process knows, and what it believes of each.

An entry that is removed while the store was lately disturbed may have lapsed without its target
having gone, so it is kept for the time that a live target needs to write it again.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct

from ebonyshore.host.outliers import OutcomeHistory
from ebonyshore.link.load_board import TargetCounts

REREGISTRATION_GRACE_MS = 2_500.0
AVOID_UNREACHABLE_MS = 1_000.0
AVOID_UNRESPONSIVE_MS = 1_500.0
AVOID_FULL_MS = 60.0


class TargetEntry(Struct, frozen=True):
    """A target as it is listed.

    :param address: ``IP:PORT``.
    :param capacity: requests that it runs at the same time.
    :param is_leaving: whether it has announced its planned stop.
    :param started_ms: wall time of its start; tells two lives under one id apart.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    capacity: int
    is_leaving: bool = False
    started_ms: int = 0


class Target:
    """One target: its entry, and what this process has there and has seen of it.

    :param entry: as listed.
    """

    __slots__ = (
        "avoid_until_ms",
        "batch_started_ms",
        "entry",
        "full_until_ms",
        "outcomes",
        "own_batch",
        "own_online",
        "removed_ms",
    )

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.own_online = 0
        self.own_batch = 0
        self.batch_started_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self.full_until_ms = float("-inf")
        self.removed_ms: float | None = None
        self.outcomes = OutcomeHistory()

    @property
    def target_id(self) -> str:
        """Its id in the list."""
        return self.entry.target_id

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether other targets are to be preferred just now."""
        return (
            self.removed_ms is not None
            or now_ms < self.avoid_until_ms
            or now_ms < self.full_until_ms
        )

    def mark_unreachable(self, now_ms: float) -> None:
        """Avoid the target for a while: it took no connection."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + AVOID_UNREACHABLE_MS)

    def mark_unresponsive(self, now_ms: float) -> None:
        """Avoid the target for a while: it took a request and said nothing."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + AVOID_UNRESPONSIVE_MS)

    def mark_full(self, now_ms: float) -> None:
        """Avoid the target for a moment: it refused a request for want of room."""
        self.full_until_ms = now_ms + AVOID_FULL_MS

    def mark_responsive(self) -> None:
        """Trust the target again: it has begun to answer."""
        self.avoid_until_ms = float("-inf")


class TargetTable:
    """All targets by id; for use on one event loop."""

    __slots__ = ("_store_outage_ms", "_targets")

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._store_outage_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._targets)

    def record_store_outage(self, now_ms: float) -> None:
        """Record that the store could not be read just now."""
        self._store_outage_ms = now_ms

    def replace_all(self, entries: Iterable[TargetEntry], now_ms: float) -> list[Target]:
        """Take a whole list; return the targets that are no longer in it."""
        listed = {entry.target_id: entry for entry in entries}
        missing = [target_id for target_id in self._targets if target_id not in listed]
        gone = [target for target_id in missing if (target := self.remove(target_id, now_ms))]
        for entry in listed.values():
            self.put(entry)
        return gone

    def put(self, entry: TargetEntry) -> None:
        """Add a target or replace its entry."""
        target = self._targets.get(entry.target_id)
        if target is None or target.entry.started_ms != entry.started_ms:
            self._targets[entry.target_id] = Target(entry)
            return
        target.entry = entry
        target.removed_ms = None

    def remove(self, target_id: str, now_ms: float) -> Target | None:
        """Note that a target's entry was removed; return the target if it is not to be used."""
        target = self._targets.get(target_id)
        if target is None:
            return None
        if target.removed_ms is None:
            target.removed_ms = now_ms
        if now_ms - self._store_outage_ms < REREGISTRATION_GRACE_MS:
            return None
        return self._targets.pop(target_id)

    def drop_expired(self, now_ms: float) -> list[Target]:
        """Forget targets whose entries did not come back in time; return them."""
        if now_ms - self._store_outage_ms < REREGISTRATION_GRACE_MS:
            return []
        expired = [
            target_id
            for target_id, target in self._targets.items()
            if target.removed_ms is not None
            and now_ms - target.removed_ms >= REREGISTRATION_GRACE_MS
        ]
        return [self._targets.pop(target_id) for target_id in expired]

    def find(self, target_id: str) -> Target | None:
        """Return one target, or ``None``."""
        return self._targets.get(target_id)

    def by_id(self) -> Mapping[str, Target]:
        """Return all targets by id."""
        return self._targets

    def own_counts(self) -> dict[str, TargetCounts]:
        """Return what this process has at each target; targets without a request are left out."""
        return {
            target_id: TargetCounts(target.own_online, target.own_batch)
            for target_id, target in self._targets.items()
            if target.own_online or target.own_batch
        }

    def accepting(self, service: str) -> list[Target]:
        """Return the targets of a service that take new work."""
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service and not target.entry.is_leaving
        ]
