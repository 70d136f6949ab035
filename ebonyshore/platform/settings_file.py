"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import SettingsError
from ebonyshore.host.host_settings import HostSettings, ListenAddress
from ebonyshore.store.value_limit import DEFAULT_VALUE_BYTES, ValueLimit

SETTINGS_PATH_VARIABLE = "EBONYSHORE_CONFIG"
BYTES_PER_MB = 1_000_000


class _Listen(Struct):
    front: str | None = field(default=None, name="Front")
    ready: str | None = field(default=None, name="Ready")


class _Bounds(Struct):
    # Time from the stop signal until the platform kills the process.
    grace_s: float = field(default=8.0, name="GraceS")
    # Time after the submission of a job for which its results can be read.
    status_s: float = field(default=120.0, name="StatusS")
    # Whether a removed key must be refused by instances that are cut off, too.
    is_revocation_strict: bool = field(default=False, name="StrictRevoke")
    revocation_ms: float | None = field(default=None, name="RevokeMs")
    # Time after the acknowledgement of a configuration from which it has to be in force.
    config_apply_ms: float = field(default=2_000.0, name="ConfigApplyMs")
    # Time after the acknowledgement of a job's end from which none of its items starts.
    cancel_ms: float = field(default=3_000.0, name="CancelMs")
    quota_window_s: float = field(default=5.0, name="QuotaWindowS")
    quota_overage: float = field(default=0.0, name="QuotaOverage")
    quota_slack: float = field(default=0.0, name="QuotaSlack")


class _Limits(Struct):
    memory_mb: float | None = field(default=None, name="MemoryMb")
    max_descriptors: int | None = field(default=None, name="MaxFds")


class _Store(Struct):
    address: str = field(name="Address")
    value_bytes: int = field(default=DEFAULT_VALUE_BYTES, name="ValueBytes")


class _SettingsFile(Struct):
    node_name: str = field(name="NodeName")
    ip: str = field(name="Ip")
    zone: str = field(name="Zone")
    region: str = field(name="Region")
    internal_ports: tuple[int, int] = field(name="InternalPorts")
    store: _Store = field(name="Platform")
    listen: _Listen = field(default_factory=_Listen, name="Listen")
    bounds: _Bounds = field(default_factory=_Bounds, name="Bounds")
    limits: _Limits = field(default_factory=_Limits, name="Limits")
    data_folder: str | None = field(default=None, name="DataDir")


def settings_path() -> Path:
    """Return the path of the settings file from the environment variable ``EBONYSHORE_CONFIG``.

    :raises SettingsError: if the variable is not set or is empty.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_PATH_VARIABLE} is not set")
    return Path(path)


def load_host_settings(path: Path) -> HostSettings:
    """Read and validate the settings file. Unknown fields are ignored.

    :raises SettingsError: if the file cannot be read or is not TOML, or if a field is missing or
        invalid.
    """
    try:
        document = convert(
            tomllib.loads(path.read_text(encoding="utf-8")), _SettingsFile, strict=False
        )
        return _to_settings(document)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _to_settings(document: _SettingsFile) -> HostSettings:
    first_port, last_port = document.internal_ports
    bounds = document.bounds
    return HostSettings(
        instance_id=document.node_name,
        failure_domain=document.zone,
        region=document.region,
        ip=document.ip,
        front=_parse_address(document.listen.front),
        ready=_parse_address(document.listen.ready),
        first_internal_port=first_port,
        last_internal_port=last_port,
        store_url=f"http://{document.store.address}",
        value_limit=ValueLimit(document.store.value_bytes),
        grace_ms=bounds.grace_s * MS_PER_S,
        result_retention_ms=bounds.status_s * MS_PER_S,
        revocation_ms=bounds.revocation_ms if bounds.is_revocation_strict else None,
        quota_window_ms=bounds.quota_window_s * MS_PER_S,
        quota_overage=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
        max_store_age_ms=min(bounds.config_apply_ms, bounds.cancel_ms),
        memory_bytes=_parse_megabytes(document.limits.memory_mb),
        max_descriptors=document.limits.max_descriptors,
        data_folder=Path(document.data_folder) if document.data_folder else None,
    )


def _parse_megabytes(megabytes: float | None) -> int | None:
    return None if megabytes is None else int(megabytes * BYTES_PER_MB)


def _parse_address(text: str | None) -> ListenAddress | None:
    """Parse ``HOST:PORT``; return ``None`` if there is no text.

    :raises ValueError: if the port is not a number.
    """
    if not text:
        return None
    host, _, port = text.rpartition(":")
    return ListenAddress(host, int(port))
