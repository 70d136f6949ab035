"""A clock for single-threaded tests on which scheduled events run while the test waits."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from threading import Condition

from ebonyshore.frame.clock import ManualClock


class EventClock(ManualClock):
    """A clock that advances only during a sleep or a wait, and runs the events due in that time.

    Events run on the waiting thread, in the order of their times.

    :param start_ms: initial monotonic and wall time in milliseconds.
    """

    __slots__ = ("_events", "_sequence")

    def __init__(self, start_ms: float = 0.0) -> None:
        super().__init__(start_ms)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_at(self, time_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event.

        :param time_ms: monotonic time in milliseconds at which it runs.
        :param event: the function to call.
        """
        heappush(self._events, (time_ms, next(self._sequence), event))

    def call_later(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event.

        :param delay_ms: time from now until it runs.
        :param event: the function to call.
        """
        self.call_at(self.monotonic_ms() + delay_ms, event)

    def sleep_ms(self, duration_ms: float) -> None:
        end_ms = self.monotonic_ms() + duration_ms
        while self._run_next(end_ms):
            pass

    def wait(self, condition: Condition, timeout_ms: float | None) -> bool:
        """Run the next event that is due before the timeout, or advance the clock by the timeout.

        A wait without a notification can return ``True``, as after a spurious wake-up.

        :param condition: not used.
        :return: whether an event ran.
        :raises AssertionError: if no event is scheduled and the wait has no timeout.
        """
        if timeout_ms is None and not self._events:
            raise AssertionError("wait without a timeout while no event is scheduled")
        end_ms = float("inf") if timeout_ms is None else self.monotonic_ms() + timeout_ms
        return self._run_next(end_ms)

    def _run_next(self, end_ms: float) -> bool:
        if not self._events or self._events[0][0] > end_ms:
            self.advance_ms(max(0.0, end_ms - self.monotonic_ms()))
            return False
        time_ms, _, event = heappop(self._events)
        self.advance_ms(max(0.0, time_ms - self.monotonic_ms()))
        event()
        return True
