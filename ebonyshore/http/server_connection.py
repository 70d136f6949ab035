"""A client's connection to a server: reads requests and passes them to the handler in order.

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
from collections.abc import Callable
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import MemoryHolder
from ebonyshore.http.messages import Request, status_line
from ebonyshore.http.responder import ClientDisconnectedError, Responder

if TYPE_CHECKING:
    from ebonyshore.http.server import HttpServer

MAX_PIPELINED_REQUESTS = 8  # a connection on which more requests wait is reset
MAX_WRITE_BUFFER_BYTES = 1 << 20
# Above this a stream waits for its client, so that its target is not read either.
STREAM_BUFFER_BYTES = 256 << 10
SMALL_BODY_BYTES = 16_384  # read also while the memory for connections is used up


class ServerConnection(Protocol):
    """A connection of a client.

    :param server: provides the limits and the handler, and holds the set of open connections.
    :ivar account: the client account that sent the last request; empty if it is not known.
    :ivar holder: what the handler keeps for the present request; ``None`` if nothing.
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
        self.holder: MemoryHolder | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the client: requests, their answers, and what it has not read."""
        unread_bytes = self._transport.get_write_buffer_size() if self._transport else 0
        handler_bytes = self.holder.held_bytes if self.holder is not None else 0
        request_bytes = max(0, self._header_bytes) + self._body_bytes + self._request_bytes
        return request_bytes + handler_bytes + unread_bytes

    def check_memory(self) -> None:
        """End requests if the server holds too much."""
        self._server.check_memory()

    def has_much_room(self) -> bool:
        """Return whether the server holds so little that a request may hold more."""
        return self._server.memory.has_much_room(now_ms())

    def end_request(self) -> None:
        """End the present request, since the server holds too much.

        It is refused if it was not read to its end, and else answered as its handler decides. A
        client that does not read gets no answer.
        """
        if self._task is None:
            self._reject(503)
            return
        is_unread = self._writable is not None
        if is_unread or self.holder is None or not self.holder.give_up():
            self.abort()

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
            self.holder = None
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
