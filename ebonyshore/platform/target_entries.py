"""Decodes the entries that targets write about themselves."""

from typing import Literal

from msgspec import DecodeError, Struct, field
from msgspec.json import decode

from ebonyshore.host.targets import TargetEntry


class _Entry(Struct):
    service: str = field(name="Service")
    address: str = field(name="Address")
    zone: str = field(name="Zone")
    capacity: int = field(name="Capacity")
    state: Literal["ready", "draining"] = field(name="State")
    # Start of the target in Unix ms: two lives under one id differ in it.
    born: int = 0
    cold_remaining_ms: float = field(default=0.0, name="ColdRemainingMs")


def decode_target_entry(target_id: str, value: bytes) -> TargetEntry | None:
    """Return the entry, or ``None`` if it names no target that can be used."""
    try:
        entry = decode(value, type=_Entry)
    except DecodeError:
        return None
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit() or entry.capacity < 1 or not entry.service:
        return None
    return TargetEntry(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        capacity=entry.capacity,
        is_leaving=entry.state == "draining",
        started_ms=entry.born,
    )
