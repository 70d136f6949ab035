"""The revision of the settings tree that is in force in a process, and how it is updated."""

from collections.abc import Callable
from random import Random
from threading import Lock

from msgspec import MsgspecError
from msgspec.json import decode, encode

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import HistoryLostError, SettingsError, StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import SettingsSnapshot
from ebonyshore.settings.settings_store import (
    HEAD_KEY,
    SettingsChange,
    SettingsHead,
    apply_accepted_changes,
    encode_head,
)
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore.store.marked_write import MarkedStore

INITIAL_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 2_000
PEER_WAIT_MS = 2_500  # entries announce their revision at least every 2.2 s
REQUEST_TIMEOUT_MS = 1_000


class SettingsService:
    """Holds the newest known head and gives readers an immutable settings tree.

    After a start no revision is in force until :meth:`activate` is called, because the first head
    that the process receives may be older than one that its peers, or its own previous run, have
    acted upon. Until then readers get the empty tree of revision 0, under which nothing is served.
    """

    def __init__(self, log: EventLog) -> None:
        self._lock = Lock()
        self._log = log
        self._newest_head = SettingsHead()
        self._head = SettingsHead()
        self._tree = self._head.tree()
        self._is_active = False
        self._needs_full_head = False
        self._encoded_newest: tuple[int, bytes] = (0, b"")
        self._listeners: list[Callable[[SettingsHead], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the service has been activated, so that a revision is in force."""
        return self._is_active

    def current(self) -> SettingsTree:
        """Return the settings tree in force."""
        return self._tree

    def current_head(self) -> SettingsHead:
        """Return the head in force."""
        return self._head

    def newest_head(self) -> SettingsHead:
        """Return the newest known head; before :meth:`activate` it is not yet in force."""
        return self._newest_head

    def encode_newest_head(self) -> bytes:
        """Return the newest head as JSON. The result is cached, as all peers get the same bytes."""
        head = self._newest_head
        revision, data = self._encoded_newest
        if revision != head.revision or not data:
            data = encode_head(head)
            self._encoded_newest = (head.revision, data)
        return data

    def make_snapshot(self, known_revision: int) -> SettingsSnapshot:
        """Return the message that brings a peer to the newest head.

        It contains only the changes that the peer is missing, because a head with 1,400 caller
        accounts has 214 kB and a change about 350 bytes. It contains the whole head if the head no
        longer has all of these changes, or if the peer is missing none.

        :param known_revision: revision that the peer has, or 0 to get the whole head.
        """
        head = self._newest_head
        changes = tuple(change for change in head.recent if change.revision > known_revision)
        if known_revision > 0 and changes and changes[0].revision == known_revision + 1:
            return SettingsSnapshot(head.revision, changes=encode(changes))
        return SettingsSnapshot(head.revision, self.encode_newest_head())

    def adopt_snapshot(self, snapshot: SettingsSnapshot) -> bool:
        """Adopt the head, or the changes to the newest head, that a peer has sent.

        Logs invalid data and ignores it. After invalid changes the next request asks for the whole
        head.

        :return: whether a newer revision was adopted.
        """
        if snapshot.head:
            return self.adopt_encoded(snapshot.head)
        base = self._newest_head
        try:
            changes = decode(snapshot.changes, type=tuple[SettingsChange, ...])
            head = apply_accepted_changes(base, changes)
        except (MsgspecError, SettingsError) as error:
            self._log.event("settings_relay_invalid", detail=str(error))
            self._needs_full_head = True
            return False
        return self.adopt(head)

    def revision_for_request(self) -> int:
        """Return the known revision for a settings request; 0 asks for the whole head."""
        return 0 if self._needs_full_head else self._newest_head.revision

    def subscribe(self, listener: Callable[[SettingsHead], None]) -> None:
        """Call ``listener`` with each head that comes into force, in order of revisions."""
        self._listeners.append(listener)

    def adopt(self, head: SettingsHead) -> bool:
        """Put ``head`` into force if it is newer; before :meth:`activate`, only store it.

        :return: whether ``head`` was newer than the newest known head.
        """
        with self._lock:
            if head.revision <= self._newest_head.revision:
                return False
            self._newest_head = head
            self._needs_full_head = False
            if self._is_active:
                self._put_in_force(head)
            return True

    def adopt_encoded(self, data: bytes) -> bool:
        """Decode a head that a peer has sent and adopt it; log invalid data and ignore it.

        :return: whether a newer revision was adopted.
        """
        try:
            return self.adopt(decode(data, type=SettingsHead))
        except MsgspecError as error:
            self._log.event("settings_relay_invalid", detail=str(error))
            return False

    def activate(self) -> None:
        """Put the newest head into force; from now on, newer heads come into force at once."""
        with self._lock:
            if self._is_active:
                return
            self._is_active = True
            self._put_in_force(self._newest_head)

    def dump(self) -> dict[str, object]:
        """Return the service's part of the state dump."""
        return {
            "is_ready": self._is_active,
            "revision": self._head.revision,
            "newest_revision": self._newest_head.revision,
            "digest": self._head.digest,
        }

    def _put_in_force(self, head: SettingsHead) -> None:
        """Replace the head in force; the caller holds the lock.

        Listeners are called under the lock, so that they see revisions in order.
        """
        self._tree = head.tree()
        self._head = head
        self._log.event("settings_in_force", revision=head.revision)
        for listener in self._listeners:
            listener(head)


class SettingsPuller:
    """Decides which announcements of peers to answer with a request for the newer settings.

    While a request is open, no second peer is asked for the same revision, so that the settings are
    normally transferred once. Not thread-safe.

    :param service: settings service of this process.
    """

    __slots__ = ("_clock", "_requested_ms", "_requested_revision", "_service")

    def __init__(self, service: SettingsService, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._requested_revision = 0
        self._requested_ms = float("-inf")

    def should_request(self, offered_revision: int) -> bool:
        """Record that a peer offers a revision; return whether to request it from that peer now.

        If the result is ``True``, the caller must send the request. It counts as failed if the
        revision has not arrived after :data:`REQUEST_TIMEOUT_MS`.
        """
        if offered_revision <= self._service.newest_head().revision:
            return False
        now_ms = self._clock.monotonic_ms()
        is_request_open = now_ms - self._requested_ms < REQUEST_TIMEOUT_MS
        if is_request_open and offered_revision <= self._requested_revision:
            return False
        self._requested_revision = offered_revision
        self._requested_ms = now_ms
        return True


class SettingsWatcher(Task[None]):
    """Reads the head from the object store, then watches it for changes with long polling.

    Activates the settings service when the store has answered. If the store is unavailable, the
    service is activated once peers have had :data:`PEER_WAIT_MS` to send their revisions and at
    least one of them has done so.

    :param store: object store of the head.
    :param service: settings service that adopts the heads.
    :param watch_timeout_ms: how long each watch call waits for a change.
    :param should_watch: ``False`` for a process that gets changes from its peers and reads the
        store only when it starts.
    """

    def __init__(
        self,
        store: MarkedStore,
        service: SettingsService,
        watch_timeout_ms: int,
        clock: Clock,
        log: EventLog,
        should_watch: bool = True,
    ) -> None:
        super().__init__("settings-watcher", clock)
        self._should_watch = should_watch
        self._store = store
        self._service = service
        self._watch_timeout_ms = watch_timeout_ms
        self._log = log
        self._random = Random()
        self._store_revision: int | None = None
        self._next_ms: float | None = 0.0
        self._retry_delay_ms = INITIAL_RETRY_DELAY_MS
        self._peer_wait_start_ms: float | None = None
        self._is_stopping = False

    def handle(self, message: None) -> None:
        """Do nothing: no messages are sent to the watcher."""

    def next_timer_ms(self) -> float | None:
        return self._next_ms

    def stop(self) -> None:
        self._is_stopping = True
        self._store.store.cancel_watches()
        super().stop()

    def on_timer(self) -> None:
        if self._is_stopping:
            self._next_ms = None
            return
        try:
            self._read() if self._store_revision is None else self._watch(self._store_revision)
        except HistoryLostError as error:
            # The changes since the watched revision cannot be read any more, but the head can.
            self._store_revision = None
            self._back_off(error)
            return
        except (StoreError, MsgspecError) as error:
            self._back_off(error)
            return
        self._retry_delay_ms = INITIAL_RETRY_DELAY_MS
        self._service.activate()
        if not self._should_watch:
            self._next_ms = None

    def _read(self) -> None:
        """Read the head once, because a watch returns nothing before the next change."""
        record = self._store.read(HEAD_KEY, SettingsHead)
        if record is not None:
            self._service.adopt(record.body)
        self._store_revision = record.version if record else 0

    def _watch(self, since: int) -> None:
        result = self._store.store.watch(HEAD_KEY, since, self._watch_timeout_ms)
        for change in result.changes:
            if change.key == HEAD_KEY and change.value is not None:
                record = self._store.decode(HEAD_KEY, change.version, change.value, SettingsHead)
                self._service.adopt(record.body)
        self._store_revision = result.revision

    def _back_off(self, error: Exception) -> None:
        now_ms = self.clock.monotonic_ms()
        # The delay has its initial value only at the first failure in a row; only that is logged.
        if self._retry_delay_ms == INITIAL_RETRY_DELAY_MS:
            self._log.event("settings_store_unavailable", detail=str(error))
        self._next_ms = now_ms + self._retry_delay_ms * self._random.uniform(0.5, 1.0)
        self._retry_delay_ms = min(2 * self._retry_delay_ms, MAX_RETRY_DELAY_MS)
        if self._service.is_ready:
            return
        if self._peer_wait_start_ms is None:
            self._peer_wait_start_ms = now_ms
        is_wait_over = now_ms - self._peer_wait_start_ms >= PEER_WAIT_MS
        if is_wait_over and self._service.newest_head().revision > 0:
            self._service.activate()
