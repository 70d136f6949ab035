"""Decides which batch items start at which target and which are preempted. Pure functions.

Expected load: bursts of online requests that take most slots of the targets for a few seconds,
followed by slightly longer quiet periods; batch items use the remaining slots. Each target has one
live runner as its primary runner. Other runners use only the slots that the primary runner leaves
free, and preempt their items first. Runners therefore need not coordinate, and each one has targets
to run its items at.

Items are identified by keys, which are unique among all jobs of the runner.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b
from heapq import heapify, heappop, heapreplace
from types import MappingProxyType

from msgspec import Struct

MAX_WEIGHTS = 1 << 16  # that are kept, of pairs of a target or job and a runner
RESERVED_SLOTS = 1  # slots kept free at each target for the next online request
UNLIMITED = 1 << 20  # start limit above the capacity of any target
RESERVED_FOR_PRIMARY = 2  # further slots that runners other than the primary one keep free


class TargetSlots(Struct):
    """The slots of a target and their use, as far as a runner knows.

    :param target_id: id of the target.
    :param capacity: number of requests that the target runs at the same time.
    :param online: number of online requests of all entries at the target.
    :param other_batch: number of batch items of other runners at the target.
    :param own_batch: keys of the own items at the target; the last ones are preempted first.
    :param is_usable: whether new items may start at the target.
    :param is_primary: whether this runner is the target's primary runner.
    :param is_accepting: whether items may start at the target once it is usable.
    :param start_limit: highest number of items that may start at the target now.
    :param speed: work in a given time, in relation to the mean target, over the time of an item.
    """

    target_id: str
    capacity: int
    online: int
    other_batch: int
    own_batch: Sequence[str]
    is_usable: bool = True
    is_primary: bool = True
    is_accepting: bool = True
    start_limit: int = UNLIMITED
    speed: float = 1.0

    @property
    def free_slots(self) -> int:
        """Number of slots that new items may take; zero or negative if there is none."""
        return min(self.start_limit, self.unreserved_slots)

    @property
    def unreserved_slots(self) -> int:
        """The same without the limit for simultaneous starts."""
        taken = self.online + self.other_batch + len(self.own_batch)
        reserved = RESERVED_SLOTS if self.is_primary else RESERVED_SLOTS + RESERVED_FOR_PRIMARY
        return self.capacity - reserved - taken

    @property
    def excess_items(self) -> int:
        """Number of own items to preempt so that the online requests fit into the capacity."""
        # The primary runner ignores the items of other runners, since they preempt theirs first.
        others = 0 if self.is_primary else self.other_batch
        taken = self.online + others + len(self.own_batch)
        return min(len(self.own_batch), max(0, taken - self.capacity))


class ItemStart(Struct, frozen=True):
    """An item to start at a target.

    :param item: key of the item.
    :param target_id: id of the target.
    """

    item: str
    target_id: str


class ItemPlan(Struct, frozen=True):
    """The items that a runner has to start and stop now.

    :param starts: items to start.
    :param stops: keys of running items to preempt.
    """

    starts: tuple[ItemStart, ...]
    stops: tuple[str, ...]


def preferred_runner(key: str, runners: Iterable[str]) -> str | None:
    """Return the runner with the highest rendezvous weight for a key.

    :param key: id of a job or of a target.
    :param runners: instance ids of the runners.
    :return: instance id of a runner; ``None`` if there are no runners.
    """
    return max(runners, key=lambda runner: _rendezvous_weight(key, runner), default=None)


class PrimaryRunners:
    """The primary runner of each target, computed when targets or runners have changed."""

    __slots__ = ("_assigned", "_runners")

    def __init__(self) -> None:
        self._runners: set[str] = set()
        self._assigned: dict[str, str] = {}

    def of(self, target_ids: Collection[str], runners: Sequence[str]) -> dict[str, str]:
        """Return the instance id of the primary runner by target id.

        For the parameters see :func:`assign_primary_runners`.
        """
        is_known = self._assigned.keys() == set(target_ids) and self._runners == set(runners)
        if not is_known:
            self._assigned = assign_primary_runners(target_ids, runners)
            self._runners = set(runners)
        return self._assigned


def assign_primary_runners(target_ids: Iterable[str], runners: Sequence[str]) -> dict[str, str]:
    """Assign a primary runner to each target.

    Each runner gets the average number of targets, rounded down or up, so that none is left without
    slots for its jobs. When a runner or a target is added or removed, few of the other targets
    change their primary runner.

    :param target_ids: ids of all targets.
    :param runners: instance ids of the live runners.
    :return: instance id of the primary runner by target id; empty if there are no runners.
    """
    targets = sorted(target_ids)
    if not runners:
        return {}
    share, larger_shares = divmod(len(targets), len(runners))
    counts: Counter[str] = Counter()
    primary_runners: dict[str, str] = {}
    for target_id in targets:
        has_larger_share = sum(count > share for count in counts.values()) < larger_shares
        limit = share + 1 if has_larger_share else share
        available = [runner for runner in runners if counts[runner] < limit]
        primary_runners[target_id] = preferred_runner(target_id, available)
        counts[primary_runners[target_id]] += 1
    return primary_runners


@lru_cache(MAX_WEIGHTS)
def _rendezvous_weight(key: str, runner: str) -> bytes:
    return blake2b(f"{runner}\n{key}".encode(), digest_size=8).digest()


def make_plan(
    waiting: Sequence[str],
    targets: Sequence[TargetSlots],
    broken_targets: Mapping[str, Collection[str]] = MappingProxyType({}),
) -> ItemPlan:
    """Return which items start now and which are preempted.

    At each target the last of the own items are preempted. Each item starts at the target whose
    free slots do the most work in a given time, so the first items get fast targets, and slow ones
    are left to those that follow.

    :param waiting: keys of the waiting items, in the order in which they should start.
    :param targets: slots of the targets at which the items may run.
    :param broken_targets: ids of the targets at which the last runs of an item broke, by its key;
        it starts at another one if any has a free slot.
    """
    stops = [
        item
        for target in targets
        if target.excess_items
        for item in list(target.own_batch)[-target.excess_items :]
    ]
    targets_by_id = {target.target_id: target for target in targets}
    free_slots = {
        target.target_id: target.free_slots
        for target in targets
        if target.is_usable and target.free_slots > 0
    }
    best_first = [
        (-free * targets_by_id[key].speed, order, key)
        for order, (key, free) in enumerate(free_slots.items())
    ]
    heapify(best_first)
    starts: list[ItemStart] = []
    for item in waiting:
        if not best_first:
            break
        choice = _choose(best_first, broken_targets.get(item, ()))
        _, order, target_id = choice
        starts.append(ItemStart(item, target_id))
        free_slots[target_id] -= 1
        work = free_slots[target_id] * targets_by_id[target_id].speed
        _replace(best_first, choice, (-work, order, target_id) if free_slots[target_id] else None)
    return ItemPlan(tuple(starts), tuple(stops))


_Candidate = tuple[float, int, str]  # work of the free slots, negated; order; id of the target


def _choose(best_first: list[_Candidate], avoided: Collection[str]) -> _Candidate:
    """Return the best candidate that is not avoided, or else the best one."""
    if not avoided:
        return best_first[0]
    others = (candidate for candidate in best_first if candidate[2] not in avoided)
    return min(others, default=best_first[0])


def _replace(best_first: list[_Candidate], old: _Candidate, new: _Candidate | None) -> None:
    """Replace a candidate in the heap; ``None`` removes it."""
    if old is best_first[0]:
        if new is None:
            heappop(best_first)
        else:
            heapreplace(best_first, new)
        return
    best_first.remove(old)
    if new is not None:
        best_first.append(new)
    heapify(best_first)
