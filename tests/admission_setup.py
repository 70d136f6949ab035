"""Runners that admit jobs against one in-memory store, for tests of the limits of routes."""

from concurrent.futures import ThreadPoolExecutor
from random import Random

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.accounts import Account
from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.host.routes import Route, RouteKind, RouteTable, ServiceConfig, ServiceShare
from ebonyshore.http.server_limits import ServerLimits
from ebonyshore.link.load_table import LoadReport, LoadTable
from ebonyshore.link.peers import PeerRecord
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.job_admission import JobAdmission
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.job_storage import JobStorage
from ebonyshore.runner.quota_ledger import QuotaLedger, quota_name
from ebonyshore.runner.quota_storage import QUOTAS_KIND, QuotaStorage
from ebonyshore.store.marked_write import MarkedStore

LIMIT_TOKENS = 100
ITEM_TOKENS = 10
ITEMS_PER_JOB = 3
JOB_TOKENS = ITEM_TOKENS * ITEMS_PER_JOB
SETTLE_TIMEOUT_MS = 200.0


def make_route(limit_tokens=LIMIT_TOKENS, retention_ms=60_000.0, due_ms=18_000.0):
    return Route(
        "plans",
        "h",
        "/p/",
        RouteKind.BATCH,
        (ServiceShare("svc", 1.0),),
        retention_ms=retention_ms,
        completion_target_ms=due_ms,
        max_waiting_tokens=limit_tokens,
    )


class FixedConfig:
    """A configuration with one route, which tests replace.

    :param accounts: names of the client accounts; ``None`` if there are none.
    """

    def __init__(self, route, accounts=None):
        self.set_route(route, accounts)

    def set_route(self, route, accounts=None):
        self.route = route
        found = None if accounts is None else tuple(Account(name) for name in accounts)
        self.table = RouteTable(ServiceConfig(1, (route,), {}, ServerLimits(), found))


class FixedPeers:
    """A peer directory with fixed runners."""

    def __init__(self, names):
        self._names = names

    def of_role(self, role):
        if role != "runner":
            return {}
        return {
            name: PeerRecord(name, role, "10.0.0.1", 7000, "fd", "run-1") for name in self._names
        }


class AdmittingRunner:
    """One runner: its registry, its admission, and what it reports to the others.

    :param platform: the object store that all runners share.
    """

    def __init__(self, name, names, platform, route, incarnation="run-1", accounts=None):
        self.name = name
        self.incarnation = incarnation
        self.platform = platform
        self.config = FixedConfig(route, accounts)
        self.clock = SystemClock()
        self.load_table = LoadTable(name)
        self.completions = CompletionRate()
        self.executor = ThreadPoolExecutor(4)
        peers = FixedPeers([other for other in names if other != name])
        store = MarkedStore(platform, self.clock, SETTLE_TIMEOUT_MS)
        self.registry = JobRegistry(
            name,
            incarnation,
            JobStorage(store),
            self.load_table,
            peers,
            self.clock,
            self.executor,
            EventLog(),
            lambda: True,
        )
        self.admission = JobAdmission(
            self.registry,
            self.config,
            self.load_table,
            peers,
            QuotaStorage(platform, self.clock),
            self.completions,
            JobRanking(self.registry, self.completions, self.clock),
            self.clock,
            EventLog(),
            Metrics(),
            Random(1),
        )
        self._sequence = 0

    def make_record(self, job_id, items=ITEMS_PER_JOB, caller=""):
        records = tuple(
            ItemRecord(f"{job_id}-{n}", "/p/x", (), b"b", ITEM_TOKENS) for n in range(items)
        )
        return JobRecord(
            job_id,
            "h",
            "/p/",
            self.clock.wall_ms(),
            60_000.0,
            18_000.0,
            3,
            records,
            owner=self.name,
            owner_incarnation=self.incarnation,
            epoch=1,
            caller=caller,
        )

    async def submit(self, job_id, items=ITEMS_PER_JOB, caller=""):
        """Admit and store a job; return the refusal, or ``None`` if it was accepted."""
        record = self.make_record(job_id, items, caller)
        refusal = await self.admission.admit(record, self.config.route)
        if refusal is None:
            await self.store(record)
        return refusal

    async def store(self, record):
        requested_ms = self.clock.boot_ms()
        stored = await self.registry.run_blocking(self.registry.storage.create, record)
        self.registry.add_accepted(stored, requested_ms)

    def end_items(self, job_id, count):
        """Complete items of an own job without listing their results."""
        progress = next(job for job in self.registry.owned_jobs() if job.job_id == job_id)
        for item in progress.items[:count]:
            progress.end_item(item, True, 0.0)

    def report_to(self, others):
        """Send a load report, as the runner does several times a second."""
        self._sequence += 1
        report = LoadReport(
            self.name,
            self.incarnation,
            self._sequence,
            "runner",
            {},
            heard_runners=tuple(other.name for other in others),
            waiting_tokens=self.admission.waiting_tokens(),
            contended_quotas=self.admission.contended_quotas(),
        )
        for other in others:
            other.load_table.add_report(report, self.clock.boot_ms())


def exchange_reports(runners):
    """Let all runners report to each other, twice, so that each is known to be heard."""
    for _ in range(2):
        for runner in runners:
            runner.report_to([other for other in runners if other is not runner])


def stored_ledger(platform, route=None, account=""):
    """Return the ledger of a route, or of an account there, as it is stored."""
    name = quota_name(route or make_route(), account)
    store = MarkedStore(platform, SystemClock())
    found = store.read(f"{QUOTAS_KIND}/{name}", QuotaLedger)
    return found.body if found is not None else QuotaLedger()
