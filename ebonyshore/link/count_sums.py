"""Adds up the request counts of several processes, one report at a time. No I/O."""

from collections.abc import Mapping

from ebonyshore.link.target_counts import NO_COUNTS, TargetCounts


class CountSums:
    """The sums of the latest counts of each sender.

    :ivar by_target: the sums by target id, not to be changed by others; targets without requests
        are omitted.
    """

    __slots__ = ("_changed", "_included", "by_target")

    def __init__(self) -> None:
        self.by_target: dict[str, TargetCounts] = {}
        self._included: dict[str, Mapping[str, TargetCounts]] = {}
        self._changed: set[str] = set()

    def replace(self, sender: str, counts: Mapping[str, TargetCounts]) -> None:
        """Include the counts of a sender in place of its last ones; costs their number."""
        replaced = self._included.get(sender, {})
        if counts:
            self._included[sender] = counts
        else:
            self._included.pop(sender, None)
        for target_id, count in counts.items():
            known = replaced.get(target_id, NO_COUNTS)
            if known != count:
                self._add(target_id, count.minus(known))
        for target_id, known in replaced.items():
            if target_id not in counts and known != NO_COUNTS:
                self._add(target_id, NO_COUNTS.minus(known))

    def included(self, sender: str) -> Mapping[str, TargetCounts]:
        """Return the counts of a sender that the sums include."""
        return self._included.get(sender, {})

    def take_changed(self) -> set[str]:
        """Return the ids of the targets whose sums have changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def _add(self, target_id: str, difference: TargetCounts) -> None:
        total = self.by_target.get(target_id, NO_COUNTS).plus(difference)
        self._changed.add(target_id)
        if total == NO_COUNTS:
            del self.by_target[target_id]
        else:
            self.by_target[target_id] = total
