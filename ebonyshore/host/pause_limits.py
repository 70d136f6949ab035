"""Decides after which pause a stream is taken up at another target. No I/O.

The load pattern is a fleet whose targets are so full that all of them send their events far apart,
while single targets fall silent. Moving a stream costs a new prompt and a place in a queue, so it
helps only if the next target is faster: a steady rhythm is no reason to move, however slow it is,
and a stream that has moved because of a pause has shown that its pauses are long elsewhere, too.
"""

ALLOWED_PAUSE_FACTOR = 1.25  # the answer is late in any case once a pause is longer than allowed
USUAL_PAUSE_FACTOR = 3.0  # a pause so much longer than those before it is not part of the rhythm
MIN_PAUSES = 3  # that show a rhythm
MOVE_BACKOFF = 2.0
# Callers abandon a stream after the longest of these pauses.
MIN_PATIENCE_MS = 2_000.0
PATIENCE_LATENCY_FACTOR = 4.0
PATIENCE_PAUSE_FACTOR = 8.0
MAX_PATIENCE_SHARE = 0.75  # the rest is left for the first event of another target

MIN_BODY_BYTES_PER_MS = 10.0  # a body without events that comes more slowly has stalled


def patience_ms(target_latency_ms: float, max_gap_ms: float | None) -> float:
    """Return the pause after which callers abandon a stream.

    :param target_latency_ms: time within which the first event is on time.
    :param max_gap_ms: longest pause with which an answer is on time; ``None`` if there is none.
    """
    return max(
        MIN_PATIENCE_MS,
        PATIENCE_LATENCY_FACTOR * target_latency_ms,
        PATIENCE_PAUSE_FACTOR * (max_gap_ms or 0.0),
    )


class PauseLimits:
    """The longest pauses of one stream, over all its attempts.

    :param first_event_ms: time without a first event after which an attempt is given up.
    :param min_pause_ms: shortest pause after an event for which an attempt is given up.
    :param max_gap_ms: longest pause with which an answer is on time; ``None`` if there is none.
    :param max_patience_ms: pause after which the reader abandons the stream.
    :param moves: number of attempts that were given up because of a pause so far.
    """

    __slots__ = (
        "_allowed_pause_ms",
        "_first_event_ms",
        "_last_event_ms",
        "_longest_pause_ms",
        "_max_pause_ms",
        "_min_pause_ms",
        "_moves",
        "_pauses",
    )

    def __init__(
        self,
        first_event_ms: float,
        min_pause_ms: float,
        max_gap_ms: float | None = None,
        max_patience_ms: float = float("inf"),
        moves: int = 0,
    ) -> None:
        self._first_event_ms = first_event_ms
        self._min_pause_ms = min_pause_ms
        self._allowed_pause_ms = max(min_pause_ms, (max_gap_ms or 0.0) * ALLOWED_PAUSE_FACTOR)
        self._max_pause_ms = max(self._allowed_pause_ms, max_patience_ms * MAX_PATIENCE_SHARE)
        self._longest_pause_ms = 0.0
        self._pauses = 0
        self._last_event_ms: float | None = None
        self._moves = moves

    def begin_attempt(self) -> None:
        """Start a new attempt; its time to the first event is not a pause of the stream."""
        self._last_event_ms = None

    def record_event(self, at_ms: float) -> None:
        """Record that one or several events were received at once."""
        if self._last_event_ms is not None:
            self._pauses += 1
            self._longest_pause_ms = max(self._longest_pause_ms, at_ms - self._last_event_ms)
        self._last_event_ms = at_ms

    def record_move(self) -> None:
        """Record that an attempt was given up because of a pause."""
        self._moves += 1

    @property
    def limit_ms(self) -> float:
        """The pause after which the present attempt is given up."""
        backoff = MOVE_BACKOFF**self._moves
        if self._last_event_ms is None:
            return self._first_event_ms * backoff
        if self._pauses < MIN_PAUSES:
            limit_ms = self._allowed_pause_ms
        else:  # the rhythm tells more than the pauses that the route allows
            limit_ms = max(self._min_pause_ms, self._longest_pause_ms * USUAL_PAUSE_FACTOR)
        return min(limit_ms, self._max_pause_ms) * backoff


class BodyLimit:
    """The time until which the next part of a body has to arrive that has no events.

    A part extends it in proportion to its size, so a byte now and then does not keep a body going.

    :param pause_ms: longest pause between two parts.
    :param at_ms: present time.
    :ivar limit_ms: the time until which the next part has to arrive.
    """

    __slots__ = ("_pause_ms", "limit_ms")

    def __init__(self, pause_ms: float, at_ms: float) -> None:
        self._pause_ms = pause_ms
        self.limit_ms = at_ms + pause_ms

    def record_part(self, size_bytes: int, at_ms: float) -> None:
        """Record that a part of the body was received."""
        limit_ms = self.limit_ms + size_bytes / MIN_BODY_BYTES_PER_MS
        self.limit_ms = min(at_ms + self._pause_ms, limit_ms)
