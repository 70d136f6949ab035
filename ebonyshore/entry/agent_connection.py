"""What an entry has in flight at one agent, and the checks on the agent's answers."""

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

FINAL_MESSAGE_WAIT_MS = 10_000.0


class RequestSink(Protocol):
    """Receives the messages of one dispatch."""

    def post(self, message: RequestMessage) -> None:
        """Take a message; must not block."""


class Channel(Protocol):
    """The socket to one agent."""

    def send(self, message: Struct) -> bool:
        """Hand a message to the socket; ``False`` if it was not taken, and never will be sent."""

    def close(self) -> None:
        """Close the socket."""


@dataclass(slots=True)
class InFlightRequest:
    """A dispatched request without a final message.

    :param expires_ms: when it is dropped; an agent answers every dispatch long before.
    """

    dispatch: Dispatch
    sink: RequestSink
    expires_ms: float
    next_sequence: int = 0
    is_started: bool = False

    @property
    def may_be_running(self) -> bool:
        """Whether the target may run it; the agent announces the start of a suspect."""
        return self.is_started or not self.dispatch.is_suspect


@dataclass(slots=True)
class PendingDispatch:
    """A dispatch that waits for the agent's first answer on a new connection."""

    dispatch: Dispatch
    sink: RequestSink
    deadline_ms: float
    expires_ms: float


class FaultCounter(Protocol):
    """Counts message faults by name."""

    def count(self, name: str) -> None:
        """Add one."""


@dataclass(slots=True)
class AgentConnection:
    """The channel to one agent and what is in flight there.

    :param unanswered_ms: when the oldest ping without an answer was sent, or ``None``.
    :param heard_ms: when the agent was last heard.
    :param used_ms: when a request was last dispatched.
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
        """Whether nothing is in flight or held."""
        return not self.in_flight and not self.pending

    def add(self, dispatch: Dispatch, sink: RequestSink, deadline_ms: float) -> None:
        """Note a dispatch as in flight."""
        expires_ms = deadline_ms + FINAL_MESSAGE_WAIT_MS
        self.in_flight[dispatch.request_id] = InFlightRequest(dispatch, sink, expires_ms)
        self.batch_count += dispatch.work_class is WorkClass.BATCH
        self.suspect_count += dispatch.is_suspect

    def add_pending(
        self, dispatch: Dispatch, sink: RequestSink, deadline_ms: float, expires_ms: float
    ) -> None:
        """Keep a dispatch until the agent's first answer."""
        self.pending.append(PendingDispatch(dispatch, sink, deadline_ms, expires_ms))

    def remove(self, request_id: str) -> InFlightRequest | None:
        """Forget a dispatch."""
        in_flight = self.in_flight.pop(request_id, None)
        if in_flight is not None:
            self.batch_count -= in_flight.dispatch.work_class is WorkClass.BATCH
            self.suspect_count -= in_flight.dispatch.is_suspect
        return in_flight

    def receive_chunk(self, chunk: Chunk) -> str:
        """Pass a chunk on if it is the next one.

        :return: why the stream must be given up, if it must.
        """
        in_flight = self.in_flight.get(chunk.request_id)
        if in_flight is None:
            self.faults.count("late_messages")
            return ""
        if chunk.sequence < in_flight.next_sequence:
            self.faults.count("repeated_chunks")
            return ""
        if chunk.sequence > in_flight.next_sequence:
            return f"chunk {chunk.sequence} came instead of {in_flight.next_sequence}"
        in_flight.next_sequence += 1
        in_flight.sink.post(chunk)
        return ""

    def receive_final(self, message: Finished | Refused | Failed) -> str:
        """Pass a final message on if it belongs to a request in flight.

        :return: why the stream must be given up, if it must.
        """
        in_flight = self.in_flight.get(message.request_id)
        if in_flight is None:
            self.faults.count("late_messages")
            return ""
        count = in_flight.next_sequence
        if isinstance(message, Finished) and message.chunk_count != count:
            return f"the answer has {message.chunk_count} chunks, {count} came"
        if isinstance(message, Refused) and count:
            return "a refusal came after a part of the answer"
        self.remove(message.request_id)
        self.update_load(message.load)
        in_flight.sink.post(message)
        return ""

    def mark_started(self, request_id: str) -> None:
        """Note that a suspect, which may be held long, is in the target now."""
        in_flight = self.in_flight.get(request_id)
        if in_flight is not None:
            in_flight.is_started = True

    def possibly_running(self) -> list[Dispatch]:
        """Return what the target may be running."""
        return [f.dispatch for f in self.in_flight.values() if f.may_be_running]

    def fail(self, request_id: str, code: ResultCode, detail: str) -> None:
        """End a request that may have run."""
        in_flight = self.remove(request_id)
        if in_flight is not None:
            in_flight.sink.post(Failed(request_id, code, Execution.MAYBE_RUN, detail))

    def fail_in_flight(self) -> None:
        """End all requests, because the agent is lost or runs anew."""
        for request_id in list(self.in_flight):
            self.fail(request_id, ResultCode.AGENT_LOST, "")

    def refuse_pending(self, now_ms: float = float("inf")) -> None:
        """Refuse the held dispatches whose time has passed; they were never sent."""
        for held in [h for h in self.pending if h.expires_ms <= now_ms]:
            self.pending.remove(held)
            held.sink.post(Refused(held.dispatch.request_id, ResultCode.NO_TARGET))

    def cancel_pending(self, request_id: str) -> bool:
        """Refuse a held dispatch; return whether there was one."""
        for held in self.pending:
            if held.dispatch.request_id == request_id:
                self.pending.remove(held)
                held.sink.post(Refused(request_id, ResultCode.CANCELLED))
                return True
        return False

    def drop_overdue(self, now_ms: float) -> None:
        """Drop requests whose final message is long overdue."""
        for request_id in [k for k, f in self.in_flight.items() if f.expires_ms <= now_ms]:
            self.faults.count("finals_missing")
            self.fail(request_id, ResultCode.STREAM_BROKEN, "the agent sent no final message")

    def update_load(self, load: Load) -> None:
        """Take over a load report and the number in flight that goes with it."""
        self.view = replace(self.view, load=load, load_in_flight=len(self.in_flight))

    def refresh_view(self) -> TargetView:
        """Return the view with the counts of this moment."""
        self.view = replace(
            self.view,
            heard_ms=self.heard_ms,
            in_flight=len(self.in_flight) + len(self.pending),
            in_flight_batch=self.batch_count,
            in_flight_suspects=self.suspect_count,
        )
        return self.view
