"""The revision of the settings tree that is in force in a process."""

from collections.abc import Callable
from threading import Lock

from msgspec import DecodeError
from msgspec.json import decode

from ebonyshore.clock import Clock
from ebonyshore.errors import StoreError
from ebonyshore.logs import EventLog
from ebonyshore.marked_write import MarkedStore
from ebonyshore.settings_store import HEAD_KEY, SettingsHead
from ebonyshore.settings_tree import SettingsTree
from ebonyshore.task import Task

RETRY_PAUSE_MS = 500


class SettingsService:
    """Holds the newest head seen; readers get one immutable tree."""

    def __init__(self, log: EventLog) -> None:
        self._lock = Lock()
        self._log = log
        self._head = SettingsHead()
        self._tree = self._head.tree()
        self._listeners: list[Callable[[SettingsHead], None]] = []

    def current(self) -> SettingsTree:
        """Return the tree in force."""
        return self._tree

    def head(self) -> SettingsHead:
        """Return the head in force."""
        return self._head

    def subscribe(self, listener: Callable[[SettingsHead], None]) -> None:
        """Call ``listener`` with each head that comes into force."""
        self._listeners.append(listener)

    def adopt(self, head: SettingsHead) -> bool:
        """Put ``head`` into force if it is newer.

        :return: whether it was.
        """
        with self._lock:
            if head.revision <= self._head.revision:
                return False
            self._tree = head.tree()
            self._head = head
        self._log.event("settings_in_force", revision=head.revision)
        for listener in self._listeners:
            listener(head)
        return True

    def adopt_encoded(self, data: bytes) -> bool:
        """Put a relayed head into force if it is newer and well formed."""
        try:
            return self.adopt(decode(data, type=SettingsHead))
        except DecodeError:
            return False


class SettingsWatcher(Task[None]):
    """Follows the head in the object store with one waiting watch.

    :param watch_timeout_ms: how long each watch stays open.
    """

    def __init__(
        self, store: MarkedStore, service: SettingsService, watch_timeout_ms: int, clock: Clock
    ) -> None:
        super().__init__("settings-watcher", clock)
        self._store = store
        self._service = service
        self._watch_timeout_ms = watch_timeout_ms
        self._since = 0
        self._next_ms = 0.0

    def handle(self, message: None) -> None:
        """The watcher gets no messages."""

    def stop(self) -> None:
        self._store.store.interrupt_watches()
        super().stop()

    def timer_ms(self) -> float | None:
        return self._next_ms

    def on_timer(self) -> None:
        try:
            result = self._store.store.watch(HEAD_KEY, self._since, self._watch_timeout_ms)
        except StoreError:
            self._next_ms = self.clock.monotonic_ms() + RETRY_PAUSE_MS
            return
        self._since = result.revision
        for change in result.changes:
            if change.key == HEAD_KEY and change.value is not None:
                record = self._store.decode(HEAD_KEY, change.version, change.value, SettingsHead)
                self._service.adopt(record.body)
