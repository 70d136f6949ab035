"""Signs of life of runners, which only runners watch."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from ebonyshore.frame.clock import ManualClock, SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerRecord
from ebonyshore.link.renewals import RENEWALS_KIND, RenewalListener, RenewalWriter
from ebonyshore.runner.peer_monitor import RENEW_INTERVAL_MS, PeerMonitor
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject

KEY = f"{RENEWALS_KIND}/b"


def make_record(instance_id, incarnation="run-1"):
    return PeerRecord(instance_id, "runner", "10.0.0.1", 7000, "fd-a", incarnation)


class OnePeer:
    """A peer directory of runner ``a`` that knows runner ``b``."""

    def __init__(self):
        self.runner = make_record("b")

    def of_role(self, role):
        return {"b": self.runner} if role == "runner" else {}


class NoRegistration:
    """Writes no peer record, so that a renewal of one would fail."""


class Setup:
    """Runner ``b``, which writes renewals, and the monitor of runner ``a``."""

    def __init__(self, store):
        self.store = store
        self.clock = ManualClock(10_000.0)
        self.executor = ThreadPoolExecutor(1)
        marked = MarkedStore(store, SystemClock())
        self.writer = RenewalWriter(make_record("b"), marked, EventLog(), self.executor)
        self.listener = RenewalListener("a", marked, EventLog())
        self.load_table = LoadTable("a")
        self.peers = OnePeer()
        own_writer = RenewalWriter(make_record("a"), marked, EventLog(), self.executor)
        self.monitor = PeerMonitor(
            self.peers,
            self.load_table,
            NoRegistration(),
            own_writer,
            self.listener,
            self.clock,
            EventLog(),
        )

    def wait(self):
        self.executor.submit(lambda: None).result(5)

    def renew(self):
        self.writer.renew()
        self.wait()
        stored = self.store.get(KEY)
        self.listener.on_changes([stored])
        return stored


@pytest.fixture
def setup(object_store):
    return Setup(object_store)


def test_renewal_shows_that_a_runner_is_alive(setup):
    setup.renew()
    first = setup.load_table.last_seen("b")
    setup.clock.advance_ms(700.0)
    setup.renew()
    assert setup.load_table.last_seen("b").at_ms == first.at_ms + 700.0


def test_runner_out_of_contact_writes_renewals_and_no_peer_record(setup):
    """Guards against calls to the store by every process for each renewal of a runner."""
    for _ in range(3):
        setup.clock.advance_ms(RENEW_INTERVAL_MS)
        setup.monitor.check_peers()
        setup.wait()
    assert setup.store.get("processes/a") is None
    assert b'"count":3' in setup.store.get(f"{RENEWALS_KIND}/a").value.replace(b" ", b"")


def test_renewal_that_is_listed_again_is_no_sign_of_life(setup):
    stored = setup.renew()
    seen = setup.load_table.last_seen("b")
    setup.clock.advance_ms(700.0)
    setup.listener.on_listing([stored])
    assert setup.load_table.last_seen("b") == seen


def test_renewal_of_an_earlier_process_is_no_sign_of_life(setup):
    setup.peers.runner = make_record("b", "run-2")
    setup.renew()
    assert setup.load_table.last_seen("b") is None


def test_unreadable_renewal_is_replaced(setup):
    version = setup.store.put(KEY, b"{}", 0)
    setup.listener.on_changes([StoredObject(KEY, version, b"{}")])
    setup.writer.renew()
    setup.wait()
    setup.renew()
    assert setup.load_table.last_seen("b") is not None


def test_renewal_of_a_lost_runner_is_removed(setup):
    setup.renew()
    assert setup.listener.is_known("b")
    setup.writer.remove("b")
    setup.wait()
    assert setup.store.get(KEY) is None
    setup.listener.on_changes([StoredObject(KEY, 9, None)])
    assert not setup.listener.is_known("b")
