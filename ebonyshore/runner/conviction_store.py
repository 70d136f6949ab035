"""Stores convictions, so that they outlive a stop of all processes.

Runners read the stored convictions when they start, and pass them on with their own.
"""

from collections.abc import Sequence

from msgspec import Struct

from ebonyshore.frame.errors import (
    StoreError,
    UnreadableObjectError,
    WriteConflictError,
    WriteRefusedError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS
from ebonyshore.link.messages import Verdict
from ebonyshore.runner.shared_record import SharedRecordKeeper
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
        except UnreadableObjectError as error:
            self._log.event("conviction_unreadable", key=found.key, error=str(error))
            return None


class ConvictionKeeper(SharedRecordKeeper):
    """Keeps the convictions; deletes those that have expired.

    :param storage: the stored convictions.
    :param arguments: see :class:`SharedRecordKeeper`.
    """

    name = "convictions"
    interval_ms = 500.0

    def __init__(self, storage: ConvictionStorage, *arguments: object) -> None:
        super().__init__(*arguments)
        self._storage = storage
        self._stored: set[str] = set()

    async def _load(self) -> None:
        records = await self._run_blocking(self._storage.read_all)
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
            self._stored.add(digest)
            await self._store(record)
        for digest in self._stored - convictions.keys():
            await self._run_blocking(self._storage.delete, digest)
            self._stored.discard(digest)
            self._log.event("conviction_deleted", content=digest)

    async def _store(self, record: ConvictionRecord) -> None:
        """Store a conviction; one that the store refuses for good does not hold up others."""
        digest = record.content_digest
        try:
            await self._run_blocking(self._storage.create, record)
        except WriteRefusedError as error:
            self._log.event("conviction_refused", content=digest, error=str(error))
        except StoreError:
            self._stored.discard(digest)
            raise
        else:
            self._log.event("conviction_stored", content=digest)


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
