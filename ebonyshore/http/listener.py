"""Accepts connections, a few at a time, so that a server can keep to a number of them."""

import socket
from asyncio import AbstractEventLoop, BaseProtocol, Task, TimerHandle, get_running_loop
from collections.abc import Callable
from errno import ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM

BACKLOG = 512
ACCEPTED_AT_ONCE = 16
RETRY_DELAY_S = 0.05  # after the system has refused a descriptor
EXHAUSTION_ERRORS = (EMFILE, ENFILE, ENOBUFS, ENOMEM)


class Listener:
    """A listening TCP socket.

    :param make_protocol: returns the protocol of an accepted connection.
    :param make_place: called before each connection that is accepted; returns whether there may be
        one more.
    :param end_one: called if the system refuses a descriptor; ends a connection.
    """

    def __init__(
        self,
        make_protocol: Callable[[], BaseProtocol],
        make_place: Callable[[], bool],
        end_one: Callable[[], bool],
    ) -> None:
        self._make_protocol = make_protocol
        self._make_place = make_place
        self._end_one = end_one
        self._loop: AbstractEventLoop = get_running_loop()
        self._socket: socket.socket | None = None
        self._tasks: set[Task[object]] = set()
        self._retry: TimerHandle | None = None

    def listen(self, host: str, port: int) -> None:
        """Start accepting connections.

        :param port: port to listen on; 0 selects a free one.
        :raises OSError: if the address cannot be bound.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setblocking(False)
            self._socket.bind((host, port))
            self._socket.listen(BACKLOG)
        except OSError:
            self.close()
            raise
        self._loop.add_reader(self._socket, self._accept)

    @property
    def port(self) -> int:
        """Port of the socket. Valid only while it listens."""
        return self._socket.getsockname()[1]

    @property
    def opening_count(self) -> int:
        """Number of accepted connections whose protocol has not been told yet."""
        return len(self._tasks)

    def close(self) -> None:
        """Stop accepting connections; has no effect on those that were accepted."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                accepted, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._note_failure(error)
                return
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        if not self._make_place():
            accepted.close()
            return
        accepted.setblocking(False)
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(self._make_protocol, accepted)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_failure(self, error: OSError) -> None:
        if error.errno == ECONNABORTED:
            return
        if error.errno not in EXHAUSTION_ERRORS:
            raise error
        self._end_one()
        self._loop.remove_reader(self._socket)
        self._retry = self._loop.call_later(RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._socket, self._accept)
