"""Data model of the configuration, and the route look-up. No I/O."""

from enum import Enum

from msgspec import Struct

from ebonyshore.host.accounts import Account
from ebonyshore.http.server_limits import ServerLimits


class RouteKind(Enum):
    """Kind of the requests of a route; it determines whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


class ServiceShare(Struct, frozen=True):
    """A service of a route, and the weight of its part of the traffic."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """How requests of one host and path prefix are routed and treated.

    :param path_prefix: path prefix; begins and ends with a slash.
    :param shares: the services that the traffic is split between.
    :param timeout_ms: time limit of a request.
    :param target_latency_ms: time within which an answer has its full value.
    :param max_attempts: number of attempts at targets for one online request; for a batch job, the
        number of failed runs after which an item is given up.
    :param is_resumable: whether a broken stream may be continued by another target.
    :param completion_target_ms: time from the first submission of a job until its results are due.
    :param retention_ms: time from the first submission of a job until its items may be given up.
    :param max_waiting_tokens: limit of the tokens of all unfinished items of the route's jobs, of
        each client account if the configuration has accounts; 0 if there is none.
    :param priority: rank of the route's requests; 0 is the highest.
    :param is_public: whether callers need no key.
    :param max_gap_ms: longest pause between two events with which an answer is still on time;
        ``None`` if the route names none.
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
    max_waiting_tokens: int = 0
    priority: int = 0
    is_public: bool = False
    max_gap_ms: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may safely run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


class ServiceSpec(Struct, frozen=True):
    """A service in the configuration.

    :param max_connections: number of connections that one target of the service accepts in total.
    :param capacity: number of requests that one target runs concurrently; 0 if not configured.
    """

    name: str
    max_connections: int
    capacity: int = 0


class ServiceConfig(Struct, frozen=True):
    """One complete version of the configuration.

    :param accounts: the client accounts; ``None`` if callers need no key on any route.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ServerLimits
    accounts: tuple[Account, ...] | None = None


class RouteTable:
    """Finds the route of a request.

    :param config: the configuration that defines the routes.
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
        """Return the route of the host with the longest matching path prefix, or ``None``.

        :param host: value of the ``Host`` header; its port and its letter case are ignored.
        :param path: path of the request.
        """
        routes = self._by_host.get(host.split(":", 1)[0].lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)
