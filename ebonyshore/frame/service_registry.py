"""Services of one process, found by their names."""

from typing import Generic, Protocol, TypeVar

from ebonyshore.frame.errors import EbonyshoreError


class NamedService(Protocol):
    """What every kind of service has."""

    name: str

    def dump(self) -> dict[str, object]:
        """Return the service's state for the state dump."""


ServiceT = TypeVar("ServiceT", bound=NamedService)
KindT = TypeVar("KindT", bound=NamedService)


class ServiceRegistry(Generic[ServiceT]):
    """Holds services in the order of their registration."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, ServiceT] = {}

    def register(self, service: ServiceT) -> None:
        """Add a service; the order of registration is the order of start."""
        if service.name in self._services:
            raise EbonyshoreError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service

    def find(self, name: str, kind: type[KindT]) -> KindT:
        """Return the service called ``name``.

        :raises EbonyshoreError: if there is none or it is not a ``kind``.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise EbonyshoreError(f"no service {name!r} of type {kind.__name__}")
        return service

    def dump(self) -> dict[str, object]:
        """Return the state of every service, by name."""
        return {name: service.dump() for name, service in self._services.items()}
