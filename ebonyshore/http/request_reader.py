"""Reads requests from the bytes of one connection, and counts what they hold in memory. No I/O.

A head is far larger as objects than on the wire, so its limit is checked at each field, and what is
held is counted by objects. What follows a complete request is kept as bytes until it is asked for.
"""

from collections.abc import Callable
from enum import Enum, auto

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from msgspec import Struct

from ebonyshore.http.headers import FIELD_BYTES, Headers
from ebonyshore.http.messages import Request
from ebonyshore.http.numbers import parse_decimal
from ebonyshore.http.server_limits import ServerLimits

FIELD_FRAMING_BYTES = 3  # of each field on the wire, at least: a colon and the end of the line
# Parsed at once; several requests may end in it, which then wait as objects.
HEAD_PART_BYTES = 2_048
BODY_PART_BYTES = 16_384  # also the size of the blocks of a body; large ones fragment the heap


class RequestRejectedError(Exception):
    """The bytes received are no request that the server takes.

    :param status: HTTP status of the rejection.
    :param follows_request: whether a complete request was received just before, to which a
        rejection would be taken for the response.
    """

    def __init__(self, status: int, follows_request: bool) -> None:
        super().__init__(f"request rejected with {status}")
        self.status = status
        self.follows_request = follows_request


class ReadStage(Enum):
    """What part of a request is received next."""

    NONE = auto()
    HEAD = auto()
    BODY = auto()


class ReceivedRequest(Struct, frozen=True):
    """A request that was received completely.

    :param keeps_alive: whether the client may send another request on the connection.
    :param held_bytes: memory that the request takes.
    """

    request: Request
    keeps_alive: bool
    held_bytes: int


class RequestReader:
    """Reads the requests of one connection one after the other.

    :param limits: returns the limits of requests at present.
    :param now_ms: returns the time on the monotonic clock.
    :ivar stage: what part of a request is received next.
    :ivar begun_count: number of requests that were begun.
    """

    __slots__ = (
        "_block",
        "_blocks",
        "_body_bytes",
        "_declared_bytes",
        "_fields",
        "_fields_bytes",
        "_framing_bytes",
        "_ignores_input",
        "_limits",
        "_now_ms",
        "_parser",
        "_received",
        "_rejection_status",
        "_started_ms",
        "_unparsed",
        "_url",
        "begun_count",
        "stage",
    )

    def __init__(self, limits: Callable[[], ServerLimits], now_ms: Callable[[], float]) -> None:
        self._limits = limits
        self._now_ms = now_ms
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._received: list[ReceivedRequest] = []
        self._rejection_status = 0
        self._ignores_input = False
        self._framing_bytes = 0  # received since the head began or ended, or since a part of a body
        self._started_ms = 0.0
        self._unparsed = b""
        self._url = b""
        self._fields: list[tuple[str, str]] = []
        self._fields_bytes = 0  # on the wire, at least
        self._blocks: list[bytes] = []
        self._block = bytearray()
        self._body_bytes = 0
        self._declared_bytes = 0  # of the body; 0 if its length is not known
        self.begun_count = 0
        self.stage = ReadStage.NONE

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes that is being received, and what follows it."""
        # The parser keeps a field until it is complete.
        field_bytes = 0 if self.stage is ReadStage.NONE else self._framing_bytes
        return self._request_bytes() + field_bytes + len(self._unparsed)

    @property
    def has_more(self) -> bool:
        """Whether bytes are kept that follow a complete request."""
        return bool(self._unparsed)

    def feed(self, data: memoryview) -> list[ReceivedRequest]:
        """Take bytes that were received, up to the end of a request; the rest is kept.

        Call :meth:`feed_rest` until it returns nothing before the next call.

        :return: the requests that are now complete.
        :raises RequestRejectedError: if the bytes are no request or exceed a limit; the connection
            has to be closed.
        """
        while data and not self._received and not self._ignores_input:
            part_bytes = max(HEAD_PART_BYTES, min(self._body_left_bytes(), BODY_PART_BYTES))
            self._parse(data[:part_bytes])
            data = data[part_bytes:]
        self._unparsed = bytes(data)
        received, self._received = self._received, []
        return received

    def feed_rest(self) -> list[ReceivedRequest]:
        """Take what was kept, as :meth:`feed`."""
        return self.feed(memoryview(self._unparsed))

    def _parse(self, data: memoryview) -> None:
        if self.stage is ReadStage.NONE:
            self._begin()
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is answered as it is; what follows would be of another protocol.
            self._ignores_input = True
        except HttpParserError as error:
            raise self._rejection(self._rejection_status or 400) from error
        if self.stage is not ReadStage.NONE:
            self._check_head(self._framing_bytes)
        if self._rejection_status:
            raise self._rejection(self._rejection_status)

    def close(self) -> None:
        """Drop everything; nothing can be read any more."""
        self._parser = None  # the parser refers to its reader
        self._ignores_input = True
        self._unparsed = b""
        self._received = []
        self._drop_request()

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        if self.stage is ReadStage.NONE:
            self._begin()

    def on_url(self, url: bytes) -> None:
        if self._rejection_status:
            return
        self._url += url
        self._check_head(len(self._url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._rejection_status or self.stage is ReadStage.BODY:
            return  # in a body it is a trailer
        self._fields_bytes += len(name) + len(value) + FIELD_FRAMING_BYTES
        self._check_head(len(self._url) + self._fields_bytes)
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        if self._parser.should_upgrade() and _has_body(self._fields):
            self._rejection_status = 400  # the parser takes the body for another protocol
        self.stage = ReadStage.BODY
        self._declared_bytes = _declared_length(self._fields)
        self._framing_bytes = 0

    def on_body(self, body: bytes) -> None:
        if self._rejection_status:
            return
        self._framing_bytes = 0
        if self._body_bytes + len(body) > self._limits().max_body_bytes:
            self._rejection_status = 413
            return
        self._body_bytes += len(body)
        self._block += body
        if len(self._block) >= BODY_PART_BYTES:
            self._blocks.append(bytes(self._block))
            self._block = bytearray()

    def on_message_complete(self) -> None:
        if self._rejection_status:
            return
        held_bytes = self._request_bytes()
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._url.decode("latin-1"),
            Headers(self._fields),
            b"".join((*self._blocks, self._block)),
            self._started_ms,
        )
        keeps_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        self._received.append(ReceivedRequest(request, keeps_alive, held_bytes))
        self._drop_request()
        self.stage = ReadStage.NONE

    def _rejection(self, status: int) -> RequestRejectedError:
        return RequestRejectedError(status, bool(self._received))

    def _begin(self) -> None:
        self.begun_count += 1
        self.stage = ReadStage.HEAD
        self._framing_bytes = 0
        self._started_ms = self._now_ms()

    def _body_left_bytes(self) -> int:
        """Return how much of a body of known length is left to receive."""
        return max(0, self._declared_bytes - self._body_bytes)

    def _check_head(self, size_bytes: int) -> None:
        if size_bytes > self._limits().max_header_bytes and not self._rejection_status:
            self._rejection_status = 431

    def _request_bytes(self) -> int:
        fields_bytes = self._fields_bytes + len(self._fields) * FIELD_BYTES
        return len(self._url) + fields_bytes + self._body_bytes

    def _drop_request(self) -> None:
        self._url = b""
        self._fields = []
        self._fields_bytes = 0
        self._blocks = []
        self._block = bytearray()
        self._body_bytes = 0
        self._declared_bytes = 0


def _declared_length(fields: list[tuple[str, str]]) -> int:
    texts = (value for name, value in fields if name.lower() == "content-length")
    return parse_decimal(next(texts, None)) or 0


def _has_body(fields: list[tuple[str, str]]) -> bool:
    return any(name.lower() in ("content-length", "transfer-encoding") for name, _ in fields)
