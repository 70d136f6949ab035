"""Client of the HTTP interfaces of entries and agents, for the command line and the tools."""

from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlsplit

from msgspec import DecodeError
from msgspec.json import decode

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.http_connection import WholeResponseConnection
from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode

DEFAULT_TIMEOUT_MS = 60_000
HTTP_OK = 200


class ApiClient:
    """Calls the HTTP interface of one process, with a new connection for each call.

    :param url: base URL, ``http://IP:PORT``.
    :param bearer_token: API key or operator token; if it is empty, no token is sent.
    :param timeout_ms: time limit for connecting and for each wait for data of a response.
    """

    def __init__(
        self, url: str, bearer_token: str = "", timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        self.url = url
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._timeout_ms = timeout_ms
        self._headers = {"Authorization": f"Bearer {bearer_token}"} if bearer_token else {}

    def call(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> dict[str, Any]:
        """Return the decoded JSON response; parameters and errors as for :meth:`call_raw`.

        :raises DecodeError: if the body of the response is not JSON.
        """
        return decode(self.call_raw(method, path, body, **headers))

    def call_raw(self, method: str, path: str, body: bytes | None = None, **headers: str) -> bytes:
        """Return the body of the response to a call.

        :param path: absolute path with the query; the path of the base URL is ignored.
        :param headers: additional headers, whose names are written with ``_`` in place of ``-``.
        :raises EbonyshoreError: with the result code of the response if its status is not 200, or
            with ``NOT_READY`` if there was no complete response.
        """
        connection = self.make_connection()
        try:
            connection.request(method, path, body, self.make_headers(**headers))
            response = connection.getresponse()
            data = response.read()
        except (OSError, HTTPException) as error:
            raise self.make_no_answer_error(error) from error
        finally:
            connection.close()
        if response.status != HTTP_OK:
            raise error_from_response(data, response.status)
        return data

    def make_connection(self) -> HTTPConnection:
        """Return a connection object; its first request opens the connection."""
        return WholeResponseConnection(self._host, self._port, timeout=self._timeout_ms / MS_PER_S)

    def make_headers(self, **headers: str) -> dict[str, str]:
        """Return the headers of a call, with the bearer token.

        :param headers: additional headers, whose names are written with ``_`` in place of ``-``.
        """
        return {**self._headers, **{name.replace("_", "-"): v for name, v in headers.items()}}

    def make_no_answer_error(self, error: Exception) -> EbonyshoreError:
        """Return the error to raise if the process did not respond."""
        return EbonyshoreError(
            f"{self._host}:{self._port} does not respond: {error}", code=ResultCode.NOT_READY
        )


def error_from_response(data: bytes, status: int) -> EbonyshoreError:
    """Return the error that a process has reported.

    :param data: body of the response or data of a stream event.
    :param status: HTTP status, for the message if ``data`` is not an error object.
    """
    try:
        fields = decode(data)["error"]
        code = ResultCode(fields["code"])
        return EbonyshoreError(
            # The message starts with the text of the code, which the error class adds again.
            fields["message"].removeprefix(RESULT_INFO[code].text).removeprefix(": "),
            code=code,
            execution=Execution(fields["execution"]),
            retry_after_ms=fields["retry_after_ms"],
        )
    except (DecodeError, KeyError, TypeError, ValueError):
        return EbonyshoreError(f"unexpected response with HTTP status {status}")
