"""Starts and stops of items by a runner, with a target that answers nothing."""

import asyncio
from random import Random
from types import SimpleNamespace

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.targets import TargetEntry, TargetTable
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.item_scheduler import ItemScheduler
from ebonyshore.runner.job_progress import ItemState
from tests.admission_setup import FixedConfig, make_route
from tests.registry_setup import RegistrySetup


class QuietGuard:
    """A crash guard that knows of no crash."""

    def may_run_item(self, _digest):
        return True

    def begin(self, target, _digest):
        return SimpleNamespace(target=target)

    def end(self, _run):
        pass


class EndlessPool:
    """A connection pool whose connections are never established."""

    def use(self, *_arguments):
        return self

    async def __aenter__(self):
        await asyncio.Event().wait()

    async def __aexit__(self, *_arguments):
        pass


class SchedulerSetup:
    def __init__(self):
        self.setup = RegistrySetup(retention_ms=1e9, epoch=1)
        self.targets = TargetTable()
        self.targets.put(TargetEntry("t1", "svc", "10.0.0.9:80", "fd-a", 8))
        self.scheduler = ItemScheduler(
            WIRE_NAMES,
            self.setup.registry,
            FixedConfig(make_route()),
            self.targets,
            self.setup.load_table,
            EndlessPool(),
            QuietGuard(),
            CompletionRate(),
            self.setup.clock,
            EventLog(),
            Metrics(),
            Random(1),
        )

    @property
    def items(self):
        return self.setup.registry.owned_jobs()[0].items


def test_an_item_that_is_stopped_before_its_run_began_waits_again():
    """Guards against items that count as running for ever, with the slot that they do not use."""

    async def stop_at_once(setup):
        setup.scheduler.schedule_items()
        states = [item.state for item in setup.items]
        setup.scheduler.stop_all()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return states

    setup = SchedulerSetup()
    assert set(asyncio.run(stop_at_once(setup))) == {ItemState.RUNNING}
    assert {item.state for item in setup.items} == {ItemState.WAITING}
    assert setup.targets.find("t1").own_batch == 0 and setup.scheduler.dump() == {}


def test_an_item_that_is_stopped_during_its_run_keeps_the_time_that_it_used():
    async def stop_later(setup):
        setup.scheduler.schedule_items()
        await asyncio.sleep(0.05)
        setup.scheduler.stop_all()
        await asyncio.sleep(0.01)

    setup = SchedulerSetup()
    asyncio.run(stop_later(setup))
    assert all(item.ended_runs_ms >= 40.0 for item in setup.items)
    assert setup.targets.find("t1").own_batch == 0
