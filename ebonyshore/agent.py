"""Composes an agent from its environment."""

from werkzeug.wrappers import Request

from ebonyshore.admin_api import AdminApi
from ebonyshore.agent_server import AgentServer, Outgoing
from ebonyshore.caller_home import CallerHome
from ebonyshore.callers import limit_of
from ebonyshore.daemon import Daemon
from ebonyshore.dispatcher import BeginDrain, Dispatcher, Received
from ebonyshore.engine_http import EngineHttp, ServiceHttp
from ebonyshore.entry import dump_process
from ebonyshore.environment import Environment
from ebonyshore.errors import SettingsError
from ebonyshore.http_service import HttpService
from ebonyshore.kernel import Kernel
from ebonyshore.messages import (
    CallerShares,
    Cancel,
    CrashReport,
    Dispatch,
    EntryMessage,
    Hello,
    Ping,
    SettingsRequest,
    SettingsSnapshot,
    UsageDigest,
    VerdictShare,
)
from ebonyshore.settings_service import SettingsService
from ebonyshore.settings_store import encode_head
from ebonyshore.task_service import TaskService

ADMIN_THREADS = 2


def make_agent(environment: Environment) -> Daemon:
    """Return an agent, ready to run.

    :raises SettingsError: if the settings name no target.
    """
    target = environment.settings.target
    if target is None:
        raise SettingsError("target: missing; an agent needs it")
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
    dispatcher = Dispatcher(
        EngineHttp(target.url) if target.kind == "engine" else ServiceHttp(target.url),
        server,
        settings,
        target,
        environment.incarnation,
        environment.clock,
        environment.metrics,
        environment.log,
    )
    _connect(server, dispatcher, settings)
    daemon = Daemon(environment, kernel)
    kernel.register(TaskService(server))
    kernel.register(
        TaskService(dispatcher, lambda: dispatcher.post(BeginDrain()), lambda: dispatcher.is_idle)
    )
    kernel.register(_make_admin(environment, kernel, daemon))
    return daemon


def _connect(server: AgentServer, dispatcher: Dispatcher, settings: SettingsService) -> None:
    def receive(peer: bytes, message: EntryMessage) -> None:
        dispatcher.post(Received(peer, message))

    def answer_revision(peer: bytes, message: Hello | Ping) -> None:
        if message.settings_revision > settings.current().revision:
            server.post(Outgoing(peer, SettingsRequest(settings.current().revision)))
        elif message.settings_revision < settings.current().revision:
            head = settings.head()
            server.post(Outgoing(peer, SettingsSnapshot(head.revision, encode_head(head))))

    for kind in (Dispatch, Cancel, VerdictShare, CrashReport):
        server.subscribe(kind, receive)
    server.subscribe(SettingsSnapshot, lambda _, message: settings.adopt_encoded(message.head))
    server.subscribe(Hello, answer_revision)
    server.subscribe(Ping, answer_revision)
    home = CallerHome(lambda caller: limit_of(settings.current(), caller))

    def answer_usage(peer: bytes, message: UsageDigest) -> None:
        shares = home.record(peer, message.usages, server.clock.monotonic_ms())
        server.post(Outgoing(peer, CallerShares(shares)))

    server.subscribe(UsageDigest, answer_usage)
    server.subscribe_peer_lost(dispatcher.post)


def _make_admin(environment: Environment, kernel: Kernel, daemon: Daemon) -> HttpService:
    admin = environment.settings.admin
    api = AdminApi(admin.operator_token, environment.metrics)

    def drain(request: Request) -> object:
        daemon.request_stop()
        return {}

    api.add("GET", "/admin/v1/dump", lambda _: dump_process(environment, kernel))
    api.add("POST", "/admin/v1/drain", drain)
    return HttpService("admin", api, admin.listen_address, admin.port, ADMIN_THREADS)
