"""Finds out whether this entry is cut off, so that the balancer sends callers elsewhere.

An entry that reaches neither runners nor the store still reaches targets, but refuses jobs and does
not know the load of the others. One that misses only one of them goes on taking callers, since then
all entries are likely to miss it.
"""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Callable
from concurrent.futures import Executor

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.peers import PeerDirectory

LOOK_INTERVAL_MS = 250.0
SILENCE_MS = 800.0  # runners send sums every 250 ms


class Isolation(AsyncService):
    """Asks the store only while no runner is heard.

    :param peers: knows whether there are runners at all.
    :param ask_store: makes one call that changes nothing; it may block.
    """

    name = "isolation"

    def __init__(
        self,
        peers: PeerDirectory,
        view: LoadView,
        ask_store: Callable[[], object],
        executor: Executor,
        log: EventLog,
    ) -> None:
        self._peers = peers
        self._view = view
        self._ask_store = ask_store
        self._executor = executor
        self._log = log
        self._task: Task[None] | None = None
        self.is_isolated = False

    async def start(self) -> None:
        self._task = create_task(self._run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, object]:
        return {"is_isolated": self.is_isolated}

    async def look(self) -> None:
        """Decide anew."""
        are_silent = self._view.totals_age_ms(now_ms()) > SILENCE_MS
        is_isolated = bool(self._peers.of_role("runner")) and are_silent
        if is_isolated:
            is_isolated = not await self._reaches_store()
        if is_isolated != self.is_isolated:
            self._log.event("entry_isolated" if is_isolated else "entry_connected")
        self.is_isolated = is_isolated

    async def _reaches_store(self) -> bool:
        try:
            await get_running_loop().run_in_executor(self._executor, self._ask_store)
        except StoreError as error:
            self._log.event("store_unreachable", error=str(error))
            return False
        return True

    async def _run(self) -> None:
        while True:
            await sleep(LOOK_INTERVAL_MS / MS_PER_S)
            await self.look()
