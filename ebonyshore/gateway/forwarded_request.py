"""One online request that is forwarded, over all its attempts."""

from asyncio import sleep
from collections.abc import Sequence

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.account_shares import Placement, ShareExceededError
from ebonyshore.gateway.attempt_outcomes import AttemptOutcomes
from ebonyshore.gateway.authentication import AccessDeniedError
from ebonyshore.gateway.balance import (
    Objective,
    TargetLoad,
    choose_target,
    concurrent_choices,
    limit_returning,
    max_queued_requests,
    retry_after_ms,
)
from ebonyshore.gateway.exchange import Exchange
from ebonyshore.gateway.forwarding_parts import ForwardingParts
from ebonyshore.gateway.relay_state import RelayState, route_pause_limits
from ebonyshore.gateway.stream_origins import UnknownOriginError
from ebonyshore.gateway.take_up import TakeUp
from ebonyshore.host.accounts import Account
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.error_responses import (
    ErrorResponse,
    deadline_response,
    maybe_executed_response,
    not_executed_response,
)
from ebonyshore.host.request_content import RequestContent, content_digest, part_digests
from ebonyshore.host.response_reader import AttemptFailedError, NotExecutedError
from ebonyshore.host.routes import Route
from ebonyshore.host.target import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.messages import Request
from ebonyshore.http.numbers import parse_non_negative
from ebonyshore.http.responder import Responder

MAX_REFUSALS = 3  # after more refusals by targets no other target is tried
# A request that may have run can no longer be refused, so it may join a queue of any length.
UNBOUNDED_QUEUE_SLOTS = 1 << 20
NO_TARGET_RETRY_MS = 500.0
# A request whose attempts broke is not sent once more before their targets have been checked; its
# first retry does not wait, because a target's connections also break for other reasons.
MAX_UNCHECKED_ATTEMPTS = 2
LIMIT_POLL_MS = 50.0
MIN_REMAINING_MS = 5.0  # with less time left no attempt is started


class ForwardedRequest:
    """One request over all its attempts.

    :param forwarder: the parts of the entry.
    :param account: the client account for which the request was admitted, if any.
    """

    def __init__(
        self,
        forwarder: ForwardingParts,
        route: Route,
        request: Request,
        responder: Responder,
        account: Account | None,
    ) -> None:
        self._forwarder = forwarder
        self._route = route
        self._request = request
        self._responder = responder
        self._admitted_account = account  # whose quota the request was counted for
        self._account = account
        self._request_id = request.headers.get(forwarder.names.request_id)
        self._content = _content(request, forwarder.names)
        self._service = forwarder.limits.choose_service(route)
        self._tried_targets: list[str] = []
        self._tried_versions: list[str] = []
        self._unsuccessful_targets: set[str] = set()
        self._attempts = 0  # those that may have run; refused ones are not counted
        self._refusals = 0
        self._chosen: TargetLoad | None = None  # load of the target that was chosen last
        self._chosen_ms = 0.0
        self._outcomes = AttemptOutcomes(forwarder, route)
        self._objective = Objective(route.target_latency_ms, route.max_gap_ms)
        self._relay = RelayState(
            request.headers.get(forwarder.names.last_event_id), route_pause_limits(route)
        )
        self._deadline_ms = request.received_ms + time_limit_ms(route, request, forwarder.names)

    async def run(self) -> None:
        outcome = "client_left"
        try:
            outcome = await self._run_until_deadline()
        except (AccessDeniedError, ShareExceededError) as error:
            outcome = self._deny(error.response)
        finally:
            if self._admitted_account is not None and not self._attempts:
                self._forwarder.on_not_run(self._admitted_account)
            duration_ms = now_ms() - self._request.received_ms
            self._forwarder.metrics.count(f"requests_{outcome}")
            self._forwarder.metrics.record_ms("request", duration_ms)
            self._forwarder.log.event(
                "request_ended",
                request=self._request_id,
                content=self._content.digest,
                parts=",".join(self._content.parts),
                route=self._route.name,
                caller=self._caller(),
                outcome=outcome,
                resumes=self._request.headers.get(self._forwarder.names.resumed_request),
                targets=",".join(self._tried_targets),
                versions=",".join(self._tried_versions),
                runs=self._attempts,
                room=self._free_slots(),
                speed=self._chosen and self._chosen.speed,
                expected_ms=self._expected_ms(),
                load_age_ms=self._forwarder.view.totals_age_ms(now_ms()),
                last_event=self._relay.last_id,
                first_event_ms=self._since_received(self._relay.first_event_ms),
                duration_ms=duration_ms,
            )

    def _caller(self) -> str | None:
        return None if self._account is None else self._account.name

    def _since_received(self, at_ms: float | None) -> float | None:
        return None if at_ms is None else at_ms - self._request.received_ms

    async def _run_until_deadline(self) -> str:
        """Try one target after the other.

        :return: the outcome of the request.
        :raises AccessDeniedError: if the request is not admitted any more.
        :raises ShareExceededError: if its account uses more than its share.
        """
        if self._relay.last_id is not None:
            outcome = await self._prepare_take_up()
            if outcome is not None:
                return outcome
        guard = self._forwarder.crash_guard
        while True:
            if self._attempts >= MAX_UNCHECKED_ATTEMPTS:
                await guard.settle(self._content.digest)
            if guard.is_refused(self._content):
                return self._refuse_convicted()
            remaining_ms = self._deadline_ms - now_ms()
            if remaining_ms < MIN_REMAINING_MS:
                return self._fail(deadline_response(was_sent=self._attempts > 0))
            self._authenticate()
            target = self._choose_target()
            if target is None and self._attempts and self._usable_targets():
                # It has run, so it cannot be refused; all targets are at their rate limits.
                await sleep(LIMIT_POLL_MS / MS_PER_S)
                continue
            if target is None:
                return self._refuse()
            outcome = await self._attempt(target, remaining_ms)
            if outcome is not None:
                return outcome

    def _authenticate(self) -> None:
        """Check that the request is still admitted; its key may have been removed meanwhile.

        :raises AccessDeniedError: if it is not.
        """
        self._account = self._forwarder.authenticator.authenticate(
            self._request.headers, self._route.is_public
        )

    def _deny(self, response: ErrorResponse) -> str:
        """Refuse the request, or fail it if an attempt may have run."""
        if self._attempts:
            return self._fail(maybe_executed_response(response.code))
        return self._fail(response)

    async def _prepare_take_up(self) -> str | None:
        """Let a stream that its caller takes up go on only at the targets at which it began.

        If the route does not lead to their service any more, another service may continue it.

        :return: the outcome if the request is refused.
        """
        if self._service is None:
            return self._refuse()
        take_up = TakeUp(self._forwarder, self._request, self._relay.last_id)
        try:
            origin = await take_up.find_origin(self._service)
        except UnknownOriginError as error:
            return self._refuse_unknown_origin(error)
        if origin.service in {share.service for share in self._route.shares}:
            self._service = origin.service
            self._relay.origin = origin
        return None

    async def _attempt(self, target: Target, remaining_ms: float) -> str | None:
        """Send the request to a target.

        :return: the outcome of the request, or ``None`` if another target may be tried.
        """
        forwarder = self._forwarder
        self._tried_targets.append(target.target_id)
        self._tried_versions.append(target.entry.software_version)
        self._attempts += 1
        can_retry = self._can_retry()
        run = forwarder.crash_guard.begin(target, self._content, can_retry)
        run.on_first_event = self._outcomes.record_answer_pace
        exchange = self._make_exchange(target, run)
        forwarder.targets.rate_limits.record_sent(target.incarnation, now_ms())
        forwarder.view.record_start(target)
        if self._account is not None:
            forwarder.on_run_start(self._account)
        try:
            end = await exchange.run(self._responder, remaining_ms, self._route, can_retry)
        except NotExecutedError as error:
            self._attempts -= 1
            return self._after_refusal(run, error)
        except AttemptFailedError as error:
            if error.may_be_crash:
                forwarder.crash_guard.end_broken(run)
            return self._after_failure(run, error)
        finally:
            forwarder.view.record_end(target)
            if self._account is not None:
                forwarder.on_run_end(self._account)
            forwarder.crash_guard.end(run)
        self._outcomes.record_answer(run, end)
        if self._relay.is_body_begun:
            forwarder.metrics.count("bodies_relayed")
        return "answered"

    def _make_exchange(self, target: Target, run: ContentRun) -> Exchange:
        forwarder = self._forwarder
        return Exchange(
            forwarder.names,
            forwarder.pool,
            forwarder.authenticator.to_forwarded(self._request, self._account),
            self._relay,
            run,
            forwarder.checker if self._must_confirm_incarnation() else None,
            forwarder.crash_guard.confirm_end,
            self._record_first_event,
            lambda: self._can_move_from(target),
        )

    def _after_refusal(self, run: ContentRun, error: NotExecutedError) -> str | None:
        self._unsuccessful_targets.add(run.target.target_id)
        self._refusals += 1
        self._outcomes.record_refusal(run, error, (self._free_slots() or 0) > 0)
        self._log_attempt(run, "not_executed", error.detail)
        if self._refusals > MAX_REFUSALS:
            return self._refuse()
        return None

    def _after_failure(self, run: ContentRun, error: AttemptFailedError) -> str | None:
        if error.is_out_of_memory:
            self._log_attempt(run, "given_up", error.detail)
            return self._fail(maybe_executed_response(ResultCode.OUTCOME_UNKNOWN))
        self._unsuccessful_targets.add(run.target.target_id)
        self._outcomes.record_failure(run, error)
        self._log_attempt(run, "broken", error.detail)
        if self._can_retry():
            return None
        if error.is_deadline_exceeded:
            return self._fail(deadline_response(was_sent=True))
        return self._fail(error.response or maybe_executed_response(ResultCode.TARGET_CRASHED))

    def _can_retry(self) -> bool:
        if self._relay.is_body_begun:
            return False
        return self._route.is_repeatable and self._attempts < self._route.max_attempts

    def _can_move_from(self, target: Target) -> bool:
        """Return whether a target that has not been tried could take the request over now."""
        if self._forwarder.crash_guard.is_refused(self._content):
            return False
        tried = self._unsuccessful_targets | {target.target_id}
        usable = [other for other in self._usable_targets() if other.target_id not in tried]
        loads = self._forwarder.limits.loads_within_limits(usable, has_run=True)
        queue_slots = self._queue_slots(loads)
        return any(
            not load.is_avoided and load.free_slots_for_online + queue_slots > 0 for load in loads
        )

    def _usable_targets(self) -> list[Target]:
        """Return the targets that accept requests and may add to the caller's answer.

        The version of a target whose restart the list does not show yet is not known.
        """
        if self._service is None:
            return []
        is_mixed = self._forwarder.origins.is_mixed(self._service)
        return [
            target
            for target in self._forwarder.targets.accepting(self._service)
            if self._relay.may_continue_at(target.entry.group)
            and not (is_mixed and target.is_outdated)
        ]

    def _choose_target(self) -> Target | None:
        usable = self._usable_targets()
        if not usable and not self._attempts and self._relay.origin is None:
            # The targets of the service have left since it was chosen.
            self._service = self._forwarder.limits.choose_service(self._route)
            usable = self._usable_targets()
        forwarder = self._forwarder
        loads = forwarder.limits.loads_within_limits(usable, has_run=self._attempts > 0)
        untried = [load for load in loads if load.target_id not in self._unsuccessful_targets]
        loads = untried or loads
        queue_slots = UNBOUNDED_QUEUE_SLOTS if self._attempts else self._queue_slots(loads)
        choices = concurrent_choices(loads, forwarder.view.mean_service_time_ms)
        draw, objective = forwarder.random.random(), self._objective
        limited = limit_returning(loads, forwarder.limits.pace_allowances(loads), choices)
        chosen = choose_target(limited, queue_slots, choices, draw, objective)
        if chosen is None:  # a target that returns is better than none
            chosen = choose_target(loads, queue_slots, choices, draw, objective)
        if chosen is None:
            return None
        if self._account is not None and not self._attempts:
            self._check_share(self._account, chosen, loads)
        self._chosen, self._chosen_ms = chosen, now_ms()
        forwarder.metrics.set_gauge("slowest_target_speed", min(load.speed for load in loads))
        return forwarder.targets.find(chosen.target_id)

    def _check_share(
        self, account: Account, chosen: TargetLoad, loads: Sequence[TargetLoad]
    ) -> None:
        placement = Placement(
            self._request_id,
            self._route,
            chosen,
            loads,
            self._forwarder.view.mean_service_time_ms,
            self._deadline_ms - now_ms(),
        )
        self._forwarder.check_share(account, placement)

    def _queue_slots(self, loads: list[TargetLoad]) -> int:
        # Limits of single targets may have reduced their capacity here.
        capacity = max((load.capacity for load in loads), default=0)
        service_time_ms = self._forwarder.view.mean_service_time_ms
        return max_queued_requests(capacity, self._route.target_latency_ms, service_time_ms)

    def _refuse(self) -> str:
        """Refuse the request with a retry delay, or fail it if an attempt may have run."""
        if self._attempts:
            return self._fail(maybe_executed_response(ResultCode.OUTCOME_UNKNOWN))
        forwarder = self._forwarder
        usable = self._usable_targets()
        if not usable:
            return self._fail(not_executed_response(ResultCode.NO_TARGET, NO_TARGET_RETRY_MS))
        loads = forwarder.view.target_loads(usable, now_ms())
        delay_ms = retry_after_ms(
            loads, forwarder.view.mean_service_time_ms, forwarder.random.random()
        )
        forwarder.log.event(
            "request_refused",
            request=self._request_id,
            caller=self._caller(),
            online=sum(load.online for load in loads),
            batch=sum(load.batch for load in loads),
            places=sum(load.capacity for load in loads),
            load_age_ms=forwarder.view.totals_age_ms(now_ms()),
            retry_after_ms=delay_ms,
        )
        return self._fail(not_executed_response(ResultCode.OVERLOADED, delay_ms))

    def _must_confirm_incarnation(self) -> bool:
        """Whether the target's version has to be certain, as others do not fit the stream.

        Also while only one version is listed: a target that was started again under its id may be
        the first of another one.
        """
        return self._relay.origin is not None

    def _free_slots(self) -> int | None:
        return self._chosen and self._chosen.free_slots

    def _expected_ms(self) -> float | None:
        """Return the time to the first event that was expected when the last target was chosen."""
        if self._chosen is None:
            return None
        service_time_ms = self._forwarder.view.mean_service_time_ms
        return self._chosen.wait_ms(service_time_ms) + self._chosen.first_event_ms

    def _record_first_event(self) -> None:
        self._forwarder.view.record_first_event(self._chosen, now_ms() - self._chosen_ms)
        if self._route.is_repeatable and self._request_id is not None:
            self._forwarder.origins.record(self._request_id, self._relay.origin)

    def _refuse_unknown_origin(self, error: UnknownOriginError) -> str:
        self._forwarder.log.event(
            "stream_origin_unknown", request=self._request_id, error=str(error)
        )
        code = ResultCode.STREAM_ORIGIN_UNKNOWN
        response = not_executed_response(code, error.retry_after_ms)
        return self._fail(response)

    def _refuse_convicted(self) -> str:
        """Refuse a request whose content crashes targets, or fail it if an attempt may have run."""
        code = ResultCode.CONVICTED
        if self._attempts:
            return self._fail(maybe_executed_response(code))
        retry_after_ms = self._forwarder.crash_guard.refusal_ms(self._content)
        return self._fail(not_executed_response(code, retry_after_ms))

    def _fail(self, response: ErrorResponse) -> str:
        if self._responder.is_started:
            self._responder.abort()
            return "cut"
        response.send(self._responder, self._request, self._forwarder.names)
        return response.code.name.lower()

    def _log_attempt(self, run: ContentRun, outcome: str, detail: str) -> None:
        self._forwarder.metrics.count(f"attempts_{outcome}")
        self._forwarder.log.event(
            "attempt_ended",
            request=self._request_id,
            content=self._content.digest,
            target=run.target.target_id,
            outcome=outcome,
            detail=detail,
            last_event=self._relay.last_id,
            progress_ms=run.progress_ms,
        )


def _content(request: Request, names: WireNames) -> RequestContent:
    host = request.headers.get("host") or ""
    return RequestContent(
        content_digest(host, request.method, request.target, request.body),
        part_digests(request.headers.get_joined(names.prompt_parts)),
    )


def time_limit_ms(route: Route, request: Request, names: WireNames) -> float:
    """Return the time limit of a request: the lower of the caller's limit and the route's."""
    remaining_ms = parse_non_negative(request.headers.get(names.remaining_ms))
    return route.timeout_ms if remaining_ms is None else min(remaining_ms, route.timeout_ms)
