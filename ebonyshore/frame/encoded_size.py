"""Sizes of values as they are sent and stored: in bytes of their JSON encoding.

Text takes one to four bytes a character in UTF-8, and up to six where JSON escapes it; binary data
is encoded in Base64. Limits for what is stored or sent are compared with these sizes.
"""

from collections.abc import Iterable, Iterator
from typing import TypeVar

from msgspec.json import encode

QUOTES_BYTES = 2

ValueT = TypeVar("ValueT")


def json_size(value: object) -> int:
    """Return the size of a value in JSON, in bytes."""
    return len(encode(value))


def text_size(text: str) -> int:
    """Return the size of a text as a part of a JSON string, in bytes."""
    return len(encode(text)) - QUOTES_BYTES


def cut_text(text: str, limit_bytes: int) -> str:
    """Return the beginning of a text that has at most a given size in a JSON string.

    :param limit_bytes: the size; of a text that is not empty, one character is always returned.
    """
    beginning = text[:limit_bytes]
    while len(beginning) > 1 and (size := text_size(beginning)) > limit_bytes:
        beginning = beginning[: max(1, len(beginning) * limit_bytes // size)]
    return beginning


def take_fitting(sized_values: Iterable[tuple[ValueT, int]], limit_bytes: int) -> Iterator[ValueT]:
    """Return the values that fit into a limit together; those that do not are passed over.

    :param sized_values: pairs of a value and its size in bytes, the most important ones first.
    """
    total_bytes = 0
    for value, size in sized_values:
        if total_bytes + size <= limit_bytes:
            total_bytes += size
            yield value
