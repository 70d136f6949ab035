"""Remembers at which targets recent streams began. No I/O; times are passed in."""

from ebonyshore.host.target import TargetGroup

RECORD_LIFETIME_MS = 30_000.0  # longer than callers continue a stream
MAX_RECORDS = 30_000


class StreamRecords:
    """Target groups by request id, oldest first; not thread-safe.

    :ivar added: number of calls of :meth:`add` so far.
    """

    __slots__ = ("_records", "added")

    def __init__(self) -> None:
        self.added = 0
        self._records: dict[str, tuple[TargetGroup, float]] = {}

    def add(self, request_id: str, origin: TargetGroup, now_ms: float) -> None:
        """Record the group of the target that sent the first event of a request's response."""
        self.added += 1
        self._records.pop(request_id, None)
        self._records[request_id] = (origin, now_ms)
        while len(self._records) > MAX_RECORDS or self._is_oldest_expired(now_ms):
            del self._records[next(iter(self._records))]

    def find(self, request_id: str, now_ms: float) -> TargetGroup | None:
        """Return the group at which a request's stream began, or ``None`` if it is not known."""
        origin, added_ms = self._records.get(request_id, (None, now_ms))
        return origin if now_ms - added_ms <= RECORD_LIFETIME_MS else None

    def recent(self, now_ms: float) -> list[tuple[str, TargetGroup]]:
        """Return the request ids and groups that have not expired, oldest first."""
        return [
            (request_id, origin)
            for request_id, (origin, added_ms) in self._records.items()
            if now_ms - added_ms <= RECORD_LIFETIME_MS
        ]

    def _is_oldest_expired(self, now_ms: float) -> bool:
        _, added_ms = next(iter(self._records.values()))
        return now_ms - added_ms > RECORD_LIFETIME_MS
