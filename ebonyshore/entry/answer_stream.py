"""Joins the event streams of one or more attempts into one continuous answer."""

from typing import Any

from msgspec import DecodeError
from msgspec.json import decode, encode

from ebonyshore.entry.openai_api import ABORT_REASON, StreamEvent, decode_event
from ebonyshore.frame.errors import TargetError
from ebonyshore.link.messages import Finished, Usage

MAX_ERROR_BYTES = 500  # of a target's error event, quoted in the error message


class AnswerStream:
    """Tracks the events sent to the caller, so that another target can continue the answer.

    Events of later attempts get the id and creation time of the first attempt, so that the caller
    sees a single stream. ``event_count`` is the number of events so far.
    """

    __slots__ = (
        "_created",
        "_finish_reason",
        "_id",
        "_is_text_only",
        "_texts",
        "_usage",
        "event_count",
    )

    def __init__(self) -> None:
        self.event_count = 0
        self._id = ""
        self._created = 0
        self._texts: list[str] = []
        self._finish_reason = ""
        self._usage: Usage | None = None
        self._is_text_only = True

    @property
    def can_resume(self) -> bool:
        """Whether another target can continue the answer from its text alone."""
        return self._is_text_only and not self._finish_reason

    @property
    def has_finish_reason(self) -> bool:
        """Whether the target has sent a finish reason."""
        return bool(self._finish_reason)

    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(self._texts)

    def add_event(self, data: bytes) -> bytes:
        """Append an event of the current attempt.

        :param data: JSON body of the event as the target sent it.
        :return: JSON body of the event to send to the caller.
        :raises TargetError: if the event is malformed or reports an error, or if the engine
            aborted the stream.
        """
        event = decode_event(data)
        if bytes(event.error) not in (b"", b"null"):
            raise TargetError(bytes(event.error)[:MAX_ERROR_BYTES].decode(errors="replace"))
        self._record(event)
        self.event_count += 1
        if event.id == self._id:
            return data
        return self._rewrite_identity(data)

    def infer_finished(self, request_id: str) -> Finished | None:
        """Return the final message of an answer for which the agent sent none.

        :return: ``None`` unless all events of a text-only answer, including its usage, have
            arrived.
        """
        if not self._finish_reason or not self._is_text_only or self._usage is None:
            return None
        return Finished(request_id, self.event_count, usage=self._usage)

    def _record(self, event: StreamEvent) -> None:
        if not self.event_count:
            self._id = event.id
            self._created = event.created
        for choice in event.choices:
            if choice.finish_reason == ABORT_REASON:
                raise TargetError("engine aborted the stream")
            self._finish_reason = choice.finish_reason or self._finish_reason
            if choice.index or choice.has_more_than_text():
                self._is_text_only = False
        self._texts.append(event.text())
        if event.usage is not None:
            self._usage = Usage(event.usage.prompt_tokens, event.usage.completion_tokens)

    def _rewrite_identity(self, data: bytes) -> bytes:
        try:
            fields: dict[str, Any] = decode(data)
        except DecodeError as error:
            raise TargetError(f"malformed stream event: {error}") from error
        fields["id"] = self._id
        fields["created"] = self._created
        return encode(fields)
