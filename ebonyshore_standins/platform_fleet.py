"""Entries and runners as real processes on loopback, with a stand-in object store and targets."""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.object_store_server import ObjectStoreServer
from ebonyshore_standins.stream_target import StreamTarget

ROUTE_HOST = "tier.example"
STREAM_PREFIX = "/ask/"
SINGLE_ATTEMPT_PREFIX = "/once/"
BATCH_PREFIX = "/plans/"
SERVICE = "svc"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_MS = 20.0
CLOCK = SystemClock()
STREAM_DEADLINE_MS = 5_000

SETTINGS_TEMPLATE = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "fd-a"
Region = "r1"
InternalPorts = [{internal}, {internal_last}]
HeartbeatMs = 400
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Bounds]
GraceS = 8
[Platform]
Address = "{store}"
"""


def free_port(ip: str) -> int:
    """Return a TCP port of an address that is free now; another process may take it at any time."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def route(name: str, prefix: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route for the configuration.

    :param prefix: path prefix of the requests.
    :param kind: ``idempotent``, ``non_idempotent``, ``streaming`` or ``batch``.
    :param fields: further fields of the route, or other values for the default ones.
    """
    return {
        "Name": name,
        "Hostname": ROUTE_HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "Service": SERVICE,
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 500,
        "MaxAttempts": 3,
        **fields,
    }


def make_config(version: int, *extra_routes: dict[str, object]) -> dict[str, object]:
    """Return a configuration with a resumable, a single-attempt and a batch route.

    :param extra_routes: further routes, as :func:`route` returns them.
    """
    return {
        "Version": version,
        "Routes": [
            route("ask", STREAM_PREFIX, "streaming", Resumable=True),
            route("once", SINGLE_ATTEMPT_PREFIX, "streaming", MaxAttempts=1),
            route("plans", BATCH_PREFIX, "batch", RetentionS=60, CompletionTargetMs=18_000),
            *extra_routes,
        ],
        "Services": [{"Name": SERVICE, "MaxConnections": 200}],
        "Limits": {"MaxBodyBytes": 4_194_304, "IdleTimeoutMs": 5_000},
    }


class FleetProcess:
    """An entry or runner that listens on its own loopback address.

    :param role: ``entry`` or ``runner``.
    :param name: id of the instance; also names its settings file and its log.
    :param ip: a loopback address; the process listens on the same ports of it after every start.
    :param folder: folder for the settings file and the log.
    :ivar front_port: port for callers.
    :ivar ready_port: port for the load balancer's health checks.
    :ivar interpreter_arguments: arguments of the Python interpreter before the role; change them
        before the start.
    """

    def __init__(self, role: str, name: str, ip: str, folder: Path) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self.front_port = free_port(ip)
        self.ready_port = free_port(ip)
        self.interpreter_arguments: tuple[str, ...] = ("-m", "ebonyshore.platform")
        self._log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self._internal_port = free_port(ip)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Operating system's id of the process."""
        return self._process.pid

    def write_settings(self, store_address: str) -> None:
        """Write the settings file.

        :param store_address: ``IP:PORT`` of the object store.
        """
        self._settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=self.name,
                ip=self.ip,
                internal=self._internal_port,
                internal_last=self._internal_port,
                front=self.front_port,
                ready=self.ready_port,
                store=store_address,
            )
        )

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        environment = {**os.environ, "EBONYSHORE_CONFIG": str(self._settings_path)}
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self.interpreter_arguments, self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait(10)

    def stop(self, timeout_s: float = 12.0) -> int:
        """Stop the process with SIGTERM, also if it is stopped by SIGSTOP.

        :return: the exit status.
        :raises subprocess.TimeoutExpired: if the process does not end within ``timeout_s``.
        """
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.terminate()
        return self._process.wait(timeout_s)

    def wait(self, timeout_s: float = 10.0) -> int:
        """Wait until the process ends by itself.

        :return: the exit status.
        :raises subprocess.TimeoutExpired: if the process does not end within ``timeout_s``.
        """
        return self._process.wait(timeout_s)

    def kill_if_running(self) -> None:
        """Kill the process if it was started and still runs."""
        if self._process is not None and self._process.poll() is None:
            self.kill()

    def is_ready(self) -> bool:
        """Return whether the health check succeeds, so that a load balancer would send requests."""
        try:
            connection = HTTPConnection(self.ip, self.ready_port, timeout=1)
            connection.request("GET", WIRE_NAMES.ready_path)
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False

    def read_log(self) -> str:
        """Return what the process has written to its log in all its runs."""
        return self._log_path.read_text(encoding="utf-8")

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Make one call as a client.

        :return: HTTP status, headers and body of the response.
        :raises OSError: if the connection fails or there is no data for ``timeout_s``.
        :raises http.client.HTTPException: if the response is incomplete.
        """
        connection = HTTPConnection(self.ip, self.front_port, timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Host": ROUTE_HOST, **(headers or {})})
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()


class PlatformFleet:
    """Entries, runners and targets that share one object store.

    :param folder: folder for settings files and logs.
    :param entries: number of entries.
    :param runners: number of runners.
    :param targets: number of targets.
    :param address_octet: third octet of the loopback addresses of entries and runners; fleets that
        run at the same time need different ones.
    :param make_target: returns a target with a given id.
    :ivar platform: the stand-in object store.
    """

    def __init__(
        self,
        folder: Path,
        entries: int = 2,
        runners: int = 2,
        targets: int = 3,
        address_octet: int = 1,
        make_target: Callable[[str], StreamTarget] = StreamTarget,
    ) -> None:
        self.platform = ObjectStoreServer()
        self.targets = [make_target(f"t{number}") for number in range(1, targets + 1)]
        names = [("entry", n) for n in range(entries)] + [("runner", n) for n in range(runners)]
        self.processes = [
            FleetProcess(role, f"{role}-{n}", f"127.0.{address_octet}.{index + 1}", folder)
            for index, (role, n) in enumerate(names)
        ]
        self.entries = self.processes[:entries]
        self.runners = self.processes[entries:]
        self.set_store_address(self.platform.address)

    def set_store_address(self, address: str) -> None:
        """Write another address of the object store to all settings files, for the next starts.

        :param address: ``IP:PORT``.
        """
        for process in self.processes:
            process.write_settings(address)

    def start(self, target_entries: dict[str, dict[str, object]] | None = None) -> None:
        """Start the store, the targets and all processes, and wait until the fleet is ready.

        It is ready when the entries pass the health check, all processes are registered in the
        store and the entries reach the runners.

        :param target_entries: objects of the list of targets, by target id, for targets that run
            already. If omitted, the fleet starts and lists its own targets.
        :raises TimeoutError: if the fleet is not ready in time.
        """
        self.platform.start()
        self.platform.state.put("config", "main", make_config(1))
        if target_entries is None:
            for target in self.targets:
                target.start()
            target_entries = {
                target.target_id: target.target_entry(SERVICE) for target in self.targets
            }
        for target_id, entry in target_entries.items():
            self.platform.state.put("servers", target_id, entry)
        for process in self.processes:
            process.start()
        wait_until(lambda: all(entry.is_ready() for entry in self.entries))
        wait_until(self._are_registered)
        wait_until(lambda: all(_reaches_runners(entry) for entry in self.entries))

    def stop(self) -> None:
        """Stop the targets and the store, and kill all processes that still run."""
        for process in self.processes:
            process.kill_if_running()
        for target in self.targets:
            target.stop()
        self.platform.stop()

    def _are_registered(self) -> bool:
        with self.platform.state.changed:
            registered = {name for kind, name in self.platform.state.objects if kind == "processes"}
        return {process.name for process in self.processes} <= registered


def _reaches_runners(entry: FleetProcess) -> bool:
    return read_job(entry, "unknown")[0] == 404


def wait_until(condition, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll until a condition holds.

    :param condition: function without parameters that returns whether the condition holds.
    :raises TimeoutError: if the condition does not hold within ``timeout_s``.
    """
    deadline_ms = CLOCK.monotonic_ms() + timeout_s * MS_PER_S
    while not condition():
        if CLOCK.monotonic_ms() > deadline_ms:
            raise TimeoutError(f"the condition did not become true within {timeout_s} s")
        CLOCK.sleep_ms(POLL_INTERVAL_MS)


def item_body(number: int) -> bytes:
    """Return the body of the request that runs an item of :func:`job_body`.

    :param number: position of the item in its job.
    """
    return f"body {number}".encode()


def job_body(job_id: str, items: int, events: int = 6) -> bytes:
    """Return the request body that submits a job.

    :param items: number of items.
    :param events: number of events that a target generates for each item.
    """
    return json.dumps(
        {
            "Items": [
                {
                    "Id": f"{job_id}-{number}",
                    "Path": f"{BATCH_PREFIX}{number}",
                    "Headers": {"Length-Hint": str(events), "Model": "m"},
                    "Body": base64.b64encode(item_body(number)).decode(),
                    "TokenCount": 10,
                }
                for number in range(items)
            ]
        }
    ).encode()


def request_stream(
    entry: FleetProcess,
    request_id: str,
    prefix: str = STREAM_PREFIX,
    events: int = 6,
    timeout_s: float = 10.0,
    body: bytes = b"question",
) -> tuple[int, dict[str, str], bytes]:
    """Request a stream through an entry.

    :param prefix: path prefix that selects the route.
    :param events: number of events that the target generates.
    :param body: body of the request.
    :return: HTTP status, headers and body of the response.
    """
    headers = {
        WIRE_NAMES.request_id: request_id,
        WIRE_NAMES.remaining_ms: str(STREAM_DEADLINE_MS),
        "Length-Hint": str(events),
    }
    return entry.call("POST", f"{prefix}x", headers, body, timeout_s)


def stream_data(body: bytes) -> str:
    """Return the data of all events in a response body, joined by line feeds."""
    lines = body.decode().split("\n")
    return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data: "))


def submit_job(
    entry: FleetProcess, job_id: str, items: int = 6, events: int = 6, timeout_s: float = 10.0
) -> int:
    """Submit a job through an entry.

    :param items: number of items.
    :param events: number of events that a target generates for each item.
    :return: HTTP status of the response.
    """
    body = job_body(job_id, items, events)
    headers = {WIRE_NAMES.request_id: job_id, "Content-Type": "application/json"}
    return entry.call("POST", f"{BATCH_PREFIX}{job_id}", headers, body, timeout_s)[0]


def read_job(
    entry: FleetProcess, job_id: str, first: int = 0, timeout_s: float = 10.0
) -> tuple[int, dict[str, object]]:
    """Read a page of a job's results through an entry.

    :param first: position of the first result.
    :return: HTTP status, and the page; the page is empty unless the status is 200.
    """
    path = f"{WIRE_NAMES.jobs_path}{job_id}?{WIRE_NAMES.results_from}={first}"
    status, _, body = entry.call("GET", path, {WIRE_NAMES.wait_ms: "500"}, timeout_s=timeout_s)
    return status, json.loads(body) if status == 200 else {}


def read_item_body(entry: FleetProcess, job_id: str, item_id: str) -> tuple[int, bytes]:
    """Read the request body of a job's item through an entry.

    :return: HTTP status and body of the response.
    """
    path = f"{WIRE_NAMES.item_bodies_path}{job_id}?{WIRE_NAMES.item_id}={item_id}"
    status, _, body = entry.call("GET", path)
    return status, body


def cancel_job(entry: FleetProcess, job_id: str, timeout_s: float = 10.0) -> int:
    """Cancel a job through an entry.

    :return: HTTP status of the response.
    """
    return entry.call("DELETE", f"{WIRE_NAMES.jobs_path}{job_id}", timeout_s=timeout_s)[0]
