"""HTTP server for the calls about batch jobs that entries send to runners."""

from asyncio import timeout
from functools import partial

from msgspec.json import encode

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import (
    StoreError,
    ValueTooLargeError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import RESULT_INFO, ResultCode
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.deployment import Deployment
from ebonyshore.host.error_responses import ErrorResponse
from ebonyshore.host.job_types import JobRecord
from ebonyshore.host.memory_guard import MemoryGuard, resident_bytes
from ebonyshore.host.routes import Route, RouteKind
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import FixedHolder, connection_limit_bytes
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder
from ebonyshore.http.server import DEFAULT_MAX_CONNECTIONS, HttpServer
from ebonyshore.http.server_connection import SMALL_BODY_BYTES
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.link.job_call import (
    OWNER_HEADER,
    PATH_HEADER,
    REDIRECT_STATUS,
    JobCall,
    JobCallKind,
    decode_job_request,
)
from ebonyshore.runner.item_headers import is_sendable_id
from ebonyshore.runner.job_access import may_access
from ebonyshore.runner.job_admission import JobAdmission
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.store.marked_write import MarkedObject

MAX_REQUEST_BYTES = 16 << 20
MAX_HEADER_BYTES = 256 << 10  # a caller's ids are percent-encoded in the request line
DECODED_FACTOR = 2  # memory that a submission takes besides its body, as a multiple of that
RETRY_AFTER_MS = 600.0
STORE_RETRY_AFTER_MS = 1_500.0  # outages of the store last for seconds


class Reply:
    """The response to a call.

    :param status: HTTP status.
    :param body: response body.
    :param owner: instance id of the job's owner; empty if it is not known.
    :param retry_after_ms: time after which the caller may repeat the call; ``None`` if it should
        not.
    """

    __slots__ = ("body", "owner", "retry_after_ms", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        owner: str = "",
        retry_after_ms: float | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.owner = owner
        self.retry_after_ms = retry_after_ms


def refusal_reply(code: ResultCode, retry_after_ms: float | None = RETRY_AFTER_MS) -> Reply:
    """Return the reply to a call that had no effect and never will."""
    response = ErrorResponse(RESULT_INFO[code].http_status, code)
    return Reply(response.status, response.body(), retry_after_ms=retry_after_ms)


class JobApi(AsyncService):
    """Serves the calls of entries about batch jobs.

    :param host: address to listen on.
    :param port: port to listen on.
    :param deployment: decodes submissions and encodes results.
    :param registry: the known jobs.
    :param admission: refuses jobs that do not fit.
    :param config: the routes in force.
    :param memory_bytes: limit of the memory of the process; ``None`` if it has none.
    :param max_connections: number of connections that entries may have.
    """

    name = "job_api"

    def __init__(
        self,
        host: str,
        port: int,
        deployment: Deployment,
        registry: JobRegistry,
        admission: JobAdmission,
        config: ConfigService,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        memory_bytes: int | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._host = host
        self._port = port
        self._deployment = deployment
        self._registry = registry
        self._admission = admission
        self._config = config
        self._clock = clock
        self._log = log
        self._metrics = metrics
        limits = ServerLimits(MAX_HEADER_BYTES, MAX_REQUEST_BYTES)
        limit_bytes = connection_limit_bytes(memory_bytes, resident_bytes())
        self._server = HttpServer(
            self._serve, limits, self._log_failure, limit_bytes, max_connections
        )
        self._memory_guard = MemoryGuard(self._server, memory_bytes, log, metrics)

    async def start(self) -> None:
        await self._server.listen(self._host, self._port)
        self.spawn(self._memory_guard.run())

    def begin_drain(self) -> None:
        self._server.is_draining = True

    def is_drained(self) -> bool:
        return self._server.busy_connection_count() == 0

    async def stop(self) -> None:
        await super().stop()
        self._server.stop_listening()

    async def _serve(self, request: Request, responder: Responder) -> None:
        try:
            call = decode_job_request(request.target)
            if not self._has_room(request):
                reply = refusal_reply(ResultCode.OVERLOADED)
            else:
                responder.set_holder(FixedHolder(len(request.body) * DECODED_FACTOR))
                reply = await self._dispatch(call, request)
        except ValueError as error:
            self._log.event("job_call_invalid", path=request.path, error=str(error))
            reply = Reply(400, encode({"code": ResultCode.INVALID_REQUEST, "error": str(error)}))
        headers = Headers()
        if reply.owner:
            headers.add(OWNER_HEADER, reply.owner)
        if reply.retry_after_ms is not None:
            headers.add("Retry-After", f"{reply.retry_after_ms / MS_PER_S:.2f}")
        responder.send(reply.status, headers, reply.body)

    def _has_room(self, request: Request) -> bool:
        """Return whether the process has memory for the job that a request may submit."""
        if len(request.body) <= SMALL_BODY_BYTES:
            return True
        memory = self._server.memory
        memory.forget()  # other jobs may have begun just now
        return not memory.is_resident_high and not memory.is_exhausted(now_ms())

    async def _dispatch(self, call: JobCall, request: Request) -> Reply:
        """Handle a call; failures of the store become a 502 or 503 response, or 413 if a submitted
        job does not fit into the store.

        :raises ValueError: if a submitted job is invalid.
        """
        try:
            if call.kind is JobCallKind.SUBMIT:
                return await self._submit(call, request)
            if call.may_redirect and (owner := self._registry.live_owner(call.job_id)):
                self._metrics.count("job_reads_redirected")
                return Reply(REDIRECT_STATUS, owner=owner)
            if call.kind is JobCallKind.RESULTS:
                return await self._read_results(call)
            if call.kind is JobCallKind.ITEM_BODY:
                return await self._read_item_body(call)
            return await self._cancel(call)
        except WriteOutcomeUnknownError as error:
            self._log_store_failure(call, error)
            return Reply(502)
        except ValueTooLargeError as error:
            self._log_store_failure(call, error)
            return refusal_reply(ResultCode.REQUEST_TOO_LARGE, None)
        except StoreError as error:
            self._log_store_failure(call, error)
            return refusal_reply(ResultCode.STORE_UNAVAILABLE, STORE_RETRY_AFTER_MS)

    async def _submit(self, call: JobCall, request: Request) -> Reply:
        if self._registry.is_leaving:
            return refusal_reply(ResultCode.LEAVING)
        route = self._find_route(request)
        if route is None:
            return refusal_reply(ResultCode.NOT_READY)
        known = self._registry.find(call.job_id)
        if known is not None and not self._may_access(call, known.record):
            return refusal_reply(ResultCode.JOB_ID_IN_USE, None)
        record = self._make_record(call, request, route)
        refusal = await self._admission.admit(record, route)
        if refusal is not None:
            return refusal_reply(ResultCode.QUOTA_EXHAUSTED, refusal.retry_after_ms)
        requested_ms = self._clock.boot_ms()
        stored = await self._store_job(record)
        if not self._may_access(call, stored.body):
            self._admission.release(call.job_id)
            self._registry.update_record(stored)
            return refusal_reply(ResultCode.JOB_ID_IN_USE, None)
        self._registry.add_accepted(stored, requested_ms)
        self._metrics.count("jobs_accepted")
        self._log.event(
            "job_accepted",
            job=call.job_id,
            items=len(stored.body.items),
            account=call.account,
            owner=stored.body.owner,
            is_repeat=stored.body.owner_incarnation != self._registry.incarnation,
        )
        return Reply(202, owner=stored.body.owner)

    async def _store_job(self, record: JobRecord) -> MarkedObject[JobRecord]:
        """Store an admitted job; its reservation is released if nothing was stored."""
        try:
            return await self._registry.run_blocking(self._registry.storage.create, record)
        except WriteOutcomeUnknownError:
            raise
        except StoreError:
            self._admission.release(record.job_id)
            raise

    def _find_route(self, request: Request) -> Route | None:
        """Return the batch route of a submitted job; ``None`` if it is not known here yet."""
        table = self._config.table
        host = request.headers.get("host") or ""
        path = request.headers.get(PATH_HEADER) or ""
        route = table.find(host, path) if table else None
        return route if route is not None and route.kind is RouteKind.BATCH else None

    def _make_record(self, call: JobCall, request: Request, route: Route) -> JobRecord:
        """Return the record of a submitted job.

        :raises ValueError: if the submitted job is invalid.
        """
        submission = self._deployment.decode_submission(request.body)
        unsendable = [x.item_id for x in submission.items if not is_sendable_id(x.item_id)]
        if unsendable:
            raise ValueError(f"item id cannot be sent as a header: {unsendable[0]!r}")
        return JobRecord(
            job_id=call.job_id,
            host=request.headers.get("host") or "",
            path=request.headers.get(PATH_HEADER) or "",
            submitted_ms=int(self._clock.wall_ms() - call.age_ms),
            retention_ms=route.retention_ms,
            completion_target_ms=route.completion_target_ms,
            max_attempts=route.max_attempts,
            items=submission.items,
            owner=self._registry.own_id,
            owner_incarnation=self._registry.incarnation,
            epoch=1,
            caller=call.account,
        )

    async def _read_results(self, call: JobCall) -> Reply:
        progress = await self._read_progress(call)
        if progress is None:
            return Reply(404)
        # Only the owner is notified of new results; other runners have to read the store.
        if (
            self._registry.is_confirmed_owner(progress)
            and call.wait_ms
            and call.first_position >= progress.listed_count
            and not progress.is_finished
        ):
            await self._wait_for_results(call)
            # Another runner may have taken the job over in the meantime.
            progress = await self._read_progress(call)
            if progress is None:
                return Reply(404)
        page = progress.result_page(call.first_position)
        return Reply(200, self._deployment.encode_results(page), progress.record.owner)

    async def _wait_for_results(self, call: JobCall) -> None:
        """Wait until results of a job may have been listed, or the call has waited long enough."""
        try:
            async with timeout(call.wait_ms / MS_PER_S):
                await self._registry.wait_for_results(call.job_id)
        except TimeoutError:
            self._metrics.count("result_reads_without_news")

    async def _read_item_body(self, call: JobCall) -> Reply:
        progress = await self._read_progress(call)
        item = progress.find_item(call.item_id) if progress is not None else None
        if item is None or progress.record.is_cancelled:
            return Reply(404)
        return Reply(200, progress.item_body(item.index), progress.record.owner)

    async def _cancel(self, call: JobCall) -> Reply:
        cancelled = await self._registry.run_blocking(
            self._registry.storage.cancel, call.job_id, partial(self._is_allowed, call)
        )
        if cancelled is None or not self._may_access(call, cancelled.body):
            return Reply(404)
        self._registry.update_record(cancelled)
        self._metrics.count("jobs_cancelled")
        self._log.event("job_cancelled", job=call.job_id, owner=cancelled.body.owner)
        return Reply(200, owner=cancelled.body.owner)

    async def _read_progress(self, call: JobCall) -> JobProgress | None:
        """Return the progress of a job; ``None`` if the caller has no such job."""
        known = self._registry.find(call.job_id)
        if known is not None and not self._may_access(call, known.record):
            return None
        progress = await self._registry.read_progress(call.job_id)
        if progress is None or (known is None and not self._may_access(call, progress.record)):
            return None
        return progress

    def _may_access(self, call: JobCall, record: JobRecord) -> bool:
        """Return whether the caller may use a job; log it if not."""
        if self._is_allowed(call, record):
            return True
        self._metrics.count("job_calls_of_other_accounts")
        self._log.event(
            "job_call_denied",
            job=call.job_id,
            call=call.kind.value,
            account=call.account,
            reason="other_account" if call.account else "no_account",
        )
        return False

    def _is_allowed(self, call: JobCall, record: JobRecord) -> bool:
        table = self._config.table
        needs_account = table is not None and table.config.accounts is not None
        return may_access(record, call.account, needs_account)

    def _log_store_failure(self, call: JobCall, error: StoreError) -> None:
        self._log.event("job_call_failed", job=call.job_id, call=call.kind.value, error=str(error))

    def _log_failure(self, request: Request, error: Exception) -> None:
        self._log.event("job_call_crashed", path=request.path, error=repr(error))
