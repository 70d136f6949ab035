"""A clock for tests on one thread: waiting runs the events that are due in between."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from threading import Condition

from ebonyshore.frame.clock import ManualClock


class EventClock(ManualClock):
    """Time passes only while something waits; scheduled events run then, in order."""

    __slots__ = ("_events", "_numbers")

    def __init__(self, start_ms: float = 0.0) -> None:
        super().__init__(start_ms)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, time_ms: float, event: Callable[[], None]) -> None:
        """Run ``event`` when the time has come."""
        heappush(self._events, (time_ms, next(self._numbers), event))

    def call_later(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Run ``event`` after a delay."""
        self.call_at(self.monotonic_ms() + delay_ms, event)

    def sleep_ms(self, duration_ms: float) -> None:
        end_ms = self.monotonic_ms() + duration_ms
        while self._run_next(end_ms):
            pass

    def wait(self, condition: Condition, timeout_ms: float | None) -> bool:
        """Run the next event, or let the timeout pass; a wake-up may be without cause."""
        if timeout_ms is None and not self._events:
            raise AssertionError("waits for an event that can never come")
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
