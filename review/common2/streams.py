"""Streams and a job at servers whose answers end with their connections, and checks of both."""

import asyncio
import re
import threading
import time
from http.client import HTTPException
from pathlib import Path

from harness import CaseError, Record
from servers import Link, ServerProcess

from ebonyshore_standins.fleet_client import read_job, request_stream
from ebonyshore_standins.fleet_config import SERVICE, route
from ebonyshore_standins.fleet_process import FleetProcess
from ebonyshore_standins.object_store_server import ObjectStoreState
from ebonyshore_standins.platform_fleet import PlatformFleet

CAPTION_PREFIX = "/caption/"
RESULTS_S = 45.0
HEARTBEAT_S = 1.2  # HeartbeatMs
FIRST_BEAT_S = 1.1  # until a server that has started writes to the list


def caption_route() -> dict[str, object]:
    """Return a route of streams that may not be resumed, with the values of `tkh-press`."""
    return route(
        "caption",
        CAPTION_PREFIX,
        "streaming",
        MaxAttempts=1,
        TimeoutMs=5_132,
        TargetLatencyMs=308,
        GapTargetMs=1_000,
    )


class Client:
    """Sends one request on a thread of its own and notes its answer.

    :ivar events: number of events of the answer, if that ended as complete.
    :ivar versions: versions of the software that wrote them.
    """

    def __init__(
        self, entry: FleetProcess, request_id: str, prefix: str, events: int, record: Record
    ) -> None:
        self.request_id = request_id
        self.expected_events = events
        self.events = 0
        self.is_complete = False
        self.versions: set[str] = set()
        self._entry, self._prefix, self._record = entry, prefix, record
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Send the request."""
        self._record.write(f"{self.request_id}: sent to {self._prefix}")
        self._thread.start()

    def join(self) -> None:
        """Wait for the answer."""
        self._thread.join(10)

    @property
    def is_short(self) -> bool:
        """Whether the answer ended as complete before its last event."""
        return self.is_complete and self.events < self.expected_events

    def _run(self) -> None:
        try:
            status, headers, body = request_stream(
                self._entry, self.request_id, self._prefix, self.expected_events, timeout_s=9.0
            )
        except (OSError, HTTPException) as error:
            self._record.write(f"{self.request_id}: answer broken off: {error!r}")
            return
        self.is_complete = status == 200
        self.events = body.count(b"\ndata: ")
        self.versions = set(re.findall(r"^data: \S+ (\S+)$", body.decode(), re.MULTILINE))
        self._record.write(
            f"{self.request_id}: status {status}, ended as complete with {self.events} events of"
            f" {self.expected_events} by {', '.join(sorted(self.versions))},"
            f" {headers.get('Server-Signature', 'no signature')}"
        )


class Servers:
    """Model servers, each behind a link.

    :param folder: for what they write.
    :param count: number of servers.
    :param event_ms: time between two events.
    :param framing: how answers end, see :class:`ServerProcess`.
    """

    def __init__(self, folder: Path, count: int, event_ms: float, framing: str = "close") -> None:
        self.servers = [
            ServerProcess(f"s{n}", folder / f"s{n}.out", event_ms, framing) for n in range(count)
        ]
        self.links = [Link(server.port) for server in self.servers]
        self._states = ["ready"] * count
        self._sequences = [0] * count
        self._beat_s = [0.0] * count
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def start(self) -> dict[str, dict[str, object]]:
        """Start all servers; return their entries in the list of servers."""
        for server, link in zip(self.servers, self.links, strict=True):
            server.start()
            asyncio.run_coroutine_threadsafe(link.listen(), self._loop).result(5)
        return {server.server_id: self._entry(n) for n, server in enumerate(self.servers)}

    def register(self, state: ObjectStoreState) -> None:
        """Let the servers write to the list of servers from now on, as the platform's do.

        The entry of a server that has ended is removed after three heartbeats without a write.
        """
        threading.Thread(target=self._beat, args=(state,), daemon=True).start()

    def restart(self, number: int) -> None:
        """Start a server again under its id; its first write comes within a heartbeat."""
        self._beat_s[number] = time.monotonic() + FIRST_BEAT_S
        self.servers[number].start()

    def announce_leaving(self, number: int) -> None:
        """Let a server write that it leaves."""
        self._states[number] = "draining"
        self._beat_s[number] = 0.0

    def _beat(self, state: ObjectStoreState) -> None:
        written_s = [time.monotonic()] * len(self.servers)
        while True:
            time.sleep(0.02)
            now_s = time.monotonic()
            for number, server in enumerate(self.servers):
                if server.is_running and not self.links[number].is_cut:
                    if now_s >= self._beat_s[number]:
                        state.put("servers", server.server_id, self._entry(number))
                        self._beat_s[number] = now_s + HEARTBEAT_S
                        written_s[number] = now_s
                elif now_s - written_s[number] > 3 * HEARTBEAT_S:
                    state.delete("servers", server.server_id, None)

    def _entry(self, number: int) -> dict[str, object]:
        self._sequences[number] += 1
        return {
            "Service": SERVICE,
            "Address": f"127.0.0.1:{self.links[number].port}",
            "Zone": "fd-a",
            "Version": self.servers[number].version,
            "Capacity": 8,
            "State": self._states[number],
            "ColdRemainingMs": 0,
            "Sequence": self._sequences[number],
            "born": self.servers[number].born_ms(),
        }

    def cut(self, number: int) -> None:
        """Let nothing pass to or from a server."""
        self._loop.call_soon_threadsafe(self.links[number].cut)

    def heal(self, number: int, spread_s: float) -> None:
        """End the cut of a server, see :meth:`Link.heal`."""
        self._loop.call_soon_threadsafe(self.links[number].heal, spread_s)

    def busiest(self, record: Record) -> int:
        """Return the number of the server with the most runs, where items count most."""
        sent = [server.sent_events() for server in self.servers]
        items = [sum(key.startswith("j") for key in runs) for runs in sent]
        record.write(f"runs by server: {[len(runs) for runs in sent]}, items: {items}")
        victim = max(range(len(sent)), key=lambda n: 10 * items[n] + len(sent[n]))
        if len(sent[victim]) < 4 or items[victim] < 2:
            raise CaseError("too few runs at one server")
        return victim

    def kill(self, record: Record) -> None:
        """Kill all servers, and record what they have run."""
        for server in self.servers:
            server.kill()
            for run in server.runs():
                record.write(run)


def check_streams(record: Record, clients: list[Client]) -> int:
    """Return the number of streams that end as complete before their last event."""
    short = [client for client in clients if client.is_short]
    full = sum(client.is_complete and not client.is_short for client in clients)
    record.say(f"streams: {full} complete, {len(short)} end as complete before their last event")
    for client in short:
        record.say(f"  {client.request_id}: {client.events} of {client.expected_events} events")
    if full < len(clients) / 3:
        raise CaseError("the fleet did not serve")
    return len(short)


def check_items(record: Record, fleet: PlatformFleet, job_id: str, items: int, events: int) -> int:
    """Return the number of items that are listed as complete without their whole output."""
    end_s = time.monotonic() + RESULTS_S
    results: list[dict[str, str]] = []
    while len(results) < items and time.monotonic() < end_s:
        time.sleep(0.5)
        results = read_job(fleet.entries[1], job_id)[1].get("Results", [])
    if len(results) < items:
        raise CaseError("the job did not end")
    for result in results:
        count = result["Data"].count("\n") + 1
        record.write(f"{result['Id']}: listed as {result['State']} with {count} events of {events}")
    short = [
        (result["Id"], result["Data"].count("\n") + 1)
        for result in results
        if result["State"] == "complete" and result["Data"].count("\n") + 1 < events
    ]
    record.say(f"items: {len(results)} listed, {len(short)} as complete without the whole output")
    for item_id, count in short:
        record.say(f"  {item_id}: {count} of {events} events")
    return len(short)
