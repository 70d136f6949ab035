"""Forwards callers' calls about batch jobs to the runners.

Any runner can answer any call. The owner of a job answers reads from memory, so it is called first;
a new job is offered first to the runner with the fewest open items.
"""

from asyncio import FIRST_COMPLETED, Task, create_task, timeout, wait
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from random import Random
from urllib.parse import parse_qs, quote, urlencode, urlsplit

from msgspec import Struct, structs

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.accounts import Account
from ebonyshore.host.error_responses import (
    ErrorResponse,
    maybe_executed_response,
    not_executed_response,
)
from ebonyshore.host.routes import Route
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import FixedHolder
from ebonyshore.http.messages import Request, ResponseHead
from ebonyshore.http.numbers import parse_decimal, parse_non_negative
from ebonyshore.http.responder import Responder
from ebonyshore.link.job_call import (
    OWNER_HEADER,
    PATH_HEADER,
    REDIRECT_STATUS,
    JobCall,
    JobCallKind,
)
from ebonyshore.link.peers import PeerDirectory, PeerRecord

CONNECT_TIMEOUT_MS = 250.0
CALL_TIMEOUT_MS = 1_200.0
SUBMIT_TIMEOUT_MS = 2_500.0
SUBMIT_HEDGE_DELAY_MS = 120.0  # until a submitted job is also offered to the next runner
MAX_IDLE_MS = 4_000.0  # of a pooled connection that is reused
MAX_RESULTS_WAIT_MS = 1_000.0  # for which a read may wait for new results
JOB_CALL_TIME_MS = SUBMIT_TIMEOUT_MS + MAX_RESULTS_WAIT_MS  # within which a call is answered
RETRY_AFTER_MS = 600.0
MAX_CACHED_OWNERS = 4_096


class RunnerResponse(Struct):
    """A runner's response to one call."""

    status: int
    headers: Headers
    body: bytes

    def send(self, responder: Responder) -> None:
        """Relay the response to the caller; of its headers only ``Retry-After`` is kept."""
        headers = Headers([("Content-Type", "application/json")])
        if (retry_after := self.headers.get("retry-after")) is not None:
            headers.add("Retry-After", retry_after)
        responder.send(self.status, headers, self.body)


class RunnerResponses:
    """Collects the runners' responses to one call.

    :ivar final: the response that ends the call; ``None`` if no runner has given one yet.
    :ivar redirected_to: the owner of the job, if a runner has named it in place of an answer.
    :ivar is_quota_exhausted: whether a runner has refused the job because the limit of its route is
        used up, which every runner would.
    """

    __slots__ = ("_may_have_accepted", "_refusal", "final", "is_quota_exhausted", "redirected_to")

    def __init__(self) -> None:
        self.final: RunnerResponse | None = None
        self.redirected_to: str | None = None
        self._may_have_accepted = False
        self.is_quota_exhausted = False
        self._refusal: ErrorResponse | RunnerResponse = not_executed_response(
            ResultCode.NO_TARGET, RETRY_AFTER_MS
        )

    def record(self, response: RunnerResponse) -> None:
        """Record a response; one with a status below 500 is final, except 429.

        A redirect is no response of the job; all runners are then called again, the owner first.
        Status 429 or 503 states that the runner did not accept the job; after any other it may
        have. Another runner that was called with the same job may still accept it.
        """
        if response.status == REDIRECT_STATUS:
            self.redirected_to = response.headers.get(OWNER_HEADER)
            return
        if response.status == 429:
            self.is_quota_exhausted = True
        elif response.status < 500:
            self.final = response
        self._may_have_accepted = self._may_have_accepted or response.status not in (429, 503)
        if response.status == 429 or not self.is_quota_exhausted:
            self._refusal = response

    def record_failure(self, error: ExchangeError) -> None:
        """Record that a runner did not respond."""
        self._may_have_accepted = self._may_have_accepted or error.was_sent

    def fallback(self, kind: JobCallKind) -> ErrorResponse | RunnerResponse:
        """Return the response to the caller if no runner has given a final one.

        That is the refusal for an exhausted limit if there is one, else the last response, or a
        refusal if there is none. But a job that a runner may have accepted must not be refused as
        not executed.
        """
        if kind is JobCallKind.SUBMIT and self._may_have_accepted:
            return maybe_executed_response(ResultCode.OUTCOME_UNKNOWN)
        return self._refusal


class JobCallForwarder:
    """Forwards the job calls of an entry's callers to runners.

    :param names: header names, paths and query fields of the deployment.
    :param peers: provides the runners' addresses.
    :param view: provides the live runners and their open items.
    :param pool: connections to the runners.
    :param random: randomizes the order of runners that are equal otherwise.
    """

    def __init__(
        self,
        names: WireNames,
        peers: PeerDirectory,
        view: LoadView,
        pool: ConnectionPool,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._names = names
        self._peers = peers
        self._view = view
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._random = random
        self._owners: OrderedDict[str, str] = OrderedDict()

    async def forward(
        self,
        request: Request,
        responder: Responder,
        route: Route | None = None,
        account: Account | None = None,
    ) -> None:
        """Answer a call about a job.

        :param route: the route of a request that submits a job; ``None`` for all other calls.
        :param account: the caller's client account; ``None`` if the configuration has none.
        """
        job_call = (
            self._decode_call(request) if route is None else self._decode_submission(request, route)
        )
        if job_call is None:
            ErrorResponse(404, ResultCode.NOT_FOUND).send(responder, request, self._names)
            return
        if account is not None:
            job_call = structs.replace(job_call, account=account.name)
        received = FixedHolder()
        responder.set_holder(received)
        response = await self._call_runners(job_call, request, received)
        responder.set_holder(None)
        if isinstance(response, ErrorResponse):
            response.send(responder, request, self._names)
        else:
            response.send(responder)

    async def _call_runners(
        self, call: JobCall, request: Request, received: FixedHolder
    ) -> ErrorResponse | RunnerResponse:
        """Call one runner after the other until one gives a final response.

        Only the first runner may redirect a read, so that an owner which this entry cannot reach is
        not called twice.

        A runner that is cut off from the store needs seconds to find out whether its write took
        effect. A submitted job is offered to the next runner in the meantime; the runner that
        stores the job first owns it.
        """
        hedge_delay_ms = SUBMIT_HEDGE_DELAY_MS if call.kind is JobCallKind.SUBMIT else None
        remaining_runners = self._order_runners(call)
        pending: dict[Task[RunnerResponse], PeerRecord] = {}
        responses = RunnerResponses()
        try:
            while remaining_runners or pending:
                if remaining_runners:
                    runner = remaining_runners.pop(0)
                    pending[create_task(self._call_runner(runner, call, request, received))] = (
                        runner
                    )
                    call = structs.replace(call, may_redirect=False)
                for task in await _wait_for_first(
                    pending, hedge_delay_ms if remaining_runners else None
                ):
                    self._record_result(responses, call, pending.pop(task), task)
                if responses.redirected_to is not None:
                    remaining_runners = self._order_runners(call)
                    responses.redirected_to = None
                if responses.final is not None:
                    return responses.final
                if responses.is_quota_exhausted:
                    remaining_runners.clear()
        finally:
            for task in pending:
                task.cancel()
        return responses.fallback(call.kind)

    def _record_result(
        self,
        responses: RunnerResponses,
        call: JobCall,
        runner: PeerRecord,
        task: Task[RunnerResponse],
    ) -> None:
        try:
            response = task.result()
        except ExchangeError as error:
            responses.record_failure(error)
            self._record_failure(runner, call, error)
        else:
            responses.record(response)
            self._cache_owner(call.job_id, response)

    def _record_failure(self, runner: PeerRecord, call: JobCall, error: ExchangeError) -> None:
        self._metrics.count("runner_calls_failed")
        self._log.event(
            "runner_call_failed",
            job=call.job_id,
            call=call.kind.value,
            caller=call.account,
            runner=runner.instance_id,
            detail=str(error),
        )

    def _order_runners(self, call: JobCall) -> list[PeerRecord]:
        runners = list(self._peers.of_role("runner").values())
        self._random.shuffle(runners)
        owner = self._owners.get(call.job_id)
        return order_runners(runners, self._view.open_items_by_runner, owner, call.kind)

    async def _call_runner(
        self, runner: PeerRecord, call: JobCall, request: Request, received: FixedHolder
    ) -> RunnerResponse:
        address = f"{runner.host}:{runner.port}"
        timeout_ms = SUBMIT_TIMEOUT_MS if call.kind is JobCallKind.SUBMIT else CALL_TIMEOUT_MS
        try:
            async with (
                self._pool.use(address, CONNECT_TIMEOUT_MS, MAX_IDLE_MS) as connection,
                timeout((timeout_ms + call.wait_ms) / MS_PER_S),
            ):
                connection.send(_encode_call(call, request))
                return await _read_response(connection, received)
        except TimeoutError as error:
            raise ExchangeError(
                f"runner did not respond within {timeout_ms + call.wait_ms:.0f} ms"
            ) from error

    def _cache_owner(self, job_id: str, response: RunnerResponse) -> None:
        owner = response.headers.get(OWNER_HEADER)
        if not owner:
            return
        self._owners[job_id] = owner
        self._owners.move_to_end(job_id)
        if len(self._owners) > MAX_CACHED_OWNERS:
            self._owners.popitem(last=False)

    def _decode_submission(self, request: Request, route: Route) -> JobCall | None:
        """Return the call that submits a job; ``None`` if the request has no id for the job."""
        job_id = request.headers.get(self._names.request_id)
        if not job_id:
            return None
        age_ms = now_ms() - request.received_ms
        return JobCall(JobCallKind.SUBMIT, job_id, route_name=route.name, age_ms=age_ms)

    def _decode_call(self, request: Request) -> JobCall | None:
        """Return the call that a request makes; ``None`` if it is not a valid call about a job."""
        names = self._names
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
        if parts.path.startswith(names.item_bodies_path) and request.method == "GET":
            job_id = parts.path.removeprefix(names.item_bodies_path)
            item_id = query.get(names.item_id, [""])[0]
            return JobCall(JobCallKind.ITEM_BODY, job_id, item_id=item_id, may_redirect=True)
        job_id = parts.path.removeprefix(names.jobs_path)
        if request.method == "DELETE":
            return JobCall(JobCallKind.CANCEL, job_id)
        if request.method != "GET":
            return None
        first = query.get(names.results_from, ["0"])[0]
        wait_ms = parse_non_negative(request.headers.get(names.wait_ms)) or 0.0
        return JobCall(
            JobCallKind.RESULTS,
            job_id,
            first_position=parse_decimal(first) or 0,
            wait_ms=min(wait_ms, MAX_RESULTS_WAIT_MS),
            may_redirect=True,
        )


def order_runners(
    runners: Sequence[PeerRecord],
    open_items_by_runner: dict[str, int],
    owner: str | None,
    kind: JobCallKind,
) -> list[PeerRecord]:
    """Return the runners in the order in which they are called.

    Live runners come first, since a call to an instance that is gone costs the connection time-out.
    Among them the owner of the job comes first, then, for a new job, the one with the fewest open
    items.

    :param runners: all registered runners.
    :param open_items_by_runner: number of open items of each live runner; empty if no runner is
        known to be alive.
    :param owner: instance that owns the job, as far as known.
    """

    def key(peer: PeerRecord) -> tuple[bool, bool, int]:
        open_items = (
            open_items_by_runner.get(peer.instance_id, 0) if kind is JobCallKind.SUBMIT else 0
        )
        return peer.instance_id not in open_items_by_runner, peer.instance_id != owner, open_items

    return sorted(runners, key=key)


async def _wait_for_first(
    tasks: Iterable[Task[RunnerResponse]], hedge_delay_ms: float | None
) -> set[Task[RunnerResponse]]:
    """Wait until at least one task has ended, and return the ended tasks.

    :param hedge_delay_ms: longest wait, after which the set may be empty; ``None`` for no limit.
    """
    timeout_s = None if hedge_delay_ms is None else hedge_delay_ms / MS_PER_S
    completed, _ = await wait(tasks, timeout=timeout_s, return_when=FIRST_COMPLETED)
    return completed


async def _read_response(connection: ClientConnection, received: FixedHolder) -> RunnerResponse:
    head = await connection.next_part()
    if not isinstance(head, ResponseHead):
        raise ExchangeError("runner's response has no head")
    parts: list[bytes] = []
    while not isinstance(item := await connection.next_part(), BodyEnd):
        parts.append(item)
        received.size_bytes += len(item)
    return RunnerResponse(head.status, head.headers, b"".join(parts))


def _encode_call(call: JobCall, request: Request) -> bytes:
    query = urlencode(call.query_fields())
    path = f"/jobs/{quote(call.job_id, safe='')}?{query}"
    body = request.body if call.kind is JobCallKind.SUBMIT else b""
    headers = Headers(
        [
            ("Host", request.headers.get("host") or ""),
            (PATH_HEADER, request.path),
            ("Content-Length", str(len(body))),
        ]
    )
    return f"{call.method} {path} HTTP/1.1\r\n".encode() + headers.encode() + b"\r\n" + body
