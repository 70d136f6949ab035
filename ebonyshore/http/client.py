"""HTTP/1.1 client connections, with one exchange at a time on each.

A response belongs to a request only if it arrives while that request waits for it. A connection on
which bytes arrive while it is idle, or after a complete response, is closed.
"""

from asyncio import (
    AbstractEventLoop,
    BufferedProtocol,
    Future,
    Transport,
    get_running_loop,
)
from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.headers import FIELD_BYTES, Headers
from ebonyshore.http.idle_timeouts import IdleTimeout
from ebonyshore.http.messages import ResponseHead
from ebonyshore.http.numbers import parse_decimal

INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
BODILESS_STATUSES = (204, 304)
MAX_HEAD_BYTES = 65_536  # of a response
# Received parts that wait to be taken; above this the connection is not read further.
MAX_QUEUED_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 65_536  # that are read at a time
HEAD_QUEUE_BYTES = 1_024  # that a head counts for
MAX_REMEMBERED_IDS = 64  # of requests that a connection has carried
MAX_HEAD_FIELDS = 1_000  # each takes far more memory than its bytes


class ExchangeError(ConnectionError):
    """No complete response was received.

    :param detail: description of the failure.
    :param was_sent: whether a part of the request may have reached the server.
    """

    def __init__(self, detail: str, was_sent: bool = True) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class ResponseTooLongError(ExchangeError):
    """The response is longer than the receiver takes; its server need not be down."""


class BodyEnd(Struct, frozen=True):
    """Marks the end of a complete response."""


ResponsePart = ResponseHead | bytes | BodyEnd | ExchangeError


class ClientConnection(BufferedProtocol):
    """A connection to a server; carries one exchange at a time.

    Call :meth:`send`, then :meth:`next_part` until it returns :class:`BodyEnd`, then
    :meth:`finish_exchange`. An exchange that is not read to its end must be ended with
    :meth:`abort`.

    Bytes are received only as far as they are taken: a server that sends without end is not read
    further, and a head that is too long breaks the connection.

    :param idle_timeout: what is known of the server's idle timeout; this connection adds to it.
    :param receive_buffer: into which data is read; connections of one event loop may share it.
    :ivar is_broken: whether the connection is closed or can no longer be used.
    :ivar has_received: whether the server has sent anything in this exchange.
    :ivar idle_since_ms: monotonic time at which the last exchange ended.
    """

    def __init__(
        self,
        idle_timeout: IdleTimeout | None = None,
        receive_buffer: memoryview | None = None,
    ) -> None:
        self._receive_buffer = receive_buffer or new_receive_buffer()
        self._loop: AbstractEventLoop = get_running_loop()
        self._transport: Transport | None = None
        self._parser = HttpResponseParser(self)
        self._parts: deque[ResponsePart] = deque()
        self._waiter: Future[None] | None = None
        self._header_fields: list[tuple[str, str]] = []
        self._is_exchange_active = False
        self._has_head = False
        self._is_self_delimited = False
        self._is_complete = False
        self._is_interim = False  # whether the message being received precedes the response
        self._keeps_alive = False
        self._head_bytes = 0  # of a head, of trailers or between chunks, since the last part
        self._queued_bytes = 0
        self.is_broken = False
        self.has_received = False
        self.idle_since_ms = 0.0
        self._idle_timeout = idle_timeout or IdleTimeout()
        self._is_idle = False
        self._carried_ids: deque[str] = deque(maxlen=MAX_REMEMBERED_IDS)
        self._refusable_exchanges = 0
        self._may_reuse = True

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if not self._is_exchange_active:
            self.abort()
            return
        self.has_received = True
        self._head_bytes += nbytes
        try:
            self._parser.feed_data(self._receive_buffer[:nbytes])
        except (HttpParserError, HttpParserUpgrade) as error:
            self.fail(ExchangeError(f"invalid HTTP response: {error}"))
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            self.fail(ExchangeError(f"response head exceeds {MAX_HEAD_BYTES} bytes"))
        elif self._queued_bytes > MAX_QUEUED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._is_idle and exc is None and not self.is_broken:
            self._idle_timeout.record_closed(now_ms() - self.idle_since_ms)
        self.is_broken = True
        self._transport = None
        if not self._is_exchange_active:
            return
        has_open_body = self._has_head and not self._is_self_delimited and not self._is_complete
        if exc is None and has_open_body:
            self._append_part(BodyEnd())
            return
        self._append_part(
            ExchangeError(
                "connection lost before the response was complete"
                if exc is not None
                else "connection closed before the response was complete"
            )
        )

    def send(self, data: bytes, request_id: str | None = None, may_be_refused: bool = True) -> None:
        """Send a request and start an exchange.

        :param data: the encoded request, head and body.
        :param request_id: id by which its response is known; ``None`` if it has none.
        :param may_be_refused: whether the server may refuse it; see :attr:`is_first_exchange`.
        :raises ExchangeError: if the connection is closed, or has received more than the response
            to the request before; nothing was sent.
        """
        if self.is_broken or self._transport is None or self._transport.is_closing():
            raise ExchangeError("connection closed while idle", was_sent=False)
        if self._is_exchange_active and (self._parts or not self._is_complete):
            raise ExchangeError("received bytes that belong to no request", was_sent=False)
        self._parts.clear()
        self._queued_bytes = 0
        self._head_bytes = 0
        self._is_exchange_active = True
        self._is_idle = False
        self._is_complete = False
        self._has_head = False
        self.has_received = False
        self._refusable_exchanges += int(may_be_refused)
        if request_id is not None:
            self._carried_ids.append(request_id)
        self._transport.write(data)

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether a request with this id was sent; a copy of its response may follow."""
        return request_id in self._carried_ids

    @property
    def has_parts(self) -> bool:
        """Whether :meth:`next_part` returns, or raises, at once."""
        return bool(self._parts)

    @property
    def held_bytes(self) -> int:
        """Received bytes that have not been taken, also those of an incomplete head."""
        if self._has_head or not self._is_exchange_active:
            return self._queued_bytes
        return self._queued_bytes + self._head_bytes + FIELD_BYTES * len(self._header_fields)

    def fail(self, error: ExchangeError) -> None:
        """Close the connection; :meth:`next_part` raises an error after the parts received."""
        self._append_part(error)
        self.abort()

    async def next_part(self) -> ResponseHead | bytes | BodyEnd:
        """Wait for the next part of the response and return it.

        The parts are the head, any number of chunks of the body and :class:`BodyEnd`. If the server
        sends another, unsolicited response, its parts follow.

        :raises ExchangeError: if the response was cut short or is not valid HTTP.
        """
        while not self._parts:
            if self.is_broken:
                raise ExchangeError("connection already closed")
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        part = self._parts.popleft()
        if isinstance(part, ExchangeError):
            raise part
        self._queued_bytes -= _queue_bytes(part)
        if self._transport is not None and self._queued_bytes <= MAX_QUEUED_BYTES // 2:
            self._transport.resume_reading()
        return part

    def finish_exchange(self, at_ms: float) -> bool:
        """End an exchange whose response was read to its end.

        A connection that cannot be reused is closed.

        :param at_ms: present monotonic time.
        :return: whether the connection can be reused.
        """
        is_fully_read = self._is_exchange_active and self._is_complete and not self._parts
        self._is_exchange_active = False
        self.idle_since_ms = at_ms
        can_reuse = is_fully_read and self._is_self_delimited and self._keeps_alive
        can_reuse = can_reuse and self._may_reuse
        if self.is_broken or not can_reuse:
            self._parts.clear()  # its references to itself may keep it for a while
            self.abort()
            return False
        self._is_idle = True
        return True

    @property
    def is_first_exchange(self) -> bool:
        """Whether the connection has carried no other request that may be refused."""
        return self._refusable_exchanges == 1

    def prevent_reuse(self) -> None:
        """Let the connection be closed at the end of the exchange."""
        self._may_reuse = False

    def abort(self) -> None:
        """Close the connection immediately, so that the server cancels the request."""
        self.is_broken = True
        if self._transport is not None:
            self._transport.abort()

    def is_usable(self, at_ms: float, max_idle_ms: float, must_be_open: bool = False) -> bool:
        """Return whether an idle connection is probably still open at the server.

        :param at_ms: present monotonic time.
        :param max_idle_ms: idle time after which the connection must not be reused, even if the
            server keeps it open for longer.
        :param must_be_open: whether only a connection will do that the server certainly keeps open.
        """
        if not self.is_open:
            return False
        timeout = self._idle_timeout
        server_max_idle_ms = timeout.safe_idle_ms if must_be_open else timeout.max_idle_ms
        return at_ms - self.idle_since_ms < min(max_idle_ms, server_max_idle_ms)

    @property
    def is_open(self) -> bool:
        """Whether the connection is not known to be closed."""
        return not (self.is_broken or self._transport is None or self._transport.is_closing())

    def record_open(self, at_ms: float) -> None:
        """Record that an idle connection is open; it shows how long the server keeps one."""
        if self.is_open:
            self._idle_timeout.record_open(at_ms - self.idle_since_ms)

    # Callbacks of the parser. A response may be followed by an unsolicited one.
    def on_message_begin(self) -> None:
        self._header_fields = []
        self._has_head = False
        self._head_bytes = 0
        self._is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._has_head:
            return  # a trailer
        if len(self._header_fields) >= MAX_HEAD_FIELDS:
            raise ValueError(f"response head has more than {MAX_HEAD_FIELDS} fields")
        self._header_fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        self._is_interim = status in INTERIM_STATUSES
        if self._is_interim:
            return
        if status not in FINAL_STATUSES:
            raise ValueError(f"status {status}")  # the parser reports an invalid response
        headers = Headers(self._header_fields)
        self._has_head = True
        self._is_self_delimited = _is_self_delimited(status, headers)
        self._update_server_max_idle(headers)
        self._append_part(ResponseHead(status, headers, self._is_self_delimited))

    def on_body(self, body: bytes) -> None:
        self._append_part(body)

    def on_message_complete(self) -> None:
        if self._is_interim:
            return
        self._is_complete = True
        self._keeps_alive = self._parser.should_keep_alive()
        self._append_part(BodyEnd())

    def _update_server_max_idle(self, headers: Headers) -> None:
        for parameter in (headers.get("keep-alive") or "").split(","):
            name, _, value = parameter.strip().partition("=")
            timeout_s = parse_decimal(value)
            if name.lower() == "timeout" and timeout_s is not None:
                self._idle_timeout.announced_ms = timeout_s * MS_PER_S

    def _append_part(self, part: ResponsePart) -> None:
        self._head_bytes = 0
        self._parts.append(part)
        self._queued_bytes += _queue_bytes(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _queue_bytes(part: ResponsePart) -> int:
    return len(part) if isinstance(part, bytes) else HEAD_QUEUE_BYTES


def _is_self_delimited(status: int, headers: Headers) -> bool:
    """Return whether the head of a response shows where its body ends."""
    if status in BODILESS_STATUSES or headers.get("content-length") is not None:
        return True
    return "chunked" in (headers.get("transfer-encoding") or "").lower()


def new_receive_buffer() -> memoryview:
    """Return a buffer for :class:`ClientConnection`."""
    return memoryview(bytearray(RECEIVE_BUFFER_BYTES))
