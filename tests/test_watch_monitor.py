"""Finding watches of the store that have fallen silent, without I/O."""

import asyncio
from random import Random
from threading import Event

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.store.kind_watch import KindListener, KindWatch
from ebonyshore.store.platform_api import Listing, StoredObject

MAX_AGE_MS = 2_000.0
CHECK_MS = 100.0


class FakeWatch:
    """A watch of jobs that waits for the store since a time."""

    kind = "jobs"

    def __init__(self, pending_since_ms=None):
        self.newest_version = 5
        self.known_revision = 7
        self.pending_since_ms = pending_since_ms
        self.restarts = 0

    def restart(self):
        self.restarts += 1


class Setup:
    def __init__(self, clock, is_store_silent=False):
        self.clock = clock
        self.watch = FakeWatch(clock.monotonic_ms())
        self.monitor = WatchMonitor(
            MAX_AGE_MS, lambda: is_store_silent, clock, EventLog(), Metrics()
        )
        self.monitor.add(self.watch)

    def pass_time(self, duration_ms, known_elsewhere=None):
        """Check regularly, while another process tells what it knows, if it is in contact."""
        end_ms = self.clock.monotonic_ms() + duration_ms
        while self.clock.monotonic_ms() < end_ms:
            if known_elsewhere is not None:
                self.monitor.merge({"jobs": known_elsewhere})
            self.clock.advance_ms(CHECK_MS)
            self.monitor.check()


def test_watch_that_others_are_ahead_of_is_restarted_within_half_of_the_bound(clock):
    """Guards against a watch that is dead until its timeout."""
    setup = Setup(clock)
    setup.pass_time(MAX_AGE_MS / 2, known_elsewhere=8)
    assert setup.watch.restarts == 1


@pytest.mark.parametrize("known_elsewhere", [4, 5, 7])
def test_watch_that_is_up_to_date_is_left_alone(clock, known_elsewhere):
    """Guards against calls to the store while nothing is wrong."""
    setup = Setup(clock)
    setup.pass_time(10 * MAX_AGE_MS, known_elsewhere)
    assert setup.watch.restarts == 0


def test_watch_that_pauses_is_not_restarted(clock):
    """Guards against restarts of watches that collect changes between two calls."""
    setup = Setup(clock)
    setup.watch.pending_since_ms = None
    setup.pass_time(MAX_AGE_MS, known_elsewhere=8)
    assert setup.watch.restarts == 0


def test_restarts_that_change_nothing_become_rare(clock):
    """Guards against a call to a slow store at each check."""
    setup = Setup(clock)
    setup.pass_time(20 * MAX_AGE_MS, known_elsewhere=8)
    assert 2 <= setup.watch.restarts <= 6


def test_watch_of_a_process_without_contact_is_restarted_within_the_bound(clock):
    """Guards against a process that hears of no change from anybody."""
    setup = Setup(clock)
    setup.pass_time(MAX_AGE_MS + CHECK_MS)
    assert setup.watch.restarts == 1


def test_watch_is_not_restarted_while_the_store_is_silent(clock):
    setup = Setup(clock, is_store_silent=True)
    setup.pass_time(5 * MAX_AGE_MS, known_elsewhere=8)
    assert setup.watch.restarts == 0


def test_version_of_an_own_write_reaches_other_processes(clock):
    """Guards against a runner that ends a job and does not tell its owner."""
    setup = Setup(clock)
    setup.monitor.record_version("jobs", 9)
    assert setup.monitor.newest_versions() == {"jobs": 9}


def test_a_kind_of_which_others_know_a_newer_version_is_behind(clock):
    """Guards against trusting a list of processes while the store cannot be read."""
    setup = Setup(clock)
    kind = setup.watch.kind
    assert not setup.monitor.is_behind(kind)
    setup.monitor.merge({kind: setup.watch.known_revision + 1})
    assert setup.monitor.is_behind(kind)
    setup.watch.known_revision += 1
    assert not setup.monitor.is_behind(kind)


class SilentStore:
    """Answers lists, and no watch until it is interrupted."""

    def __init__(self):
        self.lists = 0
        self.is_watched = Event()
        self.is_interrupted = Event()

    def list_objects(self, _kind):
        self.lists += 1
        return Listing(self.lists, (StoredObject("jobs/j", self.lists, b"{}"),))

    def watch(self, _kind, _since, _timeout_ms):
        self.is_watched.set()
        self.is_interrupted.wait(5)
        self.is_interrupted.clear()
        raise StoreUnavailableError("interrupted")

    def interrupt_watches(self, _kind):
        self.is_interrupted.set()


class RecordingListener(KindListener):
    def __init__(self):
        self.versions = []
        self.interruptions = 0

    def on_listing(self, objects):
        self.versions += [stored.version for stored in objects]

    def on_changes(self, objects):
        raise AssertionError("no watch is answered")

    def on_interruption(self):
        self.interruptions += 1


def test_restarted_watch_lists_at_once_and_reports_no_outage():
    """Guards against targets that are kept, as after an outage, because a watch was restarted."""

    async def scenario():
        store, listener = SilentStore(), RecordingListener()
        watch = KindWatch(store, "jobs", listener, SystemClock(), EventLog(), Random(1))
        watch.start(asyncio.get_running_loop())
        assert await asyncio.to_thread(store.is_watched.wait, 5)
        watch.restart()
        await asyncio.sleep(0.1)
        watch.stop()
        store.is_interrupted.set()
        return listener

    listener = asyncio.run(scenario())
    assert listener.versions == [1, 2]
    assert listener.interruptions == 0
