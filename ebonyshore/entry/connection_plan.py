"""Decides which agents an entry stays connected to and how often it pings them. No I/O.

A ping and the load report that answers it take about 300 bytes on the wire, including encryption
and TCP headers, and the control traffic of an entry is limited to 13 KB/s. Therefore an entry keeps
at most :data:`MAX_CONNECTIONS` idle connections, and the ping interval grows with the number of
connections.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from ebonyshore.entry.agent_connection import AgentConnection

MAX_CONNECTIONS = 64
IDLE_CLOSE_MS = 30_000.0  # a connection above the limit is closed after this idle time
MIN_PING_INTERVAL_MS = 500.0
PING_INTERVAL_PER_CONNECTION_MS = 33.0  # 300 bytes each 33 ms are about 9 KB/s


def ping_interval_ms(connections: int) -> float:
    """Return the time between two pings of the same agent.

    :param connections: number of connections of the entry.
    """
    return max(MIN_PING_INTERVAL_MS, PING_INTERVAL_PER_CONNECTION_MS * connections)


def preferred_targets(target_ids: Iterable[str], entry_id: str) -> frozenset[str]:
    """Return the targets that an entry stays connected to, at most :data:`MAX_CONNECTIONS`.

    They are chosen by rendezvous hashing, so they differ between entries.
    """
    ids = list(target_ids)
    if len(ids) > MAX_CONNECTIONS:
        ids.sort(key=lambda target_id: _rendezvous_hash(entry_id, target_id))
    return frozenset(ids[:MAX_CONNECTIONS])


def targets_to_connect(
    listed: Iterable[str], connections: Mapping[str, AgentConnection], entry_id: str
) -> list[str]:
    """Return the preferred targets to connect to, as many as the connection limit allows.

    :param listed: ids of all known targets.
    :param connections: open connections by target id.
    """
    free_connections = MAX_CONNECTIONS - len(connections)
    missing = [t for t in preferred_targets(listed, entry_id) if t not in connections]
    return sorted(missing)[: max(0, free_connections)]


def idle_connections_to_close(
    connections: Mapping[str, AgentConnection], entry_id: str, now_ms: float
) -> list[str]:
    """Return the target ids of the connections to close, so that the limit is kept.

    Only connections that have been idle for :data:`IDLE_CLOSE_MS` are closed; the least recently
    used ones first.
    """
    excess = len(connections) - MAX_CONNECTIONS
    if excess <= 0:
        return []
    idle = [
        c for c in connections.values() if c.is_idle and now_ms - c.last_dispatch_ms > IDLE_CLOSE_MS
    ]
    idle.sort(key=lambda connection: connection.last_dispatch_ms)
    return [connection.view.target_id for connection in idle[:excess]]


def _rendezvous_hash(entry_id: str, target_id: str) -> bytes:
    return blake2b(f"{entry_id}\n{target_id}".encode(), digest_size=8).digest()
