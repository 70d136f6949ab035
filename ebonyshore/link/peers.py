"""The other processes of the fleet: each writes a record of itself to the store."""

from collections.abc import Sequence
from concurrent.futures import Executor
from typing import Literal

from msgspec import DecodeError, Struct

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
    """

    instance_id: str
    role: Literal["entry", "runner"]
    host: str
    port: int
    failure_domain: str
    incarnation: str


class PeerDirectory(KindListener):
    """Knows the processes that are registered.

    :param own: this process's record.
    """

    def __init__(self, own: PeerRecord, store: MarkedStore, log: EventLog) -> None:
        self.own = own
        self._store = store
        self._log = log
        self._peers: dict[str, PeerRecord] = {}

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self._peers = {}
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            instance_id = found.key.split("/", 1)[1]
            record = self._decode(found)
            if record is None:
                self._peers.pop(instance_id, None)
            elif instance_id != self.own.instance_id:
                self._peers[instance_id] = record

    def of_role(self, role: str) -> dict[str, PeerRecord]:
        """Return the other processes of a role, by instance id."""
        return {key: peer for key, peer in self._peers.items() if peer.role == role}

    def find(self, instance_id: str) -> PeerRecord | None:
        """Return one process, or ``None``."""
        return self._peers.get(instance_id)

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

    def start(self) -> None:
        """Register, trying until the store takes it."""
        self._executor.submit(self._register)

    def stop(self) -> None:
        """Try no more."""
        self._is_stopped = True

    def _register(self) -> None:
        while not self._is_stopped:
            try:
                self._store.update(self._key, PeerRecord, lambda _: self._own)
            except StoreError as error:
                self._log.event("registration_failed", error=str(error))
                self._clock.sleep_ms(REGISTER_PAUSE_MS)
            else:
                return
