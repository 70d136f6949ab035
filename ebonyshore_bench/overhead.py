"""Measures the latency and processor time that entry and agent add to a request.

Each request is also sent directly to the engine for comparison.
"""

import tempfile
from pathlib import Path

from msgspec import Struct

from ebonyshore_bench.load_client import (
    LatencyHistogram,
    Percentiles,
    stream_token_times,
    wait_until_ready,
)
from ebonyshore_bench.plan import ONLINE_MODEL
from ebonyshore_bench.proc_stat import read_use
from ebonyshore_bench.traffic import chat_body
from ebonyshore_standins.local_fleet import LocalFleet

REQUESTS = 200
PAUSE_MS = 5.0
ENGINE_STEP_MS = 1.0


class Overhead(Struct, frozen=True):
    """Overhead on an idle fleet, for sequential requests of one token.

    :param direct: time to the first token of requests sent directly to the engine.
    :param through: time to the first token of requests sent through entry and agent.
    :param entry_cpu_ms: processor time of the entry per request.
    :param agent_cpu_ms: processor time of the agent per request.
    """

    direct: Percentiles
    through: Percentiles
    entry_cpu_ms: float
    agent_cpu_ms: float

    @property
    def added_p50_ms(self) -> float:
        """Median latency that entry and agent add to a request."""
        return self.through.p50_ms - self.direct.p50_ms


def measure_overhead(folder: Path) -> Overhead:
    """Measure requests sent alternately to the engine and through entry and agent.

    :param folder: parent of the temporary folder for the files of the processes.
    """
    with tempfile.TemporaryDirectory(dir=folder) as name, LocalFleet(Path(name)) as fleet:
        target = fleet.add_engine((ONLINE_MODEL,), parameters={"base_step_ms": ENGINE_STEP_MS})
        entry = fleet.add_entry()
        fleet.create_tier("care", (ONLINE_MODEL,))
        wait_until_ready([entry.port], (ONLINE_MODEL,), fleet.clock)
        direct, through = LatencyHistogram(), LatencyHistogram()
        before = read_use(entry.process.pid), read_use(target.agent.pid)
        for number in range(REQUESTS):
            body = chat_body(ONLINE_MODEL, f"question {number}", 1, is_stream=True)
            for port, latency in ((target.target_port, direct), (entry.port, through)):
                start_ms = fleet.clock.monotonic_ms()
                times_ms = stream_token_times(port, body, fleet.clock)
                latency.record_ms(times_ms[0] - start_ms)
                fleet.clock.sleep_ms(PAUSE_MS)
        after = read_use(entry.process.pid), read_use(target.agent.pid)
        cpu_ms = [
            (late.cpu_ms - early.cpu_ms) / REQUESTS
            for early, late in zip(before, after, strict=True)
        ]
        return Overhead(direct.percentiles(), through.percentiles(), *cpu_ms)
