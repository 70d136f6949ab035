"""A log on standard output that never blocks the process and is limited in rate.

At most ``MAX_LINES_PER_EVENT_PER_S`` lines with the same event name are written per second. The
lines suppressed by the limit are counted in the field ``suppressed_lines`` of the next line that is
written.
"""

import os
from collections import Counter
from select import POLLOUT, poll
from typing import TextIO

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.logs import KeyValueDestination

MAX_LINES_PER_EVENT_PER_S = 200
# Below PIPE_BUF: a pipe that polls as writable accepts this much in one write without blocking.
MAX_LINE_BYTES = 4_000


class NonBlockingStream:
    """A text stream that drops lines instead of blocking when its reader is too slow.

    :param fd: file descriptor to write to.

    :ivar dropped_lines: number of lines dropped so far.
    """

    __slots__ = ("_fd", "_poll", "dropped_lines")

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._poll = poll()
        self._poll.register(fd, POLLOUT)
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Write one line, or drop it if the write would block.

        A line is cut off after ``MAX_LINE_BYTES``.
        """
        if not self._poll.poll(0):
            self.dropped_lines += 1
            return
        os.write(self._fd, line.encode("utf-8", "replace")[:MAX_LINE_BYTES])

    def flush(self) -> None:
        """Do nothing, as writes are not buffered."""


class EventRateLimiter:
    """Limits the number of log lines per second with the same event name.

    :param clock: measures the seconds.
    """

    __slots__ = ("_clock", "_counts", "_second", "_suppressed")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._second = 0
        self._suppressed = 0

    def allows(self, event: str) -> bool:
        """Count a line with the event name ``event`` and return whether it may be written."""
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
        """Return the number of lines suppressed since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class RateLimitedDestination:
    """An eliot destination that writes each event as a line, up to a limited rate.

    :param stream: written to and flushed after each line.
    :param clock: source of the time in each line, and of the seconds of the rate limit.
    """

    __slots__ = ("_destination", "_limiter")

    def __init__(self, stream: TextIO | NonBlockingStream, clock: Clock) -> None:
        self._destination = KeyValueDestination(stream, clock)
        self._limiter = EventRateLimiter(clock)

    def __call__(self, message: dict[str, object]) -> None:
        if not self._limiter.allows(str(message.get("message_type"))):
            return
        if suppressed := self._limiter.take_suppressed():
            message = {**message, "suppressed_lines": suppressed}
        self._destination(message)
