"""Open-loop load generator for online requests; measures latency as callers see it."""

from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPException
from threading import Event, Lock

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore_bench.traffic import Arrival, chat_body

PERCENTILES = (50, 95, 99)
US_PER_MS = 1000
MAX_TRACKABLE_US = 120_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_S = 60
CLIENT_THREADS = 96
WAKE_PROBE_INTERVAL_MS = 5.0
READY_TIMEOUT_MS = 10_000
READY_POLL_INTERVAL_MS = 50
TOKEN_MARKER = b'"content"'
FINAL_LINE = b"data: [DONE]"


class Percentiles(Struct, frozen=True):
    """Percentiles of recorded durations.

    :param count: number of recorded durations.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class LatencyHistogram:
    """A histogram of durations up to 120 s; thread-safe."""

    __slots__ = ("_histogram", "_lock")

    def __init__(self) -> None:
        self._lock = Lock()
        self._histogram = HdrHistogram(1, MAX_TRACKABLE_US, SIGNIFICANT_DIGITS)

    def record_ms(self, duration_ms: float) -> None:
        """Record a duration with a resolution of one microsecond."""
        with self._lock:
            self._histogram.record_value(max(1, int(duration_ms * US_PER_MS)))

    def percentiles(self) -> Percentiles:
        """Return the percentiles of the recorded durations."""
        with self._lock:
            values = [self._histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES]
            return Percentiles(self._histogram.get_total_count(), *values)


@dataclass(slots=True)
class OnlineResult:
    """Measurements of one run of the load generator.

    :param first_token: time from the planned arrival to the first token.
    :param token_interval: time between two consecutive tokens of one answer.
    :param send_lag: time from the planned arrival until the request is sent; the delay caused by
        the generator itself.
    :param wake_lag: time by which a thread of the generator woke too late from a sleep.
    :param answered: number of requests that were answered in full.
    :param failures: a description of each failed request.
    :param burst_starts_ms: monotonic time at which the first request of each burst was submitted,
        by burst number.
    """

    first_token: LatencyHistogram = field(default_factory=LatencyHistogram)
    token_interval: LatencyHistogram = field(default_factory=LatencyHistogram)
    send_lag: LatencyHistogram = field(default_factory=LatencyHistogram)
    wake_lag: LatencyHistogram = field(default_factory=LatencyHistogram)
    answered: int = 0
    failures: list[str] = field(default_factory=list)
    burst_starts_ms: dict[int, float] = field(default_factory=dict)


class LoadClient:
    """Sends requests at their planned times, independently of the answers (open loop).

    :param ports: HTTP ports of the entries, used in turn.
    :param clock: source of the time.
    """

    def __init__(self, ports: list[int], clock: Clock) -> None:
        self._ports = ports
        self._clock = clock
        self._lock = Lock()
        self.result = OnlineResult()

    def run(self, arrivals: list[Arrival], start_ms: float) -> OnlineResult:
        """Send all requests and wait for all answers.

        :param arrivals: the requests in order of their times.
        :param start_ms: monotonic time that corresponds to the arrival time 0.
        :return: the measurements.
        """
        is_done = Event()
        with ThreadPoolExecutor(CLIENT_THREADS) as executor:
            lag_probe = executor.submit(self._probe_wake_lag, is_done)
            futures = self._submit_all(executor, arrivals, start_ms)
            for future in futures:
                future.result()
            is_done.set()
            lag_probe.result()
        return self.result

    def _submit_all(
        self, executor: ThreadPoolExecutor, arrivals: list[Arrival], start_ms: float
    ) -> list[Future[None]]:
        futures = []
        for number, arrival in enumerate(arrivals):
            due_ms = start_ms + arrival.at_ms
            self._clock.sleep_ms(due_ms - self._clock.monotonic_ms())
            if arrival.burst >= 0:
                self.result.burst_starts_ms.setdefault(arrival.burst, self._clock.monotonic_ms())
            port = self._ports[number % len(self._ports)]
            futures.append(executor.submit(self._send, port, arrival, due_ms))
        return futures

    def _probe_wake_lag(self, is_done: Event) -> None:
        while not is_done.is_set():
            due_ms = self._clock.monotonic_ms() + WAKE_PROBE_INTERVAL_MS
            self._clock.sleep_ms(WAKE_PROBE_INTERVAL_MS)
            self.result.wake_lag.record_ms(self._clock.monotonic_ms() - due_ms)

    def _send(self, port: int, arrival: Arrival, due_ms: float) -> None:
        self.result.send_lag.record_ms(self._clock.monotonic_ms() - due_ms)
        try:
            times_ms = stream_token_times(port, arrival.body(), self._clock)
        except (OSError, HTTPException) as error:
            self._record_failure(repr(error))
            return
        if len(times_ms) != arrival.tokens:
            self._record_failure(f"answer has {len(times_ms)} tokens instead of {arrival.tokens}")
            return
        self.result.first_token.record_ms(times_ms[0] - due_ms)
        for earlier_ms, later_ms in zip(times_ms, times_ms[1:], strict=False):
            self.result.token_interval.record_ms(later_ms - earlier_ms)
        with self._lock:
            self.result.answered += 1

    def _record_failure(self, detail: str) -> None:
        with self._lock:
            self.result.failures.append(detail)


def stream_token_times(
    port: int, body: bytes, clock: Clock, caller: str = "bench-caller"
) -> list[float]:
    """Send a streaming chat request to an entry or engine on loopback and read its answer.

    :param port: HTTP port of the server.
    :param body: body of the request.
    :param clock: source of the time.
    :param caller: API key to send.
    :return: the monotonic time in ms at which each token arrived.
    :raises HTTPException: if the answer is not a complete event stream.
    :raises OSError: if the connection fails or the server is silent for 60 s.
    """
    connection = WholeResponseConnection("127.0.0.1", port, timeout=REQUEST_TIMEOUT_S)
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {caller}"}
    times_ms = []
    try:
        connection.request("POST", "/v1/chat/completions", body, headers)
        response = connection.getresponse()
        last_line = b""
        while line := response.readline():
            if TOKEN_MARKER in line:
                times_ms.append(clock.monotonic_ms())
            elif not line.isspace():
                last_line = line
    finally:
        connection.close()
    if last_line.strip() != FINAL_LINE:
        raise HTTPException(f"incomplete stream: status {response.status}, last line {last_line!r}")
    return times_ms


def wait_until_ready(ports: list[int], models: tuple[str, ...], clock: Clock) -> None:
    """Wait until each entry answers requests for each model; waits 10 s at most in total.

    :param ports: HTTP ports of the entries.
    :param models: names of the models to request.
    :param clock: source of the time.
    :raises HTTPException: if an entry does not answer a model in time.
    """
    end_ms = clock.monotonic_ms() + READY_TIMEOUT_MS
    for port in ports:
        for model in models:
            body = chat_body(model, "are you there", 1, is_stream=True)
            while not _is_answered(port, body, clock, clock.monotonic_ms() > end_ms):
                clock.sleep_ms(READY_POLL_INTERVAL_MS)


def _is_answered(port: int, body: bytes, clock: Clock, is_last: bool) -> bool:
    try:
        return bool(stream_token_times(port, body, clock))
    except HTTPException:
        if is_last:
            raise
        return False
