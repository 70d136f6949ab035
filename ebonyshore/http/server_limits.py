"""Limits of the requests that a server takes."""

from msgspec import Struct


class ServerLimits(Struct):
    """Limits on the size of a request and on the time that a client takes.

    :param max_header_bytes: maximum size of the request line and headers of a request.
    :param max_body_bytes: maximum size of the body of a request.
    :param header_timeout_ms: time limit from the first byte of a request to the end of its headers.
    :param idle_timeout_ms: time after which a connection without a request is closed; also the time
        limit from the end of the headers to the end of the body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
