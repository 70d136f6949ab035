"""The configuration in force in this process; never goes back to an older version."""

from collections.abc import Callable, Sequence

from ebonyshore.frame.logs import EventLog
from ebonyshore.host.routes import RouteTable, ServiceConfig
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.platform_api import StoredObject


class ConfigService(KindListener):
    """Takes new versions as the watch finds them.

    :param key: of the object that holds the newest version.
    :param decode: returns the configuration of an object's value; raises :exc:`ValueError`.
    """

    def __init__(self, key: str, decode: Callable[[bytes], ServiceConfig], log: EventLog) -> None:
        self._key = key
        self._decode = decode
        self._log = log
        self.table: RouteTable | None = None
        self.change_listeners: list[Callable[[RouteTable], None]] = []

    @property
    def version(self) -> int:
        """The version in force; 0 if none is known yet."""
        return self.table.config.version if self.table else 0

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            if found.key == self._key and found.value is not None:
                self._apply(found)

    def _apply(self, found: StoredObject) -> None:
        try:
            config = self._decode(found.value)
        except ValueError as error:
            self._log.event("config_unreadable", revision=found.version, error=str(error))
            return
        if config.version <= self.version:
            return
        previous = self.version
        self.table = RouteTable(config)
        self._log.event(
            "config_in_force",
            version=config.version,
            previous=previous,
            routes=len(config.routes),
        )
        for listener in self.change_listeners:
            listener(self.table)
