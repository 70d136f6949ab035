"""Tests of instance lists in which another writer has left an odd record."""

from collections.abc import Iterator

import pytest
from msgspec.json import encode
from zmq import curve_keypair

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.instance_poller import InstancePoller
from ebonyshore.entry.membership import Membership
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import StoreUnavailableError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.store.platform_api import Instance
from ebonyshore.store.platform_http import PlatformHttp
from ebonyshore_standins.platform_fleet import wait_until
from tests.raw_server import RawServer

TIMEOUT_MS = 2_000
FLEET_KEYS = [key.decode() for key in curve_keypair()]
SOUND = (
    Instance("t1", "target", "tcp://127.0.0.1:1", models=("m",)),
    Instance("t2", "target", "tcp://127.0.0.1:2", models=("m",)),
)
DEEP = b"[" * 200_000 + b"]" * 200_000
ODD_RECORDS = {
    "deep": b'{"instance_id": "x", "role": "target", "address": %b}' % DEEP,
    "large_number": b'{"instance_id": "x", "role": "target", "address": 1%b}' % (b"0" * 5_000),
    "large_port": b'{"instance_id": "x", "role": "target", "address": "tcp://127.0.0.1:65536"}',
    "huge_port": b'{"instance_id": "x", "role": "target", "address": "tcp://127.0.0.1:%b"}'
    % (b"9" * 5_000),
    "no_port": b'{"instance_id": "x", "role": "target", "address": "tcp://127.0.0.1"}',
    "no_host": b'{"instance_id": "x", "role": "target", "address": "tcp://:7"}',
    "no_scheme": b'{"instance_id": "x", "role": "target", "address": "127.0.0.1:7"}',
    "odd_host": b'{"instance_id": "x", "role": "target", "address": "tcp://a b;c:7"}',
    "bracket": b'{"instance_id": "x", "role": "target", "address": "tcp://[::1:7"}',
    "surrogate": b'{"instance_id": "\\udcff", "role": "target", "address": "tcp://127.0.0.1:7"}',
    "no_utf8": b'{"instance_id": "\xff", "role": "target", "address": "tcp://127.0.0.1:7"}',
    "unknown_role": b'{"instance_id": "x", "role": "other", "address": "tcp://127.0.0.1:7"}',
    "missing_fields": b"{}",
    "null": b"null",
    "not_a_number": b"NaN",
    "control": b'{"instance_id": "\x01", "role": "target", "address": "tcp://127.0.0.1:7"}',
}


@pytest.fixture
def server() -> Iterator[RawServer]:
    running = RawServer()
    yield running
    running.close()


def response(*records: bytes) -> bytes:
    body = b"[%b]" % b",".join(records)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def make_platform(server: RawServer, unreadable: list) -> PlatformHttp:
    return PlatformHttp(
        f"http://127.0.0.1:{server.port}", TIMEOUT_MS, lambda *found: unreadable.append(found)
    )


@pytest.mark.parametrize("name", ODD_RECORDS)
def test_odd_record_costs_itself_alone(server, name):
    """Guards against entries that end, or stop following the list, because of one record."""
    server.response = response(encode(SOUND[0]), ODD_RECORDS[name], encode(SOUND[1]))
    unreadable = []
    assert make_platform(server, unreadable).list_instances() == list(SOUND)
    assert len(unreadable) == 1


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b"\xff", b'[{"instance_id": "t1"'])
def test_list_without_a_frame_counts_as_unavailable(server, body):
    server.response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    with pytest.raises(StoreUnavailableError):
        make_platform(server, []).list_instances()


@pytest.mark.parametrize("name", ODD_RECORDS)
def test_entry_goes_on_with_the_sound_targets(server, name):
    """Guards against a poller or an agent link that ends with an exception."""
    server.response = response(encode(SOUND[0]), ODD_RECORDS[name], encode(SOUND[1]))
    clock, log, failures = SystemClock(), EventLog(), []
    membership = Membership()
    link = AgentLink("e1", membership, lambda: 1, FleetSettings(*FLEET_KEYS), clock, Metrics(), log)
    poller = InstancePoller(make_platform(server, []), link, 50, clock, log)
    for task in (link, poller):
        task.on_failure(lambda *failure: failures.append(failure))
        task.start()
    try:
        wait_until(lambda: failures or len(membership.targets()) == len(SOUND), 5.0)
        assert set(membership.targets()) == {"t1", "t2"}
    finally:
        poller.stop()
        link.stop()
    assert not failures
