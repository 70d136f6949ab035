"""One limit of waiting work, as one runner knows it."""

from asyncio import Future, Task

from msgspec import Struct

from ebonyshore.frame.errors import StoreError
from ebonyshore.runner.quota_ledger import QuotaLedger, ReservationRequest
from ebonyshore.runner.quota_scopes import QuotaScope

CONTENTION_MEMORY_MS = 2_000.0  # for which a quota counts as contended after it was last seen so


class PendingRequest(Struct):
    """A reservation that waits to be written.

    :param result: gets whether the reservation fits; ``None`` if nobody waits for that.
    """

    request: ReservationRequest
    result: Future[bool] | None = None

    def resolve(self, fits: bool) -> None:
        """Tell the waiting task, if there still is one, whether the reservation fits."""
        if self.result is not None and not self.result.done():
            self.result.set_result(fits)

    def fail(self, error: StoreError) -> None:
        """Raise an error in the waiting task, if there still is one."""
        if self.result is not None and not self.result.done():
            self.result.set_exception(error)


class RouteQuota:
    """The limit of one route or of one account there, and the ledger as this runner last saw it.

    All times are monotonic times of the event loop.

    :param scope: what the limit covers; its ``name`` does not change.
    :param host: host of a job that counts towards the limit.
    :param path: path of that job.
    :ivar limit_tokens: limit in the configuration in force; 0 if there is none.
    :ivar last_used_ms: time at which this runner last had or was offered work that counts.
    :ivar ledger: the ledger as last seen.
    :ivar pending: requests that wait for the next write.
    :ivar writing: the requests of the write in progress.
    :ivar missing_tokens: tokens that were missing for the last refused request.
    :ivar unknown_since_ms: times since which reserved jobs have no known record, by job id and
        owner.
    :ivar contended_ms: time at which the limit was last seen nearly used up.
    :ivar failures: number of failed writes in succession.
    """

    __slots__ = (
        "contended_ms",
        "failures",
        "host",
        "last_used_ms",
        "ledger",
        "limit_tokens",
        "missing_tokens",
        "next_release_ms",
        "path",
        "pending",
        "scope",
        "task",
        "unknown_since_ms",
        "writing",
    )

    def __init__(self, scope: QuotaScope, host: str, path: str) -> None:
        self.scope = scope
        self.host = host
        self.path = path
        self.limit_tokens = scope.limit_tokens
        self.last_used_ms = float("-inf")
        self.ledger = QuotaLedger()
        self.pending: list[PendingRequest] = []
        self.writing: list[PendingRequest] = []
        self.missing_tokens = 0
        self.unknown_since_ms: dict[tuple[str, str], float] = {}
        self.contended_ms = float("-inf")
        self.next_release_ms = float("-inf")
        self.failures = 0
        self.task: Task[None] | None = None

    @property
    def name(self) -> str:
        """The name of the quota."""
        return self.scope.name

    def is_contended(self, at_ms: float) -> bool:
        """Return whether the limit was lately seen nearly used up."""
        return at_ms - self.contended_ms < CONTENTION_MEMORY_MS

    @property
    def is_busy(self) -> bool:
        """Whether a write is in progress or requested."""
        return self.task is not None or bool(self.pending or self.writing)

    @property
    def queued_tokens(self) -> int:
        """Tokens of accepted jobs whose reservation is not stored yet."""
        return sum(
            pending.request.reservation.tokens
            for pending in [*self.pending, *self.writing]
            if pending.request.is_accepted
        )
