"""The kernel of a daemon process: starts, drains and stops its services in order."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.service_registry import ServiceRegistry


class Service(ABC):
    """A part of a process that the kernel starts and stops.

    The methods are called by the owner of the kernel, one at a time.

    :cvar name: unique in a kernel.
    """

    name: str

    @abstractmethod
    def start(self) -> None:
        """Start the service.

        Services that were registered earlier have already started.
        """

    def begin_drain(self) -> None:  # noqa: B027 - most services have nothing to drain
        """Stop accepting work; must return at once."""

    def is_drained(self) -> bool:
        """Return whether all accepted work has ended."""
        return True

    @abstractmethod
    def stop(self) -> None:
        """Stop at once, also with work in progress, and release all resources."""

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:  # noqa: B027
        """Set the function to call if the service ends with an exception.

        :param handler: called with the name of the service and the exception.
        """

    def dump(self) -> dict[str, object]:
        """Return the state of the service for the state dump, as types that JSON has."""
        return {}


class Kernel(ServiceRegistry[Service]):
    """Starts, drains and stops the services of a process.

    :param clock: measures the time limit of :meth:`drain`.
    """

    __slots__ = ("_clock", "_started")

    DRAIN_POLL_INTERVAL_MS = 20

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        super().__init__()
        self._started: list[Service] = []

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Set the function to call if a registered service ends with an exception.

        :param handler: called with the name of the service and the exception.
        """
        for service in self._services.values():
            service.on_failure(handler)

    def start(self) -> None:
        """Start all services in the order of registration.

        If a service fails to start, those already started are stopped and the exception is raised.
        """
        for service in self._services.values():
            try:
                service.start()
            except BaseException:
                self.stop()
                raise
            self._started.append(service)

    def drain(self, limit_ms: float) -> bool:
        """Stop accepting work and wait until the accepted work has ended.

        :param limit_ms: longest time to wait.
        :return: ``False`` if work was left when ``limit_ms`` had passed.
        """
        for service in reversed(self._started):
            service.begin_drain()
        end_ms = self._clock.monotonic_ms() + limit_ms
        while not all(service.is_drained() for service in self._started):
            if self._clock.monotonic_ms() >= end_ms:
                return False
            self._clock.sleep_ms(self.DRAIN_POLL_INTERVAL_MS)
        return True

    def stop(self) -> None:
        """Stop the started services in the reverse order of their start."""
        while self._started:
            self._started.pop().stop()
