"""Checks whether a target is down, independently of the requests that it runs."""

from asyncio import sleep

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.response_reader import AttemptFailedError, ResponseReader
from ebonyshore.host.targets import Target
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.client import ConnectionPool, ExchangeError

CHECK_TIMEOUT_MS = 300.0  # for the connection, and again for the response
# A target with too many connections closes new ones at once, so a closed connection shows nothing.
INCONCLUSIVE_RETRY_DELAY_MS = 100.0


class TargetChecker:
    """Asks targets for their load report, which needs no slot, over a new connection.

    :param names: path of the report.
    :param pool: keeps the connection for later requests if the target answers.
    """

    __slots__ = ("_names", "_pool")

    def __init__(self, names: WireNames, pool: ConnectionPool) -> None:
        self._names = names
        self._pool = pool

    async def is_down(self, target: Target) -> bool:
        """Return whether the target refuses connections or does not answer."""
        is_down = await self._ask(target)
        if is_down is None:
            await sleep(INCONCLUSIVE_RETRY_DELAY_MS / MS_PER_S)
            is_down = await self._ask(target)
        return bool(is_down)

    async def _ask(self, target: Target) -> bool | None:
        """Return whether the target is down, or ``None`` if it closed the new connection."""
        address = target.entry.address
        try:
            async with self._pool.use_new(address, CHECK_TIMEOUT_MS) as connection:
                request = f"GET {self._names.report_path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
                connection.send(request.encode())
                deadline_ms = now_ms() + CHECK_TIMEOUT_MS
                reader = ResponseReader(connection, self._names.request_id, None, deadline_ms)
                await reader.next_part(None)  # any response shows that the target works
                await reader.read_body(None)
                return False
        except AttemptFailedError:
            return True
        except ExchangeError as error:
            return None if error.was_sent else True
