"""Stores the results of owned jobs, a few at a time, and lists them once they are stored."""

from asyncio import Task, create_task, sleep

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.runner.job_book import JobBook
from ebonyshore.runner.job_shelf import JobShelf
from ebonyshore.runner.job_types import JobRecord

LINGER_MS = 800.0  # for results that end soon after, since each write is a priced call
DUE_LINGER_MS = 100.0
DUE_MARGIN_MS = 2_500.0  # before a job's results are due
RETRY_MS = 300.0


def linger_ms(record: JobRecord, wall_ms: float) -> float:
    """Return how long an ended item waits for others before it is stored."""
    due_ms = record.submitted_ms + record.completion_target_ms
    return DUE_LINGER_MS if wall_ms > due_ms - DUE_MARGIN_MS else LINGER_MS


class ResultWriter:
    """Writes segments, one at a time for each job."""

    def __init__(self, shelf: JobShelf, clock: Clock, log: EventLog, metrics: Metrics) -> None:
        self._shelf = shelf
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._writes: dict[str, Task[None]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no result waits to be stored."""
        return not self._writes and not any(book.pending_count for book in self._shelf.owned())

    def start_due(self, is_urgent: bool = False) -> None:
        """Begin the writes that are due.

        :param is_urgent: whether to write at once, since the process is to stop.
        """
        for book in self._shelf.owned():
            if book.job_id not in self._writes and self._is_due(book, is_urgent):
                self._writes[book.job_id] = create_task(self._write(book))

    def _is_due(self, book: JobBook, is_urgent: bool) -> bool:
        if not book.pending_count:
            return False
        if is_urgent or not book.open_count:
            return True
        return now_ms() - book.pending_since_ms >= linger_ms(book.record, self._clock.wall_ms())

    async def _write(self, book: JobBook) -> None:
        shelf = self._shelf
        segment = book.next_results()
        number = book.next_segment
        try:
            await shelf.call(shelf.storage.append, book.job_id, number, segment)
            if book.next_segment == number:
                book.apply(segment)
            self._metrics.count("results_listed", len(segment.results))
            self._log.event(
                "results_listed",
                job=book.job_id,
                segment=number,
                results=len(segment.results),
                listed=book.listed_count,
            )
        except WriteConflictError:
            await self._take_stored(book, number)
        except StoreError as error:
            self._log.event("results_not_stored", job=book.job_id, error=str(error))
            await sleep(RETRY_MS / MS_PER_S)
        finally:
            del self._writes[book.job_id]
            shelf.tell_news(book.job_id)
            shelf.on_change()

    async def _take_stored(self, book: JobBook, number: int) -> None:
        """Another write has this number: list what the store has."""
        shelf = self._shelf
        try:
            segments = await shelf.call(shelf.storage.segments, book.job_id, number)
        except StoreError as error:
            self._log.event("segments_unread", job=book.job_id, error=str(error))
            await sleep(RETRY_MS / MS_PER_S)
            return
        if book.next_segment == number:
            for segment in segments:
                book.apply(segment)
        self._log.event("segment_conflict", job=book.job_id, segment=number, found=len(segments))
