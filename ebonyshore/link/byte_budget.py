"""Bounds the bytes that are sent in a second. No I/O."""

from ebonyshore.frame.clock import MS_PER_S

BURST_MS = 1_000.0  # time for which an unused budget is kept


class ByteBudget:
    """A token bucket of bytes, full at first. It may be overdrawn by what one send takes."""

    __slots__ = ("_at_ms", "_level_bytes")

    def __init__(self) -> None:
        self._at_ms: float | None = None
        self._level_bytes = 0.0

    def available_bytes(self, rate_bytes_per_s: float, now_ms: float) -> float:
        """Return what may be sent now.

        :param rate_bytes_per_s: the budget, which may change from call to call.
        """
        burst_bytes = rate_bytes_per_s * BURST_MS / MS_PER_S
        if self._at_ms is None:
            self._level_bytes = burst_bytes
        else:
            self._level_bytes += rate_bytes_per_s * max(0.0, now_ms - self._at_ms) / MS_PER_S
            self._level_bytes = min(burst_bytes, self._level_bytes)
        self._at_ms = now_ms
        return self._level_bytes

    def take(self, sent_bytes: float) -> None:
        """Count bytes that were sent."""
        self._level_bytes -= sent_bytes
