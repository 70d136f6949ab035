"""An entry or a runner as a real process on loopback."""

import copy
import os
import resource
import signal
import socket
import subprocess
import sys
from http.client import HTTPException
from pathlib import Path
from typing import Self

from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_config import ROUTE_HOST

BYTES_PER_MB = 1_000_000
SETTINGS_TEMPLATE = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "fd-a"
Region = "r1"
InternalPorts = [{internal}, {internal_last}]
HeartbeatMs = 400
{disk}
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Bounds]
GraceS = 8
QuotaOverage = {quota_overage}
QuotaSlack = {quota_slack}
{bounds}
{limits}
[Platform]
Address = "{store}"
"""


def free_port(ip: str) -> int:
    """Return a TCP port of an address that is free now; another process may take it at any time."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class FleetProcess:
    """An entry or runner that listens on its own loopback address.

    :param role: ``entry`` or ``runner``.
    :param name: id of the instance; also names its settings file and its log.
    :param ip: a loopback address; the process listens on the same ports of it after every start.
    :param folder: folder for the settings file and the log.
    :ivar front_port: port for callers.
    :ivar ready_port: port for the load balancer's health checks.
    :ivar revocation_ms: bound on the use of removed keys; ``None`` if there is none.
    :ivar quota_overage: part of a limit of an account by which the platform lets it be exceeded.
    :ivar quota_slack: number of requests by which it lets it be exceeded besides.
    :ivar memory_mb: limit of the memory of the process; ``None`` if there is none.
    :ivar max_descriptors: limit of its open descriptors; ``None`` if there is none.
    :ivar key: key that calls carry if they name no other; ``None`` if they carry none.
    :ivar data_folder: folder on the disk of its instance; ``None`` if it has no disk, as entries.
    :ivar interpreter_arguments: arguments of the Python interpreter before the role; change them
        before the start.
    """

    def __init__(self, role: str, name: str, ip: str, folder: Path) -> None:
        self.role = role
        self.name = name
        self.ip = ip
        self.front_port = free_port(ip)
        self.ready_port = free_port(ip)
        self.revocation_ms: int | None = None
        self.quota_overage = 0.0
        self.quota_slack = 0.0
        self.memory_mb: float | None = None
        self.max_descriptors: int | None = None
        self.key: str | None = None
        self.interpreter_arguments: tuple[str, ...] = ("-m", "ebonyshore.platform")
        self.data_folder = folder / f"{name}-data" if role == "runner" else None
        self._log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self._internal_port = free_port(ip)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Operating system's id of the process."""
        return self._process.pid

    @property
    def internal_port(self) -> int:
        """Port for the calls of other instances."""
        return self._internal_port

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def write_settings(self, store_address: str) -> None:
        """Write the settings file, with the present bounds.

        :param store_address: ``IP:PORT`` of the object store.
        """
        bounds = (
            ""
            if self.revocation_ms is None
            else f"StrictRevoke = true\nRevokeMs = {self.revocation_ms}"
        )
        disk = "" if self.data_folder is None else f'DataDir = "{self.data_folder}"'
        limits = "[Limits]\n"
        if self.memory_mb is not None:
            limits += f"MemoryMb = {self.memory_mb}\n"
        if self.max_descriptors is not None:
            limits += f"MaxFds = {self.max_descriptors}\n"
        self._settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=self.name,
                ip=self.ip,
                internal=self._internal_port,
                internal_last=self._internal_port,
                front=self.front_port,
                ready=self.ready_port,
                store=store_address,
                disk=disk,
                quota_overage=self.quota_overage,
                quota_slack=self.quota_slack,
                bounds=bounds,
                limits=limits,
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

    def limit_descriptors(self, count: int) -> None:
        """Let the kernel refuse more open descriptors to the running process."""
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (count, count))

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
        if self.is_running:
            self.kill()

    def is_ready(self) -> bool:
        """Return whether the health check succeeds, so that a load balancer would send requests."""
        try:
            connection = WholeResponseConnection(self.ip, self.ready_port, timeout=1)
            connection.request("GET", WIRE_NAMES.ready_path)
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False

    def resident_mb(self) -> float:
        """Return the memory that the process uses; 0 if it has just ended."""
        try:
            pages = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii").split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    def read_log(self) -> str:
        """Return what the process has written to its log in all its runs."""
        return self._log_path.read_text(encoding="utf-8")

    def with_key(self, key: str | None) -> Self:
        """Return an object for calls to this process with another key.

        :param key: ``None`` for calls without a key.
        """
        caller = copy.copy(self)
        caller.key = key
        return caller

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Make one call as a client, with :attr:`key` unless the headers have another.

        :return: HTTP status, headers and body of the response.
        :raises OSError: if the connection fails or there is no data for ``timeout_s``.
        :raises http.client.HTTPException: if the response is incomplete.
        """
        connection = WholeResponseConnection(self.ip, self.front_port, timeout=timeout_s)
        try:
            key_header = {} if self.key is None else {"Authorization": f"Bearer {self.key}"}
            all_headers = {"Host": ROUTE_HOST, **key_header, **(headers or {})}
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()
