"""Keeps the stored record of the origins of streams up to date."""

from collections.abc import Awaitable, Callable

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.target import TargetGroup
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.origin_storage import OriginStorage

STREAMS_WRITE_INTERVAL_MS = 500.0  # between two writes that only add streams
ERROR_PAUSE_MS = 250.0
GONE_LIFETIME_MS = 60_000.0  # of the record of a runner that is not registered any more


class OriginKeeper(PeriodicService):
    """Reads the records of all runners, then writes changes of this runner's record.

    The records are read at the start and each time that the store can be read again.

    All runners store the groups of targets. The streams are stored by the live runner with the
    lowest id, while a service has several software versions; it also deletes the records of runners
    that are gone.

    :param registry: updated with what is stored; provides what is to be stored.
    :param load_table: tells whether this runner has the lowest id of the live ones.
    :param peers: the registered runners.
    :param run_blocking: runs a blocking call on a thread, see :meth:`JobRegistry.run_blocking`.
    """

    name = "stream_origins"
    interval_ms = 100.0

    def __init__(
        self,
        registry: OriginRegistry,
        storage: OriginStorage,
        load_table: LoadTable,
        peers: PeerDirectory,
        run_blocking: Callable[..., Awaitable],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._storage = storage
        self._load_table = load_table
        self._peers = peers
        self._run_blocking = run_blocking
        self._log = log
        self._metrics = metrics
        self._must_read = True
        self._stored_groups: frozenset[TargetGroup] = frozenset()
        self._stored_added = 0  # of the registry, when the streams were last stored
        self._written_ms = float("-inf")
        self._paused_until_ms = float("-inf")
        self._seen_ms: dict[str, float] = {}  # by id of a runner that may have a record

    async def run_once(self) -> None:
        if now_ms() < self._paused_until_ms:
            return
        try:
            if self._must_read or self._registry.must_load():
                await self._read()
            if self._registry.has_listing:
                await self._write_changes()
            await self._delete_gone()
        except StoreError as error:
            self._paused_until_ms = now_ms() + ERROR_PAUSE_MS
            self._log.event("stream_origins_not_synchronized", error=str(error))

    def dump(self) -> dict[str, object]:
        groups = self._registry.groups()
        return {
            "has_loaded": self._registry.has_loaded,
            "groups": sorted(f"{group.service}/{group.software_version}" for group in groups),
        }

    async def _read(self) -> None:
        records = await self._run_blocking(self._storage.read_all)
        for instance_id, record in records.items():
            self._registry.merge(record)
            self._seen_ms.setdefault(instance_id, now_ms())
        own = records.get(self._peers.own.instance_id)
        self._stored_groups = frozenset() if own is None else frozenset(own.groups)
        self._stored_added = self._registry.added
        self._must_read = False
        self._registry.note_loaded()
        self._log.event(
            "stream_origins_loaded",
            records=len(records),
            streams=sum(len(ids) for record in records.values() for ids in record.streams),
            versions=",".join(sorted(group.software_version for group in self._registry.groups())),
        )

    async def _write_changes(self) -> None:
        groups, added = self._registry.groups(), self._registry.added
        stores_streams = self._load_table.has_lowest_runner_id()
        if groups == self._stored_groups and not (stores_streams and self._are_streams_due(added)):
            return
        streams = self._registry.mixed_streams() if stores_streams else []
        self._written_ms = now_ms()
        self._must_read = True  # until the write has succeeded
        stored = await self._run_blocking(self._storage.write, groups, streams)
        self._must_read = False
        self._stored_groups, self._stored_added = groups, added
        self._metrics.count("stream_origin_writes")
        self._metrics.set_gauge("stream_origins_stored", stored)

    def _are_streams_due(self, added: int) -> bool:
        return (
            added != self._stored_added
            and now_ms() - self._written_ms >= STREAMS_WRITE_INTERVAL_MS
            and bool(self._registry.mixed_groups())
        )

    async def _delete_gone(self) -> None:
        """Delete the records of runners that were not registered for a long time."""
        at_ms = now_ms()
        for instance_id in (*self._peers.of_role("runner"), self._peers.own.instance_id):
            self._seen_ms[instance_id] = at_ms
        if not self._load_table.has_lowest_runner_id():
            return
        gone = [key for key, ms in self._seen_ms.items() if at_ms - ms > GONE_LIFETIME_MS]
        for instance_id in gone:
            await self._run_blocking(self._storage.delete, instance_id)
            del self._seen_ms[instance_id]
            self._log.event("stream_origins_deleted", runner=instance_id)
