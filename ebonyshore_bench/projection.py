"""Load of each role at the design size, worked out from measured slopes. Pure."""

from msgspec import Struct

from ebonyshore.entry.connection_plan import (
    MAX_CONNECTIONS,
    MIN_PING_INTERVAL_MS,
    PING_INTERVAL_PER_CONNECTION_MS,
)
from ebonyshore_bench.probes import CostPoint, PeerPoint, fit_points
from ebonyshore_bench.slopes import LinearFit

KB = 1000
MB = 1000 * 1000
S_PER_DAY = 86_400
CPU_LIMIT_CORES = 0.043
MEMORY_LIMIT_BYTES = 32 * MB
TRAFFIC_LIMIT_BYTES_PER_S = 13 * KB
STORE_READS_LIMIT_PER_S = 2_000
STORE_WRITES_LIMIT_PER_S = 300  # lower end of "several hundred"
IN_FORCE_LIMIT_MS = 5_000
CALLS_PER_START = 4  # settings head, watch, instance list, index
LOCAL_FLEET_POLL_S = 0.5  # interval at which the local fleet's entries read the instance list
COMMIT_CALLS = 2  # the entry that commits a change reads the head and writes it
RESTART_SPREAD_S = 10.0


class DesignSize(Struct, frozen=True):
    """The size of section 1.4 of the design page."""

    entries: int = 380
    targets: int = 860
    requests_per_s: float = 3_000.0
    tokens_per_s: float = 1_300_000.0
    items_per_day: float = 46e6
    jobs_per_day: float = 17_000.0
    settings_changes_per_day: float = 1_100.0
    replaced_per_day: float = 170.0
    failure_domains: int = 6
    watch_timeout_s: float = 30.0
    instance_poll_s: float = 2.0
    batch_poll_s: float = 1.0
    shards_per_entry: int = 2
    lease_interval_s: float = 20.0


class MeasuredSlopes(Struct, frozen=True):
    """All fits.

    Entry slopes by target use the points at which the entry has all its idle connections; beyond,
    only the list of targets grows.
    """

    entry_cpu_by_target: LinearFit
    entry_bytes_by_target: LinearFit
    entry_private_by_target: LinearFit
    entry_resident_by_target: LinearFit
    list_bytes_by_target: LinearFit
    in_force_ms_by_target: LinearFit
    agent_cpu_by_entry: LinearFit
    agent_bytes_by_entry: LinearFit
    agent_private_by_entry: LinearFit
    agent_resident_by_entry: LinearFit
    entry_cpu_ms_by_token: LinearFit
    agent_cpu_ms_by_token: LinearFit
    entry_cpu_ms_by_item: LinearFit
    agent_cpu_ms_by_item: LinearFit
    writes_by_item: LinearFit
    reads_by_item: LinearFit
    entry_private_by_caller: LinearFit
    reads_per_s_by_held_shard: LinearFit
    entry_join_cpu_ms: float
    agent_join_cpu_ms: float
    idle_calls_per_s: dict[str, float]
    calls_per_change: float


class ProjectedFigure(Struct, frozen=True):
    """One projected figure against its limit."""

    role: str
    name: str
    value: float
    limit: float | None
    unit: str
    source: str

    def table_row(self) -> str:
        """Return a row of the table."""
        value = f"{self.value:.4g} {self.unit}"
        if self.limit is None:
            return f"| {self.role} | {self.name} | {value} | – | – | {self.source} |"
        margin = self.limit / self.value if self.value > 0 else float("inf")
        verdict = f"{margin:.2f}" if margin >= 1 else f"**{margin:.2f}, missed**"
        limit = f"{self.limit:.4g} {self.unit}"
        return f"| {self.role} | {self.name} | {value} | {limit} | {verdict} | {self.source} |"


def fit_slopes(
    targets: list[PeerPoint],
    entries: list[PeerPoint],
    answers: list[CostPoint],
    jobs: list[CostPoint],
    callers: list[CostPoint],
    polls: list[CostPoint],
) -> MeasuredSlopes:
    """Fit all points."""
    kinds = {kind for point in targets for kind in point.calls_per_s}
    idle = {k: sum(p.calls_per_s.get(k, 0.0) for p in targets) / len(targets) for k in kinds}

    def calls_of(point: CostPoint, *kinds: str) -> float:
        return sum(point.calls.get(kind, 0) for kind in kinds)

    full = [point for point in targets if point.count >= MAX_CONNECTIONS]
    return MeasuredSlopes(
        fit_points(full, lambda p: p.cpu_share),
        fit_points(full, lambda p: p.bytes_per_s),
        fit_points(full, lambda p: p.use.private_bytes),
        fit_points(full, lambda p: p.use.resident_bytes),
        fit_points(targets, lambda p: p.list_bytes),
        fit_points(targets, lambda p: p.in_force_ms),
        fit_points(entries, lambda p: p.cpu_share),
        fit_points(entries, lambda p: p.bytes_per_s),
        fit_points(entries, lambda p: p.use.private_bytes),
        fit_points(entries, lambda p: p.use.resident_bytes),
        fit_points(answers, lambda p: p.entry_cpu_ms),
        fit_points(answers, lambda p: p.agent_cpu_ms),
        fit_points(jobs, lambda p: p.entry_cpu_ms),
        fit_points(jobs, lambda p: p.agent_cpu_ms),
        fit_points(jobs, lambda p: calls_of(p, "put", "delete")),
        fit_points(jobs, lambda p: calls_of(p, "get", "list")),
        fit_points(callers, lambda p: p.entry_use.private_bytes),
        fit_points(polls, lambda p: calls_of(p, "get", "list")),
        targets[-1].join_cpu_ms,
        entries[-1].join_cpu_ms,
        idle,
        sum(point.calls_per_change for point in targets) / len(targets),
    )


def project(slopes: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    """Return all figures at a size."""
    return [
        *_control_figures(slopes, size),
        *_work_figures(slopes, size),
        *_platform_figures(slopes, size),
    ]


def _control_figures(s: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    targets = size.targets
    listed = targets + size.entries
    cpu = s.entry_cpu_by_target
    poll_ratio = LOCAL_FLEET_POLL_S / size.instance_poll_s
    entry_cpu = cpu.at(MAX_CONNECTIONS) + cpu.per_unit * (listed - MAX_CONNECTIONS) * poll_ratio
    # Beyond 64 targets the connections and pings stay as they are, so there is no slope to use.
    agent_bytes = max(rate for _, rate in s.entry_bytes_by_target.points)
    list_bytes = s.list_bytes_by_target.per_unit * listed / size.instance_poll_s
    sources = [
        ("entry", "control CPU", entry_cpu, CPU_LIMIT_CORES, "cores", "A"),
        ("entry", "agents' bytes", agent_bytes, TRAFFIC_LIMIT_BYTES_PER_S, "B/s", "A"),
        ("entry", "instance list's bytes", list_bytes, TRAFFIC_LIMIT_BYTES_PER_S, "B/s", "A"),
        (
            "entry",
            "private memory",
            s.entry_private_by_target.at(targets),
            MEMORY_LIMIT_BYTES,
            "B",
            "A",
        ),
        (
            "entry",
            "whole process",
            s.entry_resident_by_target.at(targets),
            MEMORY_LIMIT_BYTES,
            "B",
            "A",
        ),
        *_agent_figures(s, size),
        (
            "settings",
            "in force at the last connected agent",
            s.in_force_ms_by_target.at(targets),
            IN_FORCE_LIMIT_MS,
            "ms",
            "A",
        ),
    ]
    return [ProjectedFigure(*source) for source in sources]


def pings_per_s_at_agent(size: DesignSize) -> float:
    """Return the pings that an agent gets; entries with more connections ping each less often."""
    return size.entries * 1000 / PING_INTERVAL_PER_CONNECTION_MS / size.targets


def _agent_figures(s: MeasuredSlopes, size: DesignSize) -> list[tuple[object, ...]]:
    # Each peer of probe B has one connection, so it pings at the shortest interval.
    peers = pings_per_s_at_agent(size) * MIN_PING_INTERVAL_MS / 1000
    idle = size.entries * MAX_CONNECTIONS / size.targets
    private = s.agent_private_by_entry
    resident = s.agent_resident_by_entry
    return [
        ("agent", "control CPU", s.agent_cpu_by_entry.at(peers), CPU_LIMIT_CORES, "cores", "B"),
        (
            "agent",
            "entries' bytes",
            s.agent_bytes_by_entry.at(peers),
            TRAFFIC_LIMIT_BYTES_PER_S,
            "B/s",
            "B",
        ),
        (
            "agent",
            "private memory, mean idle peers",
            private.at(idle),
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
        (
            "agent",
            "whole process, mean idle peers",
            resident.at(idle),
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
        (
            "agent",
            "private memory, all entries connected",
            private.at(size.entries),
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
        (
            "agent",
            "whole process, all entries connected",
            resident.at(size.entries),
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
        (
            "agent",
            "connections' state, all entries",
            private.per_unit * size.entries,
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
    ]


def _work_figures(s: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    requests = size.requests_per_s
    online = requests * s.entry_cpu_ms_by_token.fixed + size.tokens_per_s * (
        s.entry_cpu_ms_by_token.per_unit
    )
    agent = requests * s.agent_cpu_ms_by_token.fixed + size.tokens_per_s * (
        s.agent_cpu_ms_by_token.per_unit
    )
    items = size.items_per_day / S_PER_DAY
    item_ms = items * s.entry_cpu_ms_by_item.per_unit
    agent_item_ms = items * s.agent_cpu_ms_by_item.per_unit
    return [
        ProjectedFigure("entry", "online work", online / 1000 / size.entries, None, "cores", "C"),
        ProjectedFigure("agent", "online work", agent / 1000 / size.targets, None, "cores", "C"),
        ProjectedFigure("entry", "batch work", item_ms / 1000 / size.entries, None, "cores", "D"),
        ProjectedFigure(
            "agent", "batch work", agent_item_ms / 1000 / size.targets, None, "cores", "D"
        ),
    ]


def idle_calls_per_s(slopes: MeasuredSlopes, size: DesignSize) -> float:
    """Return one entry's calls at the platform, at the default poll intervals."""
    rates = dict(slopes.idle_calls_per_s)
    rates["list_instances"] = 1 / size.instance_poll_s  # the local fleet polls more often
    return sum(rates.values()) + 1 / size.watch_timeout_s


def _platform_figures(s: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    items = size.items_per_day / S_PER_DAY
    jobs = size.jobs_per_day / S_PER_DAY
    writes = items * s.writes_by_item.per_unit + jobs * s.writes_by_item.fixed
    writes += size.settings_changes_per_day / S_PER_DAY
    changes = size.settings_changes_per_day / S_PER_DAY
    idle = size.entries * idle_calls_per_s(s, size)
    per_change = size.entries * (s.calls_per_change - COMMIT_CALLS) + COMMIT_CALLS
    domain_entries = size.entries / size.failure_domains
    reads, read_limit = idle + changes * per_change, STORE_READS_LIMIT_PER_S
    return [
        ProjectedFigure("platform", "writes", writes, STORE_WRITES_LIMIT_PER_S, "/s", "D"),
        ProjectedFigure("platform", "idle reads, all entries", idle, read_limit, "/s", "A"),
        ProjectedFigure("platform", "reads with settings changes", reads, read_limit, "/s", "A"),
        ProjectedFigure(
            "platform",
            "calls of one change, spread over 5 s",
            per_change / 5,
            read_limit,
            "/s",
            "A",
        ),
        ProjectedFigure(
            "platform",
            "reads, all entries look for shards and all are held",
            size.entries * max(rate for _, rate in s.reads_per_s_by_held_shard.points),
            read_limit,
            "/s",
            "F",
        ),
        ProjectedFigure(
            "platform",
            "writes to claim the shards of a lost domain, over 20 s",
            domain_entries * size.shards_per_entry / size.lease_interval_s,
            STORE_WRITES_LIMIT_PER_S,
            "/s",
            "settings",
        ),
        ProjectedFigure(
            "platform",
            "calls when all processes start within 10 s",
            size.entries * CALLS_PER_START / RESTART_SPREAD_S,
            read_limit,
            "/s",
            "code",
        ),
        ProjectedFigure(
            "entry", "connect to 64 agents", s.entry_join_cpu_ms * MAX_CONNECTIONS, None, "ms", "A"
        ),
        ProjectedFigure(
            "agent", "connect to all entries", s.agent_join_cpu_ms * size.entries, None, "ms", "B"
        ),
        ProjectedFigure(
            "platform",
            "calls of 170 replacements in a day",
            size.replaced_per_day * CALLS_PER_START / S_PER_DAY,
            read_limit,
            "/s",
            "code",
        ),
    ]
