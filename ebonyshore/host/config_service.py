"""The configuration in force in this process. It never reverts to an older version."""

from collections.abc import Callable, Sequence

from ebonyshore.frame.logs import EventLog
from ebonyshore.host.routes import RouteTable, ServiceConfig
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.platform_api import StoredObject


class ConfigService(KindListener):
    """Puts new versions of the configuration in force as the watch delivers them.

    A version that cannot be decoded is logged and ignored.

    :param key: store key of the object that holds the newest version.
    :param decode: decodes the value of an object; raises :exc:`ValueError` if it is invalid.
    :ivar table: routes of the version in force; ``None`` if no version is known yet.
    :ivar change_listeners: called with the new table after each change.
    """

    def __init__(self, key: str, decode: Callable[[bytes], ServiceConfig], log: EventLog) -> None:
        self._key = key
        self._decode = decode
        self._log = log
        self.table: RouteTable | None = None
        self.change_listeners: list[Callable[[RouteTable], None]] = []
        self._decoded_revision: int | None = None
        self._decoded_version: int | None = None

    @property
    def version(self) -> int:
        """Number of the version in force; 0 if no version is known yet."""
        return self.table.config.version if self.table else 0

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            if stored.key == self._key and stored.value is not None:
                self.apply(stored)

    def apply(self, stored: StoredObject) -> int | None:
        """Put an object that was read in force if its version is newer.

        Objects are read far more often than they change, so the last one is not decoded again.

        :return: the number of its version; ``None`` if it cannot be decoded.
        """
        if stored.version != self._decoded_revision:
            self._decoded_revision = stored.version
            self._decoded_version = self._decode_version(stored)
        return self._decoded_version

    def _decode_version(self, stored: StoredObject) -> int | None:
        try:
            config = self._decode(stored.value)
        except ValueError as error:
            self._log.event("config_unreadable", revision=stored.version, error=str(error))
            return None
        if config.version > self.version:
            self._put_in_force(config)
        return config.version

    def _put_in_force(self, config: ServiceConfig) -> None:
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
