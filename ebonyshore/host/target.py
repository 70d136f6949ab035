"""A target that a process knows, with its observed state."""

from collections.abc import Callable

from msgspec import Struct

from ebonyshore.host.outliers import OutcomeHistory
from ebonyshore.link.load_table import Incarnation, TargetCounts

AVOID_UNREACHABLE_MS = 1_000.0
AVOID_UNRESPONSIVE_MS = 1_500.0
AVOID_FULL_MS = 60.0


class TargetGroup(Struct, frozen=True, array_like=True):
    """The targets of a service that have one software version; a stream goes on only among them."""

    service: str
    software_version: str


class TargetEntry(Struct, frozen=True):
    """A target as the platform lists it.

    :param service: name of the service that the target belongs to.
    :param address: address as ``IP:PORT``.
    :param capacity: number of requests that the target runs concurrently.
    :param is_leaving: whether the target has announced a planned stop.
    :param started_ms: wall time of its start, which distinguishes two incarnations with one id.
    :param software_version: version of the target's software; empty if it is not listed.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    capacity: int
    is_leaving: bool = False
    started_ms: int = 0
    software_version: str = ""

    @property
    def group(self) -> TargetGroup:
        """The service and the software version of the target."""
        return TargetGroup(self.service, self.software_version)


class Target:
    """One target: its entry, this process's requests there, and the observed state.

    All times except those of the entry are monotonic.

    :param entry: the target's entry in the list.
    :param on_leaving: called with the target, the id of the instance that leaves and the source of
        the news, each time that an answer or a peer says so.
    :param on_limit: called with the incarnation and the rate limit that it names in a response.
    :param on_events: called with the target and the arguments of :meth:`record_events`.
    :ivar own_online: number of this process's online requests at the target.
    :ivar own_batch: number of this process's batch items at the target.
    :ivar others_running: number of requests and items of all other processes there, as last known.
    :ivar batch_started_ms: time at which this process last started a batch item there.
    :ivar avoid_until_ms: end of the time for which the target is avoided after a failure.
    :ivar full_until_ms: end of the time for which the target is avoided after a refusal.
    :ivar removed_ms: time at which the entry was removed; ``None`` if it is listed.
    :ivar outcomes: outcomes of this process's requests.
    :ivar crashes: crashes that this process has seen.
    :ivar is_leaving: whether this incarnation has announced a planned stop, in the list or in an
        answer; it is never reset.
    :ivar started_ms: wall time of the last start that :meth:`record_start` was told.
    :ivar is_outlier: whether it was last found to fail more requests than other targets do.
    :ivar is_outdated: whether the target was started again and the list does not show it yet.
    """

    __slots__ = (
        "avoid_until_ms",
        "batch_started_ms",
        "crashes",
        "_on_events",
        "_on_leaving",
        "_on_limit",
        "entry",
        "full_until_ms",
        "is_leaving",
        "is_outdated",
        "is_outlier",
        "others_running",
        "outcomes",
        "own_batch",
        "own_online",
        "removed_ms",
        "started_ms",
    )

    def __init__(
        self,
        entry: TargetEntry,
        on_leaving: "Callable[[Target, str, str], None]" = lambda *_: None,
        on_limit: Callable[[Incarnation, float | None], None] = lambda *_: None,
        on_events: "Callable[[Target, bool, float, int, float], None]" = lambda *_: None,
    ) -> None:
        self._on_leaving = on_leaving
        self._on_limit = on_limit
        self._on_events = on_events
        self.entry = entry
        self.own_online = 0
        self.own_batch = 0
        self.others_running = 0
        self.batch_started_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self.full_until_ms = float("-inf")
        self.removed_ms: float | None = None
        self.outcomes = OutcomeHistory()
        self.crashes = 0
        self.started_ms = entry.started_ms
        self.is_leaving = entry.is_leaving
        self.is_outdated = False
        self.is_outlier = False

    @property
    def target_id(self) -> str:
        """Id of the target in the list."""
        return self.entry.target_id

    @property
    def incarnation(self) -> Incarnation:
        """The id and the start of the target, as the list shows them."""
        return Incarnation(self.entry.target_id, self.entry.started_ms)

    @property
    def own_counts(self) -> TargetCounts:
        """This process's requests at the target."""
        return TargetCounts(self.own_online, self.own_batch)

    @property
    def running(self) -> int:
        """Number of requests that the target runs, as far as this process knows."""
        known = self.own_online + self.own_batch + self.others_running
        return min(known, self.entry.capacity)

    def announce_leaving(self, source: str, instance_id: str | None = None) -> None:
        """Record that a server at the target's address has said that it leaves.

        :param source: where the news is from, for the log.
        :param instance_id: id that the server gives itself; ``None`` if it gives none.
        """
        self._on_leaving(self, instance_id or self.target_id, source)

    def record_limit(self, rate_per_s: float | None) -> None:
        """Record the rate limit that a response of the target names, or that it names none."""
        self._on_limit(self.incarnation, rate_per_s)

    def record_events(self, is_batch: bool, elapsed_ms: float, events: int, now_ms: float) -> None:
        """Record that a stream of the target went on.

        :param is_batch: whether it is the stream of a batch item.
        :param elapsed_ms: time since the stream's event before these.
        """
        self._on_events(self, is_batch, elapsed_ms, events, now_ms)

    def is_listed_start(self, started_ms: int) -> bool:
        """Return whether the list shows the start that the target tells, and remember it."""
        self.is_outdated = started_ms > self.entry.started_ms > 0
        return not self.is_outdated

    def record_start(self, started_ms: int) -> bool:
        """Record what the target says of its start; return whether it was started again."""
        is_new = started_ms > self.started_ms
        self.started_ms = max(self.started_ms, started_ms)
        return is_new

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether other targets are preferred at present."""
        return (
            self.removed_ms is not None
            or now_ms < self.avoid_until_ms
            or now_ms < self.full_until_ms
        )

    def mark_unreachable(self, now_ms: float) -> None:
        """Avoid the target for ``AVOID_UNREACHABLE_MS``, since it accepted no connection."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + AVOID_UNREACHABLE_MS)

    def mark_unresponsive(self, now_ms: float) -> None:
        """Avoid the target for ``AVOID_UNRESPONSIVE_MS``, since it did not respond to a request."""
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + AVOID_UNRESPONSIVE_MS)

    def mark_full(self, now_ms: float) -> None:
        """Avoid the target for ``AVOID_FULL_MS``, since it refused a request as overloaded."""
        self.full_until_ms = now_ms + AVOID_FULL_MS

    def mark_responsive(self) -> None:
        """Stop avoiding the target after a failure, since it has responded."""
        self.avoid_until_ms = float("-inf")
