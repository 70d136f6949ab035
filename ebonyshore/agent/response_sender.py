"""Sends the responses of an agent to entries, and logs and counts them."""

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
    """Where messages to entries go: :class:`ebonyshore.agent.agent_server.AgentServer`."""

    def post(self, message: Outgoing | Broadcast | StatusChanged) -> None:
        """Queue a message for sending; must not block."""


class ResponseSender:
    """Sends chunks and, exactly once for each request, its final message.

    :param sink: sends the messages.
    :param incarnation: random id of this run of the agent.
    :param load: returns the agent's current load, which final messages carry.
    :param settings_revision: returns the revision of the settings in force.
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
        """Send a part of an answer to an entry. Safe to call from any thread."""
        self._sink.post(Outgoing(peer, chunk))

    def broadcast(self, message: Struct) -> None:
        """Send a message to every connected entry."""
        self._sink.post(Broadcast(message))

    def send_started(self, run: TargetRun) -> None:
        """Tell the entry that a run of suspect content now executes in the target."""
        self._sink.post(Outgoing(run.peer, Started(run.dispatch.request_id)))

    def send_refused(
        self,
        peer: bytes,
        dispatch: Dispatch,
        code: ResultCode,
        retry_after_ms: int = 0,
        detail: str = "",
    ) -> None:
        """Tell an entry that a request was not and will not be started.

        :param code: reason for the refusal.
        :param retry_after_ms: time in milliseconds after which a retry here is useful; 0 if the
            entry should retry elsewhere at once.
        :param detail: explanation for logs and error messages.
        """
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
        """Refuse an admitted request that has not been run, unless its final message was sent."""
        if not run.is_answered:
            run.is_answered = True
            self.send_refused(run.peer, run.dispatch, code, detail=detail)

    def fail(
        self, run: TargetRun, code: ResultCode, detail: str = "", resume_text: str = ""
    ) -> None:
        """Tell the entry that a started run ended without a complete answer.

        Does nothing if the final message of the run was sent already. Counts the tokens generated
        so far as wasted unless ``resume_text`` is given.

        :param code: reason for the failure.
        :param detail: explanation for logs and error messages.
        :param resume_text: text generated so far, from which another attempt can resume.
        """
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
        self._log_end(run, "request_failed", code)

    def finish(self, run: TargetRun, answer: TargetAnswer) -> None:
        """Send the final message of a complete answer.

        Online answers were streamed before; the answer of a batch item is sent here as one chunk.
        Does nothing if the final message of the run was sent already.
        """
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
        self._log_end(run, "request_finished", ResultCode.OK)

    def _log_end(self, run: TargetRun, event: str, code: ResultCode) -> None:
        self._log.event(
            event,
            trace_id=run.dispatch.trace_id,
            request_id=run.dispatch.request_id,
            work_class=run.dispatch.work_class.value,
            code=int(code),
            duration_ms=self._clock.monotonic_ms() - run.queued_ms,
        )
