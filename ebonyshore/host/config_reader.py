"""Reads the newest configuration from the store."""

from asyncio import get_running_loop
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.store.platform_api import ListingStore


class ConfigReader:
    """Reads the configuration linearizably, and puts newer versions in force.

    Reads are made on a thread of their own, so that they are not queued behind calls that block on
    an unresponsive store.

    :param store: the store to read.
    :param key: store key of the configuration.
    :param config: told of each object that was read.
    """

    def __init__(
        self, store: ListingStore, key: str, config: ConfigService, log: EventLog, metrics: Metrics
    ) -> None:
        self._store = store
        self._key = key
        self._config = config
        self._log = log
        self._metrics = metrics
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="config-read")
        self._has_failed = False

    async def read(self) -> int | None:
        """Return the number of the newest version; it is in force afterwards.

        Only one read may be made at a time.

        :return: ``None`` if the store did not answer, or has no configuration that can be decoded.
        """
        loop = get_running_loop()
        try:
            stored = await loop.run_in_executor(self._executor, self._store.get, self._key)
        except StoreError as error:
            self._record_failure(str(error))
            return None
        version = None if stored is None else self._config.apply(stored)
        if version is None:
            self._record_failure("there is no readable configuration")
            return None
        self._metrics.count("config_reads")
        self._has_failed = False
        return version

    def close(self) -> None:
        """Make no further reads; does not wait for one that is in progress."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _record_failure(self, error: str) -> None:
        self._metrics.count("config_reads_failed")
        if not self._has_failed:
            self._log.event("config_read_failed", error=error)
        self._has_failed = True
