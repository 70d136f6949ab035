"""A pool of blocking connections to one HTTP server."""

from http.client import HTTPConnection
from select import POLLIN, poll
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL
from threading import Lock
from urllib.parse import urlsplit

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.http_connection import WholeResponseConnection

# TCP keepalive: a connection to an unreachable server ends after 1 s of silence and 2 unanswered
# probes 1 s apart, also while a response is awaited.
KEEPALIVE_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 1),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
    (IPPROTO_TCP, TCP_KEEPCNT, 2),
)


class HttpConnectionPool:
    """Reuses connections between requests; safe to use from any thread.

    :param url: base URL of the server, ``http://IP:PORT``.
    :param max_idle: greatest number of idle connections to keep.
    """

    __slots__ = ("_host", "_idle", "_lock", "_max_idle", "_port")

    def __init__(self, url: str, max_idle: int) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._max_idle = max_idle
        self._idle: list[HTTPConnection] = []
        self._lock = Lock()

    def acquire(self, timeout_ms: float, connect_timeout_ms: float | None = None) -> HTTPConnection:
        """Return an idle connection that the server has not closed, or open a new one.

        :param timeout_ms: time limit of each send and receive; at least 1 ms is used, because a
            socket with a timeout of 0 does not block.
        :param connect_timeout_ms: time limit for opening a connection; ``timeout_ms`` if omitted.
        :raises OSError: if the server cannot be reached.
        """
        timeout_s = max(timeout_ms, 1.0) / MS_PER_S
        while (connection := self._pop_idle()) is not None:
            if not _is_stale(connection):
                connection.sock.settimeout(timeout_s)
                return connection
            connection.close()
        connection = self.open(connect_timeout_ms or timeout_ms)
        connection.sock.settimeout(timeout_s)
        return connection

    def open(self, timeout_ms: float) -> HTTPConnection:
        """Open a connection that does not come from the pool.

        :param timeout_ms: time limit for opening the connection and of each send and receive; at
            least 1 ms is used.
        :raises OSError: if the server cannot be reached.
        """
        timeout_s = max(timeout_ms, 1.0) / MS_PER_S
        connection = WholeResponseConnection(self._host, self._port, timeout=timeout_s)
        connection.connect()
        for option in KEEPALIVE_OPTIONS:
            connection.sock.setsockopt(*option)
        return connection

    def release(self, connection: HTTPConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full.

        The response must have been read completely.
        """
        with self._lock:
            if connection.sock is not None and len(self._idle) < self._max_idle:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _pop_idle(self) -> HTTPConnection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None


def _is_stale(connection: HTTPConnection) -> bool:
    """Return whether an idle connection is unusable: closed by the server, or with unread data."""
    poller = poll()  # select() does not support file descriptors above 1023
    poller.register(connection.sock, POLLIN)
    return bool(poller.poll(0))
