"""The engine binding against the stand-in engine."""

from collections.abc import Iterator
from threading import Thread

import pytest
from msgspec.json import encode

from ebonyshore.agent.http_target_client import HttpEngineClient
from ebonyshore.agent.target_client import TargetAnswer, TargetRequest
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import TargetError
from ebonyshore_standins.engine_model import CACHE_BLOCK_CHARS, EngineParameters
from ebonyshore_standins.engine_runner import EngineOptions
from ebonyshore_standins.engine_server import make_engine_server

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
    """Guards against an export that claims what is not there, and an import without effect."""
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
