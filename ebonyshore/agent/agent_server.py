"""The agent's ROUTER socket, through which it exchanges messages with entries."""

from collections.abc import Callable
from dataclasses import dataclass

import zmq
from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.frame.task import SocketTask
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.curve import handle_authentication_request, open_authenticator, secure_server
from ebonyshore.link.messages import EntryMessage, Hello, Load, LoadReport, Ping, Welcome

PEER_TIMEOUT_MS = 10_000
PEER_CHECK_INTERVAL_MS = 1_000
# Age limit for the settings revision of an entry; entries announce it at least every 2.2 s.
REVISION_MAX_AGE_MS = 5_000
# Messages received at a time; then due timers run and queued messages are sent.
MAX_RECEIVE_BURST = 256
# The last answers before a planned stop may still be queued in the socket when it is closed.
CLOSE_LINGER_MS = 2_000

Handler = Callable[[bytes, EntryMessage], None]


class Outgoing(Struct, frozen=True):
    """A message to send to one entry.

    :param peer: routing id of the entry's socket.
    :param message: a message of :mod:`ebonyshore.link.messages`.
    """

    peer: bytes
    message: Struct


class Broadcast(Struct, frozen=True):
    """A message to send to every connected entry."""

    message: Struct


class StatusChanged(Struct, frozen=True):
    """The agent's new state, which welcomes and load reports to entries carry.

    :param models: models that the target serves.
    :param settings_revision: revision of the settings in force.
    :param is_leaving: whether the agent is draining.
    """

    load: Load
    models: tuple[str, ...]
    settings_revision: int
    is_leaving: bool


class PeerLost(Struct, frozen=True):
    """An entry has sent no message for :data:`PEER_TIMEOUT_MS`.

    :param peer: routing id of the entry's socket.
    """

    peer: bytes


@dataclass(slots=True)
class Peer:
    """A connected entry.

    :param entry_id: instance id; empty if its first message was not a ``Hello``.
    :param last_heard_ms: monotonic time of its last message.
    :param settings_revision: revision that it announced last; 0 if none yet.
    """

    entry_id: str
    last_heard_ms: float
    settings_revision: int = 0


class AgentServer(SocketTask[Outgoing | Broadcast | StatusChanged]):
    """The task that owns the ROUTER socket and tracks the connected entries.

    It answers ``Hello`` and ``Ping`` itself and passes each message to the handler subscribed for
    its type. Handlers run on this task's thread and must not block.

    :param address: ``tcp://IP:PORT`` to bind.
    :param agent_id: instance id of the agent.
    :param incarnation: random id of this run of the agent.
    :param kind: kind of the target, ``engine`` or ``service``.
    :param fleet: CURVE keys of the fleet.
    """

    def __init__(
        self,
        address: str,
        agent_id: str,
        incarnation: str,
        kind: str,
        fleet: FleetSettings,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("agent-server", clock)
        self._address = address
        self._agent_id = agent_id
        self._incarnation = incarnation
        self._kind = kind
        self._fleet = fleet
        self._log = log
        self._metrics = metrics
        self._codec: MessageCodec[EntryMessage] = MessageCodec(EntryMessage, metrics)
        self._status = StatusChanged(Load(), (), 0, False)
        self._peers: dict[bytes, Peer] = {}
        self._handlers: dict[type, Handler] = {}
        self._on_peer_lost: Callable[[PeerLost], None] = lambda lost: None
        self._next_check_ms = 0.0

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Set the handler of a message type; call before :meth:`start`.

        :param kind: the message class.
        :param handler: called with the entry's routing id and the message.
        """
        self._handlers[kind] = handler

    def subscribe_peer_lost(self, handler: Callable[[PeerLost], None]) -> None:
        """Set the handler that is called for each lost entry; call before :meth:`start`."""
        self._on_peer_lost = handler

    def open(self) -> None:
        context = zmq.Context.instance()
        self._authenticator = open_authenticator(context)
        self._socket = context.socket(zmq.ROUTER)
        self._socket.linger = CLOSE_LINGER_MS
        self._socket.sndhwm = 0
        self._socket.rcvhwm = 0
        secure_server(self._socket, self._fleet)
        self._socket.bind(self._address)
        self.poller.register(self._authenticator, zmq.POLLIN)
        self.poller.register(self._socket, zmq.POLLIN)

    def close(self) -> None:
        self._socket.close()
        self._authenticator.close()

    def on_readable(self, sock: zmq.Socket) -> None:
        if sock is self._authenticator:
            if not handle_authentication_request(sock, self._fleet):
                self._metrics.count("peers_rejected")
            return
        for _ in range(MAX_RECEIVE_BURST):
            try:
                frames = sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frames)

    def handle(self, message: Outgoing | Broadcast | StatusChanged) -> None:
        if isinstance(message, Outgoing):
            self._send(message.peer, message.message)
        elif isinstance(message, Broadcast):
            for peer in self._peers:
                self._send(peer, message.message)
        else:
            self._update_status(message)

    def next_timer_ms(self) -> float | None:
        return self._next_check_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_check_ms = now_ms + PEER_CHECK_INTERVAL_MS
        for routing_id, peer in list(self._peers.items()):
            if now_ms - peer.last_heard_ms > PEER_TIMEOUT_MS:
                del self._peers[routing_id]
                self._log.event("peer_lost", entry_id=peer.entry_id)
                self._on_peer_lost(PeerLost(routing_id))

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self._metrics.count("bad_frames")
            return
        routing_id, frame = frames
        message = self._codec.decode(frame)
        if message is None:
            return
        self._update_peer(routing_id, message)
        if isinstance(message, Hello):
            self._send(routing_id, self._make_welcome())
        elif isinstance(message, Ping):
            self._send(routing_id, self._make_report())
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(routing_id, message)

    def _update_peer(self, routing_id: bytes, message: EntryMessage) -> None:
        now_ms = self.clock.monotonic_ms()
        peer = self._peers.get(routing_id)
        if peer is None:
            entry_id = message.entry_id if isinstance(message, Hello) else ""
            peer = self._peers[routing_id] = Peer(entry_id, now_ms)
        peer.last_heard_ms = now_ms
        if isinstance(message, Hello | Ping):
            peer.settings_revision = message.settings_revision

    def _update_status(self, status: StatusChanged) -> None:
        must_report = (status.is_leaving, status.models) != (
            self._status.is_leaving,
            self._status.models,
        )
        self._status = status
        if must_report:
            for routing_id in self._peers:
                self._send(routing_id, self._make_report())

    def _make_welcome(self) -> Welcome:
        status = self._status
        return Welcome(
            self._agent_id,
            self._incarnation,
            status.models,
            status.settings_revision,
            self.clock.monotonic_ms(),
            status.load,
            self._kind,
            status.is_leaving,
        )

    def _make_report(self) -> LoadReport:
        status = self._status
        return LoadReport(
            self._incarnation,
            status.settings_revision,
            self.clock.monotonic_ms(),
            status.load,
            status.models,
            status.is_leaving,
            self._lowest_entry_revision(),
        )

    def _lowest_entry_revision(self) -> int:
        """Return the lowest settings revision of all entries heard recently.

        Recently means within :data:`REVISION_MAX_AGE_MS`; the result is 0 without such entries.
        """
        since_ms = self.clock.monotonic_ms() - REVISION_MAX_AGE_MS
        current = [peer for peer in self._peers.values() if peer.last_heard_ms >= since_ms]
        return min((peer.settings_revision for peer in current), default=0)

    def _send(self, routing_id: bytes, message: Struct) -> None:
        self._socket.send_multipart([routing_id, self._codec.encode(message)])
