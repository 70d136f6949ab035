"""Sends and receives load messages as UDP datagrams.

Each message replaces the previous one of its sender, so lost messages are not retransmitted.
"""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable

from ebonyshore.frame.metrics import Metrics
from ebonyshore.http.numbers import MAX_PORT
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.datagrams import Datagram, encode_datagrams
from ebonyshore.link.wire_types import is_ip_address

PACKET_BYTES = 1_472  # payload of one packet on Ethernet; a datagram is lost with any fragment
MAX_DATAGRAM_BYTES = 65_507  # payload of UDP over IPv4


class LoadSocket(DatagramProtocol):
    """The UDP socket of one process for load messages.

    :param metrics: counts undecodable datagrams as ``bad_frames`` and invalid addresses and
        errors that the socket reports as ``load_datagram_errors``.
    :param on_message: called with each message received.
    """

    def __init__(self, metrics: Metrics, on_message: Callable[[Datagram], None]) -> None:
        self._codec: MessageCodec[Datagram] = MessageCodec(Datagram, metrics)
        self._metrics = metrics
        self._on_message = on_message
        self._transport: DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket to a local address.

        :raises OSError: if the address cannot be bound.
        """
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket; has no effect if it is not open."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, message: Datagram, addresses: list[tuple[str, int]]) -> int:
        """Send a message to each address; has no effect if the socket is not open.

        A message that exceeds one packet is sent in several datagrams if it can be divided. What
        cannot be sent as a datagram is counted as ``datagrams_too_large``.

        :param addresses: pairs of host and port.
        :return: number of bytes that were sent.
        """
        if self._transport is None or not addresses:
            return 0
        sent_bytes = 0
        sound = [address for address in addresses if _is_sendable(*address)]
        self._metrics.count("load_datagram_errors", len(addresses) - len(sound))
        for frame in encode_datagrams(message, self._codec.encode, PACKET_BYTES):
            if len(frame) > MAX_DATAGRAM_BYTES:
                self._metrics.count("datagrams_too_large")
                continue
            for address in sound:
                self._transport.sendto(frame, address)
            sent_bytes += len(frame) * len(sound)
        return sent_bytes

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        message = self._codec.decode(data)
        if message is not None:
            self._on_message(message)

    def error_received(self, exc: OSError) -> None:
        self._metrics.count("load_datagram_errors")


def _is_sendable(host: str, port: int) -> bool:
    """Return whether a datagram can be sent there.

    A transport closes itself after any other error than that of a call of the system.
    """
    return is_ip_address(host) and 1 <= port <= MAX_PORT
