"""The final messages of an agent to its entries, with their log lines and counts."""

from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from ebonyshore.agent.agent_server import Broadcast, Outgoing, StatusChanged
from ebonyshore.agent.target_client import TargetAnswer
from ebonyshore.agent.target_run import TargetRun
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Load,
    Refused,
    Started,
    Usage,
)


class MessageSink(Protocol):
    """Sends messages to entries, such as :class:`ebonyshore.agent.agent_server.AgentServer`."""

    def post(self, message: Outgoing | Broadcast | StatusChanged) -> None:
        """Take a message; must not block."""


class ResponseSender:
    """Sends each request's final message, once.

    :param load: returns the load that the messages carry.
    :param settings_revision: returns the revision in force.
    """

    def __init__(
        self,
        sink: MessageSink,
        incarnation: str,
        load: Callable[[], Load],
        settings_revision: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._sink = sink
        self._incarnation = incarnation
        self._load = load
        self._settings_revision = settings_revision
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def send_chunk(self, peer: bytes, chunk: Chunk) -> None:
        """Send a part of an answer; safe to call from any thread."""
        self._sink.post(Outgoing(peer, chunk))

    def broadcast(self, message: Struct) -> None:
        """Send a message to every connected entry."""
        self._sink.post(Broadcast(message))

    def started(self, run: TargetRun) -> None:
        """Tell the entry that a suspect is in the target from now on."""
        self._sink.post(Outgoing(run.peer, Started(run.dispatch.request_id)))

    def refuse(
        self,
        peer: bytes,
        dispatch: Dispatch,
        code: ResultCode,
        retry_after_ms: int = 0,
        detail: str = "",
    ) -> None:
        """Say that a request was not started and will not be."""
        refused = Refused(
            dispatch.request_id,
            code,
            retry_after_ms,
            self._settings_revision(),
            self._incarnation,
            detail,
            self._load(),
        )
        self._sink.post(Outgoing(peer, refused))
        self._metrics.count("refused")
        self._metrics.count(f"refused_{code.name.lower()}")

    def refuse_run(self, run: TargetRun, code: ResultCode, detail: str = "") -> None:
        """Say that a request that was held was never started."""
        if not run.is_answered:
            run.is_answered = True
            self.refuse(run.peer, run.dispatch, code, detail=detail)

    def fail(
        self, run: TargetRun, code: ResultCode, detail: str = "", resume_text: str = ""
    ) -> None:
        """Say that a request that was started ended without a complete answer."""
        if run.is_answered:
            return
        run.is_answered = True
        wasted_tokens = 0 if resume_text else run.tokens
        self._metrics.count("wasted_tokens", wasted_tokens)
        failed = Failed(
            run.dispatch.request_id,
            code,
            Execution.MAYBE_RUN,
            detail,
            resume_text,
            wasted_tokens,
            self._load(),
        )
        self._sink.post(Outgoing(run.peer, failed))
        self._log_run(run, "request_failed", code)

    def finish(self, run: TargetRun, answer: TargetAnswer) -> None:
        """Send the end of a complete answer; for batch items, the whole of it."""
        if run.is_answered:
            return
        run.is_answered = True
        if run.events:
            self.send_chunk(run.peer, Chunk(run.dispatch.request_id, 0, b"\n".join(run.events)))
            run.chunk_count = 1
        finished = Finished(
            run.dispatch.request_id,
            run.chunk_count,
            answer.http_status,
            answer.content_type,
            Usage(answer.prompt_tokens, answer.completion_tokens),
            self._load(),
        )
        self._sink.post(Outgoing(run.peer, finished))
        self._metrics.count("online_finished" if run.is_online else "batch_finished")
        self._log_run(run, "request_finished", ResultCode.OK)

    def _log_run(self, run: TargetRun, event: str, code: ResultCode) -> None:
        self._log.event(
            event,
            trace_id=run.dispatch.trace_id,
            request_id=run.dispatch.request_id,
            work_class=run.dispatch.work_class.value,
            code=int(code),
            duration_ms=self._clock.monotonic_ms() - run.queued_ms,
        )
