"""HTTP client of the platform's object store, instance list and weight store."""

from typing import TypeVar
from urllib.parse import quote, urlencode

from msgspec.json import decode, encode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.frame.errors import (
    StoreError,
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
    WriteRefusedError,
)
from ebonyshore.store.instance_records import Report, decode_instances
from ebonyshore.store.platform_api import (
    ABSENT_VERSION,
    Instance,
    InstanceList,
    ObjectStore,
    ObjectSummary,
    StoredObject,
    WatchResult,
    WeightGrant,
    WeightStore,
)
from ebonyshore.store.store_http_client import (
    TOO_LARGE_STATUS,
    TRANSIENT_STATUSES,
    StoreHttpClient,
    StoreResponse,
)

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412

BodyT = TypeVar("BodyT")


class PlatformHttp(ObjectStore, InstanceList, WeightStore):
    """HTTP client of the platform; safe to use from any thread.

    :param url: base URL, ``http://IP:PORT``.
    :param timeout_ms: time limit as of :class:`StoreHttpClient`.
    :param on_unusable: called with each record of the instance list that cannot be used, and the
        reason.
    """

    __slots__ = ("_client", "_on_unusable")

    def __init__(
        self, url: str, timeout_ms: int, on_unusable: Report = lambda _record, _reason: None
    ) -> None:
        self._client = StoreHttpClient(url, timeout_ms)
        self._on_unusable = on_unusable

    def get(self, key: str) -> StoredObject | None:
        response = self._read(f"/objects/{quote(key)}")
        if response.status == HTTP_NOT_FOUND:
            return None
        return StoredObject(key, _version(response), response.body)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        return self._write("PUT", key, value, expected_version)

    def delete(self, key: str, expected_version: int) -> None:
        self._write("DELETE", key, None, expected_version)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        query = urlencode({"prefix": prefix, "start_after": start_after, "limit": limit})
        return self._decode(self._read(f"/objects?{query}"), list[ObjectSummary])

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        query = urlencode({"prefix": prefix, "since": since, "timeout_ms": timeout_ms})
        response = self._read(f"/watch?{query}", watch_timeout_ms=timeout_ms)
        return self._decode(response, WatchResult)

    def cancel_watches(self) -> None:
        self._client.cancel_watches()

    def list_instances(self) -> list[Instance]:
        response = self._read("/instances")
        try:
            return decode_instances(response.body, self._on_unusable)
        except ValueError as error:
            raise StoreUnavailableError(f"invalid instance list: {error}") from error

    def request_weights(self, model: str) -> WeightGrant:
        response = self._read("/weights", "POST", encode({"model": model}))
        return self._decode(response, WeightGrant)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _read(
        self,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        watch_timeout_ms: float | None = None,
    ) -> StoreResponse:
        response = self._client.read(path, method, body, watch_timeout_ms)
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise StoreUnavailableError(f"{method} {path}: HTTP status {response.status}")
        return response

    def _decode(self, response: StoreResponse, kind: type[BodyT]) -> BodyT:
        """Return the body of a response.

        :raises StoreUnavailableError: if it is not of this kind.
        """
        try:
            return decode(response.body, type=kind)
        except DECODING_ERRORS as error:
            raise StoreUnavailableError(f"invalid response: {error}") from error

    def _write(self, method: str, key: str, value: bytes | None, expected_version: int) -> int:
        headers = (
            {"If-None-Match": "*"}
            if expected_version == ABSENT_VERSION
            else {"If-Match": f'"{expected_version}"'}
        )
        response = self._client.write(method, f"/objects/{quote(key)}", value, headers)
        if response.status == HTTP_OK:
            return _version(response)
        raise _write_error(response.status, f"{method} {key}")


def _version(response: StoreResponse) -> int:
    return int(response.etag or ABSENT_VERSION)


def _write_error(status: int, call: str) -> StoreError:
    if status == HTTP_PRECONDITION_FAILED:
        return WriteConflictError(call)
    if status in TRANSIENT_STATUSES:
        return StoreUnavailableError(f"{call}: HTTP status {status}")
    if status >= 500:
        return WriteOutcomeUnknownError(f"{call}: HTTP status {status}")
    if status == TOO_LARGE_STATUS:
        return ValueTooLargeError(f"{call}: HTTP status {status}")
    return WriteRefusedError(f"{call}: HTTP status {status}")
