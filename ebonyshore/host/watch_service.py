"""Runs the watches of a process and the periodic clean-up of its targets."""

from asyncio import get_running_loop, sleep

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.target_service import TargetService
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.link.peers import Registration
from ebonyshore.store.kind_watch import KindWatch

CHECK_INTERVAL_MS = 250.0


class WatchService(AsyncService):
    """Starts and stops the watches and this process's registration.

    Drops expired targets, and checks for silent watches, at regular intervals.

    :param targets: the list of targets, for the clean-up and the state dump.
    """

    name = "watches"

    def __init__(
        self,
        watches: list[KindWatch],
        registration: Registration,
        targets: TargetService,
        monitor: WatchMonitor,
    ) -> None:
        self._watches = watches
        self._registration = registration
        self._targets = targets
        self._monitor = monitor

    async def start(self) -> None:
        loop = get_running_loop()
        for watch in self._watches:
            watch.start(loop)
        self._registration.start()
        self.spawn(self._check())

    async def stop(self) -> None:
        await super().stop()
        self._registration.stop()
        for watch in self._watches:
            watch.stop()

    def dump(self) -> dict[str, object]:
        table = self._targets.table
        speeds = table.speeds.snapshot(table.by_id().values(), now_ms())
        return {
            "targets": {
                target.target_id: {
                    "address": target.entry.address,
                    "is_leaving": target.is_leaving,
                    "own_online": target.own_online,
                    "own_batch": target.own_batch,
                    "speed": speeds[target.target_id].speed,
                    "usual_speed": speeds[target.target_id].usual_speed,
                    "speed_weight": speeds[target.target_id].weight,
                }
                for target in table.by_id().values()
            },
            "pace": self._targets.table.pace.dump(),
            "store_watches": self._monitor.dump(),
        }

    async def _check(self) -> None:
        while True:
            await sleep(CHECK_INTERVAL_MS / MS_PER_S)
            self._targets.drop_expired()
            self._monitor.check()
