"""Watches the memory of a process and lets its server end requests before the process is ended."""

import os
from asyncio import sleep
from pathlib import Path

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.http.memory_budget import HIGH_RESIDENT_SHARE
from ebonyshore.http.server import HttpServer

WATCH_INTERVAL_MS = 250.0
STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of the file, in pages


class MemoryGuard:
    """Looks at the memory from time to time.

    What the server counts decides which requests end. Memory that nothing counts is seen as
    resident memory; while that is high, less may be held.

    :param server: the server whose requests are ended.
    :param memory_bytes: limit of the memory of the process; ``None`` if it has none.
    :param metrics: gets the gauges ``held_bytes`` and ``resident_bytes``, and counts
        ``requests_ended_for_memory``, ``requests_refused_for_memory`` and
        ``connections_ended_for_new_ones``.
    """

    def __init__(
        self, server: HttpServer, memory_bytes: int | None, log: EventLog, metrics: Metrics
    ) -> None:
        self._server = server
        self._memory_bytes = memory_bytes
        self._log = log
        self._metrics = metrics
        server.memory.on_much_held = lambda: self._set_limit(resident_bytes())
        server.on_request_ended = self._note_ended
        server.on_request_refused = lambda: metrics.count("requests_refused_for_memory")
        server.on_connection_ended = lambda: metrics.count("connections_ended_for_new_ones")

    async def run(self) -> None:
        """Watch the memory until the task is cancelled."""
        while True:
            self.check(resident_bytes())
            await sleep(WATCH_INTERVAL_MS / MS_PER_S)

    def check(self, used_bytes: int) -> None:
        """Set the limit of the server and let it end requests.

        :param used_bytes: resident memory of the process.
        """
        self._set_limit(used_bytes)
        memory = self._server.memory
        self._metrics.set_gauge("resident_bytes", used_bytes)
        self._metrics.set_gauge("held_bytes", memory.total_bytes(now_ms()))
        self._server.check_memory()

    def _set_limit(self, used_bytes: int) -> None:
        """Halve the limit of the server while the process uses much memory."""
        if self._memory_bytes is None:
            return
        memory = self._server.memory
        is_high = used_bytes > self._memory_bytes * HIGH_RESIDENT_SHARE
        if is_high != memory.is_resident_high:
            self._log.event("memory_limit_changed", resident=used_bytes, is_high=is_high)
        memory.is_resident_high = is_high

    def _note_ended(self, held_bytes: int) -> None:
        self._metrics.count("requests_ended_for_memory")
        self._log.event("request_ended_for_memory", held=held_bytes)


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        pages = STATM_PATH.read_text(encoding="ascii").split()[RESIDENT_FIELD]
    except OSError:
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
