"""The settings of one process, read from a TOML file.

All faults of a file are reported together, each with the file, the key path, the value found and
the values allowed. Settings that operators change while the system runs are in the settings tree
(:mod:`ebonyshore.settings.settings_tree`) instead.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, get_type_hints

from msgspec import Meta, Struct, convert
from msgspec.structs import fields as struct_fields

from ebonyshore.frame.errors import SettingsError
from ebonyshore.frame.settings_combinations import find_combination_faults
from ebonyshore.frame.settings_faults import SettingsFault, find_table_faults

Port = Annotated[int, Meta(ge=1, le=65535)]
DurationMs = Annotated[int, Meta(ge=1, le=86_400_000)]  # up to one day
PositiveInt = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
_IPV4 = r"([0-9]{1,3}\.){3}[0-9]{1,3}"
HttpUrl = Annotated[str, Meta(pattern=r"^http://[^/]+$")]
IpAddress = Annotated[str, Meta(pattern=rf"^{_IPV4}$")]
AgentAddress = Annotated[str, Meta(pattern=rf"^tcp://{_IPV4}:[0-9]{{1,5}}$")]
CurveKey = Annotated[str, Meta(min_length=40, max_length=40)]


class InstanceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The identity and location of the process.

    :param instance_id: unique name of the instance.
    :param region: region in which the instance runs.
    :param failure_domain: failure domain in which the instance runs.
    """

    instance_id: Name
    region: Name = "default"
    failure_domain: Name = "default"


class HttpSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The HTTP server of an entry, for callers.

    :param listen_address: IP address to listen on.
    :param port: TCP port to listen on.
    :param worker_threads: number of worker threads, which is the number of requests served
        concurrently.
    :param max_request_bytes: greatest accepted size of a request body.
    """

    listen_address: IpAddress = "127.0.0.1"
    port: Port = 8080
    worker_threads: Annotated[int, Meta(ge=1, le=1024)] = 128
    max_request_bytes: PositiveInt = 256 * 1024 * 1024


class AdminSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The HTTP server of the admin API, for operators.

    :param operator_token: bearer token required on every path except ``/healthz``.
    :param port: TCP port to listen on.
    :param listen_address: IP address to listen on.
    """

    operator_token: Annotated[str, Meta(min_length=16)]
    port: Port
    listen_address: IpAddress = "127.0.0.1"


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The CURVE key pair that all processes of the fleet share, for their ZeroMQ connections.

    :param public_key_z85: public key, 40 characters in Z85 encoding.
    :param secret_key_z85: secret key, 40 characters in Z85 encoding.
    """

    public_key_z85: CurveKey
    secret_key_z85: CurveKey


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The services of the platform.

    :param url: base URL of the object API, the instance list and the weight store.
    :param timeout_ms: time limit of each call.
    :param watch_timeout_ms: time after which a watch without changes returns.
    :param instance_poll_interval_ms: time between two reads of the instance list.
    """

    url: HttpUrl
    timeout_ms: DurationMs = 2_000
    watch_timeout_ms: DurationMs = 30_000
    instance_poll_interval_ms: DurationMs = 2_000


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Peers that the process contacts when the platform is down.

    :param agent_addresses: ZeroMQ addresses of some agents, each ``tcp://IP:PORT``.
    """

    agent_addresses: list[AgentAddress] = []


class TargetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The ZeroMQ socket of an agent and the target that it serves.

    :param port: TCP port of the ZeroMQ socket.
    :param url: base URL of the target.
    :param models: models that the target serves when the agent starts; for a plain service, its
        name.
    :param listen_address: IP address of the ZeroMQ socket.
    :param kind: ``engine`` for a model engine, ``service`` for a plain service.
    :param max_running: greatest number of requests that run in the target at the same time.
    :param policy: ``policy`` schedules by the weighting of the tier; ``first_come`` and
        ``static_split`` are baselines for measurements only.
    """

    port: Port
    url: HttpUrl
    models: list[Name]
    listen_address: IpAddress = "127.0.0.1"
    kind: Literal["engine", "service"] = "engine"
    max_running: Annotated[int, Meta(ge=1, le=4096)] = 32
    policy: Literal["policy", "first_come", "static_split"] = "policy"


class BatchSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The execution of batch jobs by an entry.

    :param is_runner: whether this entry claims and runs shards.
    :param shard_items: number of items in a shard.
    :param lease_interval_ms: time without renewal after which the lease of a shard expires.
    :param checkpoint_interval_ms: time between two checkpoints of a running shard; a checkpoint
        commits outcomes and renews the lease.
    :param permit_interval_ms: longest time between the confirmation that a job still runs and the
        start of one of its items; agents refuse to start an item later.
    :param index_buckets: number of objects that the job index is split into; must be the same in
        every process.
    :param poll_interval_ms: time between two searches for open jobs.
    :param max_shards: greatest number of shards that this entry runs at the same time.
    :param window_items: greatest number of items of a shard that are dispatched at the same time.
    """

    is_runner: bool = True
    shard_items: Annotated[int, Meta(ge=1, le=5000)] = 500
    lease_interval_ms: DurationMs = 20_000
    checkpoint_interval_ms: DurationMs = 5_000
    permit_interval_ms: DurationMs = 10_000
    index_buckets: Annotated[int, Meta(ge=1, le=16)] = 1
    poll_interval_ms: DurationMs = 1_000
    max_shards: PositiveInt = 2
    window_items: PositiveInt = 64


class DrainSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The drain before a requested stop.

    :param bound_ms: longest time to wait for running requests.
    """

    bound_ms: DurationMs = 60_000


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The destination of the log.

    :param path: path of a file to append to; the log is written to standard error if it is empty.
    """

    path: str = ""


class ProcessSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process; ``http`` is used by entries only, ``target`` by agents."""

    instance: InstanceSettings
    admin: AdminSettings
    fleet: FleetSettings
    platform: PlatformSettings
    http: HttpSettings = HttpSettings()
    peers: PeerSettings = PeerSettings()
    target: TargetSettings | None = None
    batch: BatchSettings = BatchSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> ProcessSettings:
    """Read and validate a settings file.

    :raises SettingsError: if the file cannot be read, is not valid TOML or has faults; the detail
        has one line per fault.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    faults = find_table_faults(ProcessSettings, document)
    faults += find_combination_faults(_convert_valid_sections(document, faults))
    if faults:
        raise SettingsError("\n".join(f"{path}: {fault.line()}" for fault in faults))
    return convert(document, ProcessSettings)


def _convert_valid_sections(
    document: dict[str, object], faults: list[SettingsFault]
) -> dict[str, Struct]:
    """Return the sections that have no fault, by name; an omitted section has its default.

    Their combinations are checked even if other sections have faults.
    """
    faulty_sections = {fault.key_path.split(".")[0] for fault in faults}
    hints = get_type_hints(ProcessSettings, include_extras=True)
    sections = {}
    for field in struct_fields(ProcessSettings):
        if field.name in faulty_sections:
            continue
        value = document.get(field.name)
        section = field.default if value is None else convert(value, hints[field.name])
        if section is not None:
            sections[field.name] = section
    return sections
