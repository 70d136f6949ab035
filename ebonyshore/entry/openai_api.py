"""Parsing, validation and encoding of requests and answers of the OpenAI-style API."""

from hashlib import sha256
from typing import Any

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.json import Decoder, decode, encode

from ebonyshore.frame.errors import EbonyshoreError, RequestError, TargetError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Usage
from ebonyshore.settings.settings_tree import SettingsTree

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
GENERATION_PATHS = (CHAT_PATH, COMPLETIONS_PATH)
# Fields, mostly labels of callers, that do not affect what the target generates.
LABEL_FIELDS = frozenset({"metadata", "prompt_cache_key", "safety_identifier", "stream", "user"})
DIGEST_CHARS = 32
ABORT_REASON = "abort"  # finish reason of an answer that the engine aborted


class GenerationBody(Struct):
    """The fields of a generation request that the entry evaluates."""

    model: str
    stream: bool = False
    messages: list[dict[str, Any]] | None = None
    prompt: str | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class GenerationRequest(Struct, frozen=True):
    """A parsed generation request.

    :param is_stream: whether the caller asked for a stream.
    :param target_body: JSON body for the target; always asks for a stream.
    :param content_digest: digest of path and body without label fields, for crash suspicion and
        idempotency.
    :param head_digest: digest of the model and the messages up to the first user message, or the
        prompt, for routing.
    :param output_tokens: maximum number of output tokens that the caller asks for; ``None`` leaves
        it to the target.
    """

    path: str
    model: str
    is_stream: bool
    target_body: bytes
    content_digest: str
    head_digest: str
    output_tokens: int | None = None


class _Delta(Struct):
    content: str | None = None
    tool_calls: Raw = Raw()
    function_call: Raw = Raw()
    refusal: str | None = None


class _Choice(Struct):
    index: int = 0
    finish_reason: str | None = None
    text: str | None = None
    delta: _Delta | None = None
    logprobs: Raw = Raw()

    def has_more_than_text(self) -> bool:
        """Return whether the choice carries anything besides text; resuming would lose it."""
        raws = [self.logprobs]
        if self.delta is not None:
            raws += [self.delta.tool_calls, self.delta.function_call]
            if self.delta.refusal:
                return True
        return any(bytes(raw) not in (b"", b"null") for raw in raws)


class StreamEvent(Struct):
    """One event of a target's answer stream."""

    id: str = ""
    model: str = ""
    created: int = 0
    choices: list[_Choice] = []
    usage: Usage | None = None
    error: Raw = Raw()

    def text(self) -> str:
        """Return the text of all choices in the event."""
        return "".join(
            choice.text or (choice.delta.content if choice.delta else "") or ""
            for choice in self.choices
        )


_EVENT_DECODER = Decoder(StreamEvent)


def parse_generation(path: str, data: bytes) -> GenerationRequest:
    """Parse the JSON body of a generation request.

    :param path: :data:`CHAT_PATH` or :data:`COMPLETIONS_PATH`.
    :raises RequestError: if the body is malformed or has no prompt.
    """
    try:
        body = decode(data, type=GenerationBody)
        fields = decode(data)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error
    if path == CHAT_PATH and not body.messages:
        raise RequestError("messages: missing or empty")
    if path == COMPLETIONS_PATH and body.prompt is None:
        raise RequestError("prompt: missing; must be a single string")
    fields.pop("stream_options", None)
    content = encode({key: fields[key] for key in sorted(fields) if key not in LABEL_FIELDS})
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    return GenerationRequest(
        path,
        body.model,
        body.stream,
        encode(fields),
        compute_digest(path.encode(), content),
        compute_digest(body.model.encode(), _encode_head(body)),
        body.max_completion_tokens if body.max_tokens is None else body.max_tokens,
    )


def check_generation(request: GenerationRequest, tree: SettingsTree) -> None:
    """Validate a request against the settings in force for its model.

    :raises RequestError: with code ``UNKNOWN_MODEL`` if no tier serves the model, or if the
        request asks for more output tokens than the settings allow.
    """
    if tree.tier_of(request.model) is None:
        raise RequestError(request.model, code=ResultCode.UNKNOWN_MODEL)
    limit = tree.for_model(request.model).max_output_tokens
    if request.output_tokens is not None and request.output_tokens > limit:
        raise RequestError(f"max_tokens: found {request.output_tokens}; at most {limit} allowed")


def compute_digest(*parts: bytes) -> str:
    """Return the SHA-256 digest of ``parts``, cut to 32 hexadecimal characters.

    Each part is prefixed with its length, so that different splits give different digests.
    """
    state = sha256()
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()[:DIGEST_CHARS]


def _encode_head(body: GenerationBody) -> bytes:
    if body.messages is None:
        return (body.prompt or "").encode()
    head = []
    for message in body.messages:
        head.append(message)
        if message.get("role") == "user":
            break
    return encode(head)


class AnswerAssembler:
    """Joins a target's stream events into one answer, for callers that did not ask for a stream."""

    __slots__ = ("_finish_reason", "_id", "_model", "_request", "_texts")

    def __init__(self, request: GenerationRequest) -> None:
        self._request = request
        self._texts: list[str] = []
        self._finish_reason = ""
        self._id = ""
        self._model = request.model

    def add(self, data: bytes) -> None:
        """Append one or more stream events, one per line.

        :raises TargetError: if an event is malformed.
        """
        for line in data.split(b"\n"):
            event = decode_event(line)
            self._id = self._id or event.id
            self._model = event.model or self._model
            self._texts.append(event.text())
            for choice in event.choices:
                self._finish_reason = choice.finish_reason or self._finish_reason

    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(self._texts)

    def answer(self, usage: Usage) -> bytes:
        """Return the JSON body of the complete answer.

        :raises TargetError: if the target sent no finish reason.
        """
        if not self._finish_reason:
            raise TargetError("stream ended without a finish reason")
        is_chat = self._request.path == CHAT_PATH
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        if is_chat:
            choice["message"] = {"role": "assistant", "content": self.text()}
        else:
            choice["text"] = self.text()
        return encode(
            {
                "id": self._id,
                "object": "chat.completion" if is_chat else "text_completion",
                "created": 0,
                "model": self._model,
                "choices": [choice],
                "usage": {
                    "prompt_tokens": usage.prompt_tokens,
                    "completion_tokens": usage.completion_tokens,
                    "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                },
            }
        )


def decode_event(data: bytes) -> StreamEvent:
    """Decode the JSON body of a stream event.

    :raises TargetError: if it is malformed.
    """
    try:
        return _EVENT_DECODER.decode(data)
    except DecodeError as error:
        raise TargetError(f"malformed stream event: {error}") from error


def error_body(error: EbonyshoreError) -> bytes:
    """Return the JSON body of an error answer, or of an error event in a stream."""
    return encode(
        {
            "error": {
                "message": str(error),
                "type": "invalid_request_error" if error.retry_after_ms is None else "retryable",
                "code": int(error.code),
                "execution": error.execution.value,
                "retry_after_ms": error.retry_after_ms,
            }
        }
    )
