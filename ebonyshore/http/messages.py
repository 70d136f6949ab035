"""HTTP messages as both sides of the event loop pass them on."""

from msgspec import Struct

from ebonyshore.http.headers import Headers

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request(Struct):
    """A request that was read whole.

    :param target: path and query as received.
    :param received_ms: monotonic time at which its first byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_ms: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


class ResponseHead(Struct):
    """Status and headers of an answer.

    :param is_self_delimited: whether the framing of the response marks its end; otherwise the end
        of the connection does.
    """

    status: int
    headers: Headers
    is_self_delimited: bool


def status_line(status: int) -> bytes:
    """Return the status line of an answer."""
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}\r\n".encode()
