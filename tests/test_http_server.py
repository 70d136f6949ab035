"""HTTP server: limits on requests, connection reuse and failed handlers."""

import asyncio

import pytest

from ebonyshore.http.headers import Headers
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_limits import ServerLimits

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

    async def exchange(self, *parts, pause_s=0.0):
        """Send the parts on one connection, ``pause_s`` apart; return all data received."""
        await self.server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        data = b""
        try:
            while chunk := await asyncio.wait_for(reader.read(65_536), 2):
                data += chunk
        except ConnectionResetError:
            data += b"<reset>"
        writer.close()
        self.server.stop_listening()
        return data


def exchange(*parts, pause_s=0.0):
    echo = EchoServer()
    return run(echo.exchange(*parts, pause_s=pause_s)), echo


def encode_post(body=b"", extra="", path="/x"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def test_pipelined_requests_are_answered_in_order():
    response, _ = exchange(
        encode_post(b"one") + encode_post(b"two"), encode_post(b"three", "Connection: close\r\n")
    )
    assert response.count(b"HTTP/1.1 200 OK") == 3
    assert response.index(b"one") < response.index(b"two") < response.index(b"three")
    assert response.count(b"Connection: close") == 1


def test_chunked_body_received_in_small_parts_is_read_completely():
    request = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    )
    response, echo = exchange(
        *[request[n : n + 7] for n in range(0, len(request), 7)], pause_s=0.002
    )
    assert response.endswith(b"abc") and echo.requests[0].body == b"abc"


@pytest.mark.parametrize(
    "request_bytes, status",
    [
        (encode_post(b"", "X: " + "y" * 600 + "\r\n"), b"431"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 600, b"431"),
        (encode_post(b"z" * 1_001), b"413"),
        (b"not http at all\r\n\r\n", b"400"),
        (b"POST /x HTTP/1.1\r\nHost: h\r\n", b"408"),
        (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
    ],
)
def test_invalid_or_oversized_request_is_rejected_and_not_handled(request_bytes, status):
    """Guards against request smuggling by ambiguous framing, and against unbounded memory use."""
    response, echo = exchange(request_bytes)
    assert response.startswith(b"HTTP/1.1 " + status)
    assert echo.requests == []


def test_idle_connection_is_closed_only_after_the_idle_timeout():
    response, _ = exchange(encode_post(b"one"), encode_post(b"two"), pause_s=0.24)
    assert response.count(b"200 OK") == 2 and not response.endswith(b"<reset>")


@pytest.mark.parametrize("path", ["/fail", "/silent"])
def test_failed_handler_sends_no_response(path):
    response, echo = exchange(encode_post(b"", path=path))
    assert response in (b"", b"<reset>")
    assert bool(echo.failures) == (path == "/fail")


def test_draining_server_announces_that_it_closes_the_connection():
    async def scenario():
        echo = EchoServer()
        echo.server.is_draining = True
        return await echo.exchange(encode_post(b"last"))

    response = run(scenario())
    assert b"Connection: close" in response and response.endswith(b"last")
