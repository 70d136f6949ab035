"""A shard whose lease this entry holds: which items to dispatch and what to commit, without I/O."""

from collections.abc import Mapping
from enum import Enum, auto

from msgspec import Struct

from ebonyshore.batch.batch_items import PendingItem
from ebonyshore.batch.dispatch_end import InFlightDispatch, Retry, evaluate_end
from ebonyshore.batch.jobs import ItemOutcome, JobRecord, JobState, ShardRecord, ShardUpdate
from ebonyshore.entry.membership import TargetView
from ebonyshore.entry.routing import serving_targets
from ebonyshore.frame.errors import InvariantError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import FinalMessage, Permit
from ebonyshore.store.marked_write import MarkedObject

# Dispatching stops when this fraction of the lease interval is left.
LEASE_MARGIN_RATIO = 0.25
# The entry learns the agent's clock one heartbeat late, so it stops using a permit before the agent
# rejects it.
PERMIT_USE_RATIO = 0.9
# An item is dispatched a second time after this many times the average duration of an item, but not
# before MIN_STRAGGLER_MS.
STRAGGLER_RATIO = 4.0
MIN_STRAGGLER_MS = 10_000.0
DURATION_SMOOTHING_WEIGHT = 0.1


class StoreAction(Enum):
    """What the holder has to write to the object store.

    ``CHECKPOINT`` commits outcomes and renews the lease, ``FINISH`` ends the shard, and
    ``HAND_BACK`` commits outcomes and releases the lease.
    """

    NONE = auto()
    CHECKPOINT = auto()
    FINISH = auto()
    HAND_BACK = auto()


class ShardLimits(Struct, frozen=True):
    """Time limits and sizes from the process settings.

    :param lease_interval_ms: time after its last renewal at which a lease lapses.
    :param checkpoint_interval_ms: time between two checkpoints of a shard.
    :param permit_interval_ms: age at which an agent rejects a permit, by the agent's clock.
    :param window_items: maximum number of dispatches of one shard in flight.
    """

    lease_interval_ms: float
    checkpoint_interval_ms: float
    permit_interval_ms: float
    window_items: int


class HeldShard:
    """A shard whose lease this entry holds.

    The attribute ``waiting`` holds the items to dispatch, ``in_flight`` the dispatches by request
    id. All times are monotonic, in milliseconds.

    :param job: job record as last read.
    :param record: shard record as last written.
    :param last_write_ms: time just before the last successful write of the record; the lease
        lasts from then on.
    :param permits: permits by target id, from agent reports received before ``job`` was last read,
        so that an item never starts under a permit that is newer than the last read of the job.
    """

    __slots__ = (
        "_average_item_ms",
        "_done_items",
        "_limits",
        "_uncommitted",
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
        last_write_ms: float,
        permits: Mapping[str, Permit],
        limits: ShardLimits,
    ) -> None:
        self.job = job
        self.record = record
        self.last_write_ms = last_write_ms
        self.permits = permits
        self.next_write_ms = 0.0
        self.is_draining = False
        self.waiting: list[PendingItem] = []
        self.in_flight: dict[str, InFlightDispatch] = {}
        self._limits = limits
        self._uncommitted: list[ItemOutcome] = []
        self._done_items: set[int] = set()
        self._average_item_ms = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Job id and shard number."""
        return self.job.job_id, self.record.body.shard

    @property
    def is_job_cancelled(self) -> bool:
        """Whether the job is no longer in progress because it was cancelled."""
        return self.job.state is not JobState.IN_PROGRESS

    @property
    def average_item_ms(self) -> float:
        """Moving average of the time from dispatch to result, in ms; 0 before the first result."""
        return self._average_item_ms

    def add_items(self, committed: set[int], pending: list[PendingItem], failed: list[ItemOutcome]):
        """Set the items of the shard; their attempts and suspects are taken from the shard record.

        :param committed: numbers of the items whose outcome is committed already.
        :param pending: the items to run.
        :param failed: outcomes, not committed yet, of items that cannot be run.
        :raises InvariantError: if the items are not those of the shard record.
        """
        body = self.record.body
        self._done_items = set(committed)
        self.waiting = pending
        for item in pending:
            item.attempts = body.attempts.get(item.number, 0)
            item.is_suspect = item.number in body.suspect_items
        for outcome in failed:
            self._add_outcome(outcome)
        if len(self._done_items) + len(pending) != body.item_count:
            raise InvariantError(
                f"{self.key}: {len(self._done_items)} items with an outcome and "
                f"{len(pending)} pending items in a shard of {body.item_count}"
            )

    def next_action(self, now_ms: float) -> StoreAction:
        """Return what to write to the store now.

        After a failed write the runner sets ``next_write_ms``; until then this returns ``NONE``.
        """
        if now_ms < self.next_write_ms:
            return StoreAction.NONE
        is_idle = all(dispatch.pending_item.is_done for dispatch in self.in_flight.values())
        if is_idle and (self.is_job_cancelled or not self.waiting):
            return StoreAction.FINISH
        if is_idle and self.is_draining:
            return StoreAction.HAND_BACK
        if now_ms - self.last_write_ms >= self._limits.checkpoint_interval_ms:
            return StoreAction.CHECKPOINT
        return StoreAction.NONE

    def make_update(self, action: StoreAction) -> ShardUpdate:
        """Return the update to commit for an action.

        :raises InvariantError: if a shard of a job in progress would end with open items.
        """
        if action is StoreAction.FINISH and not self.is_job_cancelled and self._open_items():
            raise InvariantError(f"{self.key}: shard would end with open items")
        return ShardUpdate(
            tuple(self._uncommitted),
            {item.number: item.attempts for item in self._open_items() if item.attempts},
            tuple(item.number for item in self._open_items() if item.is_suspect),
            releases_lease=action in (StoreAction.FINISH, StoreAction.HAND_BACK),
            ends_shard=action is StoreAction.FINISH,
        )

    def apply_commit(
        self, record: MarkedObject[ShardRecord], update: ShardUpdate, started_ms: float
    ) -> None:
        """Record that an update was committed.

        :param record: the shard record as written.
        :param started_ms: time just before the commit.
        :raises InvariantError: if the record has another number of outcomes than this shard.
        """
        if record.body.done_items != len(self._done_items) - len(self._uncommitted) + len(
            update.outcomes
        ):
            raise InvariantError(f"{self.key}: committed {record.body.done_items} outcomes")
        self.record = record
        self.last_write_ms = started_ms
        self._uncommitted = self._uncommitted[len(update.outcomes) :]

    def may_dispatch(self, now_ms: float) -> bool:
        """Return whether items may be dispatched.

        The lease must be held with a margin, the job in progress and the entry not draining.
        """
        lease_ms = self._limits.lease_interval_ms * (1 - LEASE_MARGIN_RATIO)
        is_held = now_ms - self.last_write_ms < lease_ms
        return is_held and not self.is_job_cancelled and not self.is_draining

    def select_dispatches(
        self, now_ms: float, targets: Mapping[str, TargetView], free_slots: dict[str, int]
    ) -> list[tuple[PendingItem, TargetView]]:
        """Return the items to dispatch now, each with its target.

        Selected items are removed from ``waiting``. If no waiting item can be dispatched, these are
        second dispatches of stragglers.

        :param free_slots: number of free batch slots by target id; reduced by those selected.
        """
        if not self.may_dispatch(now_ms):
            return []
        usable = [t for t in targets.values() if self._has_valid_permit(t)]
        free_window = self._limits.window_items - len(self.in_flight)
        chosen = []
        still_waiting = []
        for item in self.waiting:
            target = None
            if len(chosen) < free_window and item.not_before_ms <= now_ms:
                target = _find_target_with_most_slots(item, usable, free_slots)
            if target is None:
                still_waiting.append(item)
                continue
            free_slots[target.target_id] -= 1
            chosen.append((item, target))
        self.waiting = still_waiting
        return chosen or self._select_straggler_copies(now_ms, usable, free_slots)

    def record_dispatch(
        self, request_id: str, item: PendingItem, target_id: str, now_ms: float
    ) -> None:
        """Record that an item was dispatched."""
        item.in_flight_count += 1
        self.in_flight[request_id] = InFlightDispatch(item, target_id, now_ms, item.resume_text)

    def add_chunk(self, request_id: str, data: bytes) -> None:
        """Store a chunk of an answer."""
        self.in_flight[request_id].data.append(data)

    def end_dispatch(
        self,
        message: FinalMessage,
        now_ms: float,
        max_attempts: int,
    ) -> list[str]:
        """Handle the final message of a dispatch.

        :param max_attempts: failed attempts after which the item itself has failed.
        :return: request ids of other dispatches of the item, which are no longer needed.
        """
        dispatch = self.in_flight.pop(message.request_id)
        item = dispatch.pending_item
        item.in_flight_count -= 1
        if item.is_done:
            return []
        end = evaluate_end(dispatch, message, now_ms, max_attempts)
        if isinstance(end, Retry):
            self._requeue(item, end.not_before_ms)
            return []
        if end.code is ResultCode.OK:
            self._record_duration(now_ms - dispatch.sent_ms)
        item.is_done = True
        self._add_outcome(end)
        return [
            request_id for request_id, other in self.in_flight.items() if other.pending_item is item
        ]

    def take_dispatches_to_cancel(self) -> list[str]:
        """Return the request ids of all dispatches in flight; each is returned only once."""
        request_ids = [
            request_id
            for request_id, dispatch in self.in_flight.items()
            if not dispatch.is_cancelled
        ]
        for request_id in request_ids:
            self.in_flight[request_id].is_cancelled = True
        return request_ids

    def _record_duration(self, duration_ms: float) -> None:
        weight = DURATION_SMOOTHING_WEIGHT if self._average_item_ms else 1.0
        self._average_item_ms += (duration_ms - self._average_item_ms) * weight

    def _requeue(self, item: PendingItem, not_before_ms: float) -> None:
        """Let the item wait again, unless another dispatch of it is still in flight."""
        item.not_before_ms = not_before_ms
        if not item.in_flight_count:
            self.waiting.append(item)

    def _add_outcome(self, outcome: ItemOutcome) -> None:
        if outcome.item in self._done_items:
            raise InvariantError(f"{self.key}: second outcome of item {outcome.item}")
        self._done_items.add(outcome.item)
        self._uncommitted.append(outcome)

    def _open_items(self) -> list[PendingItem]:
        """Return the items without an outcome, waiting or in flight."""
        dispatched = {
            d.pending_item.number: d.pending_item
            for d in self.in_flight.values()
            if not d.pending_item.is_done
        }
        return [*self.waiting, *dispatched.values()]

    def _has_valid_permit(self, target: TargetView) -> bool:
        """Return whether the target's agent will accept the permit and answers pings."""
        permit = self.permits.get(target.target_id)
        if permit is None or permit.incarnation != target.incarnation or target.is_quiet:
            return False
        age_ms = target.tick_ms - permit.agent_tick_ms
        return age_ms < self._limits.permit_interval_ms * PERMIT_USE_RATIO

    def _select_straggler_copies(
        self, now_ms: float, usable: list[TargetView], free_slots: dict[str, int]
    ) -> list[tuple[PendingItem, TargetView]]:
        """Return second dispatches, at other targets, of items that take very long.

        There are none while items wait. Suspect items are never dispatched a second time, since
        they may crash the target.
        """
        if self.waiting or not self._average_item_ms:
            return []
        bound_ms = max(MIN_STRAGGLER_MS, STRAGGLER_RATIO * self._average_item_ms)
        chosen = []
        for dispatch in self.in_flight.values():
            item = dispatch.pending_item
            if item.in_flight_count != 1 or item.is_done or now_ms - dispatch.sent_ms < bound_ms:
                continue
            others = [t for t in usable if t.target_id != dispatch.target_id]
            target = (
                None if item.is_suspect else _find_target_with_most_slots(item, others, free_slots)
            )
            if target is not None:
                free_slots[target.target_id] -= 1
                chosen.append((item, target))
        return chosen


def _find_target_with_most_slots(
    item: PendingItem, targets: list[TargetView], free_slots: dict[str, int]
) -> TargetView | None:
    """Return the target that serves the item's model with the most free slots, if it has any."""
    serving = serving_targets(item.request.model, targets)
    best = max(serving, key=lambda t: free_slots.get(t.target_id, 0), default=None)
    return best if best is not None and free_slots.get(best.target_id, 0) > 0 else None
