"""A DEALER socket to one agent."""

import zmq
from msgspec import Struct

from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.curve import secure_client


class AgentSocket:
    """Connects when made; belongs to one task.

    :param address: ``tcp://IP:PORT`` of the agent.
    """

    __slots__ = ("_codec", "_poller", "socket")

    def __init__(
        self, address: str, fleet: FleetSettings, poller: zmq.Poller, codec: MessageCodec
    ) -> None:
        self._codec = codec
        self._poller = poller
        self.socket = zmq.Context.instance().socket(zmq.DEALER)
        self.socket.linger = 0
        self.socket.sndhwm = 0
        self.socket.rcvhwm = 0
        # Without a live connection a send fails at once, so it is certain that nothing was sent.
        self.socket.immediate = True
        secure_client(self.socket, fleet)
        self.socket.connect(address)
        poller.register(self.socket, zmq.POLLIN)

    def send(self, message: Struct) -> bool:
        """Hand a message to the socket; ``False`` if there is no live connection."""
        try:
            self.socket.send(self._codec.encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._poller.unregister(self.socket)
        self.socket.close()
