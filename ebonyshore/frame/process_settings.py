"""Settings of one process, read from a TOML file.

Every fault is reported at once, each with the file, the key path, what was found and what is
allowed. Settings that operators change while the system runs are in the settings tree instead.
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
DurationMs = Annotated[int, Meta(ge=1, le=86_400_000)]
PositiveInt = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
_IPV4 = r"([0-9]{1,3}\.){3}[0-9]{1,3}"
HttpUrl = Annotated[str, Meta(pattern=r"^http://[^/]+$")]
IpAddress = Annotated[str, Meta(pattern=rf"^{_IPV4}$")]
AgentAddress = Annotated[str, Meta(pattern=rf"^tcp://{_IPV4}:[0-9]{{1,5}}$")]
CurveKey = Annotated[str, Meta(min_length=40, max_length=40)]


class InstanceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Who and where this process is.

    :param instance_id: unique name of the instance.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    """

    instance_id: Name
    region: Name = "default"
    failure_domain: Name = "default"


class HttpSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where callers reach an entry.

    :param listen_address: IP address to listen on.
    :param port: TCP port.
    :param worker_threads: requests served at the same time.
    :param max_request_bytes: largest request body accepted.
    """

    listen_address: IpAddress = "127.0.0.1"
    port: Port = 8080
    worker_threads: Annotated[int, Meta(ge=1, le=1024)] = 128
    max_request_bytes: PositiveInt = 256 * 1024 * 1024


class AdminSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where operators reach the process.

    :param listen_address: IP address to listen on.
    :param port: TCP port.
    :param operator_token: bearer token that every admin path except ``/healthz`` asks for.
    """

    operator_token: Annotated[str, Meta(min_length=16)]
    port: Port
    listen_address: IpAddress = "127.0.0.1"


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The key pair that all processes of the fleet share, in Z85 as CURVE uses it.

    :param public_key_z85: public key, 40 characters.
    :param secret_key_z85: secret key, 40 characters.
    """

    public_key_z85: CurveKey
    secret_key_z85: CurveKey


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's services.

    :param url: base URL of the object API, the instance list and the weight store.
    :param timeout_ms: time limit of one call.
    :param watch_timeout_ms: how long a waiting watch stays open.
    :param instance_poll_interval_ms: time between reads of the instance list.
    """

    url: HttpUrl
    timeout_ms: DurationMs = 2_000
    watch_timeout_ms: DurationMs = 30_000
    instance_poll_interval_ms: DurationMs = 2_000


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Peers to ask when the platform is down.

    :param agent_addresses: ZeroMQ addresses of some agents, ``tcp://IP:PORT``.
    """

    agent_addresses: list[AgentAddress] = []


class TargetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The agent's socket and its target.

    :param port: TCP port of the agent's ZeroMQ socket.
    :param url: base URL of the target.
    :param listen_address: IP address of the agent's ZeroMQ socket.
    :param kind: ``engine`` for a model engine, ``service`` for a plain service.
    :param models: models (or the service's name) that the target serves when the agent starts.
    :param max_running: most requests in the target at one time.
    :param policy: ``policy`` schedules by the tier's weighting; the others are baselines for
        measurements only.
    """

    port: Port
    url: HttpUrl
    models: list[Name]
    listen_address: IpAddress = "127.0.0.1"
    kind: Literal["engine", "service"] = "engine"
    max_running: Annotated[int, Meta(ge=1, le=4096)] = 32
    policy: Literal["policy", "first_come", "static_split"] = "policy"


class BatchSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """How an entry runs batch jobs.

    :param is_runner: whether this entry claims and runs shards.
    :param shard_items: items in one shard.
    :param lease_interval_ms: a shard lease lapses when unrenewed for this long.
    :param checkpoint_interval_ms: time between commits of a running shard.
    :param permit_interval_ms: longest time from confirming a job to starting an item of it.
    :param index_buckets: number of index objects; the same in every process.
    :param poll_interval_ms: time between looks for open jobs.
    :param max_shards: shards that this entry runs at the same time.
    :param window_items: items of a shard that are with agents at the same time.
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
    """The planned stop.

    :param bound_ms: longest time to wait for running requests.
    """

    bound_ms: DurationMs = 60_000


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the log goes.

    :param path: a file to append to; standard error if empty.
    """

    path: str = ""


class ProcessSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process; ``http`` is for entries, ``target`` for agents."""

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
    """Read and check a settings file.

    :raises SettingsError: with one line per fault.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    faults = find_table_faults(ProcessSettings, document)
    faults += find_combination_faults(_valid_sections(document, faults))
    if faults:
        raise SettingsError("\n".join(f"{path}: {fault.line()}" for fault in faults))
    return convert(document, ProcessSettings)


def _valid_sections(document: dict[str, object], faults: list[SettingsFault]) -> dict[str, Struct]:
    """Return the sections without a fault, so that their combinations are judged as well."""
    faulty = {fault.key_path.split(".")[0] for fault in faults}
    hints = get_type_hints(ProcessSettings, include_extras=True)
    sections = {}
    for field in struct_fields(ProcessSettings):
        if field.name in faulty:
            continue
        value = document.get(field.name)
        section = field.default if value is None else convert(value, hints[field.name])
        if section is not None:
            sections[field.name] = section
    return sections
