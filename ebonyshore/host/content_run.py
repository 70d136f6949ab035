"""One run of a request at a target, as far as it matters to its content and its target. No I/O."""

from collections.abc import Callable

from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.target import Target

# A retry that is sent right after a break and breaks within this time has met a target that was
# lost at the same moment. A request that crashes its target is read and begun first.
SIMULTANEOUS_MS = 10.0
# Content that crashes its targets does so when it begins to run, a few events later at most. A run
# that breaks off later was probably hit by a crash that it did not cause.
MAX_CRASH_DELAY_MS = 1_000.0


class ContentRun:
    """One run of a request at a target.

    :param target: the target that the request is sent to.
    :param content: the digests of the request to which a crash may be attributed.
    :param started_ms: time at which the run started, on the clock of the event loop.
    :param is_resumable: whether the next run of the request continues after the last event.
    :param is_item: whether it is a run of a batch item.
    :param follows_break: whether another run of the content, to which a crash may be attributed,
        broke just before this one started.
    :ivar is_sent: whether the request was sent; before that it cannot have crashed the target.
    :ivar last_part_ms: time of the start or of the last part of the response.
    :ivar first_event_ms: time at which the run received its first event; ``None`` before that.
    :ivar last_event_ms: time at which it received its latest event; ``None`` before the first.
    :ivar is_checked: whether the target was checked since the last part of the response.
    :ivar is_attributed: whether a crash of the target was attributed to it while it was running.
    :ivar has_cleared_parts: whether its progress has cleared the parts of its prompt.
    :ivar on_first_event: called with the run when it receives its first event.
    :ivar target_started_ms: wall time of the target's start, as it was known when the run started.
    :ivar is_end_certain: whether a complete response is certain to be all that the target sends.
    """

    __slots__ = (
        "content",
        "first_event_ms",
        "follows_break",
        "has_cleared_parts",
        "is_attributed",
        "is_checked",
        "is_end_certain",
        "is_item",
        "is_resumable",
        "is_sent",
        "last_event_ms",
        "last_part_ms",
        "on_first_event",
        "started_ms",
        "target",
        "target_started_ms",
    )

    def __init__(
        self,
        target: Target,
        content: RequestContent,
        started_ms: float,
        is_resumable: bool = False,
        is_item: bool = False,
        follows_break: bool = False,
    ) -> None:
        self.target = target
        self.target_started_ms = target.started_ms
        self.content = content
        self.started_ms = started_ms
        self.is_resumable = is_resumable
        self.is_item = is_item
        self.follows_break = follows_break
        self.is_sent = False
        self.last_part_ms = started_ms
        self.first_event_ms: float | None = None
        self.last_event_ms: float | None = None
        self.is_attributed = False
        self.is_checked = False
        self.has_cleared_parts = False
        self.is_end_certain = True
        self.on_first_event: Callable[[ContentRun], None] = lambda _run: None

    @property
    def is_target_restarted(self) -> bool:
        """Whether the target is known to have been started again since the run started."""
        return self.target.started_ms > self.target_started_ms

    @property
    def progress_ms(self) -> float | None:
        """Time from the first to the last event in milliseconds; ``None`` without an event."""
        if self.first_event_ms is None:
            return None
        return self.last_event_ms - self.first_event_ms

    @property
    def active_ms(self) -> float | None:
        """Last time at which the target is known to have worked or begun to work on the run.

        ``None`` before the first event if the run may wait for a slot or need not have events.
        """
        if self.last_event_ms is not None:
            return self.last_event_ms
        has_slot = self.target.running < self.target.entry.capacity
        return self.started_ms if self.is_item and self.is_sent and has_slot else None

    @property
    def is_weak_evidence(self) -> bool:
        """Whether a crash is weak evidence against the content, as the run had made progress."""
        return self.is_resumable and self.first_event_ms is not None

    def record_part(self, at_ms: float) -> None:
        """Record that a part of the response was received."""
        self.last_part_ms = at_ms
        self.is_checked = False

    def record_event(self, at_ms: float, events: int = 1) -> None:
        """Record that the run received one or more events at the same time."""
        self.record_part(at_ms)
        if self.first_event_ms is None:
            self.first_event_ms = at_ms
            self.on_first_event(self)
        else:
            elapsed_ms = at_ms - self.last_event_ms
            self.target.record_events(self.is_item, elapsed_ms, events, at_ms)
        self.last_event_ms = at_ms

    @property
    def has_progress(self) -> bool:
        """Whether the run has gone on for longer than content that crashes its target would."""
        return (self.progress_ms or 0.0) > MAX_CRASH_DELAY_MS

    def suspects(self, at_ms: float) -> dict[str, bool]:
        """Return what of the content may have caused a crash of the target at ``at_ms``.

        :return: whether the crash is weak evidence, by digest.
        """
        found: dict[str, bool] = {}
        if not self.is_sent or self.is_item:
            return found
        if self._may_have_crashed_target(at_ms):
            found[self.content.digest] = self.is_weak_evidence
        if not self.has_progress:
            found |= dict.fromkeys(self.content.parts, False)
        return found

    def _may_have_crashed_target(self, at_ms: float) -> bool:
        """Return whether a crash of the target may be attributed to the whole content.

        It is not if the run had made progress for some time that the next run continues from. If
        the content caused the crash, the next run crashes its target early. Less progress makes the
        crash weak evidence, see :attr:`is_weak_evidence`.
        """
        if self.is_resumable and self.has_progress:
            return False
        return not self.follows_break or at_ms - self.started_ms >= SIMULTANEOUS_MS
