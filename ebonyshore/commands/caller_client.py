"""Client of the callers' HTTP interface, for the command line."""

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

    :param url: callers' URL of the entry.
    :param bearer_token: the API key; anonymous if empty.
    """

    def stream_chat(
        self, model: str, prompt: str, max_tokens: int, **headers: str
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
        """Upload a JSONL file and create a job of it; return the job."""
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
    raise RefusedError("the stream has no end mark", code=ResultCode.STREAM_BROKEN)


def _event_text(data: bytes) -> str:
    if "error" in decode(data):
        raise error_from_response(data, HTTP_OK)
    return decode_event(data).text()
