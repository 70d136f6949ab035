"""Reports this process's counts to the others, at once after a change but not too often."""

from asyncio import Event, sleep, timeout
from collections.abc import Callable

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import LoadMessage

MIN_REPORT_INTERVAL_MS = 20.0
MAX_REPORT_INTERVAL_MS = 250.0


class LoadService(AsyncService):
    """Sends messages when there is news, and as a heartbeat.

    :param host: own address.
    :param port: own port.
    :param on_message: called with each message heard.
    :param send: sends what is to be sent now, by way of the exchange it is given.
    """

    name = "load"

    def __init__(
        self,
        host: str,
        port: int,
        on_message: Callable[[LoadMessage], None],
        send: Callable[[LoadSocket], None],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._port = port
        self._send = send
        self._log = log
        self._exchange = LoadSocket(metrics, on_message)
        self._changed = Event()

    def schedule_report(self) -> None:
        """Report soon."""
        self._changed.set()

    async def start(self) -> None:
        await self._exchange.open(self._host, self._port)
        self.spawn(self._run())

    async def stop(self) -> None:
        await super().stop()
        self._exchange.close()

    async def _run(self) -> None:
        while True:
            try:
                async with timeout(MAX_REPORT_INTERVAL_MS / MS_PER_S):
                    await self._changed.wait()
            except TimeoutError:
                pass  # nothing has changed; the report is a heartbeat
            self._changed.clear()
            try:
                self._send(self._exchange)
            except OSError as error:
                self._log.event("load_report_failed", error=repr(error))
            await sleep(MIN_REPORT_INTERVAL_MS / MS_PER_S)
