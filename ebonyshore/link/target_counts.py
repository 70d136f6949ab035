"""Numbers of requests at one target."""

from math import ceil

from msgspec import Struct

# The connections of a lost instance are not closed, so targets continue to process its requests
# until they end. The counts of a lost process therefore decrease linearly to zero in this time.
LOST_ONLINE_DECAY_MS = 1_000.0
LOST_BATCH_DECAY_MS = 5_000.0


class TargetCounts(Struct, frozen=True, array_like=True):
    """Numbers of online requests and batch items that one or more processes have at a target."""

    online: int
    batch: int

    def plus(self, other: "TargetCounts") -> "TargetCounts":
        """Return the sum of both counts."""
        return TargetCounts(self.online + other.online, self.batch + other.batch)

    def minus(self, other: "TargetCounts") -> "TargetCounts":
        """Return the difference of both counts."""
        return TargetCounts(self.online - other.online, self.batch - other.batch)

    def decayed(self, silent_ms: float) -> "TargetCounts":
        """Estimate what is still running at the target for a lost process; rounds up.

        :param silent_ms: time since the process was last seen.
        """
        online = self.online * max(0.0, 1.0 - silent_ms / LOST_ONLINE_DECAY_MS)
        batch = self.batch * max(0.0, 1.0 - silent_ms / LOST_BATCH_DECAY_MS)
        return TargetCounts(ceil(online), ceil(batch))


NO_COUNTS = TargetCounts(0, 0)
