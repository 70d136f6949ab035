"""Tests of the choice of waiting items and of the software version at which each of them runs."""

import asyncio
from random import Random

import pytest

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.target import TargetGroup
from ebonyshore.runner.completion_rate import CompletionRate
from ebonyshore.runner.job_ranking import JobRanking
from ebonyshore.runner.waiting_items import MIN_VERSION_WAIT_MS, WaitingItems
from tests.admission_setup import FixedConfig, make_route
from tests.registry_setup import RegistrySetup

OLD = TargetGroup("svc", "v1")
NEW = TargetGroup("svc", "v2")
LONG_MS = MIN_VERSION_WAIT_MS + 1.0


class Setup:
    """A job with items of which the first has an event of version ``v1``."""

    def __init__(self, waited_ms=0.0, used_ms=0.0):
        setup = RegistrySetup(retention_ms=1e9, epoch=1)
        self.items = setup.registry.owned_jobs()[0].items
        ranking = JobRanking(setup.registry, CompletionRate(), setup.clock)
        self.metrics = Metrics()
        self.waiting = WaitingItems(
            setup.registry,
            FixedConfig(make_route()),
            ranking,
            EventLog(),
            self.metrics,
            Random(1),
        )
        self.begun = self.items[0]
        self.begun.add_event(1, "one", OLD)
        self.begun.ended_runs_ms = used_ms
        self.begun.run_ended_ms = now_ms() - waited_ms

    def groups_of_items(self, free_slots):
        """Return the version at which each item that may start is to run, by item index."""
        selected = self.waiting.select(free_slots, ())
        return {
            waiting.item.index: group.software_version
            for group, found in selected.items()
            for waiting in found.values()
        }


def run(scenario):
    async def call():
        return scenario()

    return asyncio.run(call())


@pytest.mark.parametrize(
    "free_slots, waited_ms, used_ms, version, events",
    [
        ({OLD: 1, NEW: 5}, 0.0, 0.0, "v1", ["one"]),
        ({OLD: 0, NEW: 5}, 0.0, 0.0, None, ["one"]),
        ({OLD: 0, NEW: 5}, LONG_MS, 0.0, "v2", []),
        ({OLD: 0, NEW: 5}, LONG_MS, 2 * LONG_MS, None, ["one"]),
        ({OLD: 0, NEW: 5}, 3 * LONG_MS, 2 * LONG_MS, "v2", []),
        ({OLD: 0, NEW: 0}, LONG_MS, 0.0, None, ["one"]),
        ({NEW: 5}, 0.0, 2 * LONG_MS, "v2", []),
        ({}, 0.0, 0.0, None, ["one"]),
    ],
    ids=["free", "busy", "long", "much_work", "longer", "all_busy", "gone", "no_target"],
)
def test_item_with_events_goes_on_at_their_version_or_starts_again(
    free_slots, waited_ms, used_ms, version, events
):
    """Guards against a result with events of two versions, and against an item that waits for a
    version that is gone."""

    def scenario():
        setup = Setup(waited_ms, used_ms)
        return setup.groups_of_items(free_slots).get(0), setup.begun.data

    assert run(scenario) == (version, events)


def test_items_without_events_take_the_version_with_the_most_free_slots():
    def scenario():
        setup = Setup()
        setup.begun.discard_events()
        return setup.groups_of_items({OLD: 1, NEW: 2})

    versions = run(scenario)
    assert len(versions) == 2 and versions[0] == "v2"


def test_there_are_no_more_items_than_free_slots():
    def scenario():
        return Setup().groups_of_items({OLD: 1, NEW: 0})

    assert run(scenario) == {0: "v1"}
