"""Runs one item at one target and collects its events."""

from enum import Enum, auto

from msgspec import Struct

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.event_stream import EventSplitter, StreamOrderError
from ebonyshore.host.job_types import ItemRecord
from ebonyshore.host.response_reader import AttemptFailedError, ResponseReader
from ebonyshore.host.targets import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import BodyEnd, ConnectionPool, ExchangeError
from ebonyshore.http.headers import Headers
from ebonyshore.runner.job_progress import Item

CONNECT_TIMEOUT_MS = 300.0
FIRST_EVENT_TIMEOUT_MS = 3_000.0
EVENT_TIMEOUT_MS = 1_200.0
RUN_TIMEOUT_MS = 30_000.0
MAX_IDLE_MS = 10_000.0


class RunOutcome(Enum):
    """How a run ended."""

    COMPLETE = auto()
    REJECTED = auto()  # the item can never be done
    FAILED = auto()  # the target ran it and says that it failed
    NOT_RUN = auto()
    UNREACHABLE = auto()
    SILENT = auto()
    BROKEN = auto()


class RunResult(Struct, frozen=True):
    """The end of a run, with its reason for the log."""

    outcome: RunOutcome
    detail: str = ""


class ItemRun:
    """One run of an item. What it has read stays with the item, and the next run goes on there.

    :param host: of the job's route.
    """

    def __init__(
        self,
        names: WireNames,
        pool: ConnectionPool,
        item: Item,
        record: ItemRecord,
        body: bytes,
        host: str,
    ) -> None:
        self._names = names
        self._pool = pool
        self._item = item
        self._record = record
        self._body = body
        self._host = host

    async def run(self, target: Target) -> RunResult:
        """Run the item until its end; cancel the task to stop it at once."""
        address = target.entry.address
        try:
            async with self._pool.use(address, CONNECT_TIMEOUT_MS, MAX_IDLE_MS) as connection:
                connection.send(self._encode(target))
                deadline_ms = now_ms() + RUN_TIMEOUT_MS
                reader = ResponseReader(
                    connection, self._names.request_id, self._item.item_id, deadline_ms
                )
                return await self._read(reader)
        except AttemptFailedError as error:
            return RunResult(RunOutcome.SILENT, error.detail)
        except ExchangeError as error:
            end = RunOutcome.BROKEN if error.was_sent else RunOutcome.UNREACHABLE
            return RunResult(end, str(error))
        except StreamOrderError as error:
            return RunResult(RunOutcome.BROKEN, str(error))

    def _encode(self, target: Target) -> bytes:
        names = self._names
        headers = Headers([("Host", self._host), (names.request_id, self._item.item_id)])
        own = {"host", names.request_id.lower(), "content-length", "connection"}
        for name, value in self._record.headers:
            if name.lower() not in own:
                headers.add(name, value)
        headers.add(names.remaining_ms, str(int(RUN_TIMEOUT_MS)))
        headers.add(names.expected_instance, target.target_id)
        if self._item.last_event_id is not None:
            headers = headers.replaced(names.last_event_id, str(self._item.last_event_id))
        headers.add("Content-Length", str(len(self._body)))
        start = f"POST {self._record.path} HTTP/1.1\r\n".encode("latin-1")
        return start + headers.encode() + b"\r\n" + self._body

    async def _read(self, reader: ResponseReader) -> RunResult:
        head = await reader.read_head(FIRST_EVENT_TIMEOUT_MS)
        if head.headers.get(self._names.not_executed) is not None or head.status == 421:
            await reader.read_body(EVENT_TIMEOUT_MS)
            return RunResult(RunOutcome.NOT_RUN, f"status {head.status}")
        if head.status == 200:
            return await self._collect(reader)
        await reader.read_body(EVENT_TIMEOUT_MS)
        if head.status == 422:
            return RunResult(RunOutcome.REJECTED, "status 422")
        end = RunOutcome.FAILED if head.status == 500 else RunOutcome.BROKEN
        return RunResult(end, f"status {head.status}")

    async def _collect(self, reader: ResponseReader) -> RunResult:
        item = self._item
        splitter = EventSplitter(item.last_event_id)
        silence_ms = FIRST_EVENT_TIMEOUT_MS
        while not isinstance(part := await reader.next_part(silence_ms), BodyEnd):
            for event in splitter.feed(part):
                item.data.append(event.data)
                item.last_event_id = event.event_id
                silence_ms = EVENT_TIMEOUT_MS
        if splitter.incomplete_event:
            return RunResult(RunOutcome.BROKEN, "the stream ends in the middle of an event")
        return RunResult(RunOutcome.COMPLETE)
