"""The results of one job as callers read them, in pages. No I/O."""

from msgspec import Struct

from ebonyshore.frame.encoded_size import json_size
from ebonyshore.host.job_types import ListedResult, ResultPage, ResultRecord

MAX_PAGE_BYTES = 990_000  # of the results, encoded
RESULT_BYTES = 64  # of a result on a page, without its id and data


class StoredParts(Struct):
    """The first parts of a result, whose last one is not stored yet.

    :param epoch: epoch of the owner that has stored them.
    :param count: number of the parts.
    :param data: their data.
    """

    epoch: int
    count: int
    data: str


class _SizedResult(Struct, frozen=True):
    result: ListedResult
    page_bytes: int


class ListedResults:
    """Results in the order of their positions, and parts of results that are not complete yet."""

    __slots__ = ("_parts", "_results")

    def __init__(self) -> None:
        self._results: list[_SizedResult] = []
        self._parts: dict[int, StoredParts] = {}

    def __len__(self) -> int:
        return len(self._results)

    def add(self, record: ResultRecord, item_id: str, epoch: int) -> bool:
        """Add a stored result, or a part of it; return whether the result is now listed.

        A part that does not follow the others of its owner is ignored: another owner has stored
        them, and the present one begins again.

        :param epoch: epoch of the owner that has stored the record.
        """
        data = record.data
        if record.part:
            stored = self.find_parts(record.index, epoch)
            if stored is None or stored.count != record.part:
                return False
            data = stored.data + data
        if record.has_more:
            self._parts[record.index] = StoredParts(epoch, record.part + 1, data)
            return False
        self._parts.pop(record.index, None)
        page_bytes = json_size(item_id) + json_size(data) + RESULT_BYTES
        result = ListedResult(item_id, record.is_complete, data)
        self._results.append(_SizedResult(result, page_bytes))
        return True

    def find_parts(self, index: int, epoch: int) -> StoredParts | None:
        """Return the parts of an item's result that an owner has stored; ``None`` if none.

        :param epoch: epoch of the owner.
        """
        stored = self._parts.get(index)
        return stored if stored is not None and stored.epoch == epoch else None

    def page(self, total: int, first: int) -> ResultPage:
        """Return results from a position on, as many as fit into one response.

        The page has at least one result if there is one, and further ones as long as all have at
        most :data:`MAX_PAGE_BYTES`.

        :param total: number of items of the job.
        :param first: position of the first result.
        """
        results: list[ListedResult] = []
        page_bytes = 0
        for sized in self._results[first:]:
            page_bytes += sized.page_bytes
            if results and page_bytes > MAX_PAGE_BYTES:
                break
            results.append(sized.result)
        return ResultPage(total, first + len(results), tuple(results))
