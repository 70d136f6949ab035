"""Deletes expired idempotency records; runs in the entry that holds the clean-up lease.

Calls to the object store: one list call for each page of records and for the parts of each expired
record, one read for each record, and one delete for each expired record or part. The expiry
compares wall clocks of different machines, whose skew is small compared with the hours that a
record is kept.
"""

from collections.abc import Callable

from ebonyshore.entry.idempotency_records import KEY_PREFIX, PARTS_PREFIX, IdempotencyRecord
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import WriteConflictError, WriteOutcomeUnknownError
from ebonyshore.store.marked_write import MarkedStore

PAGE_SIZE = 100  # records in one list call


class IdempotencySweeper:
    """Checks all records, one page in each step, and starts over after the last page.

    :param expiry_ms: returns the time that a record is kept, in milliseconds.
    """

    def __init__(self, store: MarkedStore, clock: Clock, expiry_ms: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._expiry_ms = expiry_ms
        self._start_after = ""

    def step(self) -> int:
        """Check the next page of records.

        :return: the number of deleted records.
        :raises StoreUnavailableError: if the store does not answer; the next step checks the page
            again.
        """
        page = self._store.store.list_keys(KEY_PREFIX, self._start_after, PAGE_SIZE)
        deleted = sum(self._delete_if_expired(summary.key) for summary in page)
        self._start_after = page[-1].key if len(page) == PAGE_SIZE else ""
        return deleted

    def _delete_if_expired(self, key: str) -> bool:
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
            # Either a new submission has reclaimed the record, which then stays, or it is unknown
            # whether the object is deleted, and the next pass over all records tries again.
            return False
        return True
