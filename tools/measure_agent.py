"""Measures the processor time of an agent per request and per token, and its memory.

Starts an engine, its agent and an entry as processes, sends streaming requests through the entry,
and reads the processor time and resident memory of the agent from ``/proc``.
"""

import os
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec import Struct
from openai import OpenAI

from ebonyshore_standins.local_fleet import LocalFleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MS_PER_S = 1000
IDLE_MS = 5_000
CALLERS = 12


class Usage(Struct):
    """Resource use of a process.

    :param cpu_ms: processor time since the start of the process.
    :param resident_mb: resident memory in units of 10^6 bytes.
    """

    cpu_ms: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Read the resource use of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks * MS_PER_S / TICKS_PER_S, pages * PAGE_BYTES / 1e6)


def measure_streams_cpu_ms(fleet: LocalFleet, requests: int, tokens: int) -> float:
    """Send concurrent streaming requests and return the processor time of the agent in ms.

    :param requests: number of requests.
    :param tokens: number of tokens in each answer.
    :raises SystemExit: if the total number of tokens received is wrong.
    """
    pid = fleet.targets[0].agent.pid
    before = read_usage(pid)

    def request(number: int) -> int:
        client = OpenAI(base_url=f"{fleet.entries[0].url}/v1", api_key="k", max_retries=2)
        stream = client.completions.create(
            model="reader", prompt=f"{tokens} {number}", max_tokens=tokens, stream=True
        )
        return sum(bool(event.choices[0].text) for event in stream)

    with ThreadPoolExecutor(CALLERS) as executor:
        received = sum(executor.map(request, range(requests)))
    if received != requests * tokens:
        raise SystemExit(f"answers have {received} tokens instead of {requests * tokens}")
    return read_usage(pid).cpu_ms - before.cpu_ms


def main() -> None:
    """Measure an agent and print the figures."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        fleet.add_engine(("reader",), parameters={"base_step_ms": 4.0})
        fleet.add_entry("a")
        fleet.create_tier("care", ("reader",), caller_requests_per_s=1000.0)
        pid = fleet.targets[0].agent.pid
        measure_streams_cpu_ms(fleet, 24, 2)
        before = read_usage(pid)
        fleet.clock.sleep_ms(IDLE_MS)
        idle_ms = read_usage(pid).cpu_ms - before.cpu_ms
        few, many = measure_streams_cpu_ms(fleet, 240, 2), measure_streams_cpu_ms(fleet, 240, 102)
        token_us = (many - few) / (240 * 100) * MS_PER_S
        request_ms = few / 240 - 2 * token_us / MS_PER_S
        print(
            f"agent: idle {idle_ms / IDLE_MS * 100:.2f}% of a core, "
            f"{request_ms:.2f} ms per request, {token_us:.0f} us per token, "
            f"{read_usage(pid).resident_mb:.0f} MB resident"
        )
        histograms = fleet.targets[0].admin.get("/admin/v1/dump")["metrics"]["histograms"]
        for name, summary in histograms.items():
            print(f"  {name}: {summary}")


if __name__ == "__main__":
    main()
