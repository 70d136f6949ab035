"""The clock of a process.

Other modules take the time from a :class:`Clock` or from the event loop, never from :mod:`time`, so
that tests can control it.
"""

from abc import ABC, abstractmethod
from threading import Condition
from time import CLOCK_BOOTTIME, clock_gettime, monotonic, sleep, time

MS_PER_S = 1000


class Clock(ABC):
    """Source of time, and of waits that follow it."""

    @abstractmethod
    def monotonic_ms(self) -> float:
        """Return the milliseconds since an arbitrary start; never goes back within a process."""

    def boot_ms(self) -> float:
        """Return a monotonic time in milliseconds that advances while the instance is suspended.

        Its start is arbitrary and may differ from that of :meth:`monotonic_ms`.
        """
        return self.monotonic_ms()

    @abstractmethod
    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch; jumps when an operator sets the clock."""

    @abstractmethod
    def sleep_ms(self, duration_ms: float) -> None:
        """Block the calling thread for ``duration_ms`` milliseconds."""

    @abstractmethod
    def wait(self, condition: Condition, timeout_ms: float | None) -> bool:
        """Wait for a notification on a condition whose lock the calling thread holds.

        :param timeout_ms: longest time to wait; ``None`` for no limit.
        :return: ``False`` if the time ran out before a notification.
        """


class SystemClock(Clock):
    """The clock of the operating system."""

    __slots__ = ()

    def monotonic_ms(self) -> float:
        return monotonic() * MS_PER_S

    def boot_ms(self) -> float:
        return clock_gettime(CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> int:
        return int(time() * MS_PER_S)

    def sleep_ms(self, duration_ms: float) -> None:
        sleep(max(0.0, duration_ms) / MS_PER_S)

    def wait(self, condition: Condition, timeout_ms: float | None) -> bool:
        return condition.wait(None if timeout_ms is None else max(0.0, timeout_ms) / MS_PER_S)


class ManualClock(Clock):
    """A clock for tests that moves only when :meth:`advance_ms` is called.

    :param start_ms: initial monotonic and wall time in milliseconds.
    """

    __slots__ = ("_has_advanced", "_now_ms", "_waiters", "_wall_offset_ms")

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = 0.0
        self._has_advanced = Condition()
        self._waiters: list[Condition] = []

    def monotonic_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> int:
        return int(self._now_ms + self._wall_offset_ms)

    def step_wall_ms(self, step_ms: float) -> None:
        """Set the wall clock forward by ``step_ms``, or back if it is negative."""
        self._wall_offset_ms += step_ms

    def advance_ms(self, duration_ms: float) -> None:
        """Move the clock forward and wake every thread that waits on it."""
        with self._has_advanced:
            self._now_ms += duration_ms
            waiters = list(self._waiters)
            self._has_advanced.notify_all()
        for condition in waiters:
            with condition:
                condition.notify_all()

    def sleep_ms(self, duration_ms: float) -> None:
        wake_ms = self._now_ms + duration_ms
        with self._has_advanced:
            while self._now_ms < wake_ms:
                self._has_advanced.wait()

    def wait(self, condition: Condition, timeout_ms: float | None) -> bool:
        wake_ms = None if timeout_ms is None else self._now_ms + timeout_ms
        if wake_ms is not None and wake_ms <= self._now_ms:
            return False
        with self._has_advanced:
            self._waiters.append(condition)
        try:
            condition.wait()
        finally:
            with self._has_advanced:
                self._waiters.remove(condition)
        return wake_ms is None or self._now_ms < wake_ms
