"""A fleet of real processes on loopback, for the demo, the bench and end-to-end tests."""

import socket
import subprocess
import sys
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import zmq
from msgspec.json import encode

from ebonyshore.commands.admin_client import AdminClient
from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.store.platform_api import Instance

OPERATOR_TOKEN = "local-operator-token"
START_TIMEOUT_MS = 15_000
POLL_INTERVAL_MS = 50
STOP_TIMEOUT_S = 20

SETTINGS_TEMPLATE = """\
[instance]
instance_id = "{instance_id}"
failure_domain = "{failure_domain}"

[admin]
port = {admin_port}
operator_token = "{operator_token}"

[fleet]
public_key_z85 = '{public_key}'
secret_key_z85 = '{secret_key}'

[platform]
url = "http://127.0.0.1:{platform_port}"
instance_poll_interval_ms = 500

[log]
path = "{log_path}"
"""


@dataclass(slots=True)
class EntryProcess:
    """A running entry.

    :ivar port: port of the HTTP API for callers.
    """

    instance_id: str
    port: int
    admin: AdminClient
    process: subprocess.Popen[bytes]

    @property
    def url(self) -> str:
        """Base URL of the HTTP API for callers."""
        return f"http://127.0.0.1:{self.port}"


@dataclass(slots=True)
class TargetProcess:
    """A running target with its agent.

    :ivar port: port on which the agent accepts entries.
    :ivar target: process of the engine or plain service.
    :ivar settings_path: settings file of the agent.
    :ivar target_port: port of the engine or plain service.
    """

    instance_id: str
    port: int
    admin: AdminClient
    target: subprocess.Popen[bytes]
    agent: subprocess.Popen[bytes]
    settings_path: Path
    target_port: int = 0


@dataclass(slots=True)
class LocalFleet:
    """A stand-in platform, and the entries and targets that are added to it.

    Use it as a context manager: ``__enter__`` starts the platform, and ``__exit__`` stops all
    processes and kills those that do not end within :data:`STOP_TIMEOUT_S`.

    :param folder: folder for settings files and logs.
    :ivar platform_port: port of the stand-in platform.
    """

    folder: Path
    clock: Clock = field(default_factory=SystemClock)
    entries: list[EntryProcess] = field(default_factory=list)
    targets: list[TargetProcess] = field(default_factory=list)
    platform_port: int = 0
    _processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _keys: tuple[str, str] = ("", "")

    def __enter__(self) -> "LocalFleet":
        public, secret = zmq.curve_keypair()
        self._keys = (public.decode(), secret.decode())
        self.platform_port = free_port()
        self._start_standin("platform_server", "--port", str(self.platform_port))
        self.wait_for_port(self.platform_port)
        return self

    def __exit__(self, *_: object) -> None:
        for process in reversed(self._processes):
            process.terminate()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def add_engine(
        self,
        models: tuple[str, ...],
        failure_domain: str = "a",
        parameters: dict[str, object] | None = None,
        max_running: int = 16,
        policy: str = "policy",
    ) -> TargetProcess:
        """Start a stand-in engine and its agent, and list them at the platform.

        :param models: names of the models that the engine loads at the start.
        :param parameters: values that differ from the defaults of ``EngineParameters``.
        :param max_running: setting of the agent: maximum number of requests on the engine.
        :param policy: setting of the agent: ``policy``, ``first_come`` or ``static_split``.
        :raises EbonyshoreError: if a process does not listen within :data:`START_TIMEOUT_MS`.
        """
        engine_port = free_port()
        engine = self._start_standin(
            "engine_server",
            *("--port", str(engine_port), "--models", ",".join(models)),
            *("--parameters", encode(parameters or {}).decode()),
        )
        self.wait_for_port(engine_port)
        extra_settings = f'policy = "{policy}"\n'
        return self._add_agent(
            engine, engine_port, "engine", models, failure_domain, max_running, extra_settings
        )

    def add_service(self, name: str, failure_domain: str = "a") -> TargetProcess:
        """Start a stand-in plain service and its agent, and list them at the platform.

        :param name: name under which callers address the service, like a model.
        :raises EbonyshoreError: if a process does not listen within :data:`START_TIMEOUT_MS`.
        """
        port = free_port()
        service = self._start_standin("service_server", "--port", str(port))
        self.wait_for_port(port)
        return self._add_agent(service, port, "service", (name,), failure_domain, 16)

    def add_entry(self, failure_domain: str = "a", extra_settings: str = "") -> EntryProcess:
        """Start an entry and list it at the platform.

        :param extra_settings: TOML text for the end of the settings file, in the section ``http``;
            it may contain further sections.
        :raises EbonyshoreError: if the entry does not listen within :data:`START_TIMEOUT_MS`.
        """
        instance_id = f"entry-{len(self.entries) + 1}"
        port, admin_port = free_port(), free_port()
        text = self._settings_text(instance_id, admin_port, failure_domain)
        text += f"\n[http]\nport = {port}\n{extra_settings}"
        path = self.folder / f"{instance_id}.toml"
        path.write_text(text, encoding="utf-8")
        process = self._start("-m", "ebonyshore", "entry", "--settings", str(path))
        entry = EntryProcess(instance_id, port, self._admin_client(admin_port), process)
        self.entries.append(entry)
        self.wait_for_port(port)
        self.wait_for_port(admin_port)  # create_tier calls the admin service, which starts last
        self.call_platform("POST", "/control/instances", Instance(instance_id, "entry", entry.url))
        return entry

    def create_tier(self, name: str, models: tuple[str, ...], **settings: object) -> None:
        """Create a tier through the first entry and wait until the change is in force everywhere.

        :param models: names of the tier's models.
        :param settings: settings of the tier.
        :raises EbonyshoreError: if an entry does not see all targets with the current settings
            within :data:`START_TIMEOUT_MS`.
        """
        admin = self.entries[0].admin
        for path, values in (
            (f"/tiers/{name}", settings),
            *((f"/tiers/{name}/models/{model}", {}) for model in models),
        ):
            change = {"path": path, "values": values, "operator": "local-fleet"}
            admin.post("/admin/v1/settings", change)
        self.wait_until(self._are_settings_applied)

    def call_platform(self, method: str, path: str, value: object) -> None:
        """Call the stand-in platform.

        :param value: value to send as JSON.
        :raises EbonyshoreError: if the response has another status than 200.
        """
        connection = HTTPConnection("127.0.0.1", self.platform_port, timeout=5)
        connection.request(method, path, encode(value))
        status = connection.getresponse().status
        connection.close()
        if status != 200:
            raise EbonyshoreError(f"{method} {path}: HTTP status {status}")

    def wait_until(self, condition, timeout_ms: float = START_TIMEOUT_MS) -> None:
        """Poll until a condition holds.

        :param condition: function without parameters that returns whether the condition holds.
        :raises EbonyshoreError: if the condition does not hold within ``timeout_ms``.
        """
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        while not condition():
            if self.clock.monotonic_ms() > deadline_ms:
                raise EbonyshoreError(f"{condition.__qualname__}: not true within {timeout_ms} ms")
            self.clock.sleep_ms(POLL_INTERVAL_MS)

    def wait_for_port(self, port: int) -> None:
        """Wait until a process listens on a port of 127.0.0.1.

        :raises EbonyshoreError: if none does within :data:`START_TIMEOUT_MS`.
        """
        self.wait_until(lambda: is_listening(port))

    def _are_settings_applied(self) -> bool:
        return all(self._sees_all_targets(entry) for entry in self.entries)

    def _sees_all_targets(self, entry: EntryProcess) -> bool:
        try:
            views = entry.admin.get("/admin/v1/targets")
            revision = entry.admin.get("/admin/v1/settings")["revision"]
        except EbonyshoreError:
            return False
        current_views = [view for view in views.values() if view["settings_revision"] == revision]
        return revision > 0 and len(current_views) >= len(self.targets)

    def _add_agent(
        self,
        target: subprocess.Popen[bytes],
        target_port: int,
        kind: str,
        models: tuple[str, ...],
        failure_domain: str,
        max_running: int,
        extra_settings: str = "",
    ) -> TargetProcess:
        instance_id = f"target-{len(self.targets) + 1}"
        port, admin_port = free_port(), free_port()
        model_list = ", ".join(f'"{model}"' for model in models)
        text = self._settings_text(instance_id, admin_port, failure_domain)
        text += (
            f'\n[target]\nport = {port}\nurl = "http://127.0.0.1:{target_port}"\n'
            f'kind = "{kind}"\nmodels = [{model_list}]\nmax_running = {max_running}\n'
            f"{extra_settings}"
        )
        path = self.folder / f"{instance_id}.toml"
        path.write_text(text, encoding="utf-8")
        agent = self._start("-m", "ebonyshore", "agent", "--settings", str(path))
        process = TargetProcess(
            instance_id, port, self._admin_client(admin_port), target, agent, path, target_port
        )
        self.targets.append(process)
        self.wait_for_port(port)
        instance = Instance(
            instance_id,
            "target",
            f"tcp://127.0.0.1:{port}",
            failure_domain=failure_domain,
            models=models,
        )
        self.call_platform("POST", "/control/instances", instance)
        return process

    def _settings_text(self, instance_id: str, admin_port: int, failure_domain: str) -> str:
        public_key, secret_key = self._keys
        return SETTINGS_TEMPLATE.format(
            instance_id=instance_id,
            failure_domain=failure_domain,
            admin_port=admin_port,
            operator_token=OPERATOR_TOKEN,
            public_key=public_key,
            secret_key=secret_key,
            platform_port=self.platform_port,
            log_path=self.folder / f"{instance_id}.log",
        )

    def _admin_client(self, port: int) -> AdminClient:
        return AdminClient(f"http://127.0.0.1:{port}", OPERATOR_TOKEN)

    def _start_standin(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        return self._start("-m", f"ebonyshore_standins.{module}", *arguments)

    def _start(self, *arguments: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen([sys.executable, *arguments])
        self._processes.append(process)
        return process


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free now; another process may take it at any time."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def is_listening(port: int) -> bool:
    """Return whether a process accepts connections on a port of 127.0.0.1."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            return True
    except (OSError, HTTPException):
        return False
