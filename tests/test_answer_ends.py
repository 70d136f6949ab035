"""Tests of the check whether an answer is complete that ended with its connection."""

import asyncio

import pytest
from msgspec.structs import replace

from ebonyshore.host.target_check import TargetCondition
from tests.test_crash_guard import GuardSetup, ScriptedChecker, run


@pytest.mark.parametrize("is_item", [False, True])
@pytest.mark.parametrize("condition", [TargetCondition.DOWN, TargetCondition.RESTARTED])
def test_end_of_an_answer_with_a_target_that_leaves_is_not_confirmed(condition, is_item):
    """Guards against answers cut short by a target that exits before its runs have ended."""

    async def scenario(setup):
        setup.checker.down.clear()
        setup.checker.condition_if_up = condition
        cut = setup.begin("t1", "harmless", is_item=is_item)
        setup.table.put(replace(setup.table.find("t1").entry, is_leaving=True))
        assert not await setup.guard.confirm_end(cut)
        setup.guard.end_broken(cut)
        await setup.guard.settle("harmless")
        assert setup.crashes("harmless") == 0

    run(scenario)


def test_no_item_that_began_before_a_restart_is_confirmed():
    """Guards against confirming the second item that ends with a restart, as the first told it."""

    async def scenario(setup):
        setup.checker.down.clear()
        setup.checker.condition_if_up = TargetCondition.SERVING
        target = setup.table.find("t1")
        lost = [setup.begin("t1", "one", is_item=True) for _ in range(2)]
        target.record_start(2)
        later = setup.begin("t1", "two", is_item=True)
        assert [await setup.guard.confirm_end(run) for run in lost] == [False, False]
        assert await setup.guard.confirm_end(later)

    run(scenario)


def test_one_crash_counts_once_although_its_target_is_found_down_and_then_started_again():
    """Guards against counting one crash behind a cut again when the end of the answer arrives."""

    async def scenario(setup):
        cut = setup.begin("t1", "harmless")
        await setup.crash("t1", "other")
        assert setup.crashes("harmless") == 1
        setup.checker.down.clear()
        setup.checker.condition_if_up = TargetCondition.RESTARTED
        setup.table.find("t1").record_start(2)
        assert not await setup.guard.confirm_end(cut)
        setup.guard.end_broken(cut)
        assert setup.crashes("harmless") == 1

    run(scenario)


class SlowChecker(ScriptedChecker):
    """Answers each check with what was true when it was asked, when the test lets it."""

    def __init__(self):
        super().__init__()
        self.may_answer = asyncio.Event()

    async def check(self, target):
        condition = await super().check(target)
        await self.may_answer.wait()
        return condition


def test_check_that_began_before_the_end_of_an_answer_does_not_confirm_it():
    """Guards against confirming an answer by a report that was sent before its target crashed."""

    async def scenario(_setup):
        checker = SlowChecker()
        setup = GuardSetup(checker=checker)
        checker.down.clear()
        checker.condition_if_up = TargetCondition.SERVING
        setup.guard.end_broken(setup.begin("t1", "other"))
        while not checker.checked:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        checker.down.add("t1")
        confirmations = [
            asyncio.create_task(setup.guard.confirm_end(setup.begin("t1", content)))
            for content in ("one", "two")
        ]
        await asyncio.sleep(0.01)
        checker.may_answer.set()
        assert await asyncio.gather(*confirmations) == [False, False]
        assert checker.checked == ["t1", "t1"]
        assert setup.crashes("one") == setup.crashes("two") == 1

    run(scenario)
