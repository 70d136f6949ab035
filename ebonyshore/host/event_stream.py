"""Splits a ``text/event-stream`` body into complete events and checks their order. No I/O."""

from re import compile as compile_pattern

from msgspec import Struct

from ebonyshore.http.messages import ResponseHead
from ebonyshore.http.numbers import parse_decimal

EVENT_STREAM_TYPE = "text/event-stream"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
IGNORED_FIELDS = ("", "event", "retry")  # an empty name begins a comment
_EXTENSION_FIELD = compile_pattern(r"[a-z][a-z0-9-]*")


class StreamOrderError(ValueError):
    """An event is out of order, malformed or too long."""


class Event(Struct, frozen=True):
    """One event.

    :param event_id: value of the ``id`` field.
    :param raw: bytes of the event, including the empty line that ends it.
    :param data: values of the ``data`` fields, joined by line feeds.
    """

    event_id: int
    raw: bytes
    data: str


class EventSplitter:
    """Buffers received bytes and returns events with consecutive ids.

    :param last_id: id of the last event that the reader has received; ``None`` if the first event
        may have any id.
    """

    __slots__ = ("_buffer", "_error", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = bytearray()
        self._error: str | None = None  # not the exception, whose traceback refers to the buffer
        self.last_id = last_id

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the end of an event has not been received yet."""
        return bool(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Memory that the beginning of an incomplete event takes."""
        return self._buffer.__alloc__()

    def discard_incomplete(self) -> None:
        """Drop the bytes of an incomplete event; call at the end of a response."""
        self._buffer = bytearray()
        self._error = None

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes, up to a malformed one.

        Call :meth:`check` once they are relayed.

        :raises StreamOrderError: as :meth:`check`, if there are no events before the error.
        """
        complete = self._take_complete(data)
        events: list[Event] = []
        try:
            for raw in complete:
                events.append(self._next_event(raw + EVENT_END))
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise StreamOrderError(f"event is longer than {MAX_EVENT_BYTES} bytes")
        except StreamOrderError as error:
            self._error = str(error)
        if not events:
            self.check()
        return events

    def check(self) -> None:
        """Check that the bytes after the last event may be the beginning of the next one.

        :raises StreamOrderError: if an event does not follow its predecessor, is malformed or is
            too long. The stream can be resumed after :attr:`last_id`.
        """
        if self._error is not None:
            raise StreamOrderError(self._error)

    def _next_event(self, raw: bytes) -> Event:
        event = parse_event(raw)
        if self.last_id is not None and event.event_id != self.last_id + 1:
            raise StreamOrderError(f"received event {event.event_id} after event {self.last_id}")
        self.last_id = event.event_id
        return event

    def _take_complete(self, data: bytes) -> list[bytes]:
        """Append received bytes; return the complete events, without the ends of them.

        Only the new bytes are searched, so an event may arrive in any number of parts.
        """
        searched = max(0, len(self._buffer) + 1 - len(EVENT_END))
        self._buffer += data
        if self._buffer.find(EVENT_END, searched) < 0:
            return []
        *complete, self._buffer = self._buffer.split(EVENT_END)
        return [bytes(raw) for raw in complete]


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response is a success with an event stream."""
    return head.status == 200 and EVENT_STREAM_TYPE in (head.headers.get("content-type") or "")


def parse_event(raw: bytes) -> Event:
    """Return the event in ``raw``.

    :raises StreamOrderError: if it is not UTF-8, if a line is not a field, or if its id is missing
        or not a number.
    """
    event_id, data = None, []
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise StreamOrderError("event is not UTF-8") from error
    for line in text.split("\n"):
        name, colon, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
        elif name not in IGNORED_FIELDS and not (colon and _EXTENSION_FIELD.fullmatch(name)):
            raise StreamOrderError("event has a line that is not a field")
    number = parse_decimal(event_id)
    if number is None:
        raise StreamOrderError(f"event id is not a number: {event_id!r}")
    return Event(number, raw, "\n".join(data))
