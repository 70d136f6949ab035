"""A pool of HTTP/1.1 client connections by address."""

from asyncio import get_running_loop, timeout
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.client import ClientConnection, ExchangeError, new_receive_buffer
from ebonyshore.http.idle_timeouts import IdleTimeout
from ebonyshore.http.numbers import parse_port


class ConnectionPool:
    """Keeps idle connections by address. Not thread-safe: for use on one event loop.

    :param max_idle: maximum number of idle connections to each address.
    """

    __slots__ = ("_idle_by_address", "_idle_timeouts", "_max_idle", "_receive_buffer")

    def __init__(self, max_idle: int) -> None:
        self._idle_by_address: dict[str, list[ClientConnection]] = {}
        self._idle_timeouts: dict[str, IdleTimeout] = {}
        self._max_idle = max_idle
        self._receive_buffer = new_receive_buffer()

    @asynccontextmanager
    async def use(
        self,
        address: str,
        connect_timeout_ms: float,
        max_idle_ms: float,
        must_be_open: bool = False,
        request_id: str | None = None,
    ) -> AsyncIterator[ClientConnection]:
        """Provide a connection for one exchange, as a context manager.

        At the end of the block the connection is returned to the pool if the exchange is complete,
        also if the block raises, and closed otherwise, so that the server cancels the request.
        Parameters and errors are those of :meth:`acquire`.
        """
        connection = await self.acquire(
            address, connect_timeout_ms, max_idle_ms, must_be_open, request_id
        )
        async with self._exchange(address, connection):
            yield connection

    @asynccontextmanager
    async def use_new(
        self, address: str, connect_timeout_ms: float
    ) -> AsyncIterator[ClientConnection]:
        """Provide a new connection for one exchange; otherwise as :meth:`use`."""
        connection = await self._connect(address, connect_timeout_ms)
        async with self._exchange(address, connection):
            yield connection

    @asynccontextmanager
    async def _exchange(self, address: str, connection: ClientConnection) -> AsyncIterator[None]:
        try:
            yield
        finally:
            self.release(address, connection)

    async def acquire(
        self,
        address: str,
        connect_timeout_ms: float,
        max_idle_ms: float,
        must_be_open: bool = False,
        request_id: str | None = None,
    ) -> ClientConnection:
        """Return an idle connection to the address, or a new one if there is none.

        The most recently used connection is taken first. Pass the result to :meth:`release`.

        :param address: address of the server as ``IP:PORT``.
        :param connect_timeout_ms: time limit of a new connection.
        :param max_idle_ms: maximum time for which a reused connection may have been idle.
        :param must_be_open: whether the request must not be repeated, so that a reused connection
            has to be one that the server certainly keeps open.
        :param request_id: id of the request; connections that have carried one with this id are
            not used, because the server may send the response to that one once more.
        :raises ExchangeError: if the server cannot be reached; nothing was sent.
        """
        idle = self._idle_by_address.get(address, [])
        at_ms = now_ms()
        for connection in idle[:1]:  # the one that has been idle for longest
            connection.record_open(at_ms)
        for connection in reversed(idle.copy()):
            if connection.has_carried(request_id):
                continue
            idle.remove(connection)
            if connection.is_usable(at_ms, max_idle_ms, must_be_open):
                return connection
            connection.abort()
        return await self._connect(address, connect_timeout_ms)

    def release(self, address: str, connection: ClientConnection) -> None:
        """Return a connection to the pool if its exchange is complete, else close it.

        If ``max_idle`` connections to the address are idle, the one idle for longest is closed.
        """
        if not connection.finish_exchange(now_ms()):
            return
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) >= self._max_idle:
            idle.pop(0).abort()
        idle.append(connection)

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address, and forget what is known of its server."""
        self._idle_timeouts.pop(address, None)
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    async def _connect(self, address: str, timeout_ms: float) -> ClientConnection:
        idle_timeout = self._idle_timeouts.setdefault(address, IdleTimeout())
        return await _connect(address, timeout_ms, idle_timeout, self._receive_buffer)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle_connections(address)


async def _connect(
    address: str, timeout_ms: float, idle_timeout: IdleTimeout, receive_buffer: memoryview
) -> ClientConnection:
    """Open a connection.

    :raises ExchangeError: if the server cannot be reached; nothing was sent.
    """
    host, _, port_text = address.rpartition(":")
    port = parse_port(port_text)
    if not host or port is None:
        raise ExchangeError(f"invalid address {address!r}", was_sent=False)
    loop = get_running_loop()
    try:
        async with timeout(timeout_ms / MS_PER_S):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(idle_timeout, receive_buffer), host, port
            )
    except (OSError, ValueError) as error:
        raise ExchangeError(f"cannot connect to {address}: {error!r}", was_sent=False) from error
    return connection
