"""Asks targets for their load reports: whether they are down, and since when they run."""

from asyncio import sleep
from collections.abc import Callable
from enum import Enum, auto

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.response_reader import AttemptFailedError, NotExecutedError, ResponseReader
from ebonyshore.host.target import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import ClientConnection, ExchangeError
from ebonyshore.http.connection_pool import ConnectionPool

CHECK_TIMEOUT_MS = 300.0  # for the connection, and again for the response
# A target with too many connections closes new ones at once, so a closed connection shows nothing.
INCONCLUSIVE_RETRY_DELAY_MS = 100.0
MAX_REPORT_BYTES = 65_536

ReportDecoder = Callable[[bytes], int | None]


class TargetCondition(Enum):
    """What a check has found."""

    SERVING = auto()  # the same incarnation still serves
    ANSWERING = auto()  # its report does not tell whether it was started again
    INCONCLUSIVE = auto()  # it accepts connections and sends no report
    RESTARTED = auto()  # it serves, but all that it ran before has ended
    DOWN = auto()  # it refuses connections or does not answer


class TargetChecker:
    """Asks targets for their load report, which needs no slot.

    :param names: path of the report.
    :param pool: keeps the connection for later requests if the target answers.
    :param decode_start: returns the start of the target, in Unix milliseconds, from the body of its
        report; ``None`` if the report does not tell it.
    """

    __slots__ = ("_decode_start", "_names", "_pool")

    def __init__(self, names: WireNames, pool: ConnectionPool, decode_start: ReportDecoder) -> None:
        self._names = names
        self._pool = pool
        self._decode_start = decode_start

    async def confirm_incarnation(self, connection: ClientConnection, target: Target) -> None:
        """Check that a connection leads to the incarnation of the target that is listed.

        A target that was started again under its id may have another software version, which the
        list shows later. A connection does not outlive an incarnation, so what follows on it
        reaches the same one. A target that does not tell its start is trusted.

        :raises NotExecutedError: if the target was started again, or does not answer.
        """
        try:
            started_ms = await self._read_start(connection, target)
        except (AttemptFailedError, ExchangeError) as error:
            raise NotExecutedError(f"no load report: {error}", is_unreachable=True) from error
        if started_ms is not None and not target.is_listed_start(started_ms):
            raise NotExecutedError("the target was started again")

    async def check(self, target: Target) -> TargetCondition:
        """Return the condition of a target; a restart is returned once.

        Idle connections to a target that is down or was started again are closed. A request that is
        sent later therefore shows that the target accepted a connection since.
        """
        condition = await self._ask(target)
        if condition is TargetCondition.INCONCLUSIVE:
            await sleep(INCONCLUSIVE_RETRY_DELAY_MS / MS_PER_S)
            condition = await self._ask(target)
        if condition in (TargetCondition.DOWN, TargetCondition.RESTARTED):
            self._pool.close_idle_connections(target.entry.address)
        return condition

    async def _ask(self, target: Target) -> TargetCondition:
        address = target.entry.address
        try:
            async with self._pool.use_new(address, CHECK_TIMEOUT_MS) as connection:
                try:
                    started_ms = await self._read_start(connection, target)
                except (AttemptFailedError, ExchangeError):
                    if not connection.has_received:
                        raise
                    return TargetCondition.INCONCLUSIVE  # a target that sends bytes is not down
                if started_ms is None or not target.started_ms:
                    return TargetCondition.ANSWERING
                target.is_listed_start(started_ms)
                is_new = target.record_start(started_ms)
                return TargetCondition.RESTARTED if is_new else TargetCondition.SERVING
        except AttemptFailedError:
            return TargetCondition.DOWN
        except ExchangeError as error:
            return TargetCondition.INCONCLUSIVE if error.was_sent else TargetCondition.DOWN

    async def _read_start(self, connection: ClientConnection, target: Target) -> int | None:
        address = target.entry.address
        request = f"GET {self._names.report_path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        connection.send(request.encode(), may_be_refused=False)
        deadline_ms = now_ms() + CHECK_TIMEOUT_MS
        reader = ResponseReader(connection, self._names, target, None, deadline_ms)
        while (head := await reader.read_head(None)).headers.get(
            self._names.not_executed
        ) is not None:
            # Reports are not refused: this is a copy of the refusal of an earlier request.
            await reader.read_body(lambda: reader.next_part(None), MAX_REPORT_BYTES)
        body = await reader.read_body(lambda: reader.next_part(None), MAX_REPORT_BYTES)
        if head.status != 200:
            raise ExchangeError(f"status {head.status} in place of a load report")
        return self._decode_start(body)
