"""Errors of reports."""

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode


class ReportError(EbonyshoreError):
    """A file is not what a report is made from."""

    code = ResultCode.INVALID_REQUEST
