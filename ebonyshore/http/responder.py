"""Writes the response to one request on the connection of its client."""

from typing import TYPE_CHECKING

from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import MemoryHolder
from ebonyshore.http.messages import status_line

if TYPE_CHECKING:
    from ebonyshore.http.server_connection import ServerConnection


class ClientDisconnectedError(ConnectionError):
    """The client's connection was closed before the response was complete."""


class Responder:
    """Writes the response to one request, either whole or as a stream.

    A handler calls either :meth:`send`, or :meth:`start_stream` or :meth:`start_sized`, then
    :meth:`write` and :meth:`end_stream`. These methods raise :class:`ClientDisconnectedError` if
    the client has disconnected or does not read.

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

    def start_sized(self, status: int, headers: Headers, size_bytes: int) -> None:
        """Write the head of a response whose body follows and has a known size.

        :param headers: header fields; a ``Content-Length`` among them is replaced.
        :param size_bytes: size of the body; exactly as much has to be written.
        """
        headers = headers.without(("content-length",))
        headers.add("Content-Length", str(size_bytes))
        self._write_head(status, headers, b"")

    def write(self, data: bytes) -> None:
        """Write a part of a streamed body; empty data is ignored.

        :raises ClientDisconnectedError: if the client has disconnected or does not read.
        """
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    async def drain(self) -> None:
        """Wait until the client has read enough of a streamed body for more to be written.

        :raises ClientDisconnectedError: if the client disconnects.
        """
        await self._connection.drain()

    def set_account(self, account: str) -> None:
        """Count everything that is held for the connection to a client account."""
        self._connection.account = account

    def set_holder(self, holder: MemoryHolder | None) -> None:
        """Name what keeps memory for the request besides the request itself; ``None`` if nothing.

        The holder is told to give up if the server holds too much and the request most of it.
        """
        self._connection.holder = holder

    def check_memory(self) -> None:
        """Let the server end requests if it holds too much; call when much more is held."""
        self._connection.check_memory()

    def has_much_room(self) -> bool:
        """Return whether the server holds so little that this request may hold more."""
        return self._connection.has_much_room()

    def end_stream(self) -> None:
        """End a streamed body; nothing more may be written."""
        if self._is_chunked:
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
