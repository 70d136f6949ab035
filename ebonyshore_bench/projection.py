"""Projects the load of each role at the design size from measured slopes. No I/O."""

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
CALLS_PER_START = 4  # settings head, watch, instance list, job index
LOCAL_FLEET_POLL_S = 0.5  # interval at which entries of the local fleet read the instance list
COMMIT_CALLS = 2  # an entry that commits a settings change reads the head and writes it
RESTART_SPREAD_S = 10.0


class DesignSize(Struct, frozen=True):
    """The deployment size given in section 1.4 of the design page.

    :param replaced_per_day: number of instances that are replaced per day.
    :param watch_timeout_s: time after which a watch call at the platform ends and is repeated.
    :param instance_poll_s: interval at which an entry reads the instance list.
    :param batch_poll_s: interval at which an entry looks for shards.
    :param shards_per_entry: number of shards that an entry holds.
    :param lease_interval_s: interval of the shard leases.
    """

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
    """Lines fitted to the measured points, and single figures.

    The ``entry_*_by_target`` fits use only points with at least :data:`MAX_CONNECTIONS` targets.
    From there on the number of idle connections stays the same and only the list of targets grows.

    :param entry_join_cpu_ms: processor time of an entry per agent that it connects to.
    :param agent_join_cpu_ms: processor time of an agent per entry that connects to it.
    :param idle_calls_per_s: platform calls of an idle entry, by kind.
    :param calls_per_change: platform calls caused by one settings change.
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
    """A projected figure and its limit.

    :param role: the role that the figure belongs to.
    :param name: name of the figure in the report.
    :param value: projected value, in ``unit``.
    :param limit: upper limit in ``unit``, or ``None``.
    :param unit: unit of value and limit.
    :param source: letter of the probe, or another source of the figure.
    """

    role: str
    name: str
    value: float
    limit: float | None
    unit: str
    source: str

    def table_row(self) -> str:
        """Return the figure as a row of a Markdown table, with the margin to its limit."""
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
    """Fit lines to the points of all probes.

    :param targets: points of probe A.
    :param entries: points of probe B.
    :param answers: points of probe C.
    :param jobs: points of probe D.
    :param callers: points of probe E.
    :param polls: points of probe F.
    """
    kinds = {kind for point in targets for kind in point.calls_per_s}
    idle = {k: sum(p.calls_per_s.get(k, 0.0) for p in targets) / len(targets) for k in kinds}

    def calls_of(point: CostPoint, *kinds: str) -> float:
        return sum(point.calls.get(kind, 0) for kind in kinds)

    connected = [point for point in targets if point.count >= MAX_CONNECTIONS]
    return MeasuredSlopes(
        fit_points(connected, lambda p: p.cpu_share),
        fit_points(connected, lambda p: p.bytes_per_s),
        fit_points(connected, lambda p: p.use.private_bytes),
        fit_points(connected, lambda p: p.use.resident_bytes),
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
    """Return all projected figures for a deployment size."""
    return [
        *_control_figures(slopes, size),
        *_work_figures(slopes, size),
        *_platform_figures(slopes, size),
    ]


def _control_figures(slopes: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    targets = size.targets
    listed_instances = targets + size.entries
    cpu = slopes.entry_cpu_by_target
    poll_ratio = LOCAL_FLEET_POLL_S / size.instance_poll_s
    entry_cpu = (
        cpu.at(MAX_CONNECTIONS) + cpu.per_unit * (listed_instances - MAX_CONNECTIONS) * poll_ratio
    )
    # Connections and pings do not grow beyond 64 targets, so the highest rate replaces a slope.
    agent_bytes = max(rate for _, rate in slopes.entry_bytes_by_target.points)
    list_bytes = slopes.list_bytes_by_target.per_unit * listed_instances / size.instance_poll_s
    figures = [
        ("entry", "control CPU", entry_cpu, CPU_LIMIT_CORES, "cores", "A"),
        ("entry", "agents' bytes", agent_bytes, TRAFFIC_LIMIT_BYTES_PER_S, "B/s", "A"),
        ("entry", "instance list's bytes", list_bytes, TRAFFIC_LIMIT_BYTES_PER_S, "B/s", "A"),
        (
            "entry",
            "private memory",
            slopes.entry_private_by_target.at(targets),
            MEMORY_LIMIT_BYTES,
            "B",
            "A",
        ),
        (
            "entry",
            "whole process",
            slopes.entry_resident_by_target.at(targets),
            MEMORY_LIMIT_BYTES,
            "B",
            "A",
        ),
        *_agent_figures(slopes, size),
        (
            "settings",
            "in force at the last connected agent",
            slopes.in_force_ms_by_target.at(targets),
            IN_FORCE_LIMIT_MS,
            "ms",
            "A",
        ),
    ]
    return [ProjectedFigure(*figure) for figure in figures]


def pings_per_s_at_agent(size: DesignSize) -> float:
    """Return the mean rate of pings that an agent receives.

    An entry with more connections pings each of them less often.
    """
    return size.entries * 1000 / PING_INTERVAL_PER_CONNECTION_MS / size.targets


def _agent_figures(slopes: MeasuredSlopes, size: DesignSize) -> list[tuple[object, ...]]:
    # Each peer of probe B has only one connection, so it pings at the shortest interval.
    peers = pings_per_s_at_agent(size) * MIN_PING_INTERVAL_MS / 1000
    idle_peers = size.entries * MAX_CONNECTIONS / size.targets
    private = slopes.agent_private_by_entry
    resident = slopes.agent_resident_by_entry
    return [
        (
            "agent",
            "control CPU",
            slopes.agent_cpu_by_entry.at(peers),
            CPU_LIMIT_CORES,
            "cores",
            "B",
        ),
        (
            "agent",
            "entries' bytes",
            slopes.agent_bytes_by_entry.at(peers),
            TRAFFIC_LIMIT_BYTES_PER_S,
            "B/s",
            "B",
        ),
        (
            "agent",
            "private memory, mean idle peers",
            private.at(idle_peers),
            MEMORY_LIMIT_BYTES,
            "B",
            "B",
        ),
        (
            "agent",
            "whole process, mean idle peers",
            resident.at(idle_peers),
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


def _work_figures(slopes: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    requests = size.requests_per_s
    online_ms = requests * slopes.entry_cpu_ms_by_token.fixed + size.tokens_per_s * (
        slopes.entry_cpu_ms_by_token.per_unit
    )
    agent_ms = requests * slopes.agent_cpu_ms_by_token.fixed + size.tokens_per_s * (
        slopes.agent_cpu_ms_by_token.per_unit
    )
    items = size.items_per_day / S_PER_DAY
    item_ms = items * slopes.entry_cpu_ms_by_item.per_unit
    agent_item_ms = items * slopes.agent_cpu_ms_by_item.per_unit
    return [
        ProjectedFigure(
            "entry", "online work", online_ms / 1000 / size.entries, None, "cores", "C"
        ),
        ProjectedFigure("agent", "online work", agent_ms / 1000 / size.targets, None, "cores", "C"),
        ProjectedFigure("entry", "batch work", item_ms / 1000 / size.entries, None, "cores", "D"),
        ProjectedFigure(
            "agent", "batch work", agent_item_ms / 1000 / size.targets, None, "cores", "D"
        ),
    ]


def idle_calls_per_s(slopes: MeasuredSlopes, size: DesignSize) -> float:
    """Return the platform calls per second of one idle entry at the default poll intervals."""
    rates = dict(slopes.idle_calls_per_s)
    rates["list_instances"] = 1 / size.instance_poll_s  # the local fleet polls more often
    return sum(rates.values()) + 1 / size.watch_timeout_s


def _platform_figures(slopes: MeasuredSlopes, size: DesignSize) -> list[ProjectedFigure]:
    items = size.items_per_day / S_PER_DAY
    jobs = size.jobs_per_day / S_PER_DAY
    writes = items * slopes.writes_by_item.per_unit + jobs * slopes.writes_by_item.fixed
    writes += size.settings_changes_per_day / S_PER_DAY
    changes = size.settings_changes_per_day / S_PER_DAY
    idle = size.entries * idle_calls_per_s(slopes, size)
    per_change = size.entries * (slopes.calls_per_change - COMMIT_CALLS) + COMMIT_CALLS
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
            size.entries * max(rate for _, rate in slopes.reads_per_s_by_held_shard.points),
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
            "entry",
            "connect to 64 agents",
            slopes.entry_join_cpu_ms * MAX_CONNECTIONS,
            None,
            "ms",
            "A",
        ),
        ProjectedFigure(
            "agent",
            "connect to all entries",
            slopes.agent_join_cpu_ms * size.entries,
            None,
            "ms",
            "B",
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
