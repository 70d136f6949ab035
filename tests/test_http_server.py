"""What callers may send, and what becomes of their connections."""

import asyncio

import pytest

from ebonyshore.http.headers import Headers
from ebonyshore.http.server import HttpServer, ServerLimits

LIMITS = ServerLimits(
    max_header_bytes=500, max_body_bytes=1_000, header_timeout_ms=150, idle_timeout_ms=300
)


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 10))


class EchoServer:
    def __init__(self):
        self.requests = []
        self.failures = []
        self.server = HttpServer(self._serve, LIMITS, lambda _r, error: self.failures.append(error))

    async def _serve(self, request, responder):
        self.requests.append(request)
        if request.path == "/fail":
            raise ValueError("broken handler")
        if request.path == "/silent":
            return
        responder.send(200, Headers(), request.body)

    async def talk(self, *parts, pause_s=0.0):
        """Send the parts on one connection and return all that comes back."""
        await self.server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        data = b""
        try:
            while more := await asyncio.wait_for(reader.read(65_536), 2):
                data += more
        except ConnectionResetError:
            data += b"<reset>"
        writer.close()
        self.server.stop_listening()
        return data


def talk(*parts, pause_s=0.0):
    echo = EchoServer()
    return run(echo.talk(*parts, pause_s=pause_s)), echo


def post(body=b"", extra="", path="/x"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def test_requests_on_one_connection_are_answered_in_order():
    answer, _ = talk(post(b"one") + post(b"two"), post(b"three", "Connection: close\r\n"))
    assert answer.count(b"HTTP/1.1 200 OK") == 3
    assert answer.index(b"one") < answer.index(b"two") < answer.index(b"three")
    assert answer.count(b"Connection: close") == 1


def test_a_body_in_chunks_and_in_small_parts_is_read_whole():
    request = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    )
    answer, echo = talk(*[request[n : n + 7] for n in range(0, len(request), 7)], pause_s=0.002)
    assert answer.endswith(b"abc") and echo.requests[0].body == b"abc"


@pytest.mark.parametrize(
    "request_bytes, status",
    [
        (post(b"", "X: " + "y" * 600 + "\r\n"), b"431"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 600, b"431"),
        (post(b"z" * 1_001), b"413"),
        (b"not http at all\r\n\r\n", b"400"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\n", b"408"),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_what_is_not_allowed_is_refused_and_never_served(request_bytes, status):
    """Guards against a request smuggled inside another, and against unbounded memory."""
    answer, echo = talk(request_bytes)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert echo.requests == []


def test_an_idle_connection_is_closed_after_its_time_only():
    answer, _ = talk(post(b"one"), post(b"two"), pause_s=0.24)
    assert answer.count(b"200 OK") == 2 and not answer.endswith(b"<reset>")


@pytest.mark.parametrize("path", ["/fail", "/silent"])
def test_a_handler_that_fails_never_leaves_what_looks_like_an_answer(path):
    answer, echo = talk(post(b"", path=path))
    assert answer in (b"", b"<reset>")
    assert bool(echo.failures) == (path == "/fail")


def test_a_draining_server_announces_the_end_of_its_connections():
    async def scenario():
        echo = EchoServer()
        echo.server.is_draining = True
        return await echo.talk(post(b"last"))

    answer = run(scenario())
    assert b"Connection: close" in answer and answer.endswith(b"last")
