"""Which items start at which target, and which give way. Pure.

Load pattern: online bursts that fill most places for a few seconds, calm for a little longer, and
batch work that fills what is left. Each target is the home of one live runner. Others use what its
home leaves free, and give way first, so that runners need not ask each other and none is without
places.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from hashlib import blake2b

from msgspec import Struct

RESERVED_SLOTS = 1  # kept free at each target for the next online request
UNLIMITED = 1 << 20
RESERVED_FOR_PRIMARY = 2  # kept free besides by runners that a target is not the home of


class TargetSlots(Struct):
    """A target as a runner sees it.

    :param online: online requests of all entries.
    :param others_batch: batch items of other runners.
    :param own_batch: this runner's items, oldest first.
    :param is_usable: whether new items may start there.
    :param is_home: whether the target is this runner's home.
    :param start_limit: items that may start there now.
    """

    target_id: str
    capacity: int
    online: int
    other_batch: int
    own_batch: Sequence[str]
    is_usable: bool = True
    is_primary: bool = True
    start_limit: int = UNLIMITED

    @property
    def free_slots(self) -> int:
        """Places that new items may take."""
        taken = self.online + self.other_batch + len(self.own_batch)
        reserved = RESERVED_SLOTS if self.is_primary else RESERVED_SLOTS + RESERVED_FOR_PRIMARY
        return min(self.start_limit, self.capacity - reserved - taken)

    @property
    def excess_items(self) -> int:
        """Own items that have to give way to online requests."""
        # The home counts on the others to go first, and they count on no one.
        others = 0 if self.is_primary else self.other_batch
        taken = self.online + others + len(self.own_batch)
        return min(len(self.own_batch), max(0, taken - self.capacity))


class ItemStart(Struct, frozen=True):
    """An item that begins at a target."""

    item: str
    target_id: str


class ItemPlan(Struct, frozen=True):
    """What a runner does now."""

    starts: tuple[ItemStart, ...]
    stops: tuple[str, ...]


def preferred_runner(key: str, runners: Iterable[str]) -> str | None:
    """Return the runner that ranks highest for a key."""
    return max(runners, key=lambda runner: _rank(key, runner), default=None)


def assign_primary_runners(target_ids: Iterable[str], runners: Sequence[str]) -> dict[str, str]:
    """Return the home runner of each target; no runner has over its share, rounded up.

    Few targets change their home when a runner or a target comes or goes.
    """
    targets = sorted(target_ids)
    if not runners:
        return {}
    share = -(-len(targets) // len(runners))
    counts: Counter[str] = Counter()
    homes: dict[str, str] = {}
    for target_id in targets:
        open_runners = [runner for runner in runners if counts[runner] < share]
        homes[target_id] = preferred_runner(target_id, open_runners)
        counts[homes[target_id]] += 1
    return homes


def _rank(key: str, runner: str) -> bytes:
    return blake2b(f"{runner}\n{key}".encode(), digest_size=8).digest()


def make_plan(waiting: Sequence[str], rooms: Sequence[TargetSlots]) -> ItemPlan:
    """Return which items start and which give way.

    :param waiting: items in the order in which they should start.
    :param rooms: the targets.
    """
    stops = [
        item
        for room in rooms
        if room.excess_items
        for item in list(room.own_batch)[-room.excess_items :]
    ]
    free = {
        room.target_id: room.free_slots for room in rooms if room.is_usable and room.free_slots > 0
    }
    starts: list[ItemStart] = []
    for item in waiting:
        if not free:
            break
        target_id = max(free, key=free.__getitem__)
        starts.append(ItemStart(item, target_id))
        free[target_id] -= 1
        if not free[target_id]:
            del free[target_id]
    return ItemPlan(tuple(starts), tuple(stops))
