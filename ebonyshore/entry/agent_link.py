"""The task that owns an entry's connections to the agents and maintains its view of the targets."""

from collections.abc import Callable

import zmq
from msgspec.structs import replace
from returns.result import Failure, Success

from ebonyshore.entry.agent_connection import AgentConnection, Channel
from ebonyshore.entry.agent_socket import AgentSocket
from ebonyshore.entry.connection_plan import (
    idle_connections_to_close,
    ping_interval_ms,
    targets_to_connect,
)
from ebonyshore.entry.connection_registry import ConnectionRegistry
from ebonyshore.entry.dispatch_checks import DispatchFilter, prepare_dispatch
from ebonyshore.entry.link_messages import (
    LinkMessage,
    SendCancel,
    SendDispatch,
    SendToAgent,
    SendToAllAgents,
)
from ebonyshore.entry.membership import Membership, apply_report
from ebonyshore.entry.target_listing import TargetListing
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.task import SocketTask
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.messages import (
    AgentMessage,
    Cancel,
    Chunk,
    CrashReport,
    Dispatch,
    Failed,
    Finished,
    Hello,
    LoadReport,
    Ping,
    Refused,
    Started,
    Welcome,
)
from ebonyshore.store.platform_api import Instance

CHECK_INTERVAL_MS = 250.0
HELLO_INTERVAL_MS = 500.0
# Times since the oldest unanswered ping or hello. A quiet agent gets no new requests; the requests
# in flight at a lost agent fail.
QUIET_AFTER_MS = 1_000.0
LOST_AFTER_MS = 2_500.0
CONNECT_TIMEOUT_MS = 1_000.0  # for the first report of an agent to which a dispatch is pending
MAX_MESSAGES_PER_READ = 256

MessageHandler = Callable[[str, AgentMessage], None]
AgentLostHandler = Callable[[str, str, list[Dispatch]], None]


class AgentLink(SocketTask[LinkMessage]):
    """Owns the channels to the agents.

    Other threads send it a :data:`LinkMessage` with :meth:`post`.

    :param entry_id: instance id of the entry.
    :param membership: receives the views of the targets.
    :param settings_revision: returns the settings revision in force.
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
        self._listing = TargetListing(membership)
        self._connections = ConnectionRegistry()
        self._handlers: dict[type, MessageHandler] = {}
        self._next_check_ms = 0.0
        self._filter_dispatch: DispatchFilter = Success
        self._on_agent_lost: AgentLostHandler = lambda *_: None

    def set_dispatch_filter(
        self, dispatch_filter: DispatchFilter, on_agent_lost: AgentLostHandler
    ) -> None:
        """Install the callbacks of crash suspicion; call before :meth:`start`.

        :param dispatch_filter: called with each dispatch before it is sent; returns the dispatch
            to send or the code with which the request is refused.
        :param on_agent_lost: called with target id, incarnation and the dispatches that the target
            may have been running, before these requests fail.
        """
        self._filter_dispatch = dispatch_filter
        self._on_agent_lost = on_agent_lost

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with the target id and the message for each message of type ``kind``.

        Replaces the previous handler of the type, if any.
        """
        self._handlers[kind] = handler

    def open(self) -> None:
        """Do nothing: sockets are opened when they are needed."""

    def close(self) -> None:
        for connection in self._connections.values():
            connection.channel.close()

    def open_channel(self, address: str) -> Channel:
        """Connect a channel to the agent at ``address`` (``tcp://IP:PORT``)."""
        return AgentSocket(address, self._fleet, self.poller, self._codec)

    def handle(self, message: LinkMessage) -> None:
        if isinstance(message, SendDispatch):
            self._dispatch(message)
        elif isinstance(message, SendCancel):
            self._cancel(message)
        elif isinstance(message, SendToAgent):
            connection = self._find_or_connect(message.target_id)
            if connection is not None:
                connection.channel.send(message.message)
        elif isinstance(message, SendToAllAgents):
            for connection in self._connections.values():
                connection.channel.send(message.message)
        else:
            self._update_instances(message.instances)

    def next_timer_ms(self) -> float | None:
        return self._next_check_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        for connection in list(self._connections.values()):
            self._check_connection(connection, now_ms)
        for target_id in idle_connections_to_close(self._connections, self._entry_id, now_ms):
            self._disconnect(self._connections[target_id])
        self._membership.update_median_steps()

    def on_readable(self, sock: zmq.Socket) -> None:
        for _ in range(MAX_MESSAGES_PER_READ):
            connection = self._connections.find_by_socket(sock)
            if connection is None:
                return  # processing the previous message closed the connection
            try:
                message = self._codec.decode(sock.recv(zmq.NOBLOCK))
            except zmq.Again:
                return
            if message is not None:
                self.receive(connection.view.target_id, message)

    def receive(self, target_id: str, message: AgentMessage) -> None:
        """Process a message from the agent of ``target_id``."""
        connection = self._connections.get(target_id)
        if connection is None:
            self._metrics.count("late_messages")
            return
        self._record_receipt(connection)
        if isinstance(message, Chunk):
            self._fail_stream_on_error(
                connection, message.request_id, connection.receive_chunk(message)
            )
            return
        if isinstance(message, Finished | Refused | Failed):
            self._receive_final(connection, message)
        elif isinstance(message, Welcome | LoadReport):
            if isinstance(message, Welcome) and not self._adopt_agent_id(connection, message):
                return
            self._apply_report(connection, message)
        elif isinstance(message, Started):
            connection.mark_started(message.request_id)
        elif isinstance(message, CrashReport) and message.agent_id == target_id:
            self._record_crash(connection)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection.view.target_id, message)

    def _update_instances(self, instances: tuple[Instance, ...]) -> None:
        listing, connections = self._listing, self._connections
        listing.replace_all(instances)
        for target_id in listing.targets_to_remove(connections):
            self._remove_target(target_id)
        # Targets that are leaving finish their requests and get no new ones.
        unlisted = listing.unlisted_connections(connections)
        for connection in [*unlisted, *listing.update_views(connections)]:
            self._set_view(connection, is_leaving=True)
        for target_id in targets_to_connect(listing, connections, self._entry_id):
            self._find_or_connect(target_id)

    def _remove_target(self, target_id: str) -> None:
        connection = self._connections.get(target_id)
        if connection is not None:
            self._disconnect(connection)
        self._membership.remove(target_id)

    def _find_or_connect(self, target_id: str) -> AgentConnection | None:
        connection = self._connections.get(target_id)
        if connection is not None:
            return connection
        view = self._membership.find(target_id)
        if view is None:
            return None
        try:
            channel = self.open_channel(view.address)
        except zmq.ZMQError as error:
            self._log.event("agent_address_unusable", target_id=target_id, error=str(error))
            self._remove_target(target_id)
            return None
        now_ms = self.clock.monotonic_ms()
        view = replace(view, is_connected=True, incarnation="")
        connection = AgentConnection(view, channel, self._metrics, last_dispatch_ms=now_ms)
        self._connections.add(connection)
        connection.channel.send(self._make_hello())
        self._publish(connection)
        return connection

    def _disconnect(self, connection: AgentConnection) -> None:
        connection.refuse_pending()
        self._fail_in_flight(connection)
        self._connections.remove(connection)
        connection.channel.close()
        self._set_view(connection, is_connected=False, incarnation="")

    def _check_connection(self, connection: AgentConnection, now_ms: float) -> None:
        connection.refuse_pending(now_ms)
        connection.fail_overdue(now_ms)
        if connection.unanswered_ping_ms is not None:
            self._check_silence(connection, now_ms - connection.unanswered_ping_ms)
        if now_ms < connection.next_ping_ms:
            self._publish(connection)
            return
        if connection.view.incarnation:
            interval_ms = ping_interval_ms(len(self._connections))
            connection.channel.send(Ping(self._settings_revision()))
        else:
            interval_ms = HELLO_INTERVAL_MS
            connection.channel.send(self._make_hello())
        connection.next_ping_ms = now_ms + interval_ms
        if connection.unanswered_ping_ms is None:
            connection.unanswered_ping_ms = now_ms
        self._publish(connection)

    def _check_silence(self, connection: AgentConnection, silent_ms: float) -> None:
        view = connection.view
        if silent_ms > QUIET_AFTER_MS and not view.is_quiet:
            connection.view = replace(view, is_quiet=True)
        if silent_ms > LOST_AFTER_MS and view.incarnation:
            self._log.event("agent_silent", target_id=view.target_id)
            self._fail_in_flight(connection)
            connection.view = replace(connection.view, incarnation="")

    def _fail_in_flight(self, connection: AgentConnection) -> None:
        view = connection.view
        self._on_agent_lost(view.target_id, view.incarnation, connection.possibly_running())
        connection.fail_in_flight()

    def _record_receipt(self, connection: AgentConnection) -> None:
        # Called once per token, so the time is copied to the view only when that is published.
        connection.heard_ms = self.clock.monotonic_ms()
        connection.unanswered_ping_ms = None
        if connection.view.is_quiet:
            self._set_view(connection, is_quiet=False)

    def _dispatch(self, message: SendDispatch) -> None:
        connection = self._find_or_connect(message.target_id)
        dispatch = message.dispatch
        if connection is None:
            message.sink.post(Refused(dispatch.request_id, ResultCode.NO_TARGET))
            return
        now_ms = self.clock.monotonic_ms()
        connection.last_dispatch_ms = now_ms
        incarnation = connection.view.incarnation
        if not dispatch.incarnation and not incarnation:
            expires_ms = min(message.deadline_ms, now_ms + CONNECT_TIMEOUT_MS)
            connection.add_pending(dispatch, message.sink, message.deadline_ms, expires_ms)
        elif dispatch.incarnation in ("", incarnation):
            self._send_dispatch(connection, message)
        else:
            message.sink.post(Refused(dispatch.request_id, ResultCode.STALE_INCARNATION))
        self._publish(connection)

    def _send_dispatch(self, connection: AgentConnection, message: SendDispatch) -> None:
        prepared = prepare_dispatch(
            message.dispatch,
            connection.view.incarnation,
            message.deadline_ms,
            self.clock.monotonic_ms(),
            self._filter_dispatch,
        )
        if isinstance(prepared, Failure):
            message.sink.post(Refused(message.dispatch.request_id, prepared.failure()))
            return
        dispatch = prepared.unwrap()
        end_ms = self.clock.monotonic_ms() + dispatch.deadline_left_ms
        connection.add(dispatch, message.sink, end_ms)
        if not connection.channel.send(dispatch):
            connection.remove(dispatch.request_id)
            message.sink.post(Refused(dispatch.request_id, ResultCode.NO_TARGET))

    def _make_hello(self) -> Hello:
        return Hello(self._entry_id, self._settings_revision())

    def _cancel(self, message: SendCancel) -> None:
        connection = self._connections.get(message.target_id)
        if connection is not None and not connection.cancel_pending(message.request_id):
            connection.channel.send(Cancel(message.request_id))

    def _receive_final(
        self, connection: AgentConnection, message: Finished | Refused | Failed
    ) -> None:
        if isinstance(message, Failed) and message.code is ResultCode.TARGET_CRASHED:
            self._record_crash(connection)
        self._fail_stream_on_error(
            connection, message.request_id, connection.receive_final(message)
        )
        self._publish(connection)

    def _fail_stream_on_error(
        self, connection: AgentConnection, request_id: str, detail: str
    ) -> None:
        if not detail:
            return
        self._metrics.count("broken_streams")
        connection.channel.send(Cancel(request_id))
        connection.fail(request_id, ResultCode.STREAM_BROKEN, detail)
        self._publish(connection)

    def _record_crash(self, connection: AgentConnection) -> None:
        self._set_view(connection, crashed_ms=self.clock.monotonic_ms())

    def _adopt_agent_id(self, connection: AgentConnection, message: Welcome) -> bool:
        """Replace the address by the agent's id as the key of a target known by address only.

        :return: ``False`` if another connection to the agent exists; this one is closed then.
        """
        known_id = connection.view.target_id
        if message.agent_id == known_id:
            return True
        if message.agent_id in self._connections:
            self._remove_target(known_id)
            return False
        self._listing.rename(known_id, message.agent_id)
        self._membership.remove(known_id)
        self._connections.rename(known_id, message.agent_id)
        connection.view = replace(connection.view, target_id=message.agent_id)
        return True

    def _apply_report(self, connection: AgentConnection, message: Welcome | LoadReport) -> None:
        view = connection.view
        if view.incarnation not in ("", message.incarnation):
            self._fail_in_flight(connection)
            connection.view = replace(connection.view, incarnation="")
        # A restarted agent needs a new hello; its welcome triggers the transfer of crash verdicts.
        if isinstance(message, LoadReport) and not connection.view.incarnation:
            connection.channel.send(self._make_hello())
            return
        is_listed = view.target_id in self._listing
        connection.view = apply_report(connection.view, message, is_listed)
        connection.update_load(message.load)
        self._send_pending(connection)
        self._publish(connection)

    def _send_pending(self, connection: AgentConnection) -> None:
        pending, connection.pending = connection.pending, []
        for waiting in pending:
            message = SendDispatch("", waiting.dispatch, waiting.sink, waiting.deadline_ms)
            self._send_dispatch(connection, message)

    def _set_view(self, connection: AgentConnection, **changes: object) -> None:
        connection.view = replace(connection.view, **changes)
        self._publish(connection)

    def _publish(self, connection: AgentConnection) -> None:
        self._membership.set_view(connection.refresh_view())
