"""Creates the services of a runner for a deployment and runs them."""

from asyncio import Event, Task, sleep, timeout
from time import thread_time

from ebonyshore.frame.async_kernel import AsyncKernel, AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.deployment import Deployment
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.memory_guard import resident_bytes
from ebonyshore.host.operator_server import METRICS_PORT, OperatorServer
from ebonyshore.host.process import SharedComponents, run_process
from ebonyshore.http.memory_budget import connection_limit_bytes
from ebonyshore.link.load_service import LoadService
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PEERS_KIND
from ebonyshore.link.renewals import RENEWALS_KIND, RenewalListener, RenewalWriter
from ebonyshore.runner.account_totals import AccountTotalsService
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.config_confirmer import ConfigConfirmer
from ebonyshore.runner.item_saver import ItemSaver
from ebonyshore.runner.item_scheduler import ItemScheduler
from ebonyshore.runner.job_admission import JobAdmission
from ebonyshore.runner.job_api import JobApi
from ebonyshore.runner.job_claims import JobClaims
from ebonyshore.runner.job_expiry import JobExpiry
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.job_storage import JOBS_KIND, JobStorage
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.output_budget import OutputBudget
from ebonyshore.runner.peer_monitor import PeerMonitor
from ebonyshore.runner.quota_storage import QuotaStorage
from ebonyshore.runner.record_keepers import make_record_keepers
from ebonyshore.runner.result_writer import ResultWriter
from ebonyshore.runner.retirement import RetirementHandler
from ebonyshore.runner.runner_load import RunnerLoad
from ebonyshore.store.kind_watch import KindWatch

MAX_STEP_INTERVAL_MS = 100.0
MIN_STEP_INTERVAL_MS = 4.0
MAX_STEP_SHARE = 0.25  # of a core, for the steps; a step costs more in a larger fleet
MAX_STEP_PAUSE_MS = 250.0  # whatever a step costs
MAX_SAVE_TIME_MS = 1_000.0  # that a runner which stops spends on storing unfinished items
# Pause between two watches of the job records, which saves calls to the store. The owner of a new
# job receives it by a call. Other runners need the record only when they may claim the job, that is
# OWNER_TIMEOUT_MS after its owner's last sign of life, or when the owner releases it.
JOBS_WATCH_PAUSE_MS = 1_000.0
RENEWALS_WATCH_PAUSE_MS = 200.0  # with RENEW_INTERVAL_MS below OWNER_TIMEOUT_MS


class RunnerService(AsyncService):
    """Runs the main loop: monitors peers, claims jobs, schedules items and writes results.

    The loop runs after each change, and at least every :data:`MAX_STEP_INTERVAL_MS`.

    :param registry: the known jobs; the service takes over its ``on_change`` callback.
    :param load: told of each change, so that this runner's load is reported soon.
    """

    name = "runner"

    def __init__(
        self,
        registry: JobRegistry,
        claims: JobClaims,
        item_scheduler: ItemScheduler,
        writer: ResultWriter,
        saver: ItemSaver,
        admission: JobAdmission,
        load: LoadService,
        peer_monitor: PeerMonitor,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._claims = claims
        self._item_scheduler = item_scheduler
        self._writer = writer
        self._saver = saver
        self._admission = admission
        self._load = load
        self._peer_monitor = peer_monitor
        self._log = log
        self._change_event = Event()
        self._hand_over_task: Task[None] | None = None
        registry.on_change = self._note_change

    async def start(self) -> None:
        self._claims.note_start()
        self.spawn(self._run_loop())

    def begin_drain(self) -> None:
        self._hand_over_task = self.spawn(self.hand_over())

    def is_drained(self) -> bool:
        return self._hand_over_task is not None and self._hand_over_task.done()

    async def stop(self) -> None:
        await super().stop()
        self._item_scheduler.stop_all()

    def dump(self) -> dict[str, object]:
        return {
            "jobs": self._registry.dump(),
            "running": self._item_scheduler.dump(),
            "quotas": self._admission.dump(),
        }

    def _note_change(self) -> None:
        self._change_event.set()
        self._load.schedule_report()

    async def hand_over(self) -> None:
        """Stop all items, store results and unfinished items, and release the unfinished jobs."""
        self._item_scheduler.stop_all()
        while not self._writer.is_idle:
            self._writer.start_due_writes(is_urgent=True)
            await sleep(MIN_STEP_INTERVAL_MS / MS_PER_S)
        await self._save_items()
        await self._claims.release_jobs()

    async def _save_items(self) -> None:
        """Store the unfinished items, but do not wait for a store that does not respond."""
        deadline_ms = now_ms() + MAX_SAVE_TIME_MS
        while not self._saver.is_idle() and now_ms() < deadline_ms:
            self._saver.step(is_urgent=True)
            await sleep(MIN_STEP_INTERVAL_MS / MS_PER_S)

    async def _run_loop(self) -> None:
        while True:
            try:
                async with timeout(MAX_STEP_INTERVAL_MS / MS_PER_S):
                    await self._change_event.wait()
            except TimeoutError:
                pass  # items and claims may have become due with time
            self._change_event.clear()
            began_s = thread_time()
            self._step()
            cost_ms = (thread_time() - began_s) * MS_PER_S
            await sleep(step_pause_ms(cost_ms) / MS_PER_S)

    def _step(self) -> None:
        try:
            self._peer_monitor.check_peers()
            self._claims.claim_unowned_jobs()
            self._item_scheduler.schedule_items()
            self._writer.start_due_writes()
            self._saver.step()
            self._admission.step()
        except Exception as error:  # noqa: BLE001 - a failure in one job must not stop others
            self._log.event("runner_step_failed", error=repr(error))


def step_pause_ms(cost_ms: float) -> float:
    """Return the time from the end of a step to the next one.

    :param cost_ms: processor time of the step.
    """
    pause_ms = cost_ms * (1.0 / MAX_STEP_SHARE - 1.0)
    return min(MAX_STEP_PAUSE_MS, max(MIN_STEP_INTERVAL_MS, pause_ms))


def make_runner_kernel(environment: HostEnvironment) -> AsyncKernel:
    """Return a kernel with the services of a runner."""
    deployment, settings = environment.deployment, environment.settings
    log, metrics, clock = environment.log, environment.metrics, environment.clock
    host, port = settings.ip, settings.first_internal_port
    parts = SharedComponents(environment)
    table = parts.targets.table
    load_table = LoadTable(settings.instance_id)
    registry = JobRegistry(
        settings.instance_id,
        environment.incarnation,
        JobStorage(environment.marked_store, settings.value_limit),
        load_table,
        parts.peers,
        clock,
        environment.executor,
        log,
        lambda: parts.peers.has_listing and not parts.watch_monitor.is_behind(PEERS_KIND),
        settings.value_limit.batch_bytes,
    )
    claims = JobClaims(registry, load_table, clock, log)
    completions = CompletionRate()
    ranking = JobRanking(registry, completions, clock)
    admission = JobAdmission(
        registry,
        parts.config,
        load_table,
        parts.peers,
        QuotaStorage(environment.store, clock, settings.value_limit.record_bytes),
        completions,
        ranking,
        clock,
        log,
        metrics,
        environment.random,
    )
    origins = OriginRegistry(settings.instance_id, table, parts.probe.is_in_touch)
    runner_load = RunnerLoad(
        parts.peers,
        table,
        load_table,
        registry,
        claims,
        admission,
        parts.suspicions,
        parts.pace_exchange,
        clock,
        origins,
        parts.watch_monitor,
        lambda: parts.probe.is_silent,
    )
    load = LoadService(host, port, runner_load.on_message, runner_load.send, log, metrics)
    runner_load.send_now = load.send_now
    account_totals = AccountTotalsService(
        settings.quota_rule, parts.peers, load_table, parts.config, load.send_now, clock
    )
    runner_load.on_account_usage = account_totals.on_usage
    parts.suspicions.on_change = load.schedule_report
    parts.targets.on_leaving = load.schedule_report
    table.pace.on_news = load.schedule_report
    item_scheduler = ItemScheduler(
        deployment.names,
        registry,
        parts.config,
        table,
        load_table,
        environment.pool,
        parts.checker,
        parts.crash_guard,
        completions,
        ranking,
        clock,
        log,
        metrics,
        environment.random,
        OutputBudget(connection_limit_bytes(settings.memory_bytes, resident_bytes())),
    )
    writer = ResultWriter(registry, clock, log, metrics)
    saver = ItemSaver(registry, load_table, log, metrics, settings.value_limit.batch_bytes)
    renewal_listener = RenewalListener(settings.instance_id, environment.marked_store, log)
    peer_monitor = _make_peer_monitor(environment, parts, load_table, renewal_listener)
    runner = RunnerService(
        registry, claims, item_scheduler, writer, saver, admission, load, peer_monitor, log
    )
    kernel = AsyncKernel()
    kernel.register(load)
    kernel.register(parts.probe)
    kernel.register(parts.crash_guard)
    kernel.register(
        parts.watch_service(
            [
                *_make_watches(environment, parts, registry, runner, load_table),
                parts.make_watch(RENEWALS_KIND, renewal_listener, RENEWALS_WATCH_PAUSE_MS),
            ]
        )
    )
    kernel.register(runner)
    for keeper in make_record_keepers(environment, parts, registry, load_table, origins):
        kernel.register(keeper)
    kernel.register(_make_config_confirmer(environment, parts, load_table, load))
    kernel.register(account_totals)
    kernel.register(JobExpiry(registry, load_table, settings.result_retention_ms, log))
    kernel.register(
        JobApi(
            host,
            port,
            deployment,
            registry,
            admission,
            parts.config,
            clock,
            log,
            metrics,
            settings.memory_bytes,
            settings.connection_limits.clients,
        )
    )
    kernel.register(
        OperatorServer(host, METRICS_PORT, kernel, metrics, settings.connection_limits.operators)
    )
    return kernel


def _make_peer_monitor(
    environment: HostEnvironment,
    parts: SharedComponents,
    load_table: LoadTable,
    renewal_listener: RenewalListener,
) -> PeerMonitor:
    log = environment.log
    writer = RenewalWriter(parts.peers.own, environment.marked_store, log, environment.executor)
    return PeerMonitor(
        parts.peers,
        load_table,
        parts.registration,
        writer,
        renewal_listener,
        environment.clock,
        log,
    )


def _make_config_confirmer(
    environment: HostEnvironment,
    parts: SharedComponents,
    load_table: LoadTable,
    load: LoadService,
) -> ConfigConfirmer:
    return ConfigConfirmer(
        environment.settings.revocation_ms,
        parts.config,
        parts.config_reader,
        load_table,
        parts.peers,
        lambda: parts.probe.is_silent,
        load.send_now,
        environment.metrics,
    )


def _make_watches(
    environment: HostEnvironment,
    parts: SharedComponents,
    registry: JobRegistry,
    runner: RunnerService,
    load_table: LoadTable,
) -> list[KindWatch]:
    deployment = environment.deployment
    retirement = RetirementHandler(
        deployment,
        environment.store,
        registry.own_id,
        runner.hand_over,
        load_table,
        environment.executor,
        environment.log,
    )
    return [
        parts.make_watch(JOBS_KIND, registry, JOBS_WATCH_PAUSE_MS),
        parts.make_watch(deployment.retirements_kind, retirement),
    ]


def run_runner(deployment: Deployment) -> ResultCode:
    """Run a runner process until it is told to stop.

    :raises SettingsError: if the settings of the process are invalid.
    """
    return run_process(HostEnvironment(deployment, "runner"), make_runner_kernel)
