"""Stores what runners know of the origins of streams, so that it outlives a stop of all processes.

Each runner writes one object of its own and reads those of all runners when it starts.
"""

from collections.abc import Iterable, Sequence

from msgspec import DecodeError, Struct
from msgspec.json import encode

from ebonyshore.frame.errors import WriteConflictError
from ebonyshore.frame.logs import EventLog
from ebonyshore.host.target import TargetGroup
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION, ListingStore

ORIGINS_KIND = "streamorigins"
MAX_STREAM_BYTES = 600_000  # of the ids in one object; below the store's limit for one object


class OriginRecord(Struct, frozen=True):
    """What one runner has stored.

    :param groups: groups at which recent streams may have begun.
    :param streams: ids of the requests that began recent streams, for each group, oldest first.
    """

    groups: tuple[TargetGroup, ...] = ()
    streams: tuple[tuple[str, ...], ...] = ()


class OriginStorage:
    """Reads and writes the records. Calls block and may raise :class:`StoreError`.

    :param own_id: instance id of this runner.
    :param store: lists the objects.
    :param marked_store: writes them.
    """

    __slots__ = ("_log", "_marked_store", "_own_id", "_store", "_stored")

    def __init__(
        self, own_id: str, store: ListingStore, marked_store: MarkedStore, log: EventLog
    ) -> None:
        self._own_id = own_id
        self._store = store
        self._marked_store = marked_store
        self._log = log
        self._stored = self._empty_object(ABSENT_VERSION)

    def read_all(self) -> dict[str, OriginRecord]:
        """Return the records of all runners by instance id; unreadable ones are empty."""
        records: dict[str, OriginRecord] = {}
        own = self._empty_object(ABSENT_VERSION)
        for found in self._store.list_objects(ORIGINS_KIND).objects:
            instance_id = found.key.split("/", 1)[1]
            try:
                stored = self._marked_store.decode(
                    found.key, found.version, found.value or b"", OriginRecord
                )
            except DecodeError as error:
                self._log.event("stream_origins_unreadable", key=found.key, error=str(error))
                stored = self._empty_object(found.version)
            records[instance_id] = stored.body
            if instance_id == self._own_id:
                own = stored
        self._stored = own
        return records

    def write(
        self, groups: Iterable[TargetGroup], streams: Sequence[tuple[str, TargetGroup]]
    ) -> int:
        """Replace this runner's record, as it was last read or written.

        :param streams: pairs of request id and group, oldest first; the newest are stored.
        :return: the number of streams that were stored.
        :raises WriteConflictError: if the object has been changed since.
        """
        record = make_record(groups, streams)
        self._stored = self._marked_store.replace(self._stored, record)
        return sum(map(len, record.streams))

    def delete(self, instance_id: str) -> None:
        """Delete the record of a runner, if there is one."""
        found = self._store.get(_key(instance_id))
        if found is not None:
            try:
                self._store.delete(found.key, found.version)
            except WriteConflictError:
                return  # the runner has started again, or another one has deleted it

    def _empty_object(self, version: int) -> MarkedObject[OriginRecord]:
        return MarkedObject(_key(self._own_id), version, 0, (), OriginRecord())


def make_record(
    groups: Iterable[TargetGroup], streams: Sequence[tuple[str, TargetGroup]]
) -> OriginRecord:
    """Return the record of some groups and of the newest streams of :data:`MAX_STREAM_BYTES`.

    :param streams: pairs of request id and group, oldest first.
    """
    ids: dict[TargetGroup, list[str]] = {group: [] for group in groups}
    size = 0
    for request_id, group in reversed(streams):
        size += len(encode(request_id)) + 1  # a comma
        if size > MAX_STREAM_BYTES:
            break
        ids.setdefault(group, []).append(request_id)
    return OriginRecord(tuple(ids), tuple(tuple(reversed(found)) for found in ids.values()))


def _key(instance_id: str) -> str:
    return f"{ORIGINS_KIND}/{instance_id}"
