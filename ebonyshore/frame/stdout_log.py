"""Where the log of a process goes: standard output, never waiting for its reader.

The number of lines an event may write in a second is bounded; what is left out is counted in the
next line that says so.
"""

import os
from collections import Counter
from select import POLLOUT, poll
from typing import TextIO

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.logs import format_line

MAX_LINES_PER_EVENT = 200  # in one second
MAX_LINE_BYTES = 4_000  # a pipe takes this much whole once it takes anything


class StdoutStream:
    """A text stream that drops lines while its reader does not read.

    :param fd: file descriptor to write to.
    """

    __slots__ = ("_fd", "_poll", "dropped_lines")

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._poll = poll()
        self._poll.register(fd, POLLOUT)
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Write one line, or drop it."""
        if not self._poll.poll(0):
            self.dropped_lines += 1
            return
        os.write(self._fd, line.encode("utf-8", "replace")[:MAX_LINE_BYTES])

    def flush(self) -> None:
        """Nothing is kept back."""


class LineBudget:
    """Bounds the lines of each event in a second.

    :param clock: tells the seconds.
    """

    __slots__ = ("_clock", "_counts", "_second", "suppressed")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._second = 0
        self.suppressed = 0

    def allows(self, event: str) -> bool:
        """Count a line of an event; return whether it may be written."""
        second = int(self._clock.monotonic_ms() // MS_PER_S)
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] <= MAX_LINES_PER_EVENT:
            return True
        self.suppressed += 1
        return False


class BoundedDestination:
    """An eliot destination that writes one line an event within the budget.

    :param stream: a text stream, or :class:`StdoutStream`.
    """

    __slots__ = ("_budget", "_clock", "_stream")

    def __init__(self, stream: TextIO | StdoutStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._budget = LineBudget(clock)

    def __call__(self, message: dict[str, object]) -> None:
        event = str(message.get("message_type", "message"))
        if not self._budget.allows(event):
            return
        fields = {
            key: value
            for key, value in message.items()
            if key not in ("timestamp", "task_uuid", "task_level", "message_type")
        }
        if self._budget.suppressed:
            fields["suppressed_lines"] = self._budget.suppressed
            self._budget.suppressed = 0
        self._stream.write(format_line(self._clock.wall_ms(), event, fields) + "\n")
