"""Stand-in for a model server whose answers do not end."""

import asyncio
from enum import Enum, auto

from ebonyshore_standins.stream_target import StreamTarget

BYTES_PER_S = 125_000_000  # that one target sends in all its answers
BLOCK = b"x" * 65_536
HEAD_LINES = b"x: y\r\n" * 2_000
DECLARED_BYTES = 60 << 20


class EndlessAnswer(Enum):
    """What a faulty target sends in place of a stream."""

    DECLARED = auto()  # a body with a length that is large
    TOO_LONG = auto()  # a body with a length that nobody can want
    CHUNKED = auto()
    UNDELIMITED = auto()  # a body that ends with the connection, which does not end
    FAILURE = auto()  # the same with an error status
    HEAD = auto()
    EVENT = auto()  # a stream whose first event does not end
    EVENTS = auto()  # a stream of short events


STREAMS = (EndlessAnswer.EVENT, EndlessAnswer.EVENTS)
CHUNKED_ANSWERS = (EndlessAnswer.CHUNKED, *STREAMS)
BLOCK_EVENTS = 4_000  # of a stream of short events


class EndlessTarget(StreamTarget):
    """Answers requests with bytes that do not end until the caller closes, while it is faulty.

    :ivar answer: what it sends; ``None`` while it is healthy.
    """

    answer: EndlessAnswer | None = None

    async def _stream(
        self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        answer = self.answer
        if answer is None:
            await super()._stream(request_id, headers, writer)
            return
        writer.write(_head(answer, request_id, self.target_id))
        event_id = int(headers.get("last-event-id", 0))
        while self.answer is answer:
            block = _block(answer, event_id)
            event_id += BLOCK_EVENTS
            writer.write(block)
            await writer.drain()
            if writer.is_closing():
                break
            await asyncio.sleep(len(block) * max(1, self._active_requests) / BYTES_PER_S)
        writer.transport.abort()
        raise ConnectionResetError("the answer was given up")


def _head(answer: EndlessAnswer, request_id: str, target_id: str) -> bytes:
    status = 503 if answer is EndlessAnswer.FAILURE else 200
    content_type = "text/event-stream" if answer in STREAMS else "application/octet-stream"
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
        f"Attempt-Id: {request_id}\r\nServer-Signature: {target_id}\r\n"
    )
    if answer is EndlessAnswer.HEAD:
        return head.encode()
    if answer is EndlessAnswer.DECLARED:
        head += f"Content-Length: {DECLARED_BYTES}\r\n"
    elif answer is EndlessAnswer.TOO_LONG:
        head += f"Content-Length: {1 << 40}\r\n"
    elif answer in CHUNKED_ANSWERS:
        head += "Transfer-Encoding: chunked\r\n"
    return head.encode() + b"\r\n"


def _block(answer: EndlessAnswer, last_event_id: int) -> bytes:
    if answer is EndlessAnswer.HEAD:
        return HEAD_LINES
    block = BLOCK
    if answer is EndlessAnswer.EVENTS:
        numbers = range(last_event_id + 1, last_event_id + BLOCK_EVENTS + 1)
        block = b"".join(b"id: %d\ndata: x%d\n\n" % (number, number) for number in numbers)
    return b"%x\r\n%b\r\n" % (len(block), block) if answer in CHUNKED_ANSWERS else block
