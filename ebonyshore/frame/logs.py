"""Structured logs through eliot: each event is a line of ``key=value`` pairs."""

from threading import Lock
from typing import TextIO

from eliot import add_destinations as add_eliot_destinations
from eliot import log_message
from eliot import remove_destination as remove_eliot_destination

from ebonyshore.frame.clock import Clock

_ELIOT_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})
_CHARACTERS_TO_QUOTE = frozenset(' "=\\')


def format_value(value: object) -> str:
    """Return the value of a ``key=value`` pair.

    A ``float`` gets three decimals. Text that is empty or contains a space, a quote, ``=``, a
    backslash or an unprintable character is quoted and escaped.
    """
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and text.isprintable() and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'


def format_line(time_ms: int, event: str, fields: dict[str, object]) -> str:
    """Return a log line without its newline; fields that are ``None`` are omitted.

    :param time_ms: milliseconds since the Unix epoch.
    :param event: name of the event.
    """
    pairs = [f"time_ms={time_ms}", f"event={format_value(event)}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items() if value is not None]
    return " ".join(pairs)


class KeyValueDestination:
    """An eliot destination that writes each event as a line; safe to use from any thread.

    :param stream: written to and flushed after each line.
    :param clock: source of the wall time in each line.
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
    """Logs events, adding fields that are the same in every line of the process.

    :param shared_fields: the added fields, such as the instance id and the role.
    """

    __slots__ = ("_shared_fields",)

    def __init__(self, **shared_fields: object) -> None:
        self._shared_fields = shared_fields

    def event(self, name: str, **fields: object) -> None:
        """Log the event ``name``; fields that are ``None`` are omitted."""
        log_message(name, **self._shared_fields, **fields)


def open_log(stream: TextIO, clock: Clock) -> KeyValueDestination:
    """Write all events of the process to ``stream``.

    :return: the destination to pass to :func:`close_log`.
    """
    destination = KeyValueDestination(stream, clock)
    add_eliot_destinations(destination)
    return destination


def close_log(destination: KeyValueDestination) -> None:
    """Stop writing events to a destination that :func:`open_log` returned."""
    remove_eliot_destination(destination)
