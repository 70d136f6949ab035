"""Claims shards of open jobs and runs their items on the targets."""

from dataclasses import dataclass, field
from random import Random
from uuid import uuid4

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.agent_link import AgentLink, SendCancel, SendDispatch
from ebonyshore.clock import Clock
from ebonyshore.errors import EbonyshoreError, LeaseLostError, RequestError, StoreError
from ebonyshore.job_store import JobStore, parse_item
from ebonyshore.jobs import ItemOutcome, JobRecord, JobState, ShardRecord
from ebonyshore.logs import EventLog
from ebonyshore.marked_write import MarkedObject
from ebonyshore.membership import Membership, TargetView
from ebonyshore.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Permit,
    Refused,
    RequestMessage,
    WorkClass,
)
from ebonyshore.metrics import Metrics
from ebonyshore.openai_api import AnswerAssembler, GenerationRequest, parse_generation
from ebonyshore.process_settings import BatchSettings
from ebonyshore.result_codes import ResultCode
from ebonyshore.routing import serving_targets
from ebonyshore.settings_service import SettingsService
from ebonyshore.task import Task

TICK_INTERVAL_MS = 50
ITEM_TIMEOUT_MS = 600_000.0
LEASE_MARGIN_RATIO = 0.25


class BeginDrain(Struct, frozen=True):
    """Finish or hand back the shards and claim no more."""


@dataclass(slots=True)
class PendingItem:
    """An item without an outcome.

    :param is_suspect: whether a target crashed while it ran the item.
    """

    item: int
    custom_id: str
    request: GenerationRequest
    attempts: int = 0
    is_suspect: bool = False
    resume_text: str = ""
    resume_events: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class DispatchedItem:
    """An item that is with an agent."""

    pending: PendingItem
    target_id: str
    chunks: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class HeldShard:
    """A shard whose lease this entry holds.

    :param confirmed_ms: monotonic time at the start of the last successful write.
    :param permits: by target, as heard before the read that last confirmed the job.
    :param outcomes: not committed yet.
    """

    job: JobRecord
    record: MarkedObject[ShardRecord]
    confirmed_ms: float
    permits: dict[str, Permit]
    waiting: list[PendingItem] = field(default_factory=list)
    dispatched: dict[str, DispatchedItem] = field(default_factory=dict)
    outcomes: list[ItemOutcome] = field(default_factory=list)
    is_stopping: bool = False


@dataclass(slots=True)
class ObservedLease:
    """A shard lease of another holder, as first seen at its version."""

    version: int
    seen_ms: float


class ShardRunner(Task[RequestMessage | BeginDrain]):
    """Runs shards; owns their leases.

    :param holder: instance id of the entry.
    """

    def __init__(
        self,
        holder: str,
        job_store: JobStore,
        link: AgentLink,
        membership: Membership,
        settings: SettingsService,
        batch_settings: BatchSettings,
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
        self._metrics = metrics
        self._log = log
        self._held: dict[tuple[str, int], HeldShard] = {}
        self._observed: dict[tuple[str, int], ObservedLease] = {}
        self._by_request: dict[str, HeldShard] = {}
        self._random = Random(holder)
        self._next_tick_ms = 0.0
        self._next_poll_ms = 0.0
        self._bucket = 0
        self._is_draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no shard is held; may be read from any thread."""
        return not self._held

    def timer_ms(self) -> float | None:
        return self._next_tick_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        self._guard(self._poll_jobs, now_ms)
        for held in list(self._held.values()):
            self._guard(self._advance, held, now_ms)

    def handle(self, message: RequestMessage | BeginDrain) -> None:
        if isinstance(message, BeginDrain):
            self._is_draining = True
            return
        held = self._by_request.get(message.request_id)
        if held is None:
            return
        dispatched = held.dispatched[message.request_id]
        if isinstance(message, Chunk):
            dispatched.chunks.append(message.data)
            return
        del self._by_request[message.request_id]
        del held.dispatched[message.request_id]
        self._handle_final(held, dispatched, message)
        self._dispatch_items(held, self.clock.monotonic_ms())

    def _guard(self, step, *arguments: object) -> None:
        try:
            step(*arguments)
        except StoreError as error:
            self._log.event("batch_store_error", code=int(error.code), detail=error.detail)

    def _poll_jobs(self, now_ms: float) -> None:
        if now_ms < self._next_poll_ms or self._is_draining:
            return
        self._next_poll_ms = now_ms + self._batch_settings.poll_interval_ms
        if len(self._held) >= self._batch_settings.max_shards:
            return
        entries = self._jobs.open_jobs(self._bucket)
        self._bucket = (self._bucket + 1) % self._batch_settings.index_buckets
        for entry in sorted(entries, key=lambda e: e.due_wall_ms):
            permits = self._read_permits()
            self._claim_from(self._jobs.read_job(entry.job_id), now_ms, permits)
            if len(self._held) >= self._batch_settings.max_shards:
                return

    def _claim_from(self, job: JobRecord, now_ms: float, permits: dict[str, Permit]) -> None:
        open_shards = [s for s in range(job.shard_count) if s not in job.done_shards]
        self._random.shuffle(open_shards)
        for shard in open_shards:
            if (job.job_id, shard) in self._held:
                continue
            if len(self._held) >= self._batch_settings.max_shards:
                return
            self._try_claim(job, shard, now_ms, permits)

    def _try_claim(
        self, job: JobRecord, shard: int, now_ms: float, permits: dict[str, Permit]
    ) -> None:
        current = self._jobs.read_shard(job.job_id, shard)
        if current is not None and current.body.is_ended:
            self._jobs.record_shard_end(current.body)
            return
        if current is not None and not self._has_lapsed(current, now_ms):
            return
        try:
            record = self._jobs.claim(job, shard, self._holder, current)
        except StoreError:
            return
        self._hold(job, record, now_ms, permits)

    def _has_lapsed(self, current: MarkedObject[ShardRecord], now_ms: float) -> bool:
        body = current.body
        if not body.holder:
            return True
        observed = self._observed.get((body.job_id, body.shard))
        if observed is None or observed.version != current.version:
            self._observed[body.job_id, body.shard] = ObservedLease(current.version, now_ms)
            return False
        return now_ms - observed.seen_ms >= self._batch_settings.lease_interval_ms

    def _hold(
        self,
        job: JobRecord,
        record: MarkedObject[ShardRecord],
        now_ms: float,
        permits: dict[str, Permit],
    ) -> None:
        self._observed.pop((job.job_id, record.body.shard), None)
        held = HeldShard(job, record, now_ms, permits)
        if job.state is JobState.CANCELLING:
            held.is_stopping = True
        else:
            held.waiting = self._load_items(held)
        self._held[job.job_id, record.body.shard] = held
        self._log.event(
            "shard_claimed",
            job_id=job.job_id,
            shard=record.body.shard,
            epoch=record.body.epoch,
            items=len(held.waiting),
        )

    def _load_items(self, held: HeldShard) -> list[PendingItem]:
        job = held.job
        record = self._jobs.read_file(job.file_id, job.caller)
        done = {
            outcome.item
            for segment in self._jobs.read_segments(held.record.body)
            for outcome in segment.outcomes
        }
        items = job.shard_range(held.record.body.shard)
        pending = []
        for item, line in zip(items, self._jobs.read_lines(record, items), strict=True):
            if item not in done:
                parsed = self._parse(held, item, line)
                pending += [parsed] if parsed else []
        return pending

    def _parse(self, held: HeldShard, item: int, line: bytes) -> PendingItem | None:
        custom_id = f"line-{item}"
        try:
            batch_item = parse_item(line)
            custom_id = batch_item.custom_id
            request = parse_generation(batch_item.url, encode(batch_item.body))
        except RequestError as error:
            held.outcomes.append(ItemOutcome(item, custom_id, error.code, detail=str(error)))
            return None
        return PendingItem(item, custom_id, request)

    def _advance(self, held: HeldShard, now_ms: float) -> None:
        batch = self._batch_settings
        is_done = not held.waiting and not held.dispatched
        if is_done or held.is_stopping or self._is_draining:
            self._wind_down(held, now_ms)
        elif now_ms - held.confirmed_ms >= batch.checkpoint_interval_ms:
            self._checkpoint(held, now_ms)
        if (held.job.job_id, held.record.body.shard) in self._held:
            self._dispatch_items(held, now_ms)

    def _wind_down(self, held: HeldShard, now_ms: float) -> None:
        held.waiting = [] if held.is_stopping else held.waiting
        if held.is_stopping or self._is_draining:
            for request_id, dispatched in held.dispatched.items():
                self._link.post(SendCancel(dispatched.target_id, request_id))
        if held.dispatched:
            return
        self._commit(held, now_ms)
        if self._held.get((held.job.job_id, held.record.body.shard)) is not held:
            return
        if held.is_stopping or not self._is_draining:
            held.record = self._jobs.release(held.record, is_ended=True)
            self._drop(held)
            self._jobs.record_shard_end(held.record.body)
        else:
            held.record = self._jobs.release(held.record)
            self._drop(held)

    def _checkpoint(self, held: HeldShard, now_ms: float) -> None:
        permits = self._read_permits()
        held.job = self._jobs.read_job(held.job.job_id)
        if held.job.state is JobState.CANCELLING:
            held.is_stopping = True
        self._commit(held, now_ms)
        held.permits = permits

    def _commit(self, held: HeldShard, now_ms: float) -> None:
        outcomes = tuple(held.outcomes)
        try:
            held.record = self._jobs.commit(held.record, outcomes)
        except LeaseLostError:
            self._log.event("shard_lost", job_id=held.job.job_id, shard=held.record.body.shard)
            self._drop(held)
            return
        held.outcomes = held.outcomes[len(outcomes) :]
        held.confirmed_ms = now_ms

    def _drop(self, held: HeldShard) -> None:
        del self._held[held.job.job_id, held.record.body.shard]
        for request_id, dispatched in held.dispatched.items():
            self._by_request.pop(request_id, None)
            self._link.post(SendCancel(dispatched.target_id, request_id))

    def _read_permits(self) -> dict[str, Permit]:
        return {
            target.target_id: Permit(target.incarnation, target.tick_ms)
            for target in self._membership.targets().values()
        }

    def _dispatch_items(self, held: HeldShard, now_ms: float) -> None:
        batch = self._batch_settings
        lease_ms = batch.lease_interval_ms * (1 - LEASE_MARGIN_RATIO)
        if held.is_stopping or self._is_draining or now_ms - held.confirmed_ms >= lease_ms:
            return
        while held.waiting and len(held.dispatched) < batch.window_items:
            target = self._choose(held, held.waiting[0])
            if target is None:
                return
            self._dispatch(held, held.waiting.pop(0), target)

    def _choose(self, held: HeldShard, pending: PendingItem) -> TargetView | None:
        targets = serving_targets(pending.request.model, self._membership.targets().values())
        rooms = {}
        for target in targets:
            permit = held.permits.get(target.target_id)
            if permit is None or permit.incarnation != target.incarnation:
                continue
            sent = self._count_sent(target.target_id)
            rooms[target.target_id] = target.load.batch_room - sent
        best = max(targets, key=lambda t: rooms.get(t.target_id, 0), default=None)
        return best if best is not None and rooms.get(best.target_id, 0) > 0 else None

    def _count_sent(self, target_id: str) -> int:
        return sum(
            dispatched.target_id == target_id
            for held in self._held.values()
            for dispatched in held.dispatched.values()
        )

    def _dispatch(self, held: HeldShard, pending: PendingItem, target: TargetView) -> None:
        pending.attempts += 1
        dispatch = Dispatch(
            uuid4().hex,
            target.incarnation,
            WorkClass.BATCH,
            pending.request.path,
            pending.request.target_body,
            ITEM_TIMEOUT_MS,
            pending.request.content_digest,
            self._settings.current().revision,
            caller=held.job.caller,
            tier=held.job.tier,
            model=pending.request.model,
            is_suspect=pending.is_suspect,
            is_stream=True,
            permit=held.permits[target.target_id],
            trace_id=f"{held.job.job_id}/{pending.item}",
            resume_text=pending.resume_text,
        )
        held.dispatched[dispatch.request_id] = DispatchedItem(pending, target.target_id)
        self._by_request[dispatch.request_id] = held
        self._link.post(SendDispatch(target.target_id, dispatch, self))

    def _handle_final(
        self, held: HeldShard, dispatched: DispatchedItem, message: Finished | Refused | Failed
    ) -> None:
        pending = dispatched.pending
        if isinstance(message, Finished):
            self._finish_item(held, dispatched, message)
            return
        if isinstance(message, Refused):
            pending.attempts -= 1
        pending.is_suspect = pending.is_suspect or message.code is ResultCode.TARGET_CRASHED
        attempts = self._settings.current().for_model(pending.request.model).max_attempts
        if message.code is ResultCode.CONVICTED or pending.attempts >= attempts:
            held.outcomes.append(
                ItemOutcome(
                    pending.item,
                    pending.custom_id,
                    message.code,
                    detail=message.detail,
                    attempts=pending.attempts,
                )
            )
        else:
            held.waiting.append(pending)

    def _finish_item(self, held: HeldShard, dispatched: DispatchedItem, message: Finished) -> None:
        pending = dispatched.pending
        assembler = AnswerAssembler(pending.request)
        code = ResultCode.OK
        try:
            for chunk in dispatched.chunks:
                assembler.add(chunk)
            body = assembler.answer(message.usage).decode()
        except EbonyshoreError as error:
            code = error.code
            body = b"".join(dispatched.chunks).decode(errors="replace")
        held.outcomes.append(
            ItemOutcome(
                pending.item,
                pending.custom_id,
                code,
                message.http_status,
                body,
                attempts=pending.attempts,
            )
        )
        self._metrics.count("batch_items_done")
