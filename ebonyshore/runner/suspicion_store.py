"""Stores suspicions that are not convictions yet, so that they outlive a stop of all processes.

All suspicions are in one object, because a crash makes all content suspect that was in flight.
"""

from collections.abc import Mapping

from msgspec import Struct

from ebonyshore.frame.encoded_size import json_size, take_fitting
from ebonyshore.frame.errors import UnreadableObjectError, ValueTooLargeError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.messages import Verdict
from ebonyshore.runner.conviction_store import ConvictionRecord, to_record, to_verdict
from ebonyshore.runner.shared_record import SharedRecordKeeper
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION
from ebonyshore.store.value_limit import ValueLimit

SUSPICIONS_KEY = "suspicions/current"
MAX_STORED_SUSPECTS = 1_000  # the newest ones
MIN_LIMIT_BYTES = 4_096
CLEARED_WRITE_INTERVAL_MS = 10_000.0  # between writes that only remove cleared content


class SuspicionRecord(Struct, frozen=True):
    """All content that is suspect and not convicted."""

    suspects: tuple[ConvictionRecord, ...] = ()


class SuspicionStorage:
    """Reads and writes the suspicions. Calls block and may raise :class:`StoreError`."""

    __slots__ = ("_log", "_marked_store", "_stored")

    def __init__(self, marked_store: MarkedStore, log: EventLog) -> None:
        self._marked_store = marked_store
        self._log = log
        self._stored = _empty_object(ABSENT_VERSION)

    def read(self) -> SuspicionRecord:
        """Return the stored suspicions; none if the object is missing or cannot be decoded."""
        found = self._marked_store.store.get(SUSPICIONS_KEY)
        if found is None:
            self._stored = _empty_object(ABSENT_VERSION)
            return self._stored.body
        try:
            self._stored = self._marked_store.decode(
                found.key, found.version, found.value or b"", SuspicionRecord
            )
        except UnreadableObjectError as error:
            self._log.event("suspicions_unreadable", key=SUSPICIONS_KEY, error=str(error))
            self._stored = _empty_object(found.version)
        return self._stored.body

    def write(self, record: SuspicionRecord) -> None:
        """Replace the suspicions as they were last read or written.

        :raises WriteConflictError: if another runner has written since.
        """
        self._stored = self._marked_store.replace(self._stored, record)


def _empty_object(version: int) -> MarkedObject[SuspicionRecord]:
    return MarkedObject(SUSPICIONS_KEY, version, 0, (), SuspicionRecord())


class SuspicionKeeper(SharedRecordKeeper):
    """Keeps the suspicions below a conviction.

    :param storage: the stored suspicions.
    :param arguments: see :class:`SharedRecordKeeper`.
    :param limit_bytes: largest size of the suspicions in JSON; halved if the store takes less.
    """

    name = "suspicions"
    interval_ms = 100.0

    def __init__(
        self,
        storage: SuspicionStorage,
        *arguments: object,
        limit_bytes: int = ValueLimit().batch_bytes,
    ) -> None:
        super().__init__(*arguments)
        self._storage = storage
        self._stored_crashes: dict[str, frozenset[str]] = {}  # crash ids by content digest
        self._written_ms = float("-inf")
        self._limit_bytes = limit_bytes

    async def _load(self) -> None:
        record = await self._run_blocking(self._storage.read)
        self._stored_crashes = {
            suspect.content_digest: _all_crash_ids(suspect) for suspect in record.suspects
        }
        wall_ms = self._clock.wall_ms()
        verdicts = [to_verdict(suspect, wall_ms, False) for suspect in record.suspects]
        self._suspicions.merge(verdicts, now_ms(), is_relayed=True)

    async def _write_changes(self) -> None:
        suspects = self._current_suspects()
        crashes = {digest: _all_crash_ids(found) for digest, found in suspects.items()}
        if crashes == self._stored_crashes:
            return
        is_cleared_only = crashes.items() <= self._stored_crashes.items()
        if is_cleared_only and now_ms() - self._written_ms < CLEARED_WRITE_INTERVAL_MS:
            return
        wall_ms = self._clock.wall_ms()
        records = [to_record(found, wall_ms) for found in suspects.values()]
        sized = [(record, json_size(record) + 1) for record in records]
        fitting = SuspicionRecord(tuple(take_fitting(sized, self._limit_bytes)))
        self._written_ms = now_ms()
        try:
            await self._run_blocking(self._storage.write, fitting)
        except ValueTooLargeError:
            self._limit_bytes = max(MIN_LIMIT_BYTES, self._limit_bytes // 2)
            raise
        self._stored_crashes = crashes
        self._log.event("suspicions_stored", contents=len(crashes))

    def _current_suspects(self) -> Mapping[str, Verdict]:
        found = [
            verdict
            for verdict in self._suspicions.table.export(now_ms())
            if not verdict.is_convicted
        ]
        found.sort(key=lambda verdict: verdict.age_ms)
        return {verdict.content_digest: verdict for verdict in found[:MAX_STORED_SUSPECTS]}


def _all_crash_ids(suspect: ConvictionRecord | Verdict) -> frozenset[str]:
    return frozenset((*suspect.crash_ids, *suspect.weak_crash_ids))
