"""Encodes a streamed answer as server-sent events."""

from collections.abc import Iterator

from ebonyshore.entry.openai_api import error_body
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Chunk, Finished

DONE_EVENT = b"data: [DONE]\n\n"


class SseStream:
    """Iterates over the encoded events; ends with ``[DONE]`` only if the answer is complete.

    Any other end is an error event. It is a class rather than a generator because closing a
    generator that was never started runs none of its code, and the request must be cancelled in
    that case, too.

    :param first: the first message, already taken from ``messages``.
    :param messages: the remaining messages; must have ``close``.
    """

    __slots__ = ("_first", "_is_ended", "_messages")

    def __init__(self, first: Chunk | Finished, messages: Iterator[Chunk | Finished]) -> None:
        self._first: Chunk | Finished | None = first
        self._messages = messages
        self._is_ended = False

    def __iter__(self) -> "SseStream":
        return self

    def __next__(self) -> bytes:
        if self._is_ended:
            raise StopIteration
        try:
            message = self._first or next(self._messages, None)
        except EbonyshoreError as error:
            return self._end_with_error(error)
        self._first = None
        if message is None:
            return self._end_with_error(EbonyshoreError(code=ResultCode.STREAM_BROKEN))
        if isinstance(message, Chunk):
            return b"data: " + message.data + b"\n\n"
        self._is_ended = True
        return DONE_EVENT

    def _end_with_error(self, error: EbonyshoreError) -> bytes:
        self._is_ended = True
        return b"data: " + error_body(error) + b"\n\n"

    def close(self) -> None:
        """Close the stream; cancels the request unless it has ended."""
        self._messages.close()
