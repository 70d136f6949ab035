"""The platform's services over HTTP, by ``http.client``."""

from collections.abc import Iterator
from contextlib import contextmanager, nullcontext, suppress
from http.client import HTTPConnection, HTTPException, HTTPResponse
from socket import SHUT_RDWR
from threading import Lock
from urllib.parse import quote, urlencode

from msgspec import Struct, convert
from msgspec.json import decode, encode

from ebonyshore.frame.errors import (
    StoreError,
    StoreTimeoutError,
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.http_pool import HttpConnectionPool
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

MAX_IDLE_CONNECTIONS = 4
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 412
WATCH_MARGIN_MS = 2_000


class HttpAnswer(Struct, frozen=True):
    """A complete HTTP answer."""

    status: int
    version: int
    body: bytes


class PlatformHttp(ObjectStore, InstanceList, WeightStore):
    """Client of the platform.

    :param url: base URL, ``http://IP:PORT``.
    :param timeout_ms: time limit of one call; a watch may wait longer by its own timeout.
    """

    __slots__ = ("_are_watches_cancelled", "_lock", "_pool", "_timeout_ms", "_watching")

    def __init__(self, url: str, timeout_ms: int) -> None:
        self._pool = HttpConnectionPool(url, MAX_IDLE_CONNECTIONS)
        self._timeout_ms = timeout_ms
        self._lock = Lock()
        self._watching: set[HTTPConnection] = set()
        self._are_watches_cancelled = False

    def get(self, key: str) -> StoredObject | None:
        answer = self._read("GET", f"/objects/{quote(key)}")
        if answer.status == HTTP_NOT_FOUND:
            return None
        return StoredObject(key, answer.version, answer.body)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        return self._write("PUT", key, value, expected_version).version

    def delete(self, key: str, expected_version: int) -> None:
        self._write("DELETE", key, None, expected_version)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        query = urlencode({"prefix": prefix, "start_after": start_after, "limit": limit})
        return decode(self._read("GET", f"/objects?{query}").body, type=list[ObjectSummary])

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        query = urlencode({"prefix": prefix, "since": since, "timeout_ms": timeout_ms})
        limit_ms = self._timeout_ms + (timeout_ms + WATCH_MARGIN_MS if timeout_ms else 0)
        path = f"/watch?{query}"
        return decode(self._read("GET", path, limit_ms, is_watch=True).body, type=WatchResult)

    def cancel_watches(self) -> None:
        with self._lock:
            self._are_watches_cancelled = True
            watching = list(self._watching)
        for connection in watching:
            _shut_down(connection)

    def list_instances(self) -> list[Instance]:
        return decode(self._read("GET", "/instances").body, type=list[Instance])

    def request_weights(self, model: str) -> WeightGrant:
        body = encode({"model": model})
        return convert(decode(self._read("POST", "/weights", body=body).body), WeightGrant)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _read(
        self,
        method: str,
        path: str,
        timeout_ms: float | None = None,
        body: bytes | None = None,
        is_watch: bool = False,
    ) -> HttpAnswer:
        try:
            connection = self._pool.take(timeout_ms or self._timeout_ms)
            with self._noted_as_watch(connection) if is_watch else nullcontext():
                answer = self._exchange_on(connection, method, path, body, {})
        except TimeoutError as error:
            raise StoreTimeoutError(f"{method} {path}: no answer in time") from error
        except (OSError, HTTPException) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        if answer.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise StoreUnavailableError(f"{method} {path}: status {answer.status}")
        return answer

    def _write(
        self, method: str, key: str, value: bytes | None, expected_version: int
    ) -> HttpAnswer:
        headers = (
            {"If-None-Match": "*"}
            if expected_version == ABSENT_VERSION
            else {"If-Match": f'"{expected_version}"'}
        )
        try:
            connection = self._pool.take(self._timeout_ms)
        except OSError as error:
            raise StoreUnavailableError(f"{method} {key}: {error!r}") from error
        try:
            answer = self._exchange_on(connection, method, f"/objects/{quote(key)}", value, headers)
        except (OSError, HTTPException) as error:
            raise WriteOutcomeUnknownError(f"{method} {key}: {error!r}") from error
        return _checked_write_answer(answer, method, key)

    @contextmanager
    def _noted_as_watch(self, connection: HTTPConnection) -> Iterator[None]:
        with self._lock:
            if self._are_watches_cancelled:
                connection.close()
                raise ConnectionAbortedError("watches are cancelled")
            self._watching.add(connection)
        try:
            yield
        finally:
            with self._lock:
                self._watching.discard(connection)

    def _exchange_on(
        self,
        connection: HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> HttpAnswer:
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer = HttpAnswer(response.status, _version(response), response.read())
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(connection)
        return answer


def _shut_down(connection: HTTPConnection) -> None:
    """Wake the thread that reads from the connection."""
    sock = connection.sock
    if sock is not None:
        with suppress(OSError):
            sock.shutdown(SHUT_RDWR)


def _version(response: HTTPResponse) -> int:
    return int((response.getheader("ETag") or f'"{ABSENT_VERSION}"').strip('"'))


def _checked_write_answer(answer: HttpAnswer, method: str, key: str) -> HttpAnswer:
    if answer.status == HTTP_OK:
        return answer
    if answer.status == HTTP_CONFLICT:
        raise WriteConflictError(f"{method} {key}")
    if answer.status in (429, 503):
        raise StoreUnavailableError(f"{method} {key}: status {answer.status}")
    if answer.status >= 500:
        raise WriteOutcomeUnknownError(f"{method} {key}: status {answer.status}")
    raise StoreError(f"{method} {key}: status {answer.status}")
