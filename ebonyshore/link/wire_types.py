"""Types of the fields of messages and records, which a decoder checks."""

from functools import lru_cache
from ipaddress import ip_address
from typing import Annotated

from msgspec import Meta

from ebonyshore.http.numbers import MAX_PORT

MAX_NUMBER = 1e15  # also of a time in milliseconds

Finite = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]


@lru_cache(maxsize=4_096)
def is_ip_address(host: str) -> bool:
    """Return whether a host is an IP address, so that it needs no look-up of a name."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
