"""Decodes the platform's instance list.

Any process of the platform may write records. One that cannot be read, or names no address that can
be connected to, costs itself alone.
"""

from collections.abc import Callable
from re import ASCII
from re import compile as compile_pattern

from msgspec.json import decode, encode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.http.numbers import parse_port
from ebonyshore.store.json_frames import split_array
from ebonyshore.store.platform_api import Instance

UNUSABLE_ADDRESS = "the address is not tcp://IP:PORT"
_TARGET_ADDRESS = compile_pattern(r"tcp://(?:[\w.-]+|\[[0-9A-Fa-f:.]+\]):(\d+)", ASCII)

Report = Callable[[bytes, str], None]


def decode_instances(body: bytes, report: Report) -> list[Instance]:
    """Return the usable instances of a list.

    :param report: called with each other record, as it is encoded, and the reason.
    :raises ValueError: if the body is not a list.
    """
    instances: list[Instance] = []
    for instance in _decode_readable(body, report):
        if _is_usable(instance):
            instances.append(instance)
        else:
            report(encode(instance), UNUSABLE_ADDRESS)
    return instances


def _decode_readable(body: bytes, report: Report) -> list[Instance]:
    try:
        return decode(body, type=list[Instance])
    except DECODING_ERRORS:
        records = split_array(body)
    readable: list[Instance] = []
    for record in records:
        try:
            readable.append(decode(record, type=Instance))
        except DECODING_ERRORS as error:
            report(record, str(error))
    return readable


def _is_usable(instance: Instance) -> bool:
    if instance.role != "target":
        return True
    matched = _TARGET_ADDRESS.fullmatch(instance.address)
    return matched is not None and parse_port(matched[1]) is not None
