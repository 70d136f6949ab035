"""Passes callers' calls about batch jobs on to the runners.

Any runner can answer any call. The owner of a job answers reads from its memory, so it is asked
first; a new job goes to the runner with the least to do.
"""

from asyncio import FIRST_COMPLETED, Task, create_task, timeout, wait
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from random import Random
from urllib.parse import parse_qs, quote, urlencode, urlsplit

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.answers import OwnAnswer, may_have_run, not_run
from ebonyshore.host.routes import Route
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import BodyEnd, ClientConnection, ConnectionPool, ExchangeError
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request, ResponseHead
from ebonyshore.http.server import Responder
from ebonyshore.link.job_call import OWNER_HEADER, ROUTE_HEADER, JobCall, JobCallKind
from ebonyshore.link.peers import PeerDirectory, PeerRecord

CONNECT_TIMEOUT_MS = 250.0
CALL_TIMEOUT_MS = 1_200.0
SUBMIT_TIMEOUT_MS = 2_500.0
SUBMIT_HEDGE_DELAY_MS = 120.0  # until a further runner is offered the job
MAX_IDLE_MS = 4_000.0
MAX_WAIT_MS = 1_000.0
RETRY_AFTER_MS = 600.0
KNOWN_OWNERS = 4_096


class RunnerAnswer(Struct):
    """A runner's answer to one call."""

    status: int
    headers: Headers
    body: bytes

    def send(self, responder: Responder) -> None:
        """Pass it on to the caller."""
        headers = Headers([("Content-Type", "application/json")])
        if (pause := self.headers.get("retry-after")) is not None:
            headers.add("Retry-After", pause)
        responder.send(self.status, headers, self.body)


class RunnerAnswers:
    """What the runners have answered to one call so far.

    ``final`` is an answer that ends the call, or ``None``.
    """

    __slots__ = ("_last", "_may_have_taken", "final")

    def __init__(self) -> None:
        self.final: RunnerAnswer | None = None
        self._may_have_taken = False
        self._last: OwnAnswer | RunnerAnswer = not_run(ResultCode.NO_TARGET, RETRY_AFTER_MS)

    def note(self, answer: RunnerAnswer) -> None:
        """Take an answer."""
        if answer.status < 500:
            self.final = answer
        self._may_have_taken = self._may_have_taken or answer.status != 503
        self._last = answer

    def note_failure(self, error: ExchangeError) -> None:
        """Take that a runner did not answer."""
        self._may_have_taken = self._may_have_taken or error.was_sent

    def without_final(self, kind: JobCallKind) -> OwnAnswer | RunnerAnswer:
        """Return what the caller is told if no runner has answered for good."""
        if kind is JobCallKind.SUBMIT and self._may_have_taken:
            return may_have_run(ResultCode.OUTCOME_UNKNOWN)
        return self._last


class JobCalls:
    """Calls runners for an entry.

    :param peers: knows their addresses.
    :param view: tells which are alive and what they have to do.
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
        self, request: Request, responder: Responder, route: Route | None = None
    ) -> None:
        """Answer a call about a job; with ``route`` it submits one."""
        call = self._decode(request) if route is None else self._decode_job(request, route)
        if call is None:
            OwnAnswer(404, ResultCode.NOT_FOUND).send(responder, request, self._names)
            return
        answer = await self._ask_runners(call, request)
        if isinstance(answer, OwnAnswer):
            answer.send(responder, request, self._names)
        else:
            answer.send(responder)

    async def _ask_runners(self, call: JobCall, request: Request) -> OwnAnswer | RunnerAnswer:
        """Ask one runner after the other until one answers for good.

        A runner that is cut off from the store settles its write for seconds. A submitted job is
        offered to the next one meanwhile: whichever stores it first owns it.
        """
        hedge_delay_ms = SUBMIT_HEDGE_DELAY_MS if call.kind is JobCallKind.SUBMIT else None
        waiting = self._order(call)
        asked: dict[Task[RunnerAnswer], PeerRecord] = {}
        answers = RunnerAnswers()
        try:
            while waiting or asked:
                if waiting:
                    runner = waiting.pop(0)
                    asked[create_task(self._ask(runner, call, request))] = runner
                for task in await _first_done(asked, hedge_delay_ms if waiting else None):
                    self._take(answers, call, asked.pop(task), task)
                if answers.final is not None:
                    return answers.final
        finally:
            for task in asked:
                task.cancel()
        return answers.without_final(call.kind)

    def _take(
        self,
        answers: RunnerAnswers,
        call: JobCall,
        runner: PeerRecord,
        task: Task[RunnerAnswer],
    ) -> None:
        try:
            answer = task.result()
        except ExchangeError as error:
            answers.note_failure(error)
            self._note_failure(runner, call, error)
        else:
            answers.note(answer)
            self._note_owner(call.job_id, answer)

    def _note_failure(self, runner: PeerRecord, call: JobCall, error: ExchangeError) -> None:
        self._metrics.count("runner_calls_failed")
        self._log.event(
            "runner_call_failed",
            job=call.job_id,
            call=call.kind.value,
            runner=runner.instance_id,
            detail=str(error),
        )

    def _order(self, call: JobCall) -> list[PeerRecord]:
        runners = list(self._peers.of_role("runner").values())
        self._random.shuffle(runners)
        owner = self._owners.get(call.job_id)
        return order_runners(runners, self._view.runners, owner, call.kind)

    async def _ask(self, runner: PeerRecord, call: JobCall, request: Request) -> RunnerAnswer:
        address = f"{runner.host}:{runner.port}"
        limit_ms = SUBMIT_TIMEOUT_MS if call.kind is JobCallKind.SUBMIT else CALL_TIMEOUT_MS
        try:
            async with (
                self._pool.use(address, CONNECT_TIMEOUT_MS, MAX_IDLE_MS) as connection,
                timeout((limit_ms + call.wait_ms) / MS_PER_S),
            ):
                connection.send(_encode(call, request))
                return await _read_answer(connection)
        except TimeoutError as error:
            raise ExchangeError("the runner does not answer") from error

    def _note_owner(self, job_id: str, answer: RunnerAnswer) -> None:
        owner = answer.headers.get(OWNER_HEADER)
        if not owner:
            return
        self._owners[job_id] = owner
        self._owners.move_to_end(job_id)
        if len(self._owners) > KNOWN_OWNERS:
            self._owners.popitem(last=False)

    def _decode_job(self, request: Request, route: Route) -> JobCall | None:
        """Return the call that submits a job; ``None`` if it has no id."""
        job_id = request.headers.get(self._names.request_id)
        if not job_id:
            return None
        age_ms = now_ms() - request.received_ms
        return JobCall(JobCallKind.SUBMIT, job_id, route_name=route.name, age_ms=age_ms)

    def _decode(self, request: Request) -> JobCall | None:
        """Return the call about a job that a request makes; ``None`` if it makes none."""
        names = self._names
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
        if parts.path.startswith(names.item_bodies_path) and request.method == "GET":
            job_id = parts.path.removeprefix(names.item_bodies_path)
            item_id = query.get(names.item_id, [""])[0]
            return JobCall(JobCallKind.ITEM_BODY, job_id, item_id=item_id)
        job_id = parts.path.removeprefix(names.jobs_path)
        if request.method == "DELETE":
            return JobCall(JobCallKind.CANCEL, job_id)
        if request.method != "GET":
            return None
        first = query.get(names.results_from, ["0"])[0]
        wait_ms = _number(request.headers.get(names.wait_ms))
        return JobCall(
            JobCallKind.RESULTS,
            job_id,
            first_position=int(first) if first.isdigit() else 0,
            wait_ms=min(wait_ms, MAX_WAIT_MS),
        )


def order_runners(
    runners: Sequence[PeerRecord], alive: dict[str, int], owner: str | None, kind: JobCallKind
) -> list[PeerRecord]:
    """Return the runners in the order in which they are asked.

    Live ones come first, since a call to an instance that is gone costs the time to connect; among
    them the job's owner, and for a new job the one with the least to do.

    :param alive: open items of the live runners; empty if none is known to live.
    """

    def key(peer: PeerRecord) -> tuple[bool, bool, int]:
        open_items = alive.get(peer.instance_id, 0) if kind is JobCallKind.SUBMIT else 0
        return peer.instance_id not in alive, peer.instance_id != owner, open_items

    return sorted(runners, key=key)


async def _first_done(
    tasks: Iterable[Task[RunnerAnswer]], hedge_delay_ms: float | None
) -> set[Task[RunnerAnswer]]:
    """Wait until a task has ended, or for so long; return those that have."""
    limit_s = None if hedge_delay_ms is None else hedge_delay_ms / MS_PER_S
    done, _ = await wait(tasks, timeout=limit_s, return_when=FIRST_COMPLETED)
    return done


async def _read_answer(connection: ClientConnection) -> RunnerAnswer:
    head = await connection.next_item()
    if not isinstance(head, ResponseHead):
        raise ExchangeError("answer without a head")
    parts: list[bytes] = []
    while not isinstance(item := await connection.next_item(), BodyEnd):
        parts.append(item)
    return RunnerAnswer(head.status, head.headers, b"".join(parts))


def _encode(call: JobCall, request: Request) -> bytes:
    query = urlencode(call.query())
    path = f"/jobs/{quote(call.job_id, safe='')}?{query}"
    body = request.body if call.kind is JobCallKind.SUBMIT else b""
    headers = Headers(
        [
            ("Host", request.headers.get("host") or ""),
            (ROUTE_HEADER, request.path),
            ("Content-Length", str(len(body))),
        ]
    )
    return f"{call.method} {path} HTTP/1.1\r\n".encode() + headers.encode() + b"\r\n" + body


def _number(text: str | None) -> float:
    try:
        return max(0.0, float(text or 0))
    except ValueError:
        return 0.0
