"""Accepts or refuses submitted jobs, within the limits of their routes.

Each route with a limit has a ledger of reserved tokens in the store (:mod:`quota_ledger`). This
module decides when to write to it: before a job is stored, and when work has ended. Requests that
arrive while a write is in progress share the next one.
"""

from asyncio import CancelledError, Future, Task, create_task, get_running_loop
from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.job_types import JobRecord
from ebonyshore.host.routes import Route, RouteKind
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.runner.admission_policy import (
    CONTENDED_SHARE,
    QuotaUse,
    can_accept_early,
    must_release,
    retry_after_ms,
    tokens_beyond_retention,
)
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.quota_ledger import (
    KnownReservations,
    LedgerChange,
    QuotaLedger,
    Reservation,
    ReservationRequest,
    change_ledger,
    quota_name,
    unreserved_tokens,
)
from ebonyshore.runner.quota_storage import QuotaStorage

STEP_INTERVAL_MS = 100.0
RELEASE_INTERVAL_MS = 400.0  # between two writes of a quota that only release tokens
RETRY_INTERVAL_MS = 500.0  # after a failed write; doubled after each further one
MAX_RETRY_INTERVAL_MS = 4_000.0
MAX_DOUBLINGS = 8
CONTENTION_MEMORY_MS = 2_000.0  # for which a quota counts as contended after it was last seen so
# A job whose reservation is stored but whose record is not may still be stored this much later.
ABANDONED_AFTER_MS = 8_000.0
RELEASED_MEMORY_MS = 20_000.0


class JobRefusal(Struct, frozen=True):
    """Why a job is refused.

    :param reason: ``quota`` if the route's limit is used up, ``retention`` if the job cannot end
        before its items may be given up.
    :param missing_tokens: tokens that have to be completed before the job fits.
    :param retry_after_ms: time after which the caller should submit the job again.
    """

    reason: str
    missing_tokens: int
    retry_after_ms: float


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
    """The limit of one route, and the ledger as this runner last saw it.

    All times are monotonic times of the event loop.

    :param name: name of the quota.
    :ivar limit_tokens: limit in the configuration in force.
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
        "ledger",
        "limit_tokens",
        "missing_tokens",
        "name",
        "next_release_ms",
        "pending",
        "task",
        "unknown_since_ms",
        "writing",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.limit_tokens = 0
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
    def queued_tokens(self) -> int:
        """Tokens of accepted jobs whose reservation is not stored yet."""
        return sum(
            pending.request.reservation.tokens
            for pending in [*self.pending, *self.writing]
            if pending.request.is_accepted
        )


class JobAdmission:
    """Admits submitted jobs, and keeps the reservations of this runner's jobs up to date.

    :param registry: the known jobs.
    :param config: the routes in force.
    :param load_table: the reports of the other runners.
    :param peers: all registered runners.
    :param storage: reads and changes the ledgers.
    :param completions: rate at which this runner completes work.
    :param ranking: tells how much of this runner's work is expected to be completed in time.
    :param random: spreads the retry delays.
    """

    def __init__(
        self,
        registry: JobRegistry,
        config: ConfigService,
        load_table: LoadTable,
        peers: PeerDirectory,
        storage: QuotaStorage,
        completions: CompletionRate,
        ranking: JobRanking,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._registry = registry
        self._config = config
        self._load_table = load_table
        self._peers = peers
        self._storage = storage
        self._completions = completions
        self._ranking = ranking
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._random = random
        self._quotas: dict[str, RouteQuota] = {}
        self._waiting_tokens: dict[str, int] = {}
        self._released_ms: dict[tuple[str, str], float] = {}  # by job id and owner
        self._checks: set[Task[None]] = set()
        self._next_step_ms = float("-inf")

    async def admit(self, record: JobRecord, route: Route) -> JobRefusal | None:
        """Reserve the tokens of a job that is about to be stored.

        :param route: the route by which the job was submitted.
        :return: ``None`` if the job may be stored; else why it is refused, in which case nothing is
            stored. A job that was stored before is not refused.
        :raises StoreError: if the store does not accept the reservation.
        """
        if self._registry.is_known(record.job_id):
            return None
        tokens = sum(item.tokens for item in record.items)
        refusal = self._check_retention(route, tokens) or await self._check_quota(
            record.job_id, route, tokens
        )
        if refusal is None:
            return None
        registry = self._registry
        if await registry.run_blocking(registry.storage.read, record.job_id) is not None:
            return None
        self._metrics.count("jobs_refused")
        self._log.event(
            "job_refused",
            job=record.job_id,
            route=route.name,
            reason=refusal.reason,
            tokens=tokens,
            missing=refusal.missing_tokens,
            limit=route.max_waiting_tokens,
            retry_after_ms=refusal.retry_after_ms,
        )
        return refusal

    def release(self, job_id: str) -> None:
        """Give back the reservation of a job that this runner has failed to store."""
        self._released_ms[job_id, self._registry.own_id] = now_ms()

    def waiting_tokens(self) -> dict[str, int]:
        """Return the unfinished tokens of this runner's jobs by quota, for its load reports."""
        return self._waiting_tokens

    def contended_quotas(self) -> tuple[str, ...]:
        """Return the quotas that are nearly used up, for this runner's load reports."""
        at_ms = now_ms()
        return tuple(
            quota.name
            for quota in self._quotas.values()
            if at_ms - quota.contended_ms < CONTENTION_MEMORY_MS
        )

    def step(self) -> None:
        """Start the writes that are due. To be called several times a second."""
        at_ms = now_ms()
        if at_ms < self._next_step_ms or self._config.table is None:
            return
        self._next_step_ms = at_ms + STEP_INTERVAL_MS
        limits = self._update_waiting_tokens()
        for name in limits.keys() | self._quotas.keys():
            quota = self._quotas.setdefault(name, RouteQuota(name))
            quota.limit_tokens = limits.get(name, 0)
            if quota.limit_tokens and quota.task is None:
                self._update_reservations(quota, at_ms)
        self._released_ms = {
            key: since_ms
            for key, since_ms in self._released_ms.items()
            if at_ms - since_ms < RELEASED_MEMORY_MS
        }

    def _update_waiting_tokens(self) -> dict[str, int]:
        """Sum up the unfinished tokens of the own jobs; return the limits of all batch routes."""
        table = self._config.table
        limits = {
            quota_name(route): route.max_waiting_tokens
            for route in table.config.routes
            if route.kind is RouteKind.BATCH
        }
        waiting = dict.fromkeys(limits, 0)
        for progress in self._registry.owned_jobs():
            name = self._quota_of(progress.record)
            if name in waiting:
                waiting[name] += progress.unfinished_tokens
        self._waiting_tokens = waiting
        return limits

    def _quota_of(self, record: JobRecord) -> str | None:
        route = self._config.table.find(record.host, record.path)
        return quota_name(route) if route is not None else None

    def _check_retention(self, route: Route, tokens: int) -> JobRefusal | None:
        work = self._ranking.own_work()
        missing = tokens_beyond_retention(
            work, tokens, route.completion_target_ms, route.retention_ms
        )
        return self._refusal("retention", missing, work.tokens_per_ms) if missing else None

    async def _check_quota(self, job_id: str, route: Route, tokens: int) -> JobRefusal | None:
        if not route.max_waiting_tokens:
            return None
        name = quota_name(route)
        quota = self._quotas.setdefault(name, RouteQuota(name))
        quota.limit_tokens = route.max_waiting_tokens
        reservation = Reservation(job_id, tokens, self._registry.own_id)
        self._released_ms.pop((job_id, self._registry.own_id), None)
        if can_accept_early(self._quota_use(quota), tokens):
            self._request(quota, PendingRequest(ReservationRequest(reservation, is_accepted=True)))
            return None
        result: Future[bool] = get_running_loop().create_future()
        self._request(quota, PendingRequest(ReservationRequest(reservation), result))
        try:
            fits = await result
        except CancelledError:
            self.release(job_id)  # the entry has ended the call, so the job will not be stored
            raise
        if fits:
            return None
        return self._refusal("quota", quota.missing_tokens, self._fleet_rate())

    def _refusal(self, reason: str, missing_tokens: int, rate: float | None) -> JobRefusal:
        delay_ms = retry_after_ms(missing_tokens, rate, self._random.random())
        return JobRefusal(reason, missing_tokens, delay_ms)

    def _fleet_rate(self) -> float | None:
        own_rate = self._completions.tokens_per_ms()
        return None if own_rate is None else own_rate * (1 + len(self._load_table.runners()))

    def _quota_use(self, quota: RouteQuota) -> QuotaUse:
        registered = self._peers.of_role("runner")
        at_ms = self._clock.boot_ms()
        reported = sum(self._reported_tokens(quota.name).values())
        return QuotaUse(
            quota.limit_tokens,
            max(
                quota.ledger.total_tokens,
                reported + self._waiting_tokens.get(quota.name, 0),
            ),
            quota.queued_tokens,
            1 + len(registered),
            all(self._load_table.is_mutually_heard(peer, at_ms) for peer in registered),
        )

    def _reported_tokens(self, name: str) -> dict[str, int]:
        return {
            runner: report.waiting_tokens.get(name, 0)
            for runner, report in self._load_table.runners().items()
        }

    def _update_reservations(self, quota: RouteQuota, at_ms: float) -> None:
        """Start a write if the ledger as last seen differs too much from the jobs as known."""
        self._mark_contention(quota, at_ms)
        if at_ms < quota.next_release_ms:
            return
        unreserved = self._unreserved_jobs(quota)
        for reservation in unreserved:
            self._request(quota, PendingRequest(ReservationRequest(reservation, is_accepted=True)))
        is_contended = quota.name in self._contended_anywhere()
        excess = self._excess_tokens(quota)
        runners = 1 + len(self._peers.of_role("runner"))
        if is_contended or must_release(excess, quota.limit_tokens, runners):
            self._start_write(quota)
        self._find_abandoned(quota, at_ms)

    def _mark_contention(self, quota: RouteQuota, at_ms: float) -> None:
        if quota.ledger.total_tokens > CONTENDED_SHARE * quota.limit_tokens:
            quota.contended_ms = at_ms

    def _contended_anywhere(self) -> set[str]:
        found = set(self.contended_quotas())
        for report in self._load_table.runners().values():
            found.update(report.contended_quotas)
        return found

    def _known_reservations(self) -> KnownReservations:
        """Return what this runner knows of reserved jobs. Unknown jobs may be stored elsewhere."""
        registry = self._registry
        current: dict[str, Reservation] = {}
        for job in registry.known_jobs():
            tokens = registry.unfinished_tokens(job)
            if tokens is not None:
                current[job.job_id] = Reservation(job.job_id, tokens, registry.own_id)
        released = frozenset(key for key in self._released_ms if not registry.is_known(key[0]))
        return KnownReservations(current, released)

    def _unreserved_jobs(self, quota: RouteQuota) -> list[Reservation]:
        """Return the reservations that the ledger lacks or has under another owner."""
        own_id = self._registry.own_id
        reserved = {kept.job_id for kept in quota.ledger.reservations if kept.owner == own_id}
        reserved |= {pending.request.reservation.job_id for pending in quota.pending}
        return [
            Reservation(progress.job_id, progress.unfinished_tokens, own_id)
            for progress in self._registry.owned_jobs()
            if progress.job_id not in reserved
            and progress.unfinished_tokens
            and self._quota_of(progress.record) == quota.name
        ]

    def _excess_tokens(self, quota: RouteQuota) -> int:
        current = self._known_reservations().update(quota.ledger)
        return quota.ledger.total_tokens - current.total_tokens

    def _request(self, quota: RouteQuota, pending: PendingRequest) -> None:
        quota.pending.append(pending)
        self._start_write(quota)

    def _start_write(self, quota: RouteQuota) -> None:
        if quota.task is None:
            quota.task = create_task(self._write(quota))

    async def _write(self, quota: RouteQuota) -> None:
        """Write the pending requests, in several writes if more arrive in the meantime."""
        try:
            await self._write_once(quota)
            while quota.pending:
                await self._write_once(quota)
        finally:
            quota.task = None

    async def _write_once(self, quota: RouteQuota) -> None:
        quota.writing, quota.pending = quota.pending, []
        requests = [pending.request for pending in quota.writing]
        known = self._known_reservations()
        reported = self._reported_tokens(quota.name)
        limit_tokens = quota.limit_tokens

        def change(ledger: QuotaLedger) -> LedgerChange:
            others = unreserved_tokens(ledger, reported)
            return change_ledger(ledger, known, requests, limit_tokens, others)

        quota.next_release_ms = now_ms() + RELEASE_INTERVAL_MS
        try:
            changed = await self._registry.run_blocking(self._storage.change, quota.name, change)
        except StoreError as error:
            self._fail_requests(quota, error)
            return
        quota.failures = 0
        quota.ledger = changed.ledger
        quota.missing_tokens = changed.missing_tokens
        if changed.refused:
            quota.contended_ms = now_ms()
        for pending in quota.writing:
            fits = pending.request.reservation.job_id not in changed.refused
            pending.resolve(fits)
        quota.writing = []

    def _fail_requests(self, quota: RouteQuota, error: StoreError) -> None:
        """Fail the requests of a write. Accepted jobs are requested again by the next step."""
        self._log.event("quota_not_written", quota=quota.name, error=str(error))
        quota.failures += 1
        delay_ms = RETRY_INTERVAL_MS * 2 ** min(quota.failures - 1, MAX_DOUBLINGS)
        quota.next_release_ms = now_ms() + min(delay_ms, MAX_RETRY_INTERVAL_MS)
        for pending in quota.writing:
            if not pending.request.is_accepted:
                self.release(pending.request.reservation.job_id)
            pending.fail(error)
        quota.writing = []

    def _find_abandoned(self, quota: RouteQuota, at_ms: float) -> None:
        """Check a reservation whose job has not become known for a long time."""
        unknown = {
            (kept.job_id, kept.owner)
            for kept in quota.ledger.reservations
            if not self._registry.is_known(kept.job_id)
        }
        unknown -= self._released_ms.keys()
        quota.unknown_since_ms = {key: quota.unknown_since_ms.get(key, at_ms) for key in unknown}
        for (job_id, owner), since_ms in quota.unknown_since_ms.items():
            if at_ms - since_ms > ABANDONED_AFTER_MS:
                quota.unknown_since_ms[job_id, owner] = at_ms
                check = create_task(self._check_abandoned(job_id, owner))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
                return

    async def _check_abandoned(self, job_id: str, owner: str) -> None:
        """Release a reservation if its job is not stored."""
        registry = self._registry
        try:
            found = await registry.run_blocking(registry.storage.read, job_id)
        except StoreError as error:
            self._log.event("reservation_not_checked", job=job_id, error=str(error))
            return
        if found is not None:
            registry.update_record(found)
            return
        self._log.event("reservation_abandoned", job=job_id, owner=owner)
        self._released_ms[job_id, owner] = now_ms()
