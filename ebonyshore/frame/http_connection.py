"""Blocking HTTP connections whose responses are complete only if the server has ended them.

:mod:`http.client` takes the end of a connection for the end of a response's head or of its last
chunk, and a body that is read in parts for complete wherever it breaks off.
"""

from http.client import HTTPConnection, HTTPException, HTTPResponse, IncompleteRead
from io import BufferedReader

LINE_END = b"\n"


class _LineReader:
    """Reads a response whose lines have to be complete: a head, or a body in chunks.

    :ivar file: the file that is read.
    """

    __slots__ = ("file",)

    def __init__(self, file: BufferedReader) -> None:
        self.file = file

    def readline(self, limit: int) -> bytes:
        """Return the next line, with its end unless it is longer than ``limit``.

        :raises IncompleteRead: if the file ends within the line, or in place of it.
        """
        line = self.file.readline(limit)
        if not line.endswith(LINE_END) and len(line) < limit:
            raise IncompleteRead(line)
        return line

    def read(self, size: int) -> bytes:
        return self.file.read(size)

    def readinto(self, buffer: memoryview) -> int:
        return self.file.readinto(buffer)

    def peek(self, size: int) -> bytes:
        return self.file.peek(size)

    def flush(self) -> None:
        self.file.flush()

    def close(self) -> None:
        self.file.close()


class WholeResponse(HTTPResponse):
    """A response that raises :class:`IncompleteRead` wherever the server has broken it off.

    A body with neither a length nor chunks ends with its connection.
    """

    def begin(self) -> None:
        """Read the head.

        :raises IncompleteRead: if the connection ends before the head does.
        :raises HTTPException: if the head is not valid.
        """
        file = self.fp
        self.fp = _LineReader(file)
        super().begin()
        if not self.chunked:
            self.fp = file
        declared = self.getheader("Content-Length")
        if declared is not None and self.length is None and not self.chunked:
            raise HTTPException(f"invalid Content-Length {declared!r}")

    def read(self, amt: int | None = None) -> bytes:
        """Read the body, or the next part of it.

        :raises IncompleteRead: if the connection ends before the body does.
        """
        left = self.length
        data = super().read(amt)
        if amt is not None and left is not None and len(data) < min(amt, left):
            raise IncompleteRead(data, left - len(data))
        return data


class WholeResponseConnection(HTTPConnection):
    """A connection whose responses are of :class:`WholeResponse`."""

    response_class = WholeResponse
