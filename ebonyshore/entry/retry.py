"""Retry policy: what follows a failed attempt, and the retry budget of an entry. No I/O.

Times are monotonic, in milliseconds, and passed in.
"""

from enum import Enum

from msgspec import Struct

from ebonyshore.frame.errors import RefusedError
from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode

RETRY_AFTER_MS = 1_000  # for retryable errors that name no retry time themselves
BUDGET_WINDOW_MS = 10_000  # two halves, see RetryBudget
FREE_RETRIES_PER_WINDOW = 3.0
# The dispatch named outdated settings or an ended run of the agent. The target stays eligible, and
# the entry tries again after a short wait for newer settings.
STALE_CODES = (ResultCode.STALE_SETTINGS, ResultCode.STALE_INCARNATION)
# An agent that is starting or stopping refuses at once without doing any work. Such a redirect to
# another target counts neither as an attempt nor against the retry budget; otherwise a rolling
# restart would exhaust both.
REDIRECT_CODES = (ResultCode.LEAVING, ResultCode.NOT_READY, ResultCode.NO_TARGET)
NON_RETRYABLE_CODES = (
    ResultCode.CONVICTED,
    ResultCode.CANCELLED,
    ResultCode.DEADLINE_EXCEEDED,
    ResultCode.DEADLINE_UNREACHABLE,
)


class NextStep(Enum):
    """What to do after a failed attempt.

    ``GIVE_UP``: report the error. ``RESTART``: run the request again from the beginning.
    ``RESUME``: let another target continue the partial answer.
    """

    GIVE_UP = "give_up"
    RESTART = "restart"
    RESUME = "resume"


class AttemptState(Struct, frozen=True):
    """The outcome of a failed attempt.

    :param code: result code of the failure.
    :param execution: whether the target ran the request.
    :param is_repeatable: whether the caller allows the request to run more than once.
    :param has_output: whether the caller may have received a part of the answer.
    :param can_resume: whether another target can continue the partial answer.
    """

    code: ResultCode
    execution: Execution
    is_repeatable: bool
    has_output: bool
    can_resume: bool


def next_step(state: AttemptState) -> NextStep:
    """Return how to continue after a failed attempt.

    A request that must not be repeated is attempted again only if it certainly did not run.
    """
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
    """Limits retries to a ratio of the requests; not synchronized.

    Requests and retries are counted in the current and the previous half of a window of
    :data:`BUDGET_WINDOW_MS`. In each window, :data:`FREE_RETRIES_PER_WINDOW` retries are allowed
    whatever the number of requests, so that an entry with little traffic can retry at all.
    """

    __slots__ = ("_half_index", "_requests", "_retries")

    def __init__(self) -> None:
        self._half_index = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def record_request(self, now_ms: float) -> None:
        """Count a new request, whatever its outcome."""
        self._advance(now_ms)
        self._requests[1] += 1

    def try_retry(self, ratio: float, now_ms: float) -> bool:
        """Count a retry if the budget allows one.

        :param ratio: allowed retries per request, from the settings.
        :return: whether the retry is allowed.
        """
        self._advance(now_ms)
        allowed = FREE_RETRIES_PER_WINDOW + ratio * sum(self._requests)
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[1] += 1
        return True

    def _advance(self, now_ms: float) -> None:
        """Start a new half of the window if the current one has ended."""
        half_index = int(now_ms // (BUDGET_WINDOW_MS / 2))
        elapsed_halves = half_index - self._half_index
        if elapsed_halves <= 0:
            return
        self._half_index = half_index
        self._requests = [self._requests[1], 0] if elapsed_halves == 1 else [0, 0]
        self._retries = [self._retries[1], 0] if elapsed_halves == 1 else [0, 0]


def error_for_caller(error: RefusedError, is_repeatable: bool, has_key: bool) -> RefusedError:
    """Return the error to send to the caller, with a retry time if a retry is safe and useful.

    A request that may have run and must not be repeated can be retried safely only with an
    idempotency key; without one, the error gets no ``Retry-After``.

    :param is_repeatable: whether the caller allows the request to run more than once.
    :param has_key: whether the request has an idempotency key.
    """
    may_have_run = error.execution is not Execution.NOT_RUN
    if may_have_run and not is_repeatable and not has_key:
        return RefusedError(error.detail, code=error.code, execution=error.execution)
    is_retryable = RESULT_INFO[error.code].is_retryable
    retry_after_ms = error.retry_after_ms or (RETRY_AFTER_MS if is_retryable else None)
    return RefusedError(
        error.detail, code=error.code, execution=error.execution, retry_after_ms=retry_after_ms
    )
