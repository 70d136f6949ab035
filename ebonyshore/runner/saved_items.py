"""What is stored of unfinished items, so that the next owner of their job can go on with them.

Load pattern: bursts of online requests interrupt all items of a runner at once, and runners are
lost or replaced in between. Pure functions; :mod:`ebonyshore.runner.item_saver` does the writes.
"""

from collections.abc import Iterable

from msgspec import Struct

from ebonyshore.frame.encoded_size import json_size, take_fitting
from ebonyshore.host.target import TargetGroup
from ebonyshore.runner.job_progress import Item, ItemState, JobProgress
from ebonyshore.store.value_limit import ValueLimit

MAX_SAVED_BYTES = ValueLimit().batch_bytes
# Less work is repeated rather than stored.
MIN_WAITING_WORK_MS = 1_000.0
MIN_RUNNING_WORK_MS = 10_000.0
# All runners together; a design limit of the store is 300 writes/s.
MAX_SAVES_PER_S = 30.0


class SavedItem(Struct, frozen=True, array_like=True):
    """The events of an unfinished item.

    :param index: index of the item in its job.
    :param content: digest of the item's request.
    :param last_event_id: id of the last event.
    :param data: data of the events, joined by line feeds.
    :param origin: the targets that sent the events.
    :param slot_ms: time for which the item has occupied a slot.
    """

    index: int
    content: str
    last_event_id: int
    data: str
    origin: TargetGroup
    slot_ms: float


class SavedItems(Struct, frozen=True):
    """The unfinished items of a job.

    :param submitted_ms: wall time at which the job was received, which distinguishes it from
        another job with the same id.
    """

    submitted_ms: int
    items: tuple[SavedItem, ...]


def unsaved_work_ms(progress: JobProgress, now_ms: float, is_urgent: bool = False) -> float:
    """Return the slot time that would be lost with this runner and is worth a write.

    :param now_ms: current time of the event loop.
    :param is_urgent: whether all work is worth it, because this runner is about to stop.
    """
    total_ms = 0.0
    for item in _items_with_events(progress):
        least_ms = MIN_RUNNING_WORK_MS if item.state is ItemState.RUNNING else MIN_WAITING_WORK_MS
        work_ms = item.slot_ms(now_ms) - item.saved_slot_ms
        if work_ms >= least_ms or (is_urgent and work_ms > 0.0):
            total_ms += work_ms
    return total_ms


def save_interval_ms(runners: int) -> float:
    """Return the time between two writes of one runner.

    :param runners: number of live runners.
    """
    return 1_000.0 * runners / MAX_SAVES_PER_S


def make_saved_items(
    progress: JobProgress, now_ms: float, limit_bytes: int = MAX_SAVED_BYTES
) -> SavedItems:
    """Return what to store of a job: its unfinished items that fit, first those with the most work.

    :param now_ms: current time of the event loop.
    :param limit_bytes: largest size of all items in JSON.
    """
    items = sorted(_items_with_events(progress), key=lambda found: -found.slot_ms(now_ms))
    sized = [(item, _saved_bytes(progress, item, now_ms)) for item in items]
    saved = [
        _save(progress, item, now_ms, "\n".join(item.data))
        for item in take_fitting(sized, limit_bytes)
    ]
    return SavedItems(progress.record.submitted_ms, tuple(saved))


def _saved_bytes(progress: JobProgress, item: Item, now_ms: float) -> int:
    return json_size(_save(progress, item, now_ms, "")) + item.data_bytes + 1


def _save(progress: JobProgress, item: Item, now_ms: float, data: str) -> SavedItem:
    return SavedItem(
        item.index,
        progress.content_digest(item),
        item.last_event_id,
        data,
        item.origin,
        item.slot_ms(now_ms),
    )


def restore_items(progress: JobProgress, saved: SavedItems) -> int:
    """Let waiting items that have no events go on after the stored ones.

    Stored items of another job with the same id, or of other content, are ignored.

    :return: the number of items that were restored.
    """
    if saved.submitted_ms != progress.record.submitted_ms:
        return 0
    return sum(_restore(progress, found) for found in saved.items)


def _restore(progress: JobProgress, saved: SavedItem) -> bool:
    if not 0 <= saved.index < len(progress.items):
        return False
    item = progress.items[saved.index]
    if item.state is not ItemState.WAITING or item.last_event_id is not None:
        return False
    if progress.content_digest(item) != saved.content:
        return False
    item.restore_events(saved.last_event_id, saved.data, saved.origin, saved.slot_ms)
    return True


def _items_with_events(progress: JobProgress) -> Iterable[Item]:
    if progress.record.is_cancelled:
        return ()
    return (
        item
        for item in progress.items
        if item.last_event_id is not None and item.state in (ItemState.WAITING, ItemState.RUNNING)
    )
