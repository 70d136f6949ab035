"""Deletes expired idempotency records; run by the holder of the clean-up duty.

Costs one list call for each page, one read for each record seen, and one delete for each expired
record or part. Expiry compares wall clocks, whose skew is small against the hours of a record's
life.
"""

from collections.abc import Callable

from ebonyshore.entry.idempotency_records import KEY_PREFIX, PARTS_PREFIX, IdempotencyRecord
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import WriteConflictError, WriteOutcomeUnknownError
from ebonyshore.store.marked_write import MarkedStore

PAGE_RECORDS = 100


class IdempotencySweeper:
    """Goes through all records, a page at each step.

    :param expiry_ms: returns how long a record is kept.
    """

    def __init__(self, store: MarkedStore, clock: Clock, expiry_ms: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._expiry_ms = expiry_ms
        self._after = ""

    def step(self) -> int:
        """Check one page; return how many records were deleted.

        :raises StoreUnavailableError: the page is checked again by the next step.
        """
        page = self._store.store.list_keys(KEY_PREFIX, self._after, PAGE_RECORDS)
        deleted = sum(self._sweep(summary.key) for summary in page)
        self._after = page[-1].key if len(page) == PAGE_RECORDS else ""
        return deleted

    def _sweep(self, key: str) -> bool:
        record = self._store.read(key, IdempotencyRecord)
        if record is None:
            return False
        age_ms = self._clock.wall_ms() - record.body.created_wall_ms
        if age_ms <= self._expiry_ms() + record.body.deadline_left_ms:
            return False
        prefix = f"{PARTS_PREFIX}{key.removeprefix(KEY_PREFIX)}/"
        for part in self._store.store.list_keys(prefix):
            self._delete(part.key, part.version)
        return self._delete(key, record.version)

    def _delete(self, key: str, version: int) -> bool:
        try:
            self._store.store.delete(key, version)
        except (WriteConflictError, WriteOutcomeUnknownError):
            # A new try took the key, or the next round finds the object gone.
            return False
        return True
