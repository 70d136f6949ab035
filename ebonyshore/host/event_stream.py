"""Splits a ``text/event-stream`` body into whole events and checks their order. Pure."""

from msgspec import Struct

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class StreamOrderError(ValueError):
    """An event is missing, comes twice or has no id."""


class Event(Struct, frozen=True):
    """One event.

    :param raw: its bytes with the empty line that ends it.
    :param data: its data lines, joined by line feeds.
    """

    event_id: int
    raw: bytes
    data: str


class EventSplitter:
    """Collects bytes and gives out events in unbroken order.

    :param last_id: the last event that the reader has; ``None`` if the first one may have any id.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = b""
        self.last_id = last_id

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._buffer

    def discard_incomplete(self) -> None:
        """Drop a part of an event; the next bytes come from another answer."""
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes.

        :raises StreamOrderError: if an event does not follow the one before. The events before it
            are lost to the caller; they come again when the stream is resumed.
        """
        *whole, self._buffer = (self._buffer + data).split(EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamOrderError("an event is too long")
        events = [parse_event(raw + EVENT_END) for raw in whole]
        expected = self.last_id
        for event in events:
            if expected is not None and event.event_id != expected + 1:
                raise StreamOrderError(f"event {event.event_id} after {expected}")
            expected = event.event_id
        self.last_id = expected
        return events


def parse_event(raw: bytes) -> Event:
    """Return an event.

    :raises StreamOrderError: if its id is missing or no number.
    """
    event_id, data = None, []
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise StreamOrderError("an event is not UTF-8") from error
    for line in text.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
    if event_id is None or not event_id.isdigit():
        raise StreamOrderError(f"event id {event_id!r}")
    return Event(int(event_id), raw, "\n".join(data))
