"""Where the log of a process goes: standard output, never waiting for its reader.

The number of lines an event may write in a second is bounded; what is left out is counted in the
next line that says so.
"""

import os
from collections import Counter
from select import POLLOUT, poll
from typing import TextIO

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.logs import KeyValueDestination

MAX_LINES_PER_EVENT_PER_S = 200  # in one second
MAX_LINE_BYTES = 4_000  # a pipe takes this much whole once it takes anything


class NonBlockingStream:
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


class EventRateLimiter:
    """Bounds the lines of each event in a second.

    :param clock: tells the seconds.
    """

    __slots__ = ("_clock", "_counts", "_second", "_suppressed")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._second = 0
        self._suppressed = 0

    def allows(self, event: str) -> bool:
        """Count a line of an event; return whether it may be written."""
        second = int(self._clock.monotonic_ms() // MS_PER_S)
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] <= MAX_LINES_PER_EVENT_PER_S:
            return True
        self._suppressed += 1
        return False

    def take_suppressed(self) -> int:
        """Return how many lines were left out since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class RateLimitedDestination:
    """An eliot destination that writes one line an event within the budget.

    :param stream: a text stream, or :class:`NonBlockingStream`.
    """

    __slots__ = ("_budget", "_lines")

    def __init__(self, stream: TextIO | NonBlockingStream, clock: Clock) -> None:
        self._lines = KeyValueDestination(stream, clock)
        self._budget = EventRateLimiter(clock)

    def __call__(self, message: dict[str, object]) -> None:
        if not self._budget.allows(str(message.get("message_type"))):
            return
        if suppressed := self._budget.take_suppressed():
            message = {**message, "suppressed_lines": suppressed}
        self._lines(message)
