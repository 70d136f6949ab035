"""Checks of client accounts, from what callers sent and what targets ran."""

from bisect import bisect_left
from collections.abc import Mapping, Sequence

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_standins.stream_target import RunRecord

ACCOUNT_PREFIX = "account-"  # of the ids of requests, before the name of the account
OWNED_JOB_PREFIX = "owned-"
MAIN = "main"  # account of all other callers
HOT = "hot"  # sends more than its limit in spells
ROTATING = "rotating"  # a key of it is removed
STEADY = ("steady0", "steady1")  # never send more than their limits
NOBODY = "nobody"  # callers without a valid key
REVOCATION_MS = 2_500
# The platform's rule for any window.
QUOTA_WINDOW_MS = 5_000.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0
REFUSED_RATIO = 0.001  # of requests within a limit
MIN_STEADY_REQUESTS = 500
FAILED_RATIO = 0.01


class AccountLimit(Struct, frozen=True):
    """Limit of an account in the configuration of the soak test.

    :param rate_per_s: requests a second that are allowed for any length of time.
    :param burst: requests that are allowed at once.
    """

    rate_per_s: float
    burst: float

    @property
    def max_requests(self) -> float:
        """Number of requests that may run in a window."""
        allowed = self.rate_per_s * QUOTA_WINDOW_MS / MS_PER_S + self.burst
        return allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


HIGH_LIMIT = AccountLimit(20.0, 10.0)  # of the hot account, until it falls
LOW_LIMIT = AccountLimit(8.0, 4.0)


class AccountRequest(Struct):
    """A request of an account.

    :param account: name of the account.
    :param key: the key that the request is sent with.
    :param sent_ms: monotonic time at which it is sent.
    :param status: HTTP status; ``None`` as long as there is no complete response.
    """

    account: str
    key: str | None
    sent_ms: float
    status: int | None = None


def expected_account(request_id: str) -> str:
    """Return the account that targets are told for a request or an item."""
    if request_id.startswith((ACCOUNT_PREFIX, OWNED_JOB_PREFIX)):
        return request_id.split("-")[1]
    return MAIN


def check_headers(runs: Sequence[RunRecord], checker: GuaranteeChecker) -> None:
    """Check that each target was told the account of the caller, and no key."""
    account_header = WIRE_NAMES.account.lower()
    for run in runs:
        accounts = [value for name, value in run.headers if name == account_header]
        if accounts != [expected_account(run.request_id)]:
            checker.report_violation(f"request {run.request_id}: a target was told {accounts}")
        if any(name == "authorization" or "key-" in value for name, value in run.headers):
            checker.report_violation(f"request {run.request_id}: a target was sent a key")


def check_removed_key(
    runs: Sequence[RunRecord],
    requests: Mapping[str, AccountRequest],
    removed_key: str,
    removed_ms: float,
    checker: GuaranteeChecker,
) -> None:
    """Check that no request ran without a valid key or with one removed too long before.

    :param requests: the requests of all accounts, by id.
    :param removed_ms: monotonic time at which the store had acknowledged the removal.
    """
    for run in runs:
        request = requests.get(run.request_id)
        if request is None:
            continue
        age_ms = request.sent_ms - removed_ms
        if request.key == removed_key and age_ms > REVOCATION_MS:
            checker.report_violation(
                f"request {run.request_id} ran with a key that was removed {age_ms:.0f} ms before"
            )
        if request.account == NOBODY:
            checker.report_violation(f"request {run.request_id} ran without a valid key")


def check_quota(
    runs: Sequence[RunRecord],
    requests: Mapping[str, AccountRequest],
    limit: AccountLimit,
    since_ms: float,
    checker: GuaranteeChecker,
) -> None:
    """Check that in no window more requests of the hot account were sent and arrived than allowed.

    :param since_ms: monotonic time from which the limit holds.
    """
    hot = [
        (requests[run.request_id].sent_ms, run.received_ms)
        for run in runs
        if run.request_id.startswith(f"{ACCOUNT_PREFIX}{HOT}-")
    ]
    most = most_in_a_window([times for times in hot if times[0] >= since_ms])
    checker.counts[f"most_at_{limit.rate_per_s:.0f}_per_s"] = most
    if most > limit.max_requests:
        checker.report_violation(
            f"{most} requests ran in a window, {limit.max_requests:.0f} are allowed"
        )


def most_in_a_window(times_ms: Sequence[tuple[float, float]]) -> int:
    """Return the highest number of requests that were sent and arrived in one window.

    :param times_ms: for each request the times at which it was sent and arrived.
    """
    by_sending = sorted(times_ms)
    sent_ms = [sent for sent, _ in by_sending]
    most = 0
    for index, first_ms in enumerate(sent_ms):
        end_ms = first_ms + QUOTA_WINDOW_MS
        last = bisect_left(sent_ms, end_ms)
        most = max(most, sum(arrived_ms < end_ms for _, arrived_ms in by_sending[index:last]))
    return most


def check_steady_requests(requests: Sequence[AccountRequest], checker: GuaranteeChecker) -> None:
    """Check that without faults hardly any request within a limit was refused or failed."""
    steady = [request for request in requests if request.account in STEADY]
    refused = sum(request.status == 429 for request in steady)
    failed = sum(request.status not in (200, 429) for request in steady)
    checker.counts["calm_sent"] = len(steady)
    checker.counts["calm_refused"] = refused
    checker.counts["calm_failed"] = failed
    if len(steady) >= MIN_STEADY_REQUESTS and refused > max(1, REFUSED_RATIO * len(steady)):
        checker.report_violation(f"{refused} of {len(steady)} requests within limits got 429")
    if failed > FAILED_RATIO * len(steady):
        checker.report_violation(f"{failed} of {len(steady)} requests within limits failed")
