"""Reads the configuration for all entries, so that they need not read it themselves."""

from collections.abc import Callable

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_reader import ConfigReader
from ebonyshore.host.config_service import ConfigService
from ebonyshore.link.datagrams import ConfigConfirmed, Datagram
from ebonyshore.link.load_table import LoadReport, LoadTable
from ebonyshore.link.peers import PeerDirectory

MAX_INTERVAL_MS = 700.0
INTERVALS_PER_BOUND = 7  # so that a lease outlasts several reads that fail


def is_reader(own_id: str, is_own_store_silent: bool, runners: dict[str, LoadReport]) -> bool:
    """Return whether this runner reads the configuration for the entries.

    That is the lowest instance id of the live runners whose store answers; if it answers none of
    them, the lowest of all. The store may turn away some instances and serve the others.

    Load pattern: every instance of the fleet needs to know, all day, that nothing has changed.

    :param runners: the latest reports of the other live runners.
    """
    other_readers = [key for key, report in runners.items() if not report.is_store_silent]
    if is_own_store_silent and other_readers:
        return False
    candidates = other_readers if not is_own_store_silent else runners
    return all(own_id < runner for runner in candidates)


class ConfigConfirmer(PeriodicService):
    """Reads the configuration and tells each entry the version, and the clock it had before.

    It does nothing if the configuration has no accounts or there is no bound on removed keys.

    :param revocation_ms: that bound; ``None`` if there is none.
    :param config: the configuration in force.
    :param load_table: provides the entries' clocks and the other runners.
    :param peers: provides the entries' addresses.
    :param is_store_silent: tells whether the store probe of this process gets no answers.
    :param send: sends a datagram at once.
    """

    name = "config_confirmer"

    def __init__(
        self,
        revocation_ms: float | None,
        config: ConfigService,
        reader: ConfigReader,
        load_table: LoadTable,
        peers: PeerDirectory,
        is_store_silent: Callable[[], bool],
        send: Callable[[Datagram, list[tuple[str, int]]], None],
        metrics: Metrics,
    ) -> None:
        self._is_needed = revocation_ms is not None
        self.interval_ms = min(MAX_INTERVAL_MS, (revocation_ms or 0.0) / INTERVALS_PER_BOUND)
        self._config = config
        self._reader = reader
        self._load_table = load_table
        self._peers = peers
        self._is_store_silent = is_store_silent
        self._send = send
        self._metrics = metrics

    async def start(self) -> None:
        if self._is_needed:
            await super().start()

    async def stop(self) -> None:
        await super().stop()
        self._reader.close()

    async def run_once(self) -> None:
        """Read the configuration if this runner is the one that does, and tell the entries."""
        table = self._config.table
        own_id, runners = self._peers.own.instance_id, self._load_table.runners()
        if table is None or table.config.accounts is None:
            return
        if not is_reader(own_id, self._is_store_silent(), runners):
            return
        # The clocks must be those that were known before the read begins.
        reports = self._load_table.entries()
        version = await self._reader.read()
        if version is None:
            return
        peers = self._peers.of_role("entry")
        for entry_id, report in reports.items():
            if entry_id in peers:
                message = ConfigConfirmed(own_id, version, report.incarnation, report.clock_ms)
                self._send(message, [(peers[entry_id].host, peers[entry_id].port)])
        self._metrics.count("config_confirmations_sent", len(reports))
