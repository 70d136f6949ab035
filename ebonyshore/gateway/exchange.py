"""One attempt of a request at one target: sends the request and relays the response."""

from asyncio import timeout
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from enum import Enum, auto
from typing import TypeVar

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.body_relay import BodyRelay
from ebonyshore.gateway.relay_state import RelayState
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.error_responses import maybe_executed_response
from ebonyshore.host.event_stream import StreamOrderError, is_event_stream
from ebonyshore.host.pause_limits import BodyLimit
from ebonyshore.host.response_reader import (
    MAX_REFUSAL_BYTES,
    AttemptFailedError,
    NotExecutedError,
    ResponseReader,
    time_left_ms,
)
from ebonyshore.host.routes import Route
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError, ResponseTooLongError
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import MemoryHolder
from ebonyshore.http.messages import Request, ResponseHead
from ebonyshore.http.responder import ClientDisconnectedError, Responder

CONNECT_TIMEOUT_MS = 300.0
REFUSAL_BODY_TIMEOUT_MS = 20.0  # the next target should not wait for it
MOVE_POLL_MS = 200.0  # while no other target can take a request over
MAX_IDLE_MS = 10_000.0  # of a pooled connection that is reused
REFUSAL_STATUSES = (408, 421, 429, 503)  # guarantee to a caller that its request did not run

Part = TypeVar("Part")


class RequestTooLargeError(ExchangeError):
    """The process needs the memory that the request takes."""


class ExchangeEnd(Enum):
    """How an attempt ended whose response was relayed to the caller."""

    PLAIN = auto()
    STREAMED = auto()
    FAILED = auto()  # the target answered with a server error (5xx)


class Exchange(MemoryHolder):
    """One attempt at one target.

    :param names: header names of the deployment.
    :param request: the caller's request.
    :param relay: shared by all attempts of the request.
    :param run: this attempt, for the attribution of crashes; names the target.
    :param checker: confirms the incarnation of the target before the request is sent; ``None`` if
        that is not necessary.
    :param confirm_end: returns whether a response that ended with its connection may be complete.
    :param on_first_event: called before the first event of the response is relayed.
    :param may_move: returns whether another target can take the request over; an attempt is given
        up because of a pause only then.
    """

    def __init__(
        self,
        names: WireNames,
        pool: ConnectionPool,
        request: Request,
        relay: RelayState,
        run: ContentRun,
        checker: TargetChecker | None,
        confirm_end: Callable[[ContentRun], Awaitable[bool]],
        on_first_event: Callable[[], None],
        may_move: Callable[[], bool],
    ) -> None:
        self._names = names
        self._pool = pool
        self._run = run
        self._checker = checker
        self._confirm_end = confirm_end
        self._on_first_event = on_first_event
        self._may_move = may_move
        self._target = run.target
        self._request = request
        self._relay = relay
        self._request_id = request.headers.get(names.request_id)
        self._deadline_ms = 0.0
        self._connection: ClientConnection | None = None
        self._body: BodyRelay | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of the response that were received and not written."""
        body_bytes = self._body.held_bytes if self._body is not None else 0
        received_bytes = self._connection.held_bytes if self._connection is not None else 0
        return received_bytes + body_bytes + self._relay.splitter.held_bytes

    def give_up(self) -> bool:
        if self._connection is None:
            return False
        if self.held_bytes >= len(self._request.body):
            error = ResponseTooLongError("the response takes too much memory")
        else:
            error = RequestTooLargeError("the request takes too much memory")
        self._connection.fail(error)
        return True

    async def run(
        self, responder: Responder, remaining_ms: float, route: Route, can_retry: bool
    ) -> ExchangeEnd:
        """Send the request to the target and relay the response to the caller.

        :param remaining_ms: time left until the deadline of the whole request.
        :param can_retry: whether the request may be sent to another target if this one fails. Only
            then are the time-outs for single events in effect.
        :raises NotExecutedError: if the target did not run the request.
        :raises AttemptFailedError: if the request may have run and the response was not relayed to
            its end.
        """
        self._deadline_ms = now_ms() + remaining_ms
        responder.set_holder(self)
        try:
            async with self._use_connection(route) as connection:
                self._connection = connection
                if self._checker is not None:
                    await self._checker.confirm_incarnation(connection, self._target)
                if self._target.is_leaving:
                    raise NotExecutedError("the target leaves")
                connection.send(self._encode_request(), self._request_id)
                self._run.is_sent = True
                reader = ResponseReader(
                    connection,
                    self._names,
                    self._target,
                    self._request_id,
                    self._deadline_ms,
                )
                return await self._relay_response(reader, responder, can_retry)
        except ResponseTooLongError as error:
            raise AttemptFailedError(str(error)) from error
        except RequestTooLargeError as error:
            raise AttemptFailedError(str(error), is_out_of_memory=True) from error
        except ExchangeError as error:
            if not error.was_sent:
                raise NotExecutedError(str(error), is_unreachable=True) from error
            raise AttemptFailedError(str(error), is_connection_lost=True) from error
        except StreamOrderError as error:
            raise AttemptFailedError(str(error)) from error
        finally:
            self._relay.splitter.discard_incomplete()
            responder.set_holder(None)

    def _use_connection(self, route: Route) -> AbstractAsyncContextManager[ClientConnection]:
        address = self._target.entry.address
        if self._target.target_id in self._relay.answering_targets:
            # A second copy of that answer has the same request id as the one that is expected.
            return self._pool.use_new(address, CONNECT_TIMEOUT_MS)
        must_be_open = not route.is_repeatable
        return self._pool.use(
            address, CONNECT_TIMEOUT_MS, MAX_IDLE_MS, must_be_open, self._request_id
        )

    def _encode_request(self) -> bytes:
        names = self._names
        request = self._request
        replaced_headers = [
            names.remaining_ms.lower(),
            names.expected_instance.lower(),
            "content-length",
        ]
        if self._relay.has_events:
            replaced_headers.append(names.last_event_id.lower())
        headers = request.headers.end_to_end().without(replaced_headers)
        remaining_ms = max(1, int(self._deadline_ms - now_ms()))
        headers.add(names.remaining_ms, str(remaining_ms))
        headers.add(names.expected_instance, self._target.target_id)
        if self._relay.has_events:
            headers.add(names.last_event_id, str(self._relay.last_id))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.add("Content-Length", str(len(request.body)))
        request_line = f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")
        return request_line + headers.encode() + b"\r\n" + request.body

    async def _relay_response(
        self, reader: ResponseReader, responder: Responder, can_retry: bool
    ) -> ExchangeEnd:
        self._relay.pauses.begin_attempt()
        head = await self._wait_for(reader.read_head, self._pause_limit_ms(can_retry))
        self._relay.answering_targets.add(self._target.target_id)
        self._run.record_part(now_ms())
        self._target.mark_responsive()
        # 421 (misdirected request): the target is not the instance that the request names.
        if head.headers.get(self._names.not_executed) is not None or head.status == 421:
            await reader.skip_body(REFUSAL_BODY_TIMEOUT_MS)
            raise NotExecutedError(f"status {head.status}")
        if is_event_stream(head):
            if self._relay.last_id is not None and head.headers.get(self._names.signature) is None:
                raise AttemptFailedError("the rest of the stream is not signed")
            await self._relay_stream(reader, head, responder, can_retry)
            return ExchangeEnd.STREAMED
        await self._relay_plain(reader, head, responder, can_retry)
        return ExchangeEnd.FAILED if head.status >= 500 else ExchangeEnd.PLAIN

    async def _relay_stream(
        self,
        reader: ResponseReader,
        head: ResponseHead,
        responder: Responder,
        can_retry: bool,
    ) -> None:
        splitter = self._relay.splitter
        limit_ms = self._pause_limit_ms(can_retry)
        while not isinstance(item := await self._wait_for(reader.next_part, limit_ms), BodyEnd):
            events = splitter.feed(item)
            if not events:
                responder.check_memory()
                continue
            if not responder.is_started:
                responder.start_stream(head.status, _relayed_headers(head))
            is_first = not self._relay.has_events
            self._relay.record_events(now_ms(), self._target.entry.group)
            if is_first:
                self._on_first_event()
            self._run.record_event(now_ms(), len(events))
            responder.write(b"".join(event.raw for event in events))
            splitter.check()
            await self._drain(responder)
            limit_ms = self._pause_limit_ms(can_retry)
        if splitter.has_incomplete_event:
            raise ExchangeError("event stream ended with an incomplete event")
        await self._check_end(head)
        if not responder.is_started:
            responder.start_stream(head.status, _relayed_headers(head))
        responder.end_stream()

    def _pause_limit_ms(self, can_retry: bool) -> float | None:
        """Return the time until which the next event has to arrive; ``None`` for the deadline."""
        return now_ms() + self._relay.pauses.limit_ms if can_retry else None

    async def _wait_for(
        self, read: Callable[[float | None], Awaitable[Part]], limit_ms: float | None
    ) -> Part:
        """Read a part of the response, and wait on for it while no other target is better.

        :param read: called with the longest wait; raises as :meth:`ResponseReader.next_part`.
        :param limit_ms: time at which the attempt is given up if the request can be moved.
        """
        while True:
            try:
                return await read(time_left_ms(limit_ms))
            except AttemptFailedError as error:
                if not error.is_idle_timeout:
                    raise
                if self._may_move():
                    self._relay.pauses.record_move()
                    raise
            limit_ms = now_ms() + MOVE_POLL_MS

    async def _relay_plain(
        self,
        reader: ResponseReader,
        head: ResponseHead,
        responder: Responder,
        can_retry: bool,
    ) -> None:
        if (error := _rejection(head, responder, can_retry)) is not None:
            await self._read_rejected_body(reader, can_retry)
            await self._check_end(head)
            raise error
        reader.check_size(reader.declared_bytes or 0)
        body = self._body = BodyRelay(
            head.status, _relayed_headers(head), reader.declared_bytes, responder
        )
        limit = BodyLimit(self._relay.pauses.limit_ms, now_ms())
        received_bytes = 0
        while not isinstance(part := await self._read_body_part(reader, limit, can_retry), BodyEnd):
            received_bytes += len(part)
            reader.check_size(received_bytes)
            responder.check_memory()
            if body.add(part):
                self._relay.is_body_begun = True
                await self._drain(responder)
        await self._check_end(head)
        body.end()

    async def _drain(self, responder: Responder) -> None:
        """Wait until the caller has read enough; meanwhile the target is not read either.

        :raises ClientDisconnectedError: if it does not until the deadline, or disconnects.
        """
        try:
            async with timeout(max(0.0, self._deadline_ms - now_ms()) / MS_PER_S):
                await responder.drain()
        except TimeoutError as error:
            raise ClientDisconnectedError("client does not read its response") from error

    async def _read_body_part(
        self, reader: ResponseReader, limit: BodyLimit, can_retry: bool
    ) -> ResponseHead | bytes | BodyEnd:
        may_move = can_retry and not self._relay.is_body_begun
        part = await self._wait_for(reader.next_part, limit.limit_ms if may_move else None)
        if isinstance(part, bytes):
            limit.record_part(len(part), now_ms())
        return part

    async def _read_rejected_body(self, reader: ResponseReader, can_retry: bool) -> None:
        """Read a body that is not passed on, so that the connection can be reused.

        Of a long body only the beginning is read.

        :raises ExchangeError: if the response is incomplete; the target may have crashed.
        """
        limit = BodyLimit(self._relay.pauses.limit_ms, now_ms())
        try:
            await reader.read_body(
                lambda: self._read_body_part(reader, limit, can_retry), MAX_REFUSAL_BYTES
            )
        except ResponseTooLongError:
            return

    async def _check_end(self, head: ResponseHead) -> None:
        """Check that a response is complete that has neither a length nor chunks."""
        if not head.is_self_delimited and not await self._confirm_end(self._run):
            raise ExchangeError("the target ended with its response")


def _rejection(
    head: ResponseHead, responder: Responder, can_retry: bool
) -> AttemptFailedError | None:
    """Return the error of a response that may not reach the caller; ``None`` if it may."""
    if responder.is_started:
        return AttemptFailedError(f"status {head.status} in place of the rest of the stream")
    if head.status >= 500 and can_retry:
        return AttemptFailedError(f"status {head.status}")
    if head.status in REFUSAL_STATUSES:
        # Without the "not executed" header the target does not guarantee that the request did not
        # run.
        response = maybe_executed_response(ResultCode.TARGET_ERROR)
        return AttemptFailedError(f"status {head.status}", response=response)
    return None


def _relayed_headers(head: ResponseHead) -> Headers:
    return head.headers.end_to_end().without(("content-length",))
