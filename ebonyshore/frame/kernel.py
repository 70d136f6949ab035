"""The micro-kernel: services register, find each other by name, start and stop in order."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.service_registry import ServiceRegistry


class Service(ABC):
    """A part of a process with a name and a life cycle.

    ``name`` is unique in a kernel. Methods are called by the kernel's owner, one at a time.
    """

    name: str

    @abstractmethod
    def start(self) -> None:
        """Begin work. Services registered before this one are running."""

    def begin_drain(self) -> None:  # noqa: B027 - most services have nothing to drain
        """Accept no new work; must return at once."""

    def is_drained(self) -> bool:
        """Return whether all accepted work has ended."""
        return True

    @abstractmethod
    def stop(self) -> None:
        """End at once and release resources."""

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:  # noqa: B027
        """Call ``handler`` with the service's name if it ends by an exception."""

    def dump(self) -> dict[str, object]:
        """Return the service's state for the state dump; values must be JSON types."""
        return {}


class Kernel(ServiceRegistry[Service]):
    """Holds the services of one process.

    :param clock: used to wait for the drain.
    """

    __slots__ = ("_clock", "_started")

    DRAIN_POLL_INTERVAL_MS = 20

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        super().__init__()
        self._started: list[Service] = []

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        """Call ``handler`` with the name of a service that ends by an exception."""
        for service in self._services.values():
            service.on_failure(handler)

    def start(self) -> None:
        """Start all services in order; on a failure stop those already started."""
        for service in self._services.values():
            try:
                service.start()
            except BaseException:
                self.stop()
                raise
            self._started.append(service)

    def drain(self, limit_ms: float) -> bool:
        """Stop accepting work and wait until none is left.

        :return: ``False`` if work was still left after ``bound_ms``.
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
        """Stop the started services in reverse order."""
        while self._started:
            self._started.pop().stop()
