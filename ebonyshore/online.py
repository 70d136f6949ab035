"""The life cycle of one online request: route, dispatch, retry, answer."""

from collections.abc import Iterator
from uuid import uuid4

from msgspec import Struct

from ebonyshore.agent_link import AgentLink, SendCancel, SendDispatch
from ebonyshore.clock import Clock
from ebonyshore.errors import RefusedError
from ebonyshore.logs import EventLog
from ebonyshore.membership import Membership, TargetView
from ebonyshore.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Refused,
    RequestMessage,
    WorkClass,
)
from ebonyshore.metrics import Metrics
from ebonyshore.result_codes import Execution, ResultCode
from ebonyshore.routing import choose, serving_targets
from ebonyshore.settings_service import SettingsService
from ebonyshore.task import Mailbox

RETRY_AFTER_MS = 1_000


class OnlineRequest(Struct, frozen=True):
    """An admitted request.

    :param trace_id: follows the request through all logs.
    :param deadline_ms: monotonic time of the entry's clock.
    :param is_stream: whether the target answers with an event stream.
    """

    trace_id: str
    caller: str
    model: str
    path: str
    body: bytes
    content_digest: str
    head_digest: str
    deadline_ms: float
    is_repeatable: bool = True
    is_stream: bool = True


class OnlineService:
    """Runs online requests; each call blocks a worker thread of the HTTP server."""

    def __init__(
        self,
        link: AgentLink,
        membership: Membership,
        settings: SettingsService,
        failure_domain: str,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._link = link
        self._membership = membership
        self._settings = settings
        self._failure_domain = failure_domain
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def run(self, request: OnlineRequest) -> Iterator[Chunk | Finished]:
        """Yield the chunks of the answer, then :class:`Finished`.

        :raises RefusedError: the request was given up; ``execution`` tells whether it ran.
        """
        attempts = self._settings.current().for_model(request.model).max_attempts
        excluded: frozenset[str] = frozenset()
        last = RefusedError(code=ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
        for _ in range(attempts):
            target = self._choose(request, excluded)
            if target is None:
                raise last
            attempt = _Attempt(self._link, self._clock, request, target, self._revision())
            yield from attempt.messages()
            if attempt.failure is None:
                return
            last = attempt.failure
            if not attempt.may_retry:
                raise last
            excluded |= {target.target_id}
            self._metrics.count("online_retries")
        raise last

    def _revision(self) -> int:
        return self._settings.current().revision

    def _choose(self, request: OnlineRequest, excluded: frozenset[str]) -> TargetView | None:
        targets = serving_targets(request.model, self._membership.targets().values())
        return choose(request.head_digest, targets, self._failure_domain, excluded)


class _Attempt:
    """One dispatch of a request.

    After :meth:`messages` is exhausted, ``failure`` tells why the attempt failed, if it did.
    """

    __slots__ = (
        "_clock",
        "_link",
        "_mailbox",
        "_request",
        "_target",
        "dispatch",
        "failure",
        "may_retry",
    )

    def __init__(
        self,
        link: AgentLink,
        clock: Clock,
        request: OnlineRequest,
        target: TargetView,
        settings_revision: int,
    ) -> None:
        self._link = link
        self._clock = clock
        self._request = request
        self._target = target
        self._mailbox: Mailbox[RequestMessage] = Mailbox(clock)
        self.failure: RefusedError | None = None
        self.may_retry = False
        self.dispatch = Dispatch(
            uuid4().hex,
            target.incarnation,
            WorkClass.ONLINE,
            request.path,
            request.body,
            request.deadline_ms - clock.monotonic_ms(),
            request.content_digest,
            settings_revision,
            caller=request.caller,
            model=request.model,
            is_repeatable=request.is_repeatable,
            is_stream=request.is_stream,
            trace_id=request.trace_id,
        )

    def messages(self) -> Iterator[Chunk | Finished]:
        self._link.post(SendDispatch(self._target.target_id, self.dispatch, self._mailbox))
        is_final = False
        has_chunks = False
        try:
            while not is_final:
                left_ms = self._request.deadline_ms - self._clock.monotonic_ms()
                message = self._mailbox.take(max(0.0, left_ms))
                is_final = not isinstance(message, Chunk)
                if isinstance(message, Chunk | Finished):
                    has_chunks = True
                    yield message
                else:
                    self._fail(message, has_chunks)
        finally:
            if not is_final or self.failure is not None:
                self._link.post(SendCancel(self._target.target_id, self.dispatch.request_id))

    def _fail(self, message: Refused | Failed | None, has_chunks: bool) -> None:
        if message is None:
            self.failure = RefusedError(code=ResultCode.DEADLINE_EXCEEDED)
            return
        execution = message.execution if isinstance(message, Failed) else Execution.NOT_RUN
        self.failure = RefusedError(
            message.detail,
            code=message.code,
            execution=execution,
            retry_after_ms=RETRY_AFTER_MS,
        )
        is_safe = execution is Execution.NOT_RUN or self._request.is_repeatable
        self.may_retry = is_safe and not has_chunks
