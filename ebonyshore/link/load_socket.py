"""Sends and hears load messages as datagrams.

A message is worth nothing once the next one has come, so a lost one is not sent again.
"""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable

from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.load_table import LoadMessage


class LoadSocket(DatagramProtocol):
    """One process's datagram socket.

    :param metrics: counts messages.
    :param on_message: called with each message heard.
    """

    def __init__(self, metrics: Metrics, on_message: Callable[[LoadMessage], None]) -> None:
        self._codec: MessageCodec[LoadMessage] = MessageCodec(LoadMessage, metrics)
        self._metrics = metrics
        self._on_message = on_message
        self._transport: DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, message: LoadMessage, addresses: list[tuple[str, int]]) -> None:
        """Send a message to each address."""
        if self._transport is None or not addresses:
            return
        frame = self._codec.encode(message)
        for address in addresses:
            self._transport.sendto(frame, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        message = self._codec.decode(data)
        if message is not None:
            self._on_message(message)

    def error_received(self, exc: OSError) -> None:
        self._metrics.count("load_datagram_errors")
