"""Decides which requests a server takes and keeps while it holds much for its connections. No I/O.

The load pattern is many callers that send large requests or do not read their answers, and servers
that send answers without end. What each connection holds is bounded, but the sum over thousands of
them is not. New requests are refused while the sum is at its limit, and before that those of an
account that holds more than its share, so that the slow readers of one account do not use up the
room of the others. If the requests in flight go on to grow, those that hold most are ended.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

FAIR_SHARE_FROM = 0.5  # part of the limit above which no account may hold more than its share
MEASURE_INTERVAL_MS = 50.0
DEFAULT_LIMIT_BYTES = 64 << 20
MEMORY_SHARE = 0.25  # of a process's memory; the rest is for the process itself
FREE_MEMORY_SHARE = 1 / 3  # of what the process leaves; freed memory is not all used again
# Parts of the limit: above the first one requests in flight are ended, down to the second one.
END_ABOVE = 1.25
END_DOWN_TO = 0.75
HIGH_RESIDENT_SHARE = 0.8  # of a process's memory
HIGH_RESIDENT_FACTOR = 0.5  # of the limit that is left while more memory is resident


def connection_limit_bytes(memory_bytes: int | None, own_bytes: int = 0) -> int:
    """Return how much a process may hold for its connections.

    :param memory_bytes: limit of the memory of the process; ``None`` if it has none.
    :param own_bytes: memory that the process takes without any connection.
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    free_bytes = max(0, memory_bytes - own_bytes)
    return int(min(memory_bytes * MEMORY_SHARE, free_bytes * FREE_MEMORY_SHARE))


def may_take(held_bytes: Mapping[str, int], account: str, limit_bytes: int) -> bool:
    """Return whether a new request of an account may be taken.

    :param held_bytes: what is held for each account.
    :param limit_bytes: limit of the sum.
    """
    total_bytes = sum(held_bytes.values())
    if total_bytes >= limit_bytes:
        return False
    if total_bytes < limit_bytes * FAIR_SHARE_FROM:
        return True
    accounts = len(held_bytes.keys() | {account})
    return held_bytes.get(account, 0) < limit_bytes / accounts


class MemoryHolder(ABC):
    """What the handler of a request keeps in memory while it works on the request."""

    @property
    @abstractmethod
    def held_bytes(self) -> int:
        """Bytes that are kept, without the request itself."""

    @abstractmethod
    def give_up(self) -> bool:
        """End the work, so that the handler answers with an error soon.

        :return: whether that is possible at present.
        """


class FixedHolder(MemoryHolder):
    """Memory of known size for work that cannot be given up, only cut off.

    :ivar size_bytes: bytes that are kept; may be changed.
    """

    __slots__ = ("size_bytes",)

    def __init__(self, size_bytes: int = 0) -> None:
        self.size_bytes = size_bytes

    @property
    def held_bytes(self) -> int:
        return self.size_bytes

    def give_up(self) -> bool:
        return False


class MemoryBudget:
    """The memory that a server may hold for its connections.

    :param measure: returns the bytes held for each account; called at most once in
        :data:`MEASURE_INTERVAL_MS`, as it looks at each connection.
    :param limit_bytes: limit of the sum.
    :ivar is_resident_high: whether the process uses so much memory that the limit is lowered.
    :ivar on_much_held: called after a measurement that found more than :data:`FAIR_SHARE_FROM` of
        the limit.
    """

    __slots__ = (
        "_added_bytes",
        "_held_bytes",
        "_limit_bytes",
        "_measure",
        "_measured_ms",
        "is_resident_high",
        "on_much_held",
    )

    def __init__(self, measure: Callable[[], Mapping[str, int]], limit_bytes: int) -> None:
        self._measure = measure
        self._limit_bytes = limit_bytes
        self._held_bytes: Mapping[str, int] = {}
        self._added_bytes = 0  # since the last measurement
        self._measured_ms = float("-inf")
        self.is_resident_high = False
        self.on_much_held: Callable[[], None] = lambda: None

    @property
    def limit_bytes(self) -> float:
        """Limit of the sum at present."""
        return self._limit_bytes * (HIGH_RESIDENT_FACTOR if self.is_resident_high else 1.0)

    def held_bytes(self, at_ms: float) -> Mapping[str, int]:
        """Return the bytes held for each account, measured a short while ago."""
        if at_ms - self._measured_ms >= MEASURE_INTERVAL_MS:
            self._held_bytes = self._measure()
            self._added_bytes = 0
            self._measured_ms = at_ms
            if sum(self._held_bytes.values()) > self._limit_bytes * FAIR_SHARE_FROM:
                self.on_much_held()
        return self._held_bytes

    def add_held(self, size_bytes: int) -> None:
        """Count memory that requests take since now, or free if it is negative."""
        self._added_bytes += size_bytes

    def total_bytes(self, at_ms: float) -> int:
        """Return the bytes held for all accounts.

        Requests are counted as they come; the rest was measured a short while ago.
        """
        return sum(self.held_bytes(at_ms).values()) + self._added_bytes

    def may_take(self, account: str, at_ms: float) -> bool:
        """Return whether a new request of an account may be taken."""
        if self.is_exhausted(at_ms):
            return False
        return may_take(self.held_bytes(at_ms), account, self.limit_bytes)

    def is_exhausted(self, at_ms: float) -> bool:
        """Return whether the sum is at its limit."""
        return self.total_bytes(at_ms) >= self.limit_bytes

    def has_much_room(self, at_ms: float) -> bool:
        """Return whether the sum is so low that an account may hold more than its share."""
        return self.total_bytes(at_ms) < self.limit_bytes * FAIR_SHARE_FROM

    def excess_bytes(self, at_ms: float) -> float:
        """Return how much has to be freed by ending requests in flight; 0 if there is room."""
        total_bytes = self.total_bytes(at_ms)
        if total_bytes <= self.limit_bytes * END_ABOVE:
            return 0.0
        return total_bytes - self.limit_bytes * END_DOWN_TO

    def forget(self) -> None:
        """Measure again at the next question, as what is held has changed at once."""
        self._measured_ms = float("-inf")
