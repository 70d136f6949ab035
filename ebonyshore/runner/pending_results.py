"""Results of one job that wait to be stored, and how they are divided into segments. No I/O."""

from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from ebonyshore.frame.encoded_size import cut_text, json_size
from ebonyshore.host.job_types import ResultRecord
from ebonyshore.runner.listed_results import StoredParts

MIN_SEGMENT_BYTES = 4_096  # of a segment that the store refuses, it is not made smaller
MAX_REFUSALS = 3  # of the smallest segment until its result is given up
RECORD_BYTES = 64  # of a part of a result, without its text


class RefusalAction(Enum):
    """What follows on a segment that the store has refused for good."""

    RETRY_SMALLER = auto()
    RETRY_LATER = auto()
    GIVE_UP = auto()  # the next segment lists the first result as given up


class _Phase(Enum):
    """How far it is known why the store refuses the first result."""

    WRITING = auto()
    PROBING = auto()  # the next segment is empty, to find out whether the store takes any
    PROVEN = auto()  # the store takes other segments
    GIVEN_UP = auto()


class Refusal(Struct, frozen=True):
    """The consequence of a refused segment.

    :param action: what follows.
    :param index: index of the item whose result is first; ``None`` if no result waits.
    :param is_first: whether it is the first refusal since a segment was stored.
    """

    action: RefusalAction
    index: int | None
    is_first: bool


class PendingResults:
    """Results in the order in which they are to be stored.

    A segment that the store refuses is made smaller, until it holds one part of one result. If the
    store still refuses that, but takes a segment without results, the result is given up, so that
    those behind it are listed.

    :param segment_bytes: size in JSON to which results are collected in one segment.
    """

    __slots__ = (
        "_limit_bytes",
        "_max_limit_bytes",
        "_min_limit_bytes",
        "_phase",
        "_refusals",
        "_results",
    )

    def __init__(self, segment_bytes: int) -> None:
        self._results: list[ResultRecord] = []
        self._max_limit_bytes = segment_bytes
        self._limit_bytes = segment_bytes
        self._min_limit_bytes = min(segment_bytes, MIN_SEGMENT_BYTES)
        self._phase = _Phase.WRITING
        self._refusals = 0  # in succession

    def __len__(self) -> int:
        return len(self._results)

    def add(self, result: ResultRecord) -> None:
        """Append a result."""
        self._results.append(result)

    def choose(self, find_parts: Callable[[int], StoredParts | None]) -> tuple[ResultRecord, ...]:
        """Return the results of the next segment: those that have waited longest, as many as fit.

        Of a result that does not fit by itself a part is returned.

        :param find_parts: returns the parts of an item's result that this owner has stored.
        """
        if not self._results or self._phase is _Phase.PROBING:
            return ()
        first = self._results[0]
        if self._phase is _Phase.GIVEN_UP:
            return (ResultRecord(first.index, False, ""),)
        if json_size(first) > self._limit_bytes:
            return (self._next_part(first, find_parts(first.index)),)
        chosen = [first]
        total_bytes = json_size(first)
        for result in self._results[1:]:
            total_bytes += json_size(result) + 1
            if total_bytes > self._limit_bytes or self._is_smallest:
                break
            chosen.append(result)
        return tuple(chosen)

    def refuse(self, is_too_large: bool) -> Refusal:
        """Record that the store has refused the chosen segment for good.

        :param is_too_large: whether it was refused for its size.
        """
        index = self._results[0].index if self._results else None
        is_first = not self._refusals
        self._refusals += 1
        return Refusal(self._react(is_too_large), index, is_first)

    def end_stored(self, is_listed: Callable[[int], bool]) -> None:
        """Drop the results that are listed, after a segment was stored.

        :param is_listed: returns whether the item with an index has a listed result.
        """
        self._results = [result for result in self._results if not is_listed(result.index)]
        if self._phase is _Phase.PROBING and self._results:
            self._phase = _Phase.PROVEN
        else:
            self._start_over()

    @property
    def _is_smallest(self) -> bool:
        return self._limit_bytes <= self._min_limit_bytes and self._refusals > 0

    def _react(self, is_too_large: bool) -> RefusalAction:
        if self._limit_bytes > self._min_limit_bytes:
            self._limit_bytes = max(self._min_limit_bytes, self._limit_bytes // 2)
            if is_too_large:
                self._max_limit_bytes = self._limit_bytes
            self._refusals = 1
            return RefusalAction.RETRY_SMALLER
        if self._phase is _Phase.PROVEN:
            self._phase = _Phase.GIVEN_UP
            return RefusalAction.GIVE_UP
        if self._phase is not _Phase.WRITING:
            self._start_over()  # the store takes nothing at present
            self._refusals = 1
        elif self._refusals > MAX_REFUSALS and self._results:
            self._phase = _Phase.PROBING
        return RefusalAction.RETRY_LATER

    def _start_over(self) -> None:
        self._limit_bytes = self._max_limit_bytes
        self._phase = _Phase.WRITING
        self._refusals = 0

    def _next_part(self, result: ResultRecord, stored: StoredParts | None) -> ResultRecord:
        """Return the part of a result that follows those that are stored."""
        if stored is not None and result.data.startswith(stored.data):
            result = replace(result, data=result.data[len(stored.data) :], part=stored.count)
        if json_size(result) <= self._limit_bytes:
            return result
        data = cut_text(result.data, self._limit_bytes - RECORD_BYTES)
        return replace(result, data=data, has_more=True)
