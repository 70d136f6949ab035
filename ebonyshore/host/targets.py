"""The targets that a process knows.

An entry that is removed shortly after a store outage may have expired although its target is alive.
The target is therefore kept for the time that a live target needs to write its entry again.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.leaving_record import LeavingRecord
from ebonyshore.host.pace import TargetPace
from ebonyshore.host.target import Target, TargetEntry, TargetGroup
from ebonyshore.host.target_speed import TargetSpeeds
from ebonyshore.link.load_table import Incarnation, TargetCounts
from ebonyshore.link.rate_limits import RateLimits

REREGISTRATION_GRACE_MS = 2_500.0
# Time for which streams may go on that began at a version whose last target has gone.
VERSION_LIFETIME_MS = 30_000.0


class TargetTable:
    """All known targets by id. Not thread-safe: for use on one event loop.

    :param rate_limits: the rate limits that targets name; without it they are not shared.
    :param pace: the limits of targets that return to service; without it they are not shared.
    :param speeds: told of the events of this process's streams; without it they are not shared.
    :ivar on_leaving: called with a target and the source of the news when it is first known that
        this incarnation leaves.
    """

    __slots__ = (
        "_leaving",
        "_listed_ms",
        "_possible_until_ms",
        "_present_groups",
        "_store_outage_ms",
        "_targets",
        "on_leaving",
        "pace",
        "rate_limits",
        "speeds",
    )

    def __init__(
        self,
        rate_limits: RateLimits | None = None,
        pace: TargetPace | None = None,
        speeds: TargetSpeeds | None = None,
    ) -> None:
        self.rate_limits = rate_limits or RateLimits(lambda: 1, 0.0)
        self.pace = pace or TargetPace(lambda: 1)
        self.speeds = speeds or TargetSpeeds()
        self._listed_ms: float | None = None  # time of the first complete list
        self._targets: dict[str, Target] = {}
        self._leaving = LeavingRecord()
        self.on_leaving: Callable[[Target, str], None] = lambda *_: None
        self._possible_until_ms: dict[TargetGroup, float] = {}  # of groups that may have no target
        self._present_groups: frozenset[TargetGroup] | None = None  # None after a change
        self._store_outage_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._targets)

    @property
    def has_listing(self) -> bool:
        """Whether a complete list was applied at least once."""
        return self._listed_ms is not None

    def record_store_outage(self, now_ms: float) -> None:
        """Record that the store could not be read at ``now_ms``."""
        self._store_outage_ms = now_ms

    def replace_all(self, entries: Iterable[TargetEntry], now_ms: float) -> list[Target]:
        """Apply a complete list of entries; return the targets that were dropped."""
        listed = {entry.target_id: entry for entry in entries}
        missing = [target_id for target_id in self._targets if target_id not in listed]
        removed = [target for target_id in missing if (target := self.remove(target_id, now_ms))]
        for entry in listed.values():
            self.put(entry, now_ms)
        if self._listed_ms is None:
            self._listed_ms = now_ms
        return removed

    def put(self, entry: TargetEntry, now_ms: float = 0.0) -> None:
        """Add a target or replace its entry.

        A target that was started again under its id is a new target. New targets get a limit,
        except those of the first list: a process that was just started does not know since when
        they run.
        """
        target = self._targets.get(entry.target_id)
        if target is None or target.entry.started_ms != entry.started_ms:
            if target is not None:
                self._note_dropped(target, now_ms)
            target = self._targets[entry.target_id] = Target(
                entry, self._announce, self._record_limit, self.speeds.record_events
            )
            target.is_leaving = False
            if self.has_listing:
                self.pace.start(target, now_ms)
        if target.entry.group != entry.group:
            self.note_group(target.entry.group, now_ms)
        target.entry = entry
        target.removed_ms = None
        self._present_groups = None
        if entry.is_leaving:
            self._mark_leaving(target, "list")
        elif target.incarnation in self._leaving:
            target.is_leaving = True
            self._leaving.announce(target.incarnation)

    def remove(self, target_id: str, now_ms: float) -> Target | None:
        """Record that a target's entry was removed.

        :return: the target if it was dropped; ``None`` if it is unknown, or kept because of a
            recent store outage.
        """
        target = self._targets.get(target_id)
        if target is None:
            return None
        if target.removed_ms is None:
            target.removed_ms = now_ms
        if now_ms - self._store_outage_ms < REREGISTRATION_GRACE_MS:
            return None
        self._note_dropped(target, now_ms)
        return self._targets.pop(target_id)

    def drop(self, target_id: str, now_ms: float) -> Target | None:
        """Drop a target at once; its entry has not expired but describes no target any more.

        :return: the target; ``None`` if it is unknown.
        """
        target = self._targets.pop(target_id, None)
        if target is not None:
            self._note_dropped(target, now_ms)
        return target

    def drop_expired(self, now_ms: float) -> list[Target]:
        """Drop targets whose entries were not written again in time; return them."""
        if now_ms - self._store_outage_ms < REREGISTRATION_GRACE_MS:
            return []
        expired = [
            target_id
            for target_id, target in self._targets.items()
            if target.removed_ms is not None
            and now_ms - target.removed_ms >= REREGISTRATION_GRACE_MS
        ]
        for target_id in expired:
            self._note_dropped(self._targets[target_id], now_ms)
        return [self._targets.pop(target_id) for target_id in expired]

    def find(self, target_id: str) -> Target | None:
        """Return a target, or ``None`` if it is unknown."""
        return self._targets.get(target_id)

    def is_listed(self, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of a target is known."""
        target = self._targets.get(incarnation.target_id)
        return target is not None and target.entry.started_ms == incarnation.started_ms

    def by_id(self) -> Mapping[str, Target]:
        """Return all targets by id."""
        return self._targets

    def own_counts(self) -> dict[str, TargetCounts]:
        """Return this process's request counts by target; targets without a request are omitted."""
        return {
            target_id: target.own_counts
            for target_id, target in self._targets.items()
            if target.own_online or target.own_batch
        }

    def accepting(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new requests."""
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service and not target.is_leaving
        ]

    def mark_leaving(self, incarnation: Incarnation, source: str) -> None:
        """Record that an incarnation leaves, as another process has learned.

        News of an incarnation that is not listed are kept for the case that it will be.
        """
        target = self._targets.get(incarnation.target_id)
        if target is not None and target.incarnation == incarnation:
            self._mark_leaving(target, source)
        else:
            self._leaving.add(incarnation)

    def announced_incarnations(self, now_ms: float) -> tuple[Incarnation, ...]:
        """Return the incarnations that leave although their entries do not say so.

        Those that are not listed any more are returned for a while.
        """
        return self._leaving.announced(self._targets, now_ms)

    def recent_versions(self, service: str, now_ms: float) -> set[str]:
        """Return the software versions of a service's targets, also of those dropped recently."""
        return {
            group.software_version
            for group in self.recent_groups(now_ms)
            if group.service == service
        }

    def mixed_services(self, now_ms: float) -> set[str]:
        """Return the services with several software versions, see :meth:`recent_versions`."""
        counts = Counter(group.service for group in self.recent_groups(now_ms))
        return {service for service, count in counts.items() if count > 1}

    def recent_groups(self, now_ms: float) -> set[TargetGroup]:
        """Return the groups of the targets, also of those dropped or noted recently."""
        if self._present_groups is None:
            self._present_groups = frozenset(
                target.entry.group for target in self._targets.values()
            )
        return set(self._present_groups) | {
            group for group, until_ms in self._possible_until_ms.items() if now_ms <= until_ms
        }

    def note_group(
        self, group: TargetGroup, now_ms: float, lifetime_ms: float = VERSION_LIFETIME_MS
    ) -> None:
        """Count a group among the recent ones for a time, because it may have had targets."""
        until_ms = now_ms + lifetime_ms
        self._possible_until_ms[group] = max(self._possible_until_ms.get(group, until_ms), until_ms)

    def has_whole_view(self, now_ms: float) -> bool:
        """Return whether this process could not miss any group of the last
        :data:`VERSION_LIFETIME_MS`, because it read the list all that time.
        """
        if self._listed_ms is None:
            return False
        since_ms = max(self._listed_ms, self._store_outage_ms)
        return now_ms - since_ms >= VERSION_LIFETIME_MS

    def _record_limit(self, incarnation: Incarnation, rate_per_s: float | None) -> None:
        self.rate_limits.observe(incarnation, rate_per_s, now_ms(), "answer")

    def _announce(self, target: Target, instance_id: str, source: str) -> None:
        """Apply what a server at a target's address has said of itself."""
        if instance_id == target.target_id:
            # An entry that lapsed and came back made another object of the same incarnation.
            self.mark_leaving(target.incarnation, source)
            target.is_leaving = True
            return
        other = self._targets.get(instance_id)
        if other is not None and other.entry.address == target.entry.address:
            self._mark_leaving(other, source)

    def _mark_leaving(self, target: Target, source: str) -> None:
        is_news = not target.is_leaving
        target.is_leaving = True
        self._leaving.add(target.incarnation)
        if is_news:
            self.on_leaving(target, source)

    def _note_dropped(self, target: Target, now_ms: float) -> None:
        self.note_group(target.entry.group, now_ms)
        self._present_groups = None
        target.removed_ms = now_ms if target.removed_ms is None else target.removed_ms
        self.pace.forget(target)
        self.speeds.drop(target.incarnation)
