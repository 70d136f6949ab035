"""What the holder of a shard does next. Pure state: no clock, no store, no sockets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from msgspec import Struct

from ebonyshore.batch.batch_items import HTTP_OK, PendingItem, assemble_answer
from ebonyshore.batch.jobs import ItemOutcome, JobRecord, JobState, ShardRecord, ShardUpdate
from ebonyshore.entry.membership import TargetView
from ebonyshore.entry.routing import serving_targets
from ebonyshore.frame.errors import EbonyshoreError, InvariantError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Failed, FinalMessage, Finished, Permit, Refused
from ebonyshore.store.marked_write import MarkedObject

LEASE_MARGIN_RATIO = 0.25
# The entry's view of the agent's time lags by a heartbeat, so it stops a little earlier.
PERMIT_USE_RATIO = 0.9
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0
STRAGGLER_RATIO = 4.0
MIN_STRAGGLER_MS = 10_000.0
DURATION_WEIGHT = 0.1
# A lost agent is rarely the item's doing, so an item survives more of them than failed attempts.
LOSSES_PER_ATTEMPT = 3
# These end an item without blame: the system itself took the target away.
_BLAMELESS_CODES = frozenset({ResultCode.PREEMPTED, ResultCode.CANCELLED})
_RESUMABLE_CODES = _BLAMELESS_CODES
_SUSPECT_CODES = frozenset({ResultCode.TARGET_CRASHED, ResultCode.AGENT_LOST})


class StoreAction(Enum):
    """What the holder does with the store now."""

    NONE = auto()
    CHECKPOINT = auto()
    FINISH = auto()
    HAND_BACK = auto()


class ShardLimits(Struct, frozen=True):
    """Times and sizes from the process settings."""

    lease_interval_ms: float
    checkpoint_interval_ms: float
    permit_interval_ms: float
    window_items: int


@dataclass(slots=True)
class InFlightDispatch:
    """A dispatch that is with an agent."""

    pending_item: PendingItem
    target_id: str
    sent_ms: float
    resume_text: str
    data: list[bytes] = field(default_factory=list)
    is_cancelled: bool = False


class HeldShard:
    """A shard whose lease this entry holds.

    :param confirmed_ms: monotonic time at the start of the last successful write.
    :param permits: by target, as heard before the read that last confirmed the job.
    """

    __slots__ = (
        "_average_ms",
        "_done",
        "_limits",
        "_outcomes",
        "in_flight",
        "is_draining",
        "job",
        "last_write_ms",
        "next_write_ms",
        "permits",
        "record",
        "waiting",
    )

    def __init__(
        self,
        job: JobRecord,
        record: MarkedObject[ShardRecord],
        confirmed_ms: float,
        permits: Mapping[str, Permit],
        limits: ShardLimits,
    ) -> None:
        self.job = job
        self.record = record
        self.last_write_ms = confirmed_ms
        self.permits = permits
        self.next_write_ms = 0.0
        self.is_draining = False
        self.waiting: list[PendingItem] = []
        self.in_flight: dict[str, InFlightDispatch] = {}
        self._limits = limits
        self._outcomes: list[ItemOutcome] = []
        self._done: set[int] = set()
        self._average_ms = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Job id and number of the shard."""
        return self.job.job_id, self.record.body.shard

    @property
    def is_job_cancelled(self) -> bool:
        """Whether the job was cancelled."""
        return self.job.state is not JobState.IN_PROGRESS

    @property
    def average_item_ms(self) -> float:
        """Average time of an item at a target; 0 before the first."""
        return self._average_ms

    def add_items(self, committed: set[int], pending: list[PendingItem], failed: list[ItemOutcome]):
        """Take the items of the shard; those in ``committed`` have their outcome already."""
        body = self.record.body
        self._done = set(committed)
        self.waiting = pending
        for item in pending:
            item.attempts = body.attempts.get(item.number, 0)
            item.is_suspect = item.number in body.suspect_items
        for outcome in failed:
            self._add_outcome(outcome)
        if len(self._done) + len(pending) != body.item_count:
            raise InvariantError(f"{self.key}: the shard has other items than its file")

    def next_action(self, now_ms: float) -> StoreAction:
        """Return what to write; the caller retries after ``next_store_ms``."""
        if now_ms < self.next_write_ms:
            return StoreAction.NONE
        is_out = all(sent.pending_item.is_done for sent in self.in_flight.values())
        if is_out and (self.is_job_cancelled or not self.waiting):
            return StoreAction.FINISH
        if is_out and self.is_draining:
            return StoreAction.HAND_BACK
        if now_ms - self.last_write_ms >= self._limits.checkpoint_interval_ms:
            return StoreAction.CHECKPOINT
        return StoreAction.NONE

    def make_update(self, step: StoreAction) -> ShardUpdate:
        """Return what the commit of a step holds."""
        if step is StoreAction.FINISH and not self.is_job_cancelled and self._open_items():
            raise InvariantError(f"{self.key}: ended with open items")
        return ShardUpdate(
            tuple(self._outcomes),
            {item.number: item.attempts for item in self._open_items() if item.attempts},
            tuple(item.number for item in self._open_items() if item.is_suspect),
            is_released=step in (StoreAction.FINISH, StoreAction.HAND_BACK),
            is_closed=step is StoreAction.FINISH,
        )

    def apply_commit(
        self, record: MarkedObject[ShardRecord], progress: ShardUpdate, started_ms: float
    ) -> None:
        """Note a successful commit that began at ``started_ms``."""
        if record.body.done_items != len(self._done) - len(self._outcomes) + len(progress.outcomes):
            raise InvariantError(f"{self.key}: committed {record.body.done_items} outcomes")
        self.record = record
        self.last_write_ms = started_ms
        self._outcomes = self._outcomes[len(progress.outcomes) :]

    def may_dispatch(self, now_ms: float) -> bool:
        """Whether items may be sent: the lease is surely held and nothing ends the shard."""
        lease_ms = self._limits.lease_interval_ms * (1 - LEASE_MARGIN_RATIO)
        is_held = now_ms - self.last_write_ms < lease_ms
        return is_held and not self.is_job_cancelled and not self.is_draining

    def select_dispatches(
        self, now_ms: float, targets: Mapping[str, TargetView], rooms: dict[str, int]
    ) -> list[tuple[PendingItem, TargetView]]:
        """Return the items to send now, each with its target, and take them from ``rooms``."""
        if not self.may_dispatch(now_ms):
            return []
        usable = [t for t in targets.values() if self._is_permitted(t)]
        room = self._limits.window_items - len(self.in_flight)
        chosen = []
        left = []
        for item in self.waiting:
            target = None
            if len(chosen) < room and item.not_before_ms <= now_ms:
                target = _roomiest(item, usable, rooms)
            if target is None:
                left.append(item)
                continue
            rooms[target.target_id] -= 1
            chosen.append((item, target))
        self.waiting = left
        return chosen or self._select_copies(now_ms, usable, rooms)

    def record_dispatch(
        self, request_id: str, item: PendingItem, target_id: str, now_ms: float
    ) -> None:
        """Note a dispatch."""
        item.in_flight_count += 1
        self.in_flight[request_id] = InFlightDispatch(item, target_id, now_ms, item.resume_text)

    def add_chunk(self, request_id: str, data: bytes) -> None:
        """Keep a part of an answer."""
        self.in_flight[request_id].data.append(data)

    def end_dispatch(
        self,
        message: FinalMessage,
        now_ms: float,
        max_attempts: int,
    ) -> list[str]:
        """Take the final message of a dispatch.

        :return: ids of other dispatches of the item, which are not needed any more.
        """
        sent = self.in_flight.pop(message.request_id)
        item = sent.pending_item
        item.in_flight_count -= 1
        if item.is_done:
            return []
        if isinstance(message, Finished):
            self._finish(sent, message, now_ms, max_attempts)
        elif isinstance(message, Refused):
            self._refuse(item, message, now_ms)
        else:
            self._fail(item, message, now_ms, max_attempts)
        if not item.is_done:
            return []
        return [
            request_id for request_id, other in self.in_flight.items() if other.pending_item is item
        ]

    def take_dispatches_to_cancel(self) -> list[str]:
        """Return ids of dispatches to cancel; each is returned once."""
        ids = [request_id for request_id, sent in self.in_flight.items() if not sent.is_cancelled]
        for request_id in ids:
            self.in_flight[request_id].is_cancelled = True
        return ids

    def _finish(
        self, sent: InFlightDispatch, message: Finished, now_ms: float, max_attempts: int
    ) -> None:
        item = sent.pending_item
        if message.http_status != HTTP_OK:
            self._answer_with_error(sent, message, now_ms, max_attempts)
            return
        try:
            body = assemble_answer(item.request, sent.resume_text, sent.data, message)
        except EbonyshoreError as error:
            self._blame(item, error.code, str(error), now_ms, max_attempts)
            return
        duration_ms = now_ms - sent.sent_ms
        self._average_ms += (duration_ms - self._average_ms) * (
            DURATION_WEIGHT if self._average_ms else 1.0
        )
        self._settle(item, ResultCode.OK, message.http_status, body, item.attempts + 1)

    def _answer_with_error(
        self, sent: InFlightDispatch, message: Finished, now_ms: float, max_attempts: int
    ) -> None:
        item = sent.pending_item
        text = b"".join(sent.data).decode(errors="replace")
        detail = f"status {message.http_status}: {text}"[:1000]
        if 400 <= message.http_status < 500 and message.http_status != 429:
            self._settle(
                item, ResultCode.TARGET_ERROR, message.http_status, "", item.attempts + 1, detail
            )
            return
        self._blame(item, ResultCode.TARGET_ERROR, detail, now_ms, max_attempts)

    def _refuse(self, item: PendingItem, message: Refused, now_ms: float) -> None:
        if message.code is ResultCode.CONVICTED:
            self._settle(item, message.code, attempts=item.attempts, detail=message.detail)
            return
        item.refusals += 1
        backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(item.refusals, 10))
        self._wait(item, now_ms + max(backoff_ms, float(message.retry_after_ms)))

    def _fail(self, item: PendingItem, message: Failed, now_ms: float, max_attempts: int) -> None:
        item.refusals = 0
        if message.code is ResultCode.CONVICTED:
            self._settle(item, message.code, attempts=item.attempts + 1, detail=message.detail)
            return
        is_loss = message.code is ResultCode.AGENT_LOST
        item.is_suspect = item.is_suspect or message.code in _SUSPECT_CODES
        if message.code in _RESUMABLE_CODES:
            item.resume_text = message.resume_text or item.resume_text
        elif not is_loss:
            item.resume_text = ""
        item.agent_losses += is_loss
        is_blameless = message.code in _BLAMELESS_CODES
        if is_blameless or (is_loss and item.agent_losses % LOSSES_PER_ATTEMPT):
            self._wait(item, now_ms + MIN_BACKOFF_MS)
            return
        self._blame(item, message.code, message.detail, now_ms, max_attempts)

    def _blame(
        self, item: PendingItem, code: ResultCode, detail: str, now_ms: float, max_attempts: int
    ) -> None:
        item.attempts += 1
        if item.attempts < max_attempts:
            self._wait(item, now_ms + MIN_BACKOFF_MS * 2**item.attempts)
            return
        reason = f"last attempt: {code.name}: {detail}"
        self._settle(item, ResultCode.ATTEMPTS_EXHAUSTED, attempts=item.attempts, detail=reason)

    def _wait(self, item: PendingItem, not_before_ms: float) -> None:
        item.not_before_ms = not_before_ms
        if not item.in_flight_count:
            self.waiting.append(item)

    def _settle(
        self,
        item: PendingItem,
        code: ResultCode,
        http_status: int = 0,
        body: str = "",
        attempts: int = 0,
        detail: str = "",
    ) -> None:
        item.is_done = True
        outcome = ItemOutcome(
            item.number, item.custom_id, code, http_status, body, detail, attempts
        )
        self._add_outcome(outcome)

    def _add_outcome(self, outcome: ItemOutcome) -> None:
        if outcome.item in self._done:
            raise InvariantError(f"{self.key}: item {outcome.item} has two outcomes")
        self._done.add(outcome.item)
        self._outcomes.append(outcome)

    def _open_items(self) -> list[PendingItem]:
        sent = {
            s.pending_item.number: s.pending_item
            for s in self.in_flight.values()
            if not s.pending_item.is_done
        }
        return [*self.waiting, *sent.values()]

    def _is_permitted(self, target: TargetView) -> bool:
        permit = self.permits.get(target.target_id)
        if permit is None or permit.incarnation != target.incarnation or target.is_quiet:
            return False
        age_ms = target.tick_ms - permit.agent_tick_ms
        return age_ms < self._limits.permit_interval_ms * PERMIT_USE_RATIO

    def _select_copies(
        self, now_ms: float, usable: list[TargetView], rooms: dict[str, int]
    ) -> list[tuple[PendingItem, TargetView]]:
        """Return second dispatches of items that take very long while nothing else waits."""
        if self.waiting or not self._average_ms:
            return []
        bound_ms = max(MIN_STRAGGLER_MS, STRAGGLER_RATIO * self._average_ms)
        chosen = []
        for sent in self.in_flight.values():
            item = sent.pending_item
            if item.in_flight_count != 1 or item.is_done or now_ms - sent.sent_ms < bound_ms:
                continue
            others = [t for t in usable if t.target_id != sent.target_id]
            target = None if item.is_suspect else _roomiest(item, others, rooms)
            if target is not None:
                rooms[target.target_id] -= 1
                chosen.append((item, target))
        return chosen


def _roomiest(
    item: PendingItem, targets: list[TargetView], rooms: dict[str, int]
) -> TargetView | None:
    serving = serving_targets(item.request.model, targets)
    best = max(serving, key=lambda t: rooms.get(t.target_id, 0), default=None)
    return best if best is not None and rooms.get(best.target_id, 0) > 0 else None
