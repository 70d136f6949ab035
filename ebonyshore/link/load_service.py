"""Sends load messages to other processes after changes, at a limited rate, and as heartbeats."""

from asyncio import Event, sleep, timeout
from collections.abc import Callable

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.datagrams import Datagram
from ebonyshore.link.load_socket import LoadSocket

MIN_REPORT_INTERVAL_MS = 20.0
MAX_REPORT_INTERVAL_MS = 250.0


class LoadService(AsyncService):
    """Sends load messages after changes, and as a heartbeat if nothing changes.

    Two sends are at least :data:`MIN_REPORT_INTERVAL_MS` apart. A heartbeat is sent after
    :data:`MAX_REPORT_INTERVAL_MS` without a change.

    :param host: local address of the UDP socket.
    :param port: local port of the UDP socket.
    :param on_message: called with each message received.
    :param send: sends the current messages through the socket that it is passed; returns the time
        in milliseconds after which it is to be called again even without a change. An ``OSError``
        is logged.
    """

    name = "load"

    def __init__(
        self,
        host: str,
        port: int,
        on_message: Callable[[Datagram], None],
        send: Callable[[LoadSocket], float],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._port = port
        self._send = send
        self._log = log
        self._socket = LoadSocket(metrics, on_message)
        self._report_due = Event()

    def schedule_report(self) -> None:
        """Send the messages as soon as the minimum interval since the last send has passed."""
        self._report_due.set()

    def send_now(self, message: Datagram, addresses: list[tuple[str, int]]) -> None:
        """Send a message at once, besides the load messages."""
        try:
            self._socket.send(message, addresses)
        except OSError as error:
            self._log.event("load_report_failed", error=repr(error))

    async def start(self) -> None:
        await self._socket.open(self._host, self._port)
        self.spawn(self._run())

    async def stop(self) -> None:
        await super().stop()
        self._socket.close()

    async def _run(self) -> None:
        wait_ms = MAX_REPORT_INTERVAL_MS
        while True:
            try:
                async with timeout(wait_ms / MS_PER_S):
                    await self._report_due.wait()
            except TimeoutError:
                pass  # send a heartbeat, or what was too early before
            self._report_due.clear()
            wait_ms = MAX_REPORT_INTERVAL_MS
            try:
                wait_ms = min(wait_ms, self._send(self._socket))
            except OSError as error:
                self._log.event("load_report_failed", error=repr(error))
            await sleep(MIN_REPORT_INTERVAL_MS / MS_PER_S)
