"""Keeps the target table synchronized with the platform's list of targets."""

from collections.abc import Callable, Sequence

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.pace import PaceChange
from ebonyshore.host.target import Target, TargetEntry, TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.link.load_table import Incarnation
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.platform_api import ListingStore, StoredObject
from ebonyshore.store.unreadable_objects import UnreadableObjects

EntryDecoder = Callable[[str, bytes], TargetEntry | None]


class TargetService(KindListener):
    """Applies changes of the list of targets to the target table.

    :param table: the table to keep synchronized.
    :param kind: kind of the objects that list the targets.
    :param decode: decodes an entry, given the target's id and the value of its object; returns
        ``None`` if it does not describe a usable target.
    :param pool: connection pool, whose connections to removed and leaving targets are closed.
    :ivar on_leaving: called when it is first known that a target leaves.
    :ivar has_listing: whether the complete list has been received at least once.
    """

    def __init__(
        self,
        table: TargetTable,
        kind: str,
        decode: EntryDecoder,
        pool: ConnectionPool,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self._kind = kind
        self._decode = decode
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._unusable = UnreadableObjects(log, metrics, "target_entry_unusable")
        self.on_leaving: Callable[[], None] = lambda: None
        table.on_leaving = self._note_leaving
        table.rate_limits.on_change = self._note_limit
        table.pace.on_change = self._note_pace
        self.has_listing = False

    def read_groups(self, store: ListingStore) -> set[TargetGroup]:
        """Return the groups of the usable targets that the store lists now; blocks.

        Nothing else is done with the list, as the watch may know a newer one.

        :raises StoreError: if it cannot be read.
        """
        entries = [
            self._decode(_target_id(stored), stored.value or b"")
            for stored in store.list_objects(self._kind).objects
        ]
        return {entry.group for entry in entries if entry is not None}

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        entries = [entry for stored in objects if (entry := self._decode_entry(stored)) is not None]
        usable_ids = {entry.target_id for entry in entries}
        for stored in objects:
            if _target_id(stored) not in usable_ids:
                self._drop(_target_id(stored))
        self._close_connections(self.table.replace_all(entries, now_ms()))
        self.has_listing = True
        self._log.event("targets_listed", targets=len(self.table))

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            if stored.value is None:
                self._remove(stored)
            elif (entry := self._decode_entry(stored)) is not None:
                self._put(entry)
            else:
                self._drop(_target_id(stored))

    def on_interruption(self) -> None:
        self.table.record_store_outage(now_ms())

    def drop_expired(self) -> None:
        """Drop targets whose entries were not written again in time.

        Call it several times a second.
        """
        expired = self.table.drop_expired(now_ms())
        for target in expired:
            self._log.event("target_expired", target=target.target_id)
        self._close_connections(expired)

    def _note_leaving(self, target: Target, source: str) -> None:
        self._metrics.count("targets_leaving")
        self._log.event(
            "target_leaving",
            target=target.target_id,
            started_ms=target.entry.started_ms,
            source=source,
        )
        self._pool.close_idle_connections(target.entry.address)
        self.on_leaving()

    def _note_limit(self, incarnation: Incarnation, rate_per_s: float | None, source: str) -> None:
        self._metrics.count("target_limits")
        self._log.event(
            "target_limit", target=incarnation.target_id, rate_per_s=rate_per_s, source=source
        )

    def _note_pace(self, incarnation: Incarnation, change: PaceChange, limit: float | None) -> None:
        name = f"target_pace_{change.name.lower()}"
        self._metrics.count(name)
        self._metrics.set_gauge("targets_paced", self.table.pace.paced_count)
        self._log.event(name, target=incarnation.target_id, limit=limit)

    def _put(self, entry: TargetEntry) -> None:
        known = self.table.find(entry.target_id)
        is_changed = known is None or known.entry != entry
        self.table.put(entry, now_ms())
        if is_changed:
            self._log.event(
                "target_changed",
                target=entry.target_id,
                address=entry.address,
                is_leaving=entry.is_leaving,
                software_version=entry.software_version,
                started_ms=entry.started_ms,
            )

    def _remove(self, stored: StoredObject) -> None:
        target_id = _target_id(stored)
        self._log.event("target_removed", target=target_id, revision=stored.version)
        removed = self.table.remove(target_id, now_ms())
        self._close_connections([removed] if removed else [])

    def _drop(self, target_id: str) -> None:
        """Drop the target of an entry that is present and does not describe a usable target."""
        dropped = self.table.drop(target_id, now_ms())
        if dropped is not None:
            self._log.event("target_dropped", target=target_id)
            self._close_connections([dropped])

    def _decode_entry(self, stored: StoredObject) -> TargetEntry | None:
        target_id = _target_id(stored)
        value = stored.value or b""
        entry = self._decode(target_id, value)
        if entry is None:
            self._unusable.report(stored.key, value)
        return entry

    def _close_connections(self, targets: list[Target]) -> None:
        for target in targets:
            self._pool.close_idle_connections(target.entry.address)


def _target_id(stored: StoredObject) -> str:
    return stored.key.split("/", 1)[1]
