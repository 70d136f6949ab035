"""Finds targets whose streams have stopped, from the runs in progress. No I/O.

Load pattern: a target stops answering while its entry stays in the list for seconds. Streams that
are in progress there show it before any time-out.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.target import Target


class Silence(Struct, frozen=True):
    """How long none of this process's streams of one kind at a target has gone on."""

    target: Target
    is_batch: bool
    silence_ms: float


class SilenceScan:
    """Finds silent targets, unless this process itself may have been paused.

    After a pause all streams look silent, until what has arrived is read.

    :param max_interval_ms: time between two scans after which this process counts as paused.
    """

    __slots__ = ("_max_interval_ms", "_scanned_ms")

    def __init__(self, max_interval_ms: float) -> None:
        self._max_interval_ms = max_interval_ms
        self._scanned_ms = float("-inf")

    def scan(
        self, runs_by_target: Mapping[Target, Iterable[ContentRun]], now_ms: float
    ) -> list[Silence]:
        """Return the time since the last event of each target and kind of stream."""
        was_paused = now_ms - self._scanned_ms > self._max_interval_ms
        self._scanned_ms = now_ms
        if was_paused:
            return []
        last_ms: dict[tuple[Target, bool], float] = {}
        for target, runs in runs_by_target.items():
            for run in runs:
                key = (target, run.is_item)
                if run.active_ms is not None:
                    last_ms[key] = max(run.active_ms, last_ms.get(key, float("-inf")))
        return [
            Silence(target, is_item, now_ms - at_ms) for (target, is_item), at_ms in last_ms.items()
        ]
