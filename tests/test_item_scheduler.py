"""Starts and stops of items by a runner, with a target that answers nothing."""

import asyncio
from random import Random

import pytest
from msgspec.structs import replace

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.content_run import MAX_CRASH_DELAY_MS, ContentRun
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.http.client import ExchangeError
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.item_run import RunOutcome, RunResult
from ebonyshore.runner.item_scheduler import ItemScheduler
from ebonyshore.runner.job_progress import ItemState
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.output_budget import OutputBudget
from tests.admission_setup import FixedConfig, make_route
from tests.registry_setup import RegistrySetup


class QuietGuard:
    """A crash guard that knows of no crash.

    :ivar after_end: called by the event loop after the end of a run, before the callbacks of its
        task.
    """

    def __init__(self):
        self.after_end = lambda: None
        self.runs = []
        self.broken = []

    def begin(self, target, content, is_resumable, is_item):
        self.runs.append(ContentRun(target, content, 0.0))
        return self.runs[-1]

    def end_broken(self, run):
        self.broken.append(run.content.digest)

    async def confirm_end(self, _run):
        return True

    def end(self, _run):
        asyncio.get_running_loop().call_soon(self.after_end)


class EndlessPool:
    """A connection pool whose connections are never established."""

    def use(self, *_arguments, **_options):
        return self

    async def __aenter__(self):
        await asyncio.Event().wait()

    async def __aexit__(self, *_arguments):
        pass


class BreakingPool(EndlessPool):
    """A connection pool whose first connections break at once."""

    def __init__(self, breaks):
        self.uses = 0
        self._breaks = breaks

    async def __aenter__(self):
        self.uses += 1
        if self.uses <= self._breaks:
            raise ExchangeError("broken", was_sent=True)
        await super().__aenter__()


class OpenPool(EndlessPool):
    """A connection pool whose connections are never used."""

    async def __aenter__(self):
        pass


class SlowChecker:
    """Notes the targets whose start it is asked to confirm, and does not answer."""

    def __init__(self):
        self.asked = []

    async def confirm_incarnation(self, _connection, target):
        self.asked.append(target.target_id)
        await asyncio.Event().wait()


class SchedulerSetup:
    def __init__(self, pool=None, checker=None):
        self.guard = QuietGuard()
        self.setup = RegistrySetup(retention_ms=1e9, epoch=1)
        self.targets = TargetTable()
        self.targets.put(TargetEntry("t1", "svc", "10.0.0.9:80", "fd-a", 8))
        completions = CompletionRate()
        self.scheduler = ItemScheduler(
            WIRE_NAMES,
            self.setup.registry,
            FixedConfig(make_route()),
            self.targets,
            self.setup.load_table,
            pool or EndlessPool(),
            checker,
            self.guard,
            completions,
            JobRanking(self.setup.registry, completions, self.setup.clock),
            self.setup.clock,
            EventLog(),
            Metrics(),
            Random(1),
            OutputBudget(1 << 20),
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


def test_an_item_with_events_goes_on_only_at_a_confirmed_start_also_with_one_version():
    """Guards against a target that returns under its id as the first of another version."""

    async def run_items(setup):
        for item in setup.items:
            item.add_event(1, "text", setup.targets.find("t1").entry.group)
        setup.scheduler.schedule_items()
        await asyncio.sleep(0.01)
        setup.scheduler.stop_all()

    checker = SlowChecker()
    asyncio.run(run_items(SchedulerSetup(OpenPool(), checker)))
    assert checker.asked == ["t1", "t1"]


@pytest.mark.parametrize("is_leaving, broken, running", [(False, 2, 0), (True, 0, 2)])
def test_an_item_whose_target_was_removed_without_a_notice_may_have_crashed_it(
    is_leaving, broken, running
):
    """Guards against crashes that do not count because the list shows them before a time-out, and
    against work that is lost although a leaving target would complete it."""

    async def remove_target(setup):
        setup.scheduler.schedule_items()
        await asyncio.sleep(0)
        setup.targets.put(replace(setup.targets.find("t1").entry, is_leaving=is_leaving))
        setup.targets.remove("t1", now_ms())
        setup.scheduler.schedule_items()
        await asyncio.sleep(0)
        found = len(setup.guard.broken), len(setup.scheduler.dump())
        setup.scheduler.stop_all()
        return found

    assert asyncio.run(remove_target(SchedulerSetup())) == (broken, running)


@pytest.mark.parametrize(
    "event_age_ms, next_start_ms, running",
    [
        (100.0, None, 2),  # the entry has lapsed
        (100.0, 0, 2),  # and was written again
        (100.0, 2, 0),  # by another run of the target
        (5_000.0, None, 0),
    ],
)
def test_an_item_runs_on_at_a_target_whose_entry_has_lapsed_while_events_arrive(
    event_age_ms, next_start_ms, running
):
    """Guards against work that is started again because a target was slow to renew its entry."""

    async def remove_target(setup):
        setup.scheduler.schedule_items()
        await asyncio.sleep(0)
        for run in setup.guard.runs:
            run.record_event(now_ms() - event_age_ms)
        entry = setup.targets.find("t1").entry
        setup.targets.remove("t1", now_ms())
        if next_start_ms is not None:
            setup.targets.put(replace(entry, started_ms=next_start_ms))
        setup.scheduler.schedule_items()
        await asyncio.sleep(0)
        at_first_target = setup.guard.runs[:2]
        found = sum(run.content.digest not in setup.guard.broken for run in at_first_target)
        setup.scheduler.stop_all()
        return found

    assert asyncio.run(remove_target(SchedulerSetup())) == running


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


def test_an_item_that_starts_again_at_once_runs_once_at_a_time():
    """Guards against two runs that both add their events to one result; seed 905 of the soak: the
    end of the first run marked the item as waiting while its second run was in progress."""

    async def break_then_restart(setup):
        setup.guard.after_end = setup.scheduler.schedule_items
        setup.scheduler.schedule_items()
        for _ in range(20):
            await asyncio.sleep(0)
        setup.scheduler.schedule_items()
        await asyncio.sleep(0.01)
        running = setup.targets.find("t1").own_batch
        setup.scheduler.stop_all()
        await asyncio.sleep(0.01)
        return running

    pool = BreakingPool(breaks=2)
    setup = SchedulerSetup(pool)
    assert asyncio.run(break_then_restart(setup)) == 2
    assert pool.uses == 4


class FaultyAddressPool(EndlessPool):
    """A connection pool whose connections to one address break at once."""

    def __init__(self, address):
        self._address = address

    def use(self, address, *_arguments, **_options):
        return BreakingPool(1) if address == self._address else self


def test_an_item_that_broke_at_a_target_starts_at_another_one():
    """Guards against an item that is sent to one faulty target while others have free slots."""

    async def run_items(setup):
        setup.targets.put(TargetEntry("t2", "svc", "10.0.0.10:80", "fd-a", 4))
        for _ in range(2):
            setup.scheduler.schedule_items()
            await asyncio.sleep(0.01)
        targets = set(setup.scheduler.dump().values())
        setup.scheduler.stop_all()
        await asyncio.sleep(0.01)
        return targets, [item.broken_targets for item in setup.items]

    setup = SchedulerSetup(FaultyAddressPool("10.0.0.9:80"))
    targets, broken_targets = asyncio.run(run_items(setup))
    assert targets == {"t2"} and set(broken_targets) == {frozenset({"t1"})}


@pytest.mark.parametrize("has_events, broken_targets", [(True, set()), (False, {"t1"})])
def test_a_run_whose_events_were_discarded_has_made_no_progress(has_events, broken_targets):
    """Guards against an item that receives as much as it may at a faulty target again and again."""

    async def break_run(setup):
        item = setup.items[0]
        run = ContentRun(setup.targets.find("t1"), RequestContent("content"), 0.0)
        run.record_event(0.0)
        run.record_event(2 * MAX_CRASH_DELAY_MS)
        item.start_run(now_ms())
        if has_events:
            item.add_event(1, "text", run.target.entry.group)
        progress = setup.setup.registry.owned_jobs()[0]
        setup.scheduler._handle_result(progress, item, run, RunResult(RunOutcome.BROKEN))
        return item

    item = asyncio.run(break_run(SchedulerSetup()))
    assert item.broken_targets == broken_targets
    assert item.consecutive_broken_runs == len(broken_targets)
