"""A crowd of clients that keep to no limit: each sends one shape of bytes and keeps its connection.

The crowd is bounded in connections and in bytes, and ends by itself.
"""

import socket
from collections.abc import Callable, Iterator
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector

from msgspec import Struct

RECEIVE_BYTES = 65_536
BLOCK_BYTES = 16_384
QUIET_TIMEOUT_S = 1.0  # the crowd is over if nothing can be sent or received for so long
MAX_CONNECTIONS = 3  # that one client opens, one after the other
MANY_BYTES = 99_999_999_999
HOST = b"Host: tier.example\r\n"
POST = b"POST /ask/x HTTP/1.1\r\n" + HOST
WHOLE_BODY_BYTES = 1_900_000
WHOLE_BODY = (
    b"POST /v1/completions HTTP/1.1\r\n"
    + HOST
    + b"Content-Length: %d\r\n\r\n" % WHOLE_BODY_BYTES
    + b"y" * WHOLE_BODY_BYTES
)
SHORT_LINES = b"a:\r\n" * 3_900  # fewer than 16 kB
CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"y" * BLOCK_BYTES)
TWO_BYTE_CHUNKS = b"2\r\nyz\r\n" * 2_000
ZMTP_GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x01" + b"CURVE".ljust(20, b"\0") + bytes(32)
LONG_COMMAND = b"\x06" + (1 << 30).to_bytes(8, "big")


class ClientShape(Struct, frozen=True):
    """What each client of a crowd sends.

    :param begin: sent first.
    :param make_block: returns the part with a number, from 0 on, that follows; ``None`` if nothing
        does.
    :param reads: whether the client reads what it is sent.
    """

    begin: bytes = b""
    make_block: Callable[[int], bytes] | None = None
    reads: bool = True

    def parts(self, max_bytes: int) -> Iterator[bytes]:
        """Yield what a client sends, at most ``max_bytes`` and one part."""
        sent_bytes = len(self.begin)
        if self.begin:
            yield self.begin
        number = 0
        while self.make_block is not None and sent_bytes < max_bytes:
            part = self.make_block(number)
            sent_bytes += len(part)
            number += 1
            yield part


def _repeat(block: bytes) -> Callable[[int], bytes]:
    return lambda _number: block


def _different_names(number: int) -> bytes:
    lines = b"".join(b"%x:\r\n" % (number * 2_000 + n) for n in range(1_600))
    return b"GET /nowhere HTTP/1.1\r\n" + HOST + lines + b"\r\n"


def _long_path(number: int) -> bytes:
    return b"GET /%d%b HTTP/1.1\r\n%b\r\n" % (number, b"x" * 14_000, HOST)


def _whole_body(_number: int) -> bytes:
    return WHOLE_BODY


CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = _repeat(b"X: y\r\n" * 2_000)

HTTP_SHAPES = {
    "nothing": ClientShape(),
    "empty_lines": ClientShape(b"", _repeat(b"\r\n" * 8_192)),
    "header_lines_without_end": ClientShape(POST, LINES),
    "header_line_without_end": ClientShape(POST + b"X: ", _repeat(b"y" * BLOCK_BYTES)),
    "path_without_end": ClientShape(b"GET /", _repeat(b"y" * BLOCK_BYTES)),
    "waiting_head": ClientShape(POST + SHORT_LINES),
    "waiting_body": ClientShape(POST + b"Content-Length: 9\r\n" + SHORT_LINES + b"\r\n"),
    "announced_body_over_limit": ClientShape(
        POST + b"Content-Length: %d\r\n\r\n" % MANY_BYTES, _repeat(b"y" * BLOCK_BYTES)
    ),
    "body_of_legal_size": ClientShape(
        POST + b"Content-Length: 4000000\r\n\r\n", _repeat(b"y" * BLOCK_BYTES)
    ),
    "whole_bodies": ClientShape(b"", _whole_body),
    "chunks_without_end": ClientShape(CHUNKED, _repeat(CHUNK)),
    "two_byte_chunks": ClientShape(CHUNKED, _repeat(TWO_BYTE_CHUNKS)),
    "chunk_extension_without_end": ClientShape(CHUNKED + b"1;", _repeat(b"e" * BLOCK_BYTES)),
    "trailers_without_end": ClientShape(CHUNKED + b"0\r\n", LINES),
    "long_paths": ClientShape(b"", _long_path),
    "different_names": ClientShape(b"", _different_names),
    "answers_not_read": ClientShape(b"", _long_path, reads=False),
}
ZMTP_SHAPES = {
    "nothing": ClientShape(),
    "bytes_without_end": ClientShape(b"", _repeat(b"y" * BLOCK_BYTES)),
    "handshake_without_end": ClientShape(
        ZMTP_GREETING + LONG_COMMAND, _repeat(b"y" * BLOCK_BYTES), reads=False
    ),
}


class _Client:
    """One client: opens a connection, sends its parts and connects again if it is closed."""

    __slots__ = ("_shape", "connections_left", "max_bytes", "pending", "parts", "sock")

    def __init__(self, shape: ClientShape, max_bytes: int) -> None:
        self._shape = shape
        self.max_bytes = max_bytes
        self.connections_left = MAX_CONNECTIONS
        self.sock: socket.socket | None = None
        self.pending = memoryview(b"")
        self.parts: Iterator[bytes] = iter(())

    def connect(self, address: tuple[str, int]) -> None:
        self.connections_left -= 1
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        self.parts = self._shape.parts(self.max_bytes)
        self.pending = memoryview(next(self.parts, b""))

    def send(self) -> bool:
        """Send what the connection takes; return whether there is more to send."""
        if not self.pending:
            self.pending = memoryview(next(self.parts, b""))
        if not self.pending:
            return False
        sent = self.sock.send(self.pending)
        self.pending = self.pending[sent:]
        return True

    @property
    def events(self) -> int:
        return EVENT_WRITE | (EVENT_READ if self._shape.reads else 0)

    @property
    def quiet_events(self) -> int:
        return EVENT_READ if self._shape.reads else 0


class ClientCrowd:
    """Clients of one address that all send the same shape.

    :param address: IP address and port.
    :param shape: what each client sends on a connection.
    :param size: number of clients, each with one connection at a time.
    :param max_bytes: what a client sends on one connection.
    """

    def __init__(
        self, address: tuple[str, int], shape: ClientShape, size: int, max_bytes: int
    ) -> None:
        self._address = address
        self._selector = DefaultSelector()
        self._clients = [_Client(shape, max_bytes) for _ in range(size)]

    def run(self, observe: Callable[[], None] = lambda: None) -> None:
        """Send until all clients have sent their bytes or nothing goes on.

        The connections that are still open stay open until :meth:`close`.

        :param observe: called from time to time.
        """
        for client in self._clients:
            self._connect(client)
        while self._selector.get_map():
            ready = self._selector.select(QUIET_TIMEOUT_S)
            observe()
            if not ready:
                return
            for key, events in ready:
                self._advance(key.data, events)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            if client.sock is not None:
                client.sock.close()
        self._selector.close()

    def _connect(self, client: _Client) -> None:
        client.connect(self._address)
        self._selector.register(client.sock, client.events, client)

    def _advance(self, client: _Client, events: int) -> None:
        try:
            if events & EVENT_READ and not client.sock.recv(RECEIVE_BYTES):
                raise ConnectionResetError
            if events & EVENT_WRITE and not client.send():
                self._stop_sending(client)
        except BlockingIOError:
            pass
        except OSError:
            self._reconnect(client)

    def _stop_sending(self, client: _Client) -> None:
        self._selector.unregister(client.sock)
        if client.quiet_events:
            self._selector.register(client.sock, client.quiet_events, client)

    def _reconnect(self, client: _Client) -> None:
        self._selector.unregister(client.sock)
        client.sock.close()
        client.sock = None
        if client.connections_left > 0:
            self._connect(client)
