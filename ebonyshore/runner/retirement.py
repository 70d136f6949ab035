"""Empties an instance on request: its jobs pass to other runners, then the request is complete."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Awaitable, Callable, Sequence
from concurrent.futures import Executor

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.deployment import Deployment
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.platform_api import ListingStore, StoredObject

HEARD_WITHIN_MS = 2_000.0
RETRY_MS = 500.0


class RetirementHandler(KindListener):
    """Hears requests. One about an instance that is down is answered by the first live runner.

    :param hand_over: passes this runner's jobs to others.
    """

    def __init__(
        self,
        deployment: Deployment,
        store: ListingStore,
        own_id: str,
        hand_over: Callable[[], Awaitable[None]],
        board: LoadBoard,
        executor: Executor,
        log: EventLog,
    ) -> None:
        self._deployment = deployment
        self._store = store
        self._own_id = own_id
        self._hand_over = hand_over
        self._board = board
        self._executor = executor
        self._log = log
        self._tasks: dict[str, Task[None]] = {}

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for found in objects:
            instance_id = found.key.split("/", 1)[1]
            if found.value is not None and instance_id not in self._tasks:
                self._tasks[instance_id] = create_task(self._retire(instance_id, found))

    async def _retire(self, instance_id: str, found: StoredObject) -> None:
        if instance_id == self._own_id:
            await self._hand_over()
            await self._write_until_taken(found)
            return
        await sleep(HEARD_WITHIN_MS / MS_PER_S)
        is_down = instance_id not in self._board.runners()
        if is_down and self._board.is_first_runner():
            await self._write_until_taken(found)

    async def _write_until_taken(self, found: StoredObject) -> None:
        status = self._deployment.encode_retirement(is_complete=True)
        loop = get_running_loop()
        while True:
            try:
                current = await loop.run_in_executor(self._executor, self._store.get, found.key)
                if current is None:
                    return
                await loop.run_in_executor(
                    self._executor, self._store.put_status, found.key, status, current.version
                )
            except StoreError as error:
                self._log.event("retirement_not_written", key=found.key, error=str(error))
                await sleep(RETRY_MS / MS_PER_S)
            else:
                self._log.event("instance_retired", key=found.key)
                return
