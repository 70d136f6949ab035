"""HTTP/1.1 server: reads requests completely before they are handled and can stream responses."""

from collections.abc import Awaitable, Callable
from operator import attrgetter

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.listener import Listener
from ebonyshore.http.memory_budget import DEFAULT_LIMIT_BYTES, END_DOWN_TO, MemoryBudget
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder
from ebonyshore.http.server_connection import SMALL_BODY_BYTES, ServerConnection
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.http.waiting_connections import WaitingConnections

RECEIVE_BUFFER_BYTES = 16_384  # that are read of a connection before others have their turn
DEFAULT_MAX_CONNECTIONS = 1_000

Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """HTTP server on one address.

    :param handler: handles one request; it is cancelled when the client disconnects. If it raises
        or returns before its response is complete, the connection is reset.
    :param limits: limits of requests; read for each request, so that they may be replaced while the
        server is running.
    :param report_failure: called with the request and the exception when a handler raises.
    :param memory_bytes: limit of what is held for all connections together.
    :param max_connections: number of connections; for each further one, one that waits for a
        request is ended, or else the new one.
    :ivar connections: the open connections.
    :ivar waiting: those of them on which no complete request is.
    :ivar receive_buffer: into which the connections read, one after the other.
    :ivar is_draining: if true, each response announces the end of its connection, which is then
        closed.
    :ivar memory: knows whether new requests may be taken.
    :ivar on_request_ended: called with the bytes held for each request that is ended as the server
        holds too much.
    :ivar on_request_refused: called for each request that is refused for the same reason before it
        is complete.
    :ivar on_connection_ended: called for each connection that is ended for a new one or refused.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        report_failure: Callable[[Request, Exception], None],
        memory_bytes: int = DEFAULT_LIMIT_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.report_failure = report_failure
        self.connections: set[ServerConnection] = set()
        self.waiting: WaitingConnections[ServerConnection] = WaitingConnections()
        self.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.is_draining = False
        self.memory = MemoryBudget(self._held_bytes, memory_bytes)
        self.on_request_ended: Callable[[int], None] = lambda _held_bytes: None
        self.on_request_refused: Callable[[], None] = lambda: None
        self.on_connection_ended: Callable[[], None] = lambda: None
        self._max_connections = max_connections
        self._listener: Listener | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections.

        :param port: port to listen on; 0 selects a free one.
        :raises OSError: if the address cannot be bound.
        """
        self._listener = Listener(
            lambda: ServerConnection(self), self._make_place, self._end_waiting
        )
        self._listener.listen(host, port)

    @property
    def port(self) -> int:
        """Port on which the server listens. Valid only after :meth:`listen`."""
        return self._listener.port

    def busy_connection_count(self) -> int:
        """Return the number of connections that are not idle."""
        return sum(connection.is_busy for connection in self.connections)

    def is_memory_exhausted(self) -> bool:
        """Return whether the connections hold as much as they may."""
        return self.memory.is_exhausted(now_ms())

    def check_memory(self) -> None:
        """End the requests that hold most if all together hold much more than they may."""
        excess_bytes = self.memory.excess_bytes(now_ms())
        if excess_bytes <= 0.0:
            return
        for connection in sorted(self.connections, key=attrgetter("held_bytes"), reverse=True):
            held_bytes = connection.held_bytes
            if excess_bytes <= 0.0 or held_bytes == 0:
                break
            excess_bytes -= held_bytes
            connection.end_request()
            self.on_request_ended(held_bytes)
        self.memory.forget()

    def make_room(self) -> None:
        """Refuse the incomplete requests that hold most if all together hold too much."""
        at_ms = now_ms()
        if not self.is_memory_exhausted():
            return
        excess_bytes = self.memory.total_bytes(at_ms) - self.memory.limit_bytes * END_DOWN_TO
        large = [x for x in self.connections if x.incomplete_bytes > SMALL_BODY_BYTES]
        for connection in sorted(large, key=attrgetter("incomplete_bytes"), reverse=True):
            if excess_bytes <= 0.0:
                break
            held_bytes = connection.incomplete_bytes
            excess_bytes -= held_bytes
            connection.refuse_incomplete()
            self.on_request_refused()

    def _held_bytes(self) -> dict[str, int]:
        held_bytes: dict[str, int] = {}
        for connection in self.connections:
            size_bytes = connection.held_bytes
            if size_bytes:
                known_bytes = held_bytes.get(connection.account, 0)
                held_bytes[connection.account] = known_bytes + size_bytes
        return held_bytes

    def close_idle_connections(self, min_idle_ms: float = 0.0) -> None:
        """Close the connections that have had no request for a time."""
        at_ms = now_ms()
        for connection in list(self.connections):
            if not connection.is_busy and connection.idle_ms(at_ms) >= min_idle_ms:
                connection.close()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._listener is not None:
            self._listener.close()

    def _make_place(self) -> bool:
        """Return whether one more connection may be opened; end another one if it has to."""
        if len(self.connections) + self._listener.opening_count < self._max_connections:
            return True
        return self._end_waiting()

    def _end_waiting(self) -> bool:
        """End a connection that waits for a request; return whether there is one."""
        self.on_connection_ended()
        ended = self.waiting.pop_first_to_end(now_ms())
        if ended is None:
            return False
        if ended.unread_bytes:
            ended.abort()
        else:
            ended.close()
        return True
