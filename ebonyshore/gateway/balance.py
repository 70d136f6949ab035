"""Chooses the target of an online request, and decides when to refuse one. Pure functions.

The load pattern is bursts of online requests that together need about as many slots as the fleet
has, while batch items occupy the remaining slots. Batch items are preempted for online requests, so
only online requests count towards a refusal; both count when targets are compared by free slots.

Targets may run at different speeds, and any of them may become several times slower for a second.
Their slots are therefore compared by the work that they do in a given time, and queued places by
the time until a request there gets a slot.
"""

from collections.abc import Mapping, Sequence

from msgspec import Struct, structs

from ebonyshore.host.pace import PaceAllowance

LOCAL_TARGET_WEIGHT = 1.5  # for targets in the own failure domain: the network path is shorter
MAX_LOCAL_UTILIZATION = 0.4  # by online requests, up to which all go to local targets
NEWS_DELAY_MS = 50.0  # until an entry's choices are known to all others, with a margin
MAX_QUEUE_TIME_SHARE = 0.6  # part of the target latency that a request may spend in a queue
MIN_RETRY_AFTER_MS = 400.0
MAX_RETRY_AFTER_MS = 1_500.0
MAX_MEAN_GAP_SHARE = 0.5  # of the longest gap that a route allows; single gaps vary that much


class Objective(Struct, frozen=True):
    """What an answer has to keep to be on time.

    :param first_event_ms: time to the first event.
    :param max_gap_ms: longest pause between two events; ``None`` if there is no limit.
    """

    first_event_ms: float
    max_gap_ms: float | None = None


class TargetLoad(Struct, frozen=True):
    """The load of one target, as far as this process knows it.

    :param capacity: number of requests that the target runs concurrently.
    :param online: online requests at the target, over all processes.
    :param batch: batch items at the target, over all processes.
    :param is_local: whether the target is in the process's own failure domain.
    :param is_avoided: whether other targets are preferred because this one recently failed,
        refused a request for lack of capacity, or was removed from the list of targets.
    :param is_scarce: whether most of what the target's rate limit allows has been used.
    :param speed: work in a given time, in relation to the mean target.
    :param first_event_ms: expected time to the first event of a request that gets a slot at once.
    :param event_ms: expected time between two events; 0 if it is not known.
    """

    target_id: str
    capacity: int
    online: int
    batch: int
    is_local: bool = False
    is_avoided: bool = False
    is_scarce: bool = False
    speed: float = 1.0
    first_event_ms: float = 0.0
    event_ms: float = 0.0

    @property
    def slot_rate(self) -> float:
        """Slots that become free in the time that a request needs at the mean target."""
        return max(1, self.capacity) * self.speed

    def wait_ms(self, service_time_ms: float) -> float:
        """Return the expected time until a request gets a slot, with batch items preempted."""
        return max(0, 1 - self.free_slots_for_online) * service_time_ms / self.slot_rate

    def keeps(self, objective: Objective) -> bool:
        """Return whether an answer is expected on time if the request gets a slot at once."""
        if self.first_event_ms > objective.first_event_ms:
            return False
        max_gap_ms = objective.max_gap_ms
        return max_gap_ms is None or self.event_ms <= max_gap_ms * MAX_MEAN_GAP_SHARE

    @property
    def free_slots(self) -> int:
        """Number of free slots; negative if requests are queued."""
        return self.capacity - self.online - self.batch

    @property
    def free_slots_for_online(self) -> int:
        """Number of free slots once all batch items are preempted; negative if requests queue."""
        return self.capacity - self.online


def limit_free_slots(load: TargetLoad, limit: int, is_scarce: bool) -> TargetLoad:
    """Return a load with no more free slots than ``limit``.

    :param is_scarce: whether most of what the target's rate limit allows has been used.
    """
    capacity = min(load.capacity, load.online + load.batch + limit)
    return structs.replace(load, capacity=capacity, is_scarce=is_scarce)


def limit_returning(
    loads: Sequence[TargetLoad], allowances: Mapping[str, PaceAllowance], choices: float
) -> list[TargetLoad]:
    """Return the loads with the limits of targets that return to service.

    If that leaves too few free slots, only targets keep a limit that have answered late.

    :param allowances: what the limits allow, by target id; targets without a limit are omitted.
    :param choices: number of concurrent choices, see :func:`concurrent_choices`.
    """
    limited = [_limit_returning(load, allowances.get(load.target_id)) for load in loads]
    if sum(max(0, load.free_slots_for_online) for load in limited) >= choices:
        return limited
    return [
        limit if load.target_id in allowances and allowances[load.target_id].has_fallen else load
        for load, limit in zip(loads, limited, strict=True)
    ]


def _limit_returning(load: TargetLoad, allowance: PaceAllowance | None) -> TargetLoad:
    if allowance is None:
        return load
    return limit_free_slots(load, allowance.requests, load.is_scarce)


def max_queued_requests(capacity: int, target_latency_ms: float, service_time_ms: float) -> int:
    """Return how many online requests may queue at a target and still meet the target latency.

    :param capacity: number of requests that the target runs concurrently.
    :param target_latency_ms: time within which an answer has its full value.
    :param service_time_ms: mean time for which a request occupies a slot; if it is 0 or less, the
        result is ``capacity``.
    """
    if service_time_ms <= 0:
        return capacity
    return int(capacity * target_latency_ms * MAX_QUEUE_TIME_SHARE / service_time_ms)


def concurrent_choices(loads: Sequence[TargetLoad], service_time_ms: float) -> float:
    """Return how many requests get a target before their entries learn of each other's choices.

    As many arrive in this time as leave, so it follows from the requests at the targets.

    :param service_time_ms: mean time for which a request occupies a slot.
    """
    if service_time_ms <= 0:
        return 1.0
    return max(1.0, sum(load.online for load in loads) * NEWS_DELAY_MS / service_time_ms)


def choose_target(
    loads: Sequence[TargetLoad],
    queue_slots: int,
    choices: float,
    draw: float,
    objective: Objective | None = None,
) -> TargetLoad | None:
    """Return the target for a request, or ``None`` if all queues are full.

    Free slots are preferred to slots from which a batch item has to be preempted, and those to a
    position in a queue. Many entries choose concurrently from load reports that are slightly out of
    date. If all of them took the target with the most free slots, they would overload it, so the
    choice is random, weighted by the work that the free slots do in a given time.

    If there are fewer free slots than concurrent choices, some of the requests have to queue. All
    targets then get weights that make the next slots free at the same time everywhere; else every
    request would be sent to one of the few targets with a free slot, and several would queue there.

    What a rate limit still allows is kept for bursts: scarce targets are used only if the others do
    not have enough slots. The same holds for targets at which an answer would be late although it
    begins at once.

    While the local targets are lightly loaded, requests stay there; a burst in one failure domain
    spreads to the others.

    :param loads: the candidates. Avoided ones are used only if there are no others.
    :param queue_slots: number of requests that may queue at one target of mean speed.
    :param choices: number of concurrent choices, see :func:`concurrent_choices`.
    :param draw: random number between 0 and 1.
    :param objective: what the answer has to keep; any target will do without it.
    """
    candidates = _preferred_targets(loads, choices, objective)
    for slots_of in (_free_slots, _free_slots_for_online):
        slots = [max(0, slots_of(load)) for load in candidates]
        if sum(slots) >= choices:
            return _draw_weighted(candidates, _weigh(candidates, slots, choices), draw)
    return _choose_queue(candidates, queue_slots, choices, draw)


def _preferred_targets(
    loads: Sequence[TargetLoad], choices: float, objective: Objective | None
) -> list[TargetLoad]:
    """Return the targets to choose from, without those that others can stand in for."""
    candidates = [load for load in loads if not load.is_avoided] or list(loads)
    plentiful = [load for load in candidates if not load.is_scarce]
    candidates = _keep_enough(plentiful, candidates, choices)
    if objective is not None:
        punctual = [load for load in candidates if load.keeps(objective)]
        candidates = _keep_enough(punctual, candidates, choices)
    local = [load for load in candidates if load.is_local]
    return local if _have_room(local, choices) else candidates


def _choose_queue(
    loads: Sequence[TargetLoad], queue_slots: int, choices: float, draw: float
) -> TargetLoad | None:
    """Return the target at which a request queues, or ``None`` if all queues are full."""
    candidates = [
        load for load in loads if load.free_slots_for_online + round(queue_slots * load.speed) > 0
    ]
    if not candidates:
        return None
    # The slot that the request itself takes is not free for the next one.
    slots = even_shares(
        [load.free_slots_for_online - 1 for load in candidates],
        choices,
        [load.slot_rate for load in candidates],
    )
    return _draw_weighted(candidates, _prefer_local(candidates, slots), draw)


def _have_room(local: Sequence[TargetLoad], choices: float) -> bool:
    """Return whether the local targets are lightly loaded and need not preempt batch items."""
    online = sum(load.online for load in local)
    if online >= MAX_LOCAL_UTILIZATION * sum(load.capacity for load in local):
        return False
    return sum(max(0, load.free_slots) for load in local) >= choices


def _keep_enough(
    preferred: list[TargetLoad], candidates: list[TargetLoad], choices: float
) -> list[TargetLoad]:
    """Return the preferred targets if they have a slot for each concurrent choice, else all."""
    slots = sum(max(0, load.free_slots_for_online) for load in preferred)
    return preferred if slots >= choices else candidates


def even_shares(
    free_slots: Sequence[int], requests: float, rates: Sequence[float] | None = None
) -> list[float]:
    """Divide requests among targets so that those which get any have equal times left.

    The time of a target is its number of free slots in relation to its rate. It is negative where
    requests queue, and then tells how long the next one waits.

    :param free_slots: free slots of each target, negative where requests queue; not empty.
    :param requests: number of requests to divide; positive.
    :param rates: slots of each target that become free in a given time; equal if left out.
    :return: the number of requests for each target.
    """
    rates = rates or [1.0] * len(free_slots)
    pairs = list(zip(free_slots, rates, strict=True))
    level = 0.0  # free slots in relation to the rate, once the requests are divided
    total_slots, total_rate = 0.0, 0.0
    for slots, rate in sorted(pairs, key=lambda pair: pair[0] / pair[1], reverse=True):
        if total_rate and slots / rate <= level:
            break
        total_slots += slots
        total_rate += rate
        level = (total_slots - requests) / total_rate
    return [max(0.0, slots - level * rate) for slots, rate in pairs]


def _free_slots(load: TargetLoad) -> int:
    return load.free_slots


def _free_slots_for_online(load: TargetLoad) -> int:
    return load.free_slots_for_online


def _weigh(loads: Sequence[TargetLoad], slots: Sequence[int], choices: float) -> list[float]:
    """Return the weight of each target for a number of free slots.

    A target gets no more than its slots when these are few, so that fast targets are not flooded:
    the speed counts as far as there are more slots than choices.
    """
    spare = 1.0 - choices / sum(slots)
    weights = [count * load.speed**spare for load, count in zip(loads, slots, strict=True)]
    return _prefer_local(loads, weights)


def _prefer_local(loads: Sequence[TargetLoad], weights: Sequence[float]) -> list[float]:
    """Return the weights with more for targets in the own failure domain."""
    return [
        weight * (LOCAL_TARGET_WEIGHT if load.is_local else 1.0)
        for load, weight in zip(loads, weights, strict=True)
    ]


def _draw_weighted(
    loads: Sequence[TargetLoad], weights: Sequence[float], draw: float
) -> TargetLoad:
    """Return one of the loads at random, by weight; one of weight 0 is never returned.

    :param weights: weight of each load, 0 or more; at least one is positive.
    :param draw: random number between 0 and 1.
    """
    remaining = draw * sum(weights)
    for load, weight in zip(loads, weights, strict=True):
        remaining -= weight
        if weight and remaining <= 0:
            return load
    return max(zip(weights, loads, strict=True), key=lambda pair: pair[0])[1]


def retry_after_ms(loads: Sequence[TargetLoad], service_time_ms: float, jitter: float) -> float:
    """Return the delay in milliseconds after which a refused caller should retry.

    The delay grows with the queued requests and is at most ``MAX_RETRY_AFTER_MS``.

    :param loads: the targets that the request could have used.
    :param service_time_ms: mean time for which a request occupies a slot.
    :param jitter: random number between 0 and 1, drawn for each caller, so that refused callers do
        not all retry at the same time.
    """
    queued = sum(max(0, -load.free_slots_for_online) for load in loads)
    slots = max(1, sum(load.capacity for load in loads))
    drain_ms = MIN_RETRY_AFTER_MS + queued * service_time_ms / slots
    min_delay_ms = min(drain_ms, MAX_RETRY_AFTER_MS / 2)
    return min_delay_ms + jitter * (MAX_RETRY_AFTER_MS - min_delay_ms)
