"""The micro-kernel of processes that run on an event loop, and their life from start to stop."""

import signal
from abc import ABC, abstractmethod
from asyncio import Event, Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from traceback import format_exception

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.service_registry import ServiceRegistry

DRAIN_POLL_INTERVAL_MS = 20


class AsyncService(ABC):
    """A part of a process with a name and a life cycle, on the process's event loop."""

    name: str
    _tasks: tuple[Task[None], ...] = ()
    _on_failure: Callable[[str, BaseException], None] | None = None

    @abstractmethod
    async def start(self) -> None:
        """Begin work. Services registered before this one are running."""

    def begin_drain(self) -> None:  # noqa: B027 - most services have nothing to drain
        """Begin to let accepted work end."""

    def is_drained(self) -> bool:
        """Return whether all accepted work has ended."""
        return True

    async def stop(self) -> None:
        """End at once and release resources."""
        for task in self._tasks:
            task.cancel()

    def spawn(self, work: Coroutine[None, None, None]) -> Task[None]:
        """Run ``work`` until the service stops; the process ends if it raises."""
        task = create_task(work)
        self._tasks = (*self._tasks, task)
        task.add_done_callback(self._report_failure)
        return task

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Call ``handler`` with the service's name if one of its tasks raises."""
        self._on_failure = handler

    def _report_failure(self, task: Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and self._on_failure is not None:
            self._on_failure(self.name, error)

    def dump(self) -> dict[str, object]:
        """Return the service's state for the state dump; values must be JSON types."""
        return {}


class PeriodicService(AsyncService):
    """A service that does one thing again and again.

    :cvar interval_ms: from the end of one time to the start of the next.
    """

    interval_ms: float

    async def start(self) -> None:
        self.spawn(self._run())

    @abstractmethod
    async def run_once(self) -> None:
        """Do it once."""

    async def _run(self) -> None:
        while True:
            await self.run_once()
            await sleep(self.interval_ms / MS_PER_S)


class AsyncKernel(ServiceRegistry[AsyncService]):
    """Holds the services of one process."""

    __slots__ = ("_started",)

    def __init__(self) -> None:
        super().__init__()
        self._started: list[AsyncService] = []

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Call ``handler`` with the name of a service whose task raises."""
        for service in self._services.values():
            service.on_failure(handler)

    async def start(self) -> None:
        """Start all services in order; on a failure stop those already started."""
        for service in self._services.values():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def drain(self, limit_ms: float) -> bool:
        """Let accepted work end.

        :return: ``False`` if work was still left after ``bound_ms``.
        """
        for service in reversed(self._started):
            service.begin_drain()
        end_ms = now_ms() + limit_ms
        while not all(service.is_drained() for service in self._started):
            if now_ms() >= end_ms:
                return False
            await sleep(DRAIN_POLL_INTERVAL_MS / MS_PER_S)
        return True

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()


async def run_until_signal(
    kernel: AsyncKernel, log: EventLog, drain_limit_ms: float, reload: Callable[[], None]
) -> ResultCode:
    """Run a process until SIGTERM or SIGINT, then drain and stop it.

    A process with a failed task stops at once, since the task's state is unattended.

    :param drain_bound_ms: longest time for accepted work to end.
    :param reload: called on SIGHUP.
    :return: ``STREAM_BROKEN`` if work was left at the bound, ``INTERNAL`` if a task failed.
    """
    stop_requested = Event()
    failed: list[str] = []

    def fail(name: str, error: BaseException) -> None:
        log.event("task_failed", task=name, trace="".join(format_exception(error)))
        failed.append(name)
        stop_requested.set()

    _handle_signals(stop_requested, reload)
    get_running_loop().set_exception_handler(lambda _loop, context: _log_error(log, context))
    kernel.on_failure(fail)
    await kernel.start()
    log.event("process_started")
    await stop_requested.wait()
    log.event("drain_started", bound_ms=drain_limit_ms)
    is_drained = await kernel.drain(0.0 if failed else drain_limit_ms)
    log.event("process_stopping", is_drained=is_drained)
    await kernel.stop()
    if failed:
        return ResultCode.INTERNAL
    return ResultCode.OK if is_drained else ResultCode.STREAM_BROKEN


def _handle_signals(stop_requested: Event, reload: Callable[[], None]) -> None:
    loop = get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)


def _log_error(log: EventLog, context: dict[str, object]) -> None:
    """Log an error that nobody waits for."""
    log.event("loop_error", message=context.get("message"), error=repr(context.get("exception")))
