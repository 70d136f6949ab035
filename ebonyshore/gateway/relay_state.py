"""What is known of a streamed response over all attempts of its request."""

from ebonyshore.host.event_stream import EventSplitter
from ebonyshore.host.pause_limits import PauseLimits, patience_ms
from ebonyshore.host.routes import Route
from ebonyshore.host.target import TargetGroup
from ebonyshore.http.numbers import parse_decimal

FIRST_EVENT_TIMEOUT_MS = 900.0  # afterwards a repeatable request is sent to another target
EVENT_TIMEOUT_MS = 700.0  # the same for each later event, at least


class RelayState:
    """The part of a streamed response that the caller has received, over all attempts.

    :param last_event_id: value of the request's header with the last event that the caller
        received earlier; ``None`` if there is no such header. A value that is not a number is
        ignored.
    :param pauses: when an attempt is given up because of a pause; by default, for a route without
        terms of its own.
    :ivar origin: the targets that may add events; ``None`` before the first event, if any may.
    :ivar answering_targets: ids of the targets that have answered an attempt.
    :ivar is_body_begun: whether a part of a body was relayed that is no event stream, so that no
        other target can go on with the response.
    """

    __slots__ = (
        "answering_targets",
        "first_event_ms",
        "is_body_begun",
        "origin",
        "pauses",
        "splitter",
    )

    def __init__(self, last_event_id: str | None, pauses: PauseLimits | None = None) -> None:
        self.splitter = EventSplitter(parse_decimal(last_event_id))
        self.pauses = pauses or PauseLimits(FIRST_EVENT_TIMEOUT_MS, EVENT_TIMEOUT_MS)
        self.first_event_ms: float | None = None
        self.origin: TargetGroup | None = None
        self.answering_targets: set[str] = set()
        self.is_body_begun = False

    @property
    def has_events(self) -> bool:
        """Whether any event of this response was relayed to the caller."""
        return self.first_event_ms is not None

    @property
    def last_id(self) -> int | None:
        """Id of the last event that the caller has received; ``None`` if there is none."""
        return self.splitter.last_id

    def record_events(self, at_ms: float, origin: TargetGroup) -> None:
        """Record that events were relayed.

        :param at_ms: time on the monotonic clock.
        :param origin: group of the target that sent them.
        """
        self.origin = origin
        self.pauses.record_event(at_ms)
        if self.first_event_ms is None:
            self.first_event_ms = at_ms

    def may_continue_at(self, group: TargetGroup) -> bool:
        """Return whether targets of a group may add events."""
        return self.origin in (None, group)


def route_pause_limits(route: Route) -> PauseLimits:
    """Return the pauses after which requests of a route are sent to another target."""
    max_patience_ms = patience_ms(route.target_latency_ms, route.max_gap_ms)
    return PauseLimits(FIRST_EVENT_TIMEOUT_MS, EVENT_TIMEOUT_MS, route.max_gap_ms, max_patience_ms)
