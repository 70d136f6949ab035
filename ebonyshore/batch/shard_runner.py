"""Claims shards of open jobs and dispatches their items to the targets' agents."""

from collections import Counter
from random import Random
from uuid import uuid4

from msgspec import MsgspecError, Struct

from ebonyshore.batch.batch_items import ItemRules, PendingItem, parse_items
from ebonyshore.batch.held_shard import HeldShard, ShardLimits, StoreAction
from ebonyshore.batch.job_scheduling import JobRanker, ShardSizer
from ebonyshore.batch.job_store import JobStore
from ebonyshore.batch.jobs import JobRecord, JobState, ShardRecord
from ebonyshore.batch.shard_search import ShardSearch
from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import SendCancel, SendDispatch
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.openai_api import check_generation
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import LeaseLostError, RequestError, StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import Chunk, Dispatch, Permit, Refused, RequestMessage, WorkClass
from ebonyshore.settings.settings_service import SettingsService

TICK_INTERVAL_MS = 50
ITEM_TIMEOUT_MS = 600_000.0
STORE_RETRY_MS = 1_000.0
# Minimum pause of dispatches to a target after it has refused one.
REFUSAL_PAUSE_MS = 100.0
# How long dispatches in flight may go on during a drain before they are cancelled.
DRAIN_GRACE_MS = 2_000.0
MAX_JOBS_PER_POLL = 4
POLL_JITTER_RATIO = 0.2
MAX_CLOSED_SHARDS_PER_POLL = 32


class BeginDrain(Struct, frozen=True):
    """Tells the shard runner to claim no more shards and to finish or hand back those it holds."""


class ShardRunner(Task[RequestMessage | BeginDrain]):
    """Holds the leases of shards and runs their items.

    Each tick it polls the index of open jobs if that is due, writes what the held shards have to
    write to the store, and dispatches items to targets with free batch slots.

    :param holder: instance id of the entry, which the leases name.
    :param link: sends dispatches and cancels to the agents; answers are posted to this task.
    :param membership: the targets with their loads.
    :param sizer: learns the average duration of items.
    """

    def __init__(
        self,
        holder: str,
        job_store: JobStore,
        link: AgentLink,
        membership: Membership,
        settings: SettingsService,
        batch_settings: BatchSettings,
        sizer: ShardSizer,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("shard-runner", clock)
        self._holder = holder
        self._jobs = job_store
        self._link = link
        self._membership = membership
        self._settings = settings
        self._batch_settings = batch_settings
        self._sizer = sizer
        self._metrics = metrics
        self._log = log
        self._limits = ShardLimits(
            batch_settings.lease_interval_ms,
            batch_settings.checkpoint_interval_ms,
            batch_settings.permit_interval_ms,
            batch_settings.window_items,
        )
        self._held_shards: dict[tuple[str, int], HeldShard] = {}
        self._shards_by_request: dict[str, HeldShard] = {}
        self._paused_until_ms: dict[str, float] = {}
        self._ranker = JobRanker()
        self._random = Random(holder)
        self._search = ShardSearch(holder, batch_settings.lease_interval_ms, self._random)
        self._next_tick_ms = 0.0
        self._next_poll_ms = 0.0
        self._drain_cancel_ms = float("inf")
        self._is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no shard is held; may be read from any thread."""
        return not self._held_shards

    def next_timer_ms(self) -> float | None:
        return self._next_tick_ms

    def on_timer(self) -> None:
        self._poll_jobs(self.clock.monotonic_ms())
        for held_shard in list(self._held_shards.values()):
            self._advance_shard(held_shard)
        self._dispatch_all()
        self._next_tick_ms = self.clock.monotonic_ms() + TICK_INTERVAL_MS

    def handle(self, message: RequestMessage | BeginDrain) -> None:
        if isinstance(message, BeginDrain):
            self._begin_drain()
            return
        held_shard = self._shards_by_request.get(message.request_id)
        if held_shard is None:
            return
        if isinstance(message, Chunk):
            held_shard.add_chunk(message.request_id, message.data)
            return
        del self._shards_by_request[message.request_id]
        self._handle_final(held_shard, message)

    def _handle_final(self, held_shard: HeldShard, message: RequestMessage) -> None:
        now_ms = self.clock.monotonic_ms()
        dispatch = held_shard.in_flight[message.request_id]
        if isinstance(message, Refused):
            pause_ms = max(REFUSAL_PAUSE_MS, float(message.retry_after_ms))
            self._paused_until_ms[dispatch.target_id] = now_ms + pause_ms
            self._metrics.count("batch_refused")
        attempt_limit = (
            self._settings.current().for_model(dispatch.pending_item.request.model).max_attempts
        )
        unneeded = held_shard.end_dispatch(message, now_ms, attempt_limit)
        if dispatch.pending_item.is_done:
            self._metrics.count("batch_items_done")
        self._send_cancels(held_shard, unneeded)

    def _begin_drain(self) -> None:
        self._is_draining = True
        self._drain_cancel_ms = self.clock.monotonic_ms() + DRAIN_GRACE_MS
        for held_shard in self._held_shards.values():
            held_shard.is_draining = True

    def _poll_jobs(self, now_ms: float) -> None:
        if now_ms < self._next_poll_ms or self._is_draining or self._is_full():
            return
        jitter = 1 + POLL_JITTER_RATIO * (self._random.random() - 0.5)
        try:
            entries = self._jobs.index.poll()
            ranked = self._search.exclude_backed_off(self._ranker.rank(entries), now_ms)
            for entry in ranked[:MAX_JOBS_PER_POLL]:
                self._process_job(entry.job_id)
                if self._is_full():
                    break
        except (StoreError, RequestError, MsgspecError) as error:
            self._log.event("batch_poll_failed", detail=str(error))
            self._search.record_store_failure(self.clock.monotonic_ms())
        self._next_poll_ms = (
            self.clock.monotonic_ms() + self._batch_settings.poll_interval_ms * jitter
        )

    def _is_full(self) -> bool:
        return len(self._held_shards) >= self._batch_settings.max_shards

    def _process_job(self, job_id: str) -> None:
        """Claim free shards of a job, or end them if the job was cancelled.

        A job accepted under newer settings than this entry has is skipped.
        """
        permits = self._read_permits()
        job = self._jobs.read_job(job_id)
        if job.is_ended:
            self._jobs.index.remove(job_id)
            return
        if job.settings_revision > self._settings.current().revision:
            return
        versions = self._jobs.list_shard_versions(job_id)
        now_ms = self.clock.monotonic_ms()
        held_numbers = {shard for held_job, shard in self._held_shards if held_job == job_id}
        if job.state is JobState.CANCELLING:
            self._close_shards(job, self._search.candidates(job, versions, held_numbers, now_ms))
            return
        found_any = False
        for shard in self._search.candidates(job, versions, held_numbers, now_ms):
            found_any = self._try_claim(job, shard, shard in versions, permits) or found_any
            if self._is_full():
                break
        if not found_any:
            self._search.back_off_job(job_id, now_ms)

    def _try_claim(
        self, job: JobRecord, shard: int, is_stored: bool, permits: dict[str, Permit]
    ) -> bool:
        """Claim a shard if it is free; if it has ended, record that in the job.

        :param is_stored: whether the shard has a record.
        :return: whether it was claimed or had ended.
        """
        current = self._jobs.read_shard(job.job_id, shard) if is_stored else None
        now_ms = self.clock.monotonic_ms()
        if current is not None and current.body.is_ended:
            self._jobs.record_ended_shards(job.job_id, [current.body])
            return True
        if current is not None and not self._search.is_claimable(current, now_ms):
            return False
        try:
            record = self._jobs.claim(job, shard, self._holder, current)
        except WriteConflictError:
            return False
        self._add_shard(HeldShard(job, record, now_ms, permits, self._limits))
        return True

    def _close_shards(self, job: JobRecord, shards: list[int]) -> None:
        """End the free shards of a cancelled job; takes one write each and one to the job."""
        ended = []
        for shard in shards[:MAX_CLOSED_SHARDS_PER_POLL]:
            current = self._jobs.read_shard(job.job_id, shard)
            if current is not None and current.body.is_ended:
                ended.append(current.body)
                continue
            now_ms = self.clock.monotonic_ms()
            if current is not None and not self._search.is_claimable(current, now_ms):
                continue
            try:
                ended.append(self._jobs.close_shard(job, shard, current))
            except WriteConflictError:
                continue
        if ended:
            self._jobs.record_ended_shards(job.job_id, ended)

    def _add_shard(self, held_shard: HeldShard) -> None:
        self._load_items(held_shard)
        self._held_shards[held_shard.key] = held_shard
        job_id, shard = held_shard.key
        items = len(held_shard.waiting)
        self._ranker.record_claim(held_shard.job.caller, items)
        epoch = held_shard.record.body.epoch
        self._log.event("shard_claimed", job_id=job_id, shard=shard, epoch=epoch, items=items)

    def _load_items(self, held_shard: HeldShard) -> None:
        """Read the shard's lines and committed outcomes, and fail the items that cannot run."""
        job = held_shard.job
        file = self._jobs.files.read(job.file_id, job.caller)
        committed = {
            outcome.item
            for segment in self._jobs.read_segments(held_shard.record.body)
            for outcome in segment.outcomes
        }
        items = job.shard_range(held_shard.record.body.shard)
        lines = zip(items, self._jobs.files.read_lines(file, items), strict=True)
        rules = ItemRules(
            job.endpoint,
            frozenset(file.duplicate_items),
            lambda request: check_generation(request, self._settings.current()),
        )
        pending, failed = parse_items((line for line in lines if line[0] not in committed), rules)
        held_shard.add_items(committed, pending, failed)

    def _advance_shard(self, held_shard: HeldShard) -> None:
        """Cancel dispatches of a cancelled job or at the end of a drain; write what is due."""
        now_ms = self.clock.monotonic_ms()
        if held_shard.is_job_cancelled or now_ms >= self._drain_cancel_ms:
            self._send_cancels(held_shard, held_shard.take_dispatches_to_cancel())
        action = held_shard.next_action(now_ms)
        if action is StoreAction.NONE:
            return
        try:
            self._commit(held_shard, action, now_ms)
        except LeaseLostError:
            self._log.event("shard_lost", job_id=held_shard.key[0], shard=held_shard.key[1])
            self._metrics.count("batch_shards_lost")
            self._drop_shard(held_shard)
        except (StoreError, RequestError, MsgspecError) as error:
            self._log.event("batch_store_error", detail=str(error))
            failed_ms = self.clock.monotonic_ms()
            self._search.record_store_failure(failed_ms)
            held_shard.next_write_ms = failed_ms + STORE_RETRY_MS

    def _commit(self, held_shard: HeldShard, action: StoreAction, now_ms: float) -> None:
        permits = self._read_permits()
        if action is StoreAction.CHECKPOINT:
            held_shard.job = self._jobs.read_job(held_shard.job.job_id)
        update = held_shard.make_update(action)
        held_shard.apply_commit(self._jobs.commit(held_shard.record, update), update, now_ms)
        if action is StoreAction.CHECKPOINT:
            held_shard.permits = permits
            return
        self._drop_shard(held_shard)
        if action is StoreAction.FINISH:
            self._sizer.record_item_duration(held_shard.job.tier, held_shard.average_item_ms)
            self._record_shard_end(held_shard.record.body)

    def _record_shard_end(self, shard: ShardRecord) -> None:
        """Record in the job that a shard ended; if that fails, the next poll of the job does it."""
        try:
            self._jobs.record_ended_shards(shard.job_id, [shard])
        except StoreError as error:
            self._log.event("shard_end_not_recorded", job_id=shard.job_id, detail=str(error))

    def _drop_shard(self, held_shard: HeldShard) -> None:
        """Forget a shard and cancel its dispatches in flight."""
        del self._held_shards[held_shard.key]
        self._send_cancels(held_shard, held_shard.take_dispatches_to_cancel())
        for request_id in held_shard.in_flight:
            self._shards_by_request.pop(request_id, None)

    def _send_cancels(self, held_shard: HeldShard, request_ids: list[str]) -> None:
        for request_id in request_ids:
            self._link.post(SendCancel(held_shard.in_flight[request_id].target_id, request_id))

    def _read_permits(self) -> dict[str, Permit]:
        """Return permits by target id, from the agents' latest reports."""
        return {
            target.target_id: Permit(target.incarnation, target.tick_ms)
            for target in self._membership.targets().values()
        }

    def _dispatch_all(self) -> None:
        targets = self._membership.targets()
        now_ms = self.clock.monotonic_ms()
        free_slots = self._count_free_slots(now_ms)
        for held_shard in self._held_shards.values():
            for item, target in held_shard.select_dispatches(now_ms, targets, free_slots):
                self._dispatch(held_shard, item, target, now_ms)

    def _count_free_slots(self, now_ms: float) -> dict[str, int]:
        """Return the number of free batch slots by target id, without paused targets."""
        self._paused_until_ms = {
            t: until_ms for t, until_ms in self._paused_until_ms.items() if until_ms > now_ms
        }
        in_flight = Counter(
            d.target_id
            for held_shard in self._held_shards.values()
            for d in held_shard.in_flight.values()
        )
        return {
            target.target_id: target.load.batch_room - in_flight[target.target_id]
            for target in self._membership.targets().values()
            if target.target_id not in self._paused_until_ms
        }

    def _dispatch(
        self, held_shard: HeldShard, item: PendingItem, target: TargetView, now_ms: float
    ) -> None:
        dispatch = Dispatch(
            uuid4().hex,
            target.incarnation,
            WorkClass.BATCH,
            item.request.path,
            item.request.target_body,
            ITEM_TIMEOUT_MS,
            item.request.content_digest,
            self._settings.current().revision,
            caller=held_shard.job.caller,
            tier=held_shard.job.tier,
            model=item.request.model,
            is_suspect=item.is_suspect,
            is_stream=True,
            permit=held_shard.permits[target.target_id],
            trace_id=f"{held_shard.job.job_id}/{item.number}",
            resume_text=item.resume_text,
        )
        held_shard.record_dispatch(dispatch.request_id, item, target.target_id, now_ms)
        self._shards_by_request[dispatch.request_id] = held_shard
        self._link.post(SendDispatch(target.target_id, dispatch, self))
