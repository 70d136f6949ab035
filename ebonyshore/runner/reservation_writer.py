"""Writes the reservations of this runner's jobs to the ledgers in the store.

One write at a time for each ledger; requests that arrive in the meantime share the next one.
"""

from asyncio import Task, create_task
from collections.abc import Iterable

from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner.job_registry import JobRegistry, KnownJob
from ebonyshore.runner.quota_ledger import (
    KnownReservations,
    LedgerChange,
    QuotaLedger,
    Reservation,
    change_ledger,
    unreserved_tokens,
)
from ebonyshore.runner.quota_scopes import QuotaScopes
from ebonyshore.runner.quota_storage import QuotaStorage
from ebonyshore.runner.route_quota import PendingRequest, RouteQuota

RELEASE_INTERVAL_MS = 400.0  # between two writes of a quota that only release tokens
RETRY_INTERVAL_MS = 500.0  # after a failed write; doubled after each further one
MAX_RETRY_INTERVAL_MS = 4_000.0
MAX_DOUBLINGS = 8  # keeps the power of two small; the interval is limited before
# A job whose reservation is stored but whose record is not may still be stored this much later.
ABANDONED_AFTER_MS = 8_000.0
# For which a given-up reservation is removed again, should a delayed write add it.
RELEASED_MEMORY_MS = 20_000.0


class ReservationWriter:
    """Adds reservations to the ledgers and gives back those that are not needed any more.

    :param registry: the known jobs.
    :param load_table: the waiting tokens that other runners report.
    :param storage: reads and changes the ledgers.
    :param scopes: tells which ledger a job belongs in.
    """

    def __init__(
        self,
        registry: JobRegistry,
        load_table: LoadTable,
        storage: QuotaStorage,
        scopes: QuotaScopes,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._load_table = load_table
        self._storage = storage
        self._scopes = scopes
        self._log = log
        self._released_ms: dict[tuple[str, str], float] = {}  # by job id and owner
        self._checks: set[Task[None]] = set()

    def release(self, job_id: str) -> None:
        """Give back the reservation of a job that this runner has failed to store."""
        self._released_ms[job_id, self._registry.own_id] = now_ms()

    def reported_tokens(self, name: str) -> dict[str, int]:
        """Return the waiting tokens that the other runners report for a quota."""
        return {
            runner: report.waiting_tokens.get(name, 0)
            for runner, report in self._load_table.runners().items()
        }

    def known_reservations(self, name: str, jobs: Iterable[KnownJob]) -> KnownReservations:
        """Return what this runner knows of reserved jobs. Unknown jobs may be stored elsewhere.

        :param name: name of the quota. A job that counts towards another one, because its id was
            used by two accounts or the configuration has changed, needs no reservation here.
        :param jobs: the known jobs that the ledger may contain.
        """
        registry = self._registry
        current: dict[str, Reservation] = {}
        for job in jobs:
            scope = self._scopes.of_record(job.record)
            is_elsewhere = scope is not None and scope.name != name
            tokens = 0 if is_elsewhere else registry.unfinished_tokens(job)
            if tokens is not None:
                current[job.job_id] = Reservation(job.job_id, tokens, registry.own_id)
        released = frozenset(key for key in self._released_ms if not registry.is_known(key[0]))
        return KnownReservations(current, released)

    def request(self, quota: RouteQuota, pending: PendingRequest) -> None:
        """Add a request to those of the next write, and start that if none is in progress."""
        quota.pending.append(pending)
        self.start_write(quota)

    def start_write(self, quota: RouteQuota) -> None:
        """Bring a ledger up to date, unless a write is in progress."""
        if quota.task is None:
            quota.task = create_task(self._write(quota))

    def excess_tokens(self, quota: RouteQuota) -> int:
        """Return the reserved tokens in a ledger as last seen that are not needed any more."""
        reserved = (self._registry.find(kept.job_id) for kept in quota.ledger.reservations)
        jobs = [job for job in reserved if job is not None]
        current = self.known_reservations(quota.name, jobs).update(quota.ledger)
        return quota.ledger.total_tokens - current.total_tokens

    def forget(self, quota: RouteQuota) -> None:
        """Drop the copy of the ledger of a quota that is not in use any more."""
        self._storage.forget(quota.name)

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
        known = self.known_reservations(quota.name, self._registry.known_jobs())
        reported = self.reported_tokens(quota.name)
        limit_tokens = quota.limit_tokens

        def change(ledger: QuotaLedger) -> LedgerChange:
            others = unreserved_tokens(ledger, reported)
            return change_ledger(
                ledger, known, requests, limit_tokens, others, self._storage.ledger_bytes
            )

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

    def find_abandoned(self, quota: RouteQuota, at_ms: float) -> None:
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

    def forget_old_releases(self, at_ms: float) -> None:
        """Forget given-up reservations that no write in transit can add any more."""
        self._released_ms = {
            key: since_ms
            for key, since_ms in self._released_ms.items()
            if at_ms - since_ms < RELEASED_MEMORY_MS
        }

    def keep(self, job_id: str) -> None:
        """Undo :meth:`release`, because the job is submitted again."""
        self._released_ms.pop((job_id, self._registry.own_id), None)
