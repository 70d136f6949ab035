"""Tests of the pool of HTTP connections."""

import socket
from collections.abc import Iterator
from contextlib import suppress

import pytest

from ebonyshore.frame.http_pool import HttpConnectionPool

TIMEOUT_MS = 2_000


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


@pytest.fixture
def pool(listener: socket.socket) -> Iterator[HttpConnectionPool]:
    running = HttpConnectionPool(f"http://127.0.0.1:{listener.getsockname()[1]}", max_idle=1)
    yield running
    running.close()


def test_idle_connection_is_reused(pool: HttpConnectionPool) -> None:
    first = pool.acquire(TIMEOUT_MS)
    pool.release(first)
    assert pool.acquire(TIMEOUT_MS) is first


def test_connection_that_the_server_closed_is_not_reused(
    pool: HttpConnectionPool, listener: socket.socket
) -> None:
    """Guards against a request that is sent on a closed connection and lost, which then looks as if
    the request had crashed the target."""
    first = pool.acquire(TIMEOUT_MS)
    peer, _ = listener.accept()
    pool.release(first)
    peer.close()
    with suppress(BlockingIOError):
        first.sock.setblocking(True)
        first.sock.recv(1, socket.MSG_PEEK)  # returns once the close has arrived
    assert pool.acquire(TIMEOUT_MS) is not first


def test_pool_keeps_at_most_max_idle_connections(pool: HttpConnectionPool) -> None:
    connections = [pool.acquire(TIMEOUT_MS) for _ in range(2)]
    for connection in connections:
        pool.release(connection)
    assert pool.acquire(TIMEOUT_MS) is connections[0]
    assert connections[1].sock is None
