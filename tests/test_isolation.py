"""Conditions under which an entry reports itself as isolated to the load balancer."""

import asyncio
from itertools import product

import pytest

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.isolation import RUNNER_SILENCE_MS, IsolationDetector
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.load_table import LoadTotals


class FakePeers:
    def __init__(self, runners):
        self.runners = runners

    def of_role(self, _role):
        return self.runners


class FakeProbe:
    def __init__(self, is_silent):
        self.is_silent = is_silent


def entry_is_isolated(has_runners, silent_ms, is_store_silent, has_lease=True):
    async def scenario():
        view = LoadView("fd-a", lambda: None)
        view.update_totals(LoadTotals("r1", "run-1", 1, {}, {}), now_ms() - silent_ms)
        peers = FakePeers({"r1": None} if has_runners else {})
        probe = FakeProbe(is_store_silent)
        return IsolationDetector(peers, view, probe, EventLog(), lambda: has_lease).is_isolated()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    "has_runners, are_runners_silent, is_store_silent", list(product((True, False), repeat=3))
)
def test_entry_is_isolated_only_if_it_reaches_neither_runners_nor_store(
    has_runners, are_runners_silent, is_store_silent
):
    """Guards against two failures. If the only entry of a failure domain is isolated and stays in
    service, all jobs of the domain's callers are refused. If the loss of the runners alone made an
    entry isolated, all entries would leave the load balancer at once when the runners are killed.
    """
    silent_ms = RUNNER_SILENCE_MS + 1 if are_runners_silent else RUNNER_SILENCE_MS - 100
    expected = has_runners and are_runners_silent and is_store_silent
    assert entry_is_isolated(has_runners, silent_ms, is_store_silent) is expected


@pytest.mark.parametrize(
    "has_runners, are_runners_silent, is_store_silent", list(product((True, False), repeat=3))
)
def test_entry_without_a_lease_stays_in_service_only_if_all_entries_lost_the_store(
    has_runners, are_runners_silent, is_store_silent
):
    """Load pattern: the store is lost to all entries for longer than a lease. Public routes must
    be served on, but an entry that alone refuses all keys must not get callers.
    """
    silent_ms = RUNNER_SILENCE_MS + 1 if are_runners_silent else RUNNER_SILENCE_MS - 100
    expected = are_runners_silent or not is_store_silent
    is_isolated = entry_is_isolated(has_runners, silent_ms, is_store_silent, has_lease=False)
    assert is_isolated is expected
