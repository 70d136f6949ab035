"""Compares the completed batch items of a day with what their slots would have allowed."""

from collections.abc import Iterable

from msgspec import Struct

from ebonyshore_report.request_log import parse_line

# Between two lines of a runner that has work all the time; a longer gap is time without work.
MAX_LINE_INTERVAL_S = 2.5


class BatchUse(Struct, frozen=True):
    """The slots that batch items held in a part of a day, and the items that were completed.

    :param slot_s: time in slots, summed over all items.
    :param completed: items with a result.
    :param item_slot_s: mean time in a slot for a completed item, over the whole day.
    """

    slot_s: float
    completed: int
    item_slot_s: float

    @property
    def possible(self) -> int:
        """Items that could have been completed if no time in a slot had been lost.

        Lost time is that of items which began again, and of items that were unfinished at the end.
        """
        return int(self.slot_s / self.item_slot_s) if self.item_slot_s else self.completed


def read_batch_use(lines: Iterable[str], until_s: float) -> BatchUse:
    """Return the use of slots by batch items in the log of a day.

    The mean time of an item is taken from the seconds after ``until_s``, in which no online request
    interrupts items, if any item was completed there; else from the whole day.

    :param lines: output of ``fleetbench run --log all``; lines of other formats are skipped.
    :param until_s: end of the traffic of online requests, in seconds of the day.
    """
    last: dict[str, float] = {}
    slot_s = {False: 0.0, True: 0.0}  # by whether the time is after ``until_s``
    completed = {False: 0, True: 0}
    for line in map(parse_line, lines):
        if line is None:
            continue
        is_after = line.at_s > until_s
        if line.event == "results_listed":
            completed[is_after] += int(line.fields["results"])
        elif line.event == "batch_use":
            interval_s = line.at_s - last.get(line.node, line.at_s)
            last[line.node] = line.at_s
            if interval_s <= MAX_LINE_INTERVAL_S:
                slot_s[is_after] += interval_s * int(line.fields["running"])
    if completed[True]:
        item_slot_s = slot_s[True] / completed[True]
    else:
        item_slot_s = slot_s[False] / completed[False] if completed[False] else 0.0
    return BatchUse(slot_s[False], completed[False], item_slot_s)
