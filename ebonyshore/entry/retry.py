"""What follows a failed attempt, and how many retries an entry may send. Pure."""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode

RETRY_AFTER_MS = 1_000
BUDGET_WINDOW_MS = 10_000
MIN_BUDGET_RETRIES = 3.0
STALE_CODES = (ResultCode.STALE_SETTINGS, ResultCode.STALE_INCARNATION)
# An agent that starts or stops says so at once and does no work, so going elsewhere costs no budget
# and no attempt; otherwise a rolling restart would use them up.
REDIRECT_CODES = (ResultCode.LEAVING, ResultCode.NOT_READY, ResultCode.NO_TARGET)
NON_RETRYABLE_CODES = (
    ResultCode.CONVICTED,
    ResultCode.CANCELLED,
    ResultCode.DEADLINE_EXCEEDED,
    ResultCode.DEADLINE_UNREACHABLE,
)


class NextStep(Enum):
    """What to do after a failed attempt."""

    GIVE_UP = "give_up"
    RESTART = "restart"
    RESUME = "resume"


class AttemptState(Struct, frozen=True):
    """A failed attempt.

    :param has_output: whether the caller may have seen a part of the answer.
    :param can_resume: whether the answer so far can be continued by another target.
    """

    code: ResultCode
    execution: Execution
    is_repeatable: bool
    has_output: bool
    can_resume: bool


def next_step(state: AttemptState) -> NextStep:
    """Return what may follow; a request that must not be repeated runs again only if it did not."""
    if state.code in NON_RETRYABLE_CODES:
        return NextStep.GIVE_UP
    if state.execution is not Execution.NOT_RUN and not state.is_repeatable:
        return NextStep.GIVE_UP
    if not state.has_output:
        return NextStep.RESTART
    if state.is_repeatable and state.can_resume:
        return NextStep.RESUME
    return NextStep.GIVE_UP


class RetryBudget:
    """Limits retries to a share of the requests, over a sliding window of two halves.

    :data:`MIN_BUDGET_RETRIES` in each window are free, so that an entry with little traffic can
    retry at all.
    """

    __slots__ = ("_half", "_requests", "_retries")

    def __init__(self) -> None:
        self._half = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def record_request(self, now_ms: float) -> None:
        """Count a request, whatever becomes of it."""
        self._advance(now_ms)
        self._requests[1] += 1

    def try_retry(self, ratio: float, now_ms: float) -> bool:
        """Count a retry if the budget allows one.

        :param ratio: retries allowed as a share of requests.
        """
        self._advance(now_ms)
        allowed = MIN_BUDGET_RETRIES + ratio * sum(self._requests)
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[1] += 1
        return True

    def _advance(self, now_ms: float) -> None:
        half = int(now_ms // (BUDGET_WINDOW_MS / 2))
        passed = half - self._half
        if passed <= 0:
            return
        self._half = half
        self._requests = [self._requests[1], 0] if passed == 1 else [0, 0]
        self._retries = [self._retries[1], 0] if passed == 1 else [0, 0]


def error_for_caller(error: RefusedError, is_repeatable: bool, has_key: bool) -> RefusedError:
    """Return the error as the caller gets it: with ``Retry-After`` if a repeat is safe and useful.

    A request that may have run and must not be repeated is safe to send again only under its key.
    """
    may_have_run = error.execution is not Execution.NOT_RUN
    if may_have_run and not is_repeatable and not has_key:
        return RefusedError(error.detail, code=error.code, execution=error.execution)
    is_retryable = RESULT_INFO[error.code].is_retryable
    retry_after_ms = error.retry_after_ms or (RETRY_AFTER_MS if is_retryable else None)
    return RefusedError(
        error.detail, code=error.code, execution=error.execution, retry_after_ms=retry_after_ms
    )
