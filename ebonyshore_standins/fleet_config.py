"""The configuration that the fleets of entries and runners serve."""

from collections.abc import Sequence

ROUTE_HOST = "tier.example"
STREAM_PREFIX = "/ask/"
SINGLE_ATTEMPT_PREFIX = "/once/"
BATCH_PREFIX = "/plans/"
LIMITED_PREFIX = "/limited/"
MAX_WAITING_TOKENS = 400  # of the limited batch route
SERVICE = "svc"
MAX_ATTEMPTS = 3  # of a request, unless its route has another limit


def route(name: str, prefix: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route for the configuration.

    :param prefix: path prefix of the requests.
    :param kind: ``idempotent``, ``non_idempotent``, ``streaming`` or ``batch``.
    :param fields: further fields of the route, or other values for the default ones.
    """
    return {
        "Name": name,
        "Hostname": ROUTE_HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "Service": SERVICE,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 500,
        "MaxAttempts": MAX_ATTEMPTS,
        **fields,
    }


def account(
    name: str, *keys: str, rate_per_s: float = 0.0, burst: float = 0.0, **fields: object
) -> dict[str, object]:
    """Return a client account for the configuration.

    :param keys: the keys of the account.
    :param rate_per_s: requests a second that it may send; 0 if there is no limit.
    :param burst: requests that it may send at once beyond the rate.
    :param fields: further fields of the account, under their names in the configuration.
    """
    limits = {"RatePerS": rate_per_s, "Burst": burst}
    return {"Name": name, "ApiKeys": list(keys), **limits, **fields}


def make_config(
    version: int,
    *extra_routes: dict[str, object],
    accounts: Sequence[dict[str, object]] | None = None,
) -> dict[str, object]:
    """Return a configuration with a resumable, a single-attempt and two batch routes.

    :param extra_routes: further routes, as :func:`route` returns them.
    :param accounts: client accounts, as :func:`account` returns them; ``None`` if callers need no
        key.
    """
    return {
        "Version": version,
        **({} if accounts is None else {"Tenants": list(accounts)}),
        "Routes": [
            route("ask", STREAM_PREFIX, "streaming", Resumable=True),
            route("once", SINGLE_ATTEMPT_PREFIX, "streaming", MaxAttempts=1),
            route("plans", BATCH_PREFIX, "batch", RetentionS=60, CompletionTargetMs=18_000),
            route(
                "limited",
                LIMITED_PREFIX,
                "batch",
                RetentionS=60,
                CompletionTargetMs=18_000,
                Cap=MAX_WAITING_TOKENS,
            ),
            *extra_routes,
        ],
        "Services": [{"Name": SERVICE, "MaxConnections": 200}],
        "Limits": {"MaxBodyBytes": 4_194_304, "IdleTimeoutMs": 5_000},
    }
