"""The environment of a process on a deployment, shared by all its services."""

import sys
from concurrent.futures import ThreadPoolExecutor
from random import Random
from uuid import uuid4

from eliot import add_destinations, remove_destination

from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore.frame.errors import SettingsError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.stdout_log import NonBlockingStream, RateLimitedDestination
from ebonyshore.host.deployment import Deployment
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.link.peers import PeerRecord
from ebonyshore.store.counting_store import CountingStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.unreadable_objects import UnreadableObjects

STORE_THREADS = 8
MAX_IDLE_CONNECTIONS = 16  # to each address


class HostEnvironment:
    """Settings, clock, log, metrics, store and connections of one process.

    :param deployment: the platform that the process runs on.
    :param role: ``entry`` or ``runner``.
    :raises SettingsError: if the settings of the process are missing or invalid.
    """

    def __init__(self, deployment: Deployment, role: str) -> None:
        self.deployment = deployment
        self.role = role
        self.settings = deployment.load_settings()
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.incarnation = uuid4().hex
        self.log = EventLog(instance_id=self.settings.instance_id, role=role)
        unreadable = UnreadableObjects(self.log, self.metrics)
        store = deployment.open_store(self.settings, unreadable)
        self.store = CountingStore(store, self.metrics)
        self.marked_store = MarkedStore(self.store, self.clock)
        self.executor = ThreadPoolExecutor(STORE_THREADS, thread_name_prefix="store")
        self.pool = ConnectionPool(MAX_IDLE_CONNECTIONS)
        self.random = Random()
        self._destination = RateLimitedDestination(
            NonBlockingStream(sys.stdout.fileno()), self.clock
        )

    def peer_record(self) -> PeerRecord:
        """Return the record under which other processes find this one."""
        settings = self.settings
        return PeerRecord(
            settings.instance_id,
            self.role,
            settings.ip,
            settings.first_internal_port,
            settings.failure_domain,
            self.incarnation,
        )

    def open_log(self) -> None:
        """Start writing the log to standard output."""
        add_destinations(self._destination)

    def reload(self) -> None:
        """Read the settings file again and log whether it changed.

        Addresses in use stay as they are. If the file is invalid, the old settings stay in force.
        """
        try:
            settings = self.deployment.load_settings()
        except SettingsError as error:
            self.log.event("reload_failed", error=str(error))
            return
        self.log.event("settings_reloaded", is_changed=settings != self.settings)
        self.settings = settings

    def close(self) -> None:
        """Cancel waiting calls to the store and stop writing the log."""
        self.store.cancel_watches()
        self.executor.shutdown(wait=False, cancel_futures=True)
        remove_destination(self._destination)
