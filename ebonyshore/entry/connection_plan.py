"""Which agents an entry stays connected to, and how often it asks them for reports. Pure.

A ping and its report take about 300 bytes on the wire with encryption and TCP headers, and an entry
may spend 13 KB/s on control. So it keeps at most :data:`MAX_CONNECTIONS` idle connections, and
asks less often the more it has.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from ebonyshore.entry.agent_connection import AgentConnection

MAX_CONNECTIONS = 64
IDLE_CLOSE_MS = 30_000.0
MIN_PING_INTERVAL_MS = 500.0
PING_INTERVAL_PER_CONNECTION_MS = 33.0


def ping_interval_ms(connections: int) -> float:
    """Return the time between two pings of the same agent."""
    return max(MIN_PING_INTERVAL_MS, PING_INTERVAL_PER_CONNECTION_MS * connections)


def preferred_targets(target_ids: Iterable[str], entry_id: str) -> frozenset[str]:
    """Return the targets that an entry stays connected to; they differ between entries."""
    ids = list(target_ids)
    if len(ids) > MAX_CONNECTIONS:
        ids.sort(key=lambda target_id: _rank(entry_id, target_id))
    return frozenset(ids[:MAX_CONNECTIONS])


def targets_to_connect(
    listed: Iterable[str], connections: Mapping[str, AgentConnection], entry_id: str
) -> list[str]:
    """Return the preferred targets to connect to while there are fewer than the most allowed."""
    room = MAX_CONNECTIONS - len(connections)
    wanted = [t for t in preferred_targets(listed, entry_id) if t not in connections]
    return sorted(wanted)[: max(0, room)]


def idle_connections_to_close(
    connections: Mapping[str, AgentConnection], entry_id: str, now_ms: float
) -> list[str]:
    """Return connections beyond the most allowed: idle, and unused for the longest time."""
    excess = len(connections) - MAX_CONNECTIONS
    if excess <= 0:
        return []
    idle = [
        c for c in connections.values() if c.is_idle and now_ms - c.last_dispatch_ms > IDLE_CLOSE_MS
    ]
    idle.sort(key=lambda connection: connection.last_dispatch_ms)
    return [connection.view.target_id for connection in idle[:excess]]


def _rank(entry_id: str, target_id: str) -> bytes:
    return blake2b(f"{entry_id}\n{target_id}".encode(), digest_size=8).digest()
