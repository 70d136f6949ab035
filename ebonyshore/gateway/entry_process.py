"""Puts an entry on a deployment together and runs it."""

from ebonyshore.frame.async_kernel import AsyncKernel
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.entry_load import EntryLoad
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.front import Front, Readiness
from ebonyshore.gateway.isolation import Isolation
from ebonyshore.gateway.job_calls import JobCalls
from ebonyshore.gateway.load_view import LoadView
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
from ebonyshore.link.load_service import LoadService
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory


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
        make_watch(environment, deployment.targets_kind, targets, TARGETS_WATCH_PAUSE_MS),
        make_watch(environment, PEERS_KIND, peers, PEERS_WATCH_PAUSE_MS),
    ]
    isolation = Isolation(
        peers,
        view,
        lambda: environment.store.get(deployment.config_key),
        environment.executor,
        log,
    )
    kernel = AsyncKernel()
    kernel.register(load)
    kernel.register(make_probe(environment, config))
    kernel.register(WatchService(watches, make_registration(environment, peers), targets))
    kernel.register(isolation)
    kernel.register(Readiness(settings.ready, deployment.names, config, targets, isolation))
    kernel.register(Front(settings.front, deployment.names, config, forwarder, jobs, log))
    kernel.register(OperatorServer(settings.ip, METRICS_PORT, kernel, metrics))
    return kernel


def run_entry(deployment: Deployment) -> ResultCode:
    """Run an entry until it is told to stop.

    :raises SettingsError: if its settings are invalid.
    """
    return run_process(HostEnvironment(deployment, "entry"), make_entry_kernel)
