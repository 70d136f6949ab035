"""Removal of a process's peer record while the process is running."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.process import make_registration
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory, PeerRecord
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject

OWN = PeerRecord("e1", "entry", "10.0.0.1", 7000, "fd-a", "run-1")
KEY = f"{PEERS_KIND}/e1"


class FakeEnvironment:
    """The parts of a host environment from which a registration is made."""

    def __init__(self, store):
        self.marked_store = MarkedStore(store, SystemClock())
        self.clock = SystemClock()
        self.log = EventLog()
        self.executor = ThreadPoolExecutor(1)


@pytest.fixture
def environment(object_store):
    return FakeEnvironment(object_store)


def register_then_remove(environment):
    directory = PeerDirectory(OWN, environment.marked_store, environment.log)
    make_registration(environment, directory).start()
    environment.executor.submit(lambda: None).result(5)
    stored = environment.marked_store.store.get(KEY)
    assert stored is not None
    directory.on_listing([stored])
    environment.marked_store.store.delete(KEY, stored.version)
    return directory, stored


def is_registered(environment):
    environment.executor.submit(lambda: None).result(5)
    return environment.marked_store.store.get(KEY) is not None


def test_removed_record_of_a_running_process_is_written_again(environment):
    """Guards against an entry that never receives load totals again: it was isolated for so long
    that a runner removed its record."""
    directory, stored = register_then_remove(environment)
    directory.on_changes([StoredObject(KEY, stored.version + 1, None)])
    assert is_registered(environment)


def test_listing_without_the_own_record_counts_as_its_removal(environment):
    """Guards against the same failure if no watch returns the removal, because the store dropped
    that part of its history."""
    directory, _ = register_then_remove(environment)
    directory.on_listing([])
    assert is_registered(environment)


def test_a_record_that_cannot_be_decoded_is_replaced(environment):
    """Guards against a process that stays unregistered, as its error was never read."""
    directory, stored = register_then_remove(environment)
    environment.marked_store.store.put(KEY, b"{}", 0)
    directory.on_changes([StoredObject(KEY, stored.version + 1, b"{}")])
    assert is_registered(environment)
    assert environment.marked_store.read(KEY, PeerRecord).body == OWN
