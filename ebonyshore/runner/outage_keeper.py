"""Keeps what runners share on the disk of the instance while the store cannot take it.

Origins of streams and crashes of targets are in the memory of processes until they are stored. If
all processes are killed while the store is down, streams could not go on, and content that has
crashed targets would be sent to further ones.
"""

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.link.messages import Verdict
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.runner.conviction_store import ConvictionRecord, to_record, to_verdict
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.origin_storage import make_record
from ebonyshore.runner.outage_file import OutageRecord, OutageStorage

# After an outage, until the other keepers have certainly stored what they know.
KEEP_MS = 10_000.0


class OutageKeeper(PeriodicService):
    """Loads the record at its start, and writes it during outages of the store.

    :param storage: keeps the record.
    :param registry: the origins of streams.
    :param suspicions: the crashes of targets.
    :param is_store_in_touch: returns whether the store answers.
    """

    name = "outage_record"
    interval_ms = 100.0

    def __init__(
        self,
        storage: OutageStorage,
        registry: OriginRegistry,
        suspicions: SuspicionExchange,
        is_store_in_touch: Callable[[], bool],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._storage = storage
        self._registry = registry
        self._suspicions = suspicions
        self._is_store_in_touch = is_store_in_touch
        self._clock = clock
        self._log = log
        # A separate thread, as those for the store may all wait for it.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="outage")
        self._has_file = False
        self._written_state: object = None  # of what the record was made from
        self._has_loaded = False
        self._outage_ms = float("-inf")  # when the store was last seen to be out of touch

    async def stop(self) -> None:
        await super().stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def run_once(self) -> None:
        if not self._has_loaded:
            await self._load()
        if not self._is_store_in_touch():
            self._outage_ms = now_ms()
            await self._write_changes()
        elif self._has_file and now_ms() - self._outage_ms >= KEEP_MS:
            await self._run_blocking(self._storage.delete)
            self._has_file = False

    async def _load(self) -> None:
        record = await self._run_blocking(self._storage.read)
        self._has_loaded = True
        if record is None:
            return
        self._has_file = True
        self._outage_ms = now_ms()
        self._registry.merge(record.origins)
        wall_ms = self._clock.wall_ms()
        verdicts = [to_verdict(found, wall_ms, False) for found in record.suspects]
        verdicts += [to_verdict(found, wall_ms) for found in record.convicted]
        self._suspicions.merge(verdicts, now_ms(), is_relayed=True)
        self._log.event(
            "outage_record_loaded",
            streams=sum(map(len, record.origins.streams)),
            suspects=len(record.suspects),
            convicted=len(record.convicted),
        )

    async def _write_changes(self) -> None:
        verdicts = self._suspicions.table.export(now_ms())
        crashes = {found.content_digest: _crash_ids(found) for found in verdicts}
        state = (self._registry.mixed_groups(), self._registry.added, crashes)
        if state == self._written_state:
            return
        record = self._make_record(verdicts)
        if self._has_file or record != OutageRecord():
            await self._run_blocking(self._storage.write, record)
            self._has_file = True
        self._written_state = state

    def _make_record(self, verdicts: Iterable[Verdict]) -> OutageRecord:
        wall_ms = self._clock.wall_ms()
        suspects: list[ConvictionRecord] = []
        convicted: list[ConvictionRecord] = []
        for found in verdicts:
            (convicted if found.is_convicted else suspects).append(to_record(found, wall_ms))
        groups, streams = self._registry.mixed_groups(), self._registry.mixed_streams()
        return OutageRecord(make_record(groups, streams), tuple(suspects), tuple(convicted))

    async def _run_blocking(self, function: Callable, *arguments: object) -> object:
        return await get_running_loop().run_in_executor(self._executor, function, *arguments)


def _crash_ids(found: Verdict) -> tuple[tuple[str, ...], tuple[str, ...], bool]:
    return found.crash_ids, found.weak_crash_ids, found.is_convicted
