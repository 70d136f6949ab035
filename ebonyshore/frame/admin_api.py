"""The HTTP API for operators that every process serves."""

import hmac
from collections.abc import Callable

from msgspec.json import encode
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ebonyshore.entry.openai_api import error_body
from ebonyshore.frame.errors import EbonyshoreError, RequestError
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import RESULT_INFO, ResultCode

AdminHandler = Callable[[Request], object]
JSON_TYPE = "application/json"


class AdminApi:
    """WSGI application of the admin API.

    :param operator_token: bearer token required on every path except ``/healthz``.
    :param metrics: served on ``/metrics`` in the Prometheus text format.
    """

    def __init__(self, operator_token: str, metrics: Metrics) -> None:
        self._token = operator_token
        self._metrics = metrics
        self._handlers: dict[str, AdminHandler] = {}
        self._routes = Map()

    def add_route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Serve ``path`` with a handler.

        :param method: HTTP method.
        :param path: path in the syntax of :class:`werkzeug.routing.Rule`.
        :param handler: called with the request, and the variables of the path as keyword arguments;
            its return value is encoded as the JSON response body.
        """
        endpoint = f"{method} {path}"
        self._handlers[endpoint] = handler
        self._routes.add(Rule(path, endpoint=endpoint, methods=[method]))

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> list[bytes]:
        request = Request(environ, populate_request=False)
        return self._handle_request(request)(environ, start_response)

    def _handle_request(self, request: Request) -> Response:
        if request.path == "/healthz":
            return Response("ok\n")
        try:
            self._check_token(request)
            if request.path == "/metrics":
                return Response(self._metrics.prometheus_text())
            endpoint, values = self._routes.bind_to_environ(request.environ).match()
            result = self._handlers[endpoint](request, **values)
            return Response(encode(result), 200, mimetype=JSON_TYPE)
        except EbonyshoreError as error:
            return error_response(error)
        except HTTPException as error:
            return error.get_response(request.environ)

    def _check_token(self, request: Request) -> None:
        token = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            raise RequestError("operator token missing or wrong", code=ResultCode.UNAUTHENTICATED)


def error_response(error: EbonyshoreError) -> Response:
    """Return the HTTP response that reports ``error``."""
    response = Response(error_body(error), RESULT_INFO[error.code].http_status, mimetype=JSON_TYPE)
    response.headers["Ebonyshore-Code"] = str(int(error.code))
    response.headers["Ebonyshore-Execution"] = error.execution.value
    if error.retry_after_ms is not None:
        response.headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    return response
