"""Watching a kind of objects despite outages, dropped history and changes that watches miss."""

import asyncio
from random import Random

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import HistoryLostError, StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.kind_watch import KindListener, KindWatch
from ebonyshore.store.platform_api import Listing, StoredObject, WatchResult


def stored_object(name, version):
    return StoredObject(f"config/{name}", version, b"{}")


class ScriptedStore:
    """Returns or raises the given results in order, then raises ``StoreUnavailableError``."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []
        self.is_exhausted = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    def _next(self, call):
        self.calls.append(call)
        if not self.results:
            self.loop.call_soon_threadsafe(self.is_exhausted.set)
            raise StoreUnavailableError("no results left")
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def list_objects(self, kind):
        return self._next("list")

    def watch(self, kind, since, timeout_ms):
        return self._next(since)


class RecordingListener(KindListener):
    def __init__(self):
        self.events = []
        self.interruptions = 0

    def on_listing(self, objects):
        self.events.append(("list", [stored.version for stored in objects]))

    def on_changes(self, objects):
        self.events.append(("change", [stored.version for stored in objects]))

    def on_interruption(self):
        self.interruptions += 1


def run_watch(*results):
    async def scenario():
        store, listener = ScriptedStore(*results), RecordingListener()
        watch = KindWatch(store, "config", listener, SystemClock(), EventLog(), Random(1))
        watch.start(asyncio.get_running_loop())
        await asyncio.wait_for(store.is_exhausted.wait(), 10)
        await asyncio.sleep(0.01)
        watch.stop()
        return store, listener

    return asyncio.run(scenario())


def test_watches_wait_for_the_probe_while_the_store_is_silent():
    """Guards against calls of each watch of each process to a store that is down."""

    async def scenario():
        silent = [True]
        store = ScriptedStore(StoreUnavailableError("down"), Listing(5, ()))
        listener = RecordingListener()
        watch = KindWatch(
            store,
            "config",
            listener,
            SystemClock(),
            EventLog(),
            Random(1),
            is_store_silent=lambda: silent[0],
        )
        watch.start(asyncio.get_running_loop())
        await asyncio.sleep(1.2)
        calls_while_silent = list(store.calls)
        silent[0] = False
        await asyncio.sleep(0.2)
        watch.stop()
        return calls_while_silent, store.calls

    while_silent, calls = asyncio.run(scenario())
    assert while_silent == ["list"] and calls[:3] == ["list", "list", 5]


def test_watch_starts_from_the_revision_of_the_listing():
    store, listener = run_watch(
        Listing(5, (stored_object("main", 3),)),
        WatchResult(8, (stored_object("main", 8),)),
    )
    assert listener.events == [("list", [3]), ("change", [8])]
    assert store.calls[:3] == ["list", 5, 8]


def test_change_that_a_timed_out_watch_did_not_return_is_found():
    """Guards against missing a configuration: the store accepts revision 9, returns it to no watch,
    and answers the watch that times out just then with a revision that includes it."""
    store, listener = run_watch(
        Listing(5, ()),
        WatchResult(9, ()),
        WatchResult(9, (stored_object("main", 9),)),
    )
    assert ("change", [9]) in listener.events
    assert store.calls[:3] == ["list", 5, 5]


def test_empty_results_advance_the_revision_so_that_its_history_is_kept():
    store, _ = run_watch(Listing(5, ()), *[WatchResult(n, ()) for n in (6, 7, 8)])
    assert store.calls[:5] == ["list", 5, 5, 6, 7]


def test_dropped_history_leads_to_a_new_listing():
    store, listener = run_watch(
        Listing(5, ()), HistoryLostError("gone"), Listing(30, (stored_object("main", 20),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.events == [("list", []), ("list", [20])]


def test_interrupted_watch_is_followed_by_a_listing():
    """Guards against missing a configuration: the store accepts a change, returns it to no watch,
    closes all watches, and treats a watch that is sent at once as if nothing had changed."""
    store, listener = run_watch(
        Listing(5, ()), StoreUnavailableError("cut"), Listing(9, (stored_object("main", 9),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.events[-1] == ("list", [9]) and listener.interruptions >= 2


def test_unexpected_error_leads_to_a_new_listing():
    store, listener = run_watch(
        Listing(5, ()), RuntimeError("unexpected"), Listing(9, (stored_object("main", 9),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.events[-1] == ("list", [9])
