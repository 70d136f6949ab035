"""Tells which limit of waiting work a job counts towards."""

from msgspec import Struct

from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.job_types import JobRecord
from ebonyshore.host.routes import Route, RouteKind, RouteTable
from ebonyshore.runner.quota_ledger import quota_name


class QuotaScope(Struct, frozen=True):
    """What one limit covers: the jobs of a route, of one client account if there are accounts.

    :param name: name of the quota, under which reservations are stored and reported.
    :param route_name: name of the route, for logs and dumps.
    :param account: the account; empty if the configuration has none, or for jobs without one.
    :param limit_tokens: limit in the configuration in force; 0 if there is none.
    """

    name: str
    route_name: str
    account: str
    limit_tokens: int


class QuotaScopes:
    """Finds the limits by the configuration in force. Each is computed once for a configuration.

    :param config: the routes in force.
    """

    __slots__ = ("_config", "_scopes", "_table")

    def __init__(self, config: ConfigService) -> None:
        self._config = config
        self._table: RouteTable | None = None
        # By host and path prefix of the route, and by account.
        self._scopes: dict[tuple[str, str, str], QuotaScope] = {}

    def of_record(self, record: JobRecord) -> QuotaScope | None:
        """Return the limit for a job; ``None`` if it has no batch route."""
        return self.find(record.host, record.path, record.caller)

    def find(self, host: str, path: str, caller: str) -> QuotaScope | None:
        """Return the limit for jobs that an account submits to a host and path."""
        table = self._config.table
        route = table.find(host, path) if table is not None else None
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return self.of_route(route, caller)

    def of_route(self, route: Route, caller: str) -> QuotaScope:
        """Return the limit for the jobs of an account on a route."""
        table = self._config.table
        if table is not self._table:
            self._table, self._scopes = table, {}
        has_accounts = table is not None and table.config.accounts is not None
        account = caller if has_accounts else ""
        key = (route.host, route.path_prefix, account)
        scope = self._scopes.get(key)
        if scope is None:
            name = quota_name(route, account)
            scope = QuotaScope(name, route.name, account, route.max_waiting_tokens)
            self._scopes[key] = scope
        return scope
