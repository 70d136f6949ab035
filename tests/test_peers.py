"""The records by which processes find each other, removed while their process lives."""

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


class Parts:
    """What a registration is made from."""

    def __init__(self, store):
        self.marked_store = MarkedStore(store, SystemClock())
        self.clock = SystemClock()
        self.log = EventLog()
        self.executor = ThreadPoolExecutor(1)


@pytest.fixture
def parts(object_store):
    return Parts(object_store)


def registered(parts):
    directory = PeerDirectory(OWN, parts.marked_store, parts.log)
    make_registration(parts, directory).start()
    parts.executor.submit(lambda: None).result(5)
    found = parts.marked_store.store.get(KEY)
    assert found is not None
    directory.on_listing([found])
    parts.marked_store.store.delete(KEY, found.version)
    return directory, found


def is_registered(parts):
    parts.executor.submit(lambda: None).result(5)
    return parts.marked_store.store.get(KEY) is not None


def test_a_process_whose_record_was_removed_writes_it_again(parts):
    """Guards against an entry that was cut off for long, whose record a runner has removed, and
    that gets no loads for the rest of its life."""
    directory, found = registered(parts)
    directory.on_changes([StoredObject(KEY, found.version + 1, None)])
    assert is_registered(parts)


def test_a_listing_without_the_own_record_is_a_removal_too(parts):
    """Guards against the same where the removal fell into history that the store has dropped."""
    directory, _ = registered(parts)
    directory.on_listing([])
    assert is_registered(parts)
