"""Measures the latency, processor time and memory of an entry, with real processes.

    .venv/bin/python -m tools.measure_entry

The added latency is the median time to the first token through entry and agent, minus that of
requests sent directly to the engine. Processor time and memory are those of the entry process
alone.
"""

import os
import tempfile
import tomllib
from http.client import HTTPConnection, HTTPResponse
from pathlib import Path
from statistics import median
from time import perf_counter

from msgspec.json import encode

from ebonyshore_standins.local_fleet import EntryProcess, LocalFleet

FAST_ENGINE = {"base_step_ms": 1.0, "sequence_step_ms": 0.0, "prefill_token_ms": 0.0}
SLOW_ENGINE = {"base_step_ms": 50.0, "sequence_step_ms": 0.0, "prefill_token_ms": 0.0}
REQUESTS = 300
STREAMS = 20
STREAM_TOKENS = 500
OPEN_STREAMS = 60
FAST_MODEL, SLOW_MODEL = "fast", "slow"


def main() -> None:
    """Measure an entry and print one line per figure."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        fast = fleet.add_engine((FAST_MODEL,), "a", FAST_ENGINE)
        fleet.add_engine((SLOW_MODEL,), "a", SLOW_ENGINE, max_running=OPEN_STREAMS)
        entry = fleet.add_entry("a")
        fleet.create_tier("measured", (FAST_MODEL, SLOW_MODEL))
        values = {"caller_requests_per_s": 1e6, "caller_burst_requests": 1_000_000}
        change = {"path": "/", "values": values, "operator": "measure"}
        entry.admin.post("/admin/v1/settings", change)
        fleet.clock.sleep_ms(2_000)
        engine_port = _engine_port(fast.settings_path)
        for port in (engine_port, entry.port):
            first_token_ms(port)
        direct_ms = median(first_token_ms(engine_port) for _ in range(REQUESTS))
        idle_ms = _idle_cpu_ms_per_s(fleet, entry)
        before, started_s = cpu_ms(entry), perf_counter()
        entry_ms = median(first_token_ms(entry.port) for _ in range(REQUESTS))
        elapsed_s = perf_counter() - started_s
        request_ms = (cpu_ms(entry) - before - idle_ms * elapsed_s) / REQUESTS
        print(f"first token, direct        {direct_ms:8.2f} ms (median of {REQUESTS})")
        print(f"first token, through entry {entry_ms:8.2f} ms, added {entry_ms - direct_ms:.2f}")
        print(f"processor time per request {request_ms:8.2f} ms")
        before, started_s = cpu_ms(entry), perf_counter()
        for _ in range(STREAMS):
            read_stream(entry.port, STREAM_TOKENS)
        elapsed_s = perf_counter() - started_s
        stream_ms = cpu_ms(entry) - before - idle_ms * elapsed_s - request_ms * STREAMS
        token_us = stream_ms / (STREAMS * STREAM_TOKENS) * 1_000
        print(f"processor time per token   {token_us:8.1f} us")
        before_kb = resident_kb(entry)
        responses = [open_stream(entry.port, SLOW_MODEL, 400) for _ in range(OPEN_STREAMS)]
        fleet.clock.sleep_ms(5_000)
        stream_kb = (resident_kb(entry) - before_kb) / OPEN_STREAMS
        print(f"memory per open stream     {stream_kb:8.1f} KB (after about 100 tokens)")
        for response in responses:
            response.close()
        print(f"idle processor time        {idle_ms:8.1f} ms/s, resident {before_kb / 1024:.0f} MB")


def open_stream(port: int, model: str, tokens: int) -> HTTPResponse:
    """Send a streaming completion request and return its response, whose body is not read yet."""
    connection = HTTPConnection("127.0.0.1", port, timeout=60)
    body = {"model": model, "prompt": "measure", "max_tokens": tokens, "stream": True}
    connection.request("POST", "/v1/completions", encode(body))
    return connection.getresponse()


def first_token_ms(port: int) -> float:
    """Return the time in ms from sending a request until the first line of its event stream."""
    started_s = perf_counter()
    response = open_stream(port, FAST_MODEL, 1)
    response.readline()
    elapsed_ms = (perf_counter() - started_s) * 1_000
    response.read()
    response.close()
    return elapsed_ms


def read_stream(port: int, tokens: int) -> None:
    """Send a streaming request and read its whole answer."""
    response = open_stream(port, FAST_MODEL, tokens)
    response.read()
    response.close()


def cpu_ms(entry: EntryProcess) -> float:
    """Return the processor time in ms that an entry has used since its start."""
    text = Path(f"/proc/{entry.process.pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / os.sysconf("SC_CLK_TCK")


def resident_kb(entry: EntryProcess) -> float:
    """Return the resident memory of an entry in units of 1024 bytes."""
    pages = int(Path(f"/proc/{entry.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024


def _idle_cpu_ms_per_s(fleet: LocalFleet, entry: EntryProcess) -> float:
    """Return the processor time of an idle entry, in ms per second."""
    before = cpu_ms(entry)
    fleet.clock.sleep_ms(5_000)
    return (cpu_ms(entry) - before) / 5


def _engine_port(path: Path) -> int:
    """Return the port of a target's engine, read from the settings file of its agent."""
    return int(tomllib.loads(path.read_text())["target"]["url"].rsplit(":", 1)[1])


if __name__ == "__main__":
    main()
