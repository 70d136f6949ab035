"""The admin HTTP interface that every process has."""

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
    """WSGI application of the admin interface.

    :param operator_token: bearer token that every path but ``/healthz`` asks for.
    :param metrics: served on ``/metrics``.
    """

    def __init__(self, operator_token: str, metrics: Metrics) -> None:
        self._token = operator_token
        self._metrics = metrics
        self._handlers: dict[str, AdminHandler] = {}
        self._routes = Map()

    def add_route(self, method: str, path: str, handler: AdminHandler) -> None:
        """Serve ``path``; the handler's return value becomes the JSON answer."""
        endpoint = f"{method} {path}"
        self._handlers[endpoint] = handler
        self._routes.add(Rule(path, endpoint=endpoint, methods=[method]))

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> list[bytes]:
        request = Request(environ)
        return self._respond(request)(environ, start_response)

    def _respond(self, request: Request) -> Response:
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
            raise RequestError("operator token", code=ResultCode.UNAUTHENTICATED)


def error_response(error: EbonyshoreError) -> Response:
    """Return the HTTP answer that reports an error."""
    response = Response(error_body(error), RESULT_INFO[error.code].http_status, mimetype=JSON_TYPE)
    response.headers["Ebonyshore-Code"] = str(int(error.code))
    response.headers["Ebonyshore-Execution"] = error.execution.value
    if error.retry_after_ms is not None:
        response.headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    return response
