"""Decodes submitted jobs and encodes listed results."""

from msgspec import Struct, ValidationError, field
from msgspec.json import decode, encode

from ebonyshore.host.job_types import ItemRecord, JobSubmission, ResultPage
from ebonyshore.platform.wire_names import STATE_COMPLETE, STATE_RUNNING


class _Item(Struct):
    item_id: str = field(name="Id")
    path: str = field(name="Path")
    body: bytes = field(default=b"", name="Body")
    headers: dict[str, str] = field(default_factory=dict, name="Headers")
    # Tokens of the prompt and of the longest output together.
    tokens: int = field(default=0, name="TokenCount")


class _Submission(Struct):
    items: list[_Item] = field(name="Items")


class _Result(Struct):
    item_id: str = field(name="Id")
    state: str = field(name="State")
    data: str = field(name="Data")


class _Page(Struct):
    total: int = field(name="Total")
    next_position: int = field(name="Next")
    results: list[_Result] = field(name="Results")


def decode_submission(body: bytes) -> JobSubmission:
    """Return the job in a request's body.

    :raises ValueError: if it is not one.
    """
    try:
        submission = decode(body, type=_Submission)
    except ValidationError as error:
        raise ValueError(f"job: {error}") from error
    items = tuple(
        ItemRecord(item.item_id, item.path, tuple(item.headers.items()), item.body, item.tokens)
        for item in submission.items
    )
    if len({item.item_id for item in items}) != len(items):
        raise ValueError("job: two items have one id")
    return JobSubmission(items)


def encode_results(page: ResultPage) -> bytes:
    """Return the body that lists results."""
    results = [
        _Result(result.item_id, "complete" if result.is_complete else "dead_lettered", result.data)
        for result in page.results
    ]
    return encode(_Page(page.total, page.next_position, results))


def encode_retirement_status(is_complete: bool) -> bytes:
    """Return the status of a request to empty an instance."""
    return encode({"State": STATE_COMPLETE if is_complete else STATE_RUNNING})
