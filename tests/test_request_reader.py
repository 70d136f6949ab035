"""What a server reads of requests, what it counts for them, and which connections it gives up."""

import asyncio

import pytest

from ebonyshore.host.connection_limits import MIN_CONNECTIONS, connection_limits
from ebonyshore.http.headers import FIELD_BYTES, Headers
from ebonyshore.http.request_reader import RequestReader, RequestRejectedError
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.http.waiting_connections import FIRST_REQUEST_MS, WaitingConnections

POST = b"POST /x HTTP/1.1\r\nHost: h\r\n"
SHORT_LINES = 3_900  # fewer bytes than the limit of a head, and far more as objects
LONG_BODY = b"y" * 8_000


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 20))


async def exchange(data, limits=None, **arguments):
    """Send data to a server that echoes bodies; return all that it answers."""

    async def echo(request, responder):
        responder.send(200, Headers(), request.body)

    server = HttpServer(echo, limits or ServerLimits(), print, **arguments)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    writer.write(POST + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
    answer = await reader.read(-1)
    writer.close()
    server.stop_listening()
    return answer


def test_head_of_many_short_lines_is_served_with_its_body_in_the_same_packet():
    head = POST + b"a:\r\n" * SHORT_LINES + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
    answer = run(exchange(head + LONG_BODY))
    assert answer.count(b"HTTP/1.1 200") == 2 and LONG_BODY in answer


def test_many_small_pipelined_requests_are_all_answered():
    requests = b"".join(
        POST + b"Content-Length: %d\r\n\r\n%d" % (len(str(n)), n) for n in range(1_000)
    )
    answer = run(exchange(requests))
    assert answer.count(b"HTTP/1.1 200") == 1_001
    assert answer.index(b"\r\n998") < answer.index(b"\r\n999")


def make_reader(**limits):
    return RequestReader(lambda: ServerLimits(**limits), lambda: 0.0)


def test_fields_are_counted_as_objects():
    reader = make_reader()
    assert reader.feed(memoryview(POST + b"a:\r\n" * 1_000)) == []
    assert reader.held_bytes > 1_000 * FIELD_BYTES


def test_field_without_end_is_counted():
    reader = make_reader()
    reader.feed(memoryview(POST + b"X: " + b"y" * 9_000))
    assert reader.held_bytes > 9_000


def test_body_in_small_chunks_is_counted_once():
    reader = make_reader()
    reader.feed(memoryview(POST + b"Transfer-Encoding: chunked\r\n\r\n"))
    before_bytes = reader.held_bytes
    reader.feed(memoryview(b"2\r\nyz\r\n" * 5_000))
    assert reader.held_bytes - before_bytes == 10_000


@pytest.mark.parametrize(
    "data, status",
    [
        (POST + b"a:\r\n" * 10_000, 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"\r\n" * 10_000, 431),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"e" * 40_000, 431),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a: b\r\n" * 10_000, 431),
        (POST + b"Content-Length: 99999999999\r\n\r\n" + b"y" * 30_000, 413),
    ],
)
def test_reading_stops_at_the_limit(data, status):
    reader = make_reader(max_body_bytes=20_000)
    with pytest.raises(RequestRejectedError) as raised:
        for start in range(0, len(data), 4_096):
            reader.feed(memoryview(data[start : start + 4_096]))
            assert reader.held_bytes < 16_384 * FIELD_BYTES / 4 + 65_536
    assert raised.value.status == status and not raised.value.follows_request


def test_what_follows_a_request_is_kept_as_bytes():
    head = POST + b"a:\r\n" * 1_000 + b"Content-Length: 0\r\n\r\n"
    reader = make_reader()
    assert len(reader.feed(memoryview(head * 4))) == 1
    assert reader.has_more and reader.held_bytes < 4 * len(head)
    assert [len(reader.feed_rest()) for _ in range(4)] == [1, 1, 1, 0]


def test_client_that_reads_no_answer_is_given_up_after_the_idle_timeout():
    async def scenario():
        async def send_much(_request, responder):
            responder.send(200, Headers(), b"y" * (8 << 20))

        server = HttpServer(send_much, ServerLimits(idle_timeout_ms=300), print)
        await server.listen("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1_024)
        writer.write(POST + b"Connection: close\r\nContent-Length: 0\r\n\r\n")
        while not server.connections:
            await asyncio.sleep(0.01)
        while server.connections:
            await asyncio.sleep(0.01)
        writer.close()
        server.stop_listening()
        return True

    assert run(scenario())


def test_new_connection_replaces_the_one_that_waits_longest():
    async def scenario():
        server = HttpServer(None, ServerLimits(), print, max_connections=3)
        await server.listen("127.0.0.1", 0)
        silent = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(5)]
        await asyncio.sleep(0.2)
        open_count = len(server.connections)
        ends = [reader.at_eof() or reader.exception() is not None for reader, _ in silent]
        for _, writer in silent:
            writer.close()
        server.stop_listening()
        return open_count, ends

    assert run(scenario()) == (3, [True, True, False, False, False])


@pytest.mark.parametrize(
    "at_ms, first", [(FIRST_REQUEST_MS - 1, "idle"), (FIRST_REQUEST_MS, "new")]
)
def test_connection_has_a_while_for_its_first_request(at_ms, first):
    waiting = WaitingConnections()
    waiting.add_new("new", 0.0)
    waiting.add_served("idle", 0.0)
    assert waiting.pop_first_to_end(at_ms) == first


def test_connection_that_brought_a_request_is_not_given_up():
    waiting = WaitingConnections()
    waiting.add_new("busy", 0.0)
    waiting.discard("busy")
    assert waiting.pop_first_to_end(9_999.0) is None


def test_limits_follow_from_descriptors_and_memory():
    few = connection_limits(600, None)
    assert (few.clients, few.operators) == (160, MIN_CONNECTIONS)
    assert connection_limits(4_200, 64_000_000).clients < connection_limits(4_200, None).clients
    assert connection_limits(10, 1_000) == connection_limits(200, None)
