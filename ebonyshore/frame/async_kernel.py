"""The micro-kernel of processes that run on an event loop, and their life from start to stop."""

import signal
from abc import ABC, abstractmethod
from asyncio import Event, get_running_loop, sleep
from collections.abc import Callable
from typing import TypeVar

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms

ServiceT = TypeVar("ServiceT", bound="AsyncService")
DRAIN_POLL_MS = 20


class AsyncService(ABC):
    """A part of a process with a name and a life cycle, on the process's event loop."""

    name: str

    @abstractmethod
    async def start(self) -> None:
        """Begin work. Services registered before this one are running."""

    def begin_drain(self) -> None:  # noqa: B027 - most services have nothing to drain
        """Begin to let accepted work end."""

    def is_drained(self) -> bool:
        """Return whether all accepted work has ended."""
        return True

    @abstractmethod
    async def stop(self) -> None:
        """End at once and release resources."""

    def dump(self) -> dict[str, object]:
        """Return the service's state for the state dump; values must be JSON types."""
        return {}


class AsyncKernel:
    """Holds the services of one process."""

    __slots__ = ("_services", "_started")

    def __init__(self) -> None:
        self._services: dict[str, AsyncService] = {}
        self._started: list[AsyncService] = []

    def register(self, service: AsyncService) -> None:
        """Add a service; the order of registration is the order of start."""
        if service.name in self._services:
            raise EbonyshoreError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service called ``name``.

        :raises EbonyshoreError: if there is none or it is not a ``kind``.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise EbonyshoreError(f"no service {name!r} of type {kind.__name__}")
        return service

    async def start(self) -> None:
        """Start all services in order; on a failure stop those already started."""
        for service in self._services.values():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def drain(self, bound_ms: float) -> bool:
        """Let accepted work end.

        :return: ``False`` if work was still left after ``bound_ms``.
        """
        for service in reversed(self._started):
            service.begin_drain()
        end_ms = now_ms() + bound_ms
        while not all(service.is_drained() for service in self._started):
            if now_ms() >= end_ms:
                return False
            await sleep(DRAIN_POLL_MS / MS_PER_S)
        return True

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()

    def dump(self) -> dict[str, object]:
        """Return the state of every service, by name."""
        return {name: service.dump() for name, service in self._services.items()}


async def run_until_signal(
    kernel: AsyncKernel, log: EventLog, drain_bound_ms: float, reload: Callable[[], None]
) -> bool:
    """Run a process until SIGTERM or SIGINT, then drain and stop it.

    :param drain_bound_ms: longest time for accepted work to end.
    :param reload: called on SIGHUP.
    :return: whether all work had ended.
    """
    stop_requested = Event()
    loop = get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await kernel.start()
    log.event("process_started")
    await stop_requested.wait()
    log.event("drain_started", bound_ms=drain_bound_ms)
    is_drained = await kernel.drain(drain_bound_ms)
    log.event("process_stopping", is_drained=is_drained)
    await kernel.stop()
    return is_drained
