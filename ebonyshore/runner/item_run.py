"""Runs one batch item at one target and collects the events of its response."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from enum import Enum, auto

from msgspec import Struct

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.event_stream import EventSplitter, StreamOrderError, is_event_stream
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.host.pause_limits import PauseLimits
from ebonyshore.host.response_reader import (
    AttemptFailedError,
    NotExecutedError,
    ResponseReader,
    time_left_ms,
)
from ebonyshore.host.target import Target
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import BodyEnd, ClientConnection, ExchangeError
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import ResponseHead
from ebonyshore.runner.item_headers import (
    account_headers,
    escape_text,
    header_id,
    item_headers,
)
from ebonyshore.runner.job_progress import ITEM_METHOD, Item
from ebonyshore.runner.output_budget import OutputBudget, OutputHolder

CONNECT_TIMEOUT_MS = 300.0
FIRST_EVENT_TIMEOUT_MS = 3_000.0
EVENT_TIMEOUT_MS = 1_200.0  # at least
MAX_TIMEOUT_DOUBLINGS = 1
RUN_TIMEOUT_MS = 30_000.0
MAX_CONNECTION_IDLE_MS = 10_000.0
GIVEN_UP_DETAIL = "the responses take too much memory"
MAX_ITEM_BYTES = 4_000_000  # of the output in JSON, which is kept in memory until it is read


class RunOutcome(Enum):
    """How a run of an item ended."""

    COMPLETE = auto()
    REJECTED = auto()  # status 422: the item can never succeed and is not retried
    FAILED = auto()  # status 500: the target ran the item and reported a failure
    NOT_RUN = auto()  # the target did not execute the item
    UNREACHABLE = auto()  # nothing was sent, as there was no connection to the target
    SILENT = auto()  # the next part or the end of the response did not arrive in time
    BROKEN = auto()  # the response was incomplete or invalid, or had another error status
    GIVEN_UP = auto()  # the process needs the memory; the target has done nothing wrong


class RunResult(Struct, frozen=True):
    """The result of one run.

    :param outcome: how the run ended.
    :param detail: reason, for the log; empty if the run is complete.
    :param may_be_crash: whether the target may have crashed.
    """

    outcome: RunOutcome
    detail: str = ""
    may_be_crash: bool = False


class ItemRun(OutputHolder):
    """One run of an item.

    Received events are kept in the item, so that the next run resumes after the last of them.

    :param names: header names of the deployment.
    :param pool: connections to targets.
    :param item: progress of the item; updated with each event.
    :param record: the item as it was submitted.
    :param body: body of the request to the target.
    :param host: host name of the job's route, sent as the ``Host`` header.
    :param confirm_end: returns whether a response that ended with its connection may be complete.
    :param checker: confirms the incarnation of the target before the request is sent; ``None`` if
        that is not necessary.
    :param account: the account that the target is told, empty for none; ``None`` if there are no
        accounts and the item's headers are sent as they are.
    :param budget: bounds what all runs hold of their responses; ``None`` if nothing does.
    """

    def __init__(
        self,
        names: WireNames,
        pool: ConnectionPool,
        item: Item,
        record: ItemRecord,
        body: bytes,
        host: str,
        confirm_end: Callable[[ContentRun], Awaitable[bool]],
        checker: TargetChecker | None = None,
        account: str | None = None,
        budget: OutputBudget | None = None,
    ) -> None:
        self._names = names
        self._pool = pool
        self._item = item
        self._request_id = header_id(item.item_id)
        self._record = record
        self._body = body
        self._host = host
        self._confirm_end = confirm_end
        self._checker = checker
        self._account = account
        self._budget = budget
        self._connection_in_use: ClientConnection | None = None
        self._is_given_up = False
        moves = min(MAX_TIMEOUT_DOUBLINGS, item.consecutive_broken_runs)
        self._pauses = PauseLimits(FIRST_EVENT_TIMEOUT_MS, EVENT_TIMEOUT_MS, moves=moves)

    def give_up(self) -> None:
        self._is_given_up = True
        self._item.discard_events()
        if self._connection_in_use is not None:
            self._connection_in_use.fail(ExchangeError(GIVEN_UP_DETAIL))

    async def run(self, content_run: ContentRun) -> RunResult:
        """Run the item at a target until the response ends or an error occurs.

        Cancelling the task stops the run at once.

        :param content_run: names the target; told of the response, for the attribution of crashes.
        :return: the outcome; errors of the connection and of the response are outcomes, too.
        """
        if self._budget is None:
            return await self._run(content_run)
        self._budget.begin(self, self._item.held_bytes)
        try:
            result = await self._run(content_run)
        finally:
            self._budget.end(self)
            self._connection_in_use = None
        if self._is_given_up:
            return RunResult(RunOutcome.GIVEN_UP, GIVEN_UP_DETAIL)
        return result

    async def _run(self, content_run: ContentRun) -> RunResult:
        target = content_run.target
        try:
            async with self._connection(target) as connection:
                self._connection_in_use = connection
                if self._checker is not None:
                    await self._checker.confirm_incarnation(connection, target)
                if target.is_leaving:
                    raise NotExecutedError("the target leaves")
                connection.send(self._encode_request(target), self._request_id)
                content_run.is_sent = True
                deadline_ms = now_ms() + RUN_TIMEOUT_MS
                reader = ResponseReader(
                    connection, self._names, target, self._request_id, deadline_ms
                )
                return await self._read_response(reader, content_run)
        except NotExecutedError as error:
            outcome = RunOutcome.UNREACHABLE if error.is_unreachable else RunOutcome.NOT_RUN
            return RunResult(outcome, error.detail)
        except AttemptFailedError as error:
            return RunResult(RunOutcome.SILENT, error.detail, may_be_crash=True)
        except ExchangeError as error:
            outcome = RunOutcome.BROKEN if error.was_sent else RunOutcome.UNREACHABLE
            return RunResult(outcome, str(error), may_be_crash=error.was_sent)
        except StreamOrderError as error:
            return RunResult(RunOutcome.BROKEN, str(error))

    def _connection(self, target: Target) -> AbstractAsyncContextManager[ClientConnection]:
        address = target.entry.address
        if target.target_id in self._item.answering_targets:
            # A second copy of that answer has the same request id as the one that is expected.
            return self._pool.use_new(address, CONNECT_TIMEOUT_MS)
        return self._pool.use(
            address, CONNECT_TIMEOUT_MS, MAX_CONNECTION_IDLE_MS, request_id=self._request_id
        )

    def _encode_request(self, target: Target) -> bytes:
        names = self._names
        headers = Headers([("Host", self._host), (names.request_id, self._request_id)])
        fields = item_headers(self._record.headers, names)
        if self._account is not None:
            fields = account_headers(fields, names, self._account)
        for name, value in fields:
            headers.add(name, value)
        headers.add(names.remaining_ms, str(int(RUN_TIMEOUT_MS)))
        headers.add(names.expected_instance, target.target_id)
        if self._item.last_event_id is not None:
            headers = headers.with_field(names.last_event_id, str(self._item.last_event_id))
        headers.add("Content-Length", str(len(self._body)))
        request_line = f"{ITEM_METHOD} {escape_text(self._record.path)} HTTP/1.1\r\n".encode(
            "latin-1"
        )
        return request_line + headers.encode() + b"\r\n" + self._body

    async def _read_response(self, reader: ResponseReader, content_run: ContentRun) -> RunResult:
        head = await reader.read_head(self._pauses.limit_ms)
        self._item.answering_targets |= {content_run.target.target_id}
        content_run.record_part(now_ms())
        # Status 421: the target at this address is not the expected instance.
        if head.headers.get(self._names.not_executed) is not None or head.status == 421:
            await reader.skip_body()
            return RunResult(RunOutcome.NOT_RUN, f"status {head.status}")
        if head.status == 200:
            return await self._read_events(reader, head, content_run)
        await reader.skip_body()
        if head.status == 422:
            return RunResult(RunOutcome.REJECTED, "status 422")
        outcome = RunOutcome.FAILED if head.status == 500 else RunOutcome.BROKEN
        return RunResult(outcome, f"status {head.status}")

    async def _read_events(
        self, reader: ResponseReader, head: ResponseHead, content_run: ContentRun
    ) -> RunResult:
        item = self._item
        splitter = EventSplitter(item.last_event_id)
        has_events = False
        received_bytes = 0
        may_be_empty = is_event_stream(head) and head.headers.get(self._names.signature) is not None
        limit_ms = now_ms() + self._pauses.limit_ms
        while not isinstance(chunk := await reader.next_part(time_left_ms(limit_ms)), BodyEnd):
            received_bytes += len(chunk)
            events = splitter.feed(chunk)
            if self._is_given_up:
                return RunResult(RunOutcome.GIVEN_UP, GIVEN_UP_DETAIL)
            for event in events:
                item.add_event(event.event_id, event.data, content_run.target.entry.group)
                content_run.record_event(now_ms())
            if events:
                has_events = True
                self._pauses.record_event(now_ms())
                limit_ms = now_ms() + self._pauses.limit_ms
            self._count_held(splitter)
            # Events may hold far less output than they have bytes.
            if max(item.data_bytes, received_bytes) > MAX_ITEM_BYTES:
                item.discard_events()
                return RunResult(RunOutcome.BROKEN, f"output exceeds {MAX_ITEM_BYTES} bytes")
            splitter.check()
        if splitter.has_incomplete_event:
            return RunResult(RunOutcome.BROKEN, "event stream ended in the middle of an event")
        if not (has_events or may_be_empty):
            return RunResult(RunOutcome.BROKEN, "response is not a signed event stream")
        if not head.is_self_delimited and not await self._confirm_end(content_run):
            raise ExchangeError("the target ended with its response")
        return RunResult(RunOutcome.COMPLETE)

    def _count_held(self, splitter: EventSplitter) -> None:
        if self._budget is not None:
            received_bytes = self._connection_in_use.held_bytes + splitter.held_bytes
            self._budget.update(self, self._item.held_bytes + received_bytes)
