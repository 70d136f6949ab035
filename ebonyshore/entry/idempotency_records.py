"""Records of idempotency keys, and the answers kept in them."""

import zlib
from enum import Enum
from hashlib import sha256

from msgspec import Struct
from msgspec.msgpack import decode, encode

from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Finished, Usage

KEY_PREFIX = "once/"
PARTS_PREFIX = "once-parts/"
# A value holds 1 MB; base64 in the envelope makes four bytes of three.
PART_BYTES = 600_000
DIGEST_CHARS = 32


class IdempotencyState(Enum):
    """What is known of the key's request.

    ``claimed``: a try is running. ``done``: the answer is kept. ``released``: the last try gave up
    and another one may run. ``closed``: it may have run and never runs again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    CLOSED = "closed"


class StoredAnswer(Struct, frozen=True):
    """A complete answer.

    :param data: the chunks, packed and compressed; empty if they are in parts.
    :param part_count: number of part objects.
    """

    http_status: int
    content_type: str
    usage: Usage
    data: bytes = b""
    part_count: int = 0


class AnswerPart(Struct, frozen=True):
    """A part of a packed answer that is too large for one object."""

    data: bytes


class IdempotencyRecord(Struct, frozen=True):
    """The record of one key of one caller.

    :param claim_id: random id of the try that wrote the record last.
    :param epoch: grows with each try.
    :param deadline_left_ms: time that the try had left when it claimed the key.
    :param execution: of the tries that have ended.
    :param created_wall_ms: for the expiry, which is hours; nothing else depends on it.
    """

    content_digest: str
    state: IdempotencyState
    claim_id: str
    epoch: int
    deadline_left_ms: float
    is_repeatable: bool
    created_wall_ms: int
    answer: StoredAnswer | None = None
    code: ResultCode = ResultCode.OK
    execution: Execution = Execution.MAYBE_RUN


class CompleteAnswer(Struct, frozen=True):
    """An answer as it is handed to callers."""

    chunks: tuple[bytes, ...]
    finished: Finished

    def messages(self) -> list[Chunk | Finished]:
        """Return the messages of the answer."""
        request_id = self.finished.request_id
        chunks = [Chunk(request_id, number, data) for number, data in enumerate(self.chunks)]
        return [*chunks, self.finished]


def record_key(caller: str, key: str) -> str:
    """Return the object key of a caller's idempotency key."""
    return f"{KEY_PREFIX}{caller}/{sha256(key.encode()).hexdigest()[:DIGEST_CHARS]}"


def part_key(key: str, claim_id: str, number: int) -> str:
    """Return the object key of a part; each try has its own parts."""
    return f"{PARTS_PREFIX}{key.removeprefix(KEY_PREFIX)}/{claim_id}/{number:04}"


def pack_answer(answer: CompleteAnswer) -> list[bytes]:
    """Return the chunks as one or more parts of at most :data:`PART_BYTES`."""
    data = zlib.compress(encode(answer.chunks))
    return [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]


def unpack_answer(kept: StoredAnswer, parts: list[bytes]) -> CompleteAnswer:
    """Return the answer of its record and parts."""
    chunks = decode(zlib.decompress(b"".join(parts)), type=tuple[bytes, ...])
    finished = Finished("", len(chunks), kept.http_status, kept.content_type, kept.usage)
    return CompleteAnswer(chunks, finished)
