"""Calls of a client to the entries of a fleet: streams and batch jobs."""

import base64
import json

from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_standins.fleet_config import BATCH_PREFIX, STREAM_PREFIX
from ebonyshore_standins.fleet_process import FleetProcess

STREAM_DEADLINE_MS = 5_000
PART_TOKENS = 100  # of each part of a prompt


def item_body(number: int) -> bytes:
    """Return the body of the request that runs an item of :func:`job_body`.

    :param number: position of the item in its job.
    """
    return f"body {number}".encode()


ITEM_TOKENS = 10


def job_body(
    job_id: str, items: int, events: int = 6, extra_headers: dict[str, str] | None = None
) -> bytes:
    """Return the request body that submits a job.

    :param items: number of items.
    :param events: number of events that a target generates for each item.
    :param extra_headers: further headers of each item.
    """
    headers = {"Length-Hint": str(events), "Model": "m", **(extra_headers or {})}
    return json.dumps(
        {
            "Items": [
                {
                    "Id": f"{job_id}-{number}",
                    "Path": f"{BATCH_PREFIX}{number}",
                    "Headers": headers,
                    "Body": base64.b64encode(item_body(number)).decode(),
                    "TokenCount": ITEM_TOKENS,
                }
                for number in range(items)
            ]
        }
    ).encode()


def request_stream(
    entry: FleetProcess,
    request_id: str,
    prefix: str = STREAM_PREFIX,
    events: int = 6,
    timeout_s: float = 10.0,
    body: bytes = b"question",
    parts: tuple[str, ...] = (),
    extra_headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Request a stream through an entry.

    :param prefix: path prefix that selects the route.
    :param events: number of events that the target generates.
    :param body: body of the request.
    :param parts: ids of the parts of its prompt.
    :param extra_headers: further header fields.
    :return: HTTP status, headers and body of the response.
    """
    headers = {
        WIRE_NAMES.request_id: request_id,
        WIRE_NAMES.remaining_ms: str(STREAM_DEADLINE_MS),
        "Length-Hint": str(events),
        **(extra_headers or {}),
    }
    if parts:
        headers[WIRE_NAMES.prompt_parts] = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
    return entry.call("POST", f"{prefix}x", headers, body, timeout_s)


def stream_data(body: bytes) -> str:
    """Return the data of all events in a response body, joined by line feeds."""
    lines = body.decode().split("\n")
    return "\n".join(line.removeprefix("data: ") for line in lines if line.startswith("data: "))


def submit_job(
    entry: FleetProcess,
    job_id: str,
    items: int = 6,
    events: int = 6,
    timeout_s: float = 10.0,
    prefix: str = BATCH_PREFIX,
    extra_headers: dict[str, str] | None = None,
) -> int:
    """Submit a job through an entry.

    :param items: number of items.
    :param events: number of events that a target generates for each item.
    :param prefix: path prefix of a batch route.
    :param extra_headers: further headers of each item.
    :return: HTTP status of the response.
    """
    body = job_body(job_id, items, events, extra_headers)
    headers = {WIRE_NAMES.request_id: job_id, "Content-Type": "application/json"}
    return entry.call("POST", f"{prefix}{job_id}", headers, body, timeout_s)[0]


def read_job(
    entry: FleetProcess, job_id: str, first: int = 0, timeout_s: float = 10.0
) -> tuple[int, dict[str, object]]:
    """Read a page of a job's results through an entry.

    :param first: position of the first result.
    :return: HTTP status, and the page; the page is empty unless the status is 200.
    """
    path = f"{WIRE_NAMES.jobs_path}{job_id}?{WIRE_NAMES.results_from}={first}"
    status, _, body = entry.call("GET", path, {WIRE_NAMES.wait_ms: "500"}, timeout_s=timeout_s)
    return status, json.loads(body) if status == 200 else {}


def read_item_body(entry: FleetProcess, job_id: str, item_id: str) -> tuple[int, bytes]:
    """Read the request body of a job's item through an entry.

    :return: HTTP status and body of the response.
    """
    path = f"{WIRE_NAMES.item_bodies_path}{job_id}?{WIRE_NAMES.item_id}={item_id}"
    status, _, body = entry.call("GET", path)
    return status, body


def cancel_job(entry: FleetProcess, job_id: str, timeout_s: float = 10.0) -> int:
    """Cancel a job through an entry.

    :return: HTTP status of the response.
    """
    return entry.call("DELETE", f"{WIRE_NAMES.jobs_path}{job_id}", timeout_s=timeout_s)[0]
