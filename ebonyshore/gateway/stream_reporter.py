"""Tells runners of the streams that have begun at an entry."""

from collections.abc import Callable, Sequence, Set

from msgspec import Struct

from ebonyshore.host.target import TargetGroup
from ebonyshore.link.datagrams import Datagram, StreamStarts
from ebonyshore.link.peers import PeerDirectory, PeerRecord
from ebonyshore.link.stream_records import RECORD_LIFETIME_MS

REPORTED_TO_RUNNERS = 2  # number of runners that are told of a stream
REPORT_SENDS = 3  # of each stream, because datagrams may be lost
MAX_STREAMS_PER_DATAGRAM = 25  # keeps a datagram below 1,500 bytes

Send = Callable[[Datagram, list[tuple[str, int]]], None]


class _Unreported(Struct):
    """A stream that may have to be reported to runners.

    :param sends_left: number of datagrams that are still to tell of it.
    """

    request_id: str
    origin: TargetGroup
    began_ms: float
    sends_left: int = REPORT_SENDS


class StreamReporter:
    """Keeps the recent streams of an entry until runners have been told of them.

    :param peers: provides the addresses of the runners.
    :param send: sends a datagram at once.
    :ivar totals_sender: instance id of the runner that sends load totals, which also stores the
        origins of streams; ``None`` while it is not known.
    """

    __slots__ = ("_peers", "_send", "_unreported", "totals_sender")

    def __init__(self, peers: PeerDirectory, send: Send) -> None:
        self._peers = peers
        self._send = send
        self._unreported: dict[str, _Unreported] = {}  # by request id, oldest first
        self.totals_sender: str | None = None

    def add(self, request_id: str, origin: TargetGroup, at_ms: float, is_urgent: bool) -> None:
        """Add a stream.

        :param is_urgent: whether to tell the nearest runners at once.
        """
        stream = _Unreported(request_id, origin, at_ms)
        self._unreported[request_id] = stream
        if is_urgent:
            self._report([stream], self._nearest_runners())

    def report(self, services: Set[str], at_ms: float) -> None:
        """Tell the runners of the recent streams of some services."""
        self._drop_expired(at_ms)
        if not services:
            return
        streams = [s for s in self._unreported.values() if s.origin.service in services]
        runners = self._reported_runners()
        for first in range(0, len(streams), MAX_STREAMS_PER_DATAGRAM):
            self._report(streams[first : first + MAX_STREAMS_PER_DATAGRAM], runners)

    def _report(self, streams: Sequence[_Unreported], runners: Sequence[PeerRecord]) -> None:
        if not runners:
            return
        pairs = tuple((stream.request_id, stream.origin) for stream in streams)
        addresses = [(runner.host, runner.port) for runner in runners]
        self._send(StreamStarts(self._peers.own.instance_id, pairs), addresses)
        for stream in streams:
            stream.sends_left -= 1
            if stream.sends_left <= 0:
                self._unreported.pop(stream.request_id, None)

    def _nearest_runners(self) -> list[PeerRecord]:
        """Return the runners that are told at once: not the one that stores the origins, which has
        to take the streams of all entries and is told of many at a time.
        """
        own = self._peers.own
        nearest = sorted(
            (
                peer
                for key, peer in self._peers.of_role("runner").items()
                if key != self.totals_sender
            ),
            key=lambda peer: (peer.failure_domain != own.failure_domain, peer.instance_id),
        )
        return nearest[:REPORTED_TO_RUNNERS]

    def _reported_runners(self) -> list[PeerRecord]:
        """Return the runners that are told of many streams at a time."""
        storing = self._peers.of_role("runner").get(self.totals_sender or "")
        nearest = self._nearest_runners()
        return nearest if storing is None else [storing, *nearest[: REPORTED_TO_RUNNERS - 1]]

    def _drop_expired(self, at_ms: float) -> None:
        while self._unreported:
            oldest = next(iter(self._unreported.values()))
            if at_ms - oldest.began_ms <= RECORD_LIFETIME_MS:
                return
            del self._unreported[oldest.request_id]
