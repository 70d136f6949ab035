"""Serves a process's metrics and its state dump to operators."""

from msgspec.json import encode

from ebonyshore.frame.async_kernel import AsyncKernel, AsyncService
from ebonyshore.frame.metrics import Metrics
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder
from ebonyshore.http.server import Handler, HttpServer
from ebonyshore.http.server_limits import ServerLimits

METRICS_PORT = 9464
METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
MAX_BODY_BYTES = 65_536  # of a request, which needs none
MEMORY_BYTES = 2 << 20  # that the connections of one such server may hold


def make_operator_http(handler: Handler, max_connections: int) -> HttpServer:
    """Return a server for the few small requests of operators and load balancers.

    :param handler: handles one request.
    :param max_connections: number of connections.
    """
    limits = ServerLimits(max_body_bytes=MAX_BODY_BYTES)
    return HttpServer(handler, limits, lambda _request, _error: None, MEMORY_BYTES, max_connections)


class OperatorServer(AsyncService):
    """An HTTP server for operators: metrics as text, the state dump as JSON.

    :param host: IP address to listen on.
    :param kernel: the kernel whose services are dumped.
    :param max_connections: number of connections that operators may have.
    """

    name = "operator_server"

    def __init__(
        self,
        host: str,
        port: int,
        kernel: AsyncKernel,
        metrics: Metrics,
        max_connections: int,
    ) -> None:
        self._host = host
        self._port = port
        self._kernel = kernel
        self._metrics = metrics
        self._server = make_operator_http(self._serve, max_connections)

    async def start(self) -> None:
        await self._server.listen(self._host, self._port)

    async def stop(self) -> None:
        self._server.stop_listening()

    async def _serve(self, request: Request, responder: Responder) -> None:
        if request.path == METRICS_PATH:
            text = self._metrics.prometheus_text().encode()
            responder.send(200, Headers([("Content-Type", "text/plain")]), text)
        elif request.path == DUMP_PATH:
            body = encode(self._kernel.dump())
            responder.send(200, Headers([("Content-Type", "application/json")]), body)
        else:
            responder.send(404, Headers())
