"""The stand-in engine as an HTTP server with an OpenAI-style streaming API."""

import argparse
from collections import Counter, deque
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from queue import Queue
from threading import Condition
from uuid import uuid4

from msgspec import Struct, convert
from msgspec.json import decode, encode

from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore_standins.engine_model import (
    EngineCrashedError,
    EngineModel,
    EngineParameters,
    Step,
    TokenEvent,
)

DEFAULT_MAX_TOKENS = 16
LOAD_REPORT_LAG_MS = 200.0
KEPT_STEPS = 50_000


class StreamEnded:
    """Tells a handler that the engine crashed and the connection must be closed."""

    __slots__ = ()


class CompletionBody(Struct):
    """The fields of a request that the stand-in looks at."""

    model: str
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    resume_text: str = ""

    def prompt_text(self) -> str:
        """Return the whole prompt as one text."""
        if not self.messages:
            return self.prompt
        return "\n".join(f"{message['role']}: {message['content']}" for message in self.messages)

    def token_limit(self) -> int:
        """Return the number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class EngineOptions(Struct, frozen=True):
    """Behaviour of the server.

    :param models: loaded at the start.
    :param restart_ms: time from a crash until the engine answers again.
    :param does_check_fencing: whether orders with an old fencing number are refused.
    """

    models: tuple[str, ...]
    restart_ms: float = 1_000.0
    does_check_fencing: bool = False


class StepRecord(Struct, frozen=True):
    """One step as it was, for measurements; counts are by model.

    :param started_ms: monotonic time, which all processes of an instance share.
    :param step_ms: time the step takes by the model.
    :param sequences: sequences in the step.
    :param tokens: tokens generated in the step.
    :param finished_tokens: tokens of the answers that ended complete in the step.
    """

    started_ms: float
    step_ms: float
    sequences: dict[str, int]
    tokens: dict[str, int]
    finished_tokens: dict[str, int]


class EngineRunner:
    """Runs the model's steps in real time and hands tokens to the handlers."""

    def __init__(self, parameters: EngineParameters, options: EngineOptions, clock: Clock) -> None:
        self.options = options
        self.models = set(options.models)
        self.crash_count = 0
        self.steps = 0
        self.busy_ms = 0.0
        self.tokens = 0
        self.boot_id = uuid4().hex
        self.fencing_numbers: dict[str, int] = {}
        self._parameters = parameters
        self._clock = clock
        self._changed = Condition()
        self._engine = EngineModel(parameters)
        self._queues: dict[str, Queue[TokenEvent | StreamEnded]] = {}
        self._models_by_request: dict[str, str] = {}
        self._step_records: deque[StepRecord] = deque(maxlen=KEPT_STEPS)
        self._loads: deque[tuple[float, int, int, float]] = deque([(0.0, 0, 0, 0.0)], maxlen=512)
        self._down_until_ms = 0.0
        self._executor = ThreadPoolExecutor(max_workers=1)
        self._is_stopped = False

    def start(self) -> None:
        """Start the step loop."""
        self._executor.submit(self._loop)

    def stop(self) -> None:
        """End the step loop."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()
        self._executor.shutdown()

    @property
    def is_down(self) -> bool:
        """Whether the engine crashed and has not restarted yet."""
        return self._clock.monotonic_ms() < self._down_until_ms

    def submit(self, request_id: str, body: CompletionBody) -> Queue[TokenEvent | StreamEnded]:
        """Queue a request; its events arrive on the returned queue."""
        queue: Queue[TokenEvent | StreamEnded] = Queue()
        with self._changed:
            self._queues[request_id] = queue
            self._models_by_request[request_id] = body.model
            self._engine.submit(
                request_id, body.prompt_text(), body.token_limit(), body.resume_text
            )
            self._changed.notify()
        return queue

    def abort(self, request_ids: list[str] | None) -> None:
        """End some requests, or all."""
        with self._changed:
            if request_ids is None:
                self._engine.abort_all()
            for request_id in request_ids or ():
                self._engine.abort(request_id)
            self._changed.notify()

    def has_prefix(self, prefix_digest: str) -> bool:
        """Return whether the block of a prefix is cached."""
        with self._changed:
            return self._engine.has_prefix(prefix_digest)

    def import_prefix(self, prefix_digest: str) -> None:
        """Cache the block of a prefix that another engine exported."""
        with self._changed:
            self._engine.import_prefix(prefix_digest)

    def load(self) -> dict[str, float]:
        """Return the load as it was :data:`LOAD_REPORT_LAG_MS` ago, and totals."""
        now_ms = self._clock.monotonic_ms()
        with self._changed:
            past = [load for load in self._loads if load[0] <= now_ms - LOAD_REPORT_LAG_MS]
            reported_ms, running, waiting, step_ms = (past or [self._loads[0]])[-1]
            return {
                "running": running,
                "waiting": waiting,
                "step_ms": step_ms,
                "age_ms": now_ms - reported_ms,
                "steps": self.steps,
                "busy_ms": self.busy_ms,
                "tokens": self.tokens,
                "crash_count": self.crash_count,
            }

    def cache_events(self, since: int) -> list[dict[str, object]]:
        """Return cache events after number ``since``; every tenth one is missing."""
        with self._changed:
            changes = self._engine.cache_changes[since:]
        return [
            {"sequence": since + index + 1, "prefix_digest": digest, "is_stored": is_stored}
            for index, (digest, is_stored) in enumerate(changes)
            if (since + index) % 10 != 9
        ]

    def _loop(self) -> None:
        while not self._is_stopped:
            with self._changed:
                while not (self._is_stopped or self._engine.running or self._engine.waiting):
                    self._changed.wait()
                try:
                    step = self._engine.step()
                except EngineCrashedError:
                    self._crash()
                    continue
                self._record_load(step.duration_ms)
                self._record_step(step)
            self._deliver(step.aborted)
            self._clock.sleep_ms(step.duration_ms)
            self._deliver(step.events)

    def _record_load(self, step_ms: float) -> None:
        engine = self._engine
        self.steps += 1
        self.busy_ms += step_ms
        load = (self._clock.monotonic_ms(), len(engine.running), len(engine.waiting), step_ms)
        self._loads.append(load)

    def _record_step(self, step: Step) -> None:
        if not step.duration_ms:
            return
        models = self._models_by_request
        sequences = Counter(models[s.request_id] for s in self._engine.running)
        tokens: Counter[str] = Counter()
        finished: Counter[str] = Counter()
        for event in step.events:
            model = models[event.request_id]
            tokens[model] += bool(event.token)
            if event.finish_reason == "stop":
                sequences[model] += 1
                finished[model] += event.completion_tokens
        now_ms = self._clock.monotonic_ms()
        self._step_records.append(
            StepRecord(now_ms, step.duration_ms, dict(sequences), dict(tokens), dict(finished))
        )

    def step_records(self) -> list[StepRecord]:
        """Return the last :data:`KEPT_STEPS` steps that had work."""
        with self._changed:
            return list(self._step_records)

    def _deliver(self, events: tuple[TokenEvent, ...]) -> None:
        with self._changed:
            for event in events:
                self.tokens += bool(event.token)
                queue = self._queues.get(event.request_id)
                if queue is not None:
                    queue.put(event)
                if event.finish_reason:
                    self._queues.pop(event.request_id, None)
                    self._models_by_request.pop(event.request_id, None)

    def _crash(self) -> None:
        self.crash_count += 1
        self._down_until_ms = self._clock.monotonic_ms() + self.options.restart_ms
        self.boot_id = uuid4().hex
        self._engine = EngineModel(self._parameters)
        for queue in self._queues.values():
            queue.put(StreamEnded())
        self._queues.clear()
        self._models_by_request.clear()


class EngineHandler(BaseHTTPRequestHandler):
    """Serves one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    runner: EngineRunner

    def do_GET(self) -> None:  # noqa: N802 - name given by the base class
        if self._refuse_when_down():
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
        if self._refuse_when_down():
            return
        if self.path in ("/v1/chat/completions", "/v1/completions"):
            self._generate(data)
        elif self.path == "/abort":
            self.runner.abort(decode(data).get("request_ids"))
            self._send_json(200, {})
        elif self.path == "/orders":
            self._order(decode(data))
        elif self.path == "/kv/export":
            self._export_prefix(decode(data)["prefix_digest"])
        elif self.path == "/kv/import":
            self.runner.import_prefix(decode(data)["prefix_digest"])
            self._send_json(200, {})
        else:
            self._send_json(404, {"error": "not found"})

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Write no access log."""

    def _refuse_when_down(self) -> bool:
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
            # The stand-in's cache holds no tensors, so the digest is all there is to move.
            self._send_json(200, {"prefix_digest": prefix_digest})
        else:
            self._send_json(404, {"error": "the prefix is not cached"})

    def _order(self, order: dict[str, object]) -> None:
        duty, number = str(order["duty"]), int(order["fencing_number"])
        if self.runner.options.does_check_fencing:
            if number < self.runner.fencing_numbers.get(duty, 0):
                self._send_json(409, {"error": "old fencing number"})
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
    """HTTP server of one engine."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that the client closed, as a cancelled stream is."""

    def server_close(self) -> None:
        """Close the socket and end the step loop."""
        super().server_close()
        self.RequestHandlerClass.runner.stop()


def make_engine_server(
    port: int, parameters: EngineParameters, options: EngineOptions, clock: Clock
) -> EngineServer:
    """Return a server with a running step loop; call ``serve_forever`` on it."""
    runner = EngineRunner(parameters, options, clock)
    runner.start()
    handler = type("Handler", (EngineHandler,), {"runner": runner})
    return EngineServer(("127.0.0.1", port), handler)


def main() -> None:
    """Run the stand-in until it is stopped."""
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
