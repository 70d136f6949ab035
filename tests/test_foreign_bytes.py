"""Faults that the fuzzer has found."""

import asyncio

import pytest

from ebonyshore.http.server import HttpServer, ServerLimits

UPGRADE = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"


async def exchange(request: bytes) -> tuple[bytes, list[str]]:
    """Send bytes to a server; return what it answers and the targets that its handler got."""
    handled = []

    async def handle(received, responder):
        handled.append(received.target)
        responder.send(200, received.headers.without(()), received.body)

    server = HttpServer(handle, ServerLimits(), lambda *_: None)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(request)
    answer = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    server.stop_listening()
    return answer, handled


@pytest.mark.parametrize("following", [b"", b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n", b"\x00"])
def test_request_that_asks_for_another_protocol_is_answered(following):
    """Guards against a connection that is reset without an answer."""
    answer, handled = asyncio.run(exchange(UPGRADE + b"\r\n" + following))
    assert answer.startswith(b"HTTP/1.1 200 ") and handled == ["/x"]
    assert b"Connection: close" in answer


def test_request_with_a_body_that_asks_for_another_protocol_is_refused():
    """Guards against a request that is forwarded without its body."""
    answer, handled = asyncio.run(exchange(UPGRADE + b"Content-Length: 3\r\n\r\nabc"))
    assert answer.startswith(b"HTTP/1.1 400 ") and handled == []
