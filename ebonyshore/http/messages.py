"""Data types of HTTP messages, shared by the server and the client."""

from msgspec import Struct

from ebonyshore.http.headers import Headers

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
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
    """A request that was received completely.

    :param method: method as received.
    :param target: path and query as received.
    :param headers: header fields in the order received.
    :param body: body without transfer encoding.
    :param received_ms: monotonic time at which the first byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_ms: float

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.split("?", 1)[0]


class ResponseHead(Struct):
    """Status and headers of a response.

    :param is_self_delimited: whether the framing of the response marks its end; otherwise the end
        of the connection does.
    """

    status: int
    headers: Headers
    is_self_delimited: bool


def status_line(status: int) -> bytes:
    """Return the encoded status line of a response, including its line end."""
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}\r\n".encode()
