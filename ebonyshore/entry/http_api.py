"""HTTP API for callers: OpenAI-style generation, plain services, files and batches."""

from collections.abc import Callable, Iterator
from hashlib import sha256
from threading import Lock
from uuid import uuid4

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ebonyshore.batch.batch_api import BatchApi
from ebonyshore.entry.admission import Admission
from ebonyshore.entry.body_memory import MAX_ONLINE_BYTES, MAX_UPLOAD_BYTES, BodyMemory
from ebonyshore.entry.callers import caller_for_api_key
from ebonyshore.entry.idempotency_service import IdempotencyService
from ebonyshore.entry.online import never_disconnected
from ebonyshore.entry.online_attempt import OnlineRequest
from ebonyshore.entry.openai_api import (
    AnswerAssembler,
    GenerationRequest,
    check_generation,
    parse_generation,
)
from ebonyshore.entry.sse_stream import SseStream
from ebonyshore.frame.admin_api import JSON_TYPE, error_response
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import EbonyshoreError, RefusedError, RequestError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Finished
from ebonyshore.settings.settings_service import SettingsService

EVENT_STREAM_TYPE = "text/event-stream"
LEAVING_RETRY_AFTER_MS = 1_000
BODY_RETRY_AFTER_MS = 1_000  # of a request whose body there is no memory for
UPLOAD_PATH = "/v1/files"
# Codes of refusals that are decided before the idempotency record is read.
ADMISSION_CODES = (ResultCode.LEAVING, ResultCode.CALLER_LIMIT, ResultCode.OVERLOADED)


class CallerHeaders(Struct, frozen=True):
    """Parsed headers of a caller's request.

    :param caller: id of the caller that the API key belongs to.
    :param idempotency_key: empty if the header is missing.
    :param is_repeatable: whether a target may run the request more than once.
    :param deadline_left_ms: time left until the deadline; ``None`` if the header is missing.
    """

    caller: str
    idempotency_key: str
    is_repeatable: bool
    deadline_left_ms: float | None


_ROUTES = Map(
    [
        Rule("/v1/models", endpoint="models", methods=["GET"]),
        Rule("/v1/chat/completions", endpoint="generate", methods=["POST"]),
        Rule("/v1/completions", endpoint="generate", methods=["POST"]),
        Rule("/services/<service>/<path:path>", endpoint="call_service", methods=["POST"]),
        Rule("/v1/files", endpoint="upload_file", methods=["POST"]),
        Rule("/v1/files/<file_id>", endpoint="read_file", methods=["GET"]),
        Rule("/v1/files/<file_id>/content", endpoint="read_content", methods=["GET"]),
        Rule("/v1/batches", endpoint="create_batch", methods=["POST"]),
        Rule("/v1/batches", endpoint="list_batches", methods=["GET"]),
        Rule("/v1/batches/<batch_id>", endpoint="read_batch", methods=["GET"]),
        Rule("/v1/batches/<batch_id>/cancel", endpoint="cancel_batch", methods=["POST"]),
    ]
)


class HttpApi:
    """WSGI application that serves the callers' requests."""

    def __init__(
        self,
        idempotency: IdempotencyService,
        batch: BatchApi,
        admission: Admission,
        settings: SettingsService,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._idempotency = idempotency
        self._batch = batch
        self._admission = admission
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._online_bodies = BodyMemory(MAX_ONLINE_BYTES)
        self._uploaded_bodies = BodyMemory(MAX_UPLOAD_BYTES)
        self._lock = Lock()
        self._active = 0
        self._is_leaving = False

    @property
    def active_requests(self) -> int:
        """Number of requests whose answer is not complete."""
        return self._active

    def begin_drain(self) -> None:
        """Start to refuse new requests with code ``LEAVING``."""
        self._is_leaving = True

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterator[bytes]:
        request = Request(environ, populate_request=False)
        with self._lock:
            self._active += 1
        response = self._respond_within_memory(request)
        response.call_on_close(self._end_request)
        return response(environ, start_response)

    def _respond_within_memory(self, request: Request) -> Response:
        """Respond if there is memory for the body, which is kept until the response has ended."""
        bodies = self._uploaded_bodies if request.path == UPLOAD_PATH else self._online_bodies
        body_bytes = request.content_length or 0
        if not bodies.take(body_bytes):
            error = RefusedError(code=ResultCode.OVERLOADED, retry_after_ms=BODY_RETRY_AFTER_MS)
            self._log.event("request_refused", path=request.path, code=int(error.code))
            return error_response(_account_for_earlier_attempts(error, request))
        response = self._respond(request)
        response.call_on_close(lambda: bodies.give_back(body_bytes))
        return response

    def _end_request(self) -> None:
        with self._lock:
            self._active -= 1

    def _respond(self, request: Request) -> Response:
        try:
            if self._is_leaving:
                raise RefusedError(code=ResultCode.LEAVING, retry_after_ms=LEAVING_RETRY_AFTER_MS)
            endpoint, values = _ROUTES.bind_to_environ(request.environ).match()
            headers = self._parse_headers(request)
            return getattr(self, f"_{endpoint}")(request, headers, **values)
        except EbonyshoreError as error:
            self._log.event("request_refused", path=request.path, code=int(error.code))
            return error_response(_account_for_earlier_attempts(error, request))
        except HTTPException as error:
            return error.get_response(request.environ)

    def _parse_headers(self, request: Request) -> CallerHeaders:
        api_key = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        return CallerHeaders(
            caller_for_api_key(self._settings.current(), api_key),
            request.headers.get("Idempotency-Key", ""),
            request.headers.get("Ebonyshore-No-Repeat", "").lower() != "true",
            _parse_deadline(request.headers.get("Ebonyshore-Deadline-Ms")),
        )

    def _models(self, request: Request, headers: CallerHeaders) -> Response:
        models = self._settings.current().models()
        data = [{"id": m, "object": "model", "created": 0, "owned_by": "tier"} for m in models]
        return _json_response({"object": "list", "data": data})

    def _generate(self, request: Request, headers: CallerHeaders) -> Response:
        generation = parse_generation(request.path, request.get_data())
        tree = self._settings.current()
        check_generation(generation, tree)
        self._admission.check(headers.caller)
        timeout_ms = headers.deadline_left_ms or tree.for_model(generation.model).request_timeout_ms
        online_request = OnlineRequest(
            uuid4().hex,
            headers.caller,
            generation.model,
            generation.path,
            generation.target_body,
            generation.content_digest,
            generation.head_digest,
            self._clock.monotonic_ms() + timeout_ms,
            headers.is_repeatable,
            True,
            headers.idempotency_key,
            headers.deadline_left_ms is not None,
            generation.is_stream,
        )
        messages = self._idempotency.run(online_request, _find_disconnect_check(request))
        if generation.is_stream:
            return _make_stream_response(messages)
        return _make_response(messages, generation)

    def _call_service(
        self, request: Request, headers: CallerHeaders, service: str, path: str
    ) -> Response:
        tree = self._settings.current()
        if tree.tier_of(service) is None:
            raise RequestError(service, code=ResultCode.UNKNOWN_MODEL)
        self._admission.check(headers.caller)
        timeout_ms = headers.deadline_left_ms or tree.for_model(service).request_timeout_ms
        body = request.get_data()
        content_digest = sha256(request.path.encode() + b"\n" + body).hexdigest()
        online_request = OnlineRequest(
            uuid4().hex,
            headers.caller,
            service,
            f"/{path}",
            body,
            content_digest,
            content_digest,
            self._clock.monotonic_ms() + timeout_ms,
            headers.is_repeatable,
            False,
            headers.idempotency_key,
            headers.deadline_left_ms is not None,
            False,
        )
        parts = []
        for message in self._idempotency.run(online_request, _find_disconnect_check(request)):
            if isinstance(message, Finished):
                return Response(
                    b"".join(parts), message.http_status, content_type=message.content_type
                )
            parts.append(message.data)
        raise RefusedError(code=ResultCode.STREAM_BROKEN)

    def _upload_file(self, request: Request, headers: CallerHeaders) -> Response:
        upload = request.files.get("file")
        if upload is None:
            raise RequestError("file: missing")
        purpose = request.form.get("purpose", "batch")
        data = upload.stream.read()
        return _json_response(
            self._batch.save_file(headers.caller, purpose, upload.filename or "", data)
        )

    def _read_file(self, request: Request, headers: CallerHeaders, file_id: str) -> Response:
        return _json_response(self._batch.read_file(headers.caller, file_id))

    def _read_content(self, request: Request, headers: CallerHeaders, file_id: str) -> Response:
        lines = self._batch.read_content(headers.caller, file_id)
        return Response(lines, 200, mimetype="application/jsonl")

    def _create_batch(self, request: Request, headers: CallerHeaders) -> Response:
        fields = _decode_object(request.get_data())
        return _json_response(self._batch.create(headers.caller, fields, headers.idempotency_key))

    def _list_batches(self, request: Request, headers: CallerHeaders) -> Response:
        return _json_response(self._batch.list_jobs(headers.caller))

    def _read_batch(self, request: Request, headers: CallerHeaders, batch_id: str) -> Response:
        return _json_response(self._batch.read(headers.caller, batch_id))

    def _cancel_batch(self, request: Request, headers: CallerHeaders, batch_id: str) -> Response:
        return _json_response(self._batch.cancel(headers.caller, batch_id))


def _make_response(messages: Iterator[Chunk | Finished], generation: GenerationRequest) -> Response:
    assembler = AnswerAssembler(generation)
    for message in messages:
        if isinstance(message, Chunk):
            assembler.add(message.data)
        else:
            return Response(assembler.answer(message.usage), 200, mimetype=JSON_TYPE)
    raise RefusedError(code=ResultCode.STREAM_BROKEN)


def _make_stream_response(messages: Iterator[Chunk | Finished]) -> Response:
    # The first message decides the status: a request refused before any output is answered with
    # an error status and no stream.
    first = next(messages)
    return Response(SseStream(first, messages), 200, mimetype=EVENT_STREAM_TYPE)


def _find_disconnect_check(request: Request) -> Callable[[], bool]:
    """Return a function that tells whether the caller has closed its connection."""
    return request.environ.get("waitress.client_disconnected", never_disconnected)


def _account_for_earlier_attempts(error: EbonyshoreError, request: Request) -> EbonyshoreError:
    """Return the error with an execution that holds for all attempts under the idempotency key.

    Admission does not read the idempotency record, so an earlier attempt may have run through
    another entry; its refusals therefore report ``MAYBE_RUN``.
    """
    if "Idempotency-Key" not in request.headers or error.code not in ADMISSION_CODES:
        return error
    return RefusedError(
        error.detail,
        code=error.code,
        execution=Execution.MAYBE_RUN,
        retry_after_ms=error.retry_after_ms,
    )


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        deadline_left_ms = float(text)
    except ValueError as error:
        raise RequestError(f"Ebonyshore-Deadline-Ms: {text!r} is not a number") from error
    if not 0 < deadline_left_ms < float("inf"):
        raise RequestError(f"Ebonyshore-Deadline-Ms: {text!r} is not a finite number above 0")
    return deadline_left_ms


def _decode_object(data: bytes) -> dict[str, object]:
    try:
        return decode(data, type=dict)
    except (DecodeError, ValidationError) as error:
        raise RequestError(str(error)) from error


def _json_response(value: object) -> Response:
    return Response(encode(value), 200, mimetype=JSON_TYPE)
