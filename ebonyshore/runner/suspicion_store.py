"""Stores suspicions that are not convictions yet, so that they outlive a stop of all processes.

All suspicions are in one object, because a crash makes all content suspect that was in flight.
"""

from collections.abc import Awaitable, Callable, Mapping

from msgspec import DecodeError, Struct

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.messages import Verdict
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.runner.conviction_store import ConvictionRecord, to_record, to_verdict
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION

SUSPICIONS_KEY = "suspicions/current"
MAX_STORED_SUSPECTS = 1_000  # the newest ones; keeps the object below 200 kB
CLEARED_WRITE_INTERVAL_MS = 10_000.0  # between writes that only remove cleared content
ERROR_PAUSE_MS = 1_000.0


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
        except DecodeError as error:
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


class SuspicionKeeper(PeriodicService):
    """Loads the stored suspicions once, then stores changes.

    The service runs in every runner; only the live one with the lowest id writes.

    :param storage: the stored suspicions.
    :param suspicions: updated with them; provides the present ones.
    :param load_table: tells whether this runner has the lowest id of the live ones.
    :param run_blocking: runs a blocking call on a thread, see :meth:`JobRegistry.run_blocking`.
    """

    name = "suspicions"
    interval_ms = 100.0

    def __init__(
        self,
        storage: SuspicionStorage,
        suspicions: SuspicionExchange,
        load_table: LoadTable,
        run_blocking: Callable[..., Awaitable],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._storage = storage
        self._suspicions = suspicions
        self._load_table = load_table
        self._run_blocking = run_blocking
        self._clock = clock
        self._log = log
        self._has_loaded = False
        self._stored_crashes: dict[str, frozenset[str]] = {}  # crash ids by content digest
        self._written_ms = float("-inf")
        self._paused_until_ms = float("-inf")

    async def run_once(self) -> None:
        if now_ms() < self._paused_until_ms:
            return
        try:
            if not self._has_loaded:
                await self._load()
            if self._load_table.has_lowest_runner_id():
                await self._write_changes()
        except StoreError as error:
            # After a conflict the suspicions of the other writer are read and merged.
            self._has_loaded = self._has_loaded and not isinstance(error, WriteConflictError)
            self._paused_until_ms = now_ms() + ERROR_PAUSE_MS
            self._log.event("suspicions_not_synchronized", error=str(error))

    async def _load(self) -> None:
        record = await self._run_blocking(self._storage.read)
        self._has_loaded = True
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
        record = SuspicionRecord(tuple(to_record(found, wall_ms) for found in suspects.values()))
        self._written_ms = now_ms()
        await self._run_blocking(self._storage.write, record)
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
