"""Which target an online request goes to, and when it is refused. Pure.

Load pattern: bursts of online requests that together want about as many places as the fleet has,
while batch items hold the rest. Batch items give way to online requests, so only online requests
count towards a refusal; both count when the emptiest target is looked for.
"""

from collections.abc import Sequence

from msgspec import Struct

LOCAL_PREFERENCE = 0.5  # places; a target of the own failure domain is nearer
WAIT_SHARE = 0.6  # of the target latency that may pass in a target's queue
MIN_RETRY_AFTER_MS = 400.0
MAX_RETRY_AFTER_MS = 1_500.0


class TargetLoad(Struct, frozen=True):
    """What a process knows of one target's load.

    :param capacity: requests that the target runs at the same time.
    :param online: online requests of all processes there.
    :param batch: batch items of all processes there.
    :param is_local: whether it is in the process's own failure domain.
    :param is_avoided: whether it lately failed, or refused for want of room.
    """

    target_id: str
    capacity: int
    online: int
    batch: int
    is_local: bool = False
    is_avoided: bool = False

    @property
    def room(self) -> int:
        """Places that are free now; negative if requests wait."""
        return self.capacity - self.online - self.batch

    @property
    def room_for_online(self) -> int:
        """Places that are free once batch items have given way; negative if requests wait."""
        return self.capacity - self.online


def queue_room(capacity: int, target_latency_ms: float, occupancy_ms: float) -> int:
    """Return how many online requests may wait at a target and still be answered in time.

    :param occupancy_ms: mean time that a request holds its place.
    """
    if occupancy_ms <= 0:
        return capacity
    return int(capacity * target_latency_ms * WAIT_SHARE / occupancy_ms)


def choose_target(
    loads: Sequence[TargetLoad], queue_places: int, tie_break: float
) -> TargetLoad | None:
    """Return the target with the shortest wait, or ``None`` if all queues are full.

    :param queue_places: requests that may wait at one target.
    :param tie_break: 0 to 1; turns the order among equals, so that processes spread.
    """
    usable = [load for load in loads if not load.is_avoided] or list(loads)
    usable = [load for load in usable if load.room_for_online + queue_places > 0]
    if not usable:
        return None
    offset = int(tie_break * len(usable)) % len(usable)
    turned = [*usable[offset:], *usable[:offset]]
    return max(turned, key=_preference)


def _preference(load: TargetLoad) -> float:
    """Return how well a request does at a target; higher is better.

    A free place counts before one that a batch item has to leave first.
    """
    local = LOCAL_PREFERENCE * load.is_local
    if load.room > 0:
        return load.capacity + load.room + local
    return load.room_for_online + local


def retry_after_ms(loads: Sequence[TargetLoad], occupancy_ms: float, spread: float) -> float:
    """Return when a refused caller should come back.

    :param spread: 0 to 1; drawn anew for each caller, so that they do not return together.
    """
    waiting = sum(max(0, -load.room_for_online) for load in loads)
    places = max(1, sum(load.capacity for load in loads))
    clears_ms = MIN_RETRY_AFTER_MS + waiting * occupancy_ms / places
    low_ms = min(clears_ms, MAX_RETRY_AFTER_MS / 2)
    return low_ms + spread * (MAX_RETRY_AFTER_MS - low_ms)
