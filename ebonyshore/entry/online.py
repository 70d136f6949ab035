"""The life cycle of one online request: route, dispatch, retry or resume, answer."""

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

AVAILABILITY_WAIT_MS = 1_500.0  # an agent refuses work for 1 s after its start
AVAILABILITY_PAUSE_MS = 50.0
STALE_PAUSE_MS = 20.0
STALE_WAIT_MS = 1_000.0
HTTP_OK = 200
CRASH_CODES = (ResultCode.TARGET_CRASHED, ResultCode.AGENT_LOST)


def caller_stays() -> bool:
    """Stand for a caller that never disconnects."""
    return False


@dataclass(slots=True)
class Progress:
    """What one request has been through.

    :param buffered: chunks of a plain service, handed over only when the answer is complete.
    """

    started_ms: float
    stream: AnswerStream = field(default_factory=AnswerStream)
    buffered: list[Chunk] = field(default_factory=list)
    excluded: frozenset[str] = frozenset()
    redirected: frozenset[str] = frozenset()
    failure: RefusedError | None = None
    can_resume: bool = False
    is_suspect: bool = False
    attempts: int = 0
    has_run: bool = False

    @property
    def error(self) -> RefusedError:
        """The last failure; it never says that an earlier attempt did not run."""
        failure = self.failure or RefusedError(code=ResultCode.NO_TARGET)
        if self.has_run and failure.execution is Execution.NOT_RUN:
            return RefusedError(
                failure.detail,
                code=failure.code,
                execution=Execution.MAYBE_RUN,
                retry_after_ms=failure.retry_after_ms,
            )
        return failure


class OnlineService:
    """Runs online requests; each call blocks a worker thread of the HTTP server.

    :param router: chooses targets.
    """

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
        self._budget = RetryBudget()
        self._times = ServiceTimes()

    def run(
        self, request: OnlineRequest, is_caller_gone: Callable[[], bool] = caller_stays
    ) -> Iterator[Chunk | Finished]:
        """Yield the chunks of the answer, then :class:`Finished`.

        :raises RefusedError: the request was given up; ``execution`` tells whether it ran.
        """
        started_ms = self._clock.monotonic_ms()
        self._budget.record_request(started_ms)
        progress = Progress(started_ms)
        max_attempts = self._settings.current().for_model(request.model).max_attempts
        while True:
            target = self._choose(request, progress)
            attempt = self._start(request, progress, target, is_caller_gone)
            yield from self._pass_on(request, attempt, progress)
            if attempt.failure is None:
                return
            self._note_failure(request, attempt, target, progress, max_attempts)

    def _choose(self, request: OnlineRequest, progress: Progress) -> TargetView:
        """Return a target; one that starts or stops is waited for up to 1.5 s."""
        while True:
            now_ms = self._clock.monotonic_ms()
            if request.deadline_ms <= now_ms:
                raise self._give_up(request, progress)
            target = self._router.choose(_route(request, progress), self._membership, now_ms)
            if target is not None:
                break
            if now_ms >= progress.started_ms + AVAILABILITY_WAIT_MS:
                raise self._give_up(request, progress)
            self._clock.sleep_ms(AVAILABILITY_PAUSE_MS)
            progress.excluded -= progress.redirected
        if now_ms + self._times.estimate_wait_ms(request.model, target.load) >= request.deadline_ms:
            detail = "the queue is longer than the time left"
            progress.failure = RefusedError(detail, code=ResultCode.DEADLINE_UNREACHABLE)
            raise self._give_up(request, progress)
        return target

    def _start(
        self,
        request: OnlineRequest,
        progress: Progress,
        target: TargetView,
        is_caller_gone: Callable[[], bool],
    ) -> Attempt:
        progress.attempts += 1
        plan = AttemptPlan(
            target, self._settings.current().revision, progress.is_suspect, progress.stream.text()
        )
        return Attempt(self._link, self._clock, request, plan, is_caller_gone)

    def _pass_on(
        self, request: OnlineRequest, attempt: Attempt, progress: Progress
    ) -> Iterator[Chunk | Finished]:
        messages = attempt.messages()
        try:
            for message in messages:
                if isinstance(message, Finished):
                    duration_ms = self._clock.monotonic_ms() - progress.started_ms
                    self._times.record(request.model, duration_ms)
                if request.is_stream:
                    yield _accept(message, progress.stream)
                else:
                    yield from _buffer(message, progress)
        except TargetError as error:
            attempt.failure = RefusedError(
                error.detail, code=error.code, execution=Execution.MAYBE_RUN
            )
        finally:
            messages.close()
        if attempt.failure is not None and request.is_stream:
            yield from self._end_if_complete(attempt, progress.stream)

    def _end_if_complete(self, attempt: Attempt, stream: AnswerStream) -> Iterator[Finished]:
        """End an answer of which only the agent's final message is missing."""
        if attempt.failure.code is ResultCode.TARGET_ERROR:
            return
        finished = stream.end_without_final(attempt.dispatch.request_id)
        if finished is not None:
            attempt.failure = None
            self._metrics.count("online_ends_without_final")
            yield finished

    def _note_failure(
        self,
        request: OnlineRequest,
        attempt: Attempt,
        target: TargetView,
        progress: Progress,
        max_attempts: int,
    ) -> None:
        """Prepare the next attempt.

        :raises RefusedError: if there is none.
        """
        failure = attempt.failure
        progress.failure = failure
        progress.has_run = progress.has_run or failure.execution is not Execution.NOT_RUN
        progress.is_suspect = progress.is_suspect or failure.code in CRASH_CODES
        progress.buffered.clear()
        stream = progress.stream
        can_resume = target.kind == "engine" and stream.can_resume
        state = AttemptState(
            failure.code, failure.execution, request.is_repeatable, stream.count > 0, can_resume
        )
        if next_step(state) is NextStep.GIVE_UP or progress.attempts >= max_attempts:
            raise self._give_up(request, progress)
        if failure.code in STALE_CODES:
            self._catch_up(target, attempt.settings_revision, request.deadline_ms)
            return
        progress.excluded |= {target.target_id}
        if failure.code in REDIRECT_CODES:
            progress.redirected |= {target.target_id}
            progress.attempts -= 1
            return
        self._spend_budget(request, progress)
        self._metrics.count("online_resumed" if stream.count else "online_retries")

    def _spend_budget(self, request: OnlineRequest, progress: Progress) -> None:
        ratio = self._settings.current().for_model(request.model).retry_budget_ratio
        if self._budget.try_retry(ratio, self._clock.monotonic_ms()):
            return
        self._metrics.count("retry_budget_exhausted")
        error = progress.error
        progress.failure = RefusedError(
            str(error), code=ResultCode.RETRY_BUDGET_EXHAUSTED, execution=error.execution
        )
        raise self._give_up(request, progress)

    def _give_up(self, request: OnlineRequest, progress: Progress) -> RefusedError:
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

    def _catch_up(self, target: TargetView, revision: int, deadline_ms: float) -> None:
        """Wait until the agent and this entry have the same settings; a ping makes them compare."""
        self._link.post(SendToAgent(target.target_id, Ping(self._settings.current().revision)))
        end_ms = min(deadline_ms, self._clock.monotonic_ms() + STALE_WAIT_MS)
        self._clock.sleep_ms(STALE_PAUSE_MS)
        while self._settings.current().revision < revision:
            if self._clock.monotonic_ms() >= end_ms:
                return
            self._clock.sleep_ms(STALE_PAUSE_MS)


def _route(request: OnlineRequest, progress: Progress) -> RouteRequest:
    return RouteRequest(
        request.model,
        request.content_digest,
        request.head_digest,
        progress.excluded,
        progress.is_suspect,
        needs_engine=progress.stream.count > 0,
    )


def _accept(message: Chunk | Finished, stream: AnswerStream) -> Chunk | Finished:
    """Turn a message of an attempt into one of the whole answer.

    :raises TargetError: if the answer is no complete stream of events.
    """
    if isinstance(message, Chunk):
        sequence = stream.count
        return Chunk(message.request_id, sequence, stream.accept(message.data))
    if message.http_status != HTTP_OK:
        raise TargetError(f"status {message.http_status}")
    if not stream.has_finish_reason:
        raise TargetError("the stream has no finish reason")
    return replace(message, chunk_count=stream.count)


def _buffer(message: Chunk | Finished, progress: Progress) -> Iterator[Chunk | Finished]:
    if isinstance(message, Chunk):
        progress.buffered.append(message)
        return
    yield from progress.buffered
    yield message
