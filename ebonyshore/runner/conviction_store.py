"""Stores convictions, so that they outlive a stop of all processes.

Runners read the stored convictions when they start, and pass them on with their own.
"""

from collections.abc import Awaitable, Callable, Sequence

from msgspec import DecodeError, Struct

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.messages import Verdict
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import ListingStore, StoredObject

CONVICTIONS_KIND = "convictions"


class ConvictionRecord(Struct, frozen=True):
    """A stored conviction, or a stored suspicion of a content that is not convicted yet.

    :param crash_ids: ids of the crashes at which the content was in flight.
    :param last_crash_ms: wall time of the last of them.
    :param weak_crash_ids: ids of further crashes, which are weak evidence.
    """

    content_digest: str
    crash_ids: tuple[str, ...]
    last_crash_ms: int
    weak_crash_ids: tuple[str, ...] = ()


class ConvictionStorage:
    """Reads and writes convictions in the store. Calls block and may raise :class:`StoreError`.

    :param store: lists the objects.
    :param marked_store: writes them.
    """

    __slots__ = ("_log", "_marked_store", "_store")

    def __init__(self, store: ListingStore, marked_store: MarkedStore, log: EventLog) -> None:
        self._store = store
        self._marked_store = marked_store
        self._log = log

    def read_all(self) -> Sequence[ConvictionRecord]:
        """Return all convictions; those that cannot be decoded are logged and left out."""
        records = (
            self._decode(found) for found in self._store.list_objects(CONVICTIONS_KIND).objects
        )
        return [record for record in records if record is not None]

    def create(self, record: ConvictionRecord) -> None:
        """Store a conviction, unless the content has one."""
        try:
            self._marked_store.create(_key(record.content_digest), record)
        except WriteConflictError:
            return  # stored by another runner

    def delete(self, content_digest: str) -> None:
        """Delete a conviction. Does nothing if there is none."""
        found = self._store.get(_key(content_digest))
        if found is not None:
            self._store.delete(found.key, found.version)

    def _decode(self, found: StoredObject) -> ConvictionRecord | None:
        try:
            return self._marked_store.decode(
                found.key, found.version, found.value or b"", ConvictionRecord
            ).body
        except DecodeError as error:
            self._log.event("conviction_unreadable", key=found.key, error=str(error))
            return None


class ConvictionKeeper(PeriodicService):
    """Loads the stored convictions once, then stores new ones and deletes those that expired.

    The service runs in every runner; only the live one with the lowest id writes.

    :param storage: the stored convictions.
    :param suspicions: updated with them; provides the new ones.
    :param load_table: tells whether this runner has the lowest id of the live ones.
    :param run_blocking: runs a blocking call on a thread, see :meth:`JobRegistry.run_blocking`.
    """

    name = "convictions"
    interval_ms = 500.0

    def __init__(
        self,
        storage: ConvictionStorage,
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
        self._stored: set[str] = set()

    async def run_once(self) -> None:
        try:
            if not self._has_loaded:
                await self._load()
            if self._load_table.has_lowest_runner_id():
                await self._write_changes()
        except StoreError as error:
            self._log.event("convictions_not_synchronized", error=str(error))

    async def _load(self) -> None:
        records = await self._run_blocking(self._storage.read_all)
        self._has_loaded = True
        self._stored.update(record.content_digest for record in records)
        wall_ms = self._clock.wall_ms()
        verdicts = [to_verdict(record, wall_ms) for record in records]
        self._suspicions.merge(verdicts, now_ms(), is_relayed=True)

    async def _write_changes(self) -> None:
        convictions = {
            verdict.content_digest: verdict
            for verdict in self._suspicions.table.convictions(now_ms())
        }
        for digest in convictions.keys() - self._stored:
            record = to_record(convictions[digest], self._clock.wall_ms())
            await self._run_blocking(self._storage.create, record)
            self._stored.add(digest)
            self._log.event("conviction_stored", content=digest)
        for digest in self._stored - convictions.keys():
            await self._run_blocking(self._storage.delete, digest)
            self._stored.discard(digest)
            self._log.event("conviction_deleted", content=digest)


def _key(content_digest: str) -> str:
    return f"{CONVICTIONS_KIND}/{content_digest}"


def to_record(verdict: Verdict, wall_ms: float) -> ConvictionRecord:
    """Return the stored form of a verdict.

    :param wall_ms: present wall time.
    """
    last_crash_ms = int(wall_ms - verdict.age_ms)
    return ConvictionRecord(
        verdict.content_digest, verdict.crash_ids, last_crash_ms, verdict.weak_crash_ids
    )


def to_verdict(record: ConvictionRecord, wall_ms: float, is_convicted: bool = True) -> Verdict:
    """Return the verdict that a record was stored for.

    :param wall_ms: present wall time.
    """
    # The wall clock may have been set back since.
    age_ms = min(max(0.0, wall_ms - record.last_crash_ms), SUSPICION_EXPIRY_MS)
    return Verdict(
        record.content_digest,
        len(record.crash_ids) + len(record.weak_crash_ids),
        is_convicted,
        age_ms,
        crash_ids=record.crash_ids,
        weak_crash_ids=record.weak_crash_ids,
    )
