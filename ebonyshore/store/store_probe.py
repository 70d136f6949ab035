"""Notices that the store was silent, so that watches sent meanwhile do not wait for nothing.

A store that is silent may take a call and never answer it, also after it is back. A watch then
hangs until its own time is over, which is longer than a change may take to be in force. A cheap
read at short intervals notices the silence; when it is over, all waiting watches are sent anew.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.platform_api import ListingStore, StoredObject


class StoreProbe(PeriodicService):
    """Reads one object again and again.

    :param key: of the object.
    :param on_value: called with what was read, which may be seconds old.
    """

    name = "store_probe"
    interval_ms = 700.0

    def __init__(
        self,
        store: ListingStore,
        key: str,
        log: EventLog,
        on_value: Callable[[StoredObject], None],
    ) -> None:
        self._store = store
        self._key = key
        # Of its own, so that reads do not queue behind calls that wait for a silent store.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="probe")
        self._log = log
        self._on_value = on_value
        self.is_silent = False

    async def stop(self) -> None:
        await super().stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> dict[str, object]:
        return {"is_store_silent": self.is_silent}

    async def run_once(self) -> None:
        """Read once; break the watches if the store answers again."""
        was_silent = self.is_silent
        try:
            found = await get_running_loop().run_in_executor(
                self._executor, self._store.get_stale, self._key
            )
        except StoreError as error:
            self.is_silent = True
            if not was_silent:
                self._log.event("store_silent", error=str(error))
            return
        self.is_silent = False
        if found is not None:
            self._on_value(found)
        if was_silent:
            self._log.event("store_answers_again")
            self._store.interrupt_watches()
