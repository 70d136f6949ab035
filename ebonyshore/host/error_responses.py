"""Error responses that entries generate themselves: refusals and failures."""

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.wire_names import WireNames
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request
from ebonyshore.http.responder import Responder


class ErrorResponse(Struct, frozen=True):
    """An error response that does not come from a target or a runner.

    :param status: HTTP status.
    :param code: reason, for the log and the body.
    :param retry_after_ms: delay after which the caller may retry; ``None`` if it should not.
    """

    status: int
    code: ResultCode
    retry_after_ms: float | None = None

    def headers(self, request_id_name: str, request_id: str | None) -> Headers:
        """Return the header fields.

        :param request_id_name: header in which the id of the request is echoed.
        :param request_id: id of the request; ``None`` if it has none.
        """
        headers = Headers([("Content-Type", "application/json")])
        if request_id is not None:
            headers.add(request_id_name, request_id)
        if self.retry_after_ms is not None:
            headers.add("Retry-After", f"{self.retry_after_ms / MS_PER_S:.2f}")
        if self.status == 401:
            headers.add("WWW-Authenticate", "Bearer")
        return headers

    def body(self) -> bytes:
        """Return the JSON body."""
        return b'{"code":%d,"error":"%b"}' % (self.code, self.code.name.lower().encode())

    def send(self, responder: Responder, request: Request, names: WireNames) -> None:
        """Send the response to a request."""
        request_id = request.headers.get(names.request_id)
        headers = self.headers(names.request_id, request_id)
        responder.send(self.status, headers, self.body())


def not_executed_response(code: ResultCode, retry_after_ms: float | None) -> ErrorResponse:
    """Return the response to a request that did not run and will not run."""
    return ErrorResponse(503, code, retry_after_ms)


def maybe_executed_response(code: ResultCode) -> ErrorResponse:
    """Return the response to a failed request that may have run."""
    return ErrorResponse(502, code)


def deadline_response(was_sent: bool) -> ErrorResponse:
    """Return the response to a request whose deadline passed.

    :param was_sent: whether the request was sent to a target and may have run there.
    """
    if was_sent:
        return ErrorResponse(504, ResultCode.DEADLINE_EXCEEDED)
    return ErrorResponse(503, ResultCode.DEADLINE_EXCEEDED)
