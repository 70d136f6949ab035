"""Decodes what targets say about themselves: their registry entries and load reports."""

from typing import Literal

from msgspec import DecodeError, Struct, field
from msgspec.json import decode

from ebonyshore.host.target import TargetEntry
from ebonyshore.http.numbers import parse_decimal


class _Entry(Struct):
    service: str = field(name="Service")
    address: str = field(name="Address")
    zone: str = field(name="Zone")
    capacity: int = field(name="Capacity")
    state: Literal["ready", "draining"] = field(name="State")
    # Of the target's software; the versions of its weights are named elsewhere.
    version: str = field(default="", name="Version")
    # Start time of the target in Unix milliseconds; distinguishes two incarnations with one id.
    born: int = 0
    cold_remaining_ms: float = field(default=0.0, name="ColdRemainingMs")


class _Report(Struct):
    born: int | None = None


def decode_start(report: bytes) -> int | None:
    """Return the start of a target from its load report, in Unix milliseconds.

    :return: ``None`` if the report is invalid or does not have it.
    """
    try:
        return decode(report, type=_Report).born
    except DecodeError:
        return None


def decode_target_entry(target_id: str, value: bytes) -> TargetEntry | None:
    """Decode the entry of a target.

    :param value: the entry as JSON; unknown fields are ignored.
    :return: ``None`` if the entry is invalid or does not describe a usable target: it must name a
        service, an address as ``HOST:PORT`` and a capacity of at least 1.
    """
    try:
        entry = decode(value, type=_Entry)
    except DecodeError:
        return None
    host, _, port = entry.address.rpartition(":")
    if not host or parse_decimal(port) is None or entry.capacity < 1 or not entry.service:
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
