"""Items of a shard as they wait, and the outcomes of those that can never be done. Pure."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.batch.job_files import BatchItem, parse_item
from ebonyshore.batch.jobs import ItemOutcome
from ebonyshore.entry.openai_api import AnswerAssembler, GenerationRequest, parse_generation
from ebonyshore.frame.errors import EbonyshoreError, RequestError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Finished

# JSON escapes can make a value longer; a segment must stay below the store's limit of 1 MB.
MAX_ANSWER_BYTES = 600_000
HTTP_OK = 200


@dataclass(slots=True)
class PendingItem:
    """An item without an outcome.

    :param attempts: dispatches that failed; refused ones do not count.
    :param losses: dispatches that ended because the agent was lost.
    :param refusals: refused dispatches since the last one that ran.
    :param is_suspect: whether a target was lost while it ran the item.
    :param resume_text: text that a preempted run has generated, to be continued.
    :param not_before_ms: monotonic time before which the item is not dispatched.
    :param copies: dispatches of the item that are with agents.
    :param is_done: whether it has its outcome.
    """

    number: int
    custom_id: str
    request: GenerationRequest
    attempts: int = 0
    refusals: int = 0
    agent_losses: int = 0
    is_suspect: bool = False
    resume_text: str = ""
    not_before_ms: float = 0.0
    in_flight_count: int = 0
    is_done: bool = False


class ItemRules(Struct, frozen=True):
    """What an item must comply with.

    :param endpoint: the only url allowed.
    :param duplicates: items whose custom_id an earlier line has.
    :param check: raises :class:`RequestError` for a request that the settings do not allow.
    """

    endpoint: str
    duplicate_items: frozenset[int]
    check_request: Callable[[GenerationRequest], None]


def parse_items(
    lines: Iterable[tuple[int, bytes]], rules: ItemRules
) -> tuple[list[PendingItem], list[ItemOutcome]]:
    """Return the items that can be run, and the failed outcomes of the others."""
    pending = []
    failed = []
    for item, line in lines:
        custom_id = f"line-{item}"
        try:
            batch_item = parse_item(line)
            custom_id = batch_item.custom_id
            pending.append(PendingItem(item, custom_id, _checked_request(item, batch_item, rules)))
        except RequestError as error:
            failed.append(ItemOutcome(item, custom_id, error.code, detail=str(error), attempts=0))
    return pending, failed


def assemble_answer(request: GenerationRequest, resume_text: str, data: list[bytes], end: Finished):
    """Return the whole answer as JSON text.

    :param resume_text: text that the target was asked to continue.
    :raises TargetError: if the answer is not complete.
    """
    assembler = AnswerAssembler(request)
    if resume_text:
        assembler.add(encode({"choices": [{"text": resume_text}]}))
    for chunk in data:
        assembler.add(chunk)
    body = assembler.answer(end.usage)
    if len(encode(body.decode())) > MAX_ANSWER_BYTES:
        raise EbonyshoreError(f"{len(body)} bytes", code=ResultCode.REQUEST_TOO_LARGE)
    return body.decode()


def _checked_request(item: int, batch_item: BatchItem, rules: ItemRules) -> GenerationRequest:
    if item in rules.duplicate_items:
        raise RequestError(f"custom_id: {batch_item.custom_id!r} is on an earlier line")
    if batch_item.method != "POST":
        raise RequestError(f"method: found {batch_item.method!r}; allowed: POST")
    if batch_item.url != rules.endpoint:
        raise RequestError(f"url: found {batch_item.url!r}; allowed: {rules.endpoint}")
    request = parse_generation(batch_item.url, encode(batch_item.body))
    rules.check_request(request)
    return request
