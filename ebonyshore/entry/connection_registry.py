"""The open connections of an entry to agents, by target id and by socket."""

from collections.abc import Iterator, Mapping

import zmq

from ebonyshore.entry.agent_connection import AgentConnection
from ebonyshore.entry.agent_socket import AgentSocket


class ConnectionRegistry(Mapping[str, AgentConnection]):
    """Maps target ids to connections. Not thread-safe.

    Connections whose channel is an :class:`AgentSocket` are also found by their socket.
    """

    __slots__ = ("_by_socket", "_by_target_id")

    def __init__(self) -> None:
        self._by_target_id: dict[str, AgentConnection] = {}
        self._by_socket: dict[zmq.Socket, AgentConnection] = {}

    def __getitem__(self, target_id: str) -> AgentConnection:
        return self._by_target_id[target_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_target_id)

    def __len__(self) -> int:
        return len(self._by_target_id)

    def find_by_socket(self, sock: zmq.Socket) -> AgentConnection | None:
        """Return the connection of a socket, or ``None`` if it was removed."""
        return self._by_socket.get(sock)

    def add(self, connection: AgentConnection) -> None:
        """Add a connection under the target id of its view."""
        self._by_target_id[connection.view.target_id] = connection
        if isinstance(connection.channel, AgentSocket):
            self._by_socket[connection.channel.socket] = connection

    def remove(self, connection: AgentConnection) -> None:
        """Remove a connection."""
        del self._by_target_id[connection.view.target_id]
        if isinstance(connection.channel, AgentSocket):
            del self._by_socket[connection.channel.socket]

    def rename(self, target_id: str, new_target_id: str) -> None:
        """Move a connection to another target id; its view keeps the old one."""
        self._by_target_id[new_target_id] = self._by_target_id.pop(target_id)
