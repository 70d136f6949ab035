"""Client of the platform's object store; implements :class:`ListingStore`.

The platform identifies an object by its kind and name, which form the key ``kind/name``.
"""

from urllib.parse import quote, urlencode

from msgspec import Raw, Struct, ValidationError, field
from msgspec.json import decode, encode

from ebonyshore.frame.errors import (
    HistoryLostError,
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
    WriteRefusedError,
)
from ebonyshore.platform.wire_names import OBJECTS_PATH
from ebonyshore.store.platform_api import (
    ABSENT_VERSION,
    Listing,
    ListingStore,
    ObjectSummary,
    StoredObject,
    WatchResult,
)
from ebonyshore.store.store_http_client import (
    TOO_LARGE_STATUS,
    TRANSIENT_STATUSES,
    StoreHttpClient,
    StoreResponse,
)

SUCCESS_STATUSES = (200, 201)
JSON_HEADERS = {"Content-Type": "application/json"}


class _Metadata(Struct, omit_defaults=True):
    name: str = field(name="Name")
    revision: int = field(default=0, name="Revision")


class _Object(Struct, omit_defaults=True):
    metadata: _Metadata = field(name="Metadata")
    spec: Raw = field(default=Raw(b"null"), name="Spec")


class _ListingPage(Struct):
    items: list[_Object] = field(name="Items")
    truncated: bool = field(default=False, name="Truncated")
    revision: int = field(default=0, name="StoreRevision")


class _WatchEvent(Struct):
    object: _Object = field(name="Object")
    deleted: bool = field(default=False, name="Deleted")


class _WatchEvents(Struct):
    events: list[_WatchEvent]
    revision: int = field(name="StoreRevision")


class PlatformObjectStore(ListingStore):
    """Client of the platform's object store; safe to use from any thread.

    :param http_client: makes the HTTP calls to the store.
    """

    __slots__ = ("_http_client",)

    def __init__(self, http_client: StoreHttpClient) -> None:
        self._http_client = http_client

    def get(self, key: str) -> StoredObject | None:
        return self._get_object(key, _object_path(key))

    def get_stale(self, key: str) -> StoredObject | None:
        return self._get_object(key, f"{_object_path(key)}?StaleOk=1")

    def _get_object(self, key: str, path: str) -> StoredObject | None:
        response = self._read(path)
        if response.status == 404:
            return None
        return _to_stored_object(_object_kind(key), _decode_response(response, _Object))

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        body = encode(_Object(_Metadata(_object_name(key), expected_version), Raw(value)))
        if expected_version == ABSENT_VERSION:
            path = f"{OBJECTS_PATH}{quote(_object_kind(key))}"
            return _written_version(self._http_client.write("POST", path, body, JSON_HEADERS), key)
        return _written_version(
            self._http_client.write("PUT", _object_path(key), body, JSON_HEADERS), key
        )

    def put_status(self, key: str, value: bytes, expected_version: int) -> int:
        metadata = _Metadata(_object_name(key), expected_version)
        body = encode({"Metadata": metadata, "Status": Raw(value)})
        response = self._http_client.write("PUT", f"{_object_path(key)}/status", body, JSON_HEADERS)
        return _written_version(response, key)

    def delete(self, key: str, expected_version: int) -> None:
        response = self._http_client.write(
            "DELETE", f"{_object_path(key)}?Revision={expected_version}", None, JSON_HEADERS
        )
        if response.status != 404:
            _check_write_status(response, key)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        objects = self.list_objects(_object_kind(prefix)).objects
        matching = [
            ObjectSummary(stored.key, stored.version)
            for stored in objects
            if stored.key.startswith(prefix) and stored.key > start_after
        ]
        return matching[:limit]

    def list_objects(self, kind: str) -> Listing:
        objects: list[StoredObject] = []
        last_name, revision = "", None
        while True:
            query = f"?{urlencode({'After': last_name})}" if last_name else ""
            page = _decode_response(self._read(f"{OBJECTS_PATH}{quote(kind)}{query}"), _ListingPage)
            # A watch that starts at the revision of the first page also returns the changes made
            # while later pages were read.
            revision = page.revision if revision is None else revision
            objects += [_to_stored_object(kind, item) for item in page.items]
            if not page.truncated or not page.items:
                return Listing(revision, tuple(objects))
            last_name = page.items[-1].metadata.name

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        kind = _object_kind(prefix)
        query = urlencode({"Watch": since, "WaitMs": timeout_ms})
        response = self._http_client.read(
            f"{_kind_path(kind)}?{query}", watch_timeout_ms=timeout_ms
        )
        if response.status == 410:
            raise HistoryLostError(
                f"changes of {kind} since revision {since} are no longer available"
            )
        _check_read_status(response, kind)
        result = _decode_response(response, _WatchEvents)
        changes = [
            (
                StoredObject(f"{kind}/{event.object.metadata.name}", _event_revision(event), None)
                if event.deleted
                else _to_stored_object(kind, event.object)
            )
            for event in result.events
        ]
        return WatchResult(result.revision, tuple(changes))

    def cancel_watches(self) -> None:
        self._http_client.cancel_watches()

    def interrupt_watches(self, kind: str | None = None) -> None:
        self._http_client.interrupt_watches("" if kind is None else _kind_path(kind))

    def close(self) -> None:
        """Close idle connections."""
        self._http_client.close()

    def _read(self, path: str) -> StoreResponse:
        response = self._http_client.read(path)
        _check_read_status(response, path)
        return response


def _object_kind(key: str) -> str:
    return key.split("/", 1)[0]


def _object_name(key: str) -> str:
    return key.split("/", 1)[1]


def _kind_path(kind: str) -> str:
    return f"{OBJECTS_PATH}{quote(kind)}"


def _object_path(key: str) -> str:
    return f"{OBJECTS_PATH}{quote(key)}"


def _event_revision(event: _WatchEvent) -> int:
    return event.object.metadata.revision


def _to_stored_object(kind: str, item: _Object) -> StoredObject:
    return StoredObject(f"{kind}/{item.metadata.name}", item.metadata.revision, bytes(item.spec))


def _decode_response(response: StoreResponse, body_type: type):
    try:
        return decode(response.body, type=body_type)
    except (ValidationError, ValueError) as error:
        raise StoreUnavailableError(f"invalid response from the object store: {error}") from error


def _check_read_status(response: StoreResponse, subject: str) -> None:
    """Raise the error that the status of a read stands for, if any.

    Status 404 passes: the object does not exist.

    :param subject: path or kind that was read, for the error message.
    :raises StoreUnavailableError: for any other status that is not a success.
    """
    if response.status not in (*SUCCESS_STATUSES, 404):
        raise StoreUnavailableError(f"{subject}: HTTP status {response.status}")


def _written_version(response: StoreResponse, key: str) -> int:
    """Return the version of an object after a write.

    :raises WriteConflictError: if the object has another version than expected or does not exist.
    :raises WriteOutcomeUnknownError: if the response shows neither success nor failure.
    :raises StoreError: the other errors of :func:`_check_write_status`.
    """
    _check_write_status(response, key)
    try:
        return decode(response.body, type=_Object).metadata.revision
    except (ValidationError, ValueError) as error:
        raise WriteOutcomeUnknownError(f"{key}: invalid response from the object store") from error


def _check_write_status(response: StoreResponse, key: str) -> None:
    """Raise the error that the status of a write stands for, if any.

    :raises WriteConflictError: 404 or 409; the object has another version or does not exist.
    :raises StoreUnavailableError: one of :data:`TRANSIENT_STATUSES`; the write was not done.
    :raises WriteOutcomeUnknownError: any other 5xx status; the write may have been done.
    :raises ValueTooLargeError: 413; the object would be too large.
    :raises WriteRefusedError: any other 4xx status; the same write would be refused again.
    :raises StoreError: any other status that is not a success.
    """
    if response.status in SUCCESS_STATUSES:
        return
    if response.status in (404, 409):
        raise WriteConflictError(key)
    detail = f"{key}: HTTP status {response.status}"
    if response.status in TRANSIENT_STATUSES:
        raise StoreUnavailableError(detail)
    if response.status >= 500:
        raise WriteOutcomeUnknownError(detail)
    if response.status == TOO_LARGE_STATUS:
        raise ValueTooLargeError(detail)
    if response.status >= 400:
        raise WriteRefusedError(detail)
    raise StoreError(detail)
