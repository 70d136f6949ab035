"""Puts a runner on a deployment together and runs it."""

from asyncio import Event, Task, create_task, sleep, timeout

from ebonyshore.frame.async_kernel import AsyncKernel, AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.deployment import Deployment
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.operator_server import METRICS_PORT, OperatorServer
from ebonyshore.host.process import (
    PEERS_WATCH_PAUSE_MS,
    TARGETS_WATCH_PAUSE_MS,
    make_probe,
    make_registration,
    make_watch,
    run_process,
)
from ebonyshore.host.target_service import TargetService
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.watch_service import WatchService
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.link.load_service import LoadService
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory
from ebonyshore.runner.item_runs import ItemRuns
from ebonyshore.runner.job_api import JobApi
from ebonyshore.runner.job_expiry import JobExpiry
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.job_storage import JOBS_KIND, JobStorage
from ebonyshore.runner.presence import Presence
from ebonyshore.runner.result_writer import ResultWriter
from ebonyshore.runner.retirement import Retirement
from ebonyshore.runner.runner_load import RunnerLoad

MAX_STEP_INTERVAL_MS = 100.0
MIN_STEP_INTERVAL_MS = 4.0
JOBS_WATCH_PAUSE_MS = 300.0  # a new job reaches its owner by a call; the watch is for the others


class RunnerService(AsyncService):
    """Steps through claims, runs and writes whenever something has changed."""

    name = "runner"

    def __init__(
        self,
        registry: JobRegistry,
        runs: ItemRuns,
        writer: ResultWriter,
        load: LoadService,
        presence: Presence,
        expiry: JobExpiry,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._runs = runs
        self._writer = writer
        self._load = load
        self._presence = presence
        self._expiry = expiry
        self._log = log
        self._changed = Event()
        self._task: Task[None] | None = None
        self._release: Task[None] | None = None
        registry.on_change = self._note_change

    async def start(self) -> None:
        self._registry.begin()
        self._expiry.start()
        self._task = create_task(self._run())

    def begin_drain(self) -> None:
        self._runs.stop_all()
        self._release = create_task(self._hand_over())

    def is_drained(self) -> bool:
        return self._release is not None and self._release.done()

    async def stop(self) -> None:
        self._runs.stop_all()
        self._expiry.stop()
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, object]:
        return {"jobs": self._registry.dump(), "running": self._runs.dump()}

    def _note_change(self) -> None:
        self._changed.set()
        self._load.note_change()

    async def _hand_over(self) -> None:
        """Store what has ended, then let other runners go on with the rest."""
        while not self._writer.is_idle:
            self._writer.start_due(is_urgent=True)
            await sleep(MIN_STEP_INTERVAL_MS / MS_PER_S)
        await self._registry.release_all()

    async def _run(self) -> None:
        while True:
            try:
                async with timeout(MAX_STEP_INTERVAL_MS / MS_PER_S):
                    await self._changed.wait()
            except TimeoutError:
                pass  # timers of items and claims are looked at in every step
            self._changed.clear()
            try:
                self._presence.step()
                self._registry.claim_free()
                self._runs.step()
                self._writer.start_due()
            except Exception as error:  # noqa: BLE001 - one job must not stop the others
                self._log.event("runner_step_failed", error=repr(error))
            await sleep(MIN_STEP_INTERVAL_MS / MS_PER_S)


def make_runner_kernel(environment: HostEnvironment) -> AsyncKernel:
    """Return the services of a runner."""
    deployment, settings = environment.deployment, environment.settings
    log, metrics = environment.log, environment.metrics
    config = ConfigService(deployment.config_key, deployment.decode_config, log)
    table = TargetTable()
    targets = TargetService(table, deployment.decode_target, environment.pool, log)
    peers = PeerDirectory(environment.own_record(), environment.marked_store, log)
    board = LoadBoard(settings.instance_id)
    registration = make_registration(environment, peers)
    presence = Presence(peers, board, registration, environment.clock, log)
    registry = JobRegistry(
        settings.instance_id,
        environment.incarnation,
        JobStorage(environment.marked_store),
        board,
        peers,
        environment.clock,
        environment.executor,
        log,
    )
    runner_load = RunnerLoad(peers, table, board, registry, environment.clock)
    load = LoadService(
        settings.ip,
        settings.first_internal_port,
        runner_load.on_message,
        runner_load.send,
        log,
        metrics,
    )
    runs = ItemRuns(
        deployment.names,
        registry,
        config,
        table,
        board,
        environment.pool,
        environment.clock,
        log,
        metrics,
        environment.random,
    )
    retirement = Retirement(
        deployment, environment.store, registry, board, environment.executor, log
    )
    expiry = JobExpiry(registry, board, settings.result_retention_ms, environment.clock, log)
    watches = [
        make_watch(environment, deployment.config_key.split("/", 1)[0], config),
        make_watch(environment, deployment.targets_kind, targets, TARGETS_WATCH_PAUSE_MS),
        make_watch(environment, PEERS_KIND, peers, PEERS_WATCH_PAUSE_MS),
        make_watch(environment, JOBS_KIND, registry, JOBS_WATCH_PAUSE_MS),
        make_watch(environment, deployment.retirements_kind, retirement),
    ]
    api = JobApi(
        settings.ip,
        settings.first_internal_port,
        deployment,
        registry,
        config,
        environment.clock,
        log,
        metrics,
    )
    kernel = AsyncKernel()
    kernel.register(load)
    kernel.register(make_probe(environment, config))
    kernel.register(WatchService(watches, registration, targets))
    kernel.register(
        RunnerService(
            registry,
            runs,
            ResultWriter(registry, environment.clock, log, metrics),
            load,
            presence,
            expiry,
            log,
        )
    )
    kernel.register(api)
    kernel.register(OperatorServer(settings.ip, METRICS_PORT, kernel, metrics))
    return kernel


def run_runner(deployment: Deployment) -> ResultCode:
    """Run a runner until it is told to stop.

    :raises SettingsError: if its settings are invalid.
    """
    return run_process(HostEnvironment(deployment, "runner"), make_runner_kernel)
