"""State of one agent connection: in-flight requests and validation of the agent's messages."""

from dataclasses import dataclass, field
from typing import Protocol

from msgspec import Struct
from msgspec.structs import replace

from ebonyshore.entry.membership import TargetView
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Load,
    Refused,
    RequestMessage,
    WorkClass,
)

FINAL_MESSAGE_WAIT_MS = 10_000.0  # after the deadline of the request


class RequestSink(Protocol):
    """Receives the messages that answer one dispatch."""

    def post(self, message: RequestMessage) -> None:
        """Accept a message without blocking."""


class Channel(Protocol):
    """Transport to one agent."""

    def send(self, message: Struct) -> bool:
        """Queue a message for sending.

        :return: ``False`` if the message was rejected; it is then certain that it is never sent.
        """

    def close(self) -> None:
        """Release the transport."""


@dataclass(slots=True)
class InFlightRequest:
    """A dispatched request whose final message has not arrived.

    :param expires_ms: monotonic time at which the request fails if no final message has come.
        Agents send a final message for every dispatch well before this time.
    :param next_sequence: sequence number of the next expected chunk.
    :param is_started: whether the agent has announced the start of a suspect request.
    """

    dispatch: Dispatch
    sink: RequestSink
    expires_ms: float
    next_sequence: int = 0
    is_started: bool = False

    @property
    def may_be_running(self) -> bool:
        """Whether the target may be running the request.

        Agents announce when they start a suspect request; until then, it is not running.
        """
        return self.is_started or not self.dispatch.is_suspect


@dataclass(slots=True)
class PendingDispatch:
    """A dispatch that waits for the agent's first report on a new connection.

    :param deadline_ms: monotonic deadline of the request.
    :param expires_ms: monotonic time at which the dispatch is refused if it is still waiting.
    """

    dispatch: Dispatch
    sink: RequestSink
    deadline_ms: float
    expires_ms: float


class FaultCounter(Protocol):
    """Counts invalid and missing messages by counter name."""

    def count(self, name: str) -> None:
        """Increment the counter ``name``."""


@dataclass(slots=True)
class AgentConnection:
    """The channel to one agent with its in-flight and pending requests.

    All times are monotonic times of the entry's clock.

    :param view: the entry's latest view of the target.
    :param next_ping_ms: when the next ping or hello is due.
    :param unanswered_ping_ms: when the oldest unanswered ping or hello was sent, or ``None``.
    :param last_dispatch_ms: when a request was last dispatched.
    :param heard_ms: when a message last arrived from the agent.
    :param in_flight: dispatched requests by request id.
    :param pending: dispatches that wait for the agent's first report.
    :param batch_count: number of batch items in flight.
    :param suspect_count: number of suspect requests in flight.
    """

    view: TargetView
    channel: Channel
    faults: FaultCounter
    next_ping_ms: float = 0.0
    unanswered_ping_ms: float | None = None
    last_dispatch_ms: float = 0.0
    heard_ms: float = float("-inf")
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    pending: list[PendingDispatch] = field(default_factory=list)
    batch_count: int = 0
    suspect_count: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight or pending."""
        return not self.in_flight and not self.pending

    def add(self, dispatch: Dispatch, sink: RequestSink, deadline_ms: float) -> None:
        """Record a dispatch as in flight.

        :param deadline_ms: monotonic deadline of the request.
        """
        expires_ms = deadline_ms + FINAL_MESSAGE_WAIT_MS
        self.in_flight[dispatch.request_id] = InFlightRequest(dispatch, sink, expires_ms)
        self.batch_count += dispatch.work_class is WorkClass.BATCH
        self.suspect_count += dispatch.is_suspect

    def add_pending(
        self, dispatch: Dispatch, sink: RequestSink, deadline_ms: float, expires_ms: float
    ) -> None:
        """Queue a dispatch until the agent's first report arrives.

        :param deadline_ms: monotonic deadline of the request.
        :param expires_ms: monotonic time at which the dispatch is refused if it is still waiting.
        """
        self.pending.append(PendingDispatch(dispatch, sink, deadline_ms, expires_ms))

    def remove(self, request_id: str) -> InFlightRequest | None:
        """Remove a request that is in flight and return it, or ``None`` if it is unknown."""
        in_flight = self.in_flight.pop(request_id, None)
        if in_flight is not None:
            self.batch_count -= in_flight.dispatch.work_class is WorkClass.BATCH
            self.suspect_count -= in_flight.dispatch.is_suspect
        return in_flight

    def receive_chunk(self, chunk: Chunk) -> str:
        """Forward a chunk to its request if it is the next in sequence.

        Chunks of unknown requests and repeated chunks are counted and dropped.

        :return: reason why the stream has to be aborted; empty if the stream is intact.
        """
        in_flight = self.in_flight.get(chunk.request_id)
        if in_flight is None:
            self.faults.count("late_messages")
            return ""
        if chunk.sequence < in_flight.next_sequence:
            self.faults.count("repeated_chunks")
            return ""
        if chunk.sequence > in_flight.next_sequence:
            return f"received chunk {chunk.sequence}, expected {in_flight.next_sequence}"
        in_flight.next_sequence += 1
        in_flight.sink.post(chunk)
        return ""

    def receive_final(self, message: Finished | Refused | Failed) -> str:
        """Forward a final message to its request and remove the request.

        Final messages of unknown requests are counted and dropped.

        :return: reason why the stream has to be aborted; empty if the answer is consistent.
        """
        in_flight = self.in_flight.get(message.request_id)
        if in_flight is None:
            self.faults.count("late_messages")
            return ""
        count = in_flight.next_sequence
        if isinstance(message, Finished) and message.chunk_count != count:
            return f"answer truncated: received {count} of {message.chunk_count} chunks"
        if isinstance(message, Refused) and count:
            return f"agent refused the request after sending {count} chunks"
        self.remove(message.request_id)
        self.update_load(message.load)
        in_flight.sink.post(message)
        return ""

    def mark_started(self, request_id: str) -> None:
        """Record that a suspect request, which the agent may queue for long, is now running."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is not None:
            in_flight.is_started = True

    def possibly_running(self) -> list[Dispatch]:
        """Return the dispatches that the target may be running."""
        return [f.dispatch for f in self.in_flight.values() if f.may_be_running]

    def fail(self, request_id: str, code: ResultCode, detail: str) -> None:
        """Fail an in-flight request with execution ``MAYBE_RUN``; no effect if it is unknown."""
        in_flight = self.remove(request_id)
        if in_flight is not None:
            in_flight.sink.post(Failed(request_id, code, Execution.MAYBE_RUN, detail))

    def fail_in_flight(self) -> None:
        """Fail all in-flight requests because the agent was lost or restarted."""
        for request_id in list(self.in_flight):
            self.fail(request_id, ResultCode.AGENT_LOST, "")

    def refuse_pending(self, now_ms: float = float("inf")) -> None:
        """Refuse pending dispatches, which were never sent to the agent.

        :param now_ms: only dispatches that expire up to this time are refused; by default all.
        """
        for refused in [p for p in self.pending if p.expires_ms <= now_ms]:
            self.pending.remove(refused)
            refused.sink.post(Refused(refused.dispatch.request_id, ResultCode.NO_TARGET))

    def cancel_pending(self, request_id: str) -> bool:
        """Refuse a pending dispatch as cancelled.

        :return: whether the request was pending.
        """
        for candidate in self.pending:
            if candidate.dispatch.request_id == request_id:
                self.pending.remove(candidate)
                candidate.sink.post(Refused(request_id, ResultCode.CANCELLED))
                return True
        return False

    def fail_overdue(self, now_ms: float) -> None:
        """Fail in-flight requests whose final message is overdue."""
        for request_id in [k for k, f in self.in_flight.items() if f.expires_ms <= now_ms]:
            self.faults.count("finals_missing")
            self.fail(
                request_id,
                ResultCode.STREAM_BROKEN,
                f"no final message {FINAL_MESSAGE_WAIT_MS / 1000:g} s after the deadline",
            )

    def update_load(self, load: Load) -> None:
        """Store a load report together with the number of requests in flight at that time."""
        self.view = replace(self.view, load=load, load_in_flight=len(self.in_flight))

    def refresh_view(self) -> TargetView:
        """Update the view with the current counts and receipt time, and return it."""
        self.view = replace(
            self.view,
            heard_ms=self.heard_ms,
            in_flight=len(self.in_flight) + len(self.pending),
            in_flight_batch=self.batch_count,
            in_flight_suspects=self.suspect_count,
        )
        return self.view
