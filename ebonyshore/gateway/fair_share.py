"""Decides which online requests may queue for a slot while there are too few. Pure functions.

Load pattern: bursts need more slots than there are, while some client accounts send many times
their usual, and a part of the targets is down. Targets start requests in the order of their
arrival, so an account that sends a lot makes everybody's requests wait.

Each account has a share of the slots: weighted max-min, so that an account which needs less than
its share gets all that it needs, and the others divide what it leaves. Only where a request would
have to wait does the share matter. A request of an account that needs more than its share is then
admitted with such a probability that what it sends fits in the share and queues get shorter, and
refused otherwise. This keeps places in the queues free for accounts within their shares.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct

from ebonyshore.gateway.balance import TargetLoad, concurrent_choices

MAX_EXCESS_WAIT_SHARE = 0.45  # of the target latency; less than any account may wait
WEIGHT_PER_RANK = 0.5  # an account of the next lower priority has half the share
DRAINED_PART = 0.5  # of the queued requests, which are to get slots before others do
MIN_RETURN_MS = 300.0
MAX_RETURN_MS = 2_000.0
MAX_RETURN_PART = 0.4  # of the time that the caller has left


class AccountNeed(Struct, frozen=True):
    """How many slots the requests of one account need, over all entries.

    :param weight: part of the slots that it gets, in relation to other accounts.
    :param running: its requests at targets, those that queue there included.
    :param wanted_slots: slots that its requests occupy if none of them waits.
    """

    weight: float
    running: int
    wanted_slots: float

    @property
    def slots(self) -> float:
        """Slots that the account needs."""
        return max(self.wanted_slots, float(self.running))


class Room(Struct, frozen=True):
    """The slots of the usable targets, and the queue at the one chosen for a request.

    :param slots: slots of all usable targets.
    :param online: online requests at these targets.
    :param wait_ms: expected time until the request gets a slot.
    """

    slots: int
    online: int
    wait_ms: float

    @property
    def slots_for_arrivals(self) -> float:
        """Slots for new requests, fewer the more are queued, so that queues get shorter."""
        return self.slots - DRAINED_PART * max(0, self.online - self.slots)


class ShareExcess(Struct, frozen=True):
    """By how much an account exceeds its share.

    :param share_slots: slots that it may occupy.
    :param admitted_part: part of its requests that may go on so that queues get shorter.
    """

    share_slots: float
    admitted_part: float


def expected_room(chosen: TargetLoad, loads: Iterable[TargetLoad], service_time_ms: float) -> Room:
    """Return the room for a request.

    Requests that other entries place before their choices are known are expected to be divided
    evenly among the targets.

    :param chosen: the target chosen for the request.
    :param loads: the targets that it could have used.
    :param service_time_ms: mean time for which a request occupies a slot.
    """
    usable = [load for load in loads if not load.is_avoided] or [chosen]
    slots = sum(load.capacity for load in usable)
    online = sum(load.online for load in usable)
    if chosen.free_slots_for_online > 0:
        return Room(slots, online, 0.0)
    unreported = concurrent_choices(usable, service_time_ms) / len(usable)
    wait_ms = chosen.wait_ms(service_time_ms) + unreported * service_time_ms / chosen.slot_rate
    return Room(slots, online, wait_ms)


def find_excess(
    room: Room, account: str, needs: Mapping[str, AccountNeed], target_latency_ms: float
) -> ShareExcess | None:
    """Return by how much an account exceeds its share, or ``None`` if its request may go on.

    Requests of accounts that are not in ``needs`` are within their shares. What they occupy is not
    divided.

    :param needs: needs of the accounts that run several requests, the one that asks included.
    :param target_latency_ms: time within which the answer has its full value.
    """
    if room.wait_ms <= target_latency_ms * MAX_EXCESS_WAIT_SHARE:
        return None
    unlisted = max(0, room.online - sum(need.running for need in needs.values()))
    need = needs[account]
    share_slots = need.weight * share_level(room.slots - unlisted, needs.values())
    if need.slots <= share_slots:
        return None
    part_slots = need.weight * share_level(room.slots_for_arrivals - unlisted, needs.values())
    return ShareExcess(share_slots, part_slots / need.slots)


def share_level(slots: float, needs: Iterable[AccountNeed]) -> float:
    """Return the slots that an account of weight 1 may occupy; infinite if all get what they need.

    :param slots: slots that are divided.
    """
    left = max(0.0, slots)
    ordered = sorted(needs, key=lambda need: need.slots / need.weight)
    weight = sum(need.weight for need in ordered)
    for need in ordered:
        if need.slots * weight > left * need.weight:
            return left / weight
        left -= need.slots
        weight -= need.weight
    return float("inf")


def account_weight(rate_per_s: float, mean_rate_per_s: float, priority: int) -> float:
    """Return the weight of an account.

    The rate that it may send says what it is entitled to while room is short.

    :param rate_per_s: the rate; 0 if it has no limit.
    :param mean_rate_per_s: mean rate of the accounts with a limit, which holds for one without.
    :param priority: rank of the account; 0 is the highest.
    """
    return (rate_per_s or mean_rate_per_s or 1.0) * WEIGHT_PER_RANK**priority


def return_delay_ms(excess: ShareExcess, remaining_ms: float, jitter: float) -> float:
    """Return when a refused caller should come back.

    Callers of an account that is little above its share return first. Those of one account are
    spread, as they would otherwise meet at the targets again.

    :param remaining_ms: time that the caller has left for an answer.
    :param jitter: random number between 0 and 1.
    """
    latest_ms = MIN_RETURN_MS + (MAX_RETURN_MS - MIN_RETURN_MS) * (1.0 - excess.admitted_part)
    latest_ms = min(latest_ms, remaining_ms * MAX_RETURN_PART)
    earliest_ms = min(MIN_RETURN_MS, latest_ms)
    return earliest_ms + jitter * (latest_ms - earliest_ms)
