"""Assembles the services of an entry process on a deployment and runs them."""

from ebonyshore.frame.async_kernel import AsyncKernel
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.account_limits import AccountLimits
from ebonyshore.gateway.account_shares import AccountShares
from ebonyshore.gateway.authentication import Authenticator
from ebonyshore.gateway.entry_load_reporter import EntryLoadReporter
from ebonyshore.gateway.forwarder import Forwarder
from ebonyshore.gateway.front_server import FrontServer, ReadinessServer
from ebonyshore.gateway.isolation import IsolationDetector
from ebonyshore.gateway.job_call_forwarder import JobCallForwarder
from ebonyshore.gateway.lease_keeper import LeaseKeeper
from ebonyshore.gateway.list_check import StoreListCheck
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.gateway.stream_origins import StreamOrigins
from ebonyshore.host.deployment import Deployment
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.operator_server import METRICS_PORT, OperatorServer
from ebonyshore.host.process import SharedComponents, drain_limit_ms, run_process
from ebonyshore.link.load_service import LoadService


def make_entry_kernel(environment: HostEnvironment) -> AsyncKernel:
    """Return a kernel with all services of an entry registered."""
    settings, names = environment.settings, environment.deployment.names
    log, metrics, pool = environment.log, environment.metrics, environment.pool
    components = SharedComponents(environment)
    target_table, peers = components.targets.table, components.peers
    view = LoadView(
        settings.failure_domain, lambda: load_service.schedule_report(), target_table.speeds
    )
    origins = StreamOrigins(
        peers,
        target_table,
        lambda *message: load_service.send_now(*message),
        components.probe.is_in_touch,
        StoreListCheck(
            lambda: components.targets.read_groups(environment.store),
            target_table,
            environment.executor,
            log,
            metrics,
        ),
    )
    lease_keeper = _make_lease_keeper(environment, components)
    authenticator = Authenticator(names, components.config, lease_keeper.is_valid)
    account_limits = AccountLimits(
        settings.quota_rule,
        peers,
        components.config,
        lambda *message: load_service.send_now(*message),
        environment.clock,
        log,
        metrics,
        environment.random,
    )
    load_reporter = EntryLoadReporter(
        peers,
        target_table,
        view,
        components.suspicions,
        origins,
        lease_keeper,
        account_limits,
        components.pace_exchange,
        components.watch_monitor,
    )
    port = settings.first_internal_port
    load_service = LoadService(
        settings.ip, port, load_reporter.on_message, load_reporter.send, log, metrics
    )
    components.suspicions.on_change = load_service.schedule_report
    components.targets.on_leaving = load_service.schedule_report
    target_table.pace.on_news = load_service.schedule_report
    forwarder = Forwarder(
        names,
        target_table,
        view,
        pool,
        components.checker,
        components.crash_guard,
        origins,
        log,
        metrics,
        environment.random,
        authenticator,
    )
    account_shares = AccountShares(
        account_limits.listed_uses, components.config, log, environment.random
    )
    _connect_accounts(forwarder, account_limits, account_shares)
    job_calls = JobCallForwarder(names, peers, view, pool, log, metrics, environment.random)
    isolation_detector = IsolationDetector(
        peers, view, components.probe, log, lease_keeper.is_valid
    )
    kernel = AsyncKernel()
    kernel.register(load_service)
    kernel.register(components.probe)
    kernel.register(components.crash_guard)
    kernel.register(components.watch_service())
    kernel.register(lease_keeper)
    kernel.register(account_limits)
    kernel.register(account_shares)
    kernel.register(
        ReadinessServer(
            settings.ready,
            names,
            components.config,
            components.targets,
            isolation_detector,
            lambda: view.has_totals,
            settings.connection_limits.operators,
        )
    )
    kernel.register(
        FrontServer(
            settings.front,
            names,
            components.config,
            forwarder,
            job_calls,
            authenticator,
            account_limits,
            log,
            metrics,
            settings.memory_bytes,
            settings.connection_limits.clients,
            drain_limit_ms(settings),
        )
    )
    kernel.register(
        OperatorServer(
            settings.ip, METRICS_PORT, kernel, metrics, settings.connection_limits.operators
        )
    )
    return kernel


def _make_lease_keeper(environment: HostEnvironment, components: SharedComponents) -> LeaseKeeper:
    return LeaseKeeper(
        environment.settings.revocation_ms,
        environment.incarnation,
        components.config,
        components.config_reader,
        environment.clock,
        environment.random.random,
        environment.log,
        environment.metrics,
    )


def _connect_accounts(
    forwarder: Forwarder, account_limits: AccountLimits, account_shares: AccountShares
) -> None:
    """Let the forwarder count the runs of accounts and check their shares."""
    forwarder.on_run_start = account_limits.record_start
    forwarder.on_run_end = account_limits.record_end
    forwarder.on_not_run = account_limits.give_back
    forwarder.check_share = account_shares.check


def run_entry(deployment: Deployment) -> ResultCode:
    """Run an entry until it receives a stop signal.

    :return: the result code of the process, see :func:`run_process`.
    :raises SettingsError: if the settings of the process are missing or invalid.
    """
    return run_process(HostEnvironment(deployment, "entry"), make_entry_kernel)
