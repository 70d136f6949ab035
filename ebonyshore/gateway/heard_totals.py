"""The totals that an entry has received from one runner, with the parts since."""

from ebonyshore.link.load_table import LoadTotals, TotalsPart
from ebonyshore.link.target_counts import TargetCounts


class HeardTotals:
    """The totals of one sender.

    :param totals: the first complete totals of the sender's run.
    :param at_ms: monotonic time at which they were received.
    :ivar at_ms: time of the last message that was not outdated.
    :ivar counts: the latest counts by target id.
    :ivar runners: number of open items of each live runner, by instance id.
    :ivar is_complete: whether no part was missed since the last complete totals.
    """

    __slots__ = (
        "_number",
        "_sequence",
        "at_ms",
        "counts",
        "incarnation",
        "is_complete",
        "runners",
    )

    def __init__(self, totals: LoadTotals, at_ms: float) -> None:
        self.incarnation = totals.incarnation
        self.counts: dict[str, TargetCounts] = {}
        self.runners: dict[str, int] = {}
        self._replace(totals, at_ms)

    def replace(self, totals: LoadTotals, now_ms: float) -> bool:
        """Use complete totals; return whether they were not outdated."""
        if totals.incarnation == self.incarnation and totals.sequence < self._sequence:
            return False
        self.incarnation = totals.incarnation
        self._replace(totals, now_ms)
        return True

    def apply(self, part: TotalsPart, now_ms: float) -> bool:
        """Use the counts of a part; return whether it was not outdated."""
        if part.sequence < self._sequence or part.number <= self._number:
            return False
        self.is_complete = self.is_complete and part.number == self._number + 1
        self._sequence, self._number = part.sequence, part.number
        self.at_ms = now_ms
        self.counts.update(part.counts)
        self.counts.update(part.others)
        self.runners = part.runners or self.runners
        return True

    def _replace(self, totals: LoadTotals, now_ms: float) -> None:
        self.at_ms = now_ms
        self.counts = dict(totals.counts)
        self.runners = totals.runners
        self.is_complete = True
        self._sequence, self._number = totals.sequence, totals.part_number
