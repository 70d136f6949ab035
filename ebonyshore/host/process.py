"""Start and stop of a process on a deployment, and the services that entries and runners share."""

import asyncio
from collections.abc import Callable, Sequence

from ebonyshore.frame.async_kernel import AsyncKernel, run_until_signal
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.config_reader import ConfigReader
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.crash_guard import SUSPICION_EXPIRY_MS, CrashGuard
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.host_settings import HostSettings
from ebonyshore.host.pace import TargetPace
from ebonyshore.host.pace_exchange import PaceExchange
from ebonyshore.host.target_check import TargetChecker
from ebonyshore.host.target_service import TargetService
from ebonyshore.host.target_speed import TargetSpeeds
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.host.watch_service import WatchService
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory, Registration
from ebonyshore.link.rate_limits import RateLimits
from ebonyshore.link.suspicion import SHARED_CONVICTION_CRASHES, SuspicionTable
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.store.kind_watch import KindListener, KindWatch
from ebonyshore.store.store_probe import StoreProbe

EXIT_MARGIN_MS = 700.0  # part of the grace period left for the exit, before the process is killed
# Pauses between two watches of a kind, so that changes in quick succession cost each process only
# one call to the store.
TARGETS_WATCH_PAUSE_MS = 250.0
PEERS_WATCH_PAUSE_MS = 500.0


class SharedComponents:
    """The components of both roles: configuration, targets and peers, and the watches of them.

    :ivar config: the configuration in force.
    :ivar config_reader: reads the newest configuration, for leases on it.
    :ivar targets: the list of targets.
    :ivar pace_exchange: shares the limits of targets that return to service.
    :ivar peers: the registered processes.
    :ivar registration: the registration of this process as a peer.
    :ivar probe: the probe of the store.
    :ivar suspicions: crashes of targets that this process and others have seen.
    :ivar watch_monitor: restarts watches of the store that have fallen silent.
    :ivar checker: asks targets for their load reports.
    :ivar crash_guard: attributes crashes of targets to the content of requests.
    """

    __slots__ = (
        "_environment",
        "_watches",
        "checker",
        "config",
        "config_reader",
        "crash_guard",
        "pace_exchange",
        "peers",
        "probe",
        "registration",
        "suspicions",
        "targets",
        "watch_monitor",
    )

    def __init__(self, environment: HostEnvironment) -> None:
        self._environment = environment
        deployment, log = environment.deployment, environment.log
        self.config = ConfigService(deployment.config_key, deployment.decode_config, log)
        self.config_reader = ConfigReader(
            environment.store, deployment.config_key, self.config, log, environment.metrics
        )
        self.peers = PeerDirectory(environment.peer_record(), environment.marked_store, log)
        rate_limits = RateLimits(lambda: self.peers.process_count, environment.random.random())
        self.targets = TargetService(
            TargetTable(
                rate_limits,
                TargetPace(lambda: self.peers.process_count),
                TargetSpeeds(environment.settings.instance_id),
            ),
            deployment.targets_kind,
            deployment.decode_target,
            environment.pool,
            log,
            environment.metrics,
        )
        self.pace_exchange = PaceExchange(environment.settings.instance_id, self.targets.table)
        self.registration = make_registration(environment, self.peers)
        self.probe = make_probe(environment, self.config)
        self.watch_monitor = WatchMonitor(
            environment.settings.max_store_age_ms,
            lambda: self.probe.is_silent,
            environment.clock,
            log,
            environment.metrics,
        )
        self.suspicions = make_suspicion_exchange(environment)
        self.checker = TargetChecker(deployment.names, environment.pool, deployment.decode_start)
        self.crash_guard = CrashGuard(
            self.targets.table,
            self.checker,
            self.suspicions,
            environment.clock,
            log,
            environment.metrics,
        )
        config_kind = deployment.config_key.split("/", 1)[0]
        self._watches = [
            self.make_watch(config_kind, self.config),
            self.make_watch(deployment.targets_kind, self.targets, TARGETS_WATCH_PAUSE_MS),
            self.make_watch(PEERS_KIND, self.peers, PEERS_WATCH_PAUSE_MS),
        ]

    def make_watch(self, kind: str, listener: KindListener, pause_ms: float = 0.0) -> KindWatch:
        """Return a watch of one kind of objects.

        :param pause_ms: pause between two watches of the kind.
        """
        environment = self._environment
        watch = KindWatch(
            environment.store,
            kind,
            listener,
            environment.clock,
            environment.log,
            environment.random,
            pause_ms,
            lambda: self.probe.is_silent,
        )
        self.watch_monitor.add(watch)
        return watch

    def watch_service(self, more_watches: Sequence[KindWatch] = ()) -> WatchService:
        """Return the service that runs the watches and the registration.

        :param more_watches: further watches of the role.
        """
        return WatchService(
            [*self._watches, *more_watches], self.registration, self.targets, self.watch_monitor
        )


def make_probe(environment: HostEnvironment, config: ConfigService) -> StoreProbe:
    """Return the probe of the store.

    It reads the configuration, possibly an outdated version; ``config`` ignores older versions.
    """
    return StoreProbe(
        environment.store,
        environment.deployment.config_key,
        environment.clock,
        environment.log,
        lambda found: config.on_changes([found]),
    )


def make_suspicion_exchange(environment: HostEnvironment) -> SuspicionExchange:
    """Return the process's knowledge of content that crashes targets; at first there is none."""
    table = SuspicionTable(SUSPICION_EXPIRY_MS, SHARED_CONVICTION_CRASHES)
    own_id = environment.settings.instance_id
    return SuspicionExchange(own_id, table, environment.log, environment.metrics)


def make_registration(environment: HostEnvironment, peers: PeerDirectory) -> Registration:
    """Return the registration of this process, which is renewed if its record is removed."""
    registration = Registration(
        peers.own,
        environment.marked_store,
        environment.clock,
        environment.log,
        environment.executor,
    )
    peers.on_own_record_removed = registration.start
    return registration


def run_process(
    environment: HostEnvironment, make_kernel: Callable[[HostEnvironment], AsyncKernel]
) -> ResultCode:
    """Run a process until it receives a stop signal.

    :param make_kernel: returns a kernel with all services of the process registered.
    :return: the result code, see :func:`run_until_signal`.
    """
    environment.open_log()
    try:
        return asyncio.run(_run(environment, make_kernel))
    finally:
        environment.close()


def drain_limit_ms(settings: HostSettings) -> float:
    """Return how long a process goes on with its work after the stop signal."""
    return settings.grace_ms - EXIT_MARGIN_MS


async def _run(
    environment: HostEnvironment, make_kernel: Callable[[HostEnvironment], AsyncKernel]
) -> ResultCode:
    kernel = make_kernel(environment)
    result = await run_until_signal(
        kernel, environment.log, drain_limit_ms(environment.settings), environment.reload
    )
    environment.pool.close()
    return result
