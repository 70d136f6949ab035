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

RESERVED_PLACES = 1  # kept free at each target for the next online request
UNLIMITED = 1 << 20
RESERVED_FOR_HOME = 2  # kept free besides by runners that a target is not the home of


class TargetRoom(Struct):
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
    others_batch: int
    own_batch: Sequence[str]
    is_usable: bool = True
    is_home: bool = True
    start_limit: int = UNLIMITED

    @property
    def free(self) -> int:
        """Places that new items may take."""
        taken = self.online + self.others_batch + len(self.own_batch)
        reserved = RESERVED_PLACES if self.is_home else RESERVED_PLACES + RESERVED_FOR_HOME
        return min(self.start_limit, self.capacity - reserved - taken)

    @property
    def excess(self) -> int:
        """Own items that have to give way to online requests."""
        # The home counts on the others to go first, and they count on no one.
        others = 0 if self.is_home else self.others_batch
        taken = self.online + others + len(self.own_batch)
        return min(len(self.own_batch), max(0, taken - self.capacity))


class Start(Struct, frozen=True):
    """An item that begins at a target."""

    item: str
    target_id: str


class Plan(Struct, frozen=True):
    """What a runner does now."""

    starts: tuple[Start, ...]
    stops: tuple[str, ...]


def first_choice(key: str, runners: Iterable[str]) -> str | None:
    """Return the runner that ranks highest for a key."""
    return max(runners, key=lambda runner: _rank(key, runner), default=None)


def assign_homes(target_ids: Iterable[str], runners: Sequence[str]) -> dict[str, str]:
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
        homes[target_id] = first_choice(target_id, open_runners)
        counts[homes[target_id]] += 1
    return homes


def _rank(key: str, runner: str) -> bytes:
    return blake2b(f"{runner}\n{key}".encode(), digest_size=8).digest()


def make_plan(waiting: Sequence[str], rooms: Sequence[TargetRoom]) -> Plan:
    """Return which items start and which give way.

    :param waiting: items in the order in which they should start.
    :param rooms: the targets.
    """
    stops = [item for room in rooms if room.excess for item in list(room.own_batch)[-room.excess :]]
    free = {room.target_id: room.free for room in rooms if room.is_usable and room.free > 0}
    starts: list[Start] = []
    for item in waiting:
        if not free:
            break
        target_id = max(free, key=free.__getitem__)
        starts.append(Start(item, target_id))
        free[target_id] -= 1
        if not free[target_id]:
            del free[target_id]
    return Plan(tuple(starts), tuple(stops))
