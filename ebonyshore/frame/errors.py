"""Exceptions. Every error that the package raises derives from :class:`EbonyshoreError`."""

from ebonyshore.frame.result_codes import RESULT_INFO, Execution, ResultCode


class EbonyshoreError(Exception):
    """Base class of all errors.

    :param detail: what happened, for the log and the error message in the response.
    :param code: the result code; the class attribute ``code`` if omitted.
    :param execution: whether the request ran; the default of the result code if omitted.
    :param retry_after_ms: time after which the caller may retry, in milliseconds; ``None`` if the
        caller should not retry.
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
        """The stable description of the result code."""
        return RESULT_INFO[self.code].text


class RequestError(EbonyshoreError):
    """The request of a caller cannot be accepted without a change."""

    code = ResultCode.INVALID_REQUEST


class RefusedError(EbonyshoreError):
    """A request was refused or abandoned; ``execution`` says whether it ran."""

    code = ResultCode.OVERLOADED


class SettingsError(EbonyshoreError):
    """The process settings or a change of the settings tree are invalid."""

    code = ResultCode.INVALID_SETTINGS


class StoreError(EbonyshoreError):
    """Base class of object store errors."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """The store did not accept the call: it is down, overloaded or refused the connection."""


class StoreTimeoutError(StoreUnavailableError):
    """A read timed out. A write that times out raises :class:`WriteOutcomeUnknownError`."""


class UnreadableObjectError(StoreError):
    """An object does not hold what its kind holds; another process may have written it."""


class HistoryLostError(StoreError):
    """The store has discarded the changes since a revision; the objects must be listed again."""


class WriteConflictError(StoreError):
    """A write found another version of the object than it expected."""

    code = ResultCode.WRITE_CONFLICT


class WriteOutcomeUnknownError(StoreError):
    """The response to a write was lost; the write may have taken effect."""

    code = ResultCode.WRITE_OUTCOME_UNKNOWN


class WriteRefusedError(StoreError):
    """The store has refused a write for good: the same write would be refused again."""


class ValueTooLargeError(WriteRefusedError):
    """A write was refused because the object would be larger than the store allows."""

    code = ResultCode.REQUEST_TOO_LARGE


class LeaseLostError(EbonyshoreError):
    """The holder no longer holds its lease, or cannot prove that it does."""

    code = ResultCode.LEASE_LOST


class FencedError(EbonyshoreError):
    """An order carries a lower fencing number than an order accepted earlier."""

    code = ResultCode.FENCED


class TargetError(EbonyshoreError):
    """The target responded with an error or violated its protocol."""

    code = ResultCode.TARGET_ERROR


class TargetUnreachableError(TargetError):
    """The target could not be reached; the request was not sent."""

    code = ResultCode.NO_TARGET


class TargetCrashedError(TargetError):
    """The connection to the target ended before the response was complete."""

    code = ResultCode.TARGET_CRASHED


class InvariantError(EbonyshoreError):
    """An internal invariant is violated; the operation stops before it does damage."""
