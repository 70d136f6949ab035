"""Which target an online request goes to, and when it is refused. Pure.

Load pattern: bursts of online requests that together want about as many places as the fleet has,
while batch items hold the rest. Batch items give way to online requests, so only online requests
count towards a refusal; both count when the emptiest target is looked for.
"""

from collections.abc import Sequence

from msgspec import Struct

LOCAL_TARGET_WEIGHT = 1.5  # of a target in the own failure domain, which is nearer
MAX_QUEUE_TIME_SHARE = 0.6  # of the target latency that may pass in a target's queue
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
    def free_slots(self) -> int:
        """Places that are free now; negative if requests wait."""
        return self.capacity - self.online - self.batch

    @property
    def free_slots_for_online(self) -> int:
        """Places that are free once batch items have given way; negative if requests wait."""
        return self.capacity - self.online


def max_queued_requests(capacity: int, target_latency_ms: float, service_time_ms: float) -> int:
    """Return how many online requests may wait at a target and still be answered in time.

    :param occupancy_ms: mean time that a request holds its place.
    """
    if service_time_ms <= 0:
        return capacity
    return int(capacity * target_latency_ms * MAX_QUEUE_TIME_SHARE / service_time_ms)


def choose_target(loads: Sequence[TargetLoad], queue_slots: int, draw: float) -> TargetLoad | None:
    """Return the target that a request goes to, or ``None`` if all queues are full.

    A free place counts before one that a batch item has to leave first, and that before a place in
    a queue. Many entries choose at the same time from news that is a little old, so they do not all
    take the emptiest target: each is drawn by its room.

    :param queue_places: requests that may wait at one target.
    :param draw: 0 to 1, at random.
    """
    usable = [load for load in loads if not load.is_avoided] or list(loads)
    for room_of in (_free_room, _online_room):
        weights = [max(0, room_of(load)) * _nearness(load) for load in usable]
        if any(weights):
            return _drawn(usable, weights, draw)
    weights = [max(0, load.free_slots_for_online + queue_slots) for load in usable]
    return _drawn(usable, weights, draw) if any(weights) else None


def _free_room(load: TargetLoad) -> int:
    return load.free_slots


def _online_room(load: TargetLoad) -> int:
    return load.free_slots_for_online


def _nearness(load: TargetLoad) -> float:
    return LOCAL_TARGET_WEIGHT if load.is_local else 1.0


def _drawn(loads: Sequence[TargetLoad], weights: Sequence[float], draw: float) -> TargetLoad:
    """Return one of the loads, by weight; one without weight is never drawn."""
    left = draw * sum(weights)
    for load, weight in zip(loads, weights, strict=True):
        left -= weight
        if weight and left <= 0:
            return load
    return max(zip(weights, loads, strict=True), key=lambda pair: pair[0])[1]


def retry_after_ms(loads: Sequence[TargetLoad], service_time_ms: float, jitter: float) -> float:
    """Return when a refused caller should come back.

    :param spread: 0 to 1; drawn anew for each caller, so that they do not return together.
    """
    waiting = sum(max(0, -load.free_slots_for_online) for load in loads)
    places = max(1, sum(load.capacity for load in loads))
    clears_ms = MIN_RETRY_AFTER_MS + waiting * service_time_ms / places
    low_ms = min(clears_ms, MAX_RETRY_AFTER_MS / 2)
    return low_ms + jitter * (MAX_RETRY_AFTER_MS - low_ms)
