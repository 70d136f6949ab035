"""Passes on a target's body that is no event stream, as it comes.

The beginning is held back: until something of it was written, the request can be sent to another
target. A body whose length the head does not declare may have no end, so it is held back whole
while the process has room.
"""

from ebonyshore.host.response_reader import MAX_UNDECLARED_BODY_BYTES
from ebonyshore.http.headers import Headers
from ebonyshore.http.responder import Responder

HELD_BODY_BYTES = 65_536  # of which nothing is written until the body is longer or complete


class BodyRelay:
    """The body of one response.

    :param status: status of the response.
    :param headers: header fields that are passed on.
    :param size_bytes: length of the body that the head declares; ``None`` if it declares none.
    :param responder: writes to the caller.
    :ivar held_bytes: size of what was received and not written.
    """

    __slots__ = ("_headers", "_parts", "_responder", "_size_bytes", "_status", "held_bytes")

    def __init__(
        self, status: int, headers: Headers, size_bytes: int | None, responder: Responder
    ) -> None:
        self._status = status
        self._headers = headers
        self._size_bytes = size_bytes
        self._responder = responder
        self._parts: list[bytes] = []
        self.held_bytes = 0

    def add(self, part: bytes) -> bool:
        """Add a part, and write what has to be held back no longer.

        :return: whether the relay has begun; the caller then has to drain the responder.
        :raises ClientDisconnectedError: if the client has disconnected or does not read.
        """
        if self._responder.is_started:
            self._responder.write(part)
            return True
        self._parts.append(part)
        self.held_bytes += len(part)
        if self.held_bytes <= self._max_held_bytes():
            return False
        self._begin()
        return True

    def end(self) -> None:
        """Write the rest; call only when the body is complete."""
        if self._responder.is_started:
            self._responder.end_stream()
            return
        self._responder.send(self._status, self._headers, b"".join(self._parts))
        self._drop_held()

    def _max_held_bytes(self) -> int:
        if self.held_bytes <= HELD_BODY_BYTES:
            return HELD_BODY_BYTES
        if self._size_bytes is None and self._responder.has_much_room():
            return MAX_UNDECLARED_BODY_BYTES
        return HELD_BODY_BYTES

    def _begin(self) -> None:
        if self._size_bytes is None:
            self._responder.start_stream(self._status, self._headers)
        else:
            self._responder.start_sized(self._status, self._headers, self._size_bytes)
        self._responder.write(b"".join(self._parts))
        self._drop_held()

    def _drop_held(self) -> None:
        self._parts.clear()
        self.held_bytes = 0
