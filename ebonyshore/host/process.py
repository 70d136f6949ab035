"""What entries and runners on a deployment share: watches, registration, start and stop."""

import asyncio
from collections.abc import Callable

from ebonyshore.frame.async_kernel import AsyncKernel, run_until_signal
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.link.peers import PeerDirectory, Registration
from ebonyshore.store.kind_watch import KindListener, KindWatch
from ebonyshore.store.store_probe import StoreProbe

EXIT_MARGIN_MS = 700.0  # of the grace period, to stop before the kill
# Between two watches of a kind: changes in quick succession then cost each process one call.
TARGETS_WATCH_PAUSE_MS = 250.0
PEERS_WATCH_PAUSE_MS = 500.0


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


def make_probe(environment: HostEnvironment, config: ConfigService) -> StoreProbe:
    """Return the probe of the store; it reads the configuration, of which only newer ones count."""
    return StoreProbe(
        environment.store,
        environment.deployment.config_key,
        environment.executor,
        environment.log,
        lambda found: config.on_changes([found]),
    )


def make_registration(environment: HostEnvironment, peers: PeerDirectory) -> Registration:
    """Return the registration of this process; it registers again if its record is removed."""
    registration = Registration(
        peers.own,
        environment.marked_store,
        environment.clock,
        environment.log,
        environment.executor,
    )
    peers.on_own_removal = registration.start
    return registration


def run_process(
    environment: HostEnvironment, make_kernel: Callable[[HostEnvironment], AsyncKernel]
) -> ResultCode:
    """Run a process until it is told to stop.

    :param make_kernel: returns its services.
    :return: ``STREAM_BROKEN`` if work was left at the end of the grace period.
    """
    environment.open_log()
    try:
        return asyncio.run(_run(environment, make_kernel))
    finally:
        environment.close()


async def _run(
    environment: HostEnvironment, make_kernel: Callable[[HostEnvironment], AsyncKernel]
) -> ResultCode:
    kernel = make_kernel(environment)
    bound_ms = environment.settings.grace_ms - EXIT_MARGIN_MS
    is_drained = await run_until_signal(kernel, environment.log, bound_ms, environment.reload)
    environment.pool.close()
    return ResultCode.OK if is_drained else ResultCode.STREAM_BROKEN
