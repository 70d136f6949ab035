"""Claims shards of open jobs and runs their items on the targets."""

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
TARGET_PAUSE_MS = 100.0
DRAIN_GRACE_MS = 2_000.0
MAX_JOBS_PER_POLL = 4
POLL_JITTER_RATIO = 0.2
MAX_CLOSED_PER_POLL = 32


class BeginDrain(Struct, frozen=True):
    """Finish or hand back the shards and claim no more."""


class ShardRunner(Task[RequestMessage | BeginDrain]):
    """Runs shards; owns their leases.

    :param holder: instance id of the entry.
    :param sizer: is told what items cost.
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
        self._held: dict[tuple[str, int], HeldShard] = {}
        self._by_request: dict[str, HeldShard] = {}
        self._paused: dict[str, float] = {}
        self._order = JobRanker()
        self._random = Random(holder)
        self._search = ShardSearch(holder, batch_settings.lease_interval_ms, self._random)
        self._next_tick_ms = 0.0
        self._next_poll_ms = 0.0
        self._drain_cancel_ms = float("inf")
        self._is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no shard is held; may be read from any thread."""
        return not self._held

    def next_timer_ms(self) -> float | None:
        return self._next_tick_ms

    def on_timer(self) -> None:
        self._poll_jobs(self.clock.monotonic_ms())
        for work in list(self._held.values()):
            self._advance(work)
        self._dispatch_all()
        self._next_tick_ms = self.clock.monotonic_ms() + TICK_INTERVAL_MS

    def handle(self, message: RequestMessage | BeginDrain) -> None:
        if isinstance(message, BeginDrain):
            self._begin_drain()
            return
        work = self._by_request.get(message.request_id)
        if work is None:
            return
        if isinstance(message, Chunk):
            work.add_chunk(message.request_id, message.data)
            return
        del self._by_request[message.request_id]
        self._end(work, message)

    def _end(self, work: HeldShard, message: RequestMessage) -> None:
        now_ms = self.clock.monotonic_ms()
        sent = work.in_flight[message.request_id]
        if isinstance(message, Refused):
            pause_ms = max(TARGET_PAUSE_MS, float(message.retry_after_ms))
            self._paused[sent.target_id] = now_ms + pause_ms
            self._metrics.count("batch_refused")
        attempts = self._settings.current().for_model(sent.pending_item.request.model).max_attempts
        needless = work.end_dispatch(message, now_ms, attempts)
        if sent.pending_item.is_done:
            self._metrics.count("batch_items_done")
        self._send_cancels(work, needless)

    def _begin_drain(self) -> None:
        self._is_draining = True
        self._drain_cancel_ms = self.clock.monotonic_ms() + DRAIN_GRACE_MS
        for work in self._held.values():
            work.is_draining = True

    def _poll_jobs(self, now_ms: float) -> None:
        if now_ms < self._next_poll_ms or self._is_draining or self._is_full():
            return
        jitter = 1 + POLL_JITTER_RATIO * (self._random.random() - 0.5)
        try:
            entries = self._jobs.index.poll()
            ranked = self._search.exclude_backed_off(self._order.rank(entries), now_ms)
            for entry in ranked[:MAX_JOBS_PER_POLL]:
                self._visit(entry.job_id)
                if self._is_full():
                    break
        except (StoreError, RequestError, MsgspecError) as error:
            self._log.event("batch_poll_failed", detail=str(error))
            self._search.record_store_failure(self.clock.monotonic_ms())
        self._next_poll_ms = (
            self.clock.monotonic_ms() + self._batch_settings.poll_interval_ms * jitter
        )

    def _is_full(self) -> bool:
        return len(self._held) >= self._batch_settings.max_shards

    def _visit(self, job_id: str) -> None:
        permits = self._read_permits()
        job = self._jobs.read_job(job_id)
        if job.is_ended:
            self._jobs.index.remove(job_id)
            return
        if job.settings_revision > self._settings.current().revision:
            return
        versions = self._jobs.list_shard_versions(job_id)
        now_ms = self.clock.monotonic_ms()
        held = {shard for held_job, shard in self._held if held_job == job_id}
        if job.state is JobState.CANCELLING:
            self._close_shards(job, self._search.candidates(job, versions, held, now_ms))
            return
        found = False
        for shard in self._search.candidates(job, versions, held, now_ms):
            found = self._try_claim(job, shard, shard in versions, permits) or found
            if self._is_full():
                break
        if not found:
            self._search.back_off_job(job_id, now_ms)

    def _try_claim(
        self, job: JobRecord, shard: int, exists: bool, permits: dict[str, Permit]
    ) -> bool:
        current = self._jobs.read_shard(job.job_id, shard) if exists else None
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
        self._hold(HeldShard(job, record, now_ms, permits, self._limits))
        return True

    def _close_shards(self, job: JobRecord, shards: list[int]) -> None:
        """End the free shards of a cancelled job, with one write each and one to the job."""
        closed = []
        for shard in shards[:MAX_CLOSED_PER_POLL]:
            current = self._jobs.read_shard(job.job_id, shard)
            if current is not None and current.body.is_ended:
                closed.append(current.body)
                continue
            now_ms = self.clock.monotonic_ms()
            if current is not None and not self._search.is_claimable(current, now_ms):
                continue
            try:
                closed.append(self._jobs.close_shard(job, shard, current))
            except WriteConflictError:
                continue
        if closed:
            self._jobs.record_ended_shards(job.job_id, closed)

    def _hold(self, work: HeldShard) -> None:
        self._load_items(work)
        self._held[work.key] = work
        job_id, shard = work.key
        items = len(work.waiting)
        self._order.record_claim(work.job.caller, items)
        epoch = work.record.body.epoch
        self._log.event("shard_claimed", job_id=job_id, shard=shard, epoch=epoch, items=items)

    def _load_items(self, work: HeldShard) -> None:
        job = work.job
        file = self._jobs.files.read(job.file_id, job.caller)
        committed = {
            outcome.item
            for segment in self._jobs.read_segments(work.record.body)
            for outcome in segment.outcomes
        }
        items = job.shard_range(work.record.body.shard)
        lines = zip(items, self._jobs.files.read_lines(file, items), strict=True)
        rules = ItemRules(
            job.endpoint,
            frozenset(file.duplicate_items),
            lambda request: check_generation(request, self._settings.current()),
        )
        pending, failed = parse_items((line for line in lines if line[0] not in committed), rules)
        work.add_items(committed, pending, failed)

    def _advance(self, work: HeldShard) -> None:
        now_ms = self.clock.monotonic_ms()
        if work.is_job_cancelled or now_ms >= self._drain_cancel_ms:
            self._send_cancels(work, work.take_dispatches_to_cancel())
        step = work.next_action(now_ms)
        if step is StoreAction.NONE:
            return
        try:
            self._write(work, step, now_ms)
        except LeaseLostError:
            self._log.event("shard_lost", job_id=work.key[0], shard=work.key[1])
            self._metrics.count("batch_shards_lost")
            self._drop(work)
        except (StoreError, RequestError, MsgspecError) as error:
            self._log.event("batch_store_error", detail=str(error))
            failed_ms = self.clock.monotonic_ms()
            self._search.record_store_failure(failed_ms)
            work.next_write_ms = failed_ms + STORE_RETRY_MS

    def _write(self, work: HeldShard, step: StoreAction, now_ms: float) -> None:
        permits = self._read_permits()
        if step is StoreAction.CHECKPOINT:
            work.job = self._jobs.read_job(work.job.job_id)
        progress = work.make_update(step)
        work.apply_commit(self._jobs.commit(work.record, progress), progress, now_ms)
        if step is StoreAction.CHECKPOINT:
            work.permits = permits
            return
        self._drop(work)
        if step is StoreAction.FINISH:
            self._sizer.record_item_duration(work.job.tier, work.average_item_ms)
            self._record_end(work.record.body)

    def _record_end(self, shard: ShardRecord) -> None:
        """Note the end in the job; if that fails, whoever visits the job next does it."""
        try:
            self._jobs.record_ended_shards(shard.job_id, [shard])
        except StoreError as error:
            self._log.event("shard_end_not_recorded", job_id=shard.job_id, detail=str(error))

    def _drop(self, work: HeldShard) -> None:
        del self._held[work.key]
        self._send_cancels(work, work.take_dispatches_to_cancel())
        for request_id in work.in_flight:
            self._by_request.pop(request_id, None)

    def _send_cancels(self, work: HeldShard, request_ids: list[str]) -> None:
        for request_id in request_ids:
            self._link.post(SendCancel(work.in_flight[request_id].target_id, request_id))

    def _read_permits(self) -> dict[str, Permit]:
        return {
            target.target_id: Permit(target.incarnation, target.tick_ms)
            for target in self._membership.targets().values()
        }

    def _dispatch_all(self) -> None:
        targets = self._membership.targets()
        now_ms = self.clock.monotonic_ms()
        rooms = self._rooms(now_ms)
        for work in self._held.values():
            for item, target in work.select_dispatches(now_ms, targets, rooms):
                self._dispatch(work, item, target, now_ms)

    def _rooms(self, now_ms: float) -> dict[str, int]:
        self._paused = {t: until_ms for t, until_ms in self._paused.items() if until_ms > now_ms}
        sent = Counter(s.target_id for work in self._held.values() for s in work.in_flight.values())
        return {
            target.target_id: target.load.batch_room - sent[target.target_id]
            for target in self._membership.targets().values()
            if target.target_id not in self._paused
        }

    def _dispatch(
        self, work: HeldShard, item: PendingItem, target: TargetView, now_ms: float
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
            caller=work.job.caller,
            tier=work.job.tier,
            model=item.request.model,
            is_suspect=item.is_suspect,
            is_stream=True,
            permit=work.permits[target.target_id],
            trace_id=f"{work.job.job_id}/{item.number}",
            resume_text=item.resume_text,
        )
        work.record_dispatch(dispatch.request_id, item, target.target_id, now_ms)
        self._by_request[dispatch.request_id] = work
        self._link.post(SendDispatch(target.target_id, dispatch, self))
