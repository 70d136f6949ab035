"""Forwards online requests: chooses targets, relays answers, repeats and resumes where allowed."""

from random import Random

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.balance import TargetLoad, choose_target, queue_room, retry_after_ms
from ebonyshore.gateway.exchange import Exchange, ExchangeEnd, RelayState
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.answer_reader import AttemptBrokenError, NotExecutedError
from ebonyshore.host.answers import OwnAnswer, may_have_run, not_run, timed_out
from ebonyshore.host.routes import Route
from ebonyshore.host.targets import Target, TargetTable
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import ConnectionPool
from ebonyshore.http.messages import Request
from ebonyshore.http.server import Responder

MAX_REFUSALS = 3  # targets that may refuse one request before the caller is told to come back
UNLIMITED_QUEUE = 1 << 20
NO_TARGET_RETRY_MS = 500.0
MIN_REMAINING_MS = 5.0
SHED_SIGN = 0.5  # of a failure: a refusal by a target that should have had room


class Forwarder:
    """Serves online requests of an entry.

    :param names: of headers.
    :param targets: known targets.
    :param view: their load.
    :param pool: connections to them.
    :param random: spreads choices and times of return.
    """

    def __init__(
        self,
        names: WireNames,
        targets: TargetTable,
        view: LoadView,
        pool: ConnectionPool,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.names = names
        self.targets = targets
        self.view = view
        self.pool = pool
        self.log = log
        self.metrics = metrics
        self.random = random

    async def forward(self, route: Route, request: Request, responder: Responder) -> None:
        """Answer one request."""
        await _Forward(self, route, request, responder).run()

    def pick_service(self, route: Route) -> list[Target]:
        """Return the targets of one of the route's services, drawn by weight.

        A service without targets is passed over.
        """
        shares = [(share, self.targets.serving(share.service)) for share in route.shares]
        usable = [(share, found) for share, found in shares if found and share.weight > 0]
        if not usable:
            return []
        weights = [share.weight for share, _ in usable]
        return self.random.choices(usable, weights)[0][1]


class _Forward:
    """One request on its way to an answer."""

    def __init__(
        self, owner: Forwarder, route: Route, request: Request, responder: Responder
    ) -> None:
        self._owner = owner
        self._route = route
        self._request = request
        self._responder = responder
        self._request_id = request.headers.get(owner.names.request_id)
        self._service = owner.pick_service(route)
        self._tried: list[str] = []
        self._failed: set[str] = set()
        self._runs = 0
        self._refusals = 0
        self._room: int | None = None
        self._relay = RelayState(request.headers.get(owner.names.last_event_id))
        self._deadline_ms = request.received_ms + _allowed_ms(route, request, owner.names)

    async def run(self) -> None:
        outcome = "client_left"
        try:
            outcome = await self._run_until_deadline()
        finally:
            duration_ms = now_ms() - self._request.received_ms
            self._owner.metrics.count(f"requests_{outcome}")
            self._owner.metrics.record_ms("request", duration_ms)
            self._owner.log.event(
                "request_ended",
                request=self._request_id,
                route=self._route.name,
                outcome=outcome,
                targets=",".join(self._tried),
                runs=self._runs,
                room=self._room,
                load_age_ms=self._owner.view.totals_age_ms(now_ms()),
                last_event=self._relay.last_id,
                first_event_ms=self._since_received(self._relay.first_event_ms),
                duration_ms=duration_ms,
            )

    def _since_received(self, at_ms: float | None) -> float | None:
        return None if at_ms is None else at_ms - self._request.received_ms

    async def _run_until_deadline(self) -> str:
        while True:
            remaining_ms = self._deadline_ms - now_ms()
            if remaining_ms < MIN_REMAINING_MS:
                return self._fail(timed_out(was_sent=self._runs > 0))
            target = self._choose()
            if target is None:
                return self._refuse()
            answer = await self._attempt(target, remaining_ms)
            if answer is not None:
                return answer

    async def _attempt(self, target: Target, remaining_ms: float) -> str | None:
        """Send the request to a target.

        :return: the outcome, or ``None`` if another target may be tried.
        """
        owner = self._owner
        self._tried.append(target.target_id)
        self._runs += 1
        has_retry = self._may_repeat()
        exchange = Exchange(owner.names, owner.pool, target, self._request, self._relay)
        owner.view.begin(target)
        began_ms = now_ms()
        try:
            end = await exchange.run(self._responder, remaining_ms, self._route, has_retry)
        except NotExecutedError as error:
            self._runs -= 1
            return self._after_refusal(target, error)
        except AttemptBrokenError as error:
            return self._after_break(target, error)
        finally:
            owner.view.end(target)
        target.outcomes.add(float(end is ExchangeEnd.FAILED), now_ms())
        if end is ExchangeEnd.STREAMED:
            owner.view.note_occupancy(now_ms() - began_ms)
        return "answered"

    def _after_refusal(self, target: Target, error: NotExecutedError) -> str | None:
        self._failed.add(target.target_id)
        self._refusals += 1
        if error.is_unreachable:
            target.note_unreachable(now_ms())
        else:
            target.note_full(now_ms())
            target.outcomes.add(SHED_SIGN if (self._room or 0) > 0 else 0.0, now_ms())
        self._log_attempt(target, "not_executed", error.detail)
        if self._refusals > MAX_REFUSALS:
            return self._refuse()
        return None

    def _after_break(self, target: Target, error: AttemptBrokenError) -> str | None:
        self._failed.add(target.target_id)
        target.outcomes.add(1.0, now_ms())
        if error.is_silence:
            target.note_silent(now_ms())
        self._log_attempt(target, "broken", error.detail)
        if self._may_repeat():
            return None
        if error.is_timeout:
            return self._fail(timed_out(was_sent=True))
        return self._fail(error.answer or may_have_run(ResultCode.TARGET_CRASHED))

    def _may_repeat(self) -> bool:
        return self._route.is_repeatable and self._runs < self._route.max_attempts

    def _choose(self) -> Target | None:
        targets = [target for target in self._service if target.target_id not in self._failed]
        targets = targets or self._service
        owner = self._owner
        loads = owner.view.loads(targets, now_ms())
        places = UNLIMITED_QUEUE if self._runs else self._queue_places(loads)
        chosen = choose_target(loads, places, owner.random.random())
        if chosen is None:
            return None
        self._room = chosen.room
        return owner.targets.find(chosen.target_id)

    def _queue_places(self, loads: list[TargetLoad]) -> int:
        capacity = loads[0].capacity if loads else 0
        occupancy_ms = self._owner.view.occupancy_ms
        return queue_room(capacity, self._route.target_latency_ms, occupancy_ms)

    def _refuse(self) -> str:
        """Tell the caller to come back, or that its request may have run."""
        if self._runs:
            return self._fail(may_have_run(ResultCode.OUTCOME_UNKNOWN))
        owner = self._owner
        if not self._service:
            return self._fail(not_run(ResultCode.NO_TARGET, NO_TARGET_RETRY_MS))
        loads = owner.view.loads(self._service, now_ms())
        pause_ms = retry_after_ms(loads, owner.view.occupancy_ms, owner.random.random())
        owner.log.event(
            "request_refused",
            request=self._request_id,
            online=sum(load.online for load in loads),
            batch=sum(load.batch for load in loads),
            places=sum(load.capacity for load in loads),
            load_age_ms=owner.view.totals_age_ms(now_ms()),
            retry_after_ms=pause_ms,
        )
        return self._fail(not_run(ResultCode.OVERLOADED, pause_ms))

    def _fail(self, answer: OwnAnswer) -> str:
        if self._responder.is_started:
            self._responder.abort()
            return "cut"
        answer.send(self._responder, self._request, self._owner.names)
        return answer.code.name.lower()

    def _log_attempt(self, target: Target, outcome: str, detail: str) -> None:
        self._owner.metrics.count(f"attempts_{outcome}")
        self._owner.log.event(
            "attempt_ended",
            request=self._request_id,
            target=target.target_id,
            outcome=outcome,
            detail=detail,
            last_event=self._relay.last_id,
        )


def _allowed_ms(route: Route, request: Request, names: WireNames) -> float:
    """Return how long the request may take: the caller's limit or the route's."""
    told = request.headers.get(names.remaining_ms) or ""
    try:
        return min(float(told), route.timeout_ms)
    except ValueError:
        return route.timeout_ms
