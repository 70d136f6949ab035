"""One batch job in a runner's memory: its items, their progress, and the results listed so far.

Pure state. Results are listed in the order of stored segments; what is not stored yet is not shown.
"""

from collections.abc import Iterable
from enum import Enum, auto

from ebonyshore.host.job_types import (
    JobRecord,
    ListedResult,
    ResultPage,
    ResultRecord,
    ResultSegment,
)

MAX_SEGMENT_BYTES = 600_000
MAX_PAGE_BYTES = 900_000


class ItemState(Enum):
    """Where an item stands."""

    WAITING = auto()
    RUNNING = auto()
    ENDED = auto()  # its result waits to be stored
    LISTED = auto()


class Item:
    """Progress of one item.

    :param index: position in the job's record.
    """

    __slots__ = (
        "consecutive_breaks",
        "data",
        "failures",
        "index",
        "item_id",
        "last_event_id",
        "not_before_ms",
        "state",
    )

    def __init__(self, index: int, item_id: str) -> None:
        self.index = index
        self.item_id = item_id
        self.state = ItemState.WAITING
        self.data: list[str] = []
        self.last_event_id: int | None = None
        self.failures = 0
        self.consecutive_breaks = 0
        self.not_before_ms = float("-inf")


class JobProgress:
    """A job that this runner knows.

    :param record: as stored.
    :param bodies: of the items whose body is stored apart from the record, by their index.

    ``checked_ms`` is when the store was last asked for segments, ``writer_epoch`` the highest epoch
    that wrote one, and ``ready_epoch`` the one in which this process may list results; 0 if none.
    """

    __slots__ = (
        "_bodies",
        "_pending",
        "_results",
        "synced_ms",
        "items",
        "next_segment",
        "pending_since_ms",
        "writable_epoch",
        "record",
        "highest_segment_epoch",
    )

    def __init__(self, record: JobRecord, bodies: dict[int, bytes] | None = None) -> None:
        self.record = record
        self._bodies = bodies or {}
        self.items = [Item(index, item.item_id) for index, item in enumerate(record.items)]
        self.next_segment = 0
        self.pending_since_ms = float("-inf")
        self.synced_ms = float("-inf")
        self.writable_epoch = 0
        self.highest_segment_epoch = 0
        self._results: list[ResultRecord] = []
        self._pending: list[ResultRecord] = []

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.record.job_id

    @property
    def listed_count(self) -> int:
        """Results that callers can read."""
        return len(self._results)

    @property
    def pending_count(self) -> int:
        """Results that wait to be stored."""
        return len(self._pending)

    @property
    def is_finished(self) -> bool:
        """Whether every item is listed."""
        return len(self._results) == len(self.items)

    @property
    def open_count(self) -> int:
        """Items that have no result yet; none of a cancelled job counts."""
        if self.record.is_cancelled:
            return 0
        return sum(item.state in (ItemState.WAITING, ItemState.RUNNING) for item in self.items)

    def runnable_items(self, now_ms: float) -> Iterable[Item]:
        """Return the items that may run now."""
        if self.record.is_cancelled:
            return ()
        return (
            item
            for item in self.items
            if item.state is ItemState.WAITING and item.not_before_ms <= now_ms
        )

    def is_past_retention(self, known_for_ms: float) -> bool:
        """Return whether items that have not ended may be given up for their age.

        :param known_for_ms: for how long the job has been known at least.
        """
        return known_for_ms > self.record.retention_ms

    def end_item(self, item: Item, is_complete: bool, now_ms: float) -> None:
        """Note an item's result, to be stored."""
        if item.state in (ItemState.ENDED, ItemState.LISTED):
            return
        item.state = ItemState.ENDED
        if not self._pending:
            self.pending_since_ms = now_ms
        data = "\n".join(item.data) if is_complete else ""
        self._pending.append(ResultRecord(item.index, is_complete, data))
        item.data = []

    def build_segment(self) -> ResultSegment:
        """Return what the next write stores: the oldest results, up to the size of a segment."""
        chosen: list[ResultRecord] = []
        size = 0
        for result in self._pending:
            size += len(result.data)
            if chosen and size > MAX_SEGMENT_BYTES:
                break
            chosen.append(result)
        return ResultSegment(tuple(chosen), self.record.epoch)

    def apply_segments(self, first: int, segments: Iterable[ResultSegment]) -> None:
        """List the results of stored segments, whose first has the given number.

        Segments that are listed already are passed over, as reads of the store may overlap.
        """
        for number, segment in enumerate(segments, first):
            if number == self.next_segment:
                self.apply_segment(segment)

    def apply_segment(self, segment: ResultSegment) -> None:
        """List the results of the next stored segment."""
        for result in segment.results:
            item = self.items[result.index]
            if item.state is ItemState.LISTED:
                continue  # a segment never repeats an item; this guards the positions
            item.state = ItemState.LISTED
            item.data = []
            self._results.append(result)
        self.next_segment += 1
        self.highest_segment_epoch = max(self.highest_segment_epoch, segment.epoch)
        self._pending = [
            result
            for result in self._pending
            if self.items[result.index].state is not ItemState.LISTED
        ]

    def result_page(self, first: int) -> ResultPage:
        """Return the results from a position on, as many as one answer holds."""
        results: list[ListedResult] = []
        size = 0
        for result in self._results[first:]:
            size += len(result.data)
            if results and size > MAX_PAGE_BYTES:
                break
            item_id = self.items[result.index].item_id
            results.append(ListedResult(item_id, result.is_complete, result.data))
        return ResultPage(len(self.items), first + len(results), tuple(results))

    def item_body(self, index: int) -> bytes:
        """Return an item's body."""
        return self._bodies.get(index, self.record.items[index].body)

    def find_item(self, item_id: str) -> Item | None:
        """Return an item by its id, or ``None``."""
        return next((item for item in self.items if item.item_id == item_id), None)
