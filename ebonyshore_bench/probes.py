"""Capacity probes: each varies one quantity on a small fleet of real processes."""

import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path

from msgspec import Struct
from msgspec.json import decode, encode
from msgspec.structs import replace
from openai import OpenAI

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.store.platform_api import Instance
from ebonyshore_bench.load_client import stream_token_times, wait_until_ready
from ebonyshore_bench.peers import PeerOptions, PeerReport
from ebonyshore_bench.plan import BATCH_MODEL, ONLINE_MODEL, BatchPlan
from ebonyshore_bench.proc_stat import ProcessUse, read_use
from ebonyshore_bench.slopes import LinearFit, fit_line
from ebonyshore_bench.traffic import chat_body, make_batch_lines
from ebonyshore_standins.local_fleet import EntryProcess, LocalFleet, free_port

WINDOW_MS = 5_000.0
SETTLE_MS = 2_500.0
TARGET_COUNTS = (24, 64, 112, 160)
ENTRY_COUNTS = (8, 40, 100, 160)
SETTINGS_CHANGES = 5
ANSWER_TOKENS = (1, 24, 72)
ANSWER_REQUESTS = 120
JOB_ITEMS = (100, 600, 1500)
JOB_POLL_MS = 1_000  # each poll causes store reads that are not part of the cost of the job
JOB_TIMEOUT_MS = 60_000
SHARD_COUNTS = (10, 40, 80)
SHARD_ITEMS = 5
LONG_ANSWER_TOKENS = 30_000
CALLER_COUNTS = (1, 150, 300, 450)
SLOW_ENGINE = {"base_step_ms": 50.0}
FAST_ENGINE = {"base_step_ms": 1.0, "sequence_step_ms": 0.05}
TIER = "care"


class PeerPoint(Struct, frozen=True):
    """Measurements of one process that is connected to idle peers.

    :param count: number of peers.
    :param use: processor time and memory of the process.
    :param cpu_share: mean processor use in cores.
    :param bytes_per_s: TCP payload exchanged with the peers.
    :param in_force_ms: median time from sending a settings change until the last connected peer
        has received it.
    :param calls_per_s: calls of the entry to the platform, by kind.
    :param join_cpu_ms: processor time per joining peer, for connection, handshake and first
        messages.
    :param connections: number of peers that had received settings, hence were connected.
    :param list_bytes: size of the platform's instance list.
    :param calls_per_change: platform calls caused by one settings change.
    """

    count: int
    use: ProcessUse
    cpu_share: float
    bytes_per_s: float
    in_force_ms: float = 0.0
    calls_per_s: dict[str, float] = {}
    join_cpu_ms: float = 0.0
    connections: int = 0
    list_bytes: int = 0
    calls_per_change: float = 0.0


class CostPoint(Struct, frozen=True):
    """Cost of an amount of work.

    :param count: the quantity that the probe varies.
    :param entry_cpu_ms: processor time of the entry.
    :param agent_cpu_ms: processor time of the agent.
    :param calls: platform calls, by kind.
    :param duration_ms: elapsed time.
    :param entry_use: processor time and memory of the entry after the work.
    """

    count: int
    entry_cpu_ms: float
    agent_cpu_ms: float
    calls: dict[str, float] = {}
    duration_ms: float = 0.0
    entry_use: ProcessUse | None = None


class PeerProcess:
    """A running process of :mod:`ebonyshore_bench.peers`.

    :param folder: folder for the options file.
    :param options: options of the process.
    """

    def __init__(self, folder: Path, options: PeerOptions) -> None:
        path = folder / f"peers-{free_port()}.json"
        path.write_bytes(encode(options))
        self._process = subprocess.Popen(
            [sys.executable, "-m", "ebonyshore_bench.peers", "--options", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._process.stdout.readline()

    def report(self) -> PeerReport:
        """Request and return a report of the process."""
        self._process.stdin.write(b"report\n")
        self._process.stdin.flush()
        return decode(self._process.stdout.readline(), type=PeerReport)

    def stop(self) -> None:
        """Stop the process and wait for its end."""
        self._process.stdin.close()
        self._process.wait()


def read_fleet_keys(fleet: LocalFleet) -> FleetSettings:
    """Return the CURVE keys of a local fleet, read from the settings file of its first target."""
    text = fleet.targets[0].settings_path.read_text(encoding="utf-8")
    keys = [line.split("'")[1] for line in text.splitlines() if "key_z85" in line]
    return FleetSettings(*keys)


def count_platform_calls(fleet: LocalFleet) -> Counter[str]:
    """Return the number of calls that the platform has received, by kind."""
    return Counter(decode(_read_platform(fleet, "/control/calls")))


def _read_platform(fleet: LocalFleet, path: str) -> bytes:
    connection = HTTPConnection("127.0.0.1", fleet.platform_port, timeout=10)
    try:
        connection.request("GET", path)
        return connection.getresponse().read()
    finally:
        connection.close()


def run_in_fleet(measure: Callable[[LocalFleet, Path], object], engine: dict[str, object]):
    """Run a probe on a new fleet of one engine, its agent and one entry.

    :param measure: the probe; gets the fleet and the folder of its files.
    :param engine: parameters of the engine.
    :return: the result of the probe.
    """
    with tempfile.TemporaryDirectory() as name, LocalFleet(Path(name)) as fleet:
        fleet.add_engine((ONLINE_MODEL, BATCH_MODEL), parameters=engine)
        entry = fleet.add_entry(extra_settings="[batch]\ncheckpoint_interval_ms = 10000\n")
        fleet.create_tier(TIER, (ONLINE_MODEL, BATCH_MODEL))
        wait_until_ready([entry.port], (ONLINE_MODEL, BATCH_MODEL), fleet.clock)
        return measure(fleet, Path(name))


def measure_targets(fleet: LocalFleet, folder: Path) -> list[PeerPoint]:
    """Probe A: measure one entry with different numbers of targets."""
    points, peers = [], []
    settings = read_fleet_keys(fleet)
    for count in TARGET_COUNTS:
        added = count - sum(len(p.ports) for _, p in peers)
        ports = [free_port() for _ in range(added)]
        before = read_use(fleet.entries[0].process.pid)
        options = PeerOptions(settings, ports, (ONLINE_MODEL,))
        peers.append((PeerProcess(folder, options), options))
        for port in ports:
            address = f"tcp://127.0.0.1:{port}"
            instance = Instance(f"peer-{port}", "target", address, models=(ONLINE_MODEL,))
            fleet.call_platform("POST", "/control/instances", instance)
        fleet.clock.sleep_ms(SETTLE_MS)
        running = [process for process, _ in peers]
        point = _measure_idle_peers(
            fleet, count, fleet.entries[0].process.pid, running, before, added
        )
        points.append(_measure_settings_changes(fleet, point, running))
    for process, _ in peers:
        process.stop()
    return points


def measure_entries(fleet: LocalFleet, folder: Path) -> list[PeerPoint]:
    """Probe B: measure one agent with different numbers of connected entries."""
    points, peers = [], []
    target = fleet.targets[0]
    agent = Instance(target.instance_id, "target", f"tcp://127.0.0.1:{target.port}")
    settings = read_fleet_keys(fleet)
    connected = 0
    for count in ENTRY_COUNTS:
        added = count - connected
        before = read_use(target.agent.pid)
        peers.append(PeerProcess(folder, PeerOptions(settings, count=added, agent=agent)))
        connected = count
        fleet.clock.sleep_ms(SETTLE_MS)
        points.append(_measure_idle_peers(fleet, count, target.agent.pid, peers, before, added))
    for process in peers:
        process.stop()
    return points


def _measure_idle_peers(
    fleet: LocalFleet,
    count: int,
    pid: int,
    peers: list[PeerProcess],
    before: ProcessUse,
    added: int,
) -> PeerPoint:
    """Measure the process ``pid`` for :data:`WINDOW_MS` while its peers are idle.

    :param before: use of the process before the last ``added`` peers joined.
    """
    start_ms = fleet.clock.monotonic_ms()
    use, calls, sent = read_use(pid), count_platform_calls(fleet), _exchanged_bytes(peers)
    fleet.clock.sleep_ms(WINDOW_MS)
    later, later_calls, later_sent = (
        read_use(pid),
        count_platform_calls(fleet),
        _exchanged_bytes(peers),
    )
    duration_ms = fleet.clock.monotonic_ms() - start_ms
    cpu_share = (later.cpu_ms - use.cpu_ms) / duration_ms
    joining_cpu_ms = use.cpu_ms - before.cpu_ms - cpu_share * SETTLE_MS
    return PeerPoint(
        count,
        later,
        cpu_share,
        (later_sent - sent) * MS_PER_S / duration_ms,
        calls_per_s={
            kind: number * MS_PER_S / duration_ms for kind, number in (later_calls - calls).items()
        },
        join_cpu_ms=max(0.0, joining_cpu_ms) / added,
    )


def _exchanged_bytes(peers: list[PeerProcess]) -> int:
    reports = [process.report() for process in peers]
    return sum(report.sent_bytes + report.received_bytes for report in reports)


def _measure_settings_changes(
    fleet: LocalFleet, point: PeerPoint, peers: list[PeerProcess]
) -> PeerPoint:
    durations = []
    connected = sum(len(process.report().revisions) for process in peers)
    before = count_platform_calls(fleet)
    start_ms = fleet.clock.monotonic_ms()
    for number in range(SETTINGS_CHANGES):
        values = {"max_attempts": 3 + number % 2}
        change = {"path": f"/tiers/{TIER}", "values": values, "operator": "capacity"}
        sent_ms = fleet.clock.monotonic_ms()
        revision = fleet.entries[0].admin.post("/admin/v1/settings", change)["revision"]
        fleet.wait_until(lambda wanted=revision: _count_with_revision(peers, wanted) >= connected)
        times_ms = [at_ms for p in peers for _, at_ms in p.report().revisions]
        durations.append(max(times_ms) - sent_ms)
    calls = count_platform_calls(fleet).total() - before.total()
    duration_s = (fleet.clock.monotonic_ms() - start_ms) / MS_PER_S
    idle_calls = sum(point.calls_per_s.values()) * duration_s
    return replace(
        point,
        in_force_ms=sorted(durations)[len(durations) // 2],
        connections=connected,
        list_bytes=len(_read_platform(fleet, "/instances")),
        calls_per_change=(calls - idle_calls) / SETTINGS_CHANGES,
    )


def _count_with_revision(peers: list[PeerProcess], minimum: int) -> int:
    revisions = [revision for p in peers for revision, _ in p.report().revisions]
    return sum(revision >= minimum for revision in revisions)


def measure_answers(fleet: LocalFleet, _: Path) -> list[CostPoint]:
    """Probe C: measure sequential requests with different numbers of tokens in the answer."""
    points = []
    for tokens in ANSWER_TOKENS:

        def send(tokens: int = tokens) -> None:
            for number in range(ANSWER_REQUESTS):
                body = chat_body(ONLINE_MODEL, f"question {number}", tokens, is_stream=True)
                stream_token_times(fleet.entries[0].port, body, fleet.clock)

        cost = _measure_cost(fleet, tokens, send)
        points.append(
            CostPoint(
                tokens, cost.entry_cpu_ms / ANSWER_REQUESTS, cost.agent_cpu_ms / ANSWER_REQUESTS
            )
        )
    return points


def measure_jobs(fleet: LocalFleet, _: Path) -> list[CostPoint]:
    """Probe D: measure jobs with different numbers of items of two tokens each."""
    client = OpenAI(base_url=f"{fleet.entries[0].url}/v1", api_key="capacity")

    def is_complete(job_id: str) -> bool:
        fleet.clock.sleep_ms(JOB_POLL_MS)
        return client.batches.retrieve(job_id).status == "completed"

    def run(items: int) -> None:
        job_id = _submit_job(fleet, items, tokens=2)
        fleet.wait_until(lambda: is_complete(job_id), JOB_TIMEOUT_MS)

    run(20)
    return [_measure_cost(fleet, items, lambda items=items: run(items)) for items in JOB_ITEMS]


def measure_callers(fleet: LocalFleet, _: Path) -> list[CostPoint]:
    """Probe E: measure an entry that has seen different numbers of callers, one request each."""
    points = []
    known_callers = 0
    for count in CALLER_COUNTS:

        def send(first: int = known_callers, last: int = count) -> None:
            for number in range(first, last):
                body = chat_body(ONLINE_MODEL, "the same question", 1, is_stream=True)
                port = fleet.entries[0].port
                stream_token_times(port, body, fleet.clock, caller=f"caller-{number}")

        points.append(_measure_cost(fleet, count, send))
        known_callers = count
    return points


def measure_shard_polls() -> list[CostPoint]:
    """Probe F: measure the platform calls of an entry that polls for shards held by another entry.

    Varies the number of shards that the other entry holds.
    """
    points = []
    with tempfile.TemporaryDirectory() as name, LocalFleet(Path(name)) as fleet:
        fleet.add_engine((BATCH_MODEL,), parameters=SLOW_ENGINE)
        _add_runner(fleet, max(SHARD_COUNTS))
        fleet.create_tier(TIER, (BATCH_MODEL,), max_output_tokens=LONG_ANSWER_TOKENS)
        held_shards = 0
        for count in SHARD_COUNTS:
            _submit_job(fleet, (count - held_shards) * SHARD_ITEMS, LONG_ANSWER_TOKENS)
            held_shards = count
            fleet.clock.sleep_ms(2 * SETTLE_MS)
            holder_rates = _measure_call_rates(fleet)
            poller = _add_runner(fleet, max_shards=1)
            fleet.clock.sleep_ms(SETTLE_MS)
            total_rates = _measure_call_rates(fleet)
            fleet.entries.remove(poller)
            poller.process.kill()
            added = {kind: rate - holder_rates.get(kind, 0.0) for kind, rate in total_rates.items()}
            points.append(CostPoint(count, 0.0, 0.0, added, WINDOW_MS))
        fleet.entries[0].process.kill()  # its items do not end, so it could not drain
    return points


def _add_runner(fleet: LocalFleet, max_shards: int) -> EntryProcess:
    batch = f"max_shards = {max_shards}\nshard_items = {SHARD_ITEMS}\nwindow_items = 1\n"
    return fleet.add_entry(extra_settings="[batch]\n" + batch)


def _measure_call_rates(fleet: LocalFleet) -> dict[str, float]:
    before = count_platform_calls(fleet)
    fleet.clock.sleep_ms(WINDOW_MS)
    calls = count_platform_calls(fleet) - before
    return {kind: count * MS_PER_S / WINDOW_MS for kind, count in calls.items()}


def _submit_job(fleet: LocalFleet, items: int, tokens: int) -> str:
    client = OpenAI(base_url=f"{fleet.entries[0].url}/v1", api_key="capacity")
    lines = make_batch_lines(BatchPlan(items, tokens, prompt_words=20), seed=items)
    upload = client.files.create(file=("plans.jsonl", lines), purpose="batch")
    return client.batches.create(
        input_file_id=upload.id, endpoint="/v1/chat/completions", completion_window="24h"
    ).id


def _measure_cost(fleet: LocalFleet, count: int, work: Callable[[], None]) -> CostPoint:
    pids = fleet.entries[0].process.pid, fleet.targets[0].agent.pid
    before = [read_use(pid) for pid in pids]
    calls = count_platform_calls(fleet)
    start_ms = fleet.clock.monotonic_ms()
    work()
    duration_ms = fleet.clock.monotonic_ms() - start_ms
    after = [read_use(pid) for pid in pids]
    used_cpu_ms = [late.cpu_ms - early.cpu_ms for early, late in zip(before, after, strict=True)]
    new_calls = dict(count_platform_calls(fleet) - calls)
    return CostPoint(count, *used_cpu_ms, new_calls, duration_ms, after[0])


def fit_points(points: list, value: Callable[[object], float]) -> LinearFit:
    """Fit a line to a value of each point, as a function of the point's count."""
    return fit_line([(point.count, value(point)) for point in points])
