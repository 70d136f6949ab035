"""When an entry tells the balancer that it is cut off."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

import pytest

from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.isolation import Isolation
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.load_board import LoadTotals


class Peers:
    def __init__(self, runners):
        self.runners = runners

    def of_role(self, _role):
        return self.runners


def isolated(runners=("r1",), are_heard=False, has_store=False):
    asked = []

    def ask_store():
        asked.append(1)
        if not has_store:
            raise StoreUnavailableError("cut off")

    async def scenario():
        view = LoadView("fd-a", lambda: None)
        if are_heard:
            view.note_totals(LoadTotals("r1", "run-1", 1, {}, {}), now_ms())
        peers = Peers(dict.fromkeys(runners))
        isolation = Isolation(peers, view, ask_store, ThreadPoolExecutor(1), EventLog())
        await isolation.look()
        return isolation.is_isolated

    return asyncio.run(scenario()), len(asked)


def test_an_entry_that_reaches_neither_runners_nor_store_is_cut_off():
    """Guards against callers of a failure domain whose jobs are refused for as long as its only
    entry is cut off, since the balancer goes on sending them there."""
    assert isolated() == (True, 1)


@pytest.mark.parametrize(
    "state, calls",
    [
        ({"are_heard": True}, 0),
        ({"has_store": True}, 1),
        ({"runners": ()}, 0),
    ],
)
def test_an_entry_that_misses_one_of_them_only_goes_on_taking_callers(state, calls):
    assert isolated(**state) == (False, calls)
