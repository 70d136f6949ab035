"""Handles requests to retire an instance: hands its jobs over and marks the request as complete."""

from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Awaitable, Callable, Sequence
from concurrent.futures import Executor

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.deployment import Deployment
from ebonyshore.link.load_table import LoadTable
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.platform_api import ListingStore, StoredObject

DOWN_CHECK_DELAY_MS = 2_000.0  # a live runner is heard from within this time
RETRY_DELAY_MS = 500.0


class RetirementHandler(KindListener):
    """Watches the requests to retire instances.

    A runner handles the requests for its own instance. A request for an instance that is down is
    completed by the live runner with the lowest id.

    :param deployment: encodes the completion of a request.
    :param store: the store that holds the requests.
    :param own_id: instance id of this runner.
    :param hand_over: hands this runner's jobs over to other runners.
    :param load_table: tells which runners are live.
    :param executor: runs blocking calls to the store.
    """

    def __init__(
        self,
        deployment: Deployment,
        store: ListingStore,
        own_id: str,
        hand_over: Callable[[], Awaitable[None]],
        load_table: LoadTable,
        executor: Executor,
        log: EventLog,
    ) -> None:
        self._deployment = deployment
        self._store = store
        self._own_id = own_id
        self._hand_over = hand_over
        self._load_table = load_table
        self._executor = executor
        self._log = log
        self._tasks: dict[str, Task[None]] = {}

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for request in objects:
            instance_id = request.key.split("/", 1)[1]
            if request.value is not None and instance_id not in self._tasks:
                self._tasks[instance_id] = create_task(self._retire(instance_id, request))

    async def _retire(self, instance_id: str, request: StoredObject) -> None:
        if instance_id == self._own_id:
            await self._hand_over()
            await self._write_completion(request)
            return
        await sleep(DOWN_CHECK_DELAY_MS / MS_PER_S)
        is_down = instance_id not in self._load_table.runners()
        if is_down and self._load_table.has_lowest_runner_id():
            await self._write_completion(request)

    async def _write_completion(self, request: StoredObject) -> None:
        """Mark a request as complete; retries until it is stored or the request is gone."""
        status = self._deployment.encode_retirement(is_complete=True)
        loop = get_running_loop()
        while True:
            try:
                current = await loop.run_in_executor(self._executor, self._store.get, request.key)
                if current is None:
                    return
                await loop.run_in_executor(
                    self._executor, self._store.put_status, request.key, status, current.version
                )
            except StoreError as error:
                self._log.event("retirement_not_written", key=request.key, error=str(error))
                await sleep(RETRY_DELAY_MS / MS_PER_S)
            else:
                self._log.event("instance_retired", key=request.key)
                return
