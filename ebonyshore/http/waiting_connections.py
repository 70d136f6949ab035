"""The connections on which a server waits for a request, and which of them to give up first.

When all connections that a server may have are in use, one of them ends for each new one. Those
that have never brought a complete request are given up before those that have.
"""

from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT")

FIRST_REQUEST_MS = 500.0  # that a new connection has before it is given up for another one


class WaitingConnections(Generic[ConnectionT]):
    """Connections without a complete request, in the order in which they began to wait."""

    __slots__ = ("_new", "_served")

    def __init__(self) -> None:
        self._new: dict[ConnectionT, float] = {}
        self._served: dict[ConnectionT, float] = {}

    def add_new(self, connection: ConnectionT, at_ms: float) -> None:
        """Add a connection that has just been opened."""
        self._new[connection] = at_ms

    def add_served(self, connection: ConnectionT, at_ms: float) -> None:
        """Add a connection whose request has just been answered."""
        self._served[connection] = at_ms

    def discard(self, connection: ConnectionT) -> None:
        """Remove a connection that has brought a request or is closed, if it is there."""
        self._new.pop(connection, None)
        self._served.pop(connection, None)

    def pop_first_to_end(self, at_ms: float) -> ConnectionT | None:
        """Remove and return the connection to end for another one; ``None`` if there is none."""
        oldest = next(iter(self._new), None)
        is_slow = oldest is not None and at_ms - self._new[oldest] >= FIRST_REQUEST_MS
        if oldest is None or not is_slow:
            oldest = next(iter(self._served), oldest)
        if oldest is not None:
            self.discard(oldest)
        return oldest
