"""Set-up for tests of forwarding: a forwarder on loopback, a plain client and scripted targets."""

import asyncio
from random import Random
from types import SimpleNamespace

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.authentication import Authenticator
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.list_check import ListCheck
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.gateway.stream_origins import StreamOrigins
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS, CrashGuard
from ebonyshore.host.routes import Route, RouteKind, ServiceShare
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.targets import TargetTable
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.link.peers import PeerRecord
from ebonyshore.link.suspicion import SHARED_CONVICTION_CRASHES, SuspicionTable
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.target_entries import decode_start
from ebonyshore.platform.wire_names import WIRE_NAMES


def make_route(**overrides):
    values = {
        "name": "r1",
        "host": "host.example",
        "path_prefix": "/p/",
        "kind": RouteKind.STREAMING,
        "shares": (ServiceShare("svc", 1.0),),
        "timeout_ms": 3_000.0,
        "target_latency_ms": 300.0,
        "max_attempts": 2,
        "is_resumable": True,
    }
    return Route(**{**values, **overrides})


def make_suspicions(own_id="e1"):
    table = SuspicionTable(SUSPICION_EXPIRY_MS, SHARED_CONVICTION_CRASHES)
    return SuspicionExchange(own_id, table, EventLog(), Metrics())


class FirstChoiceRandom(Random):
    """Makes the forwarder choose the first target that has free slots."""

    def random(self):
        return 0.0


class ConfirmedList(ListCheck):
    """A list of targets that is as the table has it."""

    async def confirm(self):
        return True


class Gateway:
    """A forwarder behind an HTTP server."""

    def __init__(self, route, limits=None, checker=None):
        self.route = route
        self.table = TargetTable()
        self.metrics = Metrics()
        self.load_changes = 0
        self.view = LoadView("fd-a", self._count_load_change)
        self.pool = ConnectionPool(4)
        self.failures = []
        self.suspicions = make_suspicions()
        self.checker = checker or TargetChecker(WIRE_NAMES, self.pool, decode_start)
        self.crash_guard = CrashGuard(
            self.table, self.checker, self.suspicions, SystemClock(), EventLog(), Metrics()
        )
        self.datagrams = []
        peers = SimpleNamespace(
            own=PeerRecord("e1", "entry", "127.0.0.1", 1, "fd-a", "run-1"),
            addresses=lambda _role: [],
            of_role=lambda _role: {},
        )
        self.origins = StreamOrigins(
            peers,
            self.table,
            lambda *sent: self.datagrams.append(sent),
            lambda: True,
            ConfirmedList(),
        )
        self.config = ConfigService("config/main", decode_config, EventLog())
        self.is_config_confirmed = True
        self.authenticator = Authenticator(
            WIRE_NAMES, self.config, lambda: self.is_config_confirmed
        )
        self.forwarder = Forwarder(
            WIRE_NAMES,
            self.table,
            self.view,
            self.pool,
            self.checker,
            self.crash_guard,
            self.origins,
            EventLog(),
            self.metrics,
            FirstChoiceRandom(1),
            self.authenticator,
        )
        self.server = HttpServer(
            self._serve, limits or ServerLimits(), lambda _r, error: self.failures.append(error)
        )

    def _count_load_change(self):
        self.load_changes += 1

    async def _serve(self, request, responder):
        account = self.authenticator.authenticate(request.headers, self.route.is_public)
        await self.forwarder.forward(self.route, request, responder, account)

    async def start(self, *targets, versions=()):
        """Start the targets ``t1`` and so on.

        :param versions: their software versions; all have the same one if there are none.
        """
        for number, target in enumerate(targets, 1):
            address = await target.start()
            version = versions[number - 1] if versions else "v1"
            self.table.put(
                TargetEntry(
                    f"t{number}",
                    "svc",
                    address,
                    "fd-a",
                    8,
                    started_ms=1,
                    software_version=version,
                )
            )
        await self.server.listen("127.0.0.1", 0)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def request(
        self,
        body=b"",
        headers=(),
        method="POST",
        target="/p/x",
        deadline="2500",
        request_id="req-1",
    ):
        """Send one request on a new connection and return all bytes of the response."""
        reader, writer = await self.connect()
        writer.write(encode_request(body, headers, method, target, True, deadline, request_id))
        data = await asyncio.wait_for(read_all(reader), 10)
        writer.close()
        return data

    def close(self):
        self.server.stop_listening()
        self.pool.close()


def encode_request(
    body=b"",
    headers=(),
    method="POST",
    target="/p/x",
    close=False,
    deadline="2500",
    request_id="req-1",
):
    lines = [f"{method} {target} HTTP/1.1", "Host: host.example", f"Attempt-Id: {request_id}"]
    lines += [f"Deadline-Ms: {deadline}", f"Content-Length: {len(body)}", *headers]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_all(reader):
    parts = []
    try:
        while part := await reader.read(65_536):
            parts.append(part)
    except ConnectionResetError:
        parts.append(b"<reset>")
    return b"".join(parts)


def status_of(answer):
    return int(answer.split(b" ", 2)[1])


def event_ids(answer):
    return [int(line[4:]) for line in answer.split(b"\n") if line.startswith(b"id: ")]


def is_complete_stream(answer):
    return answer.endswith(b"0\r\n\r\n")
