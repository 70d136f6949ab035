"""Stand-in for a model server that some requests crash."""

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.endless_target import EndlessTarget

CLOCK = SystemClock()
DEFAULT_DOWN_MS = 2_000.0
DEFAULT_BEGIN_MS = 20.0


class CrashMode(Enum):
    """What clients notice of a crash."""

    RESET = auto()  # connections are reset, and new ones are refused
    SILENT = auto()  # connections stay open and new ones are accepted, but nothing is sent


class Crash(Struct, frozen=True):
    """A crash of a target.

    :param body: body of the request that caused it.
    :param at_ms: monotonic time.
    :param part: id of the part of its prompt that caused it; empty if the whole request did.
    """

    body: bytes
    at_ms: float
    part: str = ""


class CrashingTarget(EndlessTarget):
    """A stream target that crashes when it begins to run a request with certain content.

    It serves again some time after each crash; all connections have been reset then. It keeps its
    id and its address.

    :param crash_mode: what clients notice of a crash.
    :param begin_ms: time from the arrival of a request until it crashes the target.
    :param down_ms: time from a crash until the target serves again.
    :param events_before_crash: number of events that a run sends before it crashes the target.
    :ivar cold_ms: time after a crash in which the target is slow.
    :ivar cold_factor: factor of the pauses between events in that time.
    :ivar on_restart: called on the target's thread each time it serves again after a crash.
    :ivar crashing_bodies: bodies of the requests that crash the target.
    :ivar crashing_parts: ids of parts of prompts that crash the target, unless they are the last.
    :ivar part_arrivals_ms: monotonic times at which requests with such a part arrived, by the part.
    :ivar crashes: the crashes so far.
    """

    def __init__(
        self,
        target_id: str,
        crash_mode: CrashMode = CrashMode.RESET,
        down_ms: float = DEFAULT_DOWN_MS,
        begin_ms: float = DEFAULT_BEGIN_MS,
        events_before_crash: int = 0,
    ) -> None:
        super().__init__(target_id)
        self.crash_mode = crash_mode
        self.begin_ms = begin_ms
        self.down_ms = down_ms
        self.events_before_crash = events_before_crash
        self.cold_ms = 0.0
        self.cold_factor = 1.0
        self._cold_until_ms = 0.0
        self.on_restart: Callable[[], None] = lambda: None
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: set[str] = set()
        self.part_arrivals_ms: dict[str, list[float]] = {}
        self.crashes: list[Crash] = []
        self._is_down = False
        self._responsive = asyncio.Event()
        self._responsive.set()

    async def _before_output(self) -> None:
        await self._responsive.wait()

    async def _answer(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        part = self._crashing_part(headers)
        is_crashing = bool(part) or body in self.crashing_bodies
        if part and headers.get("expect-instance") == self.target_id:
            self.part_arrivals_ms.setdefault(part, []).append(CLOCK.monotonic_ms())
        if is_crashing:
            await asyncio.sleep(self.begin_ms / MS_PER_S)
        if self._is_down:
            raise ConnectionResetError("the target has crashed")
        if is_crashing:
            await self._send_first_events(headers, writer)
            self.crashes.append(Crash(body, CLOCK.monotonic_ms(), part))
            self._crash()
            await self._responsive.wait()
            raise ConnectionResetError("the target has crashed")
        await super()._answer(headers, body, writer)

    def _event_pause_ms(self) -> float:
        is_cold = CLOCK.monotonic_ms() < self._cold_until_ms
        return self.event_interval_ms * (self.cold_factor if is_cold else 1.0)

    def _crashing_part(self, headers: dict[str, str]) -> str:
        """Return the first part of the prompt that crashes the target; empty if none does."""
        entries = headers.get(WIRE_NAMES.prompt_parts.lower(), "").split(",")
        parts = [entry.partition(":")[0] for entry in entries]
        return next((part for part in parts[:-1] if part in self.crashing_parts), "")

    async def _send_first_events(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if not self.events_before_crash:
            return
        run = self._begin_run(headers.get("attempt-id", ""), headers, writer)
        for number in range(run.first_event, run.first_event + self.events_before_crash):
            await asyncio.sleep(self.event_interval_ms / MS_PER_S)
            self._send_event(run, number, writer)
        # Bytes that are still queued are lost when the connection is reset.
        await asyncio.sleep(self.event_interval_ms / MS_PER_S)

    def _crash(self) -> None:
        self._is_down = True
        if self.crash_mode is CrashMode.RESET:
            self._server.close()
            self._reset_connections()
        else:
            self._responsive.clear()
        asyncio.get_running_loop().call_later(
            self.down_ms / MS_PER_S, lambda: asyncio.ensure_future(self._restart())
        )

    async def _restart(self) -> None:
        self._is_down = False
        self._cold_until_ms = CLOCK.monotonic_ms() + self.cold_ms
        self.born_ms += 1
        if self.crash_mode is CrashMode.RESET:
            await self._listen()
        else:
            self._reset_connections()
            self._responsive.set()
        self.on_restart()
