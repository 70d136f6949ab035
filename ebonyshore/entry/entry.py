"""Builds the entry process from its environment."""

from msgspec import to_builtins
from werkzeug.wrappers import Request

from ebonyshore.batch.audit import Auditor
from ebonyshore.batch.batch_api import BatchApi
from ebonyshore.batch.batch_sweep import BatchSweeper
from ebonyshore.batch.cleanup import DUTY, LEASE_INTERVAL_MS, CleanupTask
from ebonyshore.batch.job_scheduling import ShardSizer
from ebonyshore.batch.shard_runner import BeginDrain, ShardRunner
from ebonyshore.entry.admission import Admission, UsageReporter
from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.http_api import HttpApi
from ebonyshore.entry.idempotency import IdempotencyStore
from ebonyshore.entry.idempotency_service import IdempotencyService
from ebonyshore.entry.idempotency_sweep import IdempotencySweeper
from ebonyshore.entry.instance_poller import InstancePoller
from ebonyshore.entry.link_messages import SendToAgent, SendToAllAgents, UpdateInstances
from ebonyshore.entry.membership import Membership
from ebonyshore.entry.online import OnlineService
from ebonyshore.entry.placement_service import PLACEMENT_DUTY, PlacementService
from ebonyshore.entry.readiness_middleware import ReadinessMiddleware
from ebonyshore.entry.routing import Router
from ebonyshore.entry.suspicion_relay import SuspicionRelay
from ebonyshore.frame.admin_api import AdminApi
from ebonyshore.frame.daemon import Daemon
from ebonyshore.frame.dump import dump_process
from ebonyshore.frame.environment import Environment
from ebonyshore.frame.http_service import HttpService
from ebonyshore.frame.kernel import Kernel
from ebonyshore.frame.task_service import TaskService
from ebonyshore.link.messages import (
    CallerShares,
    LoadReport,
    OrderResult,
    Ping,
    Refused,
    SettingsRequest,
    SettingsSnapshot,
    Welcome,
)
from ebonyshore.settings.settings_admin import add_settings_routes
from ebonyshore.settings.settings_service import SettingsPuller, SettingsService, SettingsWatcher
from ebonyshore.settings.settings_store import SettingsHead
from ebonyshore.store.lease import Lease
from ebonyshore.store.platform_api import Instance

ADMIN_THREADS = 4


class EntryHttpService(HttpService):
    """The HTTP server for callers; it is drained when all accepted requests have ended."""

    def __init__(self, api: HttpApi, settings: SettingsService, *arguments: object) -> None:
        super().__init__("http", ReadinessMiddleware(api, settings), *arguments)
        self._api = api

    def begin_drain(self) -> None:
        self._api.begin_drain()

    def is_drained(self) -> bool:
        return self._api.active_requests == 0


def make_entry(environment: Environment) -> Daemon:
    """Return the daemon of an entry process with all its services registered."""
    kernel = Kernel(environment.clock)
    settings = SettingsService(environment.log)
    membership = Membership()
    link = _make_link(environment, settings, membership)
    batch = environment.settings.batch
    sizer = ShardSizer(batch.shard_items, batch.window_items)
    runner = _make_runner(environment, settings, membership, link, sizer)
    daemon = Daemon(environment, kernel)
    watcher = SettingsWatcher(
        environment.store,
        settings,
        environment.settings.platform.watch_timeout_ms,
        environment.clock,
        environment.log,
    )
    poller = InstancePoller(
        environment.platform,
        link,
        environment.settings.platform.instance_poll_interval_ms,
        environment.clock,
        environment.log,
    )
    kernel.register(TaskService(watcher, dump=settings.dump))
    kernel.register(TaskService(link, dump=lambda: _dump_targets(membership)))
    kernel.register(TaskService(poller))
    placement = _make_placement(environment, settings, membership, link)
    kernel.register(TaskService(placement, dump=placement.dump))
    if environment.settings.batch.is_runner:
        kernel.register(
            TaskService(runner, lambda: runner.post(BeginDrain()), lambda: runner.is_idle)
        )
    kernel.register(TaskService(_make_cleanup(environment, settings)))
    admission = Admission(
        environment.settings.instance.instance_id, settings, environment.clock, environment.metrics
    )
    link.subscribe(CallerShares, lambda _, shares: admission.apply_shares(shares))
    kernel.register(TaskService(UsageReporter(admission, membership, link, environment.clock)))
    kernel.register(_make_http(environment, settings, membership, link, admission, sizer))
    kernel.register(_make_admin(environment, kernel, daemon, settings, membership, link))
    return daemon


def _make_link(
    environment: Environment, settings: SettingsService, membership: Membership
) -> AgentLink:
    link = AgentLink(
        environment.settings.instance.instance_id,
        membership,
        lambda: settings.current().revision,
        environment.settings.fleet,
        environment.clock,
        environment.metrics,
        environment.log,
    )

    puller = SettingsPuller(settings, environment.clock)

    def send_settings(target_id: str, message: SettingsRequest) -> None:
        if settings.newest_head().revision > message.known_revision:
            snapshot = settings.make_snapshot(message.known_revision)
            link.post(SendToAgent(target_id, snapshot))

    def request_newer_settings(target_id: str, message: Welcome | LoadReport | Refused) -> None:
        if puller.should_request(message.settings_revision):
            request = SettingsRequest(settings.revision_for_request())
            link.post(SendToAgent(target_id, request))

    def announce_revision(head: SettingsHead) -> None:
        """Send the new revision to all agents.

        An agent that lacks it requests it from one entry, so that each agent fetches it once.
        """
        link.post(SendToAllAgents(Ping(head.revision)))

    suspicion = SuspicionRelay(
        lambda target_id, share: link.post(SendToAgent(target_id, share)),
        lambda message: link.post(SendToAllAgents(message)),
        lambda: settings.current().root().suspicion_expiry_ms,
        environment.clock,
    )

    def handle_welcome(target_id: str, message: Welcome) -> None:
        suspicion.handle_welcome(target_id, message)
        request_newer_settings(target_id, message)

    suspicion.attach(link)
    link.subscribe(Welcome, handle_welcome)
    for kind in (LoadReport, Refused):
        link.subscribe(kind, request_newer_settings)
    link.subscribe(SettingsRequest, send_settings)
    link.subscribe(SettingsSnapshot, lambda _, s: settings.adopt_snapshot(s))
    settings.subscribe(announce_revision)
    link.post(
        UpdateInstances(
            tuple(map(_instance_from_address, environment.settings.peers.agent_addresses))
        )
    )
    return link


def _instance_from_address(address: str) -> Instance:
    """Return an instance for an agent known by address only; its welcome message tells its id."""
    return Instance(address, "target", address)


def _make_placement(
    environment: Environment,
    settings: SettingsService,
    membership: Membership,
    link: AgentLink,
) -> PlacementService:
    lease = Lease(
        environment.store,
        PLACEMENT_DUTY,
        environment.incarnation,
        environment.settings.instance.instance_id,
        environment.clock,
    )
    placement = PlacementService(
        lease,
        membership,
        settings,
        environment.platform,
        link.post,
        environment.clock,
        environment.log,
    )
    link.subscribe(OrderResult, lambda _, result: placement.post(result))
    return placement


def _make_runner(
    environment: Environment,
    settings: SettingsService,
    membership: Membership,
    link: AgentLink,
    sizer: ShardSizer,
) -> ShardRunner:
    return ShardRunner(
        environment.settings.instance.instance_id,
        environment.job_store(),
        link,
        membership,
        settings,
        environment.settings.batch,
        sizer,
        environment.clock,
        environment.metrics,
        environment.log,
    )


def _make_cleanup(environment: Environment, settings: SettingsService) -> CleanupTask:
    instance_id = environment.settings.instance.instance_id
    lease = Lease(
        environment.store,
        DUTY,
        environment.incarnation,
        instance_id,
        environment.clock,
        LEASE_INTERVAL_MS,
    )

    def expiry_ms() -> float:
        return settings.current().root().idempotency_expiry_ms

    sweepers = {
        "batch": BatchSweeper(environment.store, environment.job_store()),
        "once": IdempotencySweeper(environment.store, environment.clock, expiry_ms),
    }
    return CleanupTask(
        lease,
        sweepers,
        lambda: settings.is_ready,
        environment.clock,
        environment.metrics,
        environment.log,
    )


def _make_http(
    environment: Environment,
    settings: SettingsService,
    membership: Membership,
    link: AgentLink,
    admission: Admission,
    sizer: ShardSizer,
) -> EntryHttpService:
    online = OnlineService(
        link,
        membership,
        settings,
        Router(environment.settings.instance.failure_domain),
        environment.clock,
        environment.metrics,
        environment.log,
    )
    records = IdempotencyStore(
        environment.store,
        environment.clock,
        lambda: settings.current().root().idempotency_expiry_ms,
    )
    idempotency = IdempotencyService(online, records, environment.clock, environment.metrics)
    batch = BatchApi(environment.job_store(), settings, sizer, environment.clock)
    api = HttpApi(
        idempotency,
        batch,
        admission,
        settings,
        environment.clock,
        environment.metrics,
        environment.log,
    )
    http = environment.settings.http
    return EntryHttpService(
        api,
        settings,
        http.listen_address,
        http.port,
        http.worker_threads,
        http.max_request_bytes,
    )


def _make_admin(
    environment: Environment,
    kernel: Kernel,
    daemon: Daemon,
    settings: SettingsService,
    membership: Membership,
    link: AgentLink,
) -> HttpService:
    admin = environment.settings.admin
    api = AdminApi(admin.operator_token, environment.metrics)

    def ping_agent(target_id: str) -> None:
        link.post(SendToAgent(target_id, Ping(settings.current().revision)))

    def drain(request: Request) -> object:
        daemon.request_stop()
        return {}

    api.add_route("GET", "/admin/v1/dump", lambda _: dump_process(environment, kernel))
    api.add_route("POST", "/admin/v1/drain", drain)
    add_settings_routes(api, settings, environment.settings_store(), membership, ping_agent)
    api.add_route("GET", "/admin/v1/targets", lambda _: _dump_targets(membership))
    api.add_route("GET", "/admin/v1/audit", lambda _: _audit(environment))
    return HttpService("admin", api, admin.listen_address, admin.port, ADMIN_THREADS)


def _dump_targets(membership: Membership) -> dict[str, object]:
    return {key: to_builtins(view) for key, view in membership.targets().items()}


def _audit(environment: Environment) -> object:
    report = Auditor(environment.job_store(), environment.settings_store()).run()
    return {**to_builtins(report), "line": report.summary_line(), "is_clean": report.is_clean}
