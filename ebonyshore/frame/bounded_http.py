"""A waitress server that bounds what all its connections hold together, and their number.

Waitress bounds single requests, but not the line with the size of a chunk, not the trailers, and no
sum. It stops to accept connections at its limit, so that clients that send nothing keep all others
waiting; here a connection that waits for a request is closed for each new one.
"""

from collections.abc import Callable
from operator import attrgetter
from time import time

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.utilities import RequestHeaderFieldsTooLarge

from ebonyshore.http.headers import FIELD_BYTES

MAX_HEADER_BYTES = 65_536  # of a head, and of each part of a chunked body that is no data
MEMORY_BUFFER_BYTES = 65_536  # of a body; the rest of it is kept in a temporary file
MAX_INCOMPLETE_BYTES = 16 << 20  # memory of all requests that are being received
INCOMPLETE_BYTES_AFTER = 12 << 20  # what is left of that once some were closed
SMALL_REQUEST_BYTES = 16_384  # not closed for the sake of others
FIRST_REQUEST_S = 0.5  # that a new connection has before it is closed for another one
UNREAD_TIMEOUT_S = 30.0  # after which a client that reads nothing of its response is given up
CLEANUP_INTERVAL_S = 5
ACCEPTED_AT_ONCE = 16
OTHER_SOCKETS = 16  # of the server itself


class BoundedParser(HTTPRequestParser):
    """Reads one request, with a limit on what surrounds the data of chunks."""

    def received(self, data: bytes) -> int:
        consumed = super().received(data)
        if not self.completed and self._framing_bytes() > MAX_HEADER_BYTES:
            self.error = RequestHeaderFieldsTooLarge(f"exceeds {MAX_HEADER_BYTES} bytes")
            self.completed = True
        return consumed

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        fields_bytes = sum(
            FIELD_BYTES + len(name) + len(value) for name, value in self.headers.items()
        )
        return len(self.header_plus) + fields_bytes + self._framing_bytes() + self._body_bytes()

    def _framing_bytes(self) -> int:
        body = self.body_rcv
        return len(getattr(body, "control_line", b"")) + len(getattr(body, "trailer", b""))

    @property
    def has_file(self) -> bool:
        """Whether a temporary file holds the body."""
        return self.body_rcv is not None and self.body_rcv.getbuf().overflowed

    def _body_bytes(self) -> int:
        return 0 if self.body_rcv is None or self.has_file else len(self.body_rcv.getbuf())


class BoundedChannel(HTTPChannel):
    """A connection; its server knows what it holds.

    :ivar held_bytes: memory of the request that is being received.
    :ivar has_file: whether a temporary file holds a part of it.
    :ivar is_proven: whether the connection has brought a complete request.
    """

    parser_class = BoundedParser
    held_bytes = 0
    has_file = False
    is_proven = False
    _empty_bytes = 0  # of empty lines received since the last request

    def received(self, data: bytes) -> bool:
        if self.request is None:
            data = self._without_empty_lines(data)
        result = super().received(data)
        self.is_proven = self.is_proven or bool(self.requests)
        request = self.request
        self.server.count_held(self, 0 if request is None else request.held_bytes)
        if not self.will_close:  # it may have been given up just now
            has_file = any(x.has_file for x in (request, *self.requests) if x is not None)
            self.server.count_file(self, has_file)
        return result

    def _without_empty_lines(self, data: bytes) -> bytes:
        """Return what follows the empty lines before a request; too many end the connection."""
        rest = data.lstrip(b"\r\n")
        self._empty_bytes = 0 if rest else self._empty_bytes + len(data)
        if self._empty_bytes > MAX_HEADER_BYTES:
            self.will_close = True
        return rest

    @property
    def is_waiting(self) -> bool:
        """Whether the client has neither a complete request nor a response to read."""
        return not (self.requests or self.total_outbufs_len or self.will_close)

    def give_up(self) -> None:
        """Drop what was received, and let the loop of the server close the connection.

        Its descriptor may not be used again before the loop has looked at all others, as the event
        of the old connection would be taken for one of the new.
        """
        self.will_close = True
        self._drop_request()

    def handle_close(self) -> None:
        self._drop_request()
        super().handle_close()

    def _drop_request(self) -> None:
        self.server.count_held(self, 0)
        self.server.count_file(self, False)
        if self.request is not None:
            self.request.close()  # its temporary file
            self.request = None


class BoundedServer(TcpWSGIServer):
    """Accepts connections up to a limit, and closes waiting ones for new ones.

    :param app: the WSGI application.
    :param dispatchers: gets the sockets of the server, by descriptor.
    :param max_connections: number of connections and temporary files together.
    :param options: further adjustments of waitress.
    """

    channel_class = BoundedChannel

    def __init__(
        self,
        app: Callable[..., object],
        dispatchers: dict[int, object],
        max_connections: int,
        **options: object,
    ) -> None:
        self._max_connections = max_connections
        self._held_bytes = 0
        self._file_count = 0
        self._is_queue_empty = True
        adjustments = Adjustments(
            max_request_header_size=MAX_HEADER_BYTES,
            inbuf_overflow=MEMORY_BUFFER_BYTES,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # Waitress counts its other sockets too; it must not stop to accept.
            connection_limit=2 * max_connections + OTHER_SOCKETS,
            asyncore_use_poll=True,  # select fails above 1,023 descriptors
            **options,
        )
        super().__init__(app, dispatchers, adj=adjustments)

    def handle_accept(self) -> None:
        """Accept several connections, as clients wait behind those of others."""
        for _ in range(ACCEPTED_AT_ONCE):
            self._is_queue_empty = True
            super().handle_accept()
            if self._is_queue_empty:
                return
            if self._descriptor_count() > self._max_connections:
                self._close_waiting()

    def accept(self) -> tuple[object, object] | None:
        accepted = super().accept()
        self._is_queue_empty = accepted is None
        return accepted

    def count_held(self, channel: BoundedChannel, held_bytes: int) -> None:
        """Note what a channel holds, and close those that hold most if that is too much."""
        has_grown = held_bytes > channel.held_bytes
        self._held_bytes += held_bytes - channel.held_bytes
        channel.held_bytes = held_bytes
        if has_grown and self._held_bytes > MAX_INCOMPLETE_BYTES:
            self._make_room()

    def count_file(self, channel: BoundedChannel, has_file: bool) -> None:
        """Note whether a channel has a temporary file, and close another if that is too much."""
        if has_file == channel.has_file:
            return
        channel.has_file = has_file
        self._file_count += 1 if has_file else -1
        if has_file and self._descriptor_count() > self._max_connections:
            self._close_waiting()

    def _descriptor_count(self) -> int:
        open_count = sum(not channel.will_close for channel in self.active_channels.values())
        return open_count + self._file_count

    def maintenance(self, now: float) -> None:
        super().maintenance(now)
        for channel in self.active_channels.values():
            if channel.total_outbufs_len and channel.last_activity < now - UNREAD_TIMEOUT_S:
                channel.will_close = True

    def _make_room(self) -> None:
        channels = sorted(self.active_channels.values(), key=attrgetter("held_bytes"))
        while channels and self._held_bytes > INCOMPLETE_BYTES_AFTER:
            largest = channels.pop()
            if largest.held_bytes <= SMALL_REQUEST_BYTES:
                return
            largest.give_up()

    def _close_waiting(self) -> None:
        """Close the connection that has waited longest, those without any request first."""
        at_s = time()
        waiting = [channel for channel in self.active_channels.values() if channel.is_waiting]
        slow = [
            channel
            for channel in waiting
            if not channel.is_proven and at_s - channel.creation_time >= FIRST_REQUEST_S
        ]
        proven = [channel for channel in waiting if channel.is_proven]
        candidates = slow or proven or waiting
        if candidates:
            min(candidates, key=attrgetter("last_activity")).give_up()
