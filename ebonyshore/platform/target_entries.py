"""Decodes what targets say about themselves: their registry entries and load reports."""

from ipaddress import ip_address
from typing import Annotated, Literal

from msgspec import Meta, Struct, field
from msgspec.json import decode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.host.target import TargetEntry
from ebonyshore.http.numbers import parse_port

MAX_CAPACITY = 100_000  # requests that one target may run concurrently
MAX_UNIX_MS = 1 << 53

_Text = Annotated[str, Meta(min_length=1, max_length=1_000)]
_Count = Annotated[int, Meta(ge=0)]
_UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]


class _Entry(Struct):
    service: _Text = field(name="Service")
    address: _Text = field(name="Address")
    zone: _Text = field(name="Zone")
    # Of the target's software; the versions of its weights are named elsewhere.
    version: str = field(name="Version")
    capacity: Annotated[int, Meta(ge=1, le=MAX_CAPACITY)] = field(name="Capacity")
    state: Literal["ready", "draining"] = field(name="State")
    sequence: _Count = field(name="Sequence")
    # Start time of the target in Unix milliseconds; distinguishes two incarnations with one id.
    born: _UnixMs = 0
    cold_remaining_ms: float = field(default=0.0, name="ColdRemainingMs")


class _Report(Struct):
    born: _UnixMs | None = None


def decode_start(report: bytes) -> int | None:
    """Return the start of a target from its load report, in Unix milliseconds.

    :return: ``None`` if the report is invalid or does not have it.
    """
    try:
        return decode(report, type=_Report).born
    except DECODING_ERRORS:
        return None


def decode_target_entry(target_id: str, value: bytes) -> TargetEntry | None:
    """Decode the entry of a target.

    :param value: the entry as JSON; unknown fields are ignored.
    :return: ``None`` if the entry is invalid, lacks a field that the platform's targets write, or
        does not describe a usable target, such as one without an address as ``IP:PORT``.
    """
    try:
        entry = decode(value, type=_Entry)
    except DECODING_ERRORS:
        return None
    if not _is_usable_address(entry.address):
        return None
    return TargetEntry(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        capacity=entry.capacity,
        is_leaving=entry.state == "draining",
        started_ms=entry.born,
        software_version=entry.version,
    )


def _is_usable_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ip = ip_address(host)
    except ValueError:
        return False
    return parse_port(port) is not None and not ip.is_unspecified and not ip.is_multicast
