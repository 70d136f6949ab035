"""Reads the response to one request from a connection, with an idle time-out and a deadline."""

from asyncio import sleep, timeout
from collections.abc import Awaitable, Callable

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.error_responses import ErrorResponse
from ebonyshore.host.target import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import (
    BodyEnd,
    ClientConnection,
    ExchangeError,
    ResponseTooLongError,
)
from ebonyshore.http.messages import ResponseHead
from ebonyshore.http.numbers import parse_decimal, parse_non_negative

MAX_BODY_BYTES = 64 << 20  # if the head declares the length
MAX_UNDECLARED_BODY_BYTES = 4 << 20  # such a body may have no end
LEAVING_VALUE = "1"  # of the header with which a target says that it leaves
MAX_STALE_RESPONSES = 8  # responses to earlier requests that are skipped
MAX_REFUSAL_BYTES = 65_536
PASSES_TO_RECEIVE = 2  # of the event loop, until bytes that have arrived are parsed
REFUSAL_TIMEOUT_MS = 200.0  # for the body of a response that only its head matters of


class NotExecutedError(Exception):
    """The target did not run the request and will not run it.

    :param detail: what happened, for the log.
    :param is_unreachable: whether the request was not sent for lack of a connection.
    """

    def __init__(self, detail: str, is_unreachable: bool = False) -> None:
        super().__init__(detail)
        self.detail = detail
        self.is_unreachable = is_unreachable


class AttemptFailedError(Exception):
    """The target may have run the request, and there is no complete response for the caller.

    :param detail: what happened, for the log.
    :param is_idle_timeout: whether the target sent nothing for longer than the idle time-out.
    :param is_deadline_exceeded: whether the request's deadline passed.
    :param is_connection_lost: whether the response broke off or was not valid.
    :param is_out_of_memory: whether the process needs the memory that the request takes; the target
        has done nothing wrong.
    :param response: response to the caller if the request is not retried; ``None`` for the
        default one.
    """

    def __init__(
        self,
        detail: str,
        is_idle_timeout: bool = False,
        is_deadline_exceeded: bool = False,
        is_connection_lost: bool = False,
        is_out_of_memory: bool = False,
        response: ErrorResponse | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.is_idle_timeout = is_idle_timeout
        self.is_deadline_exceeded = is_deadline_exceeded
        self.is_connection_lost = is_connection_lost
        self.is_out_of_memory = is_out_of_memory
        self.response = response

    @property
    def may_be_crash(self) -> bool:
        """Whether the target may have crashed; ``False`` if it sent a complete response."""
        return self.is_connection_lost or self.is_idle_timeout or self.is_deadline_exceeded


class ResponseReader:
    """Reads one response.

    :param connection: the connection on which the request was sent.
    :param names: header names of the deployment.
    :param target: the target; told if a response says that it leaves.
    :param request_id: id of the request that was sent; ``None`` if it has none.
    :param deadline_ms: deadline of the request on the monotonic clock.
    """

    __slots__ = (
        "_connection",
        "_deadline_ms",
        "_declared_bytes",
        "_names",
        "_request_id",
        "_target",
    )

    def __init__(
        self,
        connection: ClientConnection,
        names: WireNames,
        target: Target,
        request_id: str | None,
        deadline_ms: float,
    ) -> None:
        self._connection = connection
        self._names = names
        self._target = target
        self._request_id = request_id
        self._deadline_ms = deadline_ms
        self._declared_bytes: int | None = None  # length of the body that the head declares

    async def read_head(self, idle_timeout_ms: float | None) -> ResponseHead:
        """Return the head of the response to this request; other responses are read and dropped.

        :param idle_timeout_ms: longest wait for the head; ``None`` to wait until the deadline.
        :raises ExchangeError: if there is no such response.
        :raises AttemptFailedError: as :meth:`next_part`.
        """
        limit_ms = None if idle_timeout_ms is None else now_ms() + idle_timeout_ms
        for _ in range(MAX_STALE_RESPONSES):
            head = await self.next_part(time_left_ms(limit_ms))
            if not isinstance(head, ResponseHead):
                raise ExchangeError("response has no head")
            if self._is_response(head):
                self._note_limit(head)
                self._declared_bytes = parse_decimal(head.headers.get("content-length"))
                return head
            if not head.is_self_delimited:
                raise ExchangeError("received the response to another request")
            await self._drop_body(limit_ms)
        raise ExchangeError(f"received {MAX_STALE_RESPONSES} responses to other requests")

    @property
    def declared_bytes(self) -> int | None:
        """Length of the body that the head declares; ``None`` if it declares none."""
        return self._declared_bytes

    @property
    def max_body_bytes(self) -> int:
        """Longest body that is read to its end; one without a declared length may have no end."""
        return MAX_UNDECLARED_BODY_BYTES if self._declared_bytes is None else MAX_BODY_BYTES

    def check_size(self, size_bytes: int, max_bytes: int | None = None) -> None:
        """Check that a body of this size is read.

        :param max_bytes: longest body; ``None`` for :attr:`max_body_bytes`.
        :raises ResponseTooLongError: if it is not.
        """
        max_bytes = self.max_body_bytes if max_bytes is None else max_bytes
        if size_bytes > max_bytes:
            raise ResponseTooLongError(f"response body is longer than {max_bytes} bytes")

    async def read_body(
        self,
        read_part: Callable[[], Awaitable[ResponseHead | bytes | BodyEnd]],
        max_bytes: int | None = None,
    ) -> bytes:
        """Return the rest of the response's body.

        :param read_part: returns the next part, see :meth:`next_part`.
        :param max_bytes: longest body; ``None`` for :attr:`max_body_bytes`.
        :raises ResponseTooLongError: if the rest is longer.
        :raises ExchangeError: if it is incomplete.
        :raises AttemptFailedError: as :meth:`next_part`.
        """
        parts: list[bytes] = []
        size = 0
        while not isinstance(item := await read_part(), BodyEnd):
            parts.append(item)
            size += len(item)
            self.check_size(size, max_bytes)
        return b"".join(parts)

    async def _drop_body(self, limit_ms: float | None) -> None:
        """Read the body of a response to another request, and keep nothing of it."""
        size = 0
        while not isinstance(part := await self.next_part(time_left_ms(limit_ms)), BodyEnd):
            size += len(part)
            self.check_size(size)

    async def skip_body(self, timeout_ms: float = REFUSAL_TIMEOUT_MS) -> None:
        """Read the body of a response whose head says all, so that the connection can be reused.

        A body that is long or slow is left unread; the connection is then not reused.
        """
        limit_ms = now_ms() + timeout_ms
        size = 0
        try:
            while not isinstance(part := await self.next_part(time_left_ms(limit_ms)), BodyEnd):
                size += len(part)
                if size > MAX_REFUSAL_BYTES:
                    return
        except (AttemptFailedError, ExchangeError):
            return  # nothing in the body matters

    async def next_part(self, idle_timeout_ms: float | None) -> ResponseHead | bytes | BodyEnd:
        """Return the next part of the response.

        :param idle_timeout_ms: longest wait for the part; ``None`` to wait until the deadline.
        :raises ExchangeError: if the response ended early or is not HTTP.
        :raises AttemptFailedError: if the idle time-out or the deadline of the request passed.
        """
        began_ms = now_ms()
        is_idle_limit = (
            idle_timeout_ms is not None and began_ms + idle_timeout_ms < self._deadline_ms
        )
        timeout_ms = idle_timeout_ms if is_idle_limit else self._deadline_ms - began_ms
        try:
            part = await self._wait_for_part(timeout_ms)
        except TimeoutError as error:
            detail = (
                f"received nothing for {timeout_ms:.0f} ms"
                if is_idle_limit
                else "deadline of the request passed"
            )
            raise AttemptFailedError(
                detail, is_idle_timeout=is_idle_limit, is_deadline_exceeded=not is_idle_limit
            ) from error
        if isinstance(part, ResponseHead):
            self._note_leaving(part)
        return part

    async def _wait_for_part(self, timeout_ms: float) -> ResponseHead | bytes | BodyEnd:
        """Return the next part of the response.

        :raises ExchangeError: if the response ended early or is not HTTP.
        :raises TimeoutError: if the part does not arrive in time. Parts that arrived before the
            call do not extend the time: without any time left they are not read.
        """
        if timeout_ms <= 0.0:
            raise TimeoutError
        try:
            async with timeout(timeout_ms / MS_PER_S):
                return await self._connection.next_part()
        except TimeoutError:
            # After a suspension of this process the timer may come before bytes that have waited.
            for _ in range(PASSES_TO_RECEIVE):
                await sleep(0)
            if not self._connection.has_parts:
                raise
            return await self._connection.next_part()

    def _is_response(self, head: ResponseHead) -> bool:
        """Return whether a response is the one to this request, by the id that it names.

        A refusal without an id counts if the connection has carried nothing else.
        """
        name = self._names.request_id.lower()
        named_ids = {value for key, value in head.headers if key.lower() == name}
        if not named_ids and self._connection.is_first_exchange and self._is_refusal(head):
            # The next request here could not tell a copy of this response from its own refusal.
            self._connection.prevent_reuse()
            return True
        return named_ids == ({self._request_id} if self._request_id is not None else set())

    def _is_refusal(self, head: ResponseHead) -> bool:
        return head.headers.get(self._names.not_executed) is not None

    def _note_leaving(self, head: ResponseHead) -> None:
        if (head.headers.get(self._names.leaving) or "").strip() == LEAVING_VALUE:
            self._target.announce_leaving("answer", head.headers.get(self._names.instance_id))

    def _note_limit(self, head: ResponseHead) -> None:
        """Note the rate limit of the target; a response to an earlier request may be outdated."""
        if head.headers.get(self._names.instance_id) not in (None, self._target.target_id):
            return
        limit = head.headers.get(self._names.rate_limit)
        rate_per_s = parse_non_negative(limit)
        if rate_per_s is not None:
            self._target.record_limit(rate_per_s)
        elif limit is None and self._request_id is not None:
            # Only responses to requests have to name the limit as long as it holds.
            self._target.record_limit(None)


def time_left_ms(limit_ms: float | None) -> float | None:
    """Return the time until ``limit_ms`` on the monotonic clock, 0 at least; ``None`` for none."""
    return None if limit_ms is None else max(0.0, limit_ms - now_ms())
