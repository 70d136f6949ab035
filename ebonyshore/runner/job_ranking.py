"""Ranks the jobs of this runner by the work that they still need and by when they are due."""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.runner.account_sharing import start_in_part
from ebonyshore.runner.admission_policy import RunnerWork
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.job_order import (
    ItemRank,
    JobDemand,
    JobOrder,
    can_be_in_time,
    item_rank,
    move_late_ahead,
    order_jobs,
    preemption_key,
)
from ebonyshore.runner.job_progress import Item, ItemState, JobProgress
from ebonyshore.runner.job_registry import JobRegistry

RANKING_INTERVAL_MS = 200.0


class WaitingItem(Struct, frozen=True):
    """An item that waits for a slot.

    :param service: the service at whose targets it is to run.
    """

    progress: JobProgress
    item: Item
    service: str

    @property
    def key(self) -> str:
        """The job id and the item's index, unique among all jobs."""
        return f"{self.progress.job_id}/{self.item.index}"


class JobRanking:
    """Keeps the order of the owned jobs, which is computed again every few steps.

    :param registry: the known jobs.
    :param completions: slots that this runner can use, and the slot time of an item.
    """

    __slots__ = (
        "_clock",
        "_completions",
        "_due_ms",
        "_next_ms",
        "_order",
        "_ranks",
        "_registry",
    )

    def __init__(self, registry: JobRegistry, completions: CompletionRate, clock: Clock) -> None:
        self._registry = registry
        self._completions = completions
        self._clock = clock
        self._order = JobOrder(())
        self._ranks: dict[str, int] = {}
        self._due_ms: dict[str, float] = {}  # event loop time at which the results are due
        self._next_ms = float("-inf")

    def is_late(self, job_id: str) -> bool:
        """Return whether a job is not expected to be completed in time."""
        return job_id in self._order.late

    def update(self, now_ms: float) -> None:
        """Compute the order again if it is outdated.

        :param now_ms: current time of the event loop.
        """
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + RANKING_INTERVAL_MS
        demands = [
            self._demand(job, now_ms) for job in self._registry.owned_jobs() if job.open_count
        ]
        self._order = order_jobs(demands, self._completions.slots)
        self._ranks = {job_id: rank for rank, job_id in enumerate(self._order.job_ids)}
        self._due_ms = {demand.job_id: now_ms + demand.due_in_ms for demand in demands}

    def own_work(self, account: str = "") -> RunnerWork:
        """Return the amount of this runner's work, and the rate at which it can be completed.

        :param account: the account whose work is told from that of the others.
        """
        waiting: Counter[str] = Counter({account: 0})
        punctual: Counter[str] = Counter({account: 0})
        for job in self._registry.owned_jobs():
            waiting[job.record.caller] += job.unfinished_tokens
            if not self.is_late(job.job_id):
                punctual[job.record.caller] += job.unfinished_tokens
        return RunnerWork(
            waiting.pop(account),
            punctual.pop(account),
            self._completions.tokens_per_ms(),
            tuple(waiting.values()),
            tuple(punctual.values()),
        )

    def sort_items(
        self,
        items: Iterable[WaitingItem],
        running: Iterable[tuple[JobProgress, Item]],
        now_ms: float,
    ) -> list[WaitingItem]:
        """Return waiting items in the order in which they start.

        Items of jobs that became known since the order was computed come last in their part.

        :param running: the running items, each with its job.
        """
        keys = {waiting.key: self._sort_key(waiting, now_ms) for waiting in items}
        ordered = sorted(items, key=lambda waiting: keys[waiting.key])
        running = list(running)
        if self._order.part_slots:
            held = Counter(job.record.caller for job, _ in running)
            ordered = start_in_part(ordered, self._sharing_account, held, self._order.part_slots)
        first_late = sum(key[0] is not ItemRank.LATE for key in keys.values())
        late_running = sum(not self._is_in_time(job, item, now_ms) for job, item in running)
        return move_late_ahead(ordered, first_late, self._order.late_slots - late_running)

    def _sharing_account(self, waiting: WaitingItem) -> str | None:
        """Return the account whose part of the slots an item counts towards; not if it is late."""
        record = waiting.progress.record
        return None if self.is_late(record.job_id) else record.caller

    def preemption_key(
        self, progress: JobProgress, item: Item, now_ms: float
    ) -> tuple[bool, float]:
        """Return a sort key of a running item; the last ones are preempted first."""
        return preemption_key(self._is_in_time(progress, item, now_ms), item.slot_ms(now_ms))

    def _sort_key(self, waiting: WaitingItem, now_ms: float) -> tuple[ItemRank, bool, int, int]:
        job_id, item = waiting.progress.job_id, waiting.item
        has_progress = item.last_event_id is not None
        is_in_time = self._is_in_time(waiting.progress, item, now_ms)
        part = item_rank(self._order, job_id, is_in_time, has_progress)
        job_rank = self._ranks.get(job_id, len(self._ranks))
        return part, not has_progress, job_rank, item.index

    def _is_in_time(self, progress: JobProgress, item: Item, now_ms: float) -> bool:
        due_ms = self._due_ms.get(progress.job_id)
        if due_ms is None:
            return True  # the job became known since the order was computed
        return can_be_in_time(due_ms - now_ms, self._needed_ms(progress, item, now_ms))

    def _demand(self, progress: JobProgress, now_ms: float) -> JobDemand:
        record = progress.record
        needed_ms = [
            self._needed_ms(progress, item, now_ms)
            for item in progress.items
            if item.state in (ItemState.WAITING, ItemState.RUNNING)
        ]
        age_ms = max(
            self._registry.known_for_ms(record.job_id),
            self._clock.wall_ms() - record.submitted_ms,
        )
        return JobDemand(
            record.job_id,
            record.completion_target_ms - age_ms,
            record.retention_ms - age_ms,
            sum(needed_ms),
            max(needed_ms, default=0.0),
            any(self._has_run(item) for item in progress.items),
            record.caller,
        )

    def _has_run(self, item: Item) -> bool:
        return item.run_started_ms is not None or item.ended_runs_ms > 0.0

    def _needed_ms(self, progress: JobProgress, item: Item, now_ms: float) -> float:
        """Return the slot time that an unfinished item is expected to need from now on."""
        total_ms = progress.record.items[item.index].tokens * self._completions.slot_ms_per_token
        return max(0.0, total_ms - item.slot_ms(now_ms))
