"""Commands on batch jobs. They use the HTTP API of an entry for callers."""

from pathlib import Path
from typing import Annotated, Any

import typer
from msgspec.json import encode

from ebonyshore.commands.caller_client import CallerClient
from ebonyshore.commands.cli_options import ApiKey, AsJson, EntryUrl
from ebonyshore.frame.clock import Clock, SystemClock
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode

POLL_INTERVAL_MS = 1_000
FINAL_STATES = frozenset({"completed", "cancelled", "expired"})

job_app = typer.Typer(no_args_is_help=True, help="Submit, watch and cancel batch jobs.")

JobId = Annotated[str, typer.Argument(help="Id of the job.")]


@job_app.command("submit")
def submit(
    path: Annotated[
        Path, typer.Argument(help="JSONL file with the items.", exists=True, dir_okay=False)
    ],
    entry: EntryUrl,
    api_key: ApiKey = "",
    endpoint: Annotated[
        str, typer.Option(help="Path that the items call.")
    ] = "/v1/chat/completions",
    window: Annotated[str, typer.Option(help="Time limit, such as 90m or 24h.")] = "24h",
    key: Annotated[str, typer.Option(help="Idempotency key; use the same one to resend.")] = "",
    wait: Annotated[bool, typer.Option(help="Wait until the job has ended.")] = False,
    as_json: AsJson = False,
) -> None:
    """Upload a file and create a batch job from it."""
    client = CallerClient(entry, api_key)
    job = client.submit_job(path, endpoint, window, key)
    _print_job(_wait_until_ended(client, job, SystemClock(), as_json) if wait else job, as_json)


@job_app.command("status")
def status(
    job_id: JobId,
    entry: EntryUrl,
    api_key: ApiKey = "",
    wait: Annotated[bool, typer.Option(help="Wait until the job has ended.")] = False,
    as_json: AsJson = False,
) -> None:
    """Show the state of a job."""
    client = CallerClient(entry, api_key)
    job = client.call("GET", f"/v1/batches/{job_id}")
    _print_job(_wait_until_ended(client, job, SystemClock(), as_json) if wait else job, as_json)


@job_app.command("results")
def results(
    job_id: JobId,
    entry: EntryUrl,
    api_key: ApiKey = "",
    errors: Annotated[bool, typer.Option(help="Print the failed items instead.")] = False,
) -> None:
    """Print the results of a job, one JSON object per line."""
    suffix = "errors" if errors else "output"
    data = CallerClient(entry, api_key).call_raw("GET", f"/v1/files/{job_id}-{suffix}/content")
    typer.echo(data, nl=False)


@job_app.command("cancel")
def cancel(job_id: JobId, entry: EntryUrl, api_key: ApiKey = "", as_json: AsJson = False) -> None:
    """Cancel a job; the results of completed items are kept."""
    _print_job(CallerClient(entry, api_key).call("POST", f"/v1/batches/{job_id}/cancel"), as_json)


def format_progress(job: dict[str, Any]) -> str:
    """Return a one-line summary of a job object."""
    counts = job["request_counts"]
    done = counts["completed"] + counts["failed"]
    return f"{job['id']} {job['status']}: {done}/{counts['total']} done, {counts['failed']} failed"


def _wait_until_ended(
    client: CallerClient, job: dict[str, Any], clock: Clock, as_json: bool
) -> dict[str, Any]:
    """Poll a job until its state is final; return the last job object.

    Errors that carry a retry time, and an unavailable store, are temporary and do not end the wait.
    """
    last_line = ""
    while job["status"] not in FINAL_STATES:
        line = format_progress(job)
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


def _print_job(job: dict[str, Any], as_json: bool) -> None:
    typer.echo(encode(job).decode() if as_json else format_progress(job))
