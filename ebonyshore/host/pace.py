"""Limits the requests in flight at targets that return to service. No I/O.

The load pattern is a target that has just started, or recovered, beside others that are busy. All
of its slots are free, so many entries would choose it at once, while it may still be slow, or fail
again. The limit starts at one request over all processes. It rises with each answer that begins as
promptly as those of other targets, so that it doubles in the time that an answer takes to begin,
and falls with late, refused and lost ones. There is no limit any more once it reaches the capacity.

A limit is a preference among targets. When there is too little room elsewhere, it is ignored for
targets that have not answered late yet, and for all before a request is refused.
"""

from collections.abc import Callable, Iterable
from enum import Enum, auto

from msgspec import Struct

from ebonyshore.host.target import Target
from ebonyshore.link.load_table import Incarnation
from ebonyshore.link.pace_messages import PaceCounts, PaceEvidence, PaceLimit

START_LIMIT = 1.0  # requests in flight
# Requests added to the limit by an answer that begins in time. The request that is answered is
# still in flight then, so one would only make up for it; two let the number of starts double.
RISE_PER_ANSWER = 2.0
FALL_FACTOR = 0.5  # by which a late answer multiplies the limit
# Pauses after a trial request that was answered late or not at all. They are short, so that a
# target that has recovered is soon in full use.
MIN_TRIAL_PAUSE_MS = 100.0
MAX_TRIAL_PAUSE_MS = 500.0
OTHERS_TIMEOUT_MS = 500.0  # two heartbeats; without news for longer a process uses only its share
# Limits that were computed before the runner knew of a fall do not raise it again.
FALL_NEWS_MS = 100.0
# Two repetitions of a limit; without one for longer a process follows what it sees itself.
ADOPTED_TIMEOUT_MS = 2_500.0
DELAY_SMOOTHING = 0.1  # weight of each new value in the moving averages
MAX_DEVIATIONS = 4.0  # from the mean delay, of an answer that is in time
# An answer in this part of the target latency is in time however fast other targets are; the rest
# is left to the delay that more requests at the target bring.
IN_TIME_SHARE = 0.5
MAX_KINDS = 1_024
MAX_TARGETS = 4_096


class PaceChange(Enum):
    """What has happened to the limit of a target."""

    RETURNED = auto()  # it has a limit now
    FELL = auto()
    STEADY = auto()  # it has no limit any more


class UsualDelays:
    """The delays until answers of steady targets begin, by kind of request."""

    __slots__ = ("_delays",)

    def __init__(self) -> None:
        self._delays: dict[str, tuple[float, float]] = {}  # mean and mean deviation

    def record(self, kind: str, delay_ms: float) -> None:
        """Include the delay of an answer by a target that has no limit."""
        mean_ms, deviation_ms = self._delays.get(kind, (delay_ms, delay_ms / 2.0))
        deviation_ms += DELAY_SMOOTHING * (abs(delay_ms - mean_ms) - deviation_ms)
        mean_ms += DELAY_SMOOTHING * (delay_ms - mean_ms)
        self._delays[kind] = (mean_ms, deviation_ms)
        if len(self._delays) > MAX_KINDS:
            del self._delays[next(iter(self._delays))]

    def is_in_time(self, kind: str, delay_ms: float, target_latency_ms: float | None) -> bool:
        """Return whether an answer began in time; it did if nothing is known to compare it with.

        :param target_latency_ms: time within which the answer should begin; ``None`` if nobody
            waits for it.
        """
        known = self._delays.get(kind)
        if known is None and target_latency_ms is None:
            return True
        limit_ms = (target_latency_ms or 0.0) * IN_TIME_SHARE
        if known is not None:
            limit_ms = max(limit_ms, known[0] + MAX_DEVIATIONS * known[1])
        return delay_ms <= limit_ms


class PacedTarget:
    """The limit of one incarnation of a target, and the evidence that it follows from.

    :param capacity: number of requests that the target runs concurrently.
    :ivar limit: highest number of requests in flight; ``None`` without a limit.
    :ivar own: what this process has seen.
    :ivar others: what other processes have reported, by their instance ids.
    :ivar fallen_ms: time of the last fall; answers to earlier requests are no evidence.
    :ivar has_fallen: whether the limit has fallen since the target returned.
    :ivar resume_ms: end of the pause after a trial that did not go well.
    :ivar adopted_ms: time at which a runner last told the limit.
    """

    __slots__ = (
        "_pause_ms",
        "adopted_ms",
        "capacity",
        "fallen_ms",
        "has_fallen",
        "limit",
        "others",
        "own",
        "resume_ms",
    )

    def __init__(self, capacity: int, limit: float | None, now_ms: float) -> None:
        self.capacity = capacity
        self.limit = limit
        self.own = PaceCounts()
        self.others: dict[str, PaceCounts] = {}
        self.fallen_ms = now_ms
        self.has_fallen = False
        self.resume_ms = float("-inf")
        self.adopted_ms = float("-inf")
        self._pause_ms = MIN_TRIAL_PAUSE_MS

    def apply(self, counts: PaceCounts, now_ms: float) -> None:
        """Let the limit fall and rise by new evidence."""
        for _ in range(counts.late):
            self._fall((self.limit or float(self.capacity)) * FALL_FACTOR, now_ms)
        if counts.failed:
            self._fall(START_LIMIT, now_ms)
        if counts.on_time and self.limit is not None:
            self.limit += counts.on_time * RISE_PER_ANSWER
            self._pause_ms = MIN_TRIAL_PAUSE_MS
            if self.limit >= self.capacity:
                self.limit = None
                self.has_fallen = False

    def adopt(self, news: PaceLimit, now_ms: float) -> None:
        """Use the limit that follows from what all processes have seen."""
        self.adopted_ms = now_ms
        is_fall = news.limit is not None and (self.limit is None or news.limit < self.limit)
        if is_fall:
            self.fallen_ms = now_ms
        elif self.has_fallen and now_ms - self.fallen_ms < FALL_NEWS_MS:
            return
        self.limit = news.limit
        self.has_fallen = news.has_fallen
        self.resume_ms = now_ms + news.pause_ms

    def allowed_in_flight(self, now_ms: float) -> float:
        """Return the limit, or 0 during a pause; only for a target that has a limit."""
        return 0.0 if now_ms < self.resume_ms else self.limit

    def _fall(self, limit: float, now_ms: float) -> None:
        self.fallen_ms = now_ms
        self.has_fallen = True
        self.limit = max(START_LIMIT, limit)
        if limit <= START_LIMIT:
            self.resume_ms = now_ms + self._pause_ms
            self._pause_ms = min(MAX_TRIAL_PAUSE_MS, 2.0 * self._pause_ms)


class PaceAllowance(Struct, frozen=True):
    """What the limit of a target allows.

    :param requests: number of requests that the target may be sent now.
    :param has_fallen: whether it has answered late or not at all since it returned.
    """

    requests: int
    has_fallen: bool


class PaceEntry(Struct, frozen=True):
    """The limit of a target and its evidence, for the state dump."""

    limit: float | None
    own: PaceCounts
    others: PaceCounts


class TargetPace:
    """The limits of all targets that return to service.

    All times are monotonic. Runners apply what all processes report, and the entries use the limits
    of the runner that sends them the load totals. An entry that is not told a limit follows what it
    sees itself.

    :param process_count: returns the number of processes that may send, this one included.
    :ivar delays: the delays of answers to compare with.
    :ivar on_change: called with the incarnation, what has happened and the limit.
    :ivar on_news: called when there is something to tell the other processes.
    """

    __slots__ = ("_heard_ms", "_process_count", "_targets", "delays", "on_change", "on_news")

    def __init__(self, process_count: Callable[[], int]) -> None:
        self._process_count = process_count
        self._targets: dict[Incarnation, PacedTarget] = {}
        self._heard_ms = float("-inf")
        self.delays = UsualDelays()
        self.on_change: Callable[[Incarnation, PaceChange, float | None], None] = lambda *_: None
        self.on_news: Callable[[], None] = lambda: None

    @property
    def paced_count(self) -> int:
        """Number of targets that have a limit."""
        return sum(paced.limit is not None for paced in self._targets.values())

    def limit(self, incarnation: Incarnation) -> float | None:
        """Return the limit of a target; ``None`` if it has none."""
        paced = self._targets.get(incarnation)
        return None if paced is None else paced.limit

    def start(self, target: Target, now_ms: float) -> None:
        """Limit a target that the list shows for the first time."""
        self._find_or_add(target.incarnation, target.entry.capacity, START_LIMIT, now_ms)

    def forget(self, target: Target) -> None:
        """Drop what is known of a target that has gone."""
        self._targets.pop(target.incarnation, None)

    def record_answer(
        self,
        target: Target,
        kind: str,
        sent_ms: float,
        now_ms: float,
        target_latency_ms: float | None = None,
    ) -> None:
        """Record that the answer to a request begins.

        :param kind: kind of the request; delays are compared within one kind.
        :param sent_ms: time at which the request was sent.
        :param target_latency_ms: see :meth:`UsualDelays.is_in_time`.
        """
        delay_ms = now_ms - sent_ms
        paced = self._targets.get(target.incarnation)
        if paced is None or paced.limit is None:
            self.delays.record(kind, delay_ms)
            return
        is_in_time = self.delays.is_in_time(kind, delay_ms, target_latency_ms)
        counts = PaceCounts(on_time=1) if is_in_time else PaceCounts(late=1)
        self._record(target, counts, sent_ms, now_ms)

    def record_refusal(self, target: Target, sent_ms: float, now_ms: float) -> None:
        """Record that a target refused a request, or did not complete it.

        This lowers the limit of a target that has one, and sets none for other targets.
        """
        if self.limit(target.incarnation) is not None:
            self._record(target, PaceCounts(late=1), sent_ms, now_ms)

    def record_doubt(self, target: Target, sent_ms: float, now_ms: float) -> None:
        """Record that a target accepts no connection, or fails more requests than others do.

        It may have been sent too many, so a target without a limit gets half of its capacity as its
        limit.
        """
        self._record(target, PaceCounts(late=1), sent_ms, now_ms)

    def record_failure(self, target: Target, sent_ms: float, now_ms: float) -> None:
        """Record that a target has crashed or does not answer."""
        self._record(target, PaceCounts(failed=1), sent_ms, now_ms)

    def record_news(self, now_ms: float) -> None:
        """Record that the requests in flight of the other processes are known."""
        self._heard_ms = now_ms

    def allowance(
        self, incarnation: Incarnation, in_flight: int, now_ms: float, draw: Callable[[], float]
    ) -> PaceAllowance | None:
        """Return what the limit of a target still allows; ``None`` without a limit.

        A process without news of the others uses an equal share of the limit.

        :param in_flight: requests there, as far as this process knows.
        :param draw: returns a random number between 0 and 1; decides about a share that is not a
            whole number.
        """
        paced = self._targets.get(incarnation)
        if paced is None or paced.limit is None:
            return None
        allowed = paced.allowed_in_flight(now_ms)
        if not self._knows_others(now_ms):
            allowed = allowed / self._process_count() + draw()
        return PaceAllowance(max(0, int(allowed) - in_flight), paced.has_fallen)

    def merge_evidence(
        self, sender: str, evidence: PaceEvidence, capacity: int, now_ms: float
    ) -> None:
        """Apply what another process has seen; does nothing if it is known.

        :param capacity: capacity of the target, from the list.
        """
        incarnation = evidence.incarnation
        if incarnation not in self._targets:
            paced = self._find_or_add(incarnation, capacity, evidence.limit, now_ms)
            paced.others[sender] = evidence.counts
            paced.has_fallen = evidence.counts.late + evidence.counts.failed > 0
            return
        paced = self._targets[incarnation]
        news = evidence.counts.since(paced.others.get(sender, PaceCounts()))
        paced.others[sender] = evidence.counts
        self._apply(incarnation, paced, news, now_ms)

    def adopt(self, news: PaceLimit, capacity: int, now_ms: float) -> None:
        """Use a limit that follows from what all processes have seen.

        :param capacity: capacity of the target, from the list.
        """
        incarnation = news.incarnation
        if incarnation not in self._targets and news.limit is None:
            return
        paced = self._find_or_add(incarnation, capacity, None, now_ms)
        former = paced.limit
        paced.adopt(news, now_ms)
        self._tell(incarnation, former, paced.limit)

    def evidence(self, now_ms: float) -> tuple[PaceEvidence, ...]:
        """Return what the runners should know of the targets that had a limit.

        That is what this process has seen, and limits that no runner has told it.
        """
        return tuple(
            PaceEvidence(incarnation, paced.limit, paced.own)
            for incarnation, paced in self._targets.items()
            if paced.own != PaceCounts() or not self._follows_runner(paced, now_ms)
        )

    def limits(self, now_ms: float) -> tuple[PaceLimit, ...]:
        """Return the limits of all targets that had one since they are known."""
        return tuple(
            PaceLimit(
                incarnation, paced.limit, max(0.0, paced.resume_ms - now_ms), paced.has_fallen
            )
            for incarnation, paced in self._targets.items()
        )

    def dump(self) -> dict[str, PaceEntry]:
        """Return limit and evidence of the targets that have a limit, by target id."""
        return {
            incarnation.target_id: PaceEntry(
                paced.limit, paced.own, _sum_counts(paced.others.values())
            )
            for incarnation, paced in self._targets.items()
            if paced.limit is not None
        }

    def _find_or_add(
        self, incarnation: Incarnation, capacity: int, limit: float | None, now_ms: float
    ) -> PacedTarget:
        paced = self._targets.get(incarnation)
        if paced is None:
            paced = self._targets[incarnation] = PacedTarget(capacity, limit, now_ms)
            if len(self._targets) > MAX_TARGETS:
                del self._targets[next(iter(self._targets))]
            if limit is not None:
                self._tell(incarnation, None, limit)
                self.on_news()
        return paced

    def _record(self, target: Target, counts: PaceCounts, sent_ms: float, now_ms: float) -> None:
        if target.is_leaving or target.removed_ms is not None:
            return
        paced = self._find_or_add(target.incarnation, target.entry.capacity, None, now_ms)
        if paced.limit is not None and sent_ms < paced.fallen_ms:
            return
        paced.own = paced.own.plus(counts)
        if counts.on_time and self._follows_runner(paced, now_ms):
            self.on_news()  # the runner raises the limit
            return
        self._apply(target.incarnation, paced, counts, now_ms)

    def _apply(
        self, incarnation: Incarnation, paced: PacedTarget, counts: PaceCounts, now_ms: float
    ) -> None:
        former = paced.limit
        paced.apply(counts, now_ms)
        self._tell(incarnation, former, paced.limit)
        if counts != PaceCounts():
            self.on_news()

    def _tell(self, incarnation: Incarnation, former: float | None, limit: float | None) -> None:
        if former is None and limit is not None:
            self.on_change(incarnation, PaceChange.RETURNED, limit)
        elif former is not None and limit is None:
            self.on_change(incarnation, PaceChange.STEADY, None)
        elif former is not None and limit < former:
            self.on_change(incarnation, PaceChange.FELL, limit)

    def _follows_runner(self, paced: PacedTarget, now_ms: float) -> bool:
        is_told = now_ms - paced.adopted_ms < ADOPTED_TIMEOUT_MS
        return is_told and self._knows_others(now_ms)

    def _knows_others(self, now_ms: float) -> bool:
        return self._process_count() <= 1 or now_ms - self._heard_ms < OTHERS_TIMEOUT_MS


def _sum_counts(counts: Iterable[PaceCounts]) -> PaceCounts:
    total = PaceCounts()
    for count in counts:
        total = total.plus(count)
    return total
