"""Which targets the entries of one failure domain are to be told of next. No I/O."""

from collections.abc import Callable, Iterable, Sequence

COUNT_BYTES = 5  # of one target, encoded, besides its id
NEAR_SHARE = 0.75  # of a part that targets of the receivers' own failure domain may take


class PendingTargets:
    """The targets whose totals have changed since the entries of a failure domain were told.

    Those of the same failure domain go first, and within each group those that wait longest.

    :param is_near: tells whether a target is in the failure domain of the entries.
    """

    __slots__ = ("_far", "_is_near", "_near")

    def __init__(self, is_near: Callable[[str], bool]) -> None:
        self._is_near = is_near
        self._near: dict[str, None] = {}
        self._far: dict[str, None] = {}

    def __bool__(self) -> bool:
        return bool(self._near or self._far)

    def add(self, target_ids: Iterable[str]) -> None:
        """Record that the totals of some targets have changed."""
        for target_id in target_ids:
            pending = self._near if self._is_near(target_id) else self._far
            pending.setdefault(target_id)

    def clear(self) -> None:
        """Record that the entries know the totals of all targets."""
        self._near.clear()
        self._far.clear()

    def take(self, limit_bytes: float, repeated: Sequence[str] = ()) -> list[str]:
        """Return the targets to send now.

        :param limit_bytes: how many bytes their counts may take when they are encoded.
        :param repeated: targets that are sent besides them, whether they have changed or not.
        """
        taken = dict.fromkeys(repeated)
        left_bytes = limit_bytes - sum(map(_count_bytes, repeated))
        reserved_bytes = (1.0 - NEAR_SHARE) * limit_bytes if self._far else 0.0
        left_bytes -= _move(self._near, taken, left_bytes - reserved_bytes)
        left_bytes -= _move(self._far, taken, left_bytes)
        _move(self._near, taken, left_bytes)
        return list(taken)


def _move(pending: dict[str, None], taken: dict[str, None], limit_bytes: float) -> int:
    """Move the first targets that fit; return the bytes that they take."""
    moved: list[str] = []
    used_bytes = 0
    for target_id in pending:
        if used_bytes + _count_bytes(target_id) > limit_bytes:
            break
        moved.append(target_id)
        used_bytes += _count_bytes(target_id)
    for target_id in moved:
        del pending[target_id]
        taken[target_id] = None
    return used_bytes


def _count_bytes(target_id: str) -> int:
    return len(target_id) + COUNT_BYTES
