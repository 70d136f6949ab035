"""The entry's sockets to the agents, and its view of the targets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import zmq
from msgspec import Struct
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from ebonyshore.clock import Clock
from ebonyshore.codec import MessageCodec
from ebonyshore.curve import secure_client
from ebonyshore.logs import EventLog
from ebonyshore.membership import Membership, TargetView
from ebonyshore.messages import (
    AgentMessage,
    Cancel,
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Hello,
    Load,
    LoadReport,
    Ping,
    Refused,
    RequestMessage,
    Started,
    Welcome,
    WorkClass,
)
from ebonyshore.metrics import Metrics
from ebonyshore.platform_api import Instance
from ebonyshore.process_settings import FleetSettings
from ebonyshore.result_codes import Execution, ResultCode
from ebonyshore.task import SocketTask

PING_INTERVAL_MS = 500
AGENT_SILENCE_MS = 3_000
READ_BURST = 256

Handler = Callable[[str, AgentMessage], None]
Screen = Callable[[Dispatch], Result[Dispatch, ResultCode]]
LostHandler = Callable[[str, str, list[Dispatch]], None]


class RequestSink(Protocol):
    """Receives the messages of one dispatch."""

    def post(self, message: RequestMessage) -> None:
        """Take a message; must not block."""


class InstancesKnown(Struct, frozen=True):
    """The platform's instance list was read."""

    instances: tuple[Instance, ...]


class SendDispatch(Struct, frozen=True):
    """Dispatch a request to a target."""

    target_id: str
    dispatch: Dispatch
    sink: RequestSink


class SendCancel(Struct, frozen=True):
    """Cancel a dispatched request."""

    target_id: str
    request_id: str


class SendToAgent(Struct, frozen=True):
    """Send any message to one agent."""

    target_id: str
    message: Struct


class SendToAgents(Struct, frozen=True):
    """Send a message to every connected agent."""

    message: Struct


@dataclass(slots=True)
class InFlight:
    """A dispatched request without a final message."""

    dispatch: Dispatch
    sink: RequestSink
    next_sequence: int = 0
    is_started: bool = False

    @property
    def may_be_running(self) -> bool:
        """Whether the target may run it; the agent announces the start of a suspect."""
        return self.is_started or not self.dispatch.is_suspect


@dataclass(slots=True)
class AgentConnection:
    """The socket to one agent and what is in flight there."""

    view: TargetView
    socket: zmq.Socket
    next_ping_ms: float = 0.0
    in_flight: dict[str, InFlight] = field(default_factory=dict)

    def count_batch(self) -> int:
        """Return how many batch items are in flight."""
        return sum(f.dispatch.work_class is WorkClass.BATCH for f in self.in_flight.values())


LinkMessage = InstancesKnown | SendDispatch | SendCancel | SendToAgent | SendToAgents


class AgentLink(SocketTask[LinkMessage]):
    """Owns one DEALER socket for each agent.

    :param entry_id: instance id of the entry.
    :param settings_revision: returns the revision in force.
    """

    def __init__(
        self,
        entry_id: str,
        membership: Membership,
        settings_revision: Callable[[], int],
        fleet: FleetSettings,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("agent-link", clock)
        self._entry_id = entry_id
        self._membership = membership
        self._settings_revision = settings_revision
        self._fleet = fleet
        self._metrics = metrics
        self._log = log
        self._codec: MessageCodec[AgentMessage] = MessageCodec(AgentMessage, metrics)
        self._connections: dict[str, AgentConnection] = {}
        self._by_socket: dict[zmq.Socket, AgentConnection] = {}
        self._handlers: dict[type, Handler] = {}
        self._next_check_ms = 0.0
        self._screen: Screen = Success
        self._on_lost: LostHandler = lambda *_: None

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Pass messages of a type, with the target's id, to ``handler``."""
        self._handlers[kind] = handler

    def screen_with(self, screen: Screen, on_lost: LostHandler) -> None:
        """Pass each dispatch through ``screen``; call before :meth:`start`.

        :param on_lost: gets target id, incarnation and what may have been running there, before
            the requests fail.
        """
        self._screen = screen
        self._on_lost = on_lost

    def open(self) -> None:
        """Sockets are opened when the agents become known."""

    def close(self) -> None:
        for connection in self._connections.values():
            connection.socket.close()

    def handle(self, message: LinkMessage) -> None:
        if isinstance(message, SendDispatch):
            self._dispatch(message)
        elif isinstance(message, SendCancel):
            self._send(message.target_id, Cancel(message.request_id))
        elif isinstance(message, SendToAgent):
            self._send(message.target_id, message.message)
        elif isinstance(message, SendToAgents):
            for target_id in self._connections:
                self._send(target_id, message.message)
        else:
            self._update_instances(message.instances)

    def timer_ms(self) -> float | None:
        return self._next_check_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_check_ms = now_ms + PING_INTERVAL_MS
        for connection in list(self._connections.values()):
            self._check_connection(connection, now_ms)
        self._publish()

    def on_readable(self, sock: zmq.Socket) -> None:
        connection = self._by_socket[sock]
        for _ in range(READ_BURST):
            try:
                frame = sock.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            message = self._codec.decode(frame)
            if message is not None:
                self._receive(connection, message)

    def _update_instances(self, instances: tuple[Instance, ...]) -> None:
        listed = {i.instance_id: i for i in instances if i.role == "target"}
        for target_id, connection in list(self._connections.items()):
            instance = listed.get(target_id)
            is_moved = instance is not None and instance.address != connection.view.address
            if is_moved or (instance is None and not connection.in_flight):
                self._disconnect(connection)
        for instance in listed.values():
            self._note_instance(instance)
        self._publish()

    def _note_instance(self, instance: Instance) -> None:
        connection = self._connections.get(instance.instance_id)
        if connection is None:
            self._connect(instance)
        elif instance.state == "leaving":
            connection.view = replace(connection.view, is_leaving=True)

    def _connect(self, instance: Instance) -> None:
        sock = zmq.Context.instance().socket(zmq.DEALER)
        sock.linger = 0
        sock.sndhwm = 0
        sock.rcvhwm = 0
        sock.immediate = True
        secure_client(sock, self._fleet)
        sock.connect(instance.address)
        view = TargetView(
            instance.instance_id,
            instance.address,
            instance.region,
            instance.failure_domain,
            instance.models,
            instance.state == "leaving",
        )
        connection = AgentConnection(view, sock)
        self._connections[instance.instance_id] = connection
        self._by_socket[sock] = connection
        self.poller.register(sock, zmq.POLLIN)
        self._send_hello(connection)

    def _disconnect(self, connection: AgentConnection) -> None:
        self._lose_in_flight(connection)
        self.poller.unregister(connection.socket)
        del self._by_socket[connection.socket]
        del self._connections[connection.view.target_id]
        connection.socket.close()

    def _check_connection(self, connection: AgentConnection, now_ms: float) -> None:
        view = connection.view
        if not view.incarnation:
            self._send_hello(connection)
            return
        if now_ms - view.heard_ms > AGENT_SILENCE_MS:
            self._log.event("agent_silent", target_id=view.target_id)
            self._lose_in_flight(connection)
            connection.view = replace(view, incarnation="")
            return
        self._send_on(connection, Ping(self._settings_revision()))

    def _send_hello(self, connection: AgentConnection) -> None:
        self._send_on(connection, Hello(self._entry_id, self._settings_revision()))

    def _dispatch(self, message: SendDispatch) -> None:
        connection = self._connections.get(message.target_id)
        dispatch = message.dispatch
        if connection is None or connection.view.incarnation != dispatch.incarnation:
            message.sink.post(Refused(dispatch.request_id, ResultCode.NO_TARGET))
            return
        screened = self._screen(dispatch)
        if isinstance(screened, Failure):
            message.sink.post(Refused(dispatch.request_id, screened.failure()))
            return
        dispatch = screened.unwrap()
        connection.in_flight[dispatch.request_id] = InFlight(dispatch, message.sink)
        if not self._send_on(connection, dispatch):
            del connection.in_flight[dispatch.request_id]
            message.sink.post(Refused(dispatch.request_id, ResultCode.NO_TARGET))
        self._publish()

    def _send(self, target_id: str, message: Struct) -> None:
        connection = self._connections.get(target_id)
        if connection is not None:
            self._send_on(connection, message)

    def _send_on(self, connection: AgentConnection, message: Struct) -> bool:
        try:
            connection.socket.send(self._codec.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _receive(self, connection: AgentConnection, message: AgentMessage) -> None:
        now_ms = self.clock.monotonic_ms()
        connection.view = replace(connection.view, heard_ms=now_ms)
        if isinstance(message, Chunk):
            self._receive_chunk(connection, message)
        elif isinstance(message, Finished | Refused | Failed):
            self._receive_final(connection, message)
        elif isinstance(message, Started):
            self._note_started(connection, message)
        elif isinstance(message, Welcome | LoadReport):
            self._note_report(connection, message)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection.view.target_id, message)

    def _note_started(self, connection: AgentConnection, started: Started) -> None:
        in_flight = connection.in_flight.get(started.request_id)
        if in_flight is not None:
            in_flight.is_started = True

    def _receive_chunk(self, connection: AgentConnection, chunk: Chunk) -> None:
        in_flight = connection.in_flight.get(chunk.request_id)
        if in_flight is None:
            self._metrics.count("late_messages")
            return
        if chunk.sequence != in_flight.next_sequence:
            self._break(connection, in_flight, f"chunk {chunk.sequence} out of sequence")
            return
        in_flight.next_sequence += 1
        in_flight.sink.post(chunk)

    def _receive_final(
        self, connection: AgentConnection, message: Finished | Refused | Failed
    ) -> None:
        in_flight = connection.in_flight.get(message.request_id)
        if in_flight is None:
            self._metrics.count("late_messages")
            return
        if isinstance(message, Finished) and message.chunk_count != in_flight.next_sequence:
            self._break(connection, in_flight, "chunks are missing")
            return
        del connection.in_flight[message.request_id]
        self._note_load(connection, message.load)
        self._publish()
        in_flight.sink.post(message)

    def _break(self, connection: AgentConnection, in_flight: InFlight, detail: str) -> None:
        request_id = in_flight.dispatch.request_id
        del connection.in_flight[request_id]
        self._send_on(connection, Cancel(request_id))
        in_flight.sink.post(
            Failed(request_id, ResultCode.STREAM_BROKEN, Execution.MAYBE_RUN, detail)
        )

    def _note_report(self, connection: AgentConnection, message: Welcome | LoadReport) -> None:
        view = connection.view
        if view.incarnation not in ("", message.incarnation):
            self._lose_in_flight(connection)
        if isinstance(message, LoadReport) and not view.incarnation:
            self._send_hello(connection)
            return
        connection.view = replace(
            connection.view,
            incarnation=message.incarnation,
            settings_revision=message.settings_revision,
            tick_ms=message.tick_ms,
            models=message.models,
            is_leaving=message.is_leaving,
            kind=message.kind if isinstance(message, Welcome) else view.kind,
        )
        self._note_load(connection, message.load)
        self._publish()

    def _note_load(self, connection: AgentConnection, load: Load) -> None:
        connection.view = replace(
            connection.view, load=load, load_in_flight=len(connection.in_flight)
        )

    def _lose_in_flight(self, connection: AgentConnection) -> None:
        running = [f.dispatch for f in connection.in_flight.values() if f.may_be_running]
        self._on_lost(connection.view.target_id, connection.view.incarnation, running)
        lost = list(connection.in_flight.items())
        connection.in_flight.clear()
        for request_id, in_flight in lost:
            in_flight.sink.post(Failed(request_id, ResultCode.AGENT_LOST, Execution.MAYBE_RUN))

    def _publish(self) -> None:
        self._membership.publish(
            {
                target_id: replace(
                    connection.view,
                    in_flight=len(connection.in_flight),
                    in_flight_batch=connection.count_batch(),
                )
                for target_id, connection in self._connections.items()
            }
        )
