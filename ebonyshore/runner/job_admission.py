"""Accepts or refuses submitted jobs, within the limits of their routes.

Each route with a limit has a ledger of reserved tokens in the store (:mod:`quota_ledger`). This
module decides when to write to it: before a job is stored, and when work has ended.
"""

from asyncio import CancelledError, Future, get_running_loop
from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
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
from ebonyshore.runner.quota_ledger import Reservation, ReservationRequest, quota_name
from ebonyshore.runner.quota_storage import QuotaStorage
from ebonyshore.runner.reservation_writer import ReservationWriter
from ebonyshore.runner.route_quota import PendingRequest, RouteQuota

STEP_INTERVAL_MS = 100.0
CONTENTION_MEMORY_MS = 2_000.0  # for which a quota counts as contended after it was last seen so


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
        self._writer = ReservationWriter(registry, load_table, storage, log)
        self._completions = completions
        self._ranking = ranking
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._random = random
        self._quotas: dict[str, RouteQuota] = {}
        self._waiting_tokens: dict[str, int] = {}
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
        self._writer.release(job_id)

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
        self._writer.forget_old_releases(at_ms)

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
        self._writer.keep(job_id)
        if can_accept_early(self._quota_use(quota), tokens):
            self._writer.request(
                quota, PendingRequest(ReservationRequest(reservation, is_accepted=True))
            )
            return None
        result: Future[bool] = get_running_loop().create_future()
        self._writer.request(quota, PendingRequest(ReservationRequest(reservation), result))
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
        reported = sum(self._writer.reported_tokens(quota.name).values())
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

    def _update_reservations(self, quota: RouteQuota, at_ms: float) -> None:
        """Start a write if the ledger as last seen differs too much from the jobs as known."""
        self._mark_contention(quota, at_ms)
        if at_ms < quota.next_release_ms:
            return
        unreserved = self._unreserved_jobs(quota)
        for reservation in unreserved:
            self._writer.request(
                quota, PendingRequest(ReservationRequest(reservation, is_accepted=True))
            )
        is_contended = quota.name in self._contended_anywhere()
        excess = self._excess_tokens(quota)
        runners = 1 + len(self._peers.of_role("runner"))
        if is_contended or must_release(excess, quota.limit_tokens, runners):
            self._writer.start_write(quota)
        self._writer.find_abandoned(quota, at_ms)

    def _mark_contention(self, quota: RouteQuota, at_ms: float) -> None:
        if quota.ledger.total_tokens > CONTENDED_SHARE * quota.limit_tokens:
            quota.contended_ms = at_ms

    def _contended_anywhere(self) -> set[str]:
        found = set(self.contended_quotas())
        for report in self._load_table.runners().values():
            found.update(report.contended_quotas)
        return found

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
        current = self._writer.known_reservations().update(quota.ledger)
        return quota.ledger.total_tokens - current.total_tokens
