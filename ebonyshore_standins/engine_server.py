"""HTTP server of the stand-in engine, with a streaming API in the style of OpenAI's."""

import argparse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from uuid import uuid4

from msgspec import convert
from msgspec.json import decode, encode

from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore_standins.engine_model import (
    EngineParameters,
    TokenEvent,
)
from ebonyshore_standins.engine_runner import (
    CompletionBody,
    EngineOptions,
    EngineRunner,
)


class EngineHandler(BaseHTTPRequestHandler):
    """Serves one connection.

    :cvar runner: the engine; set by the subclass that :func:`make_engine_server` makes.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    runner: EngineRunner

    def do_GET(self) -> None:  # noqa: N802 - name given by the base class
        if self._close_if_down():
            return
        path, _, query = self.path.partition("?")
        if path == "/health":
            models = sorted(self.runner.models)
            self._send_json(200, {"boot_id": self.runner.boot_id, "models": models})
        elif path == "/load":
            self._send_json(200, self.runner.load())
        elif path == "/steps":
            self._send_json(200, self.runner.step_records())
        elif path == "/cache_events":
            self._send_json(200, self.runner.cache_events(int(query.partition("=")[2] or 0)))
        else:
            self._send_json(404, {"error": "not found"})

    def do_POST(self) -> None:  # noqa: N802 - name given by the base class
        data = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self._close_if_down():
            return
        if self.path in ("/v1/chat/completions", "/v1/completions"):
            self._generate(data)
        elif self.path == "/abort":
            self.runner.abort(decode(data).get("request_ids"))
            self._send_json(200, {})
        elif self.path == "/orders":
            self._execute_order(decode(data))
        elif self.path == "/kv/export":
            self._export_prefix(decode(data)["prefix_digest"])
        elif self.path == "/kv/import":
            self.runner.import_prefix(decode(data)["prefix_digest"])
            self._send_json(200, {})
        else:
            self._send_json(404, {"error": "not found"})

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Write no access log."""

    def _close_if_down(self) -> bool:
        if self.runner.is_down:
            self.close_connection = True
        return self.runner.is_down

    def _generate(self, data: bytes) -> None:
        body = convert(decode(data), CompletionBody)
        if body.model not in self.runner.models:
            self._send_json(404, {"error": {"message": f"model {body.model} is not loaded"}})
            return
        request_id = self.headers.get("X-Request-Id") or uuid4().hex
        queue = self.runner.submit(request_id, body)
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        is_chat = self.path == "/v1/chat/completions"
        while isinstance(event := queue.get(), TokenEvent):
            self._send_event(encode(_completion_chunk(request_id, body.model, event, is_chat)))
            if event.finish_reason:
                self._send_event(b"[DONE]")
                self._send_chunk(b"")
                return
        self.close_connection = True

    def _export_prefix(self, prefix_digest: str) -> None:
        if self.runner.has_prefix(prefix_digest):
            # The model's cache has no tensors, so an exported block consists of its digest only.
            self._send_json(200, {"prefix_digest": prefix_digest})
        else:
            self._send_json(404, {"error": "the prefix is not cached"})

    def _execute_order(self, order: dict[str, object]) -> None:
        duty, number = str(order["duty"]), int(order["fencing_number"])
        if self.runner.options.does_check_fencing:
            if number < self.runner.fencing_numbers.get(duty, 0):
                self._send_json(409, {"error": f"the fencing number {number} is outdated"})
                return
            self.runner.fencing_numbers[duty] = number
        if order["action"] == "load":
            self.runner.models.add(order["argument"])
        elif order["action"] == "unload":
            self.runner.models.discard(order["argument"])
        self._send_json(200, {})

    def _send_event(self, data: bytes) -> None:
        self._send_chunk(b"data: " + data + b"\n\n")

    def _send_chunk(self, data: bytes) -> None:
        try:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        except OSError:
            self.close_connection = True

    def _send_json(self, status: int, value: object) -> None:
        data = encode(value)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def _completion_chunk(
    request_id: str, model: str, event: TokenEvent, is_chat: bool
) -> dict[str, object]:
    choice: dict[str, object] = {"index": 0, "finish_reason": event.finish_reason or None}
    if is_chat:
        choice["delta"] = {"content": event.token} if event.token else {}
    else:
        choice["text"] = event.token
    chunk: dict[str, object] = {
        "id": request_id,
        "object": "chat.completion.chunk" if is_chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    if event.finish_reason:
        chunk["usage"] = {
            "prompt_tokens": event.prompt_tokens,
            "completion_tokens": event.completion_tokens,
            "total_tokens": event.prompt_tokens + event.completion_tokens,
        }
    return chunk


class EngineServer(ThreadingHTTPServer):
    """HTTP server of one engine; closing it also stops the engine."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors of connections, because clients close them to cancel streams."""

    def server_close(self) -> None:
        """Close the listening socket and stop the engine."""
        super().server_close()
        self.RequestHandlerClass.runner.stop()


def make_engine_server(
    port: int, parameters: EngineParameters, options: EngineOptions, clock: Clock
) -> EngineServer:
    """Return a server whose engine runs; call ``serve_forever`` to serve requests.

    :param port: port on 127.0.0.1; 0 chooses a free one.
    """
    runner = EngineRunner(parameters, options, clock)
    runner.start()
    handler_class = type("Handler", (EngineHandler,), {"runner": runner})
    return EngineServer(("127.0.0.1", port), handler_class)


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--models", required=True, help="comma-separated")
    parser.add_argument("--parameters", default="{}", help="JSON object of EngineParameters")
    parser.add_argument("--restart-ms", type=float, default=1_000.0)
    parser.add_argument("--check-fencing", action="store_true")
    arguments = parser.parse_args()
    parameters = convert(decode(arguments.parameters), EngineParameters)
    models = tuple(arguments.models.split(","))
    options = EngineOptions(models, arguments.restart_ms, arguments.check_fencing)
    make_engine_server(arguments.port, parameters, options, SystemClock()).serve_forever()


if __name__ == "__main__":
    main()
