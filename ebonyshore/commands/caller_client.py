"""Client of the HTTP interface for callers, for the command line."""

from collections.abc import Iterator
from http.client import HTTPException, HTTPResponse
from pathlib import Path
from typing import Any

from msgspec.json import decode, encode
from werkzeug.datastructures import FileStorage
from werkzeug.test import encode_multipart

from ebonyshore.commands.api_client import HTTP_OK, ApiClient, error_from_response
from ebonyshore.entry.openai_api import CHAT_PATH, decode_event
from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import Execution, ResultCode

DATA_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"


class CallerClient(ApiClient):
    """Sends requests and jobs to one entry.

    :param url: base URL of the entry's interface for callers.
    :param bearer_token: API key of the caller; if it is empty, calls are anonymous.
    """

    def stream_chat(
        self, model: str, prompt: str, max_tokens: int, **headers: str
    ) -> Iterator[str]:
        """Send a chat request and yield the parts of the generated text as they arrive.

        :param prompt: message of the user.
        :param headers: additional headers, whose names are written with ``_`` in place of ``-``.
        :raises EbonyshoreError: with the result code of the entry, with ``NOT_READY`` if it refuses
            the connection, or with ``STREAM_BROKEN`` if the connection fails in another way or the
            stream ends early. The text yielded so far is incomplete.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        connection = self.make_connection()
        try:
            connection.request("POST", CHAT_PATH, encode(body), self.make_headers(**headers))
            response = connection.getresponse()
            if response.status != HTTP_OK:
                raise error_from_response(response.read(), response.status)
            yield from _read_event_texts(response)
        except ConnectionRefusedError as error:
            raise self.make_no_answer_error(error) from error
        except (OSError, HTTPException) as error:
            raise RefusedError(
                f"{self.url}: {error}",
                code=ResultCode.STREAM_BROKEN,
                execution=Execution.MAYBE_RUN,
            ) from error
        finally:
            connection.close()

    def submit_job(
        self, path: Path, endpoint: str, window: str, idempotency_key: str
    ) -> dict[str, Any]:
        """Upload a JSONL file, create a batch job from it and return the job object.

        :param endpoint: path that all items of the file call, such as ``/v1/chat/completions``.
        :param window: time limit for the job, such as ``90m`` or ``24h``.
        :param idempotency_key: a resend with the same key creates no second job; may be empty.
        :raises OSError: if the file cannot be read.
        :raises EbonyshoreError: as for :meth:`ApiClient.call_raw`.
        """
        with path.open("rb") as file:
            fields = {"purpose": "batch", "file": FileStorage(file, path.name)}
            boundary, body = encode_multipart(fields)
        content_type = f"multipart/form-data; boundary={boundary}"
        upload = self.call("POST", "/v1/files", body, Content_Type=content_type)
        job = {
            "input_file_id": upload["id"],
            "endpoint": endpoint,
            "completion_window": window,
        }
        headers = {"Idempotency_Key": idempotency_key} if idempotency_key else {}
        return self.call("POST", "/v1/batches", encode(job), **headers)


def _read_event_texts(response: HTTPResponse) -> Iterator[str]:
    while line := response.readline():
        data = line.removeprefix(DATA_PREFIX).strip()
        if data == DONE_EVENT:
            return
        if data and line.startswith(DATA_PREFIX):
            yield _event_text(data)
    raise RefusedError("event stream ended without [DONE]", code=ResultCode.STREAM_BROKEN)


def _event_text(data: bytes) -> str:
    if "error" in decode(data):
        raise error_from_response(data, HTTP_OK)
    return decode_event(data).text()
