"""Client of the admin HTTP interface."""

from http.client import HTTPConnection, HTTPException
from urllib.parse import urlsplit

from msgspec import DecodeError
from msgspec.json import decode, encode

from ebonyshore.clock import MS_PER_S
from ebonyshore.errors import EbonyshoreError
from ebonyshore.result_codes import RESULT_INFO, Execution, ResultCode

DEFAULT_TIMEOUT_MS = 30_000


class AdminClient:
    """Calls one process.

    :param url: base URL of its admin interface.
    :param operator_token: bearer token.
    """

    def __init__(self, url: str, operator_token: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        self.url = url
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._token = operator_token
        self._timeout_ms = timeout_ms

    def get(self, path: str) -> object:
        """Return the JSON answer to a GET.

        :raises EbonyshoreError: with the code that the process answered.
        """
        return self._call("GET", path, None)

    def post(self, path: str, value: object) -> object:
        """Return the JSON answer to a POST; errors as for :meth:`get`."""
        return self._call("POST", path, encode(value))

    def _call(self, method: str, path: str, body: bytes | None) -> object:
        connection = HTTPConnection(self._host, self._port, timeout=self._timeout_ms / MS_PER_S)
        try:
            headers = {"Authorization": f"Bearer {self._token}"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, HTTPException) as error:
            raise EbonyshoreError(
                f"{self._host}:{self._port} does not answer: {error}", code=ResultCode.NOT_READY
            ) from error
        finally:
            connection.close()
        if response.status != 200:
            raise error_from_answer(data, response.status)
        return decode(data)


def error_from_answer(data: bytes, status: int) -> EbonyshoreError:
    """Return the error that an HTTP answer reports.

    :param data: body of the answer, or a stream event.
    """
    try:
        fields = decode(data)["error"]
        return EbonyshoreError(
            _without_text(fields["message"], ResultCode(fields["code"])),
            code=ResultCode(fields["code"]),
            execution=Execution(fields["execution"]),
            retry_after_ms=fields["retry_after_ms"],
        )
    except (DecodeError, KeyError, TypeError, ValueError):
        return EbonyshoreError(f"status {status}")


def _without_text(message: str, code: ResultCode) -> str:
    """Return the detail of a message, which begins with the code's text."""
    return message.removeprefix(RESULT_INFO[code].text).removeprefix(": ")
