"""What a runner knows of the origins of streams and the versions of services. No I/O."""

from collections.abc import Callable

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.target import TargetGroup
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.datagrams import RecentVersions, StreamAnswer, StreamQuery, StreamStarts
from ebonyshore.link.stream_records import StreamRecords
from ebonyshore.runner.origin_storage import OriginRecord


class OriginRegistry:
    """Answers entries that look for the origin of a stream; for use on one event loop.

    :param own_id: instance id of this runner.
    :param targets: provides the versions of the services.
    :param is_list_current: returns whether the list of targets can be read at present.
    :ivar has_loaded: whether the stored records were merged at least once.
    """

    __slots__ = (
        "_is_list_current",
        "_own_id",
        "_records",
        "_targets",
        "_was_without_store",
        "has_loaded",
    )

    def __init__(
        self, own_id: str, targets: TargetTable, is_list_current: Callable[[], bool]
    ) -> None:
        self._own_id = own_id
        self._targets = targets
        self._is_list_current = is_list_current
        self._records = StreamRecords()
        self._was_without_store = False  # since the records were last read
        self.has_loaded = False

    def note_loaded(self) -> None:
        """Record that the stored records were read and merged."""
        self.has_loaded = True
        self._was_without_store = False

    def must_load(self) -> bool:
        """Return whether the stored records have to be read, as others may have changed them.

        Has to be called several times a second. While the store is down, nobody can change them.
        """
        is_list_current = self._is_list_current()
        self._was_without_store |= not is_list_current
        return not self.has_loaded or (self._was_without_store and is_list_current)

    @property
    def added(self) -> int:
        """Number of streams that this runner was told of so far."""
        return self._records.added

    @property
    def has_listing(self) -> bool:
        """Whether the list of targets was read at least once."""
        return self._targets.has_listing

    def add(self, message: StreamStarts) -> None:
        """Record streams that have begun at an entry; their versions may not be listed here yet."""
        for request_id, origin in message.streams:
            self._records.add(request_id, origin, now_ms())
            self._targets.note_group(origin, now_ms())

    def merge(self, record: OriginRecord) -> None:
        """Add what a runner has stored; all of it counts as recent.

        The age of the record is not known, because wall clocks may be wrong.
        """
        for group in record.groups:
            self._targets.note_group(group, now_ms())
        for group, request_ids in zip(record.groups, record.streams, strict=False):
            for request_id in request_ids:
                if self._records.find(request_id, now_ms()) is None:
                    self._records.add(request_id, group, now_ms())

    def answer(self, query: StreamQuery) -> StreamAnswer:
        """Return the answer to the query of an entry."""
        return StreamAnswer(
            self._own_id,
            query.request_id,
            self._records.find(query.request_id, now_ms()),
            tuple(self._targets.recent_versions(query.service, now_ms())),
            self.has_listing and not self.must_load(),
            self._is_list_current(),
        )

    def groups(self) -> frozenset[TargetGroup]:
        """Return the groups at which recent streams may have begun."""
        return frozenset(self._targets.recent_groups(now_ms()))

    def mixed_groups(self) -> frozenset[TargetGroup]:
        """Return those of :meth:`groups` whose service has several of them."""
        services = self._targets.mixed_services(now_ms())
        return frozenset(group for group in self.groups() if group.service in services)

    def versions_message(self) -> RecentVersions | None:
        """Return the message for entries; ``None`` if no service has several versions."""
        groups = self.mixed_groups()
        return RecentVersions(self._own_id, tuple(groups)) if groups else None

    def mixed_streams(self) -> list[tuple[str, TargetGroup]]:
        """Return the recent streams of services with several versions, oldest first."""
        groups = self.mixed_groups()
        return [stream for stream in self._records.recent(now_ms()) if stream[1] in groups]
