"""Puts an entry on a deployment together and runs it."""

import asyncio

from ebonyshore.frame.async_kernel import AsyncKernel, run_until_signal
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.config_service import ConfigService
from ebonyshore.gateway.deployment import Deployment
from ebonyshore.gateway.entry_load import EntryLoad
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.front import Front, Readiness
from ebonyshore.gateway.host_environment import HostEnvironment
from ebonyshore.gateway.insight import METRICS_PORT, Insight
from ebonyshore.gateway.job_calls import JobCalls
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.gateway.target_service import TargetService
from ebonyshore.gateway.targets import TargetTable
from ebonyshore.gateway.watch_service import WatchService
from ebonyshore.link.load_service import LoadService
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory, Registration
from ebonyshore.store.kind_watch import KindListener, KindWatch

EXIT_MARGIN_MS = 700.0  # of the grace period, to stop before the kill


def make_watch(
    environment: HostEnvironment, kind: str, listener: KindListener, pause_ms: float = 0.0
) -> KindWatch:
    """Return a watch of one kind."""
    return KindWatch(
        environment.store,
        kind,
        listener,
        environment.clock,
        environment.log,
        environment.random,
        pause_ms,
    )


def make_registration(environment: HostEnvironment, peers: PeerDirectory) -> Registration:
    """Return the registration of this process."""
    return Registration(
        peers.own,
        environment.marked_store,
        environment.clock,
        environment.log,
        environment.executor,
    )


def make_entry_kernel(environment: HostEnvironment) -> AsyncKernel:
    """Return the services of an entry."""
    deployment, settings = environment.deployment, environment.settings
    log, metrics = environment.log, environment.metrics
    config = ConfigService(deployment.config_key, deployment.decode_config, log)
    table = TargetTable()
    targets = TargetService(table, deployment.decode_target, environment.pool, log)
    peers = PeerDirectory(environment.own_record(), environment.marked_store, log)
    view = LoadView(settings.failure_domain, lambda: load.note_change())
    entry_load = EntryLoad(peers, table, view)
    load = LoadService(
        settings.ip,
        settings.first_internal_port,
        entry_load.on_message,
        entry_load.send,
        log,
        metrics,
    )
    forwarder = Forwarder(
        deployment.names, table, view, environment.pool, log, metrics, environment.random
    )
    jobs = JobCalls(
        deployment.names, peers, view, environment.pool, log, metrics, environment.random
    )
    watches = [
        make_watch(environment, deployment.config_key.split("/", 1)[0], config),
        make_watch(environment, deployment.targets_kind, targets),
        make_watch(environment, PEERS_KIND, peers),
    ]
    kernel = AsyncKernel()
    kernel.register(load)
    kernel.register(WatchService(watches, make_registration(environment, peers), targets))
    kernel.register(Readiness(settings.ready, deployment.names, config, targets))
    kernel.register(Front(settings.front, deployment.names, config, forwarder, jobs, log))
    kernel.register(Insight(settings.ip, METRICS_PORT, kernel, metrics))
    return kernel


def run_entry(deployment: Deployment) -> ResultCode:
    """Run an entry until it is told to stop.

    :raises SettingsError: if its settings are invalid.
    """
    environment = HostEnvironment(deployment, "entry")
    environment.open_log()
    try:
        return asyncio.run(_run(environment))
    finally:
        environment.close()


async def _run(environment: HostEnvironment) -> ResultCode:
    kernel = make_entry_kernel(environment)
    bound_ms = environment.settings.grace_ms - EXIT_MARGIN_MS
    is_drained = await run_until_signal(kernel, environment.log, bound_ms, environment.reload)
    environment.store.cancel_watches()
    return ResultCode.OK if is_drained else ResultCode.STREAM_BROKEN
