"""Faults that the fuzzer has found, and the fuzzer itself with fixed seeds."""

import asyncio

import pytest

from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError
from ebonyshore.http.messages import ResponseHead
from ebonyshore.http.server import HttpServer
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.link.job_call import decode_job_request
from ebonyshore_standins.received_bytes import feed_bytes
from tools.fuzz import fuzz
from tools.fuzz_targets import FUZZ_TARGETS

FIXED_SEED = 42
EXAMPLES = 200
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
    try:
        writer.write(request)
        answer = await asyncio.wait_for(reader.read(), 2.0)
    finally:
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


class SilentTransport:
    def write(self, data):
        pass

    def abort(self):
        pass

    def is_closing(self):
        return False

    def resume_reading(self):
        pass


async def receive(*chunks: bytes) -> list:
    connection = ClientConnection()
    connection.connection_made(SilentTransport())
    connection.send(b"")
    for chunk in chunks:
        feed_bytes(connection, chunk)
    parts = []
    while not parts or not isinstance(parts[-1], BodyEnd):
        parts.append(await connection.next_part())
    return parts


FINAL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_interim_responses_are_not_taken_for_the_response():
    """Guards against callers that get status 100 and no response."""
    interim = b"HTTP/1.1 100 Continue\r\nAttempt-Id: a\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
    head, body, _ = asyncio.run(receive(interim + FINAL))
    assert isinstance(head, ResponseHead) and head.status == 200 and body == b"ok"


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: h2c", b"HTTP/1.1 000 X"]
)
def test_response_that_is_no_answer_to_a_request_is_invalid(head):
    """Guards against an error of the parser that no caller expects."""
    with pytest.raises(ExchangeError):
        asyncio.run(receive(head + b"\r\nContent-Length: 2\r\n\r\nok"))


@pytest.mark.parametrize(
    "target",
    [
        "/jobs/j?call=submit&age_ms=inf",
        "/jobs/j?call=results&wait_ms=nan",
        "/jobs/j?call=results&first=-1",
        "/jobs/j?call=submit&age_ms=1e300",
        "//[/jobs/j?call=results",
    ],
)
def test_job_call_with_a_number_out_of_range_is_invalid(target):
    """Guards against errors after the call was decoded, which leave it without an answer."""
    with pytest.raises(ValueError):
        decode_job_request(target)


CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"


def test_trailers_of_a_request_are_not_taken_for_headers():
    """Guards against fields that pass for headers after these were checked."""
    answer, _ = asyncio.run(
        exchange(CHUNKED + b"0\r\nAttempt-Id: forged\r\n\r\n" + UPGRADE + b"\r\n")
    )
    assert answer.startswith(b"HTTP/1.1 200 ") and b"forged" not in answer


@pytest.mark.parametrize("endless", [b"0\r\nA: " + b"x" * 500_000, b"1;" + b"x" * 500_000])
def test_request_with_endless_trailers_is_refused(endless):
    """Guards against memory that a caller fills although bodies are limited."""
    try:
        answer, handled = asyncio.run(exchange(CHUNKED + endless))
    except ConnectionResetError:
        return  # the server has closed the connection without reading all of it
    assert b" 431 " in answer and handled == []


@pytest.mark.parametrize("endless", [b"0\r\nA: ", b"0\r\n" + b"A: x\r\n" * 1_000, b"1;"])
def test_response_with_endless_trailers_is_broken_off(endless):
    """Guards against memory that a target fills although heads and bodies are limited."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    with pytest.raises(ExchangeError, match="exceeds"):
        asyncio.run(receive(head + endless, *([b"x" * 6_000] * 50)))


@pytest.mark.parametrize("target", FUZZ_TARGETS, ids=lambda target: target.name)
def test_decoder_returns_or_raises_a_typed_error_for_any_bytes(target):
    fuzz(target, FIXED_SEED, EXAMPLES)
