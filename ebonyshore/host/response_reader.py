"""Reads the answer to one request from a connection, with bounds on its time and its silence."""

from asyncio import timeout

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.error_responses import ErrorResponse
from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError
from ebonyshore.http.messages import ResponseHead

MAX_BODY_BYTES = 64 << 20


class NotExecutedError(Exception):
    """The target did not run the request and will not.

    :param is_unreachable: whether it took no connection.
    """

    def __init__(self, detail: str, is_unreachable: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.is_unreachable = is_unreachable


class AttemptFailedError(Exception):
    """The target may have run the request, and no whole answer came.

    :param is_silence: whether the target said nothing for longer than it should.
    :param is_timeout: whether the request's own time was up.
    :param answer: what to tell the caller if nothing else is tried.
    """

    def __init__(
        self,
        detail: str,
        is_idle_timeout: bool = False,
        is_deadline_exceeded: bool = False,
        response: ErrorResponse | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.is_idle_timeout = is_idle_timeout
        self.is_deadline_exceeded = is_deadline_exceeded
        self.response = response


class ResponseReader:
    """Reads one answer.

    :param request_id_name: header in which targets echo the id of the request.
    :param request_id: of the request that was sent.
    :param deadline_ms: monotonic time at which the request's time is up.
    """

    __slots__ = ("_connection", "_deadline_ms", "_request_id", "_request_id_name")

    def __init__(
        self,
        connection: ClientConnection,
        request_id_name: str,
        request_id: str | None,
        deadline_ms: float,
    ) -> None:
        self._connection = connection
        self._request_id_name = request_id_name
        self._request_id = request_id
        self._deadline_ms = deadline_ms

    async def read_head(self, idle_timeout_ms: float | None) -> ResponseHead:
        """Return the head of the answer to this request; other answers are read and dropped.

        :raises ExchangeError: if no such answer came.
        """
        while True:
            head = await self.next_part(idle_timeout_ms)
            if not isinstance(head, ResponseHead):
                raise ExchangeError("answer without a head")
            if head.headers.get(self._request_id_name) == self._request_id:
                return head
            if not head.has_end:
                raise ExchangeError("answer to another request")
            await self.read_body(idle_timeout_ms)

    async def read_body(
        self, idle_timeout_ms: float | None, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Return the rest of the answer's body.

        :raises ExchangeError: if it is longer than ``max_bytes`` or does not come whole.
        """
        parts: list[bytes] = []
        size = 0
        while not isinstance(item := await self.next_part(idle_timeout_ms), BodyEnd):
            parts.append(item)
            size += len(item)
            if size > max_bytes:
                raise ExchangeError("the answer is too long")
        return b"".join(parts)

    async def next_part(self, idle_timeout_ms: float | None) -> ResponseHead | bytes | BodyEnd:
        """Return the next part of the answer.

        :param silence_ms: longest silence; ``None`` to wait until the request's time is up.
        :raises AttemptBrokenError: if the request has no time left, or the silence is too long.
        """
        began_ms = now_ms()
        is_idle_limit = (
            idle_timeout_ms is not None and began_ms + idle_timeout_ms < self._deadline_ms
        )
        limit_ms = idle_timeout_ms if is_idle_limit else self._deadline_ms - began_ms
        try:
            async with timeout(max(0.0, limit_ms) / MS_PER_S):
                return await self._connection.next_item()
        except TimeoutError as error:
            detail = (
                f"no part of the answer for {limit_ms:.0f} ms" if is_idle_limit else "time is up"
            )
            raise AttemptFailedError(
                detail, is_idle_timeout=is_idle_limit, is_deadline_exceeded=not is_idle_limit
            ) from error
