"""The registry in which the services of a process are found by name."""

from typing import Generic, Protocol, TypeVar

from ebonyshore.frame.errors import EbonyshoreError


class NamedService(Protocol):
    """The attributes that the registry uses of a service."""

    name: str

    def dump(self) -> dict[str, object]:
        """Return the state of the service for the state dump."""


ServiceT = TypeVar("ServiceT", bound=NamedService)
KindT = TypeVar("KindT", bound=NamedService)


class ServiceRegistry(Generic[ServiceT]):
    """Holds services by name, in the order of registration."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, ServiceT] = {}

    def register(self, service: ServiceT) -> None:
        """Add a service; services are started in the order of registration.

        :raises EbonyshoreError: if a service of the same name is registered.
        """
        if service.name in self._services:
            raise EbonyshoreError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service

    def find(self, name: str, kind: type[KindT]) -> KindT:
        """Return the service with a name.

        :param kind: the expected class.
        :raises EbonyshoreError: if there is no such service or it is not an instance of ``kind``.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise EbonyshoreError(f"no service {name!r} of type {kind.__name__}")
        return service

    def dump(self) -> dict[str, object]:
        """Return the state of each service by its name."""
        return {name: service.dump() for name, service in self._services.items()}
