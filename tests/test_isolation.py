"""When an entry tells the balancer that it is cut off."""

import asyncio
from itertools import product

import pytest

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.isolation import RUNNER_SILENCE_MS, IsolationDetector
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.load_board import LoadTotals


class Peers:
    def __init__(self, runners):
        self.runners = runners

    def of_role(self, _role):
        return self.runners


class Probe:
    def __init__(self, is_silent):
        self.is_silent = is_silent


def isolated(has_runners, silent_ms, is_store_silent):
    async def scenario():
        view = LoadView("fd-a", lambda: None)
        view.update_totals(LoadTotals("r1", "run-1", 1, {}, {}), now_ms() - silent_ms)
        peers = Peers({"r1": None} if has_runners else {})
        return IsolationDetector(peers, view, Probe(is_store_silent), EventLog()).is_isolated()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    "has_runners, is_silent, is_store_silent", list(product((True, False), repeat=3))
)
def test_only_an_entry_that_reaches_neither_runners_nor_store_is_cut_off(
    has_runners, is_silent, is_store_silent
):
    """Guards against callers of a failure domain whose jobs are refused for as long as its only
    entry is cut off, and against all entries leaving at once when the runners are killed."""
    silent_ms = RUNNER_SILENCE_MS + 1 if is_silent else RUNNER_SILENCE_MS - 100
    expected = has_runners and is_silent and is_store_silent
    assert isolated(has_runners, silent_ms, is_store_silent) is expected
