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
    """Read a request with its body: a socket closed before that resets its connection."""
    request = b""
    while b"\r\n\r\n" not in request:
        request += _receive(connection)
    head, _, body = request.partition(b"\r\n\r\n")
    missing = _body_bytes(head) - len(body)
    while missing > 0:
        missing -= len(_receive(connection))


def _body_bytes(head: bytes) -> int:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def _receive(connection: socket.socket) -> bytes:
    """
    :raises ConnectionError: the client closed the connection.
    """
    data = connection.recv(65_536)
    if not data:
        raise ConnectionError("closed before the end of the request")
    return data
