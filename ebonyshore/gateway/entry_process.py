"""Puts an entry on a deployment together and runs it."""

from ebonyshore.frame.async_kernel import AsyncKernel
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.entry_load_reporter import EntryLoadReporter
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.front_server import FrontServer, ReadinessServer
from ebonyshore.gateway.isolation import IsolationDetector
from ebonyshore.gateway.job_call_forwarder import JobCallForwarder
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.deployment import Deployment
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.operator_server import METRICS_PORT, OperatorServer
from ebonyshore.host.process import SharedComponents, run_process
from ebonyshore.link.load_service import LoadService


def make_entry_kernel(environment: HostEnvironment) -> AsyncKernel:
    """Return the services of an entry."""
    settings, names = environment.settings, environment.deployment.names
    log, metrics, pool = environment.log, environment.metrics, environment.pool
    parts = SharedComponents(environment)
    table, peers = parts.targets.table, parts.peers
    view = LoadView(settings.failure_domain, lambda: load.note_change())
    entry_load = EntryLoadReporter(peers, table, view)
    port = settings.first_internal_port
    load = LoadService(settings.ip, port, entry_load.on_message, entry_load.send, log, metrics)
    forwarder = Forwarder(names, table, view, pool, log, metrics, environment.random)
    jobs = JobCallForwarder(names, peers, view, pool, log, metrics, environment.random)
    isolation = IsolationDetector(peers, view, parts.probe, log)
    kernel = AsyncKernel()
    kernel.register(load)
    kernel.register(parts.probe)
    kernel.register(parts.watch_service())
    kernel.register(ReadinessServer(settings.ready, names, parts.config, parts.targets, isolation))
    kernel.register(FrontServer(settings.front, names, parts.config, forwarder, jobs, log))
    kernel.register(OperatorServer(settings.ip, METRICS_PORT, kernel, metrics))
    return kernel


def run_entry(deployment: Deployment) -> ResultCode:
    """Run an entry until it is told to stop.

    :raises SettingsError: if its settings are invalid.
    """
    return run_process(HostEnvironment(deployment, "entry"), make_entry_kernel)
