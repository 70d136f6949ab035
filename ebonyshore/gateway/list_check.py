"""Reads the list of targets anew, for an entry that cannot tell whether its own list is old.

A watch of the list may be silent without an error, and an entry that no other process answers may
be cut off from them. What it knows of the list is then no proof that there are no other versions.
"""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, get_running_loop, shield, timeout, wait
from collections.abc import Callable, Iterable
from concurrent.futures import Executor

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.target import TargetGroup
from ebonyshore.host.targets import TargetTable

CHECK_TIMEOUT_MS = 600.0  # a caller waits for it


class ListCheck(ABC):
    """Confirms the list of targets."""

    @abstractmethod
    async def confirm(self) -> bool:
        """Read the list, and add the groups in it to the recent ones of the target table.

        :return: whether it was read completely, by a call that began after this one.
        """


class StoreListCheck(ListCheck):
    """Confirms the list by a call to the store; requests that wait at the same time share it.

    :param read_groups: returns the groups of the listed targets; blocks and may raise
        :class:`StoreError`.
    :param table: the table to add the groups to.
    :param executor: runs the calls.
    """

    __slots__ = ("_executor", "_log", "_metrics", "_read_groups", "_reading", "_table")

    def __init__(
        self,
        read_groups: Callable[[], Iterable[TargetGroup]],
        table: TargetTable,
        executor: Executor,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._read_groups = read_groups
        self._table = table
        self._executor = executor
        self._log = log
        self._metrics = metrics
        self._reading: Task[bool] | None = None

    async def confirm(self) -> bool:
        try:
            async with timeout(CHECK_TIMEOUT_MS / MS_PER_S):
                return await shield(await self._next_reading())
        except TimeoutError:
            return False

    async def _next_reading(self) -> "Task[bool]":
        """Return a reading of the list that has not begun before the call."""
        earlier = self._reading
        if earlier is not None:
            await wait([earlier])
        if self._reading is earlier:
            self._reading = create_task(self._read())
        return self._reading

    async def _read(self) -> bool:
        try:
            groups = await get_running_loop().run_in_executor(self._executor, self._read_groups)
        except StoreError as error:
            self._log.event("target_list_not_confirmed", error=str(error))
            return False
        self._metrics.count("target_list_checks")
        for group in groups:
            self._table.note_group(group, now_ms())
        return True
