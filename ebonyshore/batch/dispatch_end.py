"""Decides what the end of a dispatch means for its item: a result, a failure or a retry. No I/O."""

from dataclasses import dataclass, field

from msgspec import Struct

from ebonyshore.batch.batch_items import HTTP_OK, PendingItem, assemble_answer
from ebonyshore.batch.jobs import ItemOutcome
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Failed, FinalMessage, Finished, Refused

MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0
MAX_DETAIL_LENGTH = 1_000  # characters
# An item rarely causes the loss of an agent, so only every third loss counts as a failed attempt.
AGENT_LOSSES_PER_ATTEMPT = 3
# The system itself ended the run, so it does not count as a failed attempt.
_UNCOUNTED_CODES = frozenset({ResultCode.PREEMPTED, ResultCode.CANCELLED})
_RESUMABLE_CODES = _UNCOUNTED_CODES
_SUSPECT_CODES = frozenset({ResultCode.TARGET_CRASHED, ResultCode.AGENT_LOST})


@dataclass(slots=True)
class InFlightDispatch:
    """A dispatch whose final message has not arrived yet.

    :param sent_ms: monotonic time at which it was sent.
    :param resume_text: earlier generated text that the target was asked to continue.
    :param data: chunks of the answer so far.
    :param is_cancelled: whether its cancellation was requested.
    """

    pending_item: PendingItem
    target_id: str
    sent_ms: float
    resume_text: str
    data: list[bytes] = field(default_factory=list)
    is_cancelled: bool = False


class Retry(Struct, frozen=True):
    """The item has to be dispatched again.

    :param not_before_ms: monotonic time before which that must not happen.
    """

    not_before_ms: float


def evaluate_end(
    dispatch: InFlightDispatch, message: FinalMessage, now_ms: float, max_attempts: int
) -> ItemOutcome | Retry:
    """Return what the final message of a dispatch means for its item.

    The attempts, refusals and suspicion of the item are updated.

    :param max_attempts: failed attempts after which the item itself has failed.
    """
    item = dispatch.pending_item
    if isinstance(message, Finished):
        return _evaluate_finished(dispatch, message, now_ms, max_attempts)
    if isinstance(message, Refused):
        return _evaluate_refused(item, message, now_ms)
    return _evaluate_failed(item, message, now_ms, max_attempts)


def _evaluate_finished(
    dispatch: InFlightDispatch, message: Finished, now_ms: float, max_attempts: int
) -> ItemOutcome | Retry:
    item = dispatch.pending_item
    if message.http_status != HTTP_OK:
        return _evaluate_error_status(dispatch, message, now_ms, max_attempts)
    try:
        body = assemble_answer(item.request, dispatch.resume_text, dispatch.data, message)
    except EbonyshoreError as error:
        return _count_failed_attempt(item, error.code, str(error), now_ms, max_attempts)
    return _outcome(item, ResultCode.OK, item.attempts + 1, "", message.http_status, body)


def _evaluate_error_status(
    dispatch: InFlightDispatch, message: Finished, now_ms: float, max_attempts: int
) -> ItemOutcome | Retry:
    """Fail the item on a 4xx status other than 429; otherwise count a failed attempt."""
    item = dispatch.pending_item
    code, status = ResultCode.TARGET_ERROR, message.http_status
    text = b"".join(dispatch.data).decode(errors="replace")
    detail = f"status {status}: {text}"[:MAX_DETAIL_LENGTH]
    if 400 <= status < 500 and status != 429:
        return _outcome(item, code, item.attempts + 1, detail, status)
    return _count_failed_attempt(item, code, detail, now_ms, max_attempts)


def _evaluate_refused(item: PendingItem, message: Refused, now_ms: float) -> ItemOutcome | Retry:
    if message.code is ResultCode.CONVICTED:
        return _outcome(item, message.code, item.attempts, message.detail)
    item.refusals += 1
    backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(item.refusals, 10))
    return Retry(now_ms + max(backoff_ms, float(message.retry_after_ms)))


def _evaluate_failed(
    item: PendingItem, message: Failed, now_ms: float, max_attempts: int
) -> ItemOutcome | Retry:
    item.refusals = 0
    if message.code is ResultCode.CONVICTED:
        return _outcome(item, message.code, item.attempts + 1, message.detail)
    is_agent_loss = message.code is ResultCode.AGENT_LOST
    item.is_suspect = item.is_suspect or message.code in _SUSPECT_CODES
    if message.code in _RESUMABLE_CODES:
        item.resume_text = message.resume_text or item.resume_text
    elif not is_agent_loss:
        item.resume_text = ""
    item.agent_losses += is_agent_loss
    is_uncounted = message.code in _UNCOUNTED_CODES
    if is_uncounted or (is_agent_loss and item.agent_losses % AGENT_LOSSES_PER_ATTEMPT):
        return Retry(now_ms + MIN_BACKOFF_MS)
    return _count_failed_attempt(item, message.code, message.detail, now_ms, max_attempts)


def _count_failed_attempt(
    item: PendingItem, code: ResultCode, detail: str, now_ms: float, max_attempts: int
) -> ItemOutcome | Retry:
    """Retry the item after a backoff, or fail it if its attempts are exhausted."""
    item.attempts += 1
    if item.attempts < max_attempts:
        return Retry(now_ms + MIN_BACKOFF_MS * 2**item.attempts)
    reason = f"last attempt: {code.name}: {detail}"
    return _outcome(item, ResultCode.ATTEMPTS_EXHAUSTED, item.attempts, reason)


def _outcome(
    item: PendingItem,
    code: ResultCode,
    attempts: int,
    detail: str,
    http_status: int = 0,
    body: str = "",
) -> ItemOutcome:
    return ItemOutcome(item.number, item.custom_id, code, http_status, body, detail, attempts)
