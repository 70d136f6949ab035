"""One attempt to run an online request on a target."""

from collections.abc import Callable, Iterator
from uuid import uuid4

from msgspec import Struct

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import SendCancel, SendDispatch
from ebonyshore.entry.membership import TargetView
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.frame.task import Mailbox, make_mailbox
from ebonyshore.link.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Refused,
    RequestMessage,
    WorkClass,
)

CANCEL_REPLY_WAIT_MS = 250.0
CALLER_CHECK_INTERVAL_MS = 250.0


class OnlineRequest(Struct, frozen=True):
    """An admitted request.

    :param trace_id: identifies the request in the logs of all processes.
    :param path: path of the request at the target.
    :param content_digest: identifies the content, for crash suspicion and idempotency.
    :param head_digest: digest of the start of the prompt, for routing.
    :param deadline_ms: monotonic time of the entry's clock.
    :param is_repeatable: whether a target may run the request more than once.
    :param is_stream: whether the target answers with an event stream.
    :param idempotency_key: empty if the caller gave none.
    :param has_caller_deadline: whether the caller set the deadline, rather than the settings.
    :param streams_to_caller: whether the caller gets the chunks as they arrive.
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
    idempotency_key: str = ""
    has_caller_deadline: bool = False
    streams_to_caller: bool = True


class AttemptPlan(Struct, frozen=True):
    """Target and parameters of one attempt.

    :param settings_revision: settings revision in force at the entry.
    :param is_suspect: whether the request may have crashed a target before.
    :param resume_text: answer so far, which the target continues; empty for a new answer.
    """

    target: TargetView
    settings_revision: int
    is_suspect: bool = False
    resume_text: str = ""


class Attempt:
    """Dispatches a request to one target and receives the answer.

    After :meth:`messages` is exhausted, ``failure`` is the error of a failed attempt, or ``None``.
    ``refusal_revision`` is the settings revision of the agent that refused the request, if any.

    :param is_caller_disconnected: checked after each message and at least every 250 ms; the
        request is cancelled when it returns ``True``.
    """

    __slots__ = (
        "_clock",
        "_end_ms",
        "_is_caller_disconnected",
        "_is_past_deadline",
        "_link",
        "_mailbox",
        "_plan",
        "dispatch",
        "failure",
        "refusal_revision",
    )

    def __init__(
        self,
        link: AgentLink,
        clock: Clock,
        request: OnlineRequest,
        plan: AttemptPlan,
        is_caller_disconnected: Callable[[], bool],
    ) -> None:
        self._link = link
        self._clock = clock
        self._plan = plan
        self._is_caller_disconnected = is_caller_disconnected
        self._end_ms = request.deadline_ms
        self._is_past_deadline = False
        self._mailbox: Mailbox[RequestMessage] = make_mailbox(clock)
        self.failure: RefusedError | None = None
        self.refusal_revision = 0
        self.dispatch = _make_dispatch(request, plan, clock.monotonic_ms())

    def messages(self) -> Iterator[Chunk | Finished]:
        """Dispatch the request and yield its answer.

        Closing the iterator before its end cancels the request.

        :raises RefusedError: with code ``CANCELLED`` if the caller disconnected.
        """
        target_id = self._plan.target.target_id
        self._link.post(SendDispatch(target_id, self.dispatch, self._mailbox, self._end_ms))
        is_ended = False
        try:
            while not is_ended:
                message = self._next_message()
                is_ended = not isinstance(message, Chunk)
                if isinstance(message, Chunk | Finished):
                    yield message
                else:
                    self.failure = self._error_from(message)
        finally:
            if not is_ended:
                self._cancel()

    def _next_message(self) -> RequestMessage | None:
        """Return the next message.

        At the deadline, the request is cancelled, and the agent has 250 ms to answer the cancel.

        :return: ``None`` if the agent did not answer the cancel either.
        :raises RefusedError: with code ``CANCELLED`` if the caller disconnected.
        """
        while True:
            left_ms = self._end_ms - self._clock.monotonic_ms()
            if left_ms <= 0 and not len(self._mailbox):
                if self._is_past_deadline:
                    return None
                self._is_past_deadline = True
                self._end_ms = self._clock.monotonic_ms() + CANCEL_REPLY_WAIT_MS
                self._cancel()
                continue
            message = self._mailbox.take(min(max(left_ms, 0.0), CALLER_CHECK_INTERVAL_MS))
            if self._is_caller_disconnected():
                raise RefusedError("caller disconnected", code=ResultCode.CANCELLED)
            if message is not None:
                return message

    def _cancel(self) -> None:
        self._link.post(SendCancel(self._plan.target.target_id, self.dispatch.request_id))

    def _error_from(self, message: Refused | Failed | None) -> RefusedError:
        if message is None:
            return RefusedError(code=ResultCode.DEADLINE_EXCEEDED, execution=Execution.MAYBE_RUN)
        if isinstance(message, Refused):
            self.refusal_revision = message.settings_revision
            code, execution = message.code, Execution.NOT_RUN
            retry_after_ms = message.retry_after_ms or None
        else:
            code, execution, retry_after_ms = message.code, message.execution, None
        if self._is_past_deadline and execution is Execution.NOT_RUN:
            code = ResultCode.DEADLINE_UNREACHABLE
        elif self._is_past_deadline:
            code = ResultCode.DEADLINE_EXCEEDED
        return RefusedError(
            message.detail, code=code, execution=execution, retry_after_ms=retry_after_ms
        )


def _make_dispatch(request: OnlineRequest, plan: AttemptPlan, now_ms: float) -> Dispatch:
    return Dispatch(
        uuid4().hex,
        "",
        WorkClass.ONLINE,
        request.path,
        request.body,
        request.deadline_ms - now_ms,
        request.content_digest,
        plan.settings_revision,
        caller=request.caller,
        model=request.model,
        is_repeatable=request.is_repeatable,
        is_suspect=plan.is_suspect,
        is_stream=request.is_stream,
        trace_id=request.trace_id,
        resume_text=plan.resume_text,
    )
