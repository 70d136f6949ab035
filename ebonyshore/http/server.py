"""HTTP/1.1 server: reads requests completely before they are handled and can stream responses.

Each connection handles one request at a time; further pipelined requests wait. When a client closes
its connection, the task that handles its request is cancelled.
"""

from asyncio import (
    AbstractEventLoop,
    CancelledError,
    Future,
    Protocol,
    Task,
    TimerHandle,
    Transport,
    get_running_loop,
)
from collections import deque
from collections.abc import Awaitable, Callable

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import DEFAULT_LIMIT_BYTES, MemoryBudget
from ebonyshore.http.messages import Request, status_line

MAX_PIPELINED_REQUESTS = 8  # a connection on which more requests wait is reset
MAX_WRITE_BUFFER_BYTES = 1 << 20
# Above this a stream waits for its client, so that its target is not read either.
STREAM_BUFFER_BYTES = 256 << 10
SMALL_BODY_BYTES = 16_384  # read also while the memory for connections is used up


class ServerLimits(Struct):
    """Limits on the size of a request and on the time that a client takes.

    :param max_header_bytes: maximum size of the request line and headers of a request.
    :param max_body_bytes: maximum size of the body of a request.
    :param header_timeout_ms: time limit from the first byte of a request to the end of its headers.
    :param idle_timeout_ms: time after which a connection without a request is closed; also the time
        limit from the end of the headers to the end of the body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class ClientDisconnectedError(ConnectionError):
    """The client's connection was closed before the response was complete."""


class Responder:
    """Writes the response to one request, either whole or as a stream.

    A handler calls either :meth:`send`, or :meth:`start_stream`, :meth:`write` and
    :meth:`end_stream`. These methods raise :class:`ClientDisconnectedError` if the client has
    disconnected or does not read.

    :param connection: the client's connection.
    :ivar is_started: whether the head of the response was written.
    :ivar is_ended: whether the response is complete or was aborted.
    """

    __slots__ = ("_connection", "_is_chunked", "is_ended", "is_started")

    def __init__(self, connection: "ServerConnection") -> None:
        self._connection = connection
        self._is_chunked = False
        self.is_started = False
        self.is_ended = False

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response.

        :param headers: header fields; ``Content-Length`` is added from the body.
        """
        headers = headers.without(("content-length",))
        headers.add("Content-Length", str(len(body)))
        self._write_head(status, headers, body)
        self._mark_ended()

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose body follows in chunks.

        :param headers: header fields; a ``Content-Length`` among them is left out.
        """
        headers = headers.without(("content-length",))
        headers.add("Transfer-Encoding", "chunked")
        self._is_chunked = True
        self._write_head(status, headers, b"")

    def write(self, data: bytes) -> None:
        """Write a chunk of a streamed body; empty data is ignored.

        :raises ClientDisconnectedError: if the client has disconnected or does not read.
        """
        if data:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def drain(self) -> None:
        """Wait until the client has read enough of a streamed body for more to be written.

        :raises ClientDisconnectedError: if the client disconnects.
        """
        await self._connection.drain()

    def set_account(self, account: str) -> None:
        """Count everything that is held for the connection to a client account."""
        self._connection.account = account

    def hold(self, size_bytes: int) -> None:
        """Count bytes of the response that the handler keeps and has not written yet."""
        self._connection.handler_bytes = size_bytes

    def end_stream(self) -> None:
        """Write the last chunk, which ends a streamed body."""
        self._connection.write(b"0\r\n\r\n")
        self._mark_ended()

    def abort(self) -> None:
        """Reset the connection, so that the client does not take the response for complete."""
        self._connection.abort()
        self._mark_ended()

    def _write_head(self, status: int, headers: Headers, body: bytes) -> None:
        self.is_started = True
        if self._connection.announce_end():
            headers.add("Connection", "close")
        self._connection.write(status_line(status) + headers.encode() + b"\r\n" + body)

    def _mark_ended(self) -> None:
        self.is_ended = True


Handler = Callable[[Request, Responder], Awaitable[None]]


class ServerConnection(Protocol):
    """A connection of a client.

    :param server: provides the limits and the handler, and holds the set of open connections.
    :ivar account: the client account that sent the last request; empty if it is not known.
    :ivar handler_bytes: bytes that the handler keeps for the present request.
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._loop: AbstractEventLoop = get_running_loop()
        self._transport: Transport | None = None
        self._parser = HttpRequestParser(self)
        self._task: Task[None] | None = None
        self._pending_requests: deque[tuple[Request, bool]] = deque()
        self._timer: TimerHandle | None = None
        self._is_reading_request = False
        self._is_closing = False
        self._are_headers_complete = False
        self._trailer_bytes = 0  # received since the headers or the last part of the body
        self._ignores_input = False
        self._keeps_alive = True
        self._header_bytes = 0  # -1 once the headers are complete
        self._body_bytes = 0
        self._url = b""
        self._header_fields: list[tuple[str, str]] = []
        self._body_chunks: list[bytes] = []
        self._request_started_ms = 0.0
        self._rejection_status = 0
        self._is_end_announced = False
        self._idle_since_ms = now_ms()
        self._request_bytes = 0  # of the bodies of requests that have not been answered
        self._writable: Future[None] | None = None  # set while the client has too much to read
        self.account = ""
        self.handler_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the client: bodies of requests, and what it has not read."""
        unread_bytes = self._transport.get_write_buffer_size() if self._transport else 0
        return self._body_bytes + self._request_bytes + self.handler_bytes + unread_bytes

    def announce_end(self) -> bool:
        """Return whether the head of a response has to say that the connection is closed.

        The connection is then closed after this response, and otherwise it is not: its client may
        have sent the next request.
        """
        self._is_end_announced = not self._keeps_alive or self._server.is_draining
        return self._is_end_announced

    def idle_ms(self, at_ms: float) -> float:
        """Return for how long the connection has had no request, 0 if it has one."""
        return 0.0 if self.is_busy else at_ms - self._idle_since_ms

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, is queued or is being handled."""
        return self._task is not None or bool(self._pending_requests) or self._is_reading_request

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=STREAM_BUFFER_BYTES)
        self._server.connections.add(self)
        self._set_timer(self._server.limits.idle_timeout_ms, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._cancel_timer()
        self._transport = None
        self.resume_writing()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._ignores_input:
            return
        if not self._is_reading_request:
            self._begin_request()
        if self._header_bytes >= 0:
            self._header_bytes += len(data)
        self._trailer_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is answered as it is; what follows would be of another protocol.
            self._ignores_input = True
        except HttpParserError:
            self._reject(self._rejection_status or 400)
            return
        header_bytes = max(self._header_bytes, self._unfinished_trailer_bytes())
        if self._rejection_status or header_bytes > self._server.limits.max_header_bytes:
            self._reject(self._rejection_status or 431)

    def _unfinished_trailer_bytes(self) -> int:
        is_in_body = self._is_reading_request and self._are_headers_complete
        return self._trailer_bytes if is_in_body else 0

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def drain(self) -> None:
        """Wait while the client has more than ``STREAM_BUFFER_BYTES`` to read.

        :raises ClientDisconnectedError: if the client disconnects.
        """
        if self._writable is not None:
            await self._writable
        if self._transport is None:
            raise ClientDisconnectedError("client has closed its connection")

    def write(self, data: bytes) -> None:
        """Send data without waiting until the client has read it.

        :raises ClientDisconnectedError: if the connection is closed, or more than
            ``MAX_WRITE_BUFFER_BYTES`` are waiting to be sent; the connection is then reset.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ClientDisconnectedError("client has closed its connection")
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.abort()
            raise ClientDisconnectedError("client does not read its response")
        transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after the data written so far is sent."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        if not self._is_reading_request:
            self._begin_request()
        self._url = b""
        self._header_fields = []
        self._are_headers_complete = False
        self._trailer_bytes = 0
        self._body_chunks = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._are_headers_complete:
            return  # a trailer
        self._header_fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        limits = self._server.limits
        if self._header_bytes > limits.max_header_bytes:
            # _header_bytes also counts body data received together with the end of the headers.
            header_bytes = len(self._url) + sum(len(n) + len(v) + 4 for n, v in self._header_fields)
            if header_bytes > limits.max_header_bytes:
                self._rejection_status = 431
        if self._parser.should_upgrade() and _has_body(self._header_fields):
            self._rejection_status = 400  # the parser takes the body for another protocol
        self._header_bytes = -1
        self._are_headers_complete = True
        self._trailer_bytes = 0
        self._set_timer(limits.idle_timeout_ms, self.close)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        self._trailer_bytes = 0
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._rejection_status = 413
            return
        if self._body_bytes > SMALL_BODY_BYTES and self._server.is_memory_exhausted():
            self._rejection_status = 503
            return
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        self._cancel_timer()
        self._is_reading_request = False
        if self._rejection_status:
            return
        keeps_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        method = self._parser.get_method().decode("latin-1")
        request = Request(
            method,
            self._url.decode("latin-1"),
            Headers(self._header_fields),
            b"".join(self._body_chunks),
            self._request_started_ms,
        )
        self._request_bytes += len(request.body)
        self._body_bytes = 0
        self._body_chunks = []
        self._pending_requests.append((request, keeps_alive))
        if len(self._pending_requests) > MAX_PIPELINED_REQUESTS:
            self.abort()
            return
        self._serve_next()

    def _begin_request(self) -> None:
        self._is_reading_request = True
        self._header_bytes = 0
        self._request_started_ms = now_ms()
        self._set_timer(self._server.limits.header_timeout_ms, self._reject_slow_headers)

    def _serve_next(self) -> None:
        if self._task is None and self._pending_requests and not self._is_closing:
            request, self._keeps_alive = self._pending_requests.popleft()
            self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: Request) -> None:
        responder = Responder(self)
        try:
            await self._server.handler(request, responder)
        except ClientDisconnectedError:
            self.abort()
        except CancelledError:
            self.abort()
            raise
        except Exception as error:  # noqa: BLE001 - a failed request must not stop the server
            self._server.report_failure(request, error)
            self.abort()
        finally:
            self._task = None
            self._request_bytes -= len(request.body)
            self.handler_bytes = 0
            if not responder.is_ended:
                self.abort()
        self._finish_request()

    def _finish_request(self) -> None:
        if self._is_closing or self._transport is None:
            return
        if self._is_end_announced:
            self.close()
            return
        self._idle_since_ms = now_ms()
        if self._pending_requests:
            self._serve_next()
        elif not self._is_reading_request:
            self._set_timer(self._server.limits.idle_timeout_ms, self.close)

    def _reject_slow_headers(self) -> None:
        self._reject(408)

    def _reject(self, status: int) -> None:
        """Send an empty response and close the connection.

        While an earlier request is being handled the connection is reset instead, because the
        rejection would be taken for the response to that request.
        """
        if self._is_closing or self._task is not None:
            self.abort()
            return
        self._is_closing = True
        if self._transport is not None:
            headers = Headers([("Content-Length", "0"), ("Connection", "close")])
            self._transport.write(status_line(status) + headers.encode() + b"\r\n")
            self._transport.close()

    def _set_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _has_body(fields: list[tuple[str, str]]) -> bool:
    return any(name.lower() in ("content-length", "transfer-encoding") for name, _ in fields)


class HttpServer:
    """HTTP server on one address.

    :param handler: handles one request; it is cancelled when the client disconnects. If it raises
        or returns before its response is complete, the connection is reset.
    :param limits: limits of requests; read for each request, so that they may be replaced while the
        server is running.
    :param report_failure: called with the request and the exception when a handler raises.
    :param memory_bytes: limit of what is held for all connections together.
    :ivar connections: the open connections.
    :ivar is_draining: if true, each response announces the end of its connection, which is then
        closed.
    :ivar memory: knows whether new requests may be taken.
    """

    BACKLOG = 512

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        report_failure: Callable[[Request, Exception], None],
        memory_bytes: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.report_failure = report_failure
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.memory = MemoryBudget(self._held_bytes, memory_bytes)
        self._server = None

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections.

        :param port: port to listen on; 0 selects a free one.
        :raises OSError: if the address cannot be bound.
        """
        self._server = await get_running_loop().create_server(
            lambda: ServerConnection(self), host, port, backlog=self.BACKLOG, reuse_address=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens. Valid only after :meth:`listen`."""
        return self._server.sockets[0].getsockname()[1]

    def busy_connection_count(self) -> int:
        """Return the number of connections that are not idle."""
        return sum(connection.is_busy for connection in self.connections)

    def is_memory_exhausted(self) -> bool:
        """Return whether the connections hold as much as they may."""
        return self.memory.is_exhausted(now_ms())

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
        if self._server is not None:
            self._server.close()
