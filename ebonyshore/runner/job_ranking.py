"""Ranks the jobs of this runner by the work that they still need and by when they are due."""

from collections.abc import Iterable

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.runner.admission_policy import RunnerWork
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.job_order import JobDemand, JobOrder, item_rank, order_jobs
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

    __slots__ = ("_clock", "_completions", "_next_ms", "_order", "_ranks", "_registry")

    def __init__(self, registry: JobRegistry, completions: CompletionRate, clock: Clock) -> None:
        self._registry = registry
        self._completions = completions
        self._clock = clock
        self._order = JobOrder(())
        self._ranks: dict[str, int] = {}
        self._next_ms = float("-inf")

    def is_late(self, job_id: str) -> bool:
        """Return whether a job is not expected to be completed in time."""
        return job_id in self._order.late

    def update(self, running_jobs: Iterable[str], now_ms: float) -> None:
        """Compute the order again if it is outdated.

        :param running_jobs: the job id of each running item.
        :param now_ms: current time of the event loop.
        """
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + RANKING_INTERVAL_MS
        late_running = sum(job_id in self._order.late for job_id in running_jobs)
        demands = [
            self._demand(job, now_ms) for job in self._registry.owned_jobs() if job.open_count
        ]
        self._order = order_jobs(demands, self._completions.slots, late_running)
        self._ranks = {job_id: rank for rank, job_id in enumerate(self._order.job_ids)}

    def own_work(self) -> RunnerWork:
        """Return the amount of this runner's work, and the rate at which it can be completed."""
        owned = self._registry.owned_jobs()
        return RunnerWork(
            sum(job.unfinished_tokens for job in owned),
            sum(job.unfinished_tokens for job in owned if not self.is_late(job.job_id)),
            self._completions.tokens_per_ms(),
        )

    def sort_items(self, items: list[WaitingItem]) -> list[WaitingItem]:
        """Return waiting items in the order in which they start.

        Items of jobs that became known since the order was computed come last in their part.
        """
        return sorted(items, key=self._sort_key)

    def _sort_key(self, waiting: WaitingItem) -> tuple[bool, bool, int, int]:
        job_id, item = waiting.progress.job_id, waiting.item
        has_progress = item.last_event_id is not None
        job_rank = self._ranks.get(job_id, len(self._ranks))
        return *item_rank(self._order, job_id, has_progress), job_rank, item.index

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
        )

    def _has_run(self, item: Item) -> bool:
        return item.run_started_ms is not None or item.ended_runs_ms > 0.0

    def _needed_ms(self, progress: JobProgress, item: Item, now_ms: float) -> float:
        """Return the slot time that an unfinished item is expected to need from now on."""
        total_ms = progress.record.items[item.index].tokens * self._completions.slot_ms_per_token
        return max(0.0, total_ms - item.slot_ms(now_ms))
