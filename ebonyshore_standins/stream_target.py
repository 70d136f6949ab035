"""Stand-in for a model server of the platform.

It streams events, resumes streams, admits requests in order of arrival and refuses them when its
queue is full. It records every run, so that tests can check which requests reached it. The response
to a request depends only on the id and the length of its stream, so that tests can check it.
"""

import asyncio
import json
from collections.abc import Iterable

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.loop_thread import LoopThread

CLOCK = SystemClock()
DEFAULT_EVENT_COUNT = 6
PADDING_HEADER = "Event-Padding"  # bytes that are added to each event of a stream
TEXT_HEADER = "Event-Text"  # characters of three bytes that are added to the data of each event
TEXT_CHARACTER = "સ"
MAX_QUEUED_REQUESTS = 24


class RunRecord(Struct):
    """One run of a request.

    :param first_event: number of the first event of the run, whether sent or not.
    :param last_event: number of the last event sent; ``first_event - 1`` if none was sent.
    :param is_complete: whether the run sent its last event.
    :param started_ms: monotonic time at the start of the run; 0 for a request that was answered
        with status 500.
    :param ended_ms: monotonic time at which the run was complete; 0 if it was not.
    :param received_ms: monotonic time at which the request was received.
    :param remaining_ms: time that the request gave the target, in milliseconds.
    :param software_version: version of the target.
    :param resumed_request: id of the attempt whose stream the request continues, as it names it.
    :param headers: header fields as received, with their names in lower case.
    :param text: what is added to the data of each event.
    """

    request_id: str
    first_event: int
    last_event: int
    is_complete: bool = False
    started_ms: float = 0.0
    ended_ms: float = 0.0
    received_ms: float = 0.0
    remaining_ms: float = 0.0
    software_version: str = ""
    resumed_request: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    text: str = ""

    @property
    def stream_id(self) -> str:
        """Id of the attempt that began the stream; the same in all runs of the stream."""
        return self.resumed_request or self.request_id


def mixed_streams(runs: Iterable[RunRecord]) -> set[str]:
    """Return the ids of streams and items that went on at another software version.

    A run that continues a stream needs an earlier run of its version that sent the events before.

    :param runs: the runs of all targets.
    """
    sent: dict[tuple[str, str], int] = {}  # last event by stream and version
    mixed: set[str] = set()
    for run in sorted(runs, key=lambda run: run.started_ms):
        key = (run.stream_id, run.software_version)
        if run.first_event > sent.get(key, 0) + 1 and run.last_event >= run.first_event:
            mixed.add(run.stream_id)
        sent[key] = max(sent.get(key, 0), run.last_event)
    return mixed


def expected_data(request_id: str, events: int, text_length: int = 0) -> str:
    """Return the data of all events of a request, joined by line feeds.

    :param events: number of events.
    :param text_length: value of the header :data:`TEXT_HEADER`.
    """
    text = TEXT_CHARACTER * text_length
    return "\n".join(f"{request_id}.{number}{text}" for number in range(1, events + 1))


class StreamTarget:
    """One server on loopback, which runs on its own thread.

    :param target_id: id of the target in the list of targets.
    :param capacity: maximum number of requests that run at the same time.
    :param event_interval_ms: time between two events of a stream.
    :param port: port on 127.0.0.1; 0 chooses a free one.
    :ivar says_it_leaves: whether the target says in all its answers that it leaves.
    :ivar limit_per_s: requests a second that the target says it takes; ``None`` if it says nothing.
    :ivar arrivals_ms: monotonic times at which requests arrived, those refused included.
    :ivar software_version: version that the target has in the list.
    :ivar born_ms: start of the target as it reports it, in Unix milliseconds.
    :ivar runs: the runs of all requests, in the order of their starts.
    :ivar max_active: highest number of requests that ran at the same time so far.
    :ivar failing_ids: ids of requests to answer with status 500; they count as runs.
    :ivar rejected_ids: ids of requests to answer with status 422, without a run.
    :ivar repeats_refusals: whether the target refuses every second request, and writes each refusal
        once more on its connection before the next answer there.
    :ivar fails_resumed: whether the target answers requests that continue a stream with status 500.
    :ivar repeated_refusals: number of refusals that were written once more.
    """

    def __init__(
        self, target_id: str, capacity: int = 8, event_interval_ms: float = 5.0, port: int = 0
    ) -> None:
        self.target_id = target_id
        self.capacity = capacity
        self.event_interval_ms = event_interval_ms
        self.says_it_leaves = False
        self.limit_per_s: float | None = None
        self.arrivals_ms: list[float] = []
        self.software_version = "v1"
        self.born_ms = 1
        self.runs: list[RunRecord] = []
        self.max_active = 0
        self.failing_ids: set[str] = set()
        self.rejected_ids: set[str] = set()
        self.repeats_refusals = False
        self.fails_resumed = False
        self.repeated_refusals = 0
        self._last_refusals: dict[asyncio.StreamWriter, str] = {}  # ids by connection
        self._port = port
        self._active_requests = 0
        self._queued_requests = 0
        self._slots = asyncio.Semaphore(capacity)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._received_ms: dict[asyncio.StreamWriter, float] = {}  # of the last request
        self._received_fields: dict[asyncio.StreamWriter, tuple[tuple[str, str], ...]] = {}
        self._thread = LoopThread()

    @property
    def address(self) -> str:
        """``IP:PORT`` of the server."""
        return f"127.0.0.1:{self._port}"

    def target_entry(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return the object that describes the target in the list of targets.

        :param service: name of the service that the target belongs to.
        :param state: ``ready`` or ``draining``.
        """
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "fd-a",
            "Version": self.software_version,
            "Capacity": self.capacity,
            "State": state,
            "Sequence": 1,
            "born": self.born_ms,
        }

    def start(self) -> None:
        """Start serving; if the port was 0, :attr:`address` is known afterwards."""
        self._thread.start(self._listen())

    def stop(self) -> None:
        """Stop serving and close all connections."""
        self._thread.stop()

    def break_connections(self) -> None:
        """Reset all connections; the target serves on."""
        self._thread.call_soon(self._reset_connections)

    def restart(self) -> None:
        """Become a new incarnation, which does not leave; all connections are reset."""
        self.says_it_leaves = False
        self.born_ms += 1
        self.break_connections()

    def complete_runs(self, request_id: str) -> int:
        """Return the number of complete runs of a request."""
        return sum(run.is_complete for run in self.runs if run.request_id == request_id)

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = _parse_fields(head)
                headers = dict(fields)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                self._received_ms[writer] = CLOCK.monotonic_ms()
                await self._before_output()
                if head.startswith(f"GET {WIRE_NAMES.report_path} "):
                    self._send_report(writer)
                else:
                    self.arrivals_ms.append(self._received_ms[writer])
                    self._received_fields[writer] = fields
                    await self._answer(headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()  # the client has disconnected, or the server stops
        finally:
            self._writers.discard(writer)
            self._received_ms.pop(writer, None)
            self._received_fields.pop(writer, None)
            self._last_refusals.pop(writer, None)

    async def _before_output(self) -> None:
        """Wait until the target may send; a subclass can make it unresponsive."""

    def _send_report(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps({"Queued": self._queued_requests, "born": self.born_ms})
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{self._state_lines()}"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )

    async def _answer(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get("attempt-id", "")
        expected_instance = headers.get("expect-instance", self.target_id)
        self._repeat_refusal(writer)
        if expected_instance != self.target_id:
            self._send_empty_response(writer, 421, request_id, [f"Instance-Id: {self.target_id}"])
        elif self._queued_requests >= MAX_QUEUED_REQUESTS or self._refuses_next():
            self._send_refusal(writer, request_id)
            self._last_refusals[writer] = request_id
        elif self.fails_resumed and "last-event-id" in headers:
            self._send_empty_response(writer, 500, request_id, [])
        elif request_id in self.rejected_ids:
            self._send_empty_response(writer, 422, request_id, [])
        elif request_id in self.failing_ids:
            self.runs.append(RunRecord(request_id, 1, 0))
            self._send_empty_response(writer, 500, request_id, [])
        else:
            await self._admit(request_id, headers, writer)

    async def _admit(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._queued_requests += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued_requests -= 1
        self._active_requests += 1
        self.max_active = max(self.max_active, self._active_requests)
        try:
            await self._stream(request_id, headers, writer)
        finally:
            self._active_requests -= 1
            self._slots.release()

    async def _stream(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        event_count = int(headers.get("length-hint", DEFAULT_EVENT_COUNT))
        padding_bytes = int(headers.get(PADDING_HEADER.lower(), 0))
        run = self._begin_run(request_id, headers, writer)
        for number in range(run.first_event, event_count + 1):
            await asyncio.sleep(self._event_pause_ms() / MS_PER_S)
            await self._before_output()
            if writer.is_closing():
                raise ConnectionResetError("the client has disconnected")
            self._send_event(run, number, writer, padding_bytes)
            if padding_bytes:
                await writer.drain()
        writer.write(b"0\r\n\r\n")
        run.ended_ms = CLOCK.monotonic_ms()
        run.is_complete = True

    def _event_pause_ms(self) -> float:
        """Return the time until the next event; a subclass can vary it."""
        return self.event_interval_ms

    def _begin_run(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> RunRecord:
        first_event = int(headers.get("last-event-id", "0")) + 1
        run = RunRecord(
            request_id,
            first_event,
            first_event - 1,
            started_ms=CLOCK.monotonic_ms(),
            received_ms=self._received_ms[writer],
            remaining_ms=float(headers.get("deadline-ms", "inf")),
            software_version=self.software_version,
            resumed_request=headers.get("resumes", ""),
            headers=self._received_fields[writer],
            text=TEXT_CHARACTER * int(headers.get(TEXT_HEADER.lower(), 0)),
        )
        self.runs.append(run)
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {request_id}\r\n"
            f"{self._state_lines()}"
            f"Server-Signature: {self.target_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode("latin-1")
        )
        return run

    def _send_empty_response(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str | None,
        extra_headers: list[str],
    ) -> None:
        headers = ["Content-Length: 0", *extra_headers]
        if request_id is not None:
            headers.append(f"Attempt-Id: {request_id}")
        head = "\r\n".join([f"HTTP/1.1 {status} X", *headers, ""])
        writer.write(f"{head}{self._state_lines()}\r\n".encode("latin-1"))

    def _send_refusal(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        self._send_empty_response(writer, 503, request_id, ["Not-Executed: 1"])

    def _refuses_next(self) -> bool:
        return self.repeats_refusals and len(self.arrivals_ms) % 2 == 1

    def _repeat_refusal(self, writer: asyncio.StreamWriter) -> None:
        """Write the last refusal on a connection once more."""
        request_id = self._last_refusals.pop(writer, None)
        if self.repeats_refusals and request_id is not None:
            self._send_refusal(writer, request_id)
            self.repeated_refusals += 1

    def _state_lines(self) -> str:
        """Return the header lines with what the target says of itself in all answers."""
        lines = f"{WIRE_NAMES.leaving}: 1\r\n" if self.says_it_leaves else ""
        if self.limit_per_s is not None:
            lines += f"{WIRE_NAMES.rate_limit}: {self.limit_per_s}\r\n"
        return lines

    def _send_event(
        self,
        run: RunRecord,
        number: int,
        writer: asyncio.StreamWriter,
        padding_bytes: int = 0,
    ) -> None:
        padding = f": {'x' * padding_bytes}\n" if padding_bytes else ""  # a comment line
        # Heads are read as Latin-1, so that an id is sent back with the bytes that were received.
        beginning = f"id: {number}\n{padding}data: {run.stream_id}.{number}".encode("latin-1")
        event = beginning + run.text.encode() + b"\n\n"
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        run.last_event = number


def _parse_fields(head: str) -> tuple[tuple[str, str], ...]:
    fields = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return tuple((name.lower(), value.strip()) for name, _, value in fields)
