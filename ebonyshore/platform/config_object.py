"""Decodes the operator's configuration object into routes, services and limits."""

from typing import Annotated, Any

from msgspec import Meta, Struct, field
from msgspec.json import decode

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.host.accounts import Account, digest_key
from ebonyshore.host.routes import Route, RouteKind, ServiceConfig, ServiceShare, ServiceSpec
from ebonyshore.http.server_limits import ServerLimits

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "batch": RouteKind.BATCH,
}


# Finite amounts, also as milliseconds of a timer.
_Amount = Annotated[float, Meta(ge=0, le=1e15)]
_Count = Annotated[int, Meta(ge=0, le=10**15)]


class _Share(Struct):
    service: str = field(name="Service")
    weight: _Amount = field(default=1.0, name="Weight")


class _Route(Struct):
    host: str = field(name="Hostname")
    prefix: str = field(name="PathPrefix")
    name: str = field(default="", name="Name")
    # Determines not only the form of the response but also whether a request may be repeated.
    kind: str = field(default="non_idempotent", name="Type")
    service: str | None = field(default=None, name="Service")
    split: list[_Share] | None = field(default=None, name="TrafficSplit")
    timeout_ms: _Amount = field(default=30_000.0, name="TimeoutMs")
    target_latency_ms: _Amount = field(default=1_000.0, name="TargetLatencyMs")
    max_attempts: _Count = field(default=1, name="MaxAttempts")
    is_resumable: bool = field(default=False, name="Resumable")
    completion_target_ms: _Amount = field(default=0.0, name="CompletionTargetMs")
    retention_s: _Amount = field(default=60.0, name="RetentionS")
    # Of each account, or of all callers together if there are no accounts, over the unfinished
    # items of the route's jobs; 0 means no limit.
    max_waiting_tokens: _Count = field(default=0, name="Cap")
    priority: int = field(default=0, name="Priority")
    is_public: bool = field(default=False, name="Public")
    # Longest pause between two events of an answer that is on time.
    max_gap_ms: _Amount | None = field(default=None, name="GapTargetMs")


class _Engine(Struct):
    # Number of requests that a target runs concurrently. The number of connections that it accepts
    # is MaxConnections of its service.
    capacity: _Count = field(default=0, name="Capacity")


class _Service(Struct):
    name: str = field(name="Name")
    max_connections: _Count = field(default=100, name="MaxConnections")
    engine: _Engine | None = field(default=None, name="Engine")


class _Limits(Struct):
    header_bytes: _Count = field(default=16_384, name="MaxHeaderBytes")
    body_bytes: _Count = field(default=4_194_304, name="MaxBodyBytes")
    header_timeout_ms: _Count = field(default=3_000, name="HeaderTimeoutMs")
    idle_timeout_ms: _Count = field(default=15_000, name="IdleTimeoutMs")


class _Account(Struct):
    name: str = field(name="Name")
    keys: list[str] = field(default_factory=list, name="ApiKeys")
    # Takes precedence over the priority of the route.
    priority: int | None = field(default=None, name="Priority")
    rate_per_s: _Amount = field(default=0.0, name="RatePerS")
    burst: _Amount = field(default=0.0, name="Burst")


class _Config(Struct):
    version: _Count = field(name="Version")
    routes: list[_Route] = field(name="Routes")
    services: list[_Service] = field(default_factory=list, name="Services")
    limits: _Limits = field(default_factory=_Limits, name="Limits")
    # Missing if callers need no key.
    accounts: list[_Account] | None = field(default=None, name="Tenants")


def decode_config(value: bytes) -> ServiceConfig:
    """Decode the value of the configuration object.

    Requests of a route whose type is unknown are treated as ``non_idempotent``, so that none of
    them is repeated.

    :param value: the configuration as JSON; unknown fields are ignored.
    :raises ValueError: if the value is not valid JSON, or a field is missing, of another type or
        out of range.
    """
    try:
        document = decode(value, type=_Config, strict=False)
    except DECODING_ERRORS as error:
        raise ValueError(f"invalid configuration: {error}") from error
    limits = document.limits
    return ServiceConfig(
        document.version,
        tuple(_to_route(route) for route in document.routes),
        {service.name: _to_service_spec(service) for service in document.services},
        ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        None if document.accounts is None else tuple(map(_to_account, document.accounts)),
    )


def _to_route(route: _Route) -> Route:
    shares = [ServiceShare(share.service, share.weight) for share in route.split or ()]
    if not shares and route.service:
        shares = [ServiceShare(route.service, 1.0)]
    values: dict[str, Any] = {
        name: getattr(route, name)
        for name in (
            "timeout_ms",
            "target_latency_ms",
            "max_attempts",
            "is_resumable",
            "completion_target_ms",
            "max_waiting_tokens",
            "priority",
            "is_public",
            "max_gap_ms",
        )
    }
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.prefix,
        kind=_ROUTE_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
        shares=tuple(shares),
        retention_ms=route.retention_s * MS_PER_S,
        **values,
    )


def _to_account(account: _Account) -> Account:
    return Account(
        account.name,
        frozenset(map(digest_key, account.keys)),
        account.priority,
        account.rate_per_s,
        account.burst,
    )


def _to_service_spec(service: _Service) -> ServiceSpec:
    capacity = service.engine.capacity if service.engine else 0
    return ServiceSpec(service.name, service.max_connections, capacity)
