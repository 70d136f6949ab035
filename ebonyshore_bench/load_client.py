"""Sends the online traffic and measures what its callers see."""

from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from threading import Event, Lock

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from ebonyshore.frame.clock import Clock
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
    """Percentiles of a duration, in ms."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class LatencyHistogram:
    """A histogram of durations; safe to use from any thread."""

    __slots__ = ("_histogram", "_lock")

    def __init__(self) -> None:
        self._lock = Lock()
        self._histogram = HdrHistogram(1, MAX_TRACKABLE_US, SIGNIFICANT_DIGITS)

    def record_ms(self, duration_ms: float) -> None:
        """Add a duration, with a resolution of one microsecond."""
        with self._lock:
            self._histogram.record_value(max(1, int(duration_ms * US_PER_MS)))

    def percentiles(self) -> Percentiles:
        """Return the percentiles of what was recorded."""
        with self._lock:
            values = [self._histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES]
            return Percentiles(self._histogram.get_total_count(), *values)


@dataclass(slots=True)
class OnlineResult:
    """What the callers of one run saw.

    :param first_token: from the planned time of arrival to the first token.
    :param token_interval: between two tokens of one answer.
    :param send_lag: from the planned time of arrival to the connect; the generator's own lag.
    :param wake_lag: how late a thread of the generator woke from a sleep.
    """

    first_token: LatencyHistogram = field(default_factory=LatencyHistogram)
    token_interval: LatencyHistogram = field(default_factory=LatencyHistogram)
    send_lag: LatencyHistogram = field(default_factory=LatencyHistogram)
    wake_lag: LatencyHistogram = field(default_factory=LatencyHistogram)
    answered: int = 0
    failures: list[str] = field(default_factory=list)
    burst_starts_ms: dict[int, float] = field(default_factory=dict)


class LoadClient:
    """Sends arrivals at their times, whatever the answers do (open loop).

    :param ports: of the entries, used in turn.
    """

    def __init__(self, ports: list[int], clock: Clock) -> None:
        self._ports = ports
        self._clock = clock
        self._lock = Lock()
        self.result = OnlineResult()

    def run(self, arrivals: list[Arrival], start_ms: float) -> OnlineResult:
        """Send all arrivals and wait for all answers.

        :param start_ms: monotonic time of arrival 0.
        """
        is_done = Event()
        with ThreadPoolExecutor(CLIENT_THREADS) as executor:
            probe = executor.submit(self._probe_wake_lag, is_done)
            running = self._submit_all(executor, arrivals, start_ms)
            for future in running:
                future.result()
            is_done.set()
            probe.result()
        return self.result

    def _submit_all(
        self, executor: ThreadPoolExecutor, arrivals: list[Arrival], start_ms: float
    ) -> list[Future[None]]:
        running = []
        for number, arrival in enumerate(arrivals):
            due_ms = start_ms + arrival.at_ms
            self._clock.sleep_ms(due_ms - self._clock.monotonic_ms())
            if arrival.burst >= 0:
                self.result.burst_starts_ms.setdefault(arrival.burst, self._clock.monotonic_ms())
            port = self._ports[number % len(self._ports)]
            running.append(executor.submit(self._send, port, arrival, due_ms))
        return running

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
            self._record_failure(f"{len(times_ms)} of {arrival.tokens} tokens")
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
    """Send a streaming request; return the monotonic time of each token.

    :raises HTTPException: if the answer is no complete stream.
    """
    connection = HTTPConnection("127.0.0.1", port, timeout=REQUEST_TIMEOUT_S)
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {caller}"}
    times_ms = []
    try:
        connection.request("POST", "/v1/chat/completions", body, headers)
        response = connection.getresponse()
        other = b""
        while line := response.readline():
            if TOKEN_MARKER in line:
                times_ms.append(clock.monotonic_ms())
            elif not line.isspace():
                other = line
    finally:
        connection.close()
    if other.strip() != FINAL_LINE:
        raise HTTPException(f"status {response.status}, last line {other!r}")
    return times_ms


def wait_until_ready(ports: list[int], models: tuple[str, ...], clock: Clock) -> None:
    """Repeat a short request through each entry until it is answered.

    :raises HTTPException: if one is not answered in time.
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
