"""Following a kind of objects through outages, lost history and changes that no watch told of."""

import asyncio
from random import Random

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import HistoryLostError, StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.kind_watch import KindListener, KindWatch
from ebonyshore.store.platform_api import Listing, StoredObject, WatchResult


def found(name, version):
    return StoredObject(f"config/{name}", version, b"{}")


class ScriptedStore:
    """Answers listings and watches from a script, then blocks as a quiet store does."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.is_over = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    def _next(self, call):
        self.calls.append(call)
        if not self.answers:
            self.loop.call_soon_threadsafe(self.is_over.set)
            raise StoreUnavailableError("over")
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def list_objects(self, kind):
        return self._next("list")

    def watch(self, kind, since, timeout_ms):
        return self._next(since)


class Listener(KindListener):
    def __init__(self):
        self.heard = []
        self.disturbances = 0

    def on_listing(self, objects):
        self.heard.append(("list", [found.version for found in objects]))

    def on_changes(self, objects):
        self.heard.append(("change", [found.version for found in objects]))

    def on_interruption(self):
        self.disturbances += 1


def follow(*answers):
    async def scenario():
        store, listener = ScriptedStore(*answers), Listener()
        watch = KindWatch(store, "config", listener, SystemClock(), EventLog(), Random(1))
        watch.start(asyncio.get_running_loop())
        await asyncio.wait_for(store.is_over.wait(), 10)
        await asyncio.sleep(0.01)
        watch.stop()
        return store, listener

    return asyncio.run(scenario())


def test_changes_are_watched_from_the_listing_on():
    store, listener = follow(
        Listing(5, (found("main", 3),)),
        WatchResult(8, (found("main", 8),)),
    )
    assert listener.heard == [("list", [3]), ("change", [8])]
    assert store.calls[:3] == ["list", 5, 8]


def test_a_change_that_an_expired_watch_did_not_tell_is_found():
    """Guards against a configuration that is never heard of: the store hears of revision 9, tells
    no watch, and answers the one that expires just then with a revision beyond it."""
    store, listener = follow(
        Listing(5, ()),
        WatchResult(9, ()),
        WatchResult(9, (found("main", 9),)),
    )
    assert ("change", [9]) in listener.heard
    assert store.calls[:3] == ["list", 5, 5]


def test_empty_answers_move_the_watch_on_so_that_its_history_stays_known():
    store, _ = follow(Listing(5, ()), *[WatchResult(n, ()) for n in (6, 7, 8)])
    assert store.calls[:5] == ["list", 5, 5, 6, 7]


def test_a_lost_history_is_answered_by_a_new_listing():
    store, listener = follow(
        Listing(5, ()), HistoryLostError("gone"), Listing(30, (found("main", 20),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.heard == [("list", []), ("list", [20])]


def test_a_watch_that_was_cut_is_followed_by_a_listing():
    """Guards against a configuration that is never heard of: the store changes, tells no watch,
    cuts all, and takes a watch that is sent at once as if nothing had changed."""
    store, listener = follow(
        Listing(5, ()), StoreUnavailableError("cut"), Listing(9, (found("main", 9),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.heard[-1] == ("list", [9]) and listener.disturbances >= 2


def test_an_unexpected_error_is_answered_by_a_new_listing():
    store, listener = follow(
        Listing(5, ()), RuntimeError("unexpected"), Listing(9, (found("main", 9),))
    )
    assert store.calls[:3] == ["list", 5, "list"]
    assert listener.heard[-1] == ("list", [9])
