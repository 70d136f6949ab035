"""Numbered result codes, with the text, HTTP status and execution state of each.

Every response other than a plain success carries one of these codes. ``docs/result_codes.md``
documents the same table, and a test keeps the two equal. The numbers fit in the exit status of a
process, so that commands exit with the code itself.
"""

from enum import Enum, IntEnum

from msgspec import Struct


class Execution(Enum):
    """Whether a request ran on a target."""

    NOT_RUN = "not_run"
    MAYBE_RUN = "maybe_run"
    RUN = "run"


class ResultCode(IntEnum):
    """Stable numbers of results.

    0 is success. The other codes are grouped by ranges: 10-19 invalid requests, 30-49 refused
    requests, 50-59 failed or abandoned requests, 70-79 settings, 80-89 coordination and storage,
    99 internal errors.
    """

    OK = 0

    INVALID_REQUEST = 10
    UNAUTHENTICATED = 11
    FORBIDDEN = 12
    UNKNOWN_MODEL = 13
    NOT_FOUND = 14
    IDEMPOTENCY_MISMATCH = 15
    REQUEST_TOO_LARGE = 16
    JOB_NOT_CANCELLABLE = 17
    JOB_ID_IN_USE = 18

    OVERLOADED = 30
    CALLER_LIMIT = 31
    DEADLINE_UNREACHABLE = 32
    NO_TARGET = 33
    STORE_UNAVAILABLE = 34
    LEAVING = 35
    STALE_SETTINGS = 36
    STALE_INCARNATION = 37
    PERMIT_EXPIRED = 38
    RETRY_BUDGET_EXHAUSTED = 39
    CONVICTED = 40
    NOT_READY = 41
    SUSPECT_BUSY = 42
    TARGET_BUSY = 43
    QUOTA_EXHAUSTED = 44
    STREAM_ORIGIN_UNKNOWN = 45
    CONFIG_UNCONFIRMED = 46
    SHARE_EXCEEDED = 47

    TARGET_CRASHED = 50
    STREAM_BROKEN = 51
    DEADLINE_EXCEEDED = 52
    OUTCOME_UNKNOWN = 53
    CANCELLED = 54
    TARGET_ERROR = 55
    AGENT_LOST = 56
    ATTEMPTS_EXHAUSTED = 57
    PREEMPTED = 58

    INVALID_SETTINGS = 70
    SETTINGS_CONFLICT = 71

    FENCED = 80
    LEASE_LOST = 81
    WRITE_CONFLICT = 82
    WRITE_OUTCOME_UNKNOWN = 83
    AUDIT_FAILED = 84

    INTERNAL = 99


class ResultInfo(Struct, frozen=True):
    """The properties of a result code.

    :param text: stable description for callers and operators.
    :param http_status: status of HTTP responses that carry the code.
    :param execution: execution state reported unless the error states another.
    :param is_retryable: whether the same request may succeed later; the APIs for callers then add
        ``Retry-After`` to the response.
    """

    text: str
    http_status: int
    execution: Execution
    is_retryable: bool = False


_NOT_RUN = Execution.NOT_RUN
_MAYBE_RUN = Execution.MAYBE_RUN
_RUN = Execution.RUN

RESULT_INFO: dict[ResultCode, ResultInfo] = {
    ResultCode.OK: ResultInfo("success", 200, _RUN),
    ResultCode.INVALID_REQUEST: ResultInfo("the request is malformed", 400, _NOT_RUN),
    ResultCode.UNAUTHENTICATED: ResultInfo("the API key is missing or unknown", 401, _NOT_RUN),
    ResultCode.FORBIDDEN: ResultInfo("the caller may not do this", 403, _NOT_RUN),
    ResultCode.UNKNOWN_MODEL: ResultInfo("no tier serves this model", 404, _NOT_RUN),
    ResultCode.NOT_FOUND: ResultInfo("there is no such object", 404, _NOT_RUN),
    ResultCode.IDEMPOTENCY_MISMATCH: ResultInfo(
        "the idempotency key was used with other content", 422, _NOT_RUN
    ),
    ResultCode.REQUEST_TOO_LARGE: ResultInfo("the request is too large", 413, _NOT_RUN),
    ResultCode.JOB_NOT_CANCELLABLE: ResultInfo("the job has already ended", 409, _NOT_RUN),
    ResultCode.JOB_ID_IN_USE: ResultInfo("the job id is in use", 409, _NOT_RUN),
    ResultCode.OVERLOADED: ResultInfo("the tier is overloaded", 503, _NOT_RUN, True),
    ResultCode.CALLER_LIMIT: ResultInfo("the caller is over its limit", 429, _NOT_RUN, True),
    ResultCode.DEADLINE_UNREACHABLE: ResultInfo(
        "the request cannot finish before its deadline", 503, _NOT_RUN, True
    ),
    ResultCode.NO_TARGET: ResultInfo("no target serves the model now", 503, _NOT_RUN, True),
    ResultCode.STORE_UNAVAILABLE: ResultInfo(
        "the platform's object store is unavailable", 503, _NOT_RUN, True
    ),
    ResultCode.LEAVING: ResultInfo("the instance is leaving", 503, _NOT_RUN, True),
    ResultCode.STALE_SETTINGS: ResultInfo(
        "the request was dispatched under an older settings revision", 503, _NOT_RUN, True
    ),
    ResultCode.STALE_INCARNATION: ResultInfo(
        "the request was meant for an earlier run of the agent", 503, _NOT_RUN, True
    ),
    ResultCode.PERMIT_EXPIRED: ResultInfo(
        "the permit to start the batch item has expired", 503, _NOT_RUN, True
    ),
    ResultCode.RETRY_BUDGET_EXHAUSTED: ResultInfo(
        "the retry budget is exhausted", 503, _NOT_RUN, True
    ),
    ResultCode.CONVICTED: ResultInfo("the request crashes the targets that run it", 422, _NOT_RUN),
    ResultCode.NOT_READY: ResultInfo("the process is not ready", 503, _NOT_RUN, True),
    ResultCode.SUSPECT_BUSY: ResultInfo(
        "another suspected request is running on the target", 503, _NOT_RUN, True
    ),
    ResultCode.TARGET_BUSY: ResultInfo(
        "the target has no room for the request", 503, _NOT_RUN, True
    ),
    ResultCode.QUOTA_EXHAUSTED: ResultInfo(
        "too much batch work is waiting on the route", 429, _NOT_RUN, True
    ),
    ResultCode.STREAM_ORIGIN_UNKNOWN: ResultInfo(
        "it is not known which software version began the stream", 503, _NOT_RUN, True
    ),
    ResultCode.CONFIG_UNCONFIRMED: ResultInfo(
        "it is not known whether the caller's key is still valid", 503, _NOT_RUN, True
    ),
    ResultCode.SHARE_EXCEEDED: ResultInfo(
        "the caller uses more than its share of too few slots", 503, _NOT_RUN, True
    ),
    ResultCode.TARGET_CRASHED: ResultInfo(
        "the target crashed while it ran the request", 502, _MAYBE_RUN, True
    ),
    ResultCode.STREAM_BROKEN: ResultInfo(
        "the stream broke before the answer was complete", 502, _MAYBE_RUN, True
    ),
    ResultCode.DEADLINE_EXCEEDED: ResultInfo(
        "the deadline passed before the answer was complete", 504, _MAYBE_RUN
    ),
    ResultCode.OUTCOME_UNKNOWN: ResultInfo(
        "the request may have run; it will not be run again", 502, _MAYBE_RUN
    ),
    ResultCode.CANCELLED: ResultInfo("the request was cancelled", 499, _MAYBE_RUN),
    ResultCode.TARGET_ERROR: ResultInfo("the target answered with an error", 502, _RUN),
    ResultCode.AGENT_LOST: ResultInfo(
        "the connection to the target's agent was lost", 502, _MAYBE_RUN, True
    ),
    ResultCode.ATTEMPTS_EXHAUSTED: ResultInfo(
        "the item failed in each of its attempts", 502, _MAYBE_RUN
    ),
    ResultCode.PREEMPTED: ResultInfo(
        "the batch item was preempted by online work", 503, _MAYBE_RUN, True
    ),
    ResultCode.INVALID_SETTINGS: ResultInfo("the settings are invalid", 422, _NOT_RUN),
    ResultCode.SETTINGS_CONFLICT: ResultInfo(
        "the settings were changed by another operator", 409, _NOT_RUN, True
    ),
    ResultCode.FENCED: ResultInfo("the order carries an old fencing number", 409, _NOT_RUN),
    ResultCode.LEASE_LOST: ResultInfo("the lease was lost", 409, _NOT_RUN, True),
    ResultCode.WRITE_CONFLICT: ResultInfo(
        "the object was changed by another writer", 409, _NOT_RUN, True
    ),
    ResultCode.WRITE_OUTCOME_UNKNOWN: ResultInfo(
        "the write may have taken effect", 503, _MAYBE_RUN, True
    ),
    ResultCode.AUDIT_FAILED: ResultInfo("the audit found a fault", 500, _NOT_RUN),
    ResultCode.INTERNAL: ResultInfo("internal error", 500, _MAYBE_RUN),
}
