"""A DEALER socket to one agent."""

import zmq
from msgspec import Struct

from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.curve import secure_client


class AgentSocket:
    """Implements the channel to one agent; connects on construction.

    It is not thread-safe: only the task that owns ``poller`` may use it.

    :param address: ``tcp://IP:PORT`` of the agent.
    :param poller: the socket is registered with it for reading until :meth:`close`.
    :raises zmq.ZMQError: if the address cannot be used.
    """

    __slots__ = ("_codec", "_poller", "socket")

    def __init__(
        self, address: str, fleet: FleetSettings, poller: zmq.Poller, codec: MessageCodec
    ) -> None:
        self._codec = codec
        self._poller = poller
        self.socket = zmq.Context.instance().socket(zmq.DEALER)
        self.socket.linger = 0
        # 0 means that neither queue has a limit.
        self.socket.sndhwm = 0
        self.socket.rcvhwm = 0
        # Sends without a live connection fail immediately, so that it is certain that a rejected
        # message was never sent.
        self.socket.immediate = True
        secure_client(self.socket, fleet)
        try:
            self.socket.connect(address)
        except zmq.ZMQError:
            self.socket.close()
            raise
        poller.register(self.socket, zmq.POLLIN)

    def send(self, message: Struct) -> bool:
        """Queue a message for sending.

        :return: ``False`` if there is no live connection; nothing is sent then.
        """
        try:
            self.socket.send(self._codec.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Unregister the socket from the poller and close it."""
        self._poller.unregister(self.socket)
        self.socket.close()
