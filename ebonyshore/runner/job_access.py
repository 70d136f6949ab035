"""Decides which client account may use a job. Pure functions.

Load pattern: callers of several accounts submit, read and end jobs all day, by ids of their own
choice, while accounts are introduced or the configuration reaches the processes at different times.
"""

from ebonyshore.host.job_types import JobRecord


def may_access(record: JobRecord, account: str, needs_account: bool) -> bool:
    """Return whether a caller may read, end or submit a job again.

    Jobs without an account were accepted before there were accounts, or by a public route. Every
    caller may use them, since otherwise nobody could.

    :param account: the caller's account; empty if the entry asked for no key.
    :param needs_account: whether the configuration in force has accounts.
    """
    if not record.caller:
        return True
    if not account:
        return not needs_account
    return record.caller == account
