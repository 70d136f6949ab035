"""Finds the targets at which a stream began that its caller takes up again.

While a service has targets of several software versions, an entry tells runners the version of each
stream that begins, because the caller may continue it at another entry, also after this one has
ended. An entry that does not know the stream asks the runners, and then the other entries. It asks
also if it knows one version only, because its list may be older than that of the entry that began.
"""

from asyncio import Event, timeout
from collections.abc import Callable, Sequence
from contextlib import suppress

from msgspec import Struct, structs

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.origin_lookup import OriginLookup, OriginSource
from ebonyshore.host.target import TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.datagrams import Datagram, StreamAnswer, StreamQuery, StreamStarts
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.link.stream_records import RECORD_LIFETIME_MS, StreamRecords

REPORTED_TO_RUNNERS = 2  # number of runners that are told of a stream
REPORT_SENDS = 2  # of each stream, because datagrams may be lost
MAX_STREAMS_PER_DATAGRAM = 25  # keeps a datagram below 1,500 bytes
QUERY_INTERVAL_MS = 40.0
MAX_QUERIES = 3
MAX_ASKED_ENTRIES = 64  # in a larger fleet only runners are asked
VERSIONS_INTERVAL_MS = 200.0  # between two looks for services with several versions

Send = Callable[[Datagram, list[tuple[str, int]]], None]


class UnknownOriginError(Exception):
    """It is not known at which of several versions a stream began.

    :ivar lookup: what is known.
    """

    def __init__(self, message: str, lookup: OriginLookup) -> None:
        super().__init__(message)
        self.lookup = lookup


class _Unreported(Struct):
    """A stream that may have to be reported to runners.

    :param sends_left: number of datagrams that are still to tell of it.
    """

    request_id: str
    origin: TargetGroup
    began_ms: float
    sends_left: int = REPORT_SENDS


class _Query:
    """A question that is sent to other processes until one knows the stream.

    :ivar asked: number of processes that were asked.
    :ivar answered: instance ids of the processes that have answered.
    :ivar origin: the origin of the stream; ``None`` while nobody has told it.
    :ivar peer: instance id of the process that told the origin.
    """

    __slots__ = ("_is_settled", "answered", "asked", "origin", "peer")

    def __init__(self) -> None:
        self._is_settled = Event()
        self.asked = 0
        self.answered: set[str] = set()
        self.origin: TargetGroup | None = None
        self.peer: str | None = None

    def add(self, answer: StreamAnswer) -> None:
        """Add an answer."""
        self.answered.add(answer.sender)
        if self.origin is None and answer.origin is not None:
            self.origin, self.peer = answer.origin, answer.sender
        if self.origin is not None or len(self.answered) >= self.asked:
            self._is_settled.set()

    async def wait(self, asked: int) -> bool:
        """Wait until the origin is known, or all that were asked have answered, or it takes long.

        :param asked: number of processes that were asked, those of earlier rounds included.
        :return: whether all have answered.
        """
        if not asked:
            return True
        self.asked = asked
        if self.origin is None and len(self.answered) < asked:
            self._is_settled.clear()
        with suppress(TimeoutError):
            async with timeout(QUERY_INTERVAL_MS / MS_PER_S):
                await self._is_settled.wait()
        return len(self.answered) >= asked


class StreamOrigins:
    """Records where the streams of this entry began and finds the origin of others.

    For use on one event loop.

    :param peers: provides the addresses of the runners.
    :param targets: provides the versions of a service.
    :param send: sends a datagram at once.
    :param is_list_current: returns whether the list of targets can be read at present.
    """

    __slots__ = (
        "_is_list_current",
        "_mixed_services",
        "_peers",
        "_queries",
        "_records",
        "_send",
        "_targets",
        "_unreported",
        "_versions_ms",
    )

    def __init__(
        self,
        peers: PeerDirectory,
        targets: TargetTable,
        send: Send,
        is_list_current: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._targets = targets
        self._send = send
        self._is_list_current = is_list_current
        self._records = StreamRecords()
        self._unreported: dict[str, _Unreported] = {}  # by request id, oldest first
        self._queries: dict[str, _Query] = {}
        self._mixed_services: set[str] = set()
        self._versions_ms = float("-inf")

    def record(self, request_id: str, origin: TargetGroup) -> None:
        """Record the group of the target that sent the first event of a request's response."""
        at_ms = now_ms()
        self._records.add(request_id, origin, at_ms)
        stream = _Unreported(request_id, origin, at_ms)
        self._unreported[request_id] = stream
        if self.is_mixed(origin.service):
            self._report([stream])

    def is_mixed(self, service: str) -> bool:
        """Return whether a service has targets of several versions, or had them recently."""
        return service in self._find_mixed_services(now_ms())

    def may_be_mixed(self, service: str) -> bool:
        """Return whether a service may have several versions, as far as this process can know."""
        return self.is_mixed(service) or not self._is_list_current()

    def report_streams(self) -> None:
        """Tell the runners of recent streams whose service has several versions.

        Has to be called several times a second, because a version may appear while a stream runs.
        """
        at_ms = now_ms()
        self._drop_expired(at_ms)
        mixed_services = self._find_mixed_services(at_ms)
        if mixed_services:
            streams = [s for s in self._unreported.values() if s.origin.service in mixed_services]
            for first in range(0, len(streams), MAX_STREAMS_PER_DATAGRAM):
                self._report(streams[first : first + MAX_STREAMS_PER_DATAGRAM])

    async def find(self, request_id: str | None, service: str) -> OriginLookup:
        """Find the targets at which a stream may go on.

        :param request_id: id of the request that brought the first event, as the caller names it;
            ``None`` if it does not.
        :param service: service at which the stream would go on if its origin is not known.
        :raises UnknownOriginError: if the service has several versions and the stream is not known.
        """
        known = self._records.find(request_id, now_ms()) if request_id is not None else None
        if known is not None:
            return OriginLookup(OriginSource.OWN_RECORD, known)
        versions = tuple(sorted(self._targets.recent_versions(service, now_ms())))
        is_mixed = len(versions) > 1
        if request_id is None:
            if is_mixed:
                lookup = OriginLookup(OriginSource.UNKNOWN, versions=versions)
                raise UnknownOriginError("the request does not name the one it continues", lookup)
            return OriginLookup(OriginSource.ONLY_VERSION, versions=versions)
        query = await self._ask(request_id, MAX_QUERIES if is_mixed else 1)
        lookup = self._describe(query, versions)
        if query.origin is not None:
            self._records.add(request_id, query.origin, now_ms())
        elif is_mixed or not (query.answered or lookup.is_list_current):
            unknown = structs.replace(lookup, source=OriginSource.UNKNOWN)
            raise UnknownOriginError(f"it is not known where {request_id} began", unknown)
        return lookup

    def _describe(self, query: _Query, versions: tuple[str, ...]) -> OriginLookup:
        is_known = query.origin is not None
        return OriginLookup(
            OriginSource.PEER_RECORD if is_known else OriginSource.ONLY_VERSION,
            query.origin,
            query.peer,
            versions,
            query.asked,
            len(query.answered),
            self._is_list_current(),
        )

    def answer(self, query: StreamQuery) -> None:
        """Answer another entry."""
        origin = self._records.find(query.request_id, now_ms())
        answer = StreamAnswer(self._peers.own.instance_id, query.request_id, origin)
        self._send(answer, [(query.host, query.port)])

    def on_answer(self, answer: StreamAnswer) -> None:
        """Apply the answer of another process."""
        query = self._queries.get(answer.request_id)
        if query is not None:
            query.add(answer)

    async def _ask(self, request_id: str, rounds: int) -> _Query:
        """Ask other processes in several rounds, the first time only runners."""
        query = self._queries.setdefault(request_id, _Query())
        own = self._peers.own
        message = StreamQuery(own.instance_id, own.host, own.port, request_id)
        try:
            for number in range(rounds):
                asked = self._asked_addresses(includes_entries=number > 0)
                self._send(message, asked)
                have_all_answered = await query.wait(len(asked))
                if query.origin is not None or (have_all_answered and number > 0):
                    break
        finally:
            self._queries.pop(request_id, None)
        return query

    def _asked_addresses(self, includes_entries: bool) -> list[tuple[str, int]]:
        runners = self._peers.addresses("runner")
        entries = self._peers.addresses("entry") if includes_entries else []
        return runners + (entries if len(entries) <= MAX_ASKED_ENTRIES else [])

    def _report(self, streams: Sequence[_Unreported]) -> None:
        runners = self._nearest_runners()
        if not runners:
            return
        pairs = tuple((stream.request_id, stream.origin) for stream in streams)
        self._send(StreamStarts(self._peers.own.instance_id, pairs), runners)
        for stream in streams:
            stream.sends_left -= 1
            if stream.sends_left <= 0:
                self._unreported.pop(stream.request_id, None)

    def _nearest_runners(self) -> list[tuple[str, int]]:
        own = self._peers.own
        runners = sorted(
            self._peers.of_role("runner").values(),
            key=lambda peer: (peer.failure_domain != own.failure_domain, peer.instance_id),
        )
        return [(peer.host, peer.port) for peer in runners[:REPORTED_TO_RUNNERS]]

    def _find_mixed_services(self, at_ms: float) -> set[str]:
        if at_ms - self._versions_ms >= VERSIONS_INTERVAL_MS:
            self._versions_ms = at_ms
            self._mixed_services = self._targets.mixed_services(at_ms)
        return self._mixed_services

    def _drop_expired(self, at_ms: float) -> None:
        while self._unreported:
            oldest = next(iter(self._unreported.values()))
            if at_ms - oldest.began_ms <= RECORD_LIFETIME_MS:
                return
            del self._unreported[oldest.request_id]
