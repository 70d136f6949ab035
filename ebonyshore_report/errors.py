"""Errors of the report."""

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode


class ReportError(EbonyshoreError):
    """A source file of the report is missing or has another format."""

    code = ResultCode.INVALID_REQUEST
