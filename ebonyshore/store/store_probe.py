"""Detects that the store has been unresponsive, and then restarts the pending watches.

An unresponsive store may accept a request and never respond to it, not even after it has recovered.
A watch then blocks until its timeout, which is longer than the time within which a change must take
effect. Cheap reads at short intervals detect that the store is unresponsive; when it responds
again, all pending watches are interrupted so that they are sent again.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.platform_api import ListingStore, StoredObject

# Age of an answer up to which the process is in touch with the store: a few reads.
MAX_ANSWER_AGE_MS = 2_500.0


class StoreProbe(PeriodicService):
    """Reads one object periodically, and interrupts the watches of the store after an outage.

    :param store: the store to check.
    :param key: key of the object to read.
    :param clock: its boot clock is used, which advances while the instance is suspended.
    :param on_value: called with the object each time it is read; the version may be seconds old.
    :ivar is_silent: whether the latest read failed.
    """

    name = "store_probe"
    interval_ms = 700.0

    def __init__(
        self,
        store: ListingStore,
        key: str,
        clock: Clock,
        log: EventLog,
        on_value: Callable[[StoredObject], None],
    ) -> None:
        self._store = store
        self._key = key
        # A separate thread, so that reads are not queued behind calls that block on an unresponsive
        # store.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="probe")
        self._clock = clock
        self._log = log
        self._on_value = on_value
        self._asked_ms = float("-inf")  # on the boot clock, for the latest answer
        self.is_silent = False

    def is_in_touch(self) -> bool:
        """Return whether the store has answered lately; not right after a suspension."""
        age_ms = self._clock.boot_ms() - self._asked_ms
        return not self.is_silent and age_ms <= MAX_ANSWER_AGE_MS

    async def stop(self) -> None:
        await super().stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        return {"is_store_silent": self.is_silent}

    async def run_once(self) -> None:
        """Read the object; interrupt the pending watches if the store has recovered."""
        was_silent = self.is_silent
        asked_ms = self._clock.boot_ms()
        try:
            stored = await get_running_loop().run_in_executor(
                self._executor, self._store.get_stale, self._key
            )
        except StoreError as error:
            self.is_silent = True
            if not was_silent:
                self._log.event("store_silent", error=str(error))
            return
        self.is_silent = False
        self._asked_ms = asked_ms
        if stored is not None:
            self._on_value(stored)
        if was_silent:
            self._log.event("store_answers_again")
            self._store.interrupt_watches()
