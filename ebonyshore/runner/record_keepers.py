"""Makes the services that keep what runners share: origins of streams and crashes of targets."""

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.host.host_environment import HostEnvironment
from ebonyshore.host.process import SharedComponents
from ebonyshore.link.load_table import LoadTable
from ebonyshore.runner.conviction_store import ConvictionKeeper, ConvictionStorage
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.origin_keeper import OriginKeeper
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.origin_storage import OriginStorage
from ebonyshore.runner.outage_file import make_outage_storage
from ebonyshore.runner.outage_keeper import OutageKeeper
from ebonyshore.runner.suspicion_store import SuspicionKeeper, SuspicionStorage


def make_record_keepers(
    environment: HostEnvironment,
    parts: SharedComponents,
    registry: JobRegistry,
    load_table: LoadTable,
    origins: OriginRegistry,
) -> list[AsyncService]:
    """Return the services, in the order of their start.

    :param registry: runs blocking calls.
    :param load_table: tells which runner stores what all of them share.
    """
    settings, log = environment.settings, environment.log
    store, marked_store, clock = environment.store, environment.marked_store, environment.clock
    origin_keeper = OriginKeeper(
        origins,
        OriginStorage(settings.instance_id, store, marked_store, log),
        load_table,
        parts.peers,
        registry.run_blocking,
        log,
        environment.metrics,
    )
    conviction_keeper = ConvictionKeeper(
        ConvictionStorage(store, marked_store, log),
        parts.suspicions,
        load_table,
        registry.run_blocking,
        clock,
        log,
    )
    suspicion_keeper = SuspicionKeeper(
        SuspicionStorage(marked_store, log),
        parts.suspicions,
        load_table,
        registry.run_blocking,
        clock,
        log,
        limit_bytes=settings.value_limit.batch_bytes,
    )
    outage_keeper = OutageKeeper(
        make_outage_storage(settings.data_folder, log),
        origins,
        parts.suspicions,
        parts.probe.is_in_touch,
        clock,
        log,
    )
    return [outage_keeper, origin_keeper, conviction_keeper, suspicion_keeper]
