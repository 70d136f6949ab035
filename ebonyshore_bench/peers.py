"""Runs many agents or entries in one process, as peers of the process under measurement.

The peers use the real sockets and messages. The process prints a line when it is ready. For each
line on standard input it prints one line of JSON: the bytes that its sockets have exchanged with
the process under measurement, and the settings revisions that its peers have received.
"""

import argparse
import os
import socket
import struct
import sys
from pathlib import Path

import zmq
from msgspec import Struct
from msgspec.json import decode, encode

from ebonyshore.agent.agent_server import AgentServer, Outgoing, StatusChanged
from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import UpdateInstances
from ebonyshore.entry.membership import Membership
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.link.curve import secure_server
from ebonyshore.link.messages import Hello, Load, Ping, SettingsRequest, SettingsSnapshot
from ebonyshore.store.platform_api import Instance

_TCP_INFO_BYTES = 256
_BYTES_ACKED_OFFSET = 120  # of tcpi_bytes_acked in struct tcp_info; tcpi_bytes_received follows
_SOCKET_PREFIX = "socket:"


class PeerReport(Struct, frozen=True):
    """Report that the process prints on request.

    :param sent_bytes: TCP payload sent by the peers.
    :param received_bytes: TCP payload received by the peers.
    :param connections: number of TCP connections.
    :param revisions: newest settings revision of each agent that has received one, with the
        monotonic time in ms at which it arrived.
    """

    sent_bytes: int
    received_bytes: int
    connections: int
    revisions: list[tuple[int, float]]


def read_tcp_bytes(ports: set[int]) -> tuple[int, int, int]:
    """Read the TCP counters of this process's sockets whose local or remote port is in ``ports``.

    :return: sent bytes, received bytes and number of connections.
    """
    total = [0, 0, 0]
    for name in os.listdir("/proc/self/fd"):
        counted = _read_socket_bytes(int(name), ports)
        total = [old + new for old, new in zip(total, counted, strict=True)]
    return total[0], total[1], total[2]


def _read_socket_bytes(descriptor: int, ports: set[int]) -> tuple[int, int, int]:
    try:
        if not os.readlink(f"/proc/self/fd/{descriptor}").startswith(_SOCKET_PREFIX):
            return 0, 0, 0
        sock = socket.socket(fileno=os.dup(descriptor))
    except OSError:
        return 0, 0, 0
    with sock:
        try:
            socket_ports = {sock.getsockname()[1], sock.getpeername()[1]}
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        except (OSError, IndexError, TypeError):
            return 0, 0, 0
    if not socket_ports & ports:
        return 0, 0, 0
    sent, received = struct.unpack_from("QQ", info, _BYTES_ACKED_OFFSET)
    return sent, received, 1


class PeerAgentServer(AgentServer):
    """An agent server that can run several times in one process.

    ZeroMQ allows one authenticator per process, so only one of the servers opens it.

    :param is_authenticator: whether this server authenticates the connections of all of them.
    :param arguments: arguments of :class:`AgentServer`.
    """

    def __init__(self, is_authenticator: bool, *arguments: object) -> None:
        super().__init__(*arguments)
        self._is_authenticator = is_authenticator

    def open(self) -> None:
        if self._is_authenticator:
            super().open()
            return
        context = zmq.Context.instance()
        self._authenticator = context.socket(zmq.REP)
        self._socket = context.socket(zmq.ROUTER)
        self._socket.linger = 0
        secure_server(self._socket, self._fleet)
        self._socket.bind(self._address)
        self.poller.register(self._socket, zmq.POLLIN)


class AgentPeers:
    """Agents that answer pings and record the settings revisions they receive.

    :param ports: a TCP port for each agent.
    :param fleet: keys of the fleet.
    :param models: names of the models that each agent reports as loaded.
    """

    def __init__(self, ports: list[int], fleet: FleetSettings, models: tuple[str, ...]) -> None:
        self.ports = set(ports)
        self._clock = SystemClock()
        self._revisions: dict[int, tuple[int, float]] = {}
        self._servers = [self._start_server(port, fleet, models) for port in sorted(ports)]

    def report(self) -> PeerReport:
        """Return the bytes exchanged since the start and the revisions received."""
        return PeerReport(*read_tcp_bytes(self.ports), list(self._revisions.values()))

    def _start_server(
        self, port: int, fleet: FleetSettings, models: tuple[str, ...]
    ) -> AgentServer:
        clock = self._clock
        name = f"peer-{port}"
        server = PeerAgentServer(
            port == min(self.ports),
            f"tcp://127.0.0.1:{port}",
            name,
            name,
            "engine",
            fleet,
            clock,
            Metrics(),
            EventLog(instance_id=name),
        )

        def record_snapshot(_: bytes, message: SettingsSnapshot) -> None:
            self._revisions[port] = (message.revision, clock.monotonic_ms())
            server.post(StatusChanged(Load(max_running=16), models, message.revision, False))

        def request_if_newer(peer: bytes, message: Hello | Ping) -> None:
            known = self._revisions.get(port, (0, 0.0))[0]
            if message.settings_revision > known:
                server.post(Outgoing(peer, SettingsRequest(known)))

        server.subscribe(SettingsSnapshot, record_snapshot)
        server.subscribe(Hello, request_if_newer)
        server.subscribe(Ping, request_if_newer)
        server.start()
        server.post(StatusChanged(Load(max_running=16), models, 0, False))
        return server


class EntryPeers:
    """Entries that are connected to one agent and only ping it.

    :param count: number of entries.
    :param agent: the agent to connect to.
    :param fleet: keys of the fleet.
    """

    def __init__(self, count: int, agent: Instance, fleet: FleetSettings) -> None:
        self.ports = {int(agent.address.rpartition(":")[2])}
        self._links = [self._start_link(number, agent, fleet) for number in range(count)]

    def report(self) -> PeerReport:
        """Return the bytes exchanged since the start."""
        return PeerReport(*read_tcp_bytes(self.ports), [])

    def _start_link(self, number: int, agent: Instance, fleet: FleetSettings) -> AgentLink:
        name = f"peer-{number}"
        clock = SystemClock()
        revisions = [0]
        link = AgentLink(
            name,
            Membership(),
            lambda: revisions[-1],
            fleet,
            clock,
            Metrics(),
            EventLog(instance_id=name),
        )
        # An entry with an older revision than the agent's would get a snapshot with each heartbeat.
        link.subscribe(SettingsSnapshot, lambda _, snapshot: revisions.append(snapshot.revision))
        link.start()
        link.post(UpdateInstances((agent,)))
        return link


class PeerOptions(Struct, frozen=True):
    """Options of the process: it runs entries if ``agent`` is given, else agents.

    :param fleet: keys of the fleet.
    :param ports: TCP ports of the agents to run.
    :param models: names of the models that the agents report as loaded.
    :param count: number of entries to run.
    :param agent: agent that the entries connect to.
    """

    fleet: FleetSettings
    ports: list[int] = []
    models: tuple[str, ...] = ()
    count: int = 0
    agent: Instance | None = None


def main() -> None:
    """Run the peers until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--options", type=Path, required=True)
    options = decode(parser.parse_args().options.read_bytes(), type=PeerOptions)
    if options.agent is None:
        peers = AgentPeers(options.ports, options.fleet, options.models)
    else:
        peers = EntryPeers(options.count, options.agent, options.fleet)
    print("ready", flush=True)
    for _ in sys.stdin:
        print(encode(peers.report()).decode(), flush=True)
    os._exit(0)  # the peers have no state that a graceful shutdown would save


if __name__ == "__main__":
    main()
