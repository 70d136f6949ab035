"""Messages and records that name what no process can use."""

import asyncio

import pytest
from msgspec import structs
from msgspec.json import encode
from msgspec.msgpack import encode as encode_message

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.datagrams import ConfigConfirmed, Datagram, StreamQuery, SuspicionUpdate
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import Incarnation, LimitReport, LoadReport
from ebonyshore.link.messages import Verdict
from ebonyshore.link.peers import PEERS_KIND, PeerDirectory
from ebonyshore.link.target_speeds import SpeedReport, SpeedUpdate
from ebonyshore.store.platform_api import StoredObject
from tests.registry_setup import make_peer

TARGET = Incarnation("t1", 5)
NAN, INFINITY = float("nan"), float("inf")


@pytest.mark.parametrize(
    "message",
    [
        LoadReport("a", "r", 1, "entry", {}, limits=(LimitReport(TARGET, INFINITY, 1.0, 1.0),)),
        LoadReport("a", "r", 1, "entry", {}, clock_ms=NAN),
        SpeedUpdate("a", False, (SpeedReport(TARGET, NAN, 1.0, 1.0, 1.0),)),
        SuspicionUpdate("a", (Verdict("d", 1, False, -INFINITY),)),
        ConfigConfirmed("a", 1, "r", NAN),
        StreamQuery("a", "127.0.0.1", 70_000, "q"),
        StreamQuery("a", "127.0.0.1", 0, "q"),
    ],
)
def test_message_with_a_number_out_of_range_is_dropped(message):
    """Guards against sums and ports of all processes that one message makes useless."""
    metrics = Metrics()
    codec = MessageCodec(Datagram, metrics)
    assert codec.decode(encode_message(message)) is None
    assert metrics.counter("bad_frames") == 1


def test_message_that_is_nested_too_deeply_is_dropped():
    assert MessageCodec(Datagram, Metrics()).decode(b"\x92\xa6report" + b"\x91" * 60_000) is None
    assert MessageCodec(object, Metrics()).decode(b"\x91" * 60_000 + b"\xc0") is None


@pytest.mark.parametrize("address", [("127.0.0.1", 70_000), ("127.0.0.1", -1), ("no.ip", 9)])
def test_address_that_cannot_be_used_does_not_close_the_socket(address):
    """Guards against a process that is cut off from all others by one record of a peer."""
    received = []

    async def send() -> None:
        receiver = LoadSocket(Metrics(), received.append)
        await receiver.open("127.0.0.1", 0)
        port = receiver._transport.get_extra_info("sockname")[1]
        sender = LoadSocket(Metrics(), received.append)
        await sender.open("127.0.0.1", 0)
        message = ConfigConfirmed("a", 1, "r", 1.0)
        sender.send(message, [address])
        await asyncio.sleep(0.01)
        sender.send(message, [address, ("127.0.0.1", port)])
        await asyncio.sleep(0.05)
        sender.close()
        receiver.close()

    asyncio.run(send())
    assert len(received) == 1


@pytest.mark.parametrize("changes", [{"port": 70_000}, {"port": 0}, {"host": "no.ip"}])
def test_peer_with_an_address_that_cannot_be_used_is_left_out(store, changes):
    peers = PeerDirectory(make_peer("a"), store, EventLog())
    records = {"b": structs.replace(make_peer("b"), **changes), "c": make_peer("c")}
    peers.on_listing(
        [
            StoredObject(
                f"{PEERS_KIND}/{key}", 1, b'{"sequence":1,"marks":[],"body":%b}' % encode(record)
            )
            for key, record in records.items()
        ]
    )
    assert set(peers.of_role("runner")) == {"c"}
