"""HTTP client of a store that keeps connections alive.

Its errors distinguish writes without effect from writes of unknown outcome.
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, HTTPException, HTTPResponse
from socket import SHUT_RDWR
from threading import Lock

from msgspec import Struct

from ebonyshore.frame.errors import (
    StoreTimeoutError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.http_pool import HttpConnectionPool

# Of writes that were not done and may be done later, beside those of conflicts.
TRANSIENT_STATUSES = (408, 410, 425, 429, 503)
TOO_LARGE_STATUS = 413
MAX_IDLE_CONNECTIONS = 4
WATCH_MARGIN_MS = 2_000  # added to the client's timeout of a watch


class StoreResponse(Struct, frozen=True):
    """A complete HTTP response.

    :param status: HTTP status.
    :param etag: the ``ETag`` header without its quotes; empty if there is none.
    :param body: response body.
    """

    status: int
    etag: str
    body: bytes


class StoreHttpClient:
    """Sends requests to one store; safe to use from any thread.

    :param url: base URL, ``http://IP:PORT``.
    :param timeout_ms: time limit for connecting and for each send and receive. For a watch, its
        own timeout and :data:`WATCH_MARGIN_MS` are added.
    """

    __slots__ = ("_are_watches_cancelled", "_lock", "_pool", "_timeout_ms", "_watch_paths")

    def __init__(self, url: str, timeout_ms: float) -> None:
        self._pool = HttpConnectionPool(url, MAX_IDLE_CONNECTIONS)
        self._timeout_ms = timeout_ms
        self._lock = Lock()
        self._watch_paths: dict[HTTPConnection, str] = {}  # of pending watches, without a query
        self._are_watches_cancelled = False

    def read(
        self,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        watch_timeout_ms: float | None = None,
    ) -> StoreResponse:
        """Send a request that changes nothing and return the response.

        :param watch_timeout_ms: how long the store may delay the response to a watch; ``None`` for
            other requests.
        :raises StoreTimeoutError: if the connection or the response took too long.
        :raises StoreUnavailableError: if the request failed for another reason, or a watch was
            interrupted or cancelled.
        """
        limit_ms = self._timeout_ms
        if watch_timeout_ms:
            limit_ms += watch_timeout_ms + WATCH_MARGIN_MS
        try:
            connection = self._pool.acquire(limit_ms, self._timeout_ms)
            if watch_timeout_ms is None:
                return self._send_request(connection, method, path, body, {})
            with self._registered_as_watch(connection, path.partition("?")[0]):
                return self._send_request(connection, method, path, body, {})
        except TimeoutError as error:
            raise StoreTimeoutError(f"{method} {path}: request timed out") from error
        except (OSError, HTTPException) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error

    def write(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> StoreResponse:
        """Send a request that may change something and return the response.

        :raises StoreUnavailableError: if the request was not sent.
        :raises WriteOutcomeUnknownError: if the request may have been sent but no complete
            response was received.
        """
        try:
            connection = self._pool.acquire(self._timeout_ms)
        except OSError as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        try:
            return self._send_request(connection, method, path, body, headers)
        except (OSError, HTTPException) as error:
            raise WriteOutcomeUnknownError(f"{method} {path}: {error!r}") from error

    def cancel_watches(self) -> None:
        """End pending watches, and fail all later ones."""
        self._are_watches_cancelled = True
        self.interrupt_watches()

    def interrupt_watches(self, path: str = "") -> None:
        """End pending watches; new ones may be started.

        :param path: only watches of this path, without a query; all if omitted.
        """
        with self._lock:
            connections = [
                connection
                for connection, watched_path in self._watch_paths.items()
                if path in ("", watched_path)
            ]
        for connection in connections:
            _shut_down(connection)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    @contextmanager
    def _registered_as_watch(self, connection: HTTPConnection, path: str) -> Iterator[None]:
        with self._lock:
            if self._are_watches_cancelled:
                connection.close()
                raise ConnectionAbortedError("watches are cancelled")
            self._watch_paths[connection] = path
        try:
            yield
        finally:
            with self._lock:
                self._watch_paths.pop(connection, None)

    def _send_request(
        self,
        connection: HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> StoreResponse:
        try:
            connection.request(method, path, body, headers)
            received = connection.getresponse()
            response = StoreResponse(received.status, _etag(received), received.read())
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return response


def _shut_down(connection: HTTPConnection) -> None:
    """Shut down the socket, which unblocks a thread that reads from it."""
    sock = connection.sock
    if sock is not None:
        with suppress(OSError):
            sock.shutdown(SHUT_RDWR)


def _etag(response: HTTPResponse) -> str:
    return (response.getheader("ETag") or "").strip('"')
