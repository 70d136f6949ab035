"""Connections that are kept open between calls."""

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


def test_idle_connection_is_used_again(pool: HttpConnectionPool) -> None:
    first = pool.acquire(TIMEOUT_MS)
    pool.release(first)
    assert pool.acquire(TIMEOUT_MS) is first


def test_connection_that_the_server_closed_is_not_used_again(
    pool: HttpConnectionPool, listener: socket.socket
) -> None:
    """Guards against a request that is lost, and blamed for a crash, on a dead connection."""
    first = pool.acquire(TIMEOUT_MS)
    peer, _ = listener.accept()
    pool.release(first)
    peer.close()
    with suppress(BlockingIOError):
        first.sock.setblocking(True)
        first.sock.recv(1, socket.MSG_PEEK)  # returns when the end has arrived
    assert pool.acquire(TIMEOUT_MS) is not first


def test_no_more_than_the_limit_are_kept(pool: HttpConnectionPool) -> None:
    connections = [pool.acquire(TIMEOUT_MS) for _ in range(2)]
    for connection in connections:
        pool.release(connection)
    assert pool.acquire(TIMEOUT_MS) is connections[0]
    assert connections[1].sock is None
