"""Builds the services of an agent process and connects them."""

from werkzeug.wrappers import Request

from ebonyshore.agent.agent_server import AgentServer, Outgoing
from ebonyshore.agent.baseline_policies import find_policy
from ebonyshore.agent.dispatcher import BeginDrain, Dispatcher, ModelsChanged, ReceivedMessage
from ebonyshore.agent.fencing import FencingGuard, OrderTask, ReceivedOrder
from ebonyshore.agent.http_target_client import HttpEngineClient, HttpServiceClient
from ebonyshore.agent.step_time_model import StepTimeModel
from ebonyshore.agent.target_runner import ThreadRunner
from ebonyshore.entry.callers import limit_for_caller
from ebonyshore.entry.rate_coordinator import RateCoordinator
from ebonyshore.frame.admin_api import AdminApi
from ebonyshore.frame.daemon import Daemon
from ebonyshore.frame.dump import dump_process
from ebonyshore.frame.environment import Environment
from ebonyshore.frame.errors import SettingsError
from ebonyshore.frame.http_service import HttpService
from ebonyshore.frame.kernel import Kernel
from ebonyshore.frame.task_service import TaskService
from ebonyshore.link.messages import (
    CallerShares,
    Cancel,
    CrashReport,
    Dispatch,
    EntryMessage,
    Hello,
    Order,
    Ping,
    SettingsRequest,
    SettingsSnapshot,
    UsageDigest,
    VerdictShare,
)
from ebonyshore.settings.settings_service import SettingsPuller, SettingsService, SettingsWatcher

ADMIN_THREADS = 2


def make_agent(environment: Environment) -> Daemon:
    """Build an agent from the settings, clock, store and log of ``environment``.

    :return: the daemon with all services registered; none is started yet.
    :raises SettingsError: the process settings have no ``target`` section.
    """
    target = environment.settings.target
    if target is None:
        raise SettingsError("target: section missing; an agent requires it")
    kernel = Kernel(environment.clock)
    settings = SettingsService(environment.log)
    server = AgentServer(
        f"tcp://{target.listen_address}:{target.port}",
        environment.settings.instance.instance_id,
        environment.incarnation,
        target.kind,
        environment.settings.fleet,
        environment.clock,
        environment.metrics,
        environment.log,
    )
    tier = settings.current().root()
    step_times = StepTimeModel(tier.engine_base_step_ms, tier.engine_sequence_step_ms)
    target_client = (
        HttpEngineClient(target.url) if target.kind == "engine" else HttpServiceClient(target.url)
    )
    dispatcher = Dispatcher(
        ThreadRunner(
            target_client,
            target.max_running,
            environment.clock,
            environment.metrics,
            environment.log,
        ),
        server,
        settings,
        target,
        environment.settings.instance.instance_id,
        environment.incarnation,
        step_times,
        environment.settings.batch.permit_interval_ms,
        environment.clock,
        environment.metrics,
        environment.log,
        find_policy(target.policy),
    )
    orders = OrderTask(
        target_client if isinstance(target_client, HttpEngineClient) else None,
        FencingGuard(environment.store, environment.settings.instance.instance_id),
        server,
        lambda models: dispatcher.post(ModelsChanged(models)),
        environment.clock,
        environment.metrics,
        environment.log,
    )
    _subscribe_handlers(environment, server, dispatcher, orders, settings)
    daemon = Daemon(environment, kernel)
    kernel.register(TaskService(_make_watcher(environment, settings), dump=settings.dump))
    kernel.register(TaskService(server))
    kernel.register(TaskService(orders))
    kernel.register(
        TaskService(
            dispatcher,
            lambda: dispatcher.post(BeginDrain()),
            lambda: dispatcher.is_idle,
            dispatcher.dump,
        )
    )
    kernel.register(_make_admin(environment, kernel, daemon))
    return daemon


def _make_watcher(environment: Environment, settings: SettingsService) -> SettingsWatcher:
    """Return the task that reads the settings once from the store when the agent starts.

    It does not watch the store: entries send later changes to the agent.
    """
    return SettingsWatcher(
        environment.store,
        settings,
        environment.settings.platform.watch_timeout_ms,
        environment.clock,
        environment.log,
        should_watch=False,
    )


def _subscribe_handlers(
    environment: Environment,
    server: AgentServer,
    dispatcher: Dispatcher,
    orders: OrderTask,
    settings: SettingsService,
) -> None:
    """Subscribe the handler of each message type that entries send."""
    settings_puller = SettingsPuller(settings, environment.clock)

    def forward(peer: bytes, message: EntryMessage) -> None:
        dispatcher.post(ReceivedMessage(peer, message))

    def request_newer_settings(peer: bytes, message: Hello | Ping | Dispatch) -> None:
        if settings_puller.should_request(message.settings_revision):
            server.post(Outgoing(peer, SettingsRequest(settings.revision_for_request())))

    def send_settings(peer: bytes, message: SettingsRequest) -> None:
        if settings.newest_head().revision > message.known_revision:
            server.post(Outgoing(peer, settings.make_snapshot(message.known_revision)))

    def receive_dispatch(peer: bytes, message: Dispatch) -> None:
        request_newer_settings(peer, message)
        forward(peer, message)

    def receive_hello(peer: bytes, message: Hello) -> None:
        request_newer_settings(peer, message)
        forward(peer, message)

    server.subscribe(Dispatch, receive_dispatch)
    for kind in (Cancel, VerdictShare, CrashReport):
        server.subscribe(kind, forward)
    server.subscribe(Order, lambda peer, order: orders.post(ReceivedOrder(peer, order)))
    server.subscribe(SettingsSnapshot, lambda _, message: settings.adopt_snapshot(message))
    server.subscribe(SettingsRequest, send_settings)
    server.subscribe(Hello, receive_hello)
    server.subscribe(Ping, request_newer_settings)
    rate_coordinator = RateCoordinator(lambda caller: limit_for_caller(settings.current(), caller))

    def receive_usage(peer: bytes, message: UsageDigest) -> None:
        shares = rate_coordinator.record_usage(peer, message.usages, server.clock.monotonic_ms())
        server.post(Outgoing(peer, CallerShares(shares)))

    server.subscribe(UsageDigest, receive_usage)
    server.subscribe_peer_lost(dispatcher.post)


def _make_admin(environment: Environment, kernel: Kernel, daemon: Daemon) -> HttpService:
    admin = environment.settings.admin
    api = AdminApi(admin.operator_token, environment.metrics)

    def drain(request: Request) -> object:
        daemon.request_stop()
        return {}

    api.add_route("GET", "/admin/v1/dump", lambda _: dump_process(environment, kernel))
    api.add_route("POST", "/admin/v1/drain", drain)
    return HttpService("admin", api, admin.listen_address, admin.port, ADMIN_THREADS)
