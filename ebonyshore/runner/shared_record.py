"""A periodic duty of runners: all load what is stored once, and one of them stores changes."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError, WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.suspicion_exchange import SuspicionExchange

ERROR_PAUSE_MS = 1_000.0


class SharedRecordKeeper(PeriodicService):
    """Loads a stored part of the suspicions once, then stores changes of it.

    The service runs in every runner; only the live one with the lowest id writes. After a conflict,
    what the other writer has stored is loaded again.

    :param suspicions: updated with what is stored; provides what is to be stored.
    :param load_table: tells whether this runner has the lowest id of the live ones.
    :param run_blocking: runs a blocking call on a thread, see :meth:`JobRegistry.run_blocking`.
    """

    def __init__(
        self,
        suspicions: SuspicionExchange,
        load_table: LoadTable,
        run_blocking: Callable[..., Awaitable],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._suspicions = suspicions
        self._load_table = load_table
        self._run_blocking = run_blocking
        self._clock = clock
        self._log = log
        self._has_loaded = False
        self._paused_until_ms = float("-inf")

    async def run_once(self) -> None:
        if now_ms() < self._paused_until_ms:
            return
        try:
            if not self._has_loaded:
                await self._load()
                self._has_loaded = True
            if self._load_table.has_lowest_runner_id():
                await self._write_changes()
        except StoreError as error:
            self._has_loaded = self._has_loaded and not isinstance(error, WriteConflictError)
            self._paused_until_ms = now_ms() + ERROR_PAUSE_MS
            self._log.event(f"{self.name}_not_synchronized", error=str(error))

    @abstractmethod
    async def _load(self) -> None:
        """Merge what is stored into the suspicions.

        :raises StoreError: if it cannot be read.
        """

    @abstractmethod
    async def _write_changes(self) -> None:
        """Store what has changed.

        :raises StoreError: if it was not stored, or may not have been.
        """
