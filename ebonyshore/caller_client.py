"""Client of the callers' HTTP interface, for the command line."""

from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from urllib.parse import urlsplit

from msgspec.json import decode, encode

from ebonyshore.admin_client import error_from_answer
from ebonyshore.clock import MS_PER_S
from ebonyshore.errors import RefusedError
from ebonyshore.openai_api import CHAT_PATH, decode_event
from ebonyshore.result_codes import Execution, ResultCode

DATA_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"
HTTP_OK = 200


class CallerClient:
    """Sends online requests to one entry.

    :param url: callers' URL of the entry.
    :param api_key: bearer token; anonymous if empty.
    :param timeout_ms: longest silence.
    """

    def __init__(self, url: str, api_key: str, timeout_ms: int = 60_000) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._headers = {"Authorization": f"Bearer {api_key}"} if api_key else {}
        self._timeout_ms = timeout_ms

    def stream_chat(
        self, model: str, prompt: str, max_tokens: int, headers: dict[str, str]
    ) -> Iterator[str]:
        """Yield the text of an answer as it is generated.

        :raises EbonyshoreError: with the code that the entry answered; the answer is not whole.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        connection = HTTPConnection(self._host, self._port, timeout=self._timeout_ms / MS_PER_S)
        try:
            connection.request("POST", CHAT_PATH, encode(body), {**self._headers, **headers})
            response = connection.getresponse()
            if response.status != HTTP_OK:
                raise error_from_answer(response.read(), response.status)
            yield from _read_events(response)
        except (OSError, HTTPException) as error:
            raise RefusedError(
                f"{self._host}:{self._port}: {error}",
                code=ResultCode.STREAM_BROKEN,
                execution=Execution.MAYBE_RUN,
            ) from error
        finally:
            connection.close()


def _read_events(response: HTTPResponse) -> Iterator[str]:
    while line := response.readline():
        data = line.removeprefix(DATA_PREFIX).strip()
        if data == DONE_EVENT:
            return
        if data and line.startswith(DATA_PREFIX):
            yield _event_text(data)
    raise RefusedError("the stream has no end mark", code=ResultCode.STREAM_BROKEN)


def _event_text(data: bytes) -> str:
    if "error" in decode(data):
        raise error_from_answer(data, HTTP_OK)
    return decode_event(data).text()
