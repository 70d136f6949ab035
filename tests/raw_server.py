"""A server on loopback that answers with given bytes."""

import socket
from contextlib import suppress
from threading import Thread


class RawServer:
    """Answers the first request on each connection with the same bytes, and closes it.

    :ivar response: what is sent.
    """

    def __init__(self) -> None:
        self.response = b""
        self._socket = socket.create_server(("127.0.0.1", 0))
        Thread(target=self._run, daemon=True).start()

    @property
    def port(self) -> int:
        """Port on 127.0.0.1."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                with connection, suppress(OSError):
                    _receive_request(connection)
                    connection.sendall(self.response)


def _receive_request(connection: socket.socket) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65_536)
