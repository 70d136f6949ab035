"""Services on an event loop, the kernel that starts and stops them, and the main coroutine."""

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
    """A part of a process that runs on the event loop and that the kernel starts and stops.

    :cvar name: unique in a kernel.
    """

    name: str
    _tasks: tuple[Task[None], ...] = ()
    _on_failure: Callable[[str, BaseException], None] | None = None

    @abstractmethod
    async def start(self) -> None:
        """Start the service.

        Services that were registered earlier have already started.
        """

    def begin_drain(self) -> None:  # noqa: B027 - most services have nothing to drain
        """Begin to finish accepted work; must return at once."""

    def is_drained(self) -> bool:
        """Return whether all accepted work has ended."""
        return True

    async def stop(self) -> None:
        """Stop at once, also with work in progress, and release all resources."""
        for task in self._tasks:
            task.cancel()

    def spawn(self, work: Coroutine[None, None, None]) -> Task[None]:
        """Run ``work`` as a task that :meth:`stop` cancels.

        If the task raises, the handler of :meth:`on_failure` is called, which stops the process.
        """
        task = create_task(work)
        self._tasks = (*self._tasks, task)
        task.add_done_callback(self._report_failure)
        return task

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Set the function to call if a task of the service raises.

        :param handler: called with the name of the service and the exception.
        """
        self._on_failure = handler

    def _report_failure(self, task: Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and self._on_failure is not None:
            self._on_failure(self.name, error)

    def dump(self) -> dict[str, object]:
        """Return the state of the service for the state dump, as types that JSON has."""
        return {}


class PeriodicService(AsyncService):
    """A service that calls :meth:`run_once` repeatedly, first when it starts.

    :cvar interval_ms: time from the end of one call to the start of the next.
    """

    interval_ms: float

    async def start(self) -> None:
        self.spawn(self._run())

    @abstractmethod
    async def run_once(self) -> None:
        """Do the work of one interval. An exception stops the process."""

    async def _run(self) -> None:
        while True:
            await self.run_once()
            await sleep(self.interval_ms / MS_PER_S)


class AsyncKernel(ServiceRegistry[AsyncService]):
    """Starts, drains and stops the services of a process that runs on an event loop."""

    __slots__ = ("_started",)

    def __init__(self) -> None:
        super().__init__()
        self._started: list[AsyncService] = []

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Set the function to call if a task of a registered service raises.

        :param handler: called with the name of the service and the exception.
        """
        for service in self._services.values():
            service.on_failure(handler)

    async def start(self) -> None:
        """Start all services in the order of registration.

        If a service fails to start, those already started are stopped and the exception is raised.
        """
        for service in self._services.values():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def drain(self, limit_ms: float) -> bool:
        """Wait until the services have finished their accepted work.

        :param limit_ms: longest time to wait.
        :return: ``False`` if work was left when ``limit_ms`` had passed.
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
        """Stop the started services in the reverse order of their start."""
        while self._started:
            await self._started.pop().stop()


async def run_until_signal(
    kernel: AsyncKernel, log: EventLog, drain_limit_ms: float, reload: Callable[[], None]
) -> ResultCode:
    """Run a process until SIGTERM or SIGINT, then drain and stop it.

    If a task fails, the process stops without waiting for work, since nothing maintains the state
    of the failed task any more.

    :param drain_limit_ms: longest time to wait for accepted work.
    :param reload: called on SIGHUP.
    :return: ``INTERNAL`` if a task failed, ``STREAM_BROKEN`` if work was left when
        ``drain_limit_ms`` had passed, otherwise ``OK``.
    """
    stop_requested = Event()
    failed_services: list[str] = []

    def stop_on_failure(name: str, error: BaseException) -> None:
        log.event("task_failed", task=name, trace="".join(format_exception(error)))
        failed_services.append(name)
        stop_requested.set()

    _install_signal_handlers(stop_requested, reload)
    get_running_loop().set_exception_handler(lambda _loop, context: _log_loop_error(log, context))
    kernel.on_failure(stop_on_failure)
    await kernel.start()
    log.event("process_started")
    await stop_requested.wait()
    log.event("drain_started", bound_ms=drain_limit_ms)
    is_drained = await kernel.drain(0.0 if failed_services else drain_limit_ms)
    log.event("process_stopping", is_drained=is_drained)
    await kernel.stop()
    if failed_services:
        return ResultCode.INTERNAL
    return ResultCode.OK if is_drained else ResultCode.STREAM_BROKEN


def _install_signal_handlers(stop_requested: Event, reload: Callable[[], None]) -> None:
    loop = get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)


def _log_loop_error(log: EventLog, context: dict[str, object]) -> None:
    """Log an exception that no coroutine awaits; ``context`` comes from the event loop."""
    log.event("loop_error", message=context.get("message"), error=repr(context.get("exception")))
