"""The configuration in force, and which route a request takes. Pure."""

from enum import Enum

from msgspec import Struct

from ebonyshore.http.server import ServerLimits


class RouteKind(Enum):
    """What a route carries, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


class ServiceShare(Struct, frozen=True):
    """A part of a route's traffic that goes to one service."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Where requests of one host and path go, and how they are treated.

    :param path_prefix: begins and ends with a slash.
    :param timeout_ms: longest time that a caller is kept waiting.
    :param target_latency_ms: time within which an answer has its full value.
    :param max_attempts: targets that one attempt of a caller may run on.
    :param is_resumable: whether a stream may go on at another target.
    :param completion_target_ms: from the first send of a job to when its results are due.
    :param retention_ms: from the first send of a job to when its items may be given up.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    max_attempts: int = 1
    is_resumable: bool = False
    completion_target_ms: float = 0.0
    retention_ms: float = 60_000.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


class ServiceSpec(Struct, frozen=True):
    """A service as the configuration describes it.

    :param max_connections: that one of its targets accepts from all callers together.
    :param capacity: requests that one of its targets runs at the same time; 0 if not told.
    """

    name: str
    max_connections: int
    capacity: int = 0


class ServiceConfig(Struct, frozen=True):
    """One version of the configuration in full."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ServerLimits


class RouteTable:
    """Finds the route of a request.

    :param config: the version in force.
    """

    __slots__ = ("_by_host", "config")

    def __init__(self, config: ServiceConfig) -> None:
        self.config = config
        self._by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        routes = self._by_host.get(host.split(":", 1)[0].lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)
