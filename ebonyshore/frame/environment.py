"""The environment of a process: its settings and the objects made from them."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING, TextIO
from uuid import uuid4

from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore.frame.errors import SettingsError
from ebonyshore.frame.logs import EventLog, KeyValueDestination, close_log, open_log
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import ProcessSettings, load_settings
from ebonyshore.settings.settings_store import SettingsStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_http import PlatformHttp
from ebonyshore.store.unreadable_objects import UnreadableObjects

if TYPE_CHECKING:
    from ebonyshore.batch.job_store import JobStore

MAX_LOGGED_BYTES = 120  # of a record of the instance list, by which an operator finds it


class Environment:
    """Holds the objects that all parts of a process share.

    :param settings: the process settings.
    :param role: ``entry`` or ``agent``.
    :param clock: :class:`SystemClock` if omitted.

    :ivar incarnation: random id of this run of the process.
    """

    def __init__(self, settings: ProcessSettings, role: str, clock: Clock | None = None) -> None:
        self.settings = settings
        self.role = role
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.incarnation = uuid4().hex
        self.log = EventLog(instance_id=settings.instance.instance_id, role=role)
        unusable = UnreadableObjects(self.log, self.metrics, "instance_unusable")
        self.platform = PlatformHttp(
            settings.platform.url,
            settings.platform.timeout_ms,
            lambda record, reason: unusable.report(
                record[:MAX_LOGGED_BYTES].decode("latin-1"), record, reason
            ),
        )
        self.store = MarkedStore(self.platform, self.clock)
        self._log_stream: TextIO | None = None
        self._destination: KeyValueDestination | None = None

    def job_store(self) -> "JobStore":
        """Return a new client of the batch jobs in the object store."""
        from ebonyshore.batch.job_store import JobStore  # not loaded by agents, to save memory

        batch = self.settings.batch
        return JobStore(self.store, self.clock, batch.index_buckets, batch.shard_items)

    def settings_store(self) -> SettingsStore:
        """Return a new client of the settings tree and its changes in the object store."""
        return SettingsStore(self.store, self.clock)

    def open_log(self) -> None:
        """Start to write the log to the file of ``log.path``, or to standard error.

        :raises SettingsError: if the file cannot be opened.
        """
        path = self.settings.log.path
        self._log_stream = open_log_file(Path(path)) if path else sys.stderr
        self._destination = open_log(self._log_stream, self.clock)

    def close(self) -> None:
        """Close the log and the idle connections to the platform."""
        self.platform.close()
        if self._destination is not None:
            close_log(self._destination)
        if self._log_stream not in (None, sys.stderr):
            self._log_stream.close()


def make_environment(settings_path: Path, role: str) -> Environment:
    """Return the environment of a process with the settings of a file.

    :param role: ``entry`` or ``agent``.
    :raises SettingsError: if the settings file cannot be read or is invalid.
    """
    return Environment(load_settings(settings_path), role)


def open_log_file(path: Path) -> TextIO:
    """Open a log file for appending.

    :raises SettingsError: if the file cannot be opened.
    """
    try:
        return path.open("a", encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"log.path: {path}: {error.strerror}") from error
