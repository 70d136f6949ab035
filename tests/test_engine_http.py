"""Tests of the HTTP engine client with the stand-in engine."""

from collections.abc import Iterator
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import pytest
from msgspec.json import encode

from ebonyshore.agent.http_target_client import (
    MAX_CONTROL_BYTES,
    MAX_EVENT_BYTES,
    HttpEngineClient,
)
from ebonyshore.agent.target_client import TargetAnswer, TargetRequest
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import TargetError
from ebonyshore_standins.engine_model import CACHE_BLOCK_CHARS, EngineParameters
from ebonyshore_standins.engine_runner import EngineOptions
from ebonyshore_standins.engine_server import make_engine_server

SOCKET_BUFFER_BYTES = 12 << 20  # that the kernels of both sides may hold
PROMPT = "x" * CACHE_BLOCK_CHARS


@pytest.fixture
def engines() -> Iterator[list[HttpEngineClient]]:
    parameters = EngineParameters(base_step_ms=1.0)
    servers = [
        make_engine_server(0, parameters, EngineOptions(("m",)), SystemClock()) for _ in range(2)
    ]
    for server in servers:
        Thread(target=server.serve_forever, daemon=True).start()
    yield [HttpEngineClient(f"http://127.0.0.1:{server.server_address[1]}") for server in servers]
    for server in servers:
        server.shutdown()
        server.server_close()


def test_cached_prefix_moves_between_engines(engines: list[HttpEngineClient]) -> None:
    """Guards against an export of a prefix that is not cached, and an import without effect."""
    source, sink = engines
    body = encode({"model": "m", "prompt": PROMPT, "max_tokens": 1, "stream": True})
    parts = list(source.run(TargetRequest("r1", "/v1/completions", body, 5_000)))
    assert isinstance(parts[-1], TargetAnswer)
    prefix = source.cache_events(0)[0].prefix_digest
    with pytest.raises(TargetError):
        sink.export_kv(prefix)
    sink.import_kv(prefix, source.export_kv(prefix))
    assert sink.export_kv(prefix) == source.export_kv(prefix)
    assert [event.prefix_digest for event in sink.cache_events(0)] == [prefix]


class EndlessHandler(BaseHTTPRequestHandler):
    """Answers with a line or a body that does not end.

    :cvar content_type: of the answer.
    :cvar block: repeated until the client closes the connection or 80 MB were sent.
    :cvar sent_bytes: bytes sent so far, over all connections.
    """

    protocol_version = "HTTP/1.1"
    block = b"y" * 65_536
    sent_bytes = 0

    def do_POST(self) -> None:  # noqa: N802 - name given by the base class
        self.send_response(200)
        self.send_header("Connection", "close")
        self.end_headers()
        with suppress(OSError):
            while EndlessHandler.sent_bytes < 80 << 20:
                self.wfile.write(self.block)
                EndlessHandler.sent_bytes += len(self.block)

    do_GET = do_POST  # noqa: N815 - name given by the base class

    def log_message(self, format: str, *args: object) -> None:
        """Write no log."""


@pytest.mark.parametrize(
    "call, max_bytes",
    [
        (lambda engine: list(engine.run(TargetRequest("r1", "/x", b"{}", 5_000))), MAX_EVENT_BYTES),
        (lambda engine: engine.load(), MAX_CONTROL_BYTES),
    ],
    ids=["event", "control"],
)
def test_bytes_without_end_are_an_error(call, max_bytes) -> None:
    """Guards against a target that fills the memory of its agent."""
    EndlessHandler.sent_bytes = 0
    server = ThreadingHTTPServer(("127.0.0.1", 0), EndlessHandler)
    Thread(target=server.serve_forever, daemon=True).start()
    try:
        with pytest.raises(TargetError):
            call(HttpEngineClient(f"http://127.0.0.1:{server.server_address[1]}"))
    finally:
        server.shutdown()
        server.server_close()
    assert EndlessHandler.sent_bytes <= max_bytes + SOCKET_BUFFER_BYTES
