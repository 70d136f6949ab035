"""Accepts or refuses submitted jobs, within the limits of their routes.

Each limit, that of a route or of a client account there, has a ledger of reserved tokens in the
store (:mod:`quota_ledger`). This module decides when to write to it: before a job is stored, and
when work has ended.
"""

from asyncio import CancelledError, Future, get_running_loop
from collections import Counter
from collections.abc import Sequence, Set
from heapq import nlargest
from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.job_types import JobRecord
from ebonyshore.host.routes import Route
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
from ebonyshore.runner.job_progress import JobProgress
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.quota_ledger import Reservation, ReservationRequest
from ebonyshore.runner.quota_scopes import QuotaScope, QuotaScopes
from ebonyshore.runner.quota_storage import QuotaStorage
from ebonyshore.runner.reservation_writer import ReservationWriter
from ebonyshore.runner.route_quota import PendingRequest, RouteQuota

STEP_INTERVAL_MS = 100.0
QUOTA_IDLE_MS = 10_000.0  # without work of an account until its quota is forgotten
MAX_QUOTAS_PER_STEP = 100
MAX_REPORTED_QUOTAS = 1_000  # keeps a load report within one datagram


class JobRefusal(Struct, frozen=True):
    """Why a job is refused.

    :param reason: ``quota`` if the limit of the route, or of the account there, is used up,
        ``retention`` if the job cannot end before its items may be given up.
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
        self._scopes = QuotaScopes(config)
        self._writer = ReservationWriter(registry, load_table, storage, self._scopes, log)
        self._completions = completions
        self._ranking = ranking
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._random = random
        self._quotas: dict[str, RouteQuota] = {}
        self._waiting_tokens: dict[str, int] = {}
        self._next_step_ms = float("-inf")
        self._next_quota = 0  # index of the first quota of the next step

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
        refusal = self._check_retention(record, route, tokens) or await self._check_quota(
            record, route, tokens
        )
        if refusal is None:
            return None
        registry = self._registry
        if await registry.run_blocking(registry.storage.read, record.job_id) is not None:
            return None
        self._metrics.count("jobs_refused")
        self._metrics.count(f"jobs_refused_{refusal.reason}")
        self._log.event(
            "job_refused",
            job=record.job_id,
            route=route.name,
            account=record.caller,
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
        """Return the unfinished tokens of this runner's jobs by quota, for its load reports.

        Of more than :data:`MAX_REPORTED_QUOTAS`, those with the most tokens that the ledgers lack.
        """
        if len(self._waiting_tokens) <= MAX_REPORTED_QUOTAS:
            return self._waiting_tokens
        names = nlargest(MAX_REPORTED_QUOTAS, self._waiting_tokens, key=self._reporting_key)
        return {name: self._waiting_tokens[name] for name in names}

    def _reporting_key(self, name: str) -> tuple[int, int]:
        quota = self._quotas[name]
        own_reserved = quota.ledger.tokens_by_owner().get(self._registry.own_id, 0)
        waiting_tokens = self._waiting_tokens[name]
        return waiting_tokens - own_reserved, waiting_tokens

    def contended_quotas(self) -> tuple[str, ...]:
        """Return the quotas that are nearly used up, for this runner's load reports."""
        at_ms = now_ms()
        contended = [quota.name for quota in self._quotas.values() if quota.is_contended(at_ms)]
        return tuple(contended[:MAX_REPORTED_QUOTAS])

    def step(self) -> None:
        """Start the writes that are due. To be called several times a second."""
        at_ms = now_ms()
        if at_ms < self._next_step_ms or self._config.table is None:
            return
        self._next_step_ms = at_ms + STEP_INTERVAL_MS
        jobs_by_quota = self._group_jobs(at_ms)
        contended = self._contended_elsewhere()
        for quota in self._next_quotas():
            scope = self._scopes.find(quota.host, quota.path, quota.scope.account)
            is_in_force = scope is not None and scope.name == quota.name
            quota.limit_tokens = scope.limit_tokens if is_in_force else 0
            if quota.limit_tokens and quota.task is None:
                jobs = jobs_by_quota.get(quota.name, [])
                self._update_reservations(quota, jobs, contended, at_ms)
            if quota.scope.account and at_ms - quota.last_used_ms > QUOTA_IDLE_MS:
                self._forget_idle(quota)
        self._writer.forget_old_releases(at_ms)

    def _next_quotas(self) -> list[RouteQuota]:
        """Return the quotas to look at in this step, in turn if there are many."""
        quotas = list(self._quotas.values())
        if len(quotas) <= MAX_QUOTAS_PER_STEP:
            return quotas
        first = self._next_quota % len(quotas)
        self._next_quota = first + MAX_QUOTAS_PER_STEP
        return [*quotas[first:], *quotas[:first]][:MAX_QUOTAS_PER_STEP]

    def _group_jobs(self, at_ms: float) -> dict[str, list[JobProgress]]:
        """Group the unfinished own jobs by quota, and sum up their unfinished tokens."""
        jobs: dict[str, list[JobProgress]] = {}
        waiting: Counter[str] = Counter()
        for progress in self._registry.owned_jobs():
            record, tokens = progress.record, progress.unfinished_tokens
            scope = self._scopes.of_record(record)
            if scope is None or not tokens:
                continue
            self._open_quota(scope, record.host, record.path).last_used_ms = at_ms
            jobs.setdefault(scope.name, []).append(progress)
            waiting[scope.name] += tokens
        self._waiting_tokens = dict(waiting)
        return jobs

    def _open_quota(self, scope: QuotaScope, host: str, path: str) -> RouteQuota:
        quota = self._quotas.get(scope.name)
        if quota is None:
            quota = self._quotas[scope.name] = RouteQuota(scope, host, path)
        return quota

    def _forget_idle(self, quota: RouteQuota) -> None:
        """Forget the quota of an account without work here, once this runner owes it nothing.

        It first gives back what is left of its reservations, which no other write would do, and
        waits until it knows of each reserved job whether it is stored.
        """
        if quota.is_busy:
            return
        if quota.limit_tokens and self._writer.excess_tokens(quota):
            if now_ms() >= quota.next_release_ms:
                self._writer.start_write(quota)
            return
        if quota.limit_tokens and quota.unknown_since_ms:
            return
        del self._quotas[quota.name]
        self._writer.forget(quota)

    def _check_retention(self, record: JobRecord, route: Route, tokens: int) -> JobRefusal | None:
        work = self._ranking.own_work(record.caller)
        missing = tokens_beyond_retention(
            work, tokens, route.completion_target_ms, route.retention_ms
        )
        if not missing:
            return None
        others = work.other_waiting_tokens
        return self._refusal("retention", missing, work.tokens_per_ms, others)

    async def _check_quota(self, record: JobRecord, route: Route, tokens: int) -> JobRefusal | None:
        if not route.max_waiting_tokens:
            return None
        scope = self._scopes.of_route(route, record.caller)
        quota = self._open_quota(scope, record.host, record.path)
        quota.limit_tokens = route.max_waiting_tokens
        quota.last_used_ms = now_ms()
        job_id = record.job_id
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
        others = self._other_waiting_tokens(quota)
        return self._refusal("quota", quota.missing_tokens, self._fleet_rate(), others)

    def _refusal(
        self,
        reason: str,
        missing_tokens: int,
        rate: float | None,
        other_waiting_tokens: Sequence[int],
    ) -> JobRefusal:
        delay_ms = retry_after_ms(missing_tokens, rate, self._random.random(), other_waiting_tokens)
        return JobRefusal(reason, missing_tokens, delay_ms)

    def _fleet_rate(self) -> float | None:
        own_rate = self._completions.tokens_per_ms()
        return None if own_rate is None else own_rate * (1 + len(self._load_table.runners()))

    def _other_waiting_tokens(self, quota: RouteQuota) -> list[int]:
        """Return the unfinished tokens that count towards each other limit, of all runners."""
        if not quota.scope.account:
            return []
        totals = Counter(self._waiting_tokens)
        for report in self._load_table.runners().values():
            totals.update(report.waiting_tokens)
        return [tokens for name, tokens in totals.items() if name != quota.name]

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
            self._are_reports_complete()
            and all(self._load_table.is_mutually_heard(peer, at_ms) for peer in registered),
        )

    def _are_reports_complete(self) -> bool:
        reports = self._load_table.runners().values()
        return all(len(report.waiting_tokens) < MAX_REPORTED_QUOTAS for report in reports)

    def _update_reservations(
        self, quota: RouteQuota, jobs: Sequence[JobProgress], contended: Set[str], at_ms: float
    ) -> None:
        """Start a write if the ledger as last seen differs too much from the jobs as known.

        :param jobs: the unfinished own jobs that count towards the limit.
        :param contended: the quotas that other runners report as nearly used up.
        """
        self._mark_contention(quota, at_ms)
        if at_ms < quota.next_release_ms:
            return
        unreserved = self._unreserved_jobs(quota, jobs)
        for reservation in unreserved:
            self._writer.request(
                quota, PendingRequest(ReservationRequest(reservation, is_accepted=True))
            )
        excess = self._writer.excess_tokens(quota)
        runners = 1 + len(self._peers.of_role("runner"))
        is_contended = quota.name in contended or quota.is_contended(at_ms)
        if is_contended or must_release(excess, quota.limit_tokens, runners):
            self._writer.start_write(quota)
        self._writer.find_abandoned(quota, at_ms)

    def _mark_contention(self, quota: RouteQuota, at_ms: float) -> None:
        if quota.ledger.total_tokens > CONTENDED_SHARE * quota.limit_tokens:
            quota.contended_ms = at_ms

    def _contended_elsewhere(self) -> set[str]:
        reports = self._load_table.runners().values()
        return {name for report in reports for name in report.contended_quotas}

    def _unreserved_jobs(self, quota: RouteQuota, jobs: Sequence[JobProgress]) -> list[Reservation]:
        """Return the reservations that the ledger lacks or has under another owner.

        :param jobs: the unfinished own jobs that count towards the limit.
        """
        own_id = self._registry.own_id
        reserved = {kept.job_id for kept in quota.ledger.reservations if kept.owner == own_id}
        reserved |= {pending.request.reservation.job_id for pending in quota.pending}
        return [
            Reservation(progress.job_id, progress.unfinished_tokens, own_id)
            for progress in jobs
            if progress.job_id not in reserved
        ]

    def dump(self) -> dict[str, object]:
        """Return the limits in use by quota, for the state dump."""
        return {
            quota.name: {
                "route": quota.scope.route_name,
                "account": quota.scope.account,
                "limit_tokens": quota.limit_tokens,
                "reserved_tokens": quota.ledger.total_tokens,
                "own_waiting_tokens": self._waiting_tokens.get(quota.name, 0),
            }
            for quota in self._quotas.values()
        }
