"""Finds the targets at which a stream began that its caller takes up again.

While a service has targets of several software versions, an entry tells runners the version of
each stream that begins, because the caller may continue it at another entry, also after this one
has ended. An entry that does not know the stream asks the runners, and then the other entries. If
nobody knows it, it goes on only if it is certain that the service has had a single version since
the stream began; runners keep a record for that which outlives them.
"""

from collections.abc import Callable
from itertools import count

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.list_check import ListCheck
from ebonyshore.gateway.origin_lookup import OriginLookup, OriginSource
from ebonyshore.gateway.origin_query import OriginQuery
from ebonyshore.gateway.stream_reporter import Send, StreamReporter
from ebonyshore.host.target import TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.datagrams import (
    RecentVersions,
    StreamAnswer,
    StreamQuery,
)
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.link.stream_records import StreamRecords

MAX_QUERIES = 3
MAX_ASKED_ENTRIES = 64  # in a larger fleet only runners are asked
VERSIONS_INTERVAL_MS = 200.0  # between two looks for services with several versions
LEARNED_LIFETIME_MS = 5_000.0  # of groups that a runner names, which does so all the time
INCOMPLETE_RETRY_MS = 400.0  # until runners that have started have read the stored record
UNKNOWN_RETRY_MS = 500.0


class UnknownOriginError(Exception):
    """It is not known at which version a stream began, and there may have been several.

    :ivar lookup: what is known.
    """

    def __init__(self, message: str, lookup: OriginLookup) -> None:
        super().__init__(message)
        self.lookup = lookup

    @property
    def retry_after_ms(self) -> float:
        """Delay after which the caller may try again."""
        return UNKNOWN_RETRY_MS if self.lookup.is_complete else INCOMPLETE_RETRY_MS


class StreamOrigins:
    """Records where the streams of this entry began and finds the origin of others.

    For use on one event loop.

    :param peers: provides the addresses of the runners.
    :param targets: provides the versions of a service.
    :param send: sends a datagram at once.
    :param is_list_current: returns whether the list of targets can be read at present.
    :param list_check: confirms the list if no other process answers.
    """

    __slots__ = (
        "_is_list_current",
        "_list_check",
        "_mixed_services",
        "_peers",
        "_queries",
        "_records",
        "_reporter",
        "_send",
        "_targets",
        "_unnamed_ids",
        "_versions_ms",
    )

    def __init__(
        self,
        peers: PeerDirectory,
        targets: TargetTable,
        send: Send,
        is_list_current: Callable[[], bool],
        list_check: ListCheck,
    ) -> None:
        self._list_check = list_check
        self._peers = peers
        self._targets = targets
        self._send = send
        self._is_list_current = is_list_current
        self._records = StreamRecords()
        self._reporter = StreamReporter(peers, send)
        self._queries: dict[str, OriginQuery] = {}
        self._unnamed_ids = count(1)
        self._mixed_services: set[str] = set()
        self._versions_ms = float("-inf")

    def record(self, request_id: str, origin: TargetGroup) -> None:
        """Record the group of the target that sent the first event of a request's response."""
        self._records.add(request_id, origin, now_ms())
        self._reporter.add(request_id, origin, now_ms(), self.is_mixed(origin.service))

    def is_mixed(self, service: str) -> bool:
        """Return whether a service has targets of several versions, or had them recently."""
        return service in self._find_mixed_services(now_ms())

    def report_streams(self) -> None:
        """Tell the runners of recent streams whose service has several versions.

        Has to be called several times a second, because a version may appear while a stream runs.
        """
        self._reporter.report(self._find_mixed_services(now_ms()), now_ms())

    async def find(self, request_id: str | None, service: str) -> OriginLookup:
        """Find the targets at which a stream may go on.

        :param request_id: id of the request that brought the first event, as the caller names it;
            ``None`` if it does not.
        :param service: service at which the stream would go on if its origin is not known.
        :return: what was found, with an origin.
        :raises UnknownOriginError: if nobody knows the stream, and it is not certain that the
            service has had one version only.
        """
        known = self._records.find(request_id, now_ms()) if request_id is not None else None
        if known is not None:
            return OriginLookup(OriginSource.OWN_RECORD, known)
        query = await self._ask(request_id, service)
        lookup = self._conclude(query, service)
        if lookup.origin is None:
            raise UnknownOriginError(f"it is not known where {request_id} began", lookup)
        if request_id is not None:
            self._records.add(request_id, lookup.origin, now_ms())
        return lookup

    def _conclude(self, query: OriginQuery, service: str) -> OriginLookup:
        """Return what is known after some answers."""
        versions = self._targets.recent_versions(service, now_ms()) | query.versions
        is_complete = (
            self._has_whole_view() and (bool(query.answers) or query.is_list_confirmed)
        ) or query.is_complete(self._peers.of_role("runner"))
        origin, source = query.origin, OriginSource.PEER_RECORD
        if origin is None and is_complete and len(versions) == 1:
            origin = TargetGroup(service, next(iter(versions)))
            source = OriginSource.ONLY_VERSION
        return OriginLookup(
            source if origin is not None else OriginSource.UNKNOWN,
            origin,
            query.peer,
            tuple(sorted(versions)),
            is_complete,
            query.asked,
            len(query.answers),
            self._is_list_current(),
        )

    def _has_whole_view(self) -> bool:
        return self._is_list_current() and self._targets.has_whole_view(now_ms())

    def on_message(self, message: StreamAnswer | StreamQuery | RecentVersions) -> None:
        """Apply a message of a runner, or answer another entry."""
        if isinstance(message, StreamAnswer):
            self.on_answer(message)
        elif isinstance(message, StreamQuery):
            self.answer(message)
        else:
            for group in message.groups:
                self._targets.note_group(group, now_ms(), LEARNED_LIFETIME_MS)

    def answer(self, query: StreamQuery) -> None:
        """Answer another entry."""
        answer = StreamAnswer(
            self._peers.own.instance_id,
            query.request_id,
            self._records.find(query.request_id, now_ms()),
            tuple(self._targets.recent_versions(query.service, now_ms())),
            self._targets.has_whole_view(now_ms()),
            self._is_list_current(),
        )
        self._send(answer, [(query.host, query.port)])

    def note_totals_sender(self, instance_id: str) -> None:
        """Record which runner sends load totals: the one that stores the origins of streams."""
        self._reporter.totals_sender = instance_id

    def on_answer(self, answer: StreamAnswer) -> None:
        """Apply the answer of another process."""
        query = self._queries.get(answer.request_id)
        if query is not None:
            query.add(answer)

    async def _ask(self, request_id: str | None, service: str) -> OriginQuery:
        """Ask other processes in several rounds, the first time only runners.

        :param request_id: ``None`` to ask for the versions of the service only.
        """
        query = OriginQuery()
        if request_id is None and len(self._conclude(query, service).versions) > 1:
            return query  # no answer can help
        own = self._peers.own
        query_id = request_id or f"{own.instance_id}?{next(self._unnamed_ids)}"
        query = self._queries.setdefault(query_id, query)
        message = StreamQuery(own.instance_id, own.host, own.port, query_id, service)
        try:
            for number in range(MAX_QUERIES):
                asked = self._asked_addresses(includes_entries=number > 0)
                self._send(message, asked)
                have_all_answered = await query.wait(len(asked))
                if have_all_answered and number > 0:
                    break
                # Others may know more than those that were quick to answer.
                may_conclude = query.origin is not None or have_all_answered or number > 0
                if may_conclude and self._conclude(query, service).origin is not None:
                    break
        finally:
            self._queries.pop(query_id, None)
        if not query.answers and self._has_whole_view():
            query.is_list_confirmed = await self._list_check.confirm()
        return query

    def _asked_addresses(self, includes_entries: bool) -> list[tuple[str, int]]:
        runners = self._peers.addresses("runner")
        entries = self._peers.addresses("entry") if includes_entries else []
        return runners + (entries if len(entries) <= MAX_ASKED_ENTRIES else [])

    def _find_mixed_services(self, at_ms: float) -> set[str]:
        if at_ms - self._versions_ms >= VERSIONS_INTERVAL_MS:
            self._versions_ms = at_ms
            self._mixed_services = self._targets.mixed_services(at_ms)
        return self._mixed_services
