"""Discovery of the other processes: each process writes a record of itself to the store."""

from collections.abc import Callable, Sequence, Set
from concurrent.futures import Executor
from typing import Literal

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, UnreadableObjectError
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.wire_types import Port, is_ip_address
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject

PEERS_KIND = "processes"
REGISTRATION_RETRY_INTERVAL_MS = 500.0


class PeerRecord(Struct, frozen=True):
    """The address and identity of a process.

    :param instance_id: instance id of the process.
    :param role: ``entry`` or ``runner``.
    :param host: IP address of the process.
    :param port: UDP port for load messages; for a runner also the TCP port for job calls.
    :param failure_domain: failure domain of the process.
    :param incarnation: run of the process.
    """

    instance_id: str
    role: Literal["entry", "runner"]
    host: str
    port: Port
    failure_domain: str
    incarnation: str


class PeerDirectory(KindListener):
    """Keeps the records of all registered processes.

    :param own: record of this process.
    :param store: decodes the records.
    :ivar on_peer_change: called with the record of another process when it is new or has changed.
    :ivar on_own_record_removed: called when the record of this process was removed from the store
        or cannot be decoded.
    """

    def __init__(self, own: PeerRecord, store: MarkedStore, log: EventLog) -> None:
        self.own = own
        self._store = store
        self._log = log
        self._peers: dict[str, PeerRecord] = {}
        self._is_own_record_known = False
        self._has_listing = False
        self.on_peer_change: Callable[[PeerRecord], None] = lambda _record: None
        self.on_own_record_removed: Callable[[], None] = lambda: None

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self._has_listing = True
        listed_ids = {stored.key.split("/", 1)[1] for stored in objects}
        self._peers = {key: peer for key, peer in self._peers.items() if key in listed_ids}
        self.on_changes(objects)
        if self._is_own_record_known and self.own.instance_id not in listed_ids:
            self._handle_own_removal()

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            instance_id = stored.key.split("/", 1)[1]
            record = self._decode(stored)
            if instance_id == self.own.instance_id:
                self._handle_own_record(record)
            elif record is None:
                self._peers.pop(instance_id, None)
            elif self._peers.get(instance_id) != record:
                self._peers[instance_id] = record
                self.on_peer_change(record)

    def _handle_own_record(self, record: PeerRecord | None) -> None:
        if record is None:
            self._handle_own_removal()
        else:
            self._is_own_record_known = True

    def _handle_own_removal(self) -> None:
        self._is_own_record_known = False
        self.on_own_record_removed()

    @property
    def has_listing(self) -> bool:
        """Whether the records have been read from the store at least once."""
        return self._has_listing

    def of_role(self, role: str) -> dict[str, PeerRecord]:
        """Return the records of the other processes of a role, by instance id."""
        return {key: peer for key, peer in self._peers.items() if peer.role == role}

    @property
    def process_count(self) -> int:
        """Number of registered processes, this one included."""
        return 1 + len(self._peers)

    @property
    def entry_count(self) -> int:
        """Number of entries, with this process if it is one; 0 before the first listing."""
        own_count = int(self.own.role == "entry")
        return len(self.of_role("entry")) + own_count if self._has_listing else 0

    def unheard(self, heard: Set[str], excluded: str = "") -> int:
        """Return the number of other processes that are not among some.

        :param excluded: instance id of a process that is not counted.
        """
        return len(self._peers.keys() - heard - {excluded})

    def addresses(self, role: str) -> list[tuple[str, int]]:
        """Return host and port of the other processes of a role."""
        return [(peer.host, peer.port) for peer in self._peers.values() if peer.role == role]

    def _decode(self, stored: StoredObject) -> PeerRecord | None:
        if stored.value is None:
            return None
        try:
            record = self._store.decode(stored.key, stored.version, stored.value, PeerRecord).body
        except UnreadableObjectError as error:
            self._log.event("peer_unreadable", key=stored.key, error=str(error))
            return None
        if not is_ip_address(record.host):
            self._log.event("peer_unreadable", key=stored.key, error="host is no IP address")
            return None
        return record


class Registration:
    """Writes the record of this process to the store, and removes those of others.

    The methods return at once; the store is called on a thread.

    :param own: record of this process.
    :param store: stores the records.
    :param executor: runs the store calls.
    """

    def __init__(
        self,
        own: PeerRecord,
        store: MarkedStore,
        clock: Clock,
        log: EventLog,
        executor: Executor,
    ) -> None:
        self._own = own
        self._key = f"{PEERS_KIND}/{own.instance_id}"
        self._store = store
        self._clock = clock
        self._log = log
        self._executor = executor
        self._is_stopped = False

    def start(self) -> None:
        """Write the record of this process.

        Retried every :data:`REGISTRATION_RETRY_INTERVAL_MS` until it succeeds or :meth:`stop` is
        called.
        """
        self._executor.submit(self._register)

    def stop(self) -> None:
        """Stop retrying to write the record."""
        self._is_stopped = True

    def remove(self, peer: PeerRecord) -> None:
        """Remove the record of a lost process, unless the record has changed in the meantime.

        Failures are logged and not retried.

        :param peer: the record as last seen.
        """
        self._executor.submit(self._remove, peer)

    def _remove(self, peer: PeerRecord) -> None:
        key = f"{PEERS_KIND}/{peer.instance_id}"
        try:
            stored = self._store.read(key, PeerRecord)
            if stored is not None and stored.body == peer:
                self._store.store.delete(key, stored.version)
                self._log.event("peer_removed", peer=peer.instance_id)
        except StoreError as error:
            self._log.event("peer_not_removed", peer=peer.instance_id, error=str(error))

    def _write_own(self) -> None:
        """Write the record of this process; replaces one that cannot be decoded.

        :raises StoreError: if it was not written, or may not have been.
        """
        try:
            self._store.update(self._key, PeerRecord, lambda _: self._own)
        except UnreadableObjectError as error:
            self._log.event("own_record_unreadable", key=self._key, error=str(error))
            stored = self._store.store.get(self._key)
            if stored is not None:
                self._store.store.delete(self._key, stored.version)
            self._store.create(self._key, self._own)

    def _register(self) -> None:
        while not self._is_stopped:
            try:
                self._write_own()
            except StoreError as error:
                self._log.event("registration_failed", error=str(error))
                self._clock.sleep_ms(REGISTRATION_RETRY_INTERVAL_MS)
            else:
                return
