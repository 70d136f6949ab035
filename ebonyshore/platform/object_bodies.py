"""Decodes the response bodies of the platform's object store.

Any process of the platform may write objects. One that cannot be read costs itself alone: if a body
cannot be decoded at once, its objects are separated first and then decoded one by one.
"""

from collections.abc import Callable

from msgspec import Raw, Struct, field
from msgspec.json import decode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.store.json_frames import split_array, split_object

UNREADABLE_NAME = "(unreadable name)"


class Metadata(Struct, omit_defaults=True):
    """Identifies one version of an object."""

    name: str = field(name="Name")
    revision: int = field(default=0, name="Revision")


class PlatformObject(Struct, omit_defaults=True):
    """One version of an object; ``spec`` is its value as it is encoded."""

    metadata: Metadata = field(name="Metadata")
    spec: Raw = field(default=Raw(b"null"), name="Spec")


class UnreadableObject(Struct, frozen=True):
    """An object that cannot be decoded.

    :param name: its name; :data:`UNREADABLE_NAME` if that cannot be read either.
    :param content: the object as it is encoded.
    :param error: why it cannot be decoded.
    """

    name: str
    content: bytes
    error: str


Report = Callable[[UnreadableObject], None]


class ListingPage(Struct):
    """A part of the list of all objects of a kind."""

    objects: list[PlatformObject] = field(name="Items")
    is_truncated: bool = field(default=False, name="Truncated")
    revision: int = field(default=0, name="StoreRevision")


class WatchEvent(Struct):
    """A change of an object."""

    object: PlatformObject = field(name="Object")
    is_deleted: bool = field(default=False, name="Deleted")


class WatchEvents(Struct):
    """The changes since a revision."""

    events: list[WatchEvent]
    revision: int = field(name="StoreRevision")


def decode_object(body: bytes) -> PlatformObject:
    """Decode the response that holds one object.

    The bytes of a value that cannot be read are returned as they are.

    :raises ValueError: if the object or its name cannot be read.
    """
    try:
        return decode(body, type=PlatformObject)
    except DECODING_ERRORS:
        found = _separate(body)
    if found is None:
        raise ValueError("the object has no readable name")
    return found


def decode_listing_page(body: bytes, report: Report) -> ListingPage:
    """Decode a page of a list.

    :param report: called with each object that cannot be decoded. If its name can be read, it is
        also returned, with the bytes of its value.

    :raises ValueError: if the body is not such a page.
    """
    try:
        return decode(body, type=ListingPage)
    except DECODING_ERRORS:
        members = split_object(body)
    page = ListingPage(
        [],
        _decode_member(members, b"Truncated", bool, False),
        _decode_member(members, b"StoreRevision", int, 0),
    )
    for content in split_array(members.get(b"Items", b"")):
        found = _decode_separately(content, report)
        if found is not None:
            page.objects.append(found)
    return page


def decode_watch_events(body: bytes, report: Report) -> WatchEvents:
    """Decode the events of a watch.

    :param report: as for :func:`decode_listing_page`.

    :raises ValueError: if the body does not hold such events, or not the revision to go on from.
    """
    try:
        return decode(body, type=WatchEvents)
    except DECODING_ERRORS:
        members = split_object(body)
    result = WatchEvents([], _decode_member(members, b"StoreRevision", int))
    for content in split_array(members.get(b"events", b"")):
        event = _split_or_empty(content)
        found = _decode_separately(event.get(b"Object", content), report)
        if found is not None:
            is_deleted = event.get(b"Deleted") == b"true"
            result.events.append(WatchEvent(found, is_deleted))
    return result


def _decode_separately(content: bytes, report: Report) -> PlatformObject | None:
    """Decode one object; ``None`` if not even its name can be read."""
    try:
        return decode(content, type=PlatformObject)
    except DECODING_ERRORS as error:
        found = _separate(content)
        name = UNREADABLE_NAME if found is None else found.metadata.name
        report(UnreadableObject(name, content, str(error)))
        return found


def _separate(content: bytes) -> PlatformObject | None:
    """Return an object with the bytes of its value; ``None`` if its name cannot be read."""
    members = _split_or_empty(content)
    metadata = _split_or_empty(members.get(b"Metadata", b""))
    try:
        name = _decode_member(metadata, b"Name", str)
        revision = _decode_member(metadata, b"Revision", int, 0)
    except ValueError:
        return None
    return PlatformObject(Metadata(name, revision), Raw(members.get(b"Spec", b"null")))


def _split_or_empty(content: bytes) -> dict[bytes, bytes]:
    try:
        return split_object(content)
    except ValueError:
        return {}


def _decode_member(
    members: dict[bytes, bytes], name: bytes, value_type: type, default: object = None
):
    """Decode a member of an object.

    :param default: used if there is no such member; ``None`` if there has to be one.
    :raises ValueError: if it is missing or cannot be decoded.
    """
    content = members.get(name)
    if content is None:
        if default is None:
            raise ValueError(f"{name.decode()} is missing")
        return default
    try:
        return decode(content, type=value_type)
    except DECODING_ERRORS as error:
        raise ValueError(f"{name.decode()} cannot be read: {error}") from error
