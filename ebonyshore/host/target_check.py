"""Checks whether a target is down, independently of the requests that it runs."""

from asyncio import sleep
from collections.abc import Callable
from enum import Enum, auto

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.response_reader import AttemptFailedError, ResponseReader
from ebonyshore.host.targets import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import ConnectionPool, ExchangeError

CHECK_TIMEOUT_MS = 300.0  # for the connection, and again for the response
# A target with too many connections closes new ones at once, so a closed connection shows nothing.
INCONCLUSIVE_RETRY_DELAY_MS = 100.0

ReportDecoder = Callable[[bytes], int | None]


class TargetCondition(Enum):
    """What a check has found."""

    SERVING = auto()  # the same incarnation still serves
    ANSWERING = auto()  # it answers, and does not tell whether it was started again
    RESTARTED = auto()  # it serves, but all that it ran before has ended
    DOWN = auto()  # it refuses connections or does not answer


class TargetChecker:
    """Asks targets for their load report, which needs no slot, over a new connection.

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

    async def check(self, target: Target) -> TargetCondition:
        """Return the condition of a target; a restart is returned once.

        Idle connections to a target that is down or was started again are closed. A request that is
        sent later therefore shows that the target accepted a connection since.
        """
        condition = await self._ask(target)
        if condition is None:
            await sleep(INCONCLUSIVE_RETRY_DELAY_MS / MS_PER_S)
            condition = await self._ask(target)
        if condition in (TargetCondition.DOWN, TargetCondition.RESTARTED):
            self._pool.close_idle_connections(target.entry.address)
        return condition or TargetCondition.ANSWERING

    async def _ask(self, target: Target) -> TargetCondition | None:
        """Return the target's condition, or ``None`` if it closed the new connection."""
        address = target.entry.address
        try:
            async with self._pool.use_new(address, CHECK_TIMEOUT_MS) as connection:
                request = f"GET {self._names.report_path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
                connection.send(request.encode())
                deadline_ms = now_ms() + CHECK_TIMEOUT_MS
                reader = ResponseReader(connection, self._names.request_id, None, deadline_ms)
                await reader.next_part(None)  # any response shows that the target works
                started_ms = self._decode_start(await reader.read_body(None))
                if started_ms is None or not target.started_ms:
                    return TargetCondition.ANSWERING
                is_new = target.record_start(started_ms)
                return TargetCondition.RESTARTED if is_new else TargetCondition.SERVING
        except AttemptFailedError:
            return TargetCondition.DOWN
        except ExchangeError as error:
            return None if error.was_sent else TargetCondition.DOWN
