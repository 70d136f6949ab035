"""HTTP calls to a store over kept connections, with what a lost answer means for a write."""

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

MAX_IDLE_CONNECTIONS = 4
WATCH_MARGIN_MS = 2_000


class HttpAnswer(Struct, frozen=True):
    """A complete HTTP answer.

    :param etag: the ``ETag`` header without its quotes; empty if there is none.
    """

    status: int
    etag: str
    body: bytes


class HttpCaller:
    """Makes calls to one store; safe to use from any thread.

    :param url: base URL, ``http://IP:PORT``.
    :param timeout_ms: time limit of one call; a watch may wait longer by its own timeout.
    """

    __slots__ = ("_are_watches_cancelled", "_lock", "_pool", "_timeout_ms", "_watching")

    def __init__(self, url: str, timeout_ms: float) -> None:
        self._pool = HttpConnectionPool(url, MAX_IDLE_CONNECTIONS)
        self._timeout_ms = timeout_ms
        self._lock = Lock()
        self._watching: set[HTTPConnection] = set()
        self._are_watches_cancelled = False

    def read(
        self,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        watch_timeout_ms: float | None = None,
    ) -> HttpAnswer:
        """Return the answer to a call that changes nothing.

        :param watch_timeout_ms: how long the call waits at the store; ``None`` if it is no watch.
        :raises StoreUnavailableError: if no answer came.
        """
        limit_ms = self._timeout_ms
        if watch_timeout_ms:
            limit_ms += watch_timeout_ms + WATCH_MARGIN_MS
        try:
            connection = self._pool.acquire(limit_ms, self._timeout_ms)
            if watch_timeout_ms is None:
                return self._exchange(connection, method, path, body, {})
            with self._noted_as_watch(connection):
                return self._exchange(connection, method, path, body, {})
        except TimeoutError as error:
            raise StoreTimeoutError(f"{method} {path}: no answer in time") from error
        except (OSError, HTTPException) as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error

    def write(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> HttpAnswer:
        """Return the answer to a call that may change something.

        :raises StoreUnavailableError: if the call was not sent.
        :raises WriteOutcomeUnknownError: if it was sent and no answer came.
        """
        try:
            connection = self._pool.acquire(self._timeout_ms)
        except OSError as error:
            raise StoreUnavailableError(f"{method} {path}: {error!r}") from error
        try:
            return self._exchange(connection, method, path, body, headers)
        except (OSError, HTTPException) as error:
            raise WriteOutcomeUnknownError(f"{method} {path}: {error!r}") from error

    def cancel_watches(self) -> None:
        """End waiting watches and start no more."""
        self._are_watches_cancelled = True
        self.break_watches()

    def break_watches(self) -> None:
        """End waiting watches; they may be started again."""
        with self._lock:
            watching = list(self._watching)
        for connection in watching:
            _shut_down(connection)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

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

    def _exchange(
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
            answer = HttpAnswer(response.status, _etag(response), response.read())
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return answer


def _shut_down(connection: HTTPConnection) -> None:
    """Wake the thread that reads from the connection."""
    sock = connection.sock
    if sock is not None:
        with suppress(OSError):
            sock.shutdown(SHUT_RDWR)


def _etag(response: HTTPResponse) -> str:
    return (response.getheader("ETag") or "").strip('"')
