"""The exception tree. Every error of the package derives from :class:`EbonyshoreError`."""

from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode


class EbonyshoreError(Exception):
    """Base class of all errors.

    :param detail: what happened, for the log and the answer's message.
    :param code: the result code; the class attribute ``code`` is the default.
    :param execution: whether the request ran; the code's own default if omitted.
    :param retry_after_ms: when to come back, or ``None`` if the caller should not.
    """

    code = ResultCode.INTERNAL

    def __init__(
        self,
        detail: str = "",
        *,
        code: ResultCode | None = None,
        execution: Execution | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        self.code = code if code is not None else type(self).code
        self.execution = execution or RESULT_INFO[self.code].execution
        self.retry_after_ms = retry_after_ms
        self.detail = detail
        super().__init__(f"{self.text}: {detail}" if detail else self.text)

    @property
    def text(self) -> str:
        """The stable text of the result code."""
        return RESULT_INFO[self.code].text


class RequestError(EbonyshoreError):
    """A caller's request cannot be accepted as it is."""

    code = ResultCode.INVALID_REQUEST


class RefusedError(EbonyshoreError):
    """A request was refused or given up; ``execution`` says whether it ran."""

    code = ResultCode.OVERLOADED


class SettingsError(EbonyshoreError):
    """Process settings or a settings change are invalid."""

    code = ResultCode.INVALID_SETTINGS


class StoreError(EbonyshoreError):
    """Base class of object store errors."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """The store did not take the call: it is down, overloaded or refused the connection."""


class StoreTimeoutError(StoreUnavailableError):
    """A read got no answer in time. A write raises :class:`WriteOutcomeUnknownError` instead."""


class HistoryLostError(StoreError):
    """The store no longer knows what changed since a revision; list again."""


class WriteConflictError(StoreError):
    """The object's version is not the expected one."""

    code = ResultCode.WRITE_CONFLICT


class WriteOutcomeUnknownError(StoreError):
    """The answer to a write was lost; the write may have taken effect."""

    code = ResultCode.WRITE_OUTCOME_UNKNOWN


class LeaseLostError(EbonyshoreError):
    """The holder no longer holds its lease, or cannot show that it does."""

    code = ResultCode.LEASE_LOST


class FencedError(EbonyshoreError):
    """An order carries a fencing number lower than one already seen."""

    code = ResultCode.FENCED


class TargetError(EbonyshoreError):
    """The target answered with an error, or not as its protocol says."""

    code = ResultCode.TARGET_ERROR


class TargetUnreachableError(TargetError):
    """The target took no connection; the request was not sent."""

    code = ResultCode.NO_TARGET


class TargetCrashedError(TargetError):
    """The connection to the target ended before the answer did."""

    code = ResultCode.TARGET_CRASHED


class InvariantError(EbonyshoreError):
    """An invariant does not hold; the operation was stopped before it could do harm."""
