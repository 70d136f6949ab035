"""Commands on batch jobs; they talk to an entry's HTTP API as any caller does."""

from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlsplit

import typer
from msgspec import DecodeError
from msgspec.json import decode, encode
from werkzeug.datastructures import FileStorage
from werkzeug.test import encode_multipart

from ebonyshore.clock import MS_PER_S, Clock, SystemClock
from ebonyshore.errors import EbonyshoreError
from ebonyshore.result_codes import Execution, ResultCode

CALL_TIMEOUT_MS = 60_000
POLL_INTERVAL_MS = 1_000
FINAL_STATES = frozenset({"completed", "cancelled", "expired"})

job_app = typer.Typer(no_args_is_help=True, help="Submit, watch and cancel batch jobs.")

Entry = Annotated[str, typer.Option("--entry", envvar="EBONYSHORE_ENTRY", help="URL of an entry")]
ApiKey = Annotated[str, typer.Option("--api-key", envvar="EBONYSHORE_API_KEY")]
JobId = Annotated[str, typer.Argument(help="id of the job")]
AsJson = Annotated[bool, typer.Option("--json", help="print the job as JSON")]


class JobClient:
    """Calls one entry.

    :param url: base URL of the entry.
    :raises EbonyshoreError: from every method, with the code that the entry answered.
    """

    def __init__(self, url: str, api_key: str) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._api_key = api_key

    def submit(
        self, path: Path, endpoint: str, window: str, idempotency_key: str
    ) -> dict[str, Any]:
        """Upload a file and create a job of it."""
        with path.open("rb") as file:
            boundary, body = encode_multipart(
                {"purpose": "batch", "file": FileStorage(file, path.name)}
            )
        content_type = f"multipart/form-data; boundary={boundary}"
        upload = self.call("POST", "/v1/files", body, {"Content-Type": content_type})
        fields = {
            "input_file_id": upload["id"],
            "endpoint": endpoint,
            "completion_window": window,
        }
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        return self.call("POST", "/v1/batches", encode(fields), headers)

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Any:
        """Return the JSON answer of a call."""
        return decode(self.read(method, path, body, headers))

    def read(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> bytes:
        """Return the answer of a call."""
        connection = HTTPConnection(self._host, self._port, timeout=CALL_TIMEOUT_MS / MS_PER_S)
        try:
            all_headers = {"Authorization": f"Bearer {self._api_key}", **(headers or {})}
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, HTTPException) as error:
            raise EbonyshoreError(
                f"{self._host}:{self._port} does not answer: {error}", code=ResultCode.NOT_READY
            ) from error
        finally:
            connection.close()
        if response.status != 200:
            raise _error_from(data, response.status)
        return data


@job_app.command("submit")
def submit(
    path: Annotated[Path, typer.Argument(help="a JSONL file", exists=True, dir_okay=False)],
    entry: Entry,
    api_key: ApiKey = "",
    endpoint: Annotated[str, typer.Option(help="url of the items")] = "/v1/chat/completions",
    window: Annotated[str, typer.Option(help="time to complete, such as 90m or 24h")] = "24h",
    key: Annotated[str, typer.Option(help="idempotency key; a resend needs the same one")] = "",
    wait: Annotated[bool, typer.Option(help="wait until the job has ended")] = False,
    as_json: AsJson = False,
) -> None:
    """Upload a file and submit it as a job."""
    client = JobClient(entry, api_key)
    job = client.submit(path, endpoint, window, key)
    _show(_wait(client, job, SystemClock(), as_json) if wait else job, as_json)


@job_app.command("status")
def status(
    job_id: JobId,
    entry: Entry,
    api_key: ApiKey = "",
    wait: Annotated[bool, typer.Option(help="wait until the job has ended")] = False,
    as_json: AsJson = False,
) -> None:
    """Show the state of a job."""
    client = JobClient(entry, api_key)
    job = client.call("GET", f"/v1/batches/{job_id}")
    _show(_wait(client, job, SystemClock(), as_json) if wait else job, as_json)


@job_app.command("results")
def results(
    job_id: JobId,
    entry: Entry,
    api_key: ApiKey = "",
    errors: Annotated[bool, typer.Option(help="the failed items instead")] = False,
) -> None:
    """Print the results, one JSON object a line."""
    suffix = "errors" if errors else "output"
    data = JobClient(entry, api_key).read("GET", f"/v1/files/{job_id}-{suffix}/content")
    typer.echo(data, nl=False)


@job_app.command("cancel")
def cancel(job_id: JobId, entry: Entry, api_key: ApiKey = "", as_json: AsJson = False) -> None:
    """Cancel a job; items that are done keep their results."""
    _show(JobClient(entry, api_key).call("POST", f"/v1/batches/{job_id}/cancel"), as_json)


def progress_line(job: dict[str, Any]) -> str:
    """Return the state of a job in one line."""
    counts = job["request_counts"]
    done = counts["completed"] + counts["failed"]
    return f"{job['id']} {job['status']}: {done}/{counts['total']} done, {counts['failed']} failed"


def _wait(client: JobClient, job: dict[str, Any], clock: Clock, as_json: bool) -> dict[str, Any]:
    last_line = ""
    while job["status"] not in FINAL_STATES:
        line = progress_line(job)
        if line != last_line and not as_json:
            typer.echo(line, err=True)
        last_line = line
        clock.sleep_ms(POLL_INTERVAL_MS)
        try:
            job = client.call("GET", f"/v1/batches/{job['id']}")
        except EbonyshoreError as error:
            if error.retry_after_ms is None and error.code is not ResultCode.STORE_UNAVAILABLE:
                raise
    return job


def _show(job: dict[str, Any], as_json: bool) -> None:
    typer.echo(encode(job).decode() if as_json else progress_line(job))


def _error_from(data: bytes, status: int) -> EbonyshoreError:
    try:
        fields = decode(data)["error"]
        return EbonyshoreError(
            fields["message"],
            code=ResultCode(fields["code"]),
            execution=Execution(fields["execution"]),
            retry_after_ms=fields["retry_after_ms"],
        )
    except (DecodeError, KeyError, TypeError, ValueError):
        return EbonyshoreError(f"status {status}")
