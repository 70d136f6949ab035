"""Starts and stops the items of batch jobs at targets."""

from asyncio import Task, create_task
from functools import partial
from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.crash_guard import CrashGuard
from ebonyshore.host.job_types import JobRecord
from ebonyshore.host.request_content import RequestContent, part_digests
from ebonyshore.host.target import Target, TargetGroup
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.target_speed import UNKNOWN_SPEED, SpeedEstimate
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.headers import Headers
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.target_counts import NO_COUNTS, TargetCounts
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.item_plan import UNLIMITED, PrimaryRunners, TargetSlots, make_plan
from ebonyshore.runner.item_run import ItemRun, RunOutcome, RunResult
from ebonyshore.runner.job_progress import Item, ItemState, JobProgress
from ebonyshore.runner.job_ranking import JobRanking, WaitingItem
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.output_budget import OutputBudget
from ebonyshore.runner.run_outcomes import RunOutcomes
from ebonyshore.runner.waiting_items import WaitingItems

PROGRESS_MS = 1_000.0  # since the last event, for which a run counts as going on
NOT_RUN_DELAY_MS = 80.0
RETRY_DELAY_MS = 200.0
MAX_RETRY_DELAY_MS = 3_000.0
# Runners learn of each other's starts with a delay. At targets of which it is not the primary
# runner, a runner therefore starts only one item in this interval; otherwise runners that receive
# jobs at the same time would overcommit a target, each filling the same free slots.
NON_PRIMARY_START_INTERVAL_MS = 60.0
USE_LOG_INTERVAL_MS = 1_000.0
SPEEDS_INTERVAL_MS = 500.0  # much less than the time over which the speeds of items are learned


class RunningItem(Struct):
    """An item that is running.

    :param progress: the job that the item belongs to.
    :param item: the item.
    :param target: the target at which it runs.
    :param content_run: the run, for the attribution of crashes.
    :param task: runs the item; cancel it to stop the run.
    """

    progress: JobProgress
    item: Item
    target: Target
    content_run: ContentRun
    task: Task[None]


class ItemScheduler:
    """Runs the items of the jobs that this runner owns.

    :param names: header names of the deployment.
    :param registry: the known jobs.
    :param config: the routes in force.
    :param targets: the known targets.
    :param load_table: load that other processes have reported for each target.
    :param pool: connections to targets.
    :param checker: asks targets for their load reports.
    :param crash_guard: knows the content that crashes targets.
    :param completions: told of the slots that items can use and of completed items.
    :param ranking: keeps the order of the jobs.
    :param random: chooses among the services of a route by their weight.
    :param budget: bounds the memory of the responses that are being received.
    """

    def __init__(
        self,
        names: WireNames,
        registry: JobRegistry,
        config: ConfigService,
        targets: TargetTable,
        load_table: LoadTable,
        pool: ConnectionPool,
        checker: TargetChecker,
        crash_guard: CrashGuard,
        completions: CompletionRate,
        ranking: JobRanking,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        random: Random,
        budget: OutputBudget,
    ) -> None:
        self._names = names
        self._registry = registry
        self._config = config
        self._targets = targets
        self._load_table = load_table
        self._pool = pool
        self._checker = checker
        self._crash_guard = crash_guard
        self._completions = completions
        self._ranking = ranking
        self._random = random
        self._budget = budget
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._waiting_items = WaitingItems(registry, config, ranking, log, metrics, random)
        self._running: dict[str, RunningItem] = {}
        self._is_stopped = False
        self._use_logged_ms = float("-inf")
        self._primary_runners = PrimaryRunners()
        self._speeds: dict[str, SpeedEstimate] = {}
        self._speeds_ms = float("-inf")
        self._outcomes = RunOutcomes(targets)

    def stop_all(self) -> None:
        """Stop all running items and start no more."""
        self._is_stopped = True
        for running in self._running.values():
            running.task.cancel()

    def schedule_items(self) -> None:
        """Stop the items that are preempted or must not run any more, and start waiting ones.

        To be called several times a second and after each change.
        """
        self._stop_unowned()
        if self._is_stopped or self._config.table is None:
            return
        totals = self._load_table.totals(self._clock.boot_ms())
        observed_batch = self._load_table.observed_batch()
        runners = [self._registry.own_id, *self._load_table.runners()]
        primary_runners = self._primary_runners.of(self._targets.by_id(), runners)
        mixed_services = self._targets.mixed_services(now_ms())
        speeds = self._usual_speeds()
        own_items = self._items_by_target()
        outliers = self._outcomes.outliers(now_ms())
        slots_by_group: dict[TargetGroup, list[TargetSlots]] = {}
        for target in self._targets.by_id().values():
            is_primary = primary_runners[target.target_id] == self._registry.own_id
            slots = self._target_slots(
                target,
                totals.get(target.target_id, NO_COUNTS),
                observed_batch.get(target.target_id, 0),
                own_items.get(target, []),
                is_primary,
            )
            # An item outlasts most of the times for which a target is slow.
            slots.speed = speeds.get(target.target_id, UNKNOWN_SPEED).usual_speed
            if target.target_id in outliers:
                slots.is_usable = False
            # The version of a target whose restart the list does not show yet is not known.
            if target.is_outdated and target.entry.service in mixed_services:
                slots.is_usable = False
            slots_by_group.setdefault(target.entry.group, []).append(slots)
        self._record_usable_slots(slots_by_group)
        waiting = self._select_waiting(slots_by_group)
        for group, group_slots in slots_by_group.items():
            self._apply_plan(waiting.get(group, {}), group_slots)
        self._log_use(slots_by_group)
        self._stop_at_removed_targets()

    def _apply_plan(self, waiting: dict[str, WaitingItem], slots: list[TargetSlots]) -> None:
        broken_targets = {key: found.item.broken_targets for key, found in waiting.items()}
        plan = make_plan(list(waiting), slots, broken_targets)
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
        for start in plan.starts if self._budget.may_start else ():
            progress, item = waiting[start.item].progress, waiting[start.item].item
            target = self._targets.find(start.target_id)
            item.start_run(now_ms())
            target.own_batch += 1
            self._targets.rate_limits.record_sent(target.incarnation, now_ms())
            target.batch_started_ms = now_ms()
            content_run = self._crash_guard.begin(
                target, self._item_content(progress, item), is_resumable=True, is_item=True
            )
            content_run.on_first_event = self._record_answer_pace
            task = create_task(self._run_item(start.item, progress, item, content_run))
            running = RunningItem(progress, item, target, content_run, task)
            self._running[start.item] = running
            # A task that is cancelled before its first step runs none of its own code.
            task.add_done_callback(partial(self._free_slot, start.item, running))

    def _item_content(self, progress: JobProgress, item: Item) -> RequestContent:
        headers = Headers(progress.record.items[item.index].headers)
        parts = part_digests(headers.get_joined(self._names.prompt_parts))
        return RequestContent(progress.content_digest(item), parts)

    def _usual_speeds(self) -> dict[str, SpeedEstimate]:
        """Return estimates of the targets' speeds that are good for an item, by target id."""
        if now_ms() - self._speeds_ms >= SPEEDS_INTERVAL_MS:
            self._speeds_ms = now_ms()
            targets = self._targets.by_id().values()
            self._speeds = self._targets.speeds.snapshot(targets, now_ms())
        return self._speeds

    def _items_by_target(self) -> dict[Target, list[str]]:
        """Return the keys of the running items at each target; the last are preempted first."""
        at_ms = now_ms()
        by_target: dict[Target, list[str]] = {}
        for key, running in self._running.items():
            by_target.setdefault(running.target, []).append(key)
        for keys in by_target.values():
            keys.sort(key=lambda key: self._preemption_key(self._running[key], at_ms))
        return by_target

    def _target_slots(
        self,
        target: Target,
        others: TargetCounts,
        observed_batch: int,
        own: list[str],
        is_primary: bool,
    ) -> TargetSlots:
        target.others_running = others.online + others.batch
        at_ms = now_ms()
        is_usable = not target.is_leaving and not target.is_avoided(at_ms)
        # Entries also count the items of runners from which this one receives no reports.
        other_batch = max(others.batch, observed_batch - len(own))
        return TargetSlots(
            target.target_id,
            target.entry.capacity,
            others.online,
            other_batch,
            own,
            is_usable,
            is_primary,
            not target.is_leaving,
            self._start_limit(target, is_primary, others.plus(target.own_counts), at_ms),
        )

    def _preemption_key(self, running: RunningItem, now_ms: float) -> tuple[bool, float]:
        return self._ranking.preemption_key(running.progress, running.item, now_ms)

    def _start_limit(
        self, target: Target, is_primary: bool, counts: TargetCounts, now_ms: float
    ) -> int:
        in_flight = counts.online + counts.batch
        paced = self._targets.pace.allowance(
            target.incarnation, in_flight, now_ms, self._random.random
        )
        if paced is not None and not is_primary:
            return 0
        allowed = self._unpaced_start_limit(target, is_primary, now_ms)
        return allowed if paced is None else min(allowed, paced.requests)

    def _unpaced_start_limit(self, target: Target, is_primary: bool, now_ms: float) -> int:
        allowed = self._targets.rate_limits.batch_allowance(target.incarnation, now_ms)
        if allowed is not None:
            return allowed if is_primary else 0
        if is_primary:
            return UNLIMITED
        return int(now_ms - target.batch_started_ms >= NON_PRIMARY_START_INTERVAL_MS)

    def _record_usable_slots(self, slots_by_group: dict[TargetGroup, list[TargetSlots]]) -> None:
        usable = sum(
            len(slots.own_batch) + max(0, slots.unreserved_slots)
            for group_slots in slots_by_group.values()
            for slots in group_slots
            if slots.is_usable and slots.is_primary
        )
        self._completions.record_slots(usable, now_ms())

    def _log_use(self, slots_by_group: dict[TargetGroup, list[TargetSlots]]) -> None:
        """Log once a second how the targets are used, while there is batch work."""
        if now_ms() - self._use_logged_ms < USE_LOG_INTERVAL_MS:
            return
        self._use_logged_ms = now_ms()
        open_items = self._registry.open_item_count()
        if not open_items:
            return
        all_slots = [slots for group_slots in slots_by_group.values() for slots in group_slots]
        primary = [slots for slots in all_slots if slots.is_primary]
        self._log.event(
            "batch_use",
            open=open_items,
            running=len(self._running),
            usable_slots=self._completions.slots,
            primary_targets=len(primary),
            primary_capacity=sum(slots.capacity for slots in primary),
            primary_online=sum(slots.online for slots in primary),
            primary_other_batch=sum(slots.other_batch for slots in primary),
            avoided_targets=sum(not slots.is_usable for slots in all_slots),
        )

    def _select_waiting(
        self, slots_by_group: dict[TargetGroup, list[TargetSlots]]
    ) -> dict[TargetGroup, dict[str, WaitingItem]]:
        free_slots = {
            group: sum(max(0, slots.free_slots) for slots in group_slots if slots.is_usable)
            for group, group_slots in slots_by_group.items()
            if any(slots.is_accepting for slots in group_slots)
        }
        running_items = ((running.progress, running.item) for running in self._running.values())
        return self._waiting_items.select(free_slots, running_items)

    def _stop_unowned(self) -> None:
        for running in self._running.values():
            progress = running.progress
            if progress.record.is_cancelled or not self._registry.can_list_results(progress):
                running.task.cancel()

    def _stop_at_removed_targets(self) -> None:
        """Stop items at targets that were removed or that have restarted under the same id.

        An entry also lapses if its target is slow to renew it; while events arrive, it runs.
        """
        for running in list(self._running.values()):
            target = running.target
            listed = self._targets.find(target.target_id)
            if listed is target or target.is_leaving:
                continue  # a target that leaves as planned completes what it runs
            is_same_run = listed is None or listed.incarnation == target.incarnation
            if is_same_run and _is_progressing(running.content_run, now_ms()):
                continue
            self._crash_guard.end_broken(running.content_run)
            running.task.cancel()

    async def _run_item(
        self, key: str, progress: JobProgress, item: Item, content_run: ContentRun
    ) -> None:
        running = self._running[key]
        record = progress.record
        run = ItemRun(
            self._names,
            self._pool,
            item,
            record.items[item.index],
            progress.item_body(item.index),
            record.host,
            self._crash_guard.confirm_end,
            self._checker if self._must_confirm_incarnation(item) else None,
            self._account_of(record),
            self._budget,
        )
        self._registry.on_change()
        try:
            result = await run.run(content_run)
            if result.may_be_crash:
                self._crash_guard.end_broken(content_run)
            elif result.outcome is RunOutcome.COMPLETE:
                self._crash_guard.end_completed(content_run)
            self._handle_result(progress, item, content_run, result)
        finally:
            self._free_slot(key, running)

    def _account_of(self, record: JobRecord) -> str | None:
        """Return the account that targets are told; ``None`` if there are no accounts."""
        has_accounts = self._config.table.config.accounts is not None
        return record.caller if record.caller or has_accounts else None

    def _must_confirm_incarnation(self, item: Item) -> bool:
        """Whether the target's version has to be certain, as others do not fit the events.

        Also while only one version is listed: a target that was started again under its id may be
        the first of another one.
        """
        return item.origin is not None

    def _free_slot(self, key: str, running: RunningItem, task: Task[None] | None = None) -> None:
        """Free the slot of a run that has ended. Does nothing if that was done before.

        The item may run again as soon as this was called, so the callback of the first run's task,
        which comes later, must not touch the second run.

        :param task: the task of the run if it has ended.
        """
        if task is not None and not task.cancelled() and task.exception() is not None:
            self._log.event("item_run_crashed", item=key, error=repr(task.exception()))
        if self._running.get(key) is not running:
            return
        del self._running[key]
        self._crash_guard.end(running.content_run)
        running.item.end_run(now_ms())
        if running.item.state is ItemState.RUNNING:
            running.item.state = ItemState.WAITING
        running.target.own_batch -= 1
        self._registry.on_change()

    def _handle_result(
        self,
        progress: JobProgress,
        item: Item,
        content_run: ContentRun,
        result: RunResult,
    ) -> None:
        at_ms = now_ms()
        target = content_run.target
        self._outcomes.record(content_run, result.outcome, at_ms)
        self._metrics.count(f"item_runs_{result.outcome.name.lower()}")
        if result.outcome is not RunOutcome.COMPLETE:
            self._log_incomplete_run(progress, item, content_run, result)
        if item.state is not ItemState.RUNNING:
            return  # another runner has listed the item's result in the meantime
        item.state = ItemState.WAITING
        if result.outcome is RunOutcome.COMPLETE:
            target.mark_responsive()
            tokens = progress.record.items[item.index].tokens
            self._completions.record_completion(tokens, item.slot_ms(at_ms))
            progress.end_item(item, True, at_ms)
        elif result.outcome is RunOutcome.REJECTED:
            progress.record_failure(item, at_ms)
            progress.end_item(item, False, at_ms)
        elif result.outcome is RunOutcome.FAILED:
            self._handle_failure(progress, item, at_ms)
        else:
            self._handle_incomplete_run(item, content_run, result.outcome, at_ms)

    def _log_incomplete_run(
        self, progress: JobProgress, item: Item, content_run: ContentRun, result: RunResult
    ) -> None:
        target = content_run.target
        self._log.event(
            "item_run_ended",
            job=progress.job_id,
            item=item.item_id,
            content=progress.content_digest(item),
            target=target.target_id,
            software_version=target.entry.software_version,
            end=result.outcome.name.lower(),
            detail=result.detail,
            last_event=item.last_event_id,
            failures=item.failures,
            progress_ms=content_run.progress_ms,
        )

    def _record_answer_pace(self, run: ContentRun) -> None:
        kind = f"items of {run.target.entry.service}"
        self._targets.pace.record_answer(run.target, kind, run.started_ms, now_ms())

    def _handle_failure(self, progress: JobProgress, item: Item, now_ms: float) -> None:
        progress.record_failure(item, now_ms)
        if item.failures >= progress.record.max_attempts:
            progress.end_item(item, False, now_ms)
            return
        item.not_before_ms = now_ms + RETRY_DELAY_MS

    def _handle_incomplete_run(
        self, item: Item, content_run: ContentRun, outcome: RunOutcome, now_ms: float
    ) -> None:
        target = content_run.target
        if outcome is RunOutcome.NOT_RUN:
            target.mark_full(now_ms)
            item.not_before_ms = now_ms + NOT_RUN_DELAY_MS
            if target.is_outdated and item.origin is not None:
                self._waiting_items.note_stalled(item, now_ms)
            return
        if outcome is RunOutcome.UNREACHABLE:
            target.mark_unreachable(now_ms)
            return
        if outcome is RunOutcome.GIVEN_UP:
            item.not_before_ms = now_ms + RETRY_DELAY_MS
            return
        if outcome is RunOutcome.SILENT:
            target.mark_unresponsive(now_ms)
        # The events of an answer that was too long are discarded.
        if content_run.has_progress and item.last_event_id is not None:
            item.consecutive_broken_runs, item.broken_targets = 0, frozenset()
        else:
            item.consecutive_broken_runs += 1
            item.broken_targets |= {target.target_id}
        # The item may run again at once after the first of several broken runs in succession.
        delay_ms = min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2**item.consecutive_broken_runs)
        item.not_before_ms = now_ms + (delay_ms if item.consecutive_broken_runs > 1 else 0.0)

    def dump(self) -> dict[str, object]:
        """Return the target id of each running item by item key."""
        return {key: running.target.target_id for key, running in self._running.items()}


def _is_progressing(run: ContentRun, at_ms: float) -> bool:
    last_event_ms = run.last_event_ms
    return last_event_ms is not None and at_ms - last_event_ms < PROGRESS_MS
