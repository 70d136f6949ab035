"""Keeps an entry's lease on the configuration, by the reads of a runner or by its own."""

from asyncio import Event, timeout
from collections.abc import Callable

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_lease import ConfigConfirmation, ConfigLease, ReadSchedule
from ebonyshore.host.config_reader import ConfigReader
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import RouteTable
from ebonyshore.link.datagrams import ConfigConfirmed

# The boot clock may advance while the event loop's clock stands still.
MAX_WAIT_MS = 500.0


class LeaseKeeper(AsyncService):
    """Tells whether the configuration in force may be relied on for callers' keys.

    It needs no lease, and makes no reads, if the configuration has no accounts or the deployment
    has no bound on the use of removed keys.

    :param revocation_ms: that bound; ``None`` if there is none.
    :param incarnation: this run of the process; confirmations for an earlier one are ignored.
    :param clock: its boot clock is the time of the lease.
    :param random: returns a number from 0 to 1; it spreads the reads of many entries.
    """

    name = "config_lease"

    def __init__(
        self,
        revocation_ms: float | None,
        incarnation: str,
        config: ConfigService,
        reader: ConfigReader,
        clock: Clock,
        random: Callable[[], float],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._lease = None if revocation_ms is None else ConfigLease(revocation_ms)
        self._schedule = ReadSchedule(random)
        self._incarnation = incarnation
        self._config = config
        self._reader = reader
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._was_valid = True
        self._wake_event = Event()
        config.change_listeners.append(self._on_new_version)

    def clock_ms(self) -> float:
        """Return the time of the lease, for reports to the runners."""
        return self._clock.boot_ms()

    def is_valid(self) -> bool:
        """Return whether requests with a key may be admitted now; logs each change."""
        remaining_ms = self._remaining_ms()
        is_valid = remaining_ms is None or remaining_ms > 0.0
        if is_valid != self._was_valid:
            self._was_valid = is_valid
            event = "config_lease_regained" if is_valid else "config_lease_expired"
            self._log.event(event, version=self._config.version)
        return is_valid

    def on_confirmed(self, message: ConfigConfirmed) -> None:
        """Extend the lease by what a runner has read."""
        if self._lease is None or message.incarnation != self._incarnation:
            return
        self._metrics.count("config_confirmations")
        self._confirm(message.version, message.clock_ms)
        if self._lease.is_behind(self._config.version):
            self._wake_event.set()

    async def start(self) -> None:
        if self._lease is not None:
            self.spawn(self._run(self._lease))

    async def stop(self) -> None:
        await super().stop()
        self._reader.close()

    def dump(self) -> dict[str, object]:
        table, remaining_ms = self._config.table, self._remaining_ms()
        accounts = table.config.accounts if table else None
        return {
            "accounts": None if accounts is None else len(accounts),
            "is_valid": self.is_valid(),
            # Infinite before the first confirmation, which JSON cannot express.
            "remaining_ms": None if remaining_ms == float("-inf") else remaining_ms,
        }

    def _remaining_ms(self) -> float | None:
        """Return the time until the lease ends; ``None`` if none is needed."""
        if self._lease is None or not self._has_accounts():
            return None
        return self._lease.remaining_ms(self._config.version, self._clock.boot_ms())

    def _has_accounts(self) -> bool:
        table = self._config.table
        return table is not None and table.config.accounts is not None

    def _on_new_version(self, _table: RouteTable) -> None:
        self._wake_event.set()

    def _confirm(self, version: int, read_began_ms: float) -> None:
        self._lease.confirm(ConfigConfirmation(version, read_began_ms), self._config.version)

    async def _run(self, lease: ConfigLease) -> None:
        while True:
            wait_ms = MAX_WAIT_MS
            if self._has_accounts():
                self._metrics.set_gauge("config_lease_ms", max(0.0, self._remaining_ms()))
                due_ms = self._schedule.due_ms(lease, self._config.version)
                wait_ms = min(wait_ms, due_ms - self._clock.boot_ms())
            if wait_ms <= 0.0:
                await self._read()
            else:
                await self._wait(wait_ms)

    async def _wait(self, limit_ms: float) -> None:
        try:
            async with timeout(limit_ms / MS_PER_S):
                await self._wake_event.wait()
        except TimeoutError:
            pass
        self._wake_event.clear()

    async def _read(self) -> None:
        began_ms = self._clock.boot_ms()
        version = await self._reader.read()
        if version is not None:
            self._confirm(version, began_ms)
        self._schedule.record_read(began_ms, has_succeeded=version is not None)
