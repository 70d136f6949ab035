"""JSON bodies of batch jobs, of their results and of the status of a retirement."""

from typing import Annotated

from msgspec import Meta, Struct, field
from msgspec.json import decode, encode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.host.job_types import ItemRecord, JobSubmission, ResultPage
from ebonyshore.platform.wire_names import STATE_COMPLETE, STATE_RUNNING

MAX_TOKENS = 10**12  # of one item


class _JobItem(Struct):
    item_id: str = field(name="Id")
    path: str = field(name="Path")
    body: bytes = field(default=b"", name="Body")
    headers: dict[str, str] = field(default_factory=dict, name="Headers")
    # Tokens of the prompt plus the maximum number of output tokens.
    tokens: Annotated[int, Meta(ge=0, le=MAX_TOKENS)] = field(default=0, name="TokenCount")


class _Submission(Struct):
    items: list[_JobItem] = field(name="Items")


class _Result(Struct):
    item_id: str = field(name="Id")
    state: str = field(name="State")
    data: str = field(name="Data")


class _ResultPage(Struct):
    total: int = field(name="Total")
    next_position: int = field(name="Next")
    results: list[_Result] = field(name="Results")


def decode_submission(body: bytes) -> JobSubmission:
    """Decode the batch job in the body of a request.

    :param body: the job as JSON; the bodies of its items are Base64.
    :raises ValueError: if the body is not a valid job or two items have the same id.
    """
    try:
        submission = decode(body, type=_Submission)
    except DECODING_ERRORS as error:
        raise ValueError(f"invalid job: {error}") from error
    items = tuple(
        ItemRecord(item.item_id, item.path, tuple(item.headers.items()), item.body, item.tokens)
        for item in submission.items
    )
    if len({item.item_id for item in items}) != len(items):
        raise ValueError("invalid job: item ids are not unique")
    return JobSubmission(items)


def encode_results(page: ResultPage) -> bytes:
    """Encode a page of results as the body of a response."""
    results = [
        _Result(result.item_id, "complete" if result.is_complete else "dead_lettered", result.data)
        for result in page.results
    ]
    return encode(_ResultPage(page.total, page.next_position, results))


def encode_retirement_status(is_complete: bool) -> bytes:
    """Encode the status of a retirement, the request that an instance hands over all its jobs.

    :param is_complete: whether the instance has handed over its jobs.
    """
    return encode({"State": STATE_COMPLETE if is_complete else STATE_RUNNING})
