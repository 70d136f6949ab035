"""Tests of the check whether a target is down."""

import asyncio

import pytest

from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.host.target_check import TargetChecker, TargetCondition
from ebonyshore.http.client import BodyEnd
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.platform.target_entries import decode_start
from ebonyshore.platform.wire_names import WIRE_NAMES
from tests.scripted_target import ScriptedTarget, send_complete_stream


def check(serve):
    """Check a server whose connections are handled by ``serve``; ``None`` for no server."""

    async def scenario():
        server = await asyncio.start_server(serve or answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if serve is None:
            server.close()
            await server.wait_closed()
        pool = ConnectionPool(4)
        target = Target(TargetEntry("t1", "svc", f"{host}:{port}", "fd-a", 8))
        try:
            return await TargetChecker(WIRE_NAMES, pool, decode_start).check(target)
        finally:
            pool.close()
            server.close()

    return asyncio.run(asyncio.wait_for(scenario(), 10))


async def answer(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
    await hang(reader, writer)


async def report_without_start(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")
    await hang(reader, writer)


async def send_no_http(reader, writer):
    writer.write(b"no answer\r\n")
    await hang(reader, writer)


async def use_connection(pool, address):
    """Make one request and return its connection, which stays in the pool."""
    async with pool.use(address, 300.0, 10_000.0) as connection:
        connection.send(b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        while not isinstance(await connection.next_part(), BodyEnd):
            pass
    return connection


async def hang(reader, writer):
    try:
        await asyncio.sleep(5)
    finally:
        writer.close()


async def close_at_once(reader, writer):
    writer.transport.abort()


@pytest.mark.parametrize(
    "serve, condition",
    [
        (None, TargetCondition.DOWN),
        (hang, TargetCondition.DOWN),
        (report_without_start, TargetCondition.ANSWERING),
        (answer, TargetCondition.INCONCLUSIVE),
        (send_no_http, TargetCondition.INCONCLUSIVE),
        (close_at_once, TargetCondition.INCONCLUSIVE),
    ],
)
def test_a_target_is_down_if_it_refuses_connections_or_does_not_answer(serve, condition):
    """A target with too many connections closes new ones at once, so that shows nothing.

    Nor does what a proxy before a target may send while the target is gone.
    """
    assert check(serve) is condition


def test_an_idle_connection_is_not_used_for_the_check():
    """Guards against taking a target for alive, or down, by a connection that died with it."""

    async def scenario():
        server = ScriptedTarget(send_complete_stream)
        address = await server.start()
        pool = ConnectionPool(4)
        await use_connection(pool, address)
        target = Target(TargetEntry("t1", "svc", address, "fd-a", 8))
        checker = TargetChecker(WIRE_NAMES, pool, decode_start)
        assert await checker.check(target) is TargetCondition.ANSWERING
        pool.close()
        server.close()
        return server.connections

    assert asyncio.run(asyncio.wait_for(scenario(), 10)) == 2


def test_idle_connections_to_a_target_that_is_down_are_closed():
    """Guards against counting one outage again for each request that is sent into it."""

    async def scenario():
        server = ScriptedTarget(send_complete_stream)
        address = await server.start()
        pool = ConnectionPool(4)
        connection = await use_connection(pool, address)
        server.close()
        target = Target(TargetEntry("t1", "svc", address, "fd-a", 8))
        condition = await TargetChecker(WIRE_NAMES, pool, decode_start).check(target)
        return condition, connection.is_broken

    outcome = asyncio.run(asyncio.wait_for(scenario(), 10))
    assert outcome == (TargetCondition.DOWN, True)
