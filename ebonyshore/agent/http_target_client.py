"""HTTP clients of targets: plain services, and model engines that stream server-sent events."""

from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse

from msgspec import DecodeError, Struct, convert
from msgspec.json import Decoder, decode, encode

from ebonyshore.agent.target_client import (
    CacheEvent,
    EngineClient,
    EngineLoad,
    EngineOrder,
    TargetAnswer,
    TargetChunk,
    TargetClient,
    TargetRequest,
)
from ebonyshore.frame.errors import (
    FencedError,
    TargetCrashedError,
    TargetError,
    TargetUnreachableError,
)
from ebonyshore.frame.http_pool import HttpConnectionPool

MAX_IDLE_CONNECTIONS = 64
CONTROL_TIMEOUT_MS = 2_000
READ_CHUNK_BYTES = 65_536
END_OF_STREAM = b"[DONE]"
DATA_PREFIX = b"data:"
MAX_EVENT_BYTES = 1 << 20
MAX_ANSWER_BYTES = 64 << 20  # of a plain answer
MAX_CONTROL_BYTES = 4 << 20
MAX_KV_BYTES = 1 << 30  # of an exported prefix
HTTP_OK = 200
HTTP_CONFLICT = 409


class _StreamUsage(Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _StreamEvent(Struct):
    id: str = ""
    usage: _StreamUsage | None = None


class HttpServiceClient(TargetClient):
    """Client of a plain service.

    :param url: base URL of the service, ``http://IP:PORT``.
    """

    def __init__(self, url: str) -> None:
        self._pool = HttpConnectionPool(url, MAX_IDLE_CONNECTIONS)

    def run(self, request: TargetRequest) -> Iterator[TargetChunk | TargetAnswer]:
        # Always a new connection: the service may close a pooled one just as the request is sent,
        # and then it would be unknown whether the request ran.
        connection = self._connect(request.timeout_ms, is_new=True)
        try:
            response = self._send(connection, request)
            yield from self._read_plain(response)
        except (OSError, HTTPException) as error:
            raise TargetCrashedError(repr(error)) from error
        finally:
            connection.close()

    def cancel(self, request_ids: tuple[str, ...]) -> None:
        """Do nothing: a plain service cannot cancel, so its requests run to their end."""

    def boot_id(self) -> str:
        return decode(self._call("GET", "/health")).get("boot_id", "")

    def _connect(self, timeout_ms: float, is_new: bool = False) -> HTTPConnection:
        try:
            return self._pool.open(timeout_ms) if is_new else self._pool.acquire(timeout_ms)
        except OSError as error:
            raise TargetUnreachableError(repr(error)) from error

    def _send(self, connection: HTTPConnection, request: TargetRequest) -> HTTPResponse:
        headers = {"Content-Type": "application/json", "X-Request-Id": request.request_id}
        connection.request("POST", request.path, request.body, headers)
        return connection.getresponse()

    def _read_plain(self, response: HTTPResponse) -> Iterator[TargetChunk | TargetAnswer]:
        is_delimited = response.chunked or response.length is not None
        size = 0
        while data := response.read(READ_CHUNK_BYTES):
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise TargetError(f"answer is longer than {MAX_ANSWER_BYTES} bytes")
            yield TargetChunk(data)
        content_type = response.getheader("Content-Type", "")
        yield TargetAnswer(response.status, content_type, is_delimited=is_delimited)

    def _call(
        self,
        method: str,
        path: str,
        value: object = None,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes:
        """Call an endpoint that controls or observes the target, such as ``/health``.

        :param value: encoded as the JSON body; no body if ``None``.
        :return: the body of the answer.
        :raises TargetUnreachableError: the connection failed, or the target did not answer within
            :data:`CONTROL_TIMEOUT_MS`.
        :raises FencedError: the target answers with status 409.
        :raises TargetError: the target answers with another status than 200, or with more than
            ``max_bytes`` bytes.
        """
        connection = self._connect(CONTROL_TIMEOUT_MS)
        try:
            connection.request(method, path, None if value is None else encode(value))
            response = connection.getresponse()
            data = response.read(max_bytes + 1)
        except (OSError, HTTPException) as error:
            connection.close()
            raise TargetUnreachableError(repr(error)) from error
        if len(data) > max_bytes:
            connection.close()
            raise TargetError(f"{method} {path}: more than {max_bytes} bytes")
        self._pool.release(connection)
        if response.status == HTTP_CONFLICT:
            raise FencedError(path)
        if response.status != HTTP_OK:
            raise TargetError(f"{method} {path}: HTTP status {response.status}")
        return data


class HttpEngineClient(HttpServiceClient, EngineClient):
    """Client of a model engine with an OpenAI-compatible streaming API."""

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._event_decoder = Decoder(_StreamEvent)

    def run(self, request: TargetRequest) -> Iterator[TargetChunk | TargetAnswer]:
        connection = self._connect(request.timeout_ms)
        response = None
        try:
            response = self._send(connection, _with_resume_text(request))
            if response.status == HTTP_OK:
                yield from self._read_stream(response)
            else:
                yield from self._read_plain(response)
        except (OSError, HTTPException) as error:
            raise TargetCrashedError(repr(error)) from error
        finally:
            self._release(connection, response)

    def _release(self, connection: HTTPConnection, response: HTTPResponse | None) -> None:
        """Return the connection to the pool if its answer was read to the end, else close it."""
        if response is not None and response.isclosed():
            self._pool.release(connection)
        else:
            connection.close()

    def cancel(self, request_ids: tuple[str, ...]) -> None:
        self._call("POST", "/abort", {"request_ids": request_ids})

    def abort_all(self) -> None:
        self._call("POST", "/abort", {})

    def load(self) -> EngineLoad:
        return convert(decode(self._call("GET", "/load")), EngineLoad)

    def cache_events(self, since: int) -> list[CacheEvent]:
        return decode(self._call("GET", f"/cache_events?since={since}"), type=list[CacheEvent])

    def order(self, order: EngineOrder) -> None:
        self._call("POST", "/orders", order)

    def models(self) -> tuple[str, ...]:
        return tuple(decode(self._call("GET", "/health"))["models"])

    def export_kv(self, prefix_digest: str) -> bytes:
        value = {"prefix_digest": prefix_digest}
        return self._call("POST", "/kv/export", value, MAX_KV_BYTES)

    def import_kv(self, prefix_digest: str, data: bytes) -> None:
        value = {"prefix_digest": prefix_digest, "data": data}
        self._call("POST", "/kv/import", value)

    def _read_stream(self, response: HTTPResponse) -> Iterator[TargetChunk | TargetAnswer]:
        first_id = ""
        usage = _StreamUsage()
        while line := response.readline(MAX_EVENT_BYTES + 1):
            if len(line) > MAX_EVENT_BYTES:
                raise TargetError(f"stream event is longer than {MAX_EVENT_BYTES} bytes")
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :].strip()
            if data == END_OF_STREAM:
                response.read(READ_CHUNK_BYTES)  # the end; with more the connection is not reused
                yield _make_stream_answer(usage)
                return
            event = self._decode_event(data)
            first_id = first_id or event.id
            if event.id != first_id:
                raise TargetError(f"stream {first_id} contains an event of stream {event.id}")
            usage = event.usage or usage
            yield TargetChunk(data)
        raise TargetCrashedError("event stream ended without [DONE]")

    def _decode_event(self, data: bytes) -> _StreamEvent:
        try:
            return self._event_decoder.decode(data)
        except DecodeError as error:
            raise TargetError(f"malformed stream event: {error}") from error


def _with_resume_text(request: TargetRequest) -> TargetRequest:
    """Return the request with its resume text moved into the JSON body."""
    if not request.resume_text:
        return request
    body = decode(request.body)
    body["resume_text"] = request.resume_text
    return TargetRequest(request.request_id, request.path, encode(body), request.timeout_ms)


def _make_stream_answer(usage: _StreamUsage) -> TargetAnswer:
    return TargetAnswer(HTTP_OK, "text/event-stream", usage.prompt_tokens, usage.completion_tokens)
