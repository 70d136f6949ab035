"""A stand-in for a model server of the platform: streams, resumes, sheds, admits in order.

It records every run, so that a test can tell what reached it. The text of a request is known from
its id, so that whoever has the answer can be checked.
"""

import asyncio

from msgspec import Struct

from ebonyshore.frame.clock import SystemClock
from ebonyshore_standins.loop_thread import LoopThread

CLOCK = SystemClock()
DEFAULT_EVENT_COUNT = 6
MAX_QUEUED_REQUESTS = 24


class RunRecord(Struct):
    """One run of a request.

    :param first_event: that it sent or would have sent.
    :param last_event: that it sent.
    :param started_ms: monotonic time of its start.
    """

    request_id: str
    first_event: int
    last_event: int
    is_complete: bool = False
    started_ms: float = 0.0


def expected_data(request_id: str, events: int) -> str:
    """Return the data of all events of a request, joined by line feeds."""
    return "\n".join(f"{request_id}.{number}" for number in range(1, events + 1))


class StreamTarget:
    """One server on loopback, on a thread of its own.

    :param target_id: its id in the list of targets.
    :param capacity: requests that run at the same time.
    :param event_interval_ms: time between two events.
    :param port: 0 for any.
    """

    def __init__(
        self, target_id: str, capacity: int = 8, event_interval_ms: float = 5.0, port: int = 0
    ) -> None:
        self.target_id = target_id
        self.capacity = capacity
        self.event_interval_ms = event_interval_ms
        self.runs: list[RunRecord] = []
        self.max_active = 0
        self.failing_ids: set[str] = set()
        self.rejected_ids: set[str] = set()
        self._port = port
        self._active = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(capacity)
        self._server: asyncio.Server | None = None
        self._thread = LoopThread()

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        return f"127.0.0.1:{self._port}"

    def target_entry(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return its entry in the list of targets."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "fd-a",
            "Version": "v1",
            "Capacity": self.capacity,
            "State": state,
            "Sequence": 1,
            "born": 1,
        }

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start(self._listen())

    def stop(self) -> None:
        """End the server and all its connections."""
        self._thread.stop()

    def complete_runs(self, request_id: str) -> int:
        """Return how many runs of a request came to its end."""
        return sum(run.is_complete for run in self.runs if run.request_id == request_id)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = _headers(head)
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()  # the caller has left, or the stand-in stops

    async def _answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request_id = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.target_id)
        if expected != self.target_id:
            _send(writer, 421, request_id, [f"Instance-Id: {self.target_id}"])
        elif self._queued >= MAX_QUEUED_REQUESTS:
            _send(writer, 503, request_id, ["Not-Executed: 1"])
        elif request_id in self.rejected_ids:
            _send(writer, 422, request_id, [])
        elif request_id in self.failing_ids:
            self.runs.append(RunRecord(request_id, 1, 0))
            _send(writer, 500, request_id, [])
        else:
            await self._admit(request_id, headers, writer)

    async def _admit(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._active += 1
        self.max_active = max(self.max_active, self._active)
        try:
            await self._stream(request_id, headers, writer)
        finally:
            self._active -= 1
            self._slots.release()

    async def _stream(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        last = int(headers.get("length-hint", DEFAULT_EVENT_COUNT))
        run = RunRecord(request_id, first, first - 1, started_ms=CLOCK.monotonic_ms())
        self.runs.append(run)
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {request_id}\r\n"
            f"Server-Signature: {self.target_id}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, last + 1):
            await asyncio.sleep(self.event_interval_ms / 1000)
            if writer.is_closing():
                raise ConnectionResetError("the caller has left")
            event = f"id: {number}\ndata: {request_id}.{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            run.last_event = number
        writer.write(b"0\r\n\r\n")
        run.is_complete = True


def _headers(head: str) -> dict[str, str]:
    pairs = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def _send(writer: asyncio.StreamWriter, status: int, request_id: str, lines: list[str]) -> None:
    fields = [f"Attempt-Id: {request_id}", "Content-Length: 0", *lines]
    writer.write("\r\n".join([f"HTTP/1.1 {status} X", *fields, "", ""]).encode())
