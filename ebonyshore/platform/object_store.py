"""The platform's store of objects, as the product's :class:`ListingStore`.

Objects have a kind and a name; the product's keys are ``kind/name``.
"""

from urllib.parse import quote, urlencode

from msgspec import Raw, Struct, ValidationError, field
from msgspec.json import decode, encode

from ebonyshore.frame.errors import (
    HistoryLostError,
    StoreError,
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
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
from ebonyshore.store.store_http_client import StoreHttpClient, StoreResponse

OK_STATUSES = (200, 201)
BUSY_STATUSES = (429, 503)
JSON_HEADERS = {"Content-Type": "application/json"}


class _Metadata(Struct, omit_defaults=True):
    name: str = field(name="Name")
    revision: int = field(default=0, name="Revision")


class _Object(Struct, omit_defaults=True):
    metadata: _Metadata = field(name="Metadata")
    spec: Raw = field(default=Raw(b"null"), name="Spec")


class _Page(Struct):
    items: list[_Object] = field(name="Items")
    truncated: bool = field(default=False, name="Truncated")
    revision: int = field(default=0, name="StoreRevision")


class _Event(Struct):
    object: _Object = field(name="Object")
    deleted: bool = field(default=False, name="Deleted")


class _Events(Struct):
    events: list[_Event]
    revision: int = field(name="StoreRevision")


class PlatformObjectStore(ListingStore):
    """Client of the store.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ("_caller",)

    def __init__(self, caller: StoreHttpClient) -> None:
        self._caller = caller

    def get(self, key: str) -> StoredObject | None:
        return self._get(key, _path(key))

    def get_stale(self, key: str) -> StoredObject | None:
        return self._get(key, f"{_path(key)}?StaleOk=1")

    def _get(self, key: str, path: str) -> StoredObject | None:
        answer = self._read(path)
        if answer.status == 404:
            return None
        return _stored(_kind(key), _decode(answer, _Object))

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        body = encode(_Object(_Metadata(_name(key), expected_version), Raw(value)))
        if expected_version == ABSENT_VERSION:
            path = f"{OBJECTS_PATH}{quote(_kind(key))}"
            return _written(self._caller.write("POST", path, body, JSON_HEADERS), key)
        return _written(self._caller.write("PUT", _path(key), body, JSON_HEADERS), key)

    def put_status(self, key: str, value: bytes, expected_version: int) -> int:
        metadata = _Metadata(_name(key), expected_version)
        body = encode({"Metadata": metadata, "Status": Raw(value)})
        answer = self._caller.write("PUT", f"{_path(key)}/status", body, JSON_HEADERS)
        return _written(answer, key)

    def delete(self, key: str, expected_version: int) -> None:
        answer = self._caller.write(
            "DELETE", f"{_path(key)}?Revision={expected_version}", None, JSON_HEADERS
        )
        if answer.status != 404:
            _check_written(answer, key)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        objects = self.list_objects(_kind(prefix)).objects
        wanted = [
            ObjectSummary(found.key, found.version)
            for found in objects
            if found.key.startswith(prefix) and found.key > start_after
        ]
        return wanted[:limit]

    def list_objects(self, kind: str) -> Listing:
        objects: list[StoredObject] = []
        after, revision = "", None
        while True:
            query = f"?{urlencode({'After': after})}" if after else ""
            page = _decode(self._read(f"{OBJECTS_PATH}{quote(kind)}{query}"), _Page)
            # Watching from the first page's revision shows what changed while later pages came.
            revision = page.revision if revision is None else revision
            objects += [_stored(kind, found) for found in page.items]
            if not page.truncated or not page.items:
                return Listing(revision, tuple(objects))
            after = page.items[-1].metadata.name

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        kind = _kind(prefix)
        query = urlencode({"Watch": since, "WaitMs": timeout_ms})
        answer = self._caller.read(
            f"{OBJECTS_PATH}{quote(kind)}?{query}", watch_timeout_ms=timeout_ms
        )
        if answer.status == 410:
            raise HistoryLostError(f"{kind} since {since}")
        _check_read(answer, kind)
        result = _decode(answer, _Events)
        changes = [
            (
                StoredObject(f"{kind}/{event.object.metadata.name}", _revision(event), None)
                if event.deleted
                else _stored(kind, event.object)
            )
            for event in result.events
        ]
        return WatchResult(result.revision, tuple(changes))

    def cancel_watches(self) -> None:
        self._caller.cancel_watches()

    def interrupt_watches(self) -> None:
        self._caller.interrupt_watches()

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()

    def _read(self, path: str) -> StoreResponse:
        answer = self._caller.read(path)
        _check_read(answer, path)
        return answer


def _kind(key: str) -> str:
    return key.split("/", 1)[0]


def _name(key: str) -> str:
    return key.split("/", 1)[1]


def _path(key: str) -> str:
    return f"{OBJECTS_PATH}{quote(key)}"


def _revision(event: _Event) -> int:
    return event.object.metadata.revision


def _stored(kind: str, found: _Object) -> StoredObject:
    return StoredObject(f"{kind}/{found.metadata.name}", found.metadata.revision, bytes(found.spec))


def _decode(answer: StoreResponse, kind: type):
    try:
        return decode(answer.body, type=kind)
    except (ValidationError, ValueError) as error:
        raise StoreUnavailableError(f"unreadable answer: {error}") from error


def _check_read(answer: StoreResponse, what: str) -> None:
    if answer.status not in (*OK_STATUSES, 404):
        raise StoreUnavailableError(f"{what}: status {answer.status}")


def _written(answer: StoreResponse, key: str) -> int:
    """Return the version that a write made.

    :raises WriteConflictError: if the object is at another version or gone.
    """
    _check_written(answer, key)
    try:
        return decode(answer.body, type=_Object).metadata.revision
    except (ValidationError, ValueError) as error:
        raise WriteOutcomeUnknownError(f"{key}: unreadable answer") from error


def _check_written(answer: StoreResponse, key: str) -> None:
    """Raise what a status other than success means for a write."""
    if answer.status in OK_STATUSES:
        return
    if answer.status in (404, 409):
        raise WriteConflictError(key)
    if answer.status in BUSY_STATUSES:
        raise StoreUnavailableError(f"{key}: status {answer.status}")
    if answer.status >= 500:
        raise WriteOutcomeUnknownError(f"{key}: status {answer.status}")
    raise StoreError(f"{key}: status {answer.status}")
