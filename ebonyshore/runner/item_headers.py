"""The part of an item's request that its submitter determines. Pure functions.

An item names the path and headers of its request. They must not end the request so that a second
one follows, nor pass for those of another account where there are client accounts.
"""

from collections.abc import Iterable
from re import compile as compile_pattern

from ebonyshore.host.accounts import account_header_value
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.headers import HOP_BY_HOP_NAMES, Headers

# Tokens, and text without control characters except the tab (RFC 9110, section 5).
_FIELD_NAME = compile_pattern(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD_VALUE = compile_pattern(r"[^\x00-\x08\x0a-\x1f\x7f]*")
# Control characters, the space and DEL would end or split the request line.
_ESCAPES = {code: f"%{code:02X}" for code in (*range(0x21), 0x7F)}


def well_formed_headers(fields: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of an item without those that would end or change its request."""
    return [
        (name, value)
        for name, value in fields
        if _FIELD_NAME.fullmatch(name) and _FIELD_VALUE.fullmatch(value)
    ]


def account_headers(
    fields: Iterable[tuple[str, str]], names: WireNames, account: str
) -> list[tuple[str, str]]:
    """Return the headers of an item with those that tell the target whose request it is.

    Credentials, hop-by-hop headers and malformed ones are left out.

    :param fields: the headers as they were submitted.
    :param account: the account that the job belongs to; empty if it has none.
    """
    excluded = HOP_BY_HOP_NAMES | {"authorization", names.account.lower()}
    kept = well_formed_headers(Headers(fields).without(excluded))
    return [*kept, (names.account, account_header_value(account))] if account else kept


def item_headers(fields: Iterable[tuple[str, str]], names: WireNames) -> list[tuple[str, str]]:
    """Return the headers of an item without those that a run sets itself and malformed ones.

    :param fields: the headers as they were submitted.
    """
    set_by_run = {
        "host",
        "content-length",
        "connection",
        "transfer-encoding",
        names.request_id.lower(),
        names.remaining_ms.lower(),
        names.expected_instance.lower(),
        names.last_event_id.lower(),
        names.resumed_request.lower(),
    }
    return [
        (utf8_text(name), utf8_text(value))
        for name, value in well_formed_headers(fields)
        if name.lower() not in set_by_run
    ]


def is_sendable_id(item_id: str) -> bool:
    """Return whether an id can be the value of a header, so that a target receives it unchanged."""
    return _FIELD_VALUE.fullmatch(item_id) is not None and item_id == item_id.strip(" \t")


def header_id(item_id: str) -> str:
    """Return an item's id as the value of a header.

    An id that cannot be sent is returned with its spaces and control characters percent-encoded.
    """
    return utf8_text(item_id) if is_sendable_id(item_id) else escape_text(item_id)


def escape_text(text: str) -> str:
    """Return a path or an id with its spaces and control characters percent-encoded."""
    return utf8_text(text.translate(_ESCAPES))


def utf8_text(text: str) -> str:
    """Return text for the head of a request, with one character for each byte of its UTF-8."""
    return text.encode("utf-8", "replace").decode("latin-1")
