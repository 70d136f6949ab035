"""Executes online requests: routing, dispatch, retries, resumption and the answer."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from msgspec.structs import replace

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.answer_stream import AnswerStream
from ebonyshore.entry.limits import ServiceTimes
from ebonyshore.entry.link_messages import SendToAgent
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.entry.online_attempt import Attempt, AttemptPlan, OnlineRequest
from ebonyshore.entry.retry import (
    REDIRECT_CODES,
    STALE_CODES,
    AttemptState,
    NextStep,
    RetryBudget,
    error_for_caller,
    next_step,
)
from ebonyshore.entry.routing import Router, RouteRequest
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import RefusedError, TargetError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Finished, Ping
from ebonyshore.settings.settings_service import SettingsService

AVAILABILITY_WAIT_MS = 1_500.0  # agents refuse requests for 1 s after their start
AVAILABILITY_POLL_INTERVAL_MS = 50.0
SETTINGS_POLL_INTERVAL_MS = 20.0
SETTINGS_WAIT_MS = 1_000.0
HTTP_OK = 200
CRASH_CODES = (ResultCode.TARGET_CRASHED, ResultCode.AGENT_LOST)


def never_disconnected() -> bool:
    """Disconnect check for a caller whose connection cannot be observed; always ``False``."""
    return False


@dataclass(slots=True)
class OnlineProgress:
    """State of one request across its attempts.

    :param started_ms: monotonic time at which the request was accepted.
    :param stream: the answer sent to the caller so far.
    :param buffered: chunks of a plain service, passed on only when the answer is complete.
    :param excluded: ids of targets that the request must not be sent to.
    :param excluded_temporarily: excluded targets that are starting or stopping; they are tried
        again if no other target is available.
    :param failure: error of the last failed attempt.
    :param is_suspect: whether an attempt ended with a crash of the target or loss of its agent.
    :param attempts: number of attempts that count towards the limit.
    :param may_have_run: whether a target may have run the request.
    """

    started_ms: float
    stream: AnswerStream = field(default_factory=AnswerStream)
    buffered: list[Chunk] = field(default_factory=list)
    excluded: frozenset[str] = frozenset()
    excluded_temporarily: frozenset[str] = frozenset()
    failure: RefusedError | None = None
    can_resume: bool = False
    is_suspect: bool = False
    attempts: int = 0
    may_have_run: bool = False

    @property
    def error(self) -> RefusedError:
        """The last failure, with execution ``MAYBE_RUN`` if an earlier attempt may have run."""
        failure = self.failure or RefusedError(code=ResultCode.NO_TARGET)
        if self.may_have_run and failure.execution is Execution.NOT_RUN:
            return RefusedError(
                failure.detail,
                code=failure.code,
                execution=Execution.MAYBE_RUN,
                retry_after_ms=failure.retry_after_ms,
            )
        return failure


class OnlineService:
    """Runs online requests; each call blocks a worker thread of the HTTP server."""

    def __init__(
        self,
        link: AgentLink,
        membership: Membership,
        settings: SettingsService,
        router: Router,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._link = link
        self._membership = membership
        self._settings = settings
        self._router = router
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._retry_budget = RetryBudget()
        self._service_times = ServiceTimes()

    def run(
        self,
        request: OnlineRequest,
        is_caller_disconnected: Callable[[], bool] = never_disconnected,
    ) -> Iterator[Chunk | Finished]:
        """Yield the chunks of the answer, then :class:`Finished`.

        Closing the iterator cancels the request.

        :param is_caller_disconnected: polled while waiting; the request is cancelled when it
            returns ``True``.
        :raises RefusedError: if the request failed for good; ``execution`` tells whether a target
            may have run it.
        """
        started_ms = self._clock.monotonic_ms()
        self._retry_budget.record_request(started_ms)
        progress = OnlineProgress(started_ms)
        max_attempts = self._settings.current().for_model(request.model).max_attempts
        while True:
            target = self._choose_target(request, progress)
            attempt = self._make_attempt(request, progress, target, is_caller_disconnected)
            yield from self._relay_answer(request, attempt, progress)
            if attempt.failure is None:
                return
            self._prepare_retry(request, attempt, target, progress, max_attempts)

    def _choose_target(self, request: OnlineRequest, progress: OnlineProgress) -> TargetView:
        """Return a target for the next attempt.

        If none is available, waits for one until 1.5 s after the request was accepted, because a
        target that is starting or stopping is usually available again soon.

        :raises RefusedError: if no target became available or the deadline cannot be met.
        """
        while True:
            now_ms = self._clock.monotonic_ms()
            if request.deadline_ms <= now_ms:
                raise self._make_final_error(request, progress)
            target = self._router.choose(
                _make_route_request(request, progress), self._membership, now_ms
            )
            if target is not None:
                break
            if now_ms >= progress.started_ms + AVAILABILITY_WAIT_MS:
                raise self._make_final_error(request, progress)
            self._clock.sleep_ms(AVAILABILITY_POLL_INTERVAL_MS)
            progress.excluded -= progress.excluded_temporarily
        if (
            now_ms + self._service_times.estimate_wait_ms(request.model, target.load)
            >= request.deadline_ms
        ):
            detail = "expected queueing time exceeds the time left until the deadline"
            progress.failure = RefusedError(detail, code=ResultCode.DEADLINE_UNREACHABLE)
            raise self._make_final_error(request, progress)
        return target

    def _make_attempt(
        self,
        request: OnlineRequest,
        progress: OnlineProgress,
        target: TargetView,
        is_caller_disconnected: Callable[[], bool],
    ) -> Attempt:
        progress.attempts += 1
        plan = AttemptPlan(
            target, self._settings.current().revision, progress.is_suspect, progress.stream.text()
        )
        return Attempt(self._link, self._clock, request, plan, is_caller_disconnected)

    def _relay_answer(
        self, request: OnlineRequest, attempt: Attempt, progress: OnlineProgress
    ) -> Iterator[Chunk | Finished]:
        messages = attempt.messages()
        try:
            for message in messages:
                if isinstance(message, Finished):
                    duration_ms = self._clock.monotonic_ms() - progress.started_ms
                    self._service_times.record(request.model, duration_ms)
                if request.is_stream:
                    yield _merge_message(message, progress.stream)
                else:
                    yield from _buffer_until_finished(message, progress)
        except TargetError as error:
            attempt.failure = RefusedError(
                error.detail, code=error.code, execution=Execution.MAYBE_RUN
            )
        finally:
            messages.close()
        if attempt.failure is not None and request.is_stream:
            yield from self._finish_if_complete(attempt, progress.stream)

    def _finish_if_complete(self, attempt: Attempt, stream: AnswerStream) -> Iterator[Finished]:
        """Complete an answer that lacks nothing but the agent's final message."""
        if attempt.failure.code is ResultCode.TARGET_ERROR:
            return
        finished = stream.infer_finished(attempt.dispatch.request_id)
        if finished is not None:
            attempt.failure = None
            self._metrics.count("online_ends_without_final")
            yield finished

    def _prepare_retry(
        self,
        request: OnlineRequest,
        attempt: Attempt,
        target: TargetView,
        progress: OnlineProgress,
        max_attempts: int,
    ) -> None:
        """Record a failed attempt and prepare the next one.

        :raises RefusedError: if the request must not be attempted again.
        """
        failure = attempt.failure
        progress.failure = failure
        progress.may_have_run = progress.may_have_run or failure.execution is not Execution.NOT_RUN
        progress.is_suspect = progress.is_suspect or failure.code in CRASH_CODES
        progress.buffered.clear()
        stream = progress.stream
        can_resume = target.kind == "engine" and stream.can_resume
        state = AttemptState(
            failure.code,
            failure.execution,
            request.is_repeatable,
            stream.event_count > 0,
            can_resume,
        )
        if next_step(state) is NextStep.GIVE_UP or progress.attempts >= max_attempts:
            raise self._make_final_error(request, progress)
        if failure.code in STALE_CODES:
            self._await_settings(target, attempt.refusal_revision, request.deadline_ms)
            return
        progress.excluded |= {target.target_id}
        if failure.code in REDIRECT_CODES:
            progress.excluded_temporarily |= {target.target_id}
            progress.attempts -= 1
            return
        self._spend_retry_budget(request, progress)
        self._metrics.count("online_resumed" if stream.event_count else "online_retries")

    def _spend_retry_budget(self, request: OnlineRequest, progress: OnlineProgress) -> None:
        ratio = self._settings.current().for_model(request.model).retry_budget_ratio
        if self._retry_budget.try_retry(ratio, self._clock.monotonic_ms()):
            return
        self._metrics.count("retry_budget_exhausted")
        error = progress.error
        progress.failure = RefusedError(
            str(error), code=ResultCode.RETRY_BUDGET_EXHAUSTED, execution=error.execution
        )
        raise self._make_final_error(request, progress)

    def _make_final_error(self, request: OnlineRequest, progress: OnlineProgress) -> RefusedError:
        error = progress.error
        if request.deadline_ms <= self._clock.monotonic_ms():
            code = ResultCode.DEADLINE_EXCEEDED
            if error.execution is Execution.NOT_RUN:
                code = ResultCode.DEADLINE_UNREACHABLE
            error = RefusedError(error.detail, code=code, execution=error.execution)
        self._log.event(
            "online_given_up",
            trace_id=request.trace_id,
            code=int(error.code),
            execution=error.execution.value,
            attempts=progress.attempts,
        )
        return error_for_caller(error, request.is_repeatable, bool(request.idempotency_key))

    def _await_settings(self, target: TargetView, revision: int, deadline_ms: float) -> None:
        """Wait up to 1 s until this entry has the settings revision that the agent reported.

        The ping makes agent and entry compare their revisions and fetch the newer one.
        """
        self._link.post(SendToAgent(target.target_id, Ping(self._settings.current().revision)))
        end_ms = min(deadline_ms, self._clock.monotonic_ms() + SETTINGS_WAIT_MS)
        self._clock.sleep_ms(SETTINGS_POLL_INTERVAL_MS)
        while self._settings.current().revision < revision:
            if self._clock.monotonic_ms() >= end_ms:
                return
            self._clock.sleep_ms(SETTINGS_POLL_INTERVAL_MS)


def _make_route_request(request: OnlineRequest, progress: OnlineProgress) -> RouteRequest:
    return RouteRequest(
        request.model,
        request.content_digest,
        request.head_digest,
        progress.excluded,
        progress.is_suspect,
        needs_engine=progress.stream.event_count > 0,
    )


def _merge_message(message: Chunk | Finished, stream: AnswerStream) -> Chunk | Finished:
    """Convert a message of one attempt into a message of the joined answer.

    :raises TargetError: if the target answered with an error status, an invalid event, or a
        stream without a finish reason.
    """
    if isinstance(message, Chunk):
        sequence = stream.event_count
        return Chunk(message.request_id, sequence, stream.add_event(message.data))
    if message.http_status != HTTP_OK:
        raise TargetError(f"target answered with HTTP status {message.http_status}")
    if not stream.has_finish_reason:
        raise TargetError("stream ended without a finish reason")
    return replace(message, chunk_count=stream.event_count)


def _buffer_until_finished(
    message: Chunk | Finished, progress: OnlineProgress
) -> Iterator[Chunk | Finished]:
    if isinstance(message, Chunk):
        progress.buffered.append(message)
        return
    yield from progress.buffered
    yield message
