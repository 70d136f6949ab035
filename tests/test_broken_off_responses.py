"""Tests of the blocking HTTP clients with servers that stop in the middle of their responses."""

from collections.abc import Iterator

import pytest

from ebonyshore.agent.http_target_client import HttpEngineClient, HttpServiceClient
from ebonyshore.agent.target_client import TargetRequest
from ebonyshore.commands.api_client import ApiClient
from ebonyshore.frame.errors import (
    EbonyshoreError,
    StoreUnavailableError,
    TargetCrashedError,
    TargetError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.store_http_client import StoreHttpClient
from tests.raw_server import RawServer

BODY = b'{"boot_id": "b", "text": "the whole answer"}'
SIZED = (
    b'HTTP/1.1 200 OK\r\nETag: "7"\r\nContent-Type: application/json\r\n'
    b"Content-Length: %d\r\n\r\n" % len(BODY)
) + BODY
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
)
INTERIM = b"HTTP/1.1 100 Continue\r\nX-Note: a\r\n\r\n" + SIZED
RESPONSES = {"sized": SIZED, "chunked": CHUNKED, "interim": INTERIM}
TIMEOUT_MS = 5_000


@pytest.fixture
def server() -> Iterator[RawServer]:
    running = RawServer()
    yield running
    running.close()


def run_at(client: HttpServiceClient) -> bytes:
    parts = list(client.run(TargetRequest("r1", "/x", b"", TIMEOUT_MS)))
    return b"".join(part.data for part in parts[:-1])


def cuts(response: bytes) -> Iterator[bytes]:
    """Return each beginning of a response that is shorter than the response."""
    return (response[:length] for length in range(len(response)))


@pytest.mark.parametrize("name", RESPONSES)
@pytest.mark.parametrize("make_client", [HttpServiceClient, HttpEngineClient])
def test_answer_of_a_target_that_breaks_off_is_not_taken_for_whole(server, make_client, name):
    """Guards against an empty or short answer with status 200 at the caller."""
    client = make_client(f"http://127.0.0.1:{server.port}")
    for response in cuts(RESPONSES[name]):
        server.response = response
        with pytest.raises(TargetCrashedError):
            pytest.fail(f"{len(response)} bytes were taken for {run_at(client)}")


def test_service_answer_is_read_whole(server):
    client = HttpServiceClient(f"http://127.0.0.1:{server.port}")
    for response in RESPONSES.values():
        server.response = response
        assert run_at(client) == BODY


@pytest.mark.parametrize("name", RESPONSES)
def test_health_of_a_target_that_breaks_off_is_not_known(server, name):
    client = HttpServiceClient(f"http://127.0.0.1:{server.port}")
    for response in cuts(RESPONSES[name]):
        server.response = response
        with pytest.raises(TargetError):
            client.boot_id()


@pytest.mark.parametrize("name", RESPONSES)
def test_store_response_that_breaks_off_is_not_taken_for_whole(server, name):
    """Guards against an object that passes for empty, and a write that passes for done."""
    client = StoreHttpClient(f"http://127.0.0.1:{server.port}", TIMEOUT_MS)
    for response in cuts(RESPONSES[name]):
        server.response = response
        with pytest.raises(StoreUnavailableError):
            client.read("/objects/a")
        with pytest.raises(WriteOutcomeUnknownError):
            client.write("PUT", "/objects/a", b"{}", {})


@pytest.mark.parametrize("name", RESPONSES)
def test_command_line_does_not_take_a_response_that_breaks_off_for_whole(server, name):
    client = ApiClient(f"http://127.0.0.1:{server.port}")
    for response in cuts(RESPONSES[name]):
        server.response = response
        with pytest.raises(EbonyshoreError):
            client.call_raw("GET", "/x")


@pytest.mark.parametrize("length", ["12x", "-1", ""])
def test_invalid_length_is_no_body_that_ends_with_its_connection(server, length):
    client = HttpServiceClient(f"http://127.0.0.1:{server.port}")
    server.response = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\nbeginning".encode()
    with pytest.raises(TargetCrashedError):
        run_at(client)
