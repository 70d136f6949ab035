"""Decides whether a batch job is accepted early or refused, and when to try again. Pure functions.

Load pattern: jobs arrive faster than the fleet completes them, for seconds or for long.
"""

from collections.abc import Sequence

from msgspec import Struct

from ebonyshore.runner.account_sharing import room_for_account, work_until_done

# A job is accepted without waiting for its reservation only while this share of the limit is in
# use, and only if all such jobs together are within the second share.
EARLY_TOTAL_SHARE = 0.5
EARLY_UNRESERVED_SHARE = 0.05
CONTENDED_SHARE = 0.5  # of the limit in use from which owners release ended work at once
RELEASE_SHARE = 0.05  # of the limit that all runners together may leave unreleased
MIN_RETRY_AFTER_MS = 500.0
MAX_RETRY_AFTER_MS = 30_000.0
UNKNOWN_RATE_RETRY_AFTER_MS = 2_000.0
RETRY_SPREAD = 0.25  # random part that is added, so that refused callers do not return together


class QuotaUse(Struct, frozen=True):
    """What a runner knows of the use of a route's limit without asking the store.

    :param limit_tokens: the limit.
    :param waiting_tokens: unfinished tokens of all runners' jobs, from their reports.
    :param unreserved_tokens: tokens of this runner's jobs that have no reservation yet.
    :param runners: number of registered runners with this one.
    :param are_reports_current: whether this runner and each other registered one receive each
        other's reports.
    """

    limit_tokens: int
    waiting_tokens: int
    unreserved_tokens: int
    runners: int
    are_reports_current: bool


def can_accept_early(use: QuotaUse, tokens: int) -> bool:
    """Return whether a job may be stored while its reservation is still being written.

    A slow store then delays the answer by one call, not by two.

    :param tokens: tokens of the job.
    """
    if not use.are_reports_current:
        return False
    total_after = use.waiting_tokens + use.unreserved_tokens + tokens
    own_share = EARLY_UNRESERVED_SHARE * use.limit_tokens / use.runners
    return (
        total_after <= EARLY_TOTAL_SHARE * use.limit_tokens
        and use.unreserved_tokens + tokens <= own_share
    )


def must_release(excess_tokens: int, limit_tokens: int, runners: int) -> bool:
    """Return whether a runner writes to the ledger that work has ended, without contention.

    :param excess_tokens: reserved tokens of this runner's jobs that are not unfinished any more.
    :param limit_tokens: limit of the route.
    :param runners: number of registered runners with this one.
    """
    return excess_tokens > 0 and excess_tokens >= RELEASE_SHARE * limit_tokens / runners


def retry_after_ms(
    missing_tokens: int,
    tokens_per_ms: float | None,
    draw: float,
    other_waiting_tokens: Sequence[int] = (),
) -> float:
    """Return the time in milliseconds after which a refused job is expected to fit.

    :param missing_tokens: tokens that have to be completed first.
    :param tokens_per_ms: rate at which all runners complete work; ``None`` if it is not known.
    :param draw: random number between 0 and 1.
    :param other_waiting_tokens: unfinished tokens of each other client account, which is served in
        the same time.
    """
    if not tokens_per_ms:
        expected_ms = UNKNOWN_RATE_RETRY_AFTER_MS
    else:
        expected_ms = work_until_done(missing_tokens, other_waiting_tokens) / tokens_per_ms
    bounded_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, expected_ms))
    return bounded_ms * (1.0 + RETRY_SPREAD * draw)


class RunnerWork(Struct, frozen=True):
    """The batch work of the runner that is asked to accept a job.

    :param waiting_tokens: unfinished tokens of all its jobs, of the client account that submits the
        job if there are accounts.
    :param punctual_tokens: those of the jobs that are expected to be completed in time.
    :param tokens_per_ms: rate at which it can complete work; ``None`` if that is not known.
    :param other_waiting_tokens: unfinished tokens of each other account.
    :param other_punctual_tokens: those of their jobs that are expected to be completed in time.
    """

    waiting_tokens: int
    punctual_tokens: int
    tokens_per_ms: float | None
    other_waiting_tokens: tuple[int, ...] = ()
    other_punctual_tokens: tuple[int, ...] = ()


def tokens_beyond_retention(
    work: RunnerWork, tokens: int, due_ms: float, retention_ms: float
) -> int:
    """Return by how many tokens the work ahead of a new job exceeds what its retention time allows.

    A job that can be in time goes before all late ones, however much late work there is. Otherwise
    all the work of the runner goes before it, of other accounts no more than their part.

    :param tokens: tokens of the job.
    :param due_ms: time until its results are due.
    :param retention_ms: time until its items may be given up.
    :return: 0 if the job can end in time, or if that is not known.
    """
    rate = work.tokens_per_ms
    if not rate:
        return 0
    punctual_room = room_for_account(rate * due_ms, work.other_punctual_tokens)
    if work.punctual_tokens + tokens <= punctual_room:
        return 0
    room = room_for_account(rate * retention_ms, work.other_waiting_tokens)
    return max(0, int(work.waiting_tokens + tokens - room))
