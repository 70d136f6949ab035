"""Callers that read large streams slowly, or stop reading for some seconds."""

from functools import partial
from random import Random
from socket import SO_RCVBUF, SOL_SOCKET
from threading import Event, Thread

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import CALL_TIMEOUT_S, SoakClients
from ebonyshore_standins.fleet_client import STREAM_DEADLINE_MS, stream_data
from ebonyshore_standins.fleet_config import ROUTE_HOST, SINGLE_ATTEMPT_PREFIX
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.platform_fleet import PlatformFleet
from ebonyshore_standins.stream_target import PADDING_HEADER

READERS_PER_ENTRY = 2
# A stream is larger than the buffers of the connections on its way.
SLOW_EVENTS = 100
PADDING_BYTES = 80_000
RECEIVE_BUFFER_BYTES = 32_768
PIECE_BYTES = 200_000
PIECE_PAUSE_MS = 100.0
MIN_STOP_MS = 1_000.0  # a pause of a reader that stops for some seconds
MAX_STOP_MS = 3_000.0
STREAM_PAUSE_S = (0.1, 0.5)  # between two streams of a reader
JOIN_TIMEOUT_S = 60.0


class SlowReaders:
    """Reads streams slowly on threads of its own until :meth:`stop`.

    :param clients: makes calls whose responses may be lost.
    :param checker: gets the streams that ended as complete.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        clients: SoakClients,
        checker: GuaranteeChecker,
        seed: int,
        clock: Clock,
    ) -> None:
        self._clients = clients
        self._checker = checker
        self._clock = clock
        self._is_stopped = Event()
        self._request_numbers = iter(range(1, 1 << 30))
        self._fleet = fleet
        self._seed = seed
        self._threads: list[Thread] = []

    def start(self) -> None:
        """Start the threads."""
        for number, entry in enumerate(self._fleet.entries * READERS_PER_ENTRY):
            random = Random(f"{self._seed}/slow/{number}")
            thread = Thread(target=self._run, args=(entry, random), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop reading and wait for the threads."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def _run(self, entry: FleetProcess, random: Random) -> None:
        while not self._is_stopped.wait(random.uniform(*STREAM_PAUSE_S)):
            pause_ms = random.choice([PIECE_PAUSE_MS, random.uniform(MIN_STOP_MS, MAX_STOP_MS)])
            request_id = f"once-slow-{next(self._request_numbers)}"
            body = self._clients.call_or_none(partial(self._read, entry, request_id, pause_ms))
            self._checker.count("slow_whole" if body else "slow_not_whole")
            if body:
                self._checker.check_stream(request_id, SLOW_EVENTS, stream_data(body))

    def _pause(self, pause_ms: float) -> None:
        if not self._is_stopped.is_set():
            self._clock.sleep_ms(pause_ms)

    def _read(self, entry: FleetProcess, request_id: str, pause_ms: float) -> bytes:
        """Read a stream with pauses; return nothing if the request was refused."""
        connection = WholeResponseConnection(entry.ip, entry.front_port, timeout=CALL_TIMEOUT_S)
        headers = {
            "Host": ROUTE_HOST,
            WIRE_NAMES.request_id: request_id,
            WIRE_NAMES.remaining_ms: str(STREAM_DEADLINE_MS),
            "Length-Hint": str(SLOW_EVENTS),
            PADDING_HEADER: str(PADDING_BYTES),
        }
        if entry.key is not None:
            headers["Authorization"] = f"Bearer {entry.key}"
        try:
            connection.connect()
            connection.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.request("POST", f"{SINGLE_ATTEMPT_PREFIX}x", b"slow", headers)
            response = connection.getresponse()
            if response.status != 200:
                return b""
            pieces = []
            while piece := response.read(PIECE_BYTES):
                pieces.append(piece)
                self._pause(pause_ms)
            return b"".join(pieces)
        finally:
            connection.close()
