"""Tests of how a runner avoids targets that fail its items."""

import asyncio

import pytest

from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.outliers import HALF_LIFE_MS
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import TargetEntry
from ebonyshore.host.targets import TargetTable
from ebonyshore.runner.item_run import RunOutcome
from ebonyshore.runner.run_outcomes import RunOutcomes
from tests.test_item_scheduler import SchedulerSetup

TARGETS = 6


def make_entry(number):
    return TargetEntry(f"t{number}", "svc", f"10.0.0.{number}:80", "fd-a", 8)


class Setup:
    def __init__(self):
        self.targets = TargetTable()
        for number in range(1, TARGETS + 1):
            self.targets.put(make_entry(number))
        self.outcomes = RunOutcomes(self.targets)

    def record(self, target_id, *outcomes, at_ms=0.0):
        for outcome in outcomes:
            run = ContentRun(self.targets.find(target_id), RequestContent("content"), 0.0)
            self.outcomes.record(run, outcome, at_ms)


@pytest.mark.parametrize("outcome", [RunOutcome.BROKEN, RunOutcome.SILENT])
def test_target_that_breaks_runs_gets_no_items_for_a_while(outcome):
    """Guards against items that are sent to a faulty target, which is always free, many times."""
    setup = Setup()
    setup.record("t1", *[outcome] * 3)
    setup.record("t2", outcome, *[RunOutcome.COMPLETE] * 9)
    assert setup.outcomes.outliers(0.0) == {"t1"}
    assert setup.outcomes.outliers(2 * HALF_LIFE_MS) == set()


@pytest.mark.parametrize(
    "outcomes",
    [
        [RunOutcome.BROKEN],
        [RunOutcome.FAILED] * 9,  # the item may be the reason
        [RunOutcome.REJECTED] * 9,
        [RunOutcome.NOT_RUN] * 9,
        [RunOutcome.COMPLETE] * 9,
    ],
)
def test_target_is_not_avoided_for_what_it_may_do(outcomes):
    setup = Setup()
    setup.record("t1", *outcomes)
    assert setup.outcomes.outliers(0.0) == set()


def test_most_targets_stay_in_use_if_all_fail():
    setup = Setup()
    for number in range(1, TARGETS + 1):
        setup.record(f"t{number}", *[RunOutcome.BROKEN] * 5)
    assert len(setup.outcomes.outliers(0.0)) == 2


def test_target_that_starts_again_under_its_id_is_not_held_responsible():
    setup = Setup()
    setup.record("t1", *[RunOutcome.BROKEN] * 5)
    setup.targets.drop("t1", 0.0)
    setup.targets.put(make_entry(1))
    assert setup.outcomes.outliers(0.0) == set()


def test_items_start_at_the_other_targets():
    setup = SchedulerSetup()
    for number in range(2, TARGETS + 1):
        setup.targets.put(make_entry(number))

    async def scenario():
        for _ in range(5):
            run = ContentRun(setup.targets.find("t1"), RequestContent("content"), 0.0)
            setup.scheduler._outcomes.record(
                run, RunOutcome.BROKEN, asyncio.get_running_loop().time() * 1_000
            )
        setup.scheduler.schedule_items()
        used = set(setup.scheduler.dump().values())
        setup.scheduler.stop_all()
        await asyncio.sleep(0)
        return used

    used = asyncio.run(scenario())
    assert used and "t1" not in used
