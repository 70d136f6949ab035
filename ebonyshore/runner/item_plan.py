"""Which items start at which target, and which give way. Pure.

Load pattern: online bursts that fill most places for a few seconds, calm for a little longer, and
batch work that fills what is left. Each target's batch places belong to one live runner, so that
runners need not ask each other.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from msgspec import Struct

RESERVED_PLACES = 1  # kept free at each target for the next online request


class TargetRoom(Struct):
    """A target as a runner sees it.

    :param online: online requests of all entries.
    :param others_batch: batch items of other runners.
    :param own_batch: this runner's items, oldest first.
    :param is_usable: whether new items may start there.
    """

    target_id: str
    capacity: int
    online: int
    others_batch: int
    own_batch: Sequence[str]
    is_usable: bool = True

    @property
    def free(self) -> int:
        """Places that new items may take."""
        taken = self.online + self.others_batch + len(self.own_batch)
        return self.capacity - RESERVED_PLACES - taken

    @property
    def excess(self) -> int:
        """Own items that have to give way to online requests."""
        taken = self.online + self.others_batch + len(self.own_batch)
        return min(len(self.own_batch), max(0, taken - self.capacity))


class Start(Struct, frozen=True):
    """An item that begins at a target."""

    item: str
    target_id: str


class Plan(Struct, frozen=True):
    """What a runner does now."""

    starts: tuple[Start, ...]
    stops: tuple[str, ...]


def owner_of(target_id: str, runners: Iterable[str]) -> str | None:
    """Return the runner whose items may use a target."""
    return max(runners, key=lambda runner: _rank(target_id, runner), default=None)


def _rank(target_id: str, runner: str) -> bytes:
    return blake2b(f"{runner}\n{target_id}".encode(), digest_size=8).digest()


def make_plan(waiting: Sequence[str], rooms: Sequence[TargetRoom]) -> Plan:
    """Return which items start and which give way.

    :param waiting: items in the order in which they should start.
    :param rooms: the targets whose batch places this runner has.
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
