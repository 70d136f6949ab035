"""Selects the waiting items that may start now, and the targets at which each of them may run."""

from collections.abc import Iterable, Mapping
from random import Random

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import Route, RouteKind
from ebonyshore.host.target import TargetGroup
from ebonyshore.runner.job_progress import Item, JobProgress
from ebonyshore.runner.job_ranking import JobRanking, WaitingItem
from ebonyshore.runner.job_registry import JobRegistry

# This process may learn of a new route later than the entry that accepted a job for the route.
UNKNOWN_ROUTE_GRACE_MS = 5_000.0
# An item that has events waits for a slot at their software version for at least this long, and for
# as long as the work has taken that it would repeat at another one.
MIN_VERSION_WAIT_MS = 1_000.0


class WaitingItems:
    """Selects items of the jobs that this runner owns.

    :param registry: the known jobs.
    :param config: the routes in force.
    :param ranking: keeps the order of the jobs.
    :param random: chooses among the services of a route by their weight.
    """

    __slots__ = (
        "_config",
        "_log",
        "_metrics",
        "_random",
        "_ranking",
        "_registry",
    )

    def __init__(
        self,
        registry: JobRegistry,
        config: ConfigService,
        ranking: JobRanking,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._registry = registry
        self._config = config
        self._ranking = ranking
        self._log = log
        self._metrics = metrics
        self._random = random

    def select(
        self,
        free_slots: Mapping[TargetGroup, int],
        running: Iterable[tuple[JobProgress, Item]],
    ) -> dict[TargetGroup, dict[str, WaitingItem]]:
        """Return the items to start by target group and item key, first the one to start first.

        There are at most as many as the group has free slots.

        :param free_slots: number of free slots of each group with a target that accepts items.
        :param running: the running items, each with its job.
        """
        left = dict(free_slots)
        self._ranking.update(now_ms())
        found: dict[TargetGroup, dict[str, WaitingItem]] = {}
        for waiting in self._ranking.sort_items(self._find_waiting(left), running, now_ms()):
            group = self._choose_group(waiting, left)
            if group is not None:
                if waiting.item.origin not in (None, group):
                    self._restart(waiting.item)
                left[group] -= 1
                found.setdefault(group, {})[waiting.key] = waiting
        return found

    def _find_waiting(self, free_slots: Mapping[TargetGroup, int]) -> list[WaitingItem]:
        """Return the items that wait for a service with free slots.

        Items are given up if their job is past its retention time, or if it has no batch route and
        has been known for longer than :data:`UNKNOWN_ROUTE_GRACE_MS`.
        """
        free_services = {group.service for group, slots in free_slots.items() if slots}
        found: list[WaitingItem] = []
        at_ms = now_ms()
        for progress in self._registry.owned_jobs():
            if not progress.open_count:
                continue
            route = self._batch_route(progress)
            known_for_ms = self._registry.known_for_ms(progress.job_id)
            if route is None or progress.is_past_retention(known_for_ms):
                if route is not None or known_for_ms > UNKNOWN_ROUTE_GRACE_MS:
                    self._fail_waiting_items(progress, route, at_ms)
                continue
            if not any(share.service in free_services for share in route.shares):
                continue
            for item in progress.runnable_items(at_ms):
                service = self._pick_service(route, item)
                if service in free_services:
                    found.append(WaitingItem(progress, item, service))
        return found

    def _choose_group(
        self, waiting: WaitingItem, free_slots: Mapping[TargetGroup, int]
    ) -> TargetGroup | None:
        """Return the group at which an item may start now; ``None`` if it has to wait.

        An item that has events goes on at their group, unless none of its targets accepts items
        or the item has waited for longer than the work would take that it would repeat.
        """
        item = waiting.item
        groups = [group for group in free_slots if group.service == waiting.service]
        if item.origin in groups:
            if free_slots[item.origin]:
                return item.origin
            if now_ms() - item.run_ended_ms < max(MIN_VERSION_WAIT_MS, item.ended_runs_ms):
                return None
        best = max(groups, key=free_slots.__getitem__, default=None)
        return best if best is not None and free_slots[best] else None

    def note_stalled(self, item: Item, now_ms: float) -> None:
        """Record that an item cannot go on at a target, as it was started again.

        The item starts from its first event after the time that :meth:`_choose_group` waits.
        """
        if item.stalled_since_ms is None:
            item.stalled_since_ms = now_ms
        elif now_ms - item.stalled_since_ms >= max(MIN_VERSION_WAIT_MS, item.ended_runs_ms):
            self._restart(item)

    def _restart(self, item: Item) -> None:
        self._metrics.count("items_restarted_at_other_version")
        self._log.event(
            "item_restarted",
            item=item.item_id,
            software_version=item.origin.software_version,
            last_event=item.last_event_id,
        )
        item.discard_events()

    def _batch_route(self, progress: JobProgress) -> Route | None:
        route = self._config.table.find(progress.record.host, progress.record.path)
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _pick_service(self, route: Route, item: Item) -> str:
        """Return the service that the item began at if the route has it, else one by weight."""
        if item.origin is not None and item.origin.service in {s.service for s in route.shares}:
            return item.origin.service
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _fail_waiting_items(
        self, progress: JobProgress, route: Route | None, now_ms: float
    ) -> None:
        """Give up the waiting items of a job that is past its retention time or has no route."""
        for item in list(progress.runnable_items(float("inf"))):
            self._log.event(
                "item_given_up", job=progress.job_id, item=item.item_id, has_route=bool(route)
            )
            progress.end_item(item, False, now_ms)
