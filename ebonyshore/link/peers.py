"""The other processes of the fleet: each writes a record of itself to the store."""

from collections.abc import Callable, Sequence
from concurrent.futures import Executor, Future
from typing import Literal

from msgspec import DecodeError, Struct, structs

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject

PEERS_KIND = "processes"
REGISTER_PAUSE_MS = 500.0


class PeerRecord(Struct, frozen=True):
    """Where a process is reached.

    :param role: ``entry`` or ``runner``.
    :param port: of its load datagrams, and of a runner's job calls.
    :param incarnation: run of the process.
    :param renewals: grows when the process shows by a write that it lives.
    """

    instance_id: str
    role: Literal["entry", "runner"]
    host: str
    port: int
    failure_domain: str
    incarnation: str
    renewals: int = 0


class PeerDirectory(KindListener):
    """Knows the processes that are registered.

    :param own: this process's record.
    :ivar on_sign: called with the record of another process that has changed.
    :ivar on_own_removal: called when this process's own record was removed.
    """

    def __init__(self, own: PeerRecord, store: MarkedStore, log: EventLog) -> None:
        self.own = own
        self._store = store
        self._log = log
        self._peers: dict[str, PeerRecord] = {}
        self._is_own_known = False
        self.on_peer_change: Callable[[PeerRecord], None] = lambda _record: None
        self.on_own_record_removed: Callable[[], None] = lambda: None

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        listed = {found.key.split("/", 1)[1] for found in objects}
        self._peers = {key: peer for key, peer in self._peers.items() if key in listed}
        self.on_changes(objects)
        if self._is_own_known and self.own.instance_id not in listed:
            self._lose_own()

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            instance_id = found.key.split("/", 1)[1]
            record = self._decode(found)
            if instance_id == self.own.instance_id:
                self._note_own(record)
            elif record is None:
                self._peers.pop(instance_id, None)
            elif self._peers.get(instance_id) != record:
                self._peers[instance_id] = record
                self.on_peer_change(record)

    def _note_own(self, record: PeerRecord | None) -> None:
        if record is None:
            self._lose_own()
        else:
            self._is_own_known = True

    def _lose_own(self) -> None:
        self._is_own_known = False
        self.on_own_record_removed()

    def of_role(self, role: str) -> dict[str, PeerRecord]:
        """Return the other processes of a role, by instance id."""
        return {key: peer for key, peer in self._peers.items() if peer.role == role}

    def _decode(self, found: StoredObject) -> PeerRecord | None:
        if found.value is None:
            return None
        try:
            return self._store.decode(found.key, found.version, found.value, PeerRecord).body
        except DecodeError as error:
            self._log.event("peer_unreadable", key=found.key, error=str(error))
            return None


class Registration:
    """Writes and removes this process's own record, on a thread.

    :param executor: runs the calls, which may block.
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
        self._renewal: Future[None] | None = None

    def start(self) -> None:
        """Register, trying until the store takes it."""
        self._executor.submit(self._register)

    def stop(self) -> None:
        """Try no more."""
        self._is_stopped = True

    def renew(self) -> None:
        """Write the record once more, to show that this process lives and reaches the store."""
        if self._renewal is not None and not self._renewal.done():
            return
        self._own = structs.replace(self._own, renewals=self._own.renewals + 1)
        self._renewal = self._executor.submit(self._renew)

    def remove(self, peer: PeerRecord) -> None:
        """Remove the record of a process that is gone for good."""
        self._executor.submit(self._remove, peer)

    def _renew(self) -> None:
        try:
            self._store.update(self._key, PeerRecord, lambda _: self._own)
        except StoreError as error:
            self._log.event("renewal_failed", error=str(error))

    def _remove(self, peer: PeerRecord) -> None:
        key = f"{PEERS_KIND}/{peer.instance_id}"
        try:
            found = self._store.read(key, PeerRecord)
            if found is not None and found.body == peer:
                self._store.store.delete(key, found.version)
                self._log.event("peer_removed", peer=peer.instance_id)
        except StoreError as error:
            self._log.event("peer_not_removed", peer=peer.instance_id, error=str(error))

    def _register(self) -> None:
        while not self._is_stopped:
            try:
                self._store.update(self._key, PeerRecord, lambda _: self._own)
            except StoreError as error:
                self._log.event("registration_failed", error=str(error))
                self._clock.sleep_ms(REGISTER_PAUSE_MS)
            else:
                return
