"""Runs one variant of the benchmark on a new fleet and collects its measurements."""

import tempfile
from http.client import HTTPConnection
from pathlib import Path
from subprocess import TimeoutExpired

from msgspec import Struct
from msgspec.json import decode
from openai import OpenAI

from ebonyshore_bench.engine_steps import BatchYield, WindowUse, measure_batch_yield, measure_window
from ebonyshore_bench.load_client import LoadClient, Percentiles, wait_until_ready
from ebonyshore_bench.plan import BATCH_MODEL, ONLINE_MODEL, BenchPlan, Variant
from ebonyshore_bench.proc_stat import read_use
from ebonyshore_bench.traffic import make_arrivals, make_batch_lines
from ebonyshore_standins.engine_runner import StepRecord
from ebonyshore_standins.local_fleet import LocalFleet, TargetProcess

TIER = "care"
ENTRY_STOP_TIMEOUT_S = 8


class VariantResult(Struct, frozen=True):
    """Measurements of the run of one variant.

    :param name: name of the variant.
    :param answered: number of online requests that were answered in full.
    :param failures: a description of each failed online request.
    :param first_token: time from the planned arrival to the first token.
    :param token_interval: time between two consecutive tokens of one answer.
    :param send_lag: delay of sending, caused by the load generator.
    :param wake_lag: time by which a thread of the load generator woke too late.
    :param engines: use of each engine within the measured window.
    :param yields: one for each engine and burst, if the engine ran batch work when the burst
        arrived.
    :param entry_cpu_ms: processor time of all entries within the window.
    :param agent_cpu_ms: processor time of all agents within the window.
    :param bench_cpu_ms: processor time of the benchmark process within the window.
    :param duration_ms: length of the window.
    :param counters: counters of all agents at the end, summed.
    """

    name: str
    answered: int
    failures: list[str]
    first_token: Percentiles
    token_interval: Percentiles
    send_lag: Percentiles
    wake_lag: Percentiles
    engines: list[WindowUse]
    yields: list[BatchYield]
    entry_cpu_ms: float
    agent_cpu_ms: float
    bench_cpu_ms: float
    duration_ms: float
    counters: dict[str, int]

    @property
    def batch_tokens_per_s(self) -> float:
        """Batch tokens per second, summed over all engines."""
        return sum(engine.batch_tokens_per_s for engine in self.engines)

    @property
    def online_tokens_per_s(self) -> float:
        """Online tokens per second, summed over all engines."""
        return sum(engine.online_tokens_per_s for engine in self.engines)

    @property
    def unfinished_ratio(self) -> float:
        """Share of the generated batch tokens that do not belong to a completed item."""
        generated = sum(engine.generated_batch_tokens for engine in self.engines)
        finished = sum(engine.finished_batch_tokens for engine in self.engines)
        return (generated - finished) / generated if generated else 0.0


def run_variant(variant: Variant, plan: BenchPlan, folder: Path) -> VariantResult:
    """Start a fleet, run the traffic of a variant, and stop the fleet.

    :param folder: parent of the temporary folder for the files of the processes.
    """
    with tempfile.TemporaryDirectory(dir=folder) as name, LocalFleet(Path(name)) as fleet:
        _start(fleet, variant, plan)
        if variant.has_batch:
            _submit_batch(fleet, plan)
            fleet.clock.sleep_ms(plan.batch.warm_up_ms)
        result = _measure(fleet, variant, plan)
        stop_entries(fleet)
        return result


def stop_entries(fleet: LocalFleet) -> None:
    """Stop the entries while the agents still run, so that they can release their shards.

    An entry that does not end within 8 s is killed.
    """
    for entry in fleet.entries:
        entry.process.terminate()
    for entry in fleet.entries:
        try:
            entry.process.wait(ENTRY_STOP_TIMEOUT_S)
        except TimeoutExpired:
            entry.process.kill()


def read_steps(target: TargetProcess) -> list[StepRecord]:
    """Return the step records of a target's engine."""
    connection = HTTPConnection("127.0.0.1", target.target_port, timeout=10)
    try:
        connection.request("GET", "/steps")
        return decode(connection.getresponse().read(), type=list[StepRecord])
    finally:
        connection.close()


def _start(fleet: LocalFleet, variant: Variant, plan: BenchPlan) -> None:
    engines = plan.engines
    for _ in range(engines.count):
        fleet.add_engine(
            (ONLINE_MODEL, BATCH_MODEL),
            parameters=engines.parameters(),
            max_running=engines.max_running,
            policy=variant.policy,
        )
    for _ in range(plan.entries):
        fleet.add_entry()
    fleet.create_tier(
        TIER,
        (ONLINE_MODEL, BATCH_MODEL),
        weighting=variant.weighting,
        engine_base_step_ms=engines.base_step_ms,
        engine_sequence_step_ms=engines.sequence_step_ms,
        token_interval_objective_ms=plan.token_interval_objective_ms,
    )
    ports = [entry.port for entry in fleet.entries]
    wait_until_ready(ports, (ONLINE_MODEL, BATCH_MODEL), fleet.clock)


def _submit_batch(fleet: LocalFleet, plan: BenchPlan) -> None:
    client = OpenAI(base_url=f"{fleet.entries[0].url}/v1", api_key="bench-caller")
    lines = make_batch_lines(plan.batch, plan.traffic.seed)
    upload = client.files.create(file=("plans.jsonl", lines), purpose="batch")
    client.batches.create(
        input_file_id=upload.id, endpoint="/v1/chat/completions", completion_window="24h"
    )


def _measure(fleet: LocalFleet, variant: Variant, plan: BenchPlan) -> VariantResult:
    entry_pids = [entry.process.pid for entry in fleet.entries]
    agent_pids = [target.agent.pid for target in fleet.targets]
    before = _total_cpu_ms(entry_pids), _total_cpu_ms(agent_pids), _total_cpu_ms(["self"])
    start_ms = fleet.clock.monotonic_ms()
    end_ms = start_ms + plan.traffic.duration_ms
    client = LoadClient([entry.port for entry in fleet.entries], fleet.clock)
    arrivals = make_arrivals(plan.traffic) if variant.has_online else []
    result = client.run(arrivals, start_ms)
    fleet.clock.sleep_ms(end_ms - fleet.clock.monotonic_ms())
    after = _total_cpu_ms(entry_pids), _total_cpu_ms(agent_pids), _total_cpu_ms(["self"])
    duration_ms = fleet.clock.monotonic_ms() - start_ms
    step_records = [read_steps(target) for target in fleet.targets]
    bursts_ms = result.burst_starts_ms.values()
    yields = [
        measure_batch_yield(records, burst_ms) for records in step_records for burst_ms in bursts_ms
    ]
    return VariantResult(
        variant.name,
        result.answered,
        result.failures,
        result.first_token.percentiles(),
        result.token_interval.percentiles(),
        result.send_lag.percentiles(),
        result.wake_lag.percentiles(),
        [measure_window(records, start_ms, end_ms) for records in step_records],
        [each for each in yields if each is not None],
        *(late - early for early, late in zip(before, after, strict=True)),
        duration_ms,
        _sum_counters(fleet),
    )


def _total_cpu_ms(pids: list[int | str]) -> float:
    return sum(read_use(pid).cpu_ms for pid in pids)


def _sum_counters(fleet: LocalFleet) -> dict[str, int]:
    total: dict[str, int] = {}
    for target in fleet.targets:
        counters = target.admin.get("/admin/v1/dump")["metrics"]["counters"]
        for name, value in counters.items():
            total[name] = total.get(name, 0) + value
    return total
