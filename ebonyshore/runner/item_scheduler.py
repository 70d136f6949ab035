"""Starts and stops items at targets."""

from asyncio import CancelledError, Task, create_task
from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import Route, RouteKind
from ebonyshore.host.targets import Target, TargetTable
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import ConnectionPool
from ebonyshore.link.load_board import LoadBoard, TargetCounts
from ebonyshore.runner.item_plan import UNLIMITED, TargetSlots, assign_primary_runners, make_plan
from ebonyshore.runner.item_run import ItemRun, RunOutcome, RunResult
from ebonyshore.runner.job_progress import Item, ItemState, JobProgress
from ebonyshore.runner.job_registry import JobRegistry

NO_COUNTS = TargetCounts(0, 0)
NOT_RUN_PAUSE_MS = 80.0
FAILURE_PAUSE_MS = 200.0
MAX_PAUSE_MS = 3_000.0
# Runners hear of each other's starts a little later; away from home each starts one item at a time,
# so that jobs that come to all of them at once do not fill a target several times over.
AWAY_START_PAUSE_MS = 60.0
ROUTE_GRACE_MS = 5_000.0  # this process may hear of a new route later than the entry did


class RunningItem(Struct):
    """An item that runs."""

    progress: JobProgress
    item: Item
    target: Target
    task: Task[None]


class ItemScheduler:
    """Runs the items of owned jobs.

    :param board: what other processes have at the targets.
    """

    def __init__(
        self,
        names: WireNames,
        registry: JobRegistry,
        config: ConfigService,
        targets: TargetTable,
        board: LoadBoard,
        pool: ConnectionPool,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._names = names
        self._registry = registry
        self._config = config
        self._targets = targets
        self._board = board
        self._pool = pool
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._random = random
        self._running: dict[str, RunningItem] = {}
        self._is_stopped = False

    def stop_all(self) -> None:
        """Stop all items and start no more."""
        self._is_stopped = True
        for running in self._running.values():
            running.task.cancel()

    def schedule_items(self) -> None:
        """Stop what has to give way or may not run any more, and start what there is room for."""
        self._stop_disowned()
        if self._is_stopped or self._config.table is None:
            return
        totals = self._board.totals(self._clock.boot_ms())
        runners = [self._registry.own_id, *self._board.runners()]
        homes = assign_primary_runners(self._targets.by_id(), runners)
        rooms: dict[str, list[TargetSlots]] = {}
        for target in self._targets.by_id().values():
            is_home = homes[target.target_id] == self._registry.own_id
            room = self._room(target, totals, is_home)
            rooms.setdefault(target.entry.service, []).append(room)
        waiting = self._waiting_by_service()
        for service, of_service in rooms.items():
            self._carry_out(waiting.get(service, {}), of_service)
        self._stop_at_lost_targets()

    def _carry_out(
        self, waiting: dict[str, tuple[JobProgress, Item]], rooms: list[TargetSlots]
    ) -> None:
        plan = make_plan(list(waiting), rooms)
        for key in plan.stops:
            running = self._running[key]
            self._metrics.count("items_yielded")
            self._log.event(
                "item_yielded",
                item=running.item.item_id,
                target=running.target.target_id,
                last_event=running.item.last_event_id,
            )
            running.task.cancel()
        for start in plan.starts:
            progress, item = waiting[start.item]
            target = self._targets.find(start.target_id)
            item.state = ItemState.RUNNING
            target.own_batch += 1
            target.batch_started_ms = now_ms()
            task = create_task(self._run(start.item, progress, item, target))
            self._running[start.item] = RunningItem(progress, item, target, task)

    def _room(self, target: Target, totals: dict[str, TargetCounts], is_home: bool) -> TargetSlots:
        others = totals.get(target.target_id, NO_COUNTS)
        at_ms = now_ms()
        is_usable = not target.entry.is_leaving and not target.is_avoided(at_ms)
        own = [key for key, running in self._running.items() if running.target is target]
        # Runners that this one does not hear are seen by the entries.
        others_batch = max(others.batch, self._board.seen_batch(target.target_id) - len(own))
        return TargetSlots(
            target.target_id,
            target.entry.capacity,
            others.online,
            others_batch,
            own,
            is_usable,
            is_home,
            self._start_limit(target, is_home, at_ms),
        )

    def _start_limit(self, target: Target, is_home: bool, now_ms: float) -> int:
        if is_home:
            return UNLIMITED
        return int(now_ms - target.batch_started_ms >= AWAY_START_PAUSE_MS)

    def _waiting_by_service(self) -> dict[str, dict[str, tuple[JobProgress, Item]]]:
        """Return the items that may run, in the order of their jobs' age, by service."""
        found: dict[str, dict[str, tuple[JobProgress, Item]]] = {}
        at_ms = now_ms()
        for progress in self._registry.owned_jobs():
            if not progress.open_count:
                continue
            route = self._route(progress)
            known_for_ms = self._registry.known_for_ms(progress.job_id)
            if route is None or progress.is_past_retention(known_for_ms):
                if route is not None or known_for_ms > ROUTE_GRACE_MS:
                    self._give_up(progress, route, at_ms)
                continue
            for item in progress.runnable_items(at_ms):
                service = self._pick_service(route)
                key = f"{progress.job_id}/{item.index}"
                found.setdefault(service, {})[key] = (progress, item)
        return found

    def _route(self, progress: JobProgress) -> Route | None:
        route = self._config.table.find(progress.record.host, progress.record.path)
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].service

    def _give_up(self, progress: JobProgress, route: Route | None, now_ms: float) -> None:
        """End the waiting items of a job whose time is over or whose route is gone."""
        for item in list(progress.runnable_items(float("inf"))):
            self._log.event(
                "item_given_up", job=progress.job_id, item=item.item_id, has_route=bool(route)
            )
            progress.end_item(item, False, now_ms)

    def _stop_disowned(self) -> None:
        for running in self._running.values():
            progress = running.progress
            if progress.record.is_cancelled or not self._registry.can_list_results(progress):
                running.task.cancel()

    def _stop_at_lost_targets(self) -> None:
        """Leave targets that are gone, or that run anew under their id."""
        for running in self._running.values():
            if self._targets.find(running.target.target_id) is not running.target:
                running.task.cancel()

    async def _run(self, key: str, progress: JobProgress, item: Item, target: Target) -> None:
        record = progress.record
        run = ItemRun(
            self._names,
            self._pool,
            item,
            record.items[item.index],
            progress.item_body(item.index),
            record.host,
        )
        before = item.last_event_id
        self._registry.on_change()
        try:
            result = await run.run(target)
            self._take(progress, item, target, result, item.last_event_id != before)
        except CancelledError:
            if item.state is ItemState.RUNNING:
                item.state = ItemState.WAITING
            raise
        finally:
            target.own_batch -= 1
            del self._running[key]
            self._registry.on_change()

    def _take(
        self,
        progress: JobProgress,
        item: Item,
        target: Target,
        result: RunResult,
        has_progress: bool,
    ) -> None:
        at_ms = now_ms()
        self._metrics.count(f"item_runs_{result.outcome.name.lower()}")
        if result.outcome is not RunOutcome.COMPLETE:
            self._log.event(
                "item_run_ended",
                job=progress.job_id,
                item=item.item_id,
                target=target.target_id,
                end=result.outcome.name.lower(),
                detail=result.detail,
                last_event=item.last_event_id,
            )
        if item.state is not ItemState.RUNNING:
            return  # listed meanwhile by another runner
        item.state = ItemState.WAITING
        if result.outcome is RunOutcome.COMPLETE:
            target.mark_responsive()
            progress.end_item(item, True, at_ms)
        elif result.outcome is RunOutcome.REJECTED:
            progress.end_item(item, False, at_ms)
        elif result.outcome is RunOutcome.FAILED:
            self._after_failure(progress, item, at_ms)
        else:
            self._after_break(item, target, result.outcome, has_progress, at_ms)

    def _after_failure(self, progress: JobProgress, item: Item, now_ms: float) -> None:
        item.failures += 1
        if item.failures >= progress.record.max_attempts:
            progress.end_item(item, False, now_ms)
            return
        item.not_before_ms = now_ms + FAILURE_PAUSE_MS

    def _after_break(
        self, item: Item, target: Target, end: RunOutcome, has_progress: bool, now_ms: float
    ) -> None:
        if end is RunOutcome.NOT_RUN:
            target.mark_full(now_ms)
            item.not_before_ms = now_ms + NOT_RUN_PAUSE_MS
            return
        if end is RunOutcome.UNREACHABLE:
            target.mark_unreachable(now_ms)
            return
        if end is RunOutcome.SILENT:
            target.mark_unresponsive(now_ms)
        item.consecutive_breaks = 0 if has_progress else item.consecutive_breaks + 1
        pause_ms = min(MAX_PAUSE_MS, FAILURE_PAUSE_MS * 2**item.consecutive_breaks)
        item.not_before_ms = now_ms + (pause_ms if item.consecutive_breaks > 1 else 0.0)

    def dump(self) -> dict[str, object]:
        """Return what runs where."""
        return {key: running.target.target_id for key, running in self._running.items()}
