"""Stored records of idempotency keys and the answers in them."""

import zlib
from enum import Enum
from hashlib import sha256

from msgspec import Struct
from msgspec.msgpack import decode, encode

from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import Chunk, Finished, Usage

KEY_PREFIX = "once/"
PARTS_PREFIX = "once-parts/"
# A stored object holds at most 1 MB, and base64 in its envelope turns three bytes into four.
PART_BYTES = 600_000
KEY_DIGEST_CHARS = 32


class IdempotencyState(Enum):
    """State of the request under a key.

    ``claimed``: a submission is running. ``done``: the answer is stored. ``released``: the last
    submission ended without an answer and another one may run. ``closed``: the request may have run
    and must not run again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    CLOSED = "closed"


class StoredAnswer(Struct, frozen=True):
    """A complete answer as stored in a record.

    :param data: the chunks, encoded and compressed; empty if they are stored in parts.
    :param part_count: number of part objects; 0 if ``data`` holds the answer.
    """

    http_status: int
    content_type: str
    usage: Usage
    data: bytes = b""
    part_count: int = 0


class AnswerPart(Struct, frozen=True):
    """A part of an encoded answer that is too large for one object."""

    data: bytes


class IdempotencyRecord(Struct, frozen=True):
    """The record of one idempotency key of one caller.

    :param content_digest: digest of the request's content, which must not change under one key.
    :param claim_id: random id of the latest claim.
    :param epoch: number of claims so far.
    :param deadline_left_ms: time that the request had left when it claimed the key.
    :param is_repeatable: whether the request may run more than once.
    :param created_wall_ms: wall time of the claim. Used only for the expiry, which takes hours.
    :param answer: the stored answer, in the state ``done``.
    :param code: result code of the last failure.
    :param execution: whether the request ran in the submissions that have ended.
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
    """A complete answer as sent to callers."""

    chunks: tuple[bytes, ...]
    finished: Finished

    def messages(self) -> list[Chunk | Finished]:
        """Return the answer as the messages of an agent: numbered chunks and ``Finished``."""
        request_id = self.finished.request_id
        chunks = [Chunk(request_id, number, data) for number, data in enumerate(self.chunks)]
        return [*chunks, self.finished]


def record_key(caller: str, key: str) -> str:
    """Return the object key of the record of a caller's idempotency key."""
    return f"{KEY_PREFIX}{caller}/{sha256(key.encode()).hexdigest()[:KEY_DIGEST_CHARS]}"


def part_key(key: str, claim_id: str, number: int) -> str:
    """Return the object key of a part of an answer; each claim has its own parts.

    :param key: object key of the record.
    :param number: index of the part, from 0.
    """
    return f"{PARTS_PREFIX}{key.removeprefix(KEY_PREFIX)}/{claim_id}/{number:04}"


def pack_answer(answer: CompleteAnswer) -> list[bytes]:
    """Encode and compress the chunks into one or more parts of at most :data:`PART_BYTES`."""
    data = zlib.compress(encode(answer.chunks))
    return [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]


def unpack_answer(stored: StoredAnswer, parts: list[bytes]) -> CompleteAnswer:
    """Decode an answer.

    :param stored: the answer as described in the record.
    :param parts: its parts in order; ``[stored.data]`` if it has no part objects.
    """
    chunks = decode(zlib.decompress(b"".join(parts)), type=tuple[bytes, ...])
    finished = Finished("", len(chunks), stored.http_status, stored.content_type, stored.usage)
    return CompleteAnswer(chunks, finished)
