"""Learns how long servers keep idle connections open. No I/O.

The load pattern is many callers whose requests are spread over many servers, so that a connection
is idle for a good part of the time for which its server keeps it. A server may close a connection
while a request is in transit, and it is then unknown whether the request ran. Only connections
that the server is certain to keep are therefore used for requests that must not be repeated.
"""

# Share of the idle timeout of a server after which a connection is not reused, because the server
# may close it a little earlier, and the request takes a while to arrive.
REUSE_RATIO = 0.6
UNKNOWN_MAX_IDLE_MS = 3_000.0  # for requests that may be repeated
UNKNOWN_SAFE_IDLE_MS = 150.0  # for requests that must not be repeated


class IdleTimeout:
    """What is known of the idle timeout of the server at one address.

    :ivar announced_ms: the timeout in the server's last ``Keep-Alive`` header; ``None`` without
        such a header.
    """

    __slots__ = ("_closed_ms", "_open_ms", "announced_ms")

    def __init__(self) -> None:
        self.announced_ms: float | None = None
        self._open_ms = 0.0
        self._closed_ms = float("inf")

    def record_open(self, idle_ms: float) -> None:
        """Record that a connection was still open after an idle time.

        One that the server closed sooner was then not closed because of its timeout.
        """
        self._open_ms = max(self._open_ms, idle_ms)
        if idle_ms > self._closed_ms:
            self._closed_ms = float("inf")

    def record_closed(self, idle_ms: float) -> None:
        """Record that the server closed a connection after an idle time."""
        self._closed_ms = min(self._closed_ms, idle_ms)
        self._open_ms = min(self._open_ms, idle_ms)

    @property
    def max_idle_ms(self) -> float:
        """Idle time after which a connection is probably no longer open."""
        if self.announced_ms is not None:
            return self.announced_ms * REUSE_RATIO
        return min(UNKNOWN_MAX_IDLE_MS, self._closed_ms * REUSE_RATIO)

    @property
    def safe_idle_ms(self) -> float:
        """Idle time up to which a server that is not about to end keeps a connection open."""
        closed_ms = self._closed_ms * REUSE_RATIO
        if self.announced_ms is not None:
            return min(self.announced_ms * REUSE_RATIO, closed_ms)
        return min(max(UNKNOWN_SAFE_IDLE_MS, self._open_ms * REUSE_RATIO), closed_ms)
