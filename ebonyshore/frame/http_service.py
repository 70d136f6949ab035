"""A service of the kernel that serves a WSGI application with waitress."""

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from ebonyshore.frame.bounded_http import BoundedServer
from ebonyshore.frame.kernel import Service

MIN_CONNECTIONS = 100
CONNECTIONS_PER_THREAD = 4
SHUTDOWN_TIMEOUT_S = 5


class HttpService(Service):
    """An HTTP server, whose event loop runs on a thread of its own.

    :param name: name of the service.
    :param app: the WSGI application.
    :param address: IP address to listen on.
    :param port: TCP port to listen on.
    :param threads: number of worker threads, which is the number of requests served concurrently.
    :param max_body_bytes: greatest accepted size of a request body.
    """

    def __init__(
        self,
        name: str,
        app: Callable[..., object],
        address: str,
        port: int,
        threads: int,
        max_body_bytes: int = 16 * 1024 * 1024,
    ) -> None:
        self.name = name
        self._dispatchers: dict[int, object] = {}
        self._server = BoundedServer(
            app,
            self._dispatchers,
            max(MIN_CONNECTIONS, threads * CONNECTIONS_PER_THREAD),
            host=address,
            port=port,
            threads=threads,
            max_request_body_size=max_body_bytes,
            ident="ebonyshore",
            # Needed for waitress.client_disconnected: with 0, waitress does not read from a
            # connection during a request, and so does not notice that the client has closed it.
            channel_request_lookahead=1,
        )
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=name)
        self._server_result: Future[None] | None = None

    def start(self) -> None:
        self._server_result = self._executor.submit(self._server.run)

    def stop(self) -> None:
        if self._server_result is None:
            return
        self._server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)
        self._server.trigger.pull_trigger(self._close_sockets)
        self._server_result.result()
        self._executor.shutdown()
        self._server_result = None

    def _close_sockets(self) -> None:
        """Close all sockets, which ends the event loop of the server.

        Must run on the thread of that loop.
        """
        for dispatcher in list(self._dispatchers.values()):
            dispatcher.close()
        self._dispatchers.clear()
