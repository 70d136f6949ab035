"""The state of one batch job in a runner's memory: its items, their progress and their results.

The module does no I/O. A result is listed, that is, visible to callers, once the segment that holds
it is stored. Results are listed in the order of their segments.
"""

from collections.abc import Iterable
from enum import Enum, auto

from ebonyshore.frame.encoded_size import text_size
from ebonyshore.frame.errors import UnreadableObjectError
from ebonyshore.host.job_types import (
    FailureCount,
    JobRecord,
    ResultPage,
    ResultRecord,
    ResultSegment,
)
from ebonyshore.host.request_content import content_digest
from ebonyshore.host.target import TargetGroup
from ebonyshore.runner.listed_results import ListedResults
from ebonyshore.runner.pending_results import PendingResults, Refusal
from ebonyshore.store.value_limit import ValueLimit

ITEM_METHOD = "POST"  # of the requests that run items
LINE_FEED_BYTES = text_size("\n")
EVENT_MEMORY_BYTES = 72  # that a string takes in a list besides its text
MAX_SEGMENT_BYTES = ValueLimit().batch_bytes


class ItemState(Enum):
    """State of an item."""

    WAITING = auto()
    RUNNING = auto()
    ENDED = auto()  # the result is not stored yet
    LISTED = auto()  # the result is stored and visible to callers


class Item:
    """Progress of one item.

    :param index: position of the item in the job record.
    :param item_id: id that the caller gave the item.
    :ivar data: data of the events received so far.
    :ivar data_bytes: size of this data in JSON, joined by line feeds.
    :ivar last_event_id: id of the last event received; ``None`` if there is none.
    :ivar origin: the targets that sent the events; ``None`` if there are none.
    :ivar failures: number of runs that targets reported as failed, over all owners of the job.
    :ivar consecutive_broken_runs: number of runs with the outcome ``SILENT`` or ``BROKEN`` since
        the last one whose progress was kept.
    :ivar broken_targets: ids of the targets at which these runs broke.
    :ivar answering_targets: ids of the targets that have answered a run of the item.
    :ivar content_digest: digest of the item's request; ``None`` until it is needed.
    :ivar not_before_ms: event loop time before which the item must not run again.
    :ivar run_started_ms: event loop time at which the present run started; ``None`` if the item is
        not running.
    :ivar run_ended_ms: event loop time at which the last run ended.
    :ivar stalled_since_ms: event loop time since which no target was certain to have the version of
        the events; ``None`` if the item has gone on since.
    :ivar saved_slot_ms: the part of the time in slots whose events are stored.
    :ivar ended_runs_ms: time for which the runs that have ended occupied a slot, without those
        whose events were discarded.
    """

    __slots__ = (
        "answering_targets",
        "broken_targets",
        "consecutive_broken_runs",
        "content_digest",
        "data",
        "data_bytes",
        "ended_runs_ms",
        "failures",
        "index",
        "item_id",
        "last_event_id",
        "not_before_ms",
        "origin",
        "run_ended_ms",
        "run_started_ms",
        "saved_slot_ms",
        "stalled_since_ms",
        "state",
    )

    def __init__(self, index: int, item_id: str) -> None:
        self.index = index
        self.item_id = item_id
        self.state = ItemState.WAITING
        self.data: list[str] = []
        self.data_bytes = 0
        self.last_event_id: int | None = None
        self.origin: TargetGroup | None = None
        self.failures = 0
        self.consecutive_broken_runs = 0
        self.broken_targets: frozenset[str] = frozenset()
        self.answering_targets: frozenset[str] = frozenset()
        self.content_digest: str | None = None
        self.not_before_ms = float("-inf")
        self.run_started_ms: float | None = None
        self.run_ended_ms = float("-inf")
        self.ended_runs_ms = 0.0
        self.saved_slot_ms = 0.0
        self.stalled_since_ms: float | None = None

    def add_event(self, event_id: int, data: str, origin: TargetGroup) -> None:
        """Add an event that a target of the given group sent."""
        self.data.append(data)
        self.data_bytes += text_size(data) + LINE_FEED_BYTES
        self.last_event_id = event_id
        self.origin = origin
        self.stalled_since_ms = None

    @property
    def held_bytes(self) -> int:
        """Memory that the data of the events takes."""
        return self.data_bytes + EVENT_MEMORY_BYTES * len(self.data)

    def discard_events(self) -> None:
        """Drop all events, so that the item starts again, at any target."""
        self.data.clear()
        self.stalled_since_ms = None
        self.data_bytes = 0
        self.last_event_id = None
        self.origin = None
        self.ended_runs_ms = 0.0
        self.saved_slot_ms = 0.0

    def restore_events(
        self, last_event_id: int, data: str, origin: TargetGroup, slot_ms: float
    ) -> None:
        """Set the events of an item without events to those that a previous owner has stored.

        :param data: data of the events, joined by line feeds.
        :param slot_ms: time for which the item has occupied a slot.
        """
        self.add_event(last_event_id, data, origin)
        self.ended_runs_ms = self.saved_slot_ms = slot_ms

    def slot_ms(self, now_ms: float) -> float:
        """Return for how long the item has occupied a slot, over all its runs by this process."""
        running_ms = 0.0 if self.run_started_ms is None else now_ms - self.run_started_ms
        return self.ended_runs_ms + running_ms

    def start_run(self, now_ms: float) -> None:
        """Record that a run of the item starts."""
        self.state = ItemState.RUNNING
        self.run_started_ms = now_ms

    def end_run(self, now_ms: float) -> None:
        """Record that the present run of the item has ended; the state is left as it is."""
        self.ended_runs_ms = self.slot_ms(now_ms)
        self.run_ended_ms = now_ms
        self.run_started_ms = None


class JobProgress:
    """Progress and results of one job, as far as this runner knows.

    :param record: the job as it is stored.
    :param bodies: bodies that are stored separately from the record, by item index.
    :param segment_bytes: size in JSON to which results are collected in one segment.
    :ivar next_segment: number of the next segment to store or read.
    :ivar pending_since_ms: event loop time since which results wait to be stored.
    :ivar synced_ms: boot clock time at which the store was last asked for segments.
    :ivar highest_segment_epoch: highest epoch of the known segments; 0 if there is none.
    :ivar writable_epoch: epoch in which this process may list results; 0 if there is none.
    """

    __slots__ = (
        "_bodies",
        "_pending",
        "_results",
        "_unsaved_failures",
        "highest_segment_epoch",
        "items",
        "next_segment",
        "pending_since_ms",
        "record",
        "synced_ms",
        "writable_epoch",
    )

    def __init__(
        self,
        record: JobRecord,
        bodies: dict[int, bytes] | None = None,
        segment_bytes: int = MAX_SEGMENT_BYTES,
    ) -> None:
        self.record = record
        self._bodies = bodies or {}
        self.items = [Item(index, item.item_id) for index, item in enumerate(record.items)]
        self.next_segment = 0
        self.pending_since_ms = float("-inf")
        self.synced_ms = float("-inf")
        self.writable_epoch = 0
        self.highest_segment_epoch = 0
        self._results = ListedResults()
        self._pending = PendingResults(segment_bytes)
        self._unsaved_failures: set[int] = set()  # indexes of items

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.record.job_id

    @property
    def listed_count(self) -> int:
        """Number of results that callers can read."""
        return len(self._results)

    @property
    def pending_count(self) -> int:
        """Number of results that wait to be stored."""
        return len(self._pending)

    @property
    def has_unsaved_failures(self) -> bool:
        """Whether failed runs are not stored yet, as counts or as the results of given-up items."""
        return bool(self._unsaved_failures)

    @property
    def is_finished(self) -> bool:
        """Whether the results of all items are listed."""
        return len(self._results) == len(self.items)

    @property
    def open_count(self) -> int:
        """Number of items that have no result yet; 0 if the job is cancelled."""
        if self.record.is_cancelled:
            return 0
        return sum(item.state in (ItemState.WAITING, ItemState.RUNNING) for item in self.items)

    @property
    def unfinished_tokens(self) -> int:
        """Tokens of the items that have no result yet; 0 if the job is cancelled."""
        if self.record.is_cancelled:
            return 0
        return sum(
            self.record.items[item.index].tokens
            for item in self.items
            if item.state in (ItemState.WAITING, ItemState.RUNNING)
        )

    def runnable_items(self, now_ms: float) -> Iterable[Item]:
        """Return the waiting items that may run now; none if the job is cancelled.

        :param now_ms: current time of the event loop; infinity to get all waiting items.
        """
        if self.record.is_cancelled:
            return ()
        return (
            item
            for item in self.items
            if item.state is ItemState.WAITING and item.not_before_ms <= now_ms
        )

    def is_past_retention(self, known_for_ms: float) -> bool:
        """Return whether the job is so old that its unfinished items may be given up.

        :param known_for_ms: time that the job has been known, a lower bound of its age.
        """
        return known_for_ms > self.record.retention_ms

    def end_item(self, item: Item, is_complete: bool, now_ms: float) -> None:
        """Record the result of an item, to be stored with the next segment.

        Does nothing if the item already has a result.

        :param is_complete: whether the item was completed; ``False`` if it was given up.
        :param now_ms: current time of the event loop.
        """
        if item.state in (ItemState.ENDED, ItemState.LISTED):
            return
        item.state = ItemState.ENDED
        self._note_pending(now_ms)
        data = "\n".join(item.data) if is_complete else ""
        self._pending.add(ResultRecord(item.index, is_complete, data))
        item.data = []

    def record_failure(self, item: Item, now_ms: float) -> None:
        """Count a failed run of an item, to be stored with the next segment.

        :param now_ms: current time of the event loop.
        """
        item.failures += 1
        self._note_pending(now_ms)
        self._unsaved_failures.add(item.index)

    def _note_pending(self, now_ms: float) -> None:
        if not self._pending and not self._unsaved_failures:
            self.pending_since_ms = now_ms

    def build_segment(self) -> ResultSegment:
        """Return the next segment: the results that have waited longest, as many as fit."""
        epoch = self.record.epoch
        chosen = self._pending.choose(lambda index: self._results.find_parts(index, epoch))
        return ResultSegment(chosen, epoch, self._open_failures())

    def refuse_segment(self, is_too_large: bool) -> Refusal:
        """Record that the store has refused the last segment for good.

        :param is_too_large: whether it was refused for its size.
        """
        return self._pending.refuse(is_too_large)

    def _open_failures(self) -> tuple[FailureCount, ...]:
        """Return the unsaved failures of the items that have no result yet."""
        items = [self.items[index] for index in sorted(self._unsaved_failures)]
        return tuple(
            FailureCount(item.index, item.failures)
            for item in items
            if item.state in (ItemState.WAITING, ItemState.RUNNING)
        )

    def apply_segments(self, first: int, segments: Iterable[ResultSegment]) -> None:
        """List the results of consecutive stored segments.

        Segments that were applied before are skipped, as concurrent reads of the store may overlap.

        :param first: number of the first segment.
        """
        for number, segment in enumerate(segments, first):
            if number == self.next_segment:
                self.apply_segment(segment)

    def apply_segment(self, segment: ResultSegment) -> None:
        """List the results of the next stored segment, that is, of number :attr:`next_segment`.

        :raises UnreadableObjectError: if the segment names an item that the job does not have.
        """
        named = [*segment.results, *segment.failures]
        if any(not 0 <= found.index < len(self.items) for found in named):
            raise UnreadableObjectError(
                f"segment {self.next_segment} of job {self.job_id} names an unknown item"
            )
        for result in segment.results:
            item = self.items[result.index]
            if item.state is ItemState.LISTED:
                continue  # not expected: writers leave out the items that they know as listed
            if self._results.add(result, item.item_id, segment.epoch):
                item.state = ItemState.LISTED
                item.data = []
                self._unsaved_failures.discard(result.index)
        for stored in segment.failures:
            item = self.items[stored.index]
            item.failures = max(item.failures, stored.failures)
            if item.failures == stored.failures:
                self._unsaved_failures.discard(stored.index)
        self.next_segment += 1
        self.highest_segment_epoch = max(self.highest_segment_epoch, segment.epoch)
        self._pending.end_stored(lambda index: self.items[index].state is ItemState.LISTED)

    def result_page(self, first: int) -> ResultPage:
        """Return listed results from a position on, see :meth:`ListedResults.page`."""
        return self._results.page(len(self.items), first)

    def item_body(self, index: int) -> bytes:
        """Return the body of an item, which may be stored in the record or separately.

        :param index: index of the item in the job record.
        """
        return self._bodies.get(index, self.record.items[index].body)

    def content_digest(self, item: Item) -> str:
        """Return the digest of the request that runs an item."""
        if item.content_digest is None:
            path = self.record.items[item.index].path
            item.content_digest = content_digest(
                self.record.host, ITEM_METHOD, path, self.item_body(item.index)
            )
        return item.content_digest

    def find_item(self, item_id: str) -> Item | None:
        """Return the item with an id, or ``None`` if the job has none."""
        return next((item for item in self.items if item.item_id == item_id), None)
