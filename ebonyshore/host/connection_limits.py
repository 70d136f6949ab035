"""How many connections the servers of a process may have, by its descriptors and its memory."""

from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

from msgspec import Struct

from ebonyshore.http.memory_budget import connection_limit_bytes

MAX_DESCRIPTORS = 1 << 16  # if the system has no limit
RESERVED_DESCRIPTORS = 200  # for files that are no connections
# Part of the other descriptors for the connections of clients; each request that is handled takes
# one more, to a target.
CLIENT_SHARE = 0.4
OPERATOR_SHARE = 0.02  # for each server that only operators and load balancers call
MAX_OPERATOR_CONNECTIONS = 64
MIN_CONNECTIONS = 8
CONNECTION_BYTES = 8_192  # that an idle connection takes
IDLE_MEMORY_SHARE = 0.25  # of the memory for connections that idle ones may take


class ConnectionLimits(Struct, frozen=True):
    """Numbers of connections.

    :param clients: of the server that clients, or entries, call.
    :param operators: of each server that operators or load balancers call.
    """

    clients: int
    operators: int


def connection_limits(max_descriptors: int | None, memory_bytes: int | None) -> ConnectionLimits:
    """Return the limits for a process.

    :param max_descriptors: limit of its descriptors in the settings; ``None`` if there is none.
    :param memory_bytes: limit of its memory; ``None`` if there is none.
    """
    system_limit = getrlimit(RLIMIT_NOFILE)[0]
    limits = [MAX_DESCRIPTORS if system_limit == RLIM_INFINITY else system_limit]
    if max_descriptors is not None:
        limits.append(max_descriptors)
    free = max(0, min(limits) - RESERVED_DESCRIPTORS)
    idle_bytes = connection_limit_bytes(memory_bytes) * IDLE_MEMORY_SHARE
    clients = min(int(free * CLIENT_SHARE), int(idle_bytes / CONNECTION_BYTES))
    operators = min(int(free * OPERATOR_SHARE), MAX_OPERATOR_CONNECTIONS)
    return ConnectionLimits(max(MIN_CONNECTIONS, clients), max(MIN_CONNECTIONS, operators))
