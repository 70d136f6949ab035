"""Structured logs: one ``key=value`` line for each event, written through eliot."""

from threading import Lock
from typing import TextIO

from eliot import add_destinations as add_eliot_destinations
from eliot import log_message
from eliot import remove_destination as remove_eliot_destination

from ebonyshore.frame.clock import Clock

_ELIOT_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
_CHARACTERS_TO_QUOTE = frozenset(' "=\\')


def format_value(value: object) -> str:
    """Return ``value`` as one word; text with spaces, quotes or control characters is quoted."""
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and text.isprintable() and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'


def format_line(time_ms: int, event: str, fields: dict[str, object]) -> str:
    """Return one log line without its line end."""
    words = [f"time_ms={time_ms}", f"event={format_value(event)}"]
    words += [f"{key}={format_value(value)}" for key, value in fields.items() if value is not None]
    return " ".join(words)


class KeyValueDestination:
    """An eliot destination that writes one line per event.

    :param stream: where the lines go.
    :param clock: gives the time of each line.
    """

    __slots__ = ("_clock", "_lock", "_stream")

    def __init__(self, stream: TextIO, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._lock = Lock()

    def __call__(self, message: dict[str, object]) -> None:
        event = str(message.get("message_type", "message"))
        fields = {key: value for key, value in message.items() if key not in _ELIOT_FIELDS}
        line = format_line(self._clock.wall_ms(), event, fields)
        with self._lock:
            self._stream.write(line + "\n")
            self._stream.flush()


class EventLog:
    """Writes events with fields that every line of the process shares.

    :param shared_fields: for example the instance id and the role.
    """

    __slots__ = ("_shared_fields",)

    def __init__(self, **shared_fields: object) -> None:
        self._shared_fields = shared_fields

    def event(self, name: str, **fields: object) -> None:
        """Log the event ``name``; fields that are ``None`` are left out."""
        log_message(name, **self._shared_fields, **fields)


def open_log(stream: TextIO, clock: Clock) -> KeyValueDestination:
    """Send all events of the process to ``stream`` until :func:`close_log`."""
    destination = KeyValueDestination(stream, clock)
    add_eliot_destinations(destination)
    return destination


def close_log(destination: KeyValueDestination) -> None:
    """Undo :func:`open_log`."""
    remove_eliot_destination(destination)
