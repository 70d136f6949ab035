"""A client's connection to a server: reads requests and passes them to the handler in order.

Each connection handles one request at a time; further pipelined requests wait, and meanwhile
nothing more is read. When a client closes its connection, the task that handles its request is
cancelled.
"""

from asyncio import (
    AbstractEventLoop,
    BufferedProtocol,
    CancelledError,
    Future,
    Task,
    TimerHandle,
    Transport,
    get_running_loop,
)
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.http.headers import Headers
from ebonyshore.http.memory_budget import MemoryHolder
from ebonyshore.http.messages import status_line
from ebonyshore.http.request_reader import (
    ReadStage,
    ReceivedRequest,
    RequestReader,
    RequestRejectedError,
)
from ebonyshore.http.responder import ClientDisconnectedError, Responder

if TYPE_CHECKING:
    from ebonyshore.http.server import HttpServer

MAX_PIPELINED_REQUESTS = 128  # a connection on which more requests wait is reset
MAX_WRITE_BUFFER_BYTES = 1 << 20
# Above this a stream waits for its client, so that its target is not read either.
STREAM_BUFFER_BYTES = 256 << 10
SMALL_BODY_BYTES = 16_384  # read also while the memory for connections is used up
REJECTION_RETRY_MS = 500.0  # of a request that there is no memory for
RETRY_LATER_STATUS = 503


class ServerConnection(BufferedProtocol):
    """A connection of a client.

    :param server: provides the limits and the handler, and holds the set of open connections.
    :ivar account: the client account that sent the last request; empty if it is not known.
    :ivar holder: what the handler keeps for the present request; ``None`` if nothing.
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._loop: AbstractEventLoop = get_running_loop()
        self._transport: Transport | None = None
        self._reader = RequestReader(lambda: server.limits, now_ms)
        self._task: Task[None] | None = None
        self._pending_requests: deque[ReceivedRequest] = deque()
        self._timer: TimerHandle | None = None
        self._timed_part = (0, ReadStage.NONE)  # of a request, for which the timer runs
        self._is_closing = False
        self._keeps_alive = True
        self._is_end_announced = False
        self._idle_since_ms = now_ms()
        self._request_bytes = 0  # of requests that were received and have not been answered
        self._counted_bytes = 0  # that the budget of the server knows of
        self._writable: Future[None] | None = None  # set while the client has too much to read
        self.account = ""
        self.holder: MemoryHolder | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the client: requests, their answers, and what it has not read."""
        handler_bytes = self.holder.held_bytes if self.holder is not None else 0
        return self._counted_bytes + handler_bytes + self.unread_bytes

    @property
    def incomplete_bytes(self) -> int:
        """Bytes that are held for a request that is being received."""
        return self._reader.held_bytes

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written and that the client has not read."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def check_memory(self) -> None:
        """End requests if the server holds too much."""
        self._server.check_memory()

    def has_much_room(self) -> bool:
        """Return whether the server holds so little that a request may hold more."""
        return self._server.memory.has_much_room(now_ms())

    def end_request(self) -> None:
        """End the present request, since the server holds too much.

        It is refused if it was not read to its end, and else answered as its handler decides. A
        client that does not read gets no answer.
        """
        if self._task is None:
            self._reject(RETRY_LATER_STATUS)
            return
        is_unread = self._writable is not None
        if is_unread or self.holder is None or not self.holder.give_up():
            self.abort()

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, since the server holds too much."""
        self._reject(RETRY_LATER_STATUS)

    def announce_end(self) -> bool:
        """Return whether the head of a response has to say that the connection is closed.

        The connection is then closed after this response, and otherwise it is not: its client may
        have sent the next request.
        """
        self._is_end_announced = not self._keeps_alive or self._server.is_draining
        return self._is_end_announced

    def idle_ms(self, at_ms: float) -> float:
        """Return for how long the connection has had no request, 0 if it has one."""
        return 0.0 if self.is_busy else at_ms - self._idle_since_ms

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, is queued or is being handled."""
        return self._has_complete_request or self._reader.stage is not ReadStage.NONE

    @property
    def _has_complete_request(self) -> bool:
        return self._task is not None or bool(self._pending_requests)

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=STREAM_BUFFER_BYTES)
        self._server.connections.add(self)
        self._server.waiting.add_new(self, now_ms())
        self._set_timer(self._server.limits.idle_timeout_ms, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.waiting.discard(self)
        self._cancel_timer()
        self._transport = None
        self.resume_writing()
        self._drop_requests()
        if self._task is not None:
            self._task.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._server.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = self._server.receive_buffer[:nbytes]
        self._receive(lambda: self._reader.feed(data))

    def _receive(self, read: Callable[[], list[ReceivedRequest]]) -> None:
        """Take the requests that are complete now, and keep to the limits.

        :param read: reads some bytes and returns these requests.
        """
        if self._is_closing:
            return
        try:
            received = read()
        except RequestRejectedError as error:
            if error.follows_request:
                self.abort()
            else:
                self._reject(error.status)
            return
        self._request_bytes += sum(request.held_bytes for request in received)
        self._pending_requests.extend(received)
        self._count_held()
        if len(self._pending_requests) > MAX_PIPELINED_REQUESTS:
            self.abort()
            return
        self._time_request()
        self._refuse_large()
        self._serve_next()
        if self._reader.held_bytes > SMALL_BODY_BYTES:
            self._server.make_room()

    def _refuse_large(self) -> None:
        """Refuse the next request if the server has no room for it."""
        if self._task is not None or not self._pending_requests:
            return
        is_large = self._pending_requests[0].held_bytes > SMALL_BODY_BYTES
        if is_large and self._server.is_memory_exhausted():
            self._drop_requests()
            self._reject(RETRY_LATER_STATUS)
            self._server.on_request_refused()

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()
        self._choose_reading()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self._choose_reading()

    async def drain(self) -> None:
        """Wait while the client has more than ``STREAM_BUFFER_BYTES`` to read.

        :raises ClientDisconnectedError: if the client disconnects.
        """
        if self._writable is not None:
            await self._writable
        if self._transport is None:
            raise ClientDisconnectedError("client has closed its connection")

    def write(self, data: bytes) -> None:
        """Send data without waiting until the client has read it.

        :raises ClientDisconnectedError: if the connection is closed, or more than
            ``MAX_WRITE_BUFFER_BYTES`` are waiting to be sent; the connection is then reset.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise ClientDisconnectedError("client has closed its connection")
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.abort()
            raise ClientDisconnectedError("client does not read its response")
        transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closing = True
        self._drop_requests()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after the data written so far is sent.

        It is reset if the client reads none of that for the idle timeout.
        """
        self._is_closing = True
        self._drop_requests()
        if self._transport is not None:
            self._transport.close()
            self._reset_if_unread(self.unread_bytes + 1)

    def _reset_if_unread(self, previous_bytes: int) -> None:
        if self._transport is None:
            return
        unread_bytes = self.unread_bytes
        if unread_bytes >= previous_bytes:
            self._transport.abort()
            return
        self._set_timer(
            self._server.limits.idle_timeout_ms, lambda: self._reset_if_unread(unread_bytes)
        )

    def _drop_requests(self) -> None:
        """Forget what was received and will not be handled."""
        self._reader.close()
        self._request_bytes -= sum(waiting.held_bytes for waiting in self._pending_requests)
        self._pending_requests.clear()
        self._count_held()

    def _count_held(self) -> None:
        held_bytes = self._reader.held_bytes + self._request_bytes
        self._server.memory.add_held(held_bytes - self._counted_bytes)
        self._counted_bytes = held_bytes

    def _time_request(self) -> None:
        """Limit the time for the part of a request that is being received."""
        stage = self._reader.stage
        part = (self._reader.begun_count, stage)
        if part == self._timed_part:
            return
        self._timed_part = part
        limits = self._server.limits
        if stage is ReadStage.HEAD:
            self._set_timer(limits.header_timeout_ms, self._reject_slow_headers)
        elif stage is ReadStage.BODY:
            self._set_timer(limits.idle_timeout_ms, self.close)
        else:
            self._cancel_timer()

    def _choose_reading(self) -> None:
        """Read only what can be handled soon."""
        if self._transport is None or self._transport.is_closing():
            return
        is_unread = self._writable is not None and self._task is None
        if self._pending_requests or self._reader.has_more or is_unread:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _serve_next(self) -> None:
        if self._task is None and self._pending_requests and not self._is_closing:
            self._server.waiting.discard(self)
            received = self._pending_requests.popleft()
            self._keeps_alive = received.keeps_alive
            self._task = self._loop.create_task(self._serve(received))
        self._choose_reading()

    async def _serve(self, received: ReceivedRequest) -> None:
        responder = Responder(self)
        try:
            await self._server.handler(received.request, responder)
        except ClientDisconnectedError:
            self.abort()
        except CancelledError:
            self.abort()
            raise
        except Exception as error:  # noqa: BLE001 - a failed request must not stop the server
            self._server.report_failure(received.request, error)
            self.abort()
        finally:
            self._task = None
            self._request_bytes -= received.held_bytes
            self._count_held()
            self.holder = None
            if not responder.is_ended:
                self.abort()
        self._finish_request()

    def _finish_request(self) -> None:
        if self._is_closing or self._transport is None:
            return
        if self._is_end_announced:
            self.close()
            return
        self._idle_since_ms = now_ms()
        if self._pending_requests:
            self._serve_next()
        elif self._reader.has_more:
            self._receive(self._reader.feed_rest)
        if self._is_closing or self._has_complete_request:
            return
        self._server.waiting.add_served(self, self._idle_since_ms)
        self._choose_reading()
        if self._reader.stage is ReadStage.NONE:
            self._set_timer(self._server.limits.idle_timeout_ms, self.close)

    def _reject_slow_headers(self) -> None:
        self._reject(408)

    def _reject(self, status: int) -> None:
        """Send an empty response and close the connection.

        While an earlier request is being handled the connection is reset instead, because the
        rejection would be taken for the response to that request.
        """
        if self._is_closing or self._has_complete_request:
            self.abort()
            return
        if self._transport is not None:
            headers = Headers([("Content-Length", "0"), ("Connection", "close")])
            if status == RETRY_LATER_STATUS:
                headers.add("Retry-After", f"{REJECTION_RETRY_MS / MS_PER_S:.2f}")
            self._transport.write(status_line(status) + headers.encode() + b"\r\n")
        self.close()

    def _set_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
