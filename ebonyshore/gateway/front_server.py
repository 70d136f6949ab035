"""The servers of an entry: one for callers' requests, one for the load balancer's health checks."""

from asyncio import sleep
from collections.abc import Callable

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.account_limits import AccountLimits
from ebonyshore.gateway.authentication import AccessDeniedError, Authenticator
from ebonyshore.gateway.forwarded_request import time_limit_ms
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.isolation import IsolationDetector
from ebonyshore.gateway.job_call_forwarder import JOB_CALL_TIME_MS, JobCallForwarder
from ebonyshore.host.accounts import Account
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.error_responses import ErrorResponse, not_executed_response
from ebonyshore.host.host_settings import ListenAddress
from ebonyshore.host.memory_guard import MemoryGuard, resident_bytes
from ebonyshore.host.operator_server import make_operator_http
from ebonyshore.host.routes import Route, RouteKind, RouteTable
from ebonyshore.host.target_service import TargetService
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import connection_limit_bytes
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder
from ebonyshore.http.server import DEFAULT_MAX_CONNECTIONS, HttpServer
from ebonyshore.http.server_limits import ServerLimits

NOT_READY_RETRY_MS = 500.0
NO_ROOM_RETRY_MS = 500.0
NO_ACCOUNT = ""  # of requests whose client account is not known
MAX_TOTALS_WAIT_MS = 1_500.0  # the runners may be unreachable
# The load balancer removes an entry after two failed checks, one second apart. Until then it still
# sends callers to the entry.
LISTEN_WHILE_DRAINING_MS = 3_200.0
TAKE_ALL_WHILE_DRAINING_MS = 2_900.0  # afterwards the load balancer has other entries
LAST_ANSWERS_MS = 100.0  # to send errors to callers whose requests the end of the process cuts
# A connection without a request for less time may have one in transit.
REQUEST_TRANSIT_MS = 200.0
CLOSE_POLL_MS = 50.0


class FrontServer(AsyncService):
    """Accepts callers' requests and dispatches them by route.

    :param address: listen address for callers.
    :param config: provides the routes and the limits of the server.
    :param forwarder: answers online requests.
    :param job_calls: answers calls about batch jobs.
    :param authenticator: decides which requests are admitted.
    :param account_limits: knows which requests are over the quota of their account.
    :param metrics: counts the requests that are not, as ``requests_RESULT_CODE``.
    :param memory_bytes: limit of the memory of the process; ``None`` if it has none.
    :param max_connections: number of connections that callers may have.
    :param drain_limit_ms: time from the begin of the drain to the end of the process; ``None`` if
        it has no limit.
    """

    name = "front"

    def __init__(
        self,
        address: ListenAddress,
        names: WireNames,
        config: ConfigService,
        forwarder: Forwarder,
        job_calls: JobCallForwarder,
        authenticator: Authenticator,
        account_limits: AccountLimits,
        log: EventLog,
        metrics: Metrics,
        memory_bytes: int | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        drain_limit_ms: float | None = None,
    ) -> None:
        self._address = address
        self._names = names
        self._config = config
        self._forwarder = forwarder
        self._job_calls = job_calls
        self._authenticator = authenticator
        self._account_limits = account_limits
        self._log = log
        self._metrics = metrics
        self._server = HttpServer(
            self._serve,
            ServerLimits(),
            self._log_failure,
            connection_limit_bytes(memory_bytes, resident_bytes()),
            max_connections,
        )
        self._memory_guard = MemoryGuard(self._server, memory_bytes, log, metrics)
        self._is_closed = False
        self._drain_limit_ms = drain_limit_ms
        self._drain_begun_ms: float | None = None
        config.change_listeners.append(self._apply_limits)

    async def start(self) -> None:
        await self._server.listen(self._address.host, self._address.port)
        self.spawn(self._memory_guard.run())

    @property
    def port(self) -> int:
        """Port on which the server listens. Valid only after :meth:`start`."""
        return self._server.port

    def begin_drain(self) -> None:
        self._server.is_draining = True
        self._drain_begun_ms = now_ms()
        self.spawn(self._close_after_removal())

    def is_drained(self) -> bool:
        return self._is_closed  # also the answers in the buffers of connections have been sent

    async def _close_after_removal(self) -> None:
        """Stop listening once the load balancer has had time to remove the entry."""
        await sleep(LISTEN_WHILE_DRAINING_MS / MS_PER_S)
        self._server.stop_listening()
        while self._server.connections:
            self._server.close_idle_connections(REQUEST_TRANSIT_MS)
            await sleep(CLOSE_POLL_MS / MS_PER_S)
        self._is_closed = True

    async def stop(self) -> None:
        await super().stop()
        self._server.stop_listening()
        if self._drain_begun_ms is not None and self._server.busy_connection_count():
            await self._end_requests()
        for connection in list(self._server.connections):
            connection.abort()

    async def _end_requests(self) -> None:
        """Answer the requests that have no answer yet with an error, which their callers can use
        better than the end of their connections.
        """
        for connection in list(self._server.connections):
            if connection.is_busy:
                connection.end_request()
        await sleep(LAST_ANSWERS_MS / MS_PER_S)

    def dump(self) -> dict[str, object]:
        return {
            "connections": len(self._server.connections),
            "busy": self._server.busy_connection_count(),
            "held_bytes": self._server.memory.total_bytes(now_ms()),
            "config_version": self._config.version,
        }

    async def _serve(self, request: Request, responder: Responder) -> None:
        table = self._config.table
        if table is None:
            not_executed_response(ResultCode.NOT_READY, NOT_READY_RETRY_MS).send(
                responder, request, self._names
            )
            return
        host = request.headers.get("host") or ""
        is_job_path = self._is_job_path(request)
        route = None if is_job_path else table.find(host, request.path)
        if route is None and not is_job_path:
            self._log.event("request_without_route", host=host, config_version=self._config.version)
            ErrorResponse(404, ResultCode.NOT_FOUND).send(responder, request, self._names)
            return
        try:
            account = self._authenticator.authenticate(request.headers, _needs_no_key(route))
        except AccessDeniedError as error:
            self._deny(request, responder, error.response)
            return
        if self._is_too_late(route, request):
            self._deny(request, responder, not_executed_response(ResultCode.LEAVING, 0.0))
            return
        if not self._has_room(account, responder):
            refusal = not_executed_response(ResultCode.OVERLOADED, NO_ROOM_RETRY_MS)
            self._deny(request, responder, refusal)
            return
        if route is None:  # not looked up by route: a job may outlive its route
            await self._job_calls.forward(request, responder, None, account)
        else:
            await self._serve_route(route, request, responder, account)

    def _deny(self, request: Request, responder: Responder, response: ErrorResponse) -> None:
        reason = response.code.name.lower()
        self._metrics.count(f"requests_{reason}")
        self._log.event(
            "request_denied",
            request=request.headers.get(self._names.request_id),
            reason=reason,
            config_version=self._config.version,
        )
        response.send(responder, request, self._names)

    def _is_too_late(self, route: Route | None, request: Request) -> bool:
        """Return whether the process may end before a request does that begins now.

        While the load balancer may still send callers here, requests are taken that are allowed
        more time than is left, since nearly all need far less.
        """
        if self._drain_begun_ms is None or self._drain_limit_ms is None:
            return False
        if now_ms() - self._drain_begun_ms < TAKE_ALL_WHILE_DRAINING_MS:
            return False
        if route is None or route.kind is RouteKind.BATCH:
            end_ms = now_ms() + JOB_CALL_TIME_MS  # a call has no deadline, whenever it was begun
        else:
            end_ms = request.received_ms + time_limit_ms(route, request, self._names)
        return end_ms > self._drain_begun_ms + self._drain_limit_ms

    def _has_room(self, account: Account | None, responder: Responder) -> bool:
        """Return whether the process has memory for another request of an account."""
        name = NO_ACCOUNT if account is None else account.name
        responder.set_account(name)
        return self._server.memory.may_take(name, now_ms())

    async def _serve_route(
        self, route: Route, request: Request, responder: Responder, account: Account | None
    ) -> None:
        if route.kind is not RouteKind.BATCH:
            if account is not None and self._is_over_quota(account, request, responder):
                return
            await self._forwarder.forward(route, request, responder, account)
        elif request.method == "POST":
            await self._job_calls.forward(request, responder, route, account)
        else:
            ErrorResponse(405, ResultCode.INVALID_REQUEST).send(responder, request, self._names)

    def _is_over_quota(self, account: Account, request: Request, responder: Responder) -> bool:
        """Count a request of an account; refuse it if that is over its quota."""
        request_id = request.headers.get(self._names.request_id)
        delay_ms = self._account_limits.admit(account, request_id)
        if delay_ms is None:
            return False
        response = ErrorResponse(429, ResultCode.CALLER_LIMIT, delay_ms)
        response.send(responder, request, self._names)
        return True

    def _is_job_path(self, request: Request) -> bool:
        path = request.path
        return path.startswith((self._names.jobs_path, self._names.item_bodies_path))

    def _apply_limits(self, table: RouteTable) -> None:
        self._server.limits = table.config.limits

    def _log_failure(self, request: Request, error: Exception) -> None:
        request_id = request.headers.get(self._names.request_id)
        self._log.event("request_failed", request=request_id, error=repr(error))


def _needs_no_key(route: Route | None) -> bool:
    """Return whether requests of a route need no key; calls about jobs always need one."""
    return route is not None and route.is_public and route.kind is not RouteKind.BATCH


class ReadinessServer(AsyncService):
    """Answers the load balancer's health checks: 200 if the entry takes callers, else 503.

    The entry is ready if a configuration is in force, the list of targets has been received, and
    the entry is neither draining nor isolated. After its start it also waits for a while for the
    first load totals of a runner, which name the targets that leave although they are listed as
    ready.

    :param address: listen address for the checks.
    :param config: knows whether a configuration is in force.
    :param targets: knows whether the list of targets has been received.
    :param isolation: detects whether the entry is isolated.
    :param has_totals: returns whether the load totals of a runner were received.
    :param max_connections: number of connections that load balancers may have.
    """

    name = "readiness"

    def __init__(
        self,
        address: ListenAddress,
        names: WireNames,
        config: ConfigService,
        targets: TargetService,
        isolation: IsolationDetector,
        has_totals: Callable[[], bool],
        max_connections: int,
    ) -> None:
        self._address = address
        self._names = names
        self._config = config
        self._targets = targets
        self._isolation = isolation
        self._has_totals = has_totals
        self._totals_limit_ms: float | None = None
        self._is_draining = False
        self._server = make_operator_http(self._serve, max_connections)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this entry."""
        has_state = self._config.table is not None and self._targets.has_listing
        if not has_state or self._is_draining or self._isolation.is_isolated():
            return False
        if self._totals_limit_ms is None:
            self._totals_limit_ms = now_ms() + MAX_TOTALS_WAIT_MS
        return self._has_totals() or now_ms() >= self._totals_limit_ms

    async def start(self) -> None:
        await self._server.listen(self._address.host, self._address.port)

    def begin_drain(self) -> None:
        self._is_draining = True

    async def stop(self) -> None:
        self._server.stop_listening()

    def dump(self) -> dict[str, object]:
        return {"is_ready": self.is_ready}

    async def _serve(self, request: Request, responder: Responder) -> None:
        if request.path != self._names.ready_path:
            responder.send(404, Headers())
            return
        responder.send(200 if self.is_ready else 503, Headers())
