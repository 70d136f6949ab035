"""Stores the ledgers of reserved tokens, one object for each limit."""

import secrets
from collections.abc import Callable

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.runner.quota_ledger import MAX_LEDGER_BYTES, LedgerChange, QuotaLedger
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION, ObjectStore

QUOTAS_KIND = "jobquotas"
MAX_ATTEMPTS = 12
MIN_LEDGER_BYTES = 4_096
MAX_CONFLICT_PAUSE_MS = 8
MAX_LOST_ANSWERS = 3  # each repetition is a priced call, also while the store is down
LOST_ANSWER_PAUSE_MS = 50.0
MAX_COPY_AGE_MS = 300.0  # of a ledger that is used without reading the store


class _LedgerCopy(Struct, frozen=True):
    """A ledger as it was last read or written, and when the store was asked for it."""

    stored: MarkedObject[QuotaLedger]
    requested_ms: float


class QuotaStorage:
    """Reads and changes ledgers. Calls block and may raise :class:`StoreError`.

    The last copy of each ledger is kept, so that most changes cost one call. Calls for one ledger
    must not overlap.

    After a write of unknown outcome the ledger is read again: a change that took effect needs no
    second write, because reservations are named by their jobs.

    :param store: the platform's object store.
    :param ledger_bytes: largest size of a ledger in JSON.
    :ivar ledger_bytes: the same; halved if the store takes less.
    """

    __slots__ = ("_clock", "_copies", "_store", "ledger_bytes")

    def __init__(
        self, store: ObjectStore, clock: Clock, ledger_bytes: int = MAX_LEDGER_BYTES
    ) -> None:
        self.ledger_bytes = ledger_bytes
        self._store = MarkedStore(store, clock, settle_timeout_ms=0.0)
        self._clock = clock
        self._copies: dict[str, _LedgerCopy] = {}

    def change(self, name: str, change: Callable[[QuotaLedger], LedgerChange]) -> LedgerChange:
        """Apply a change to the current ledger of a route and store the result.

        A change that leaves the ledger as it is, such as a refusal, may be based on a copy that is
        up to :data:`MAX_COPY_AGE_MS` old.

        :param name: name of the quota.
        :param change: called with the ledger, several times if other runners write in between.
        :raises WriteConflictError: if every attempt conflicted with another write.
        :raises UnreadableObjectError: if the object holds no ledger; nothing was written.
        :raises StoreUnavailableError: if the store cannot be read or did not accept the write.
        :raises WriteOutcomeUnknownError: if the change may have been stored.
        """
        key = f"{QUOTAS_KIND}/{name}"
        lost_answers = 0
        for attempt in range(MAX_ATTEMPTS):
            copy = self._copies.pop(key, None) or self._read(key)
            result = change(copy.stored.body)
            if result.ledger == copy.stored.body:
                if self._clock.monotonic_ms() - copy.requested_ms <= MAX_COPY_AGE_MS:
                    self._copies[key] = copy
                    return result
                copy = self._read(key)
                result = change(copy.stored.body)
            try:
                return self._write(copy, result)
            except WriteConflictError:
                self._clock.sleep_ms(secrets.randbelow(MAX_CONFLICT_PAUSE_MS * (attempt + 1)))
            except ValueTooLargeError as error:
                # The size is that of other jobs, too; the job itself may be submitted again.
                self.ledger_bytes = max(MIN_LEDGER_BYTES, self.ledger_bytes // 2)
                raise StoreUnavailableError(f"{key} has no room: {error}") from error
            except WriteOutcomeUnknownError:
                lost_answers += 1
                if lost_answers > MAX_LOST_ANSWERS:
                    raise
                self._clock.sleep_ms(LOST_ANSWER_PAUSE_MS)
        raise WriteConflictError(f"{key}: {MAX_ATTEMPTS} attempts conflicted with other writes")

    def forget(self, name: str) -> None:
        """Drop the copy of a ledger that is not in use any more.

        :param name: name of the quota.
        """
        self._copies.pop(f"{QUOTAS_KIND}/{name}", None)

    def _write(self, copy: _LedgerCopy, result: LedgerChange) -> LedgerChange:
        if result.ledger != copy.stored.body:
            requested_ms = self._clock.monotonic_ms()
            copy = _LedgerCopy(self._store.replace(copy.stored, result.ledger), requested_ms)
        self._copies[copy.stored.key] = copy
        return result

    def _read(self, key: str) -> _LedgerCopy:
        requested_ms = self._clock.monotonic_ms()
        stored = self._store.read(key, QuotaLedger)
        if stored is None:
            stored = MarkedObject(key, ABSENT_VERSION, 0, (), QuotaLedger())
        return _LedgerCopy(stored, requested_ms)
