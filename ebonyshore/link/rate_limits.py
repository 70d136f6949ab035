"""How many requests may be sent to targets that name a rate limit for all processes. No I/O.

Each process reports its own requests of the last seconds with its load reports, and the totals tell
it those of all others. A process sends as long as the sum is below what the limit allows. What
others have sent since their last report is missing in the sum. Each process therefore lets a
request through with such a probability that those which arrive before the next reports are, all
processes together, no more than may still be sent.

A process that does not know what the others send uses an equal share of the limit, without saving
any of it up. The others count that share for each process of which they hear nothing.
"""

from collections import deque
from collections.abc import Callable, Iterable
from math import ceil

from msgspec import structs

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.link.load_table import Incarnation, LimitReport
from ebonyshore.link.shared_rates import EventRate, is_let_through

LIMIT_WINDOW_MS = 4_000.0
SPREAD_MS = 1_000.0
OTHERS_TIMEOUT_MS = 500.0  # two heartbeats; older counts of the others are not used
RESERVED_FOR_ONLINE = 0.75  # part of a limit that items leave to online requests
NEWS_DELAY_MS = 250.0  # until the requests of one process are known to all others
LIFTED_NEWS_MS = 5_000.0  # time for which others are told that a target names no limit any more
MAX_LIMITED_TARGETS = 4_096


class LimitedTarget:
    """What this process knows of a target that names a limit, or did until a short time ago.

    :ivar rate_per_s: the limit; ``None`` if the target names none any more.
    :ivar observed_ms: monotonic time of the response that said so, at any process.
    :ivar sent_ms: times of this process's requests in the last :data:`LIMIT_WINDOW_MS`.
    :ivar last_sent_ms: time of its last request since the limit is known, or since that time.
    :ivar wanted: requests that could have been sent there, sent or not.
    :ivar others: what all other processes send, by the source of the news.
    """

    __slots__ = (
        "last_sent_ms",
        "observed_ms",
        "others",
        "rate_per_s",
        "sent_ms",
        "wanted",
    )

    def __init__(self, rate_per_s: float | None, observed_ms: float, now_ms: float) -> None:
        self.rate_per_s = rate_per_s
        self.observed_ms = observed_ms
        self.sent_ms: deque[float] = deque()
        self.last_sent_ms = now_ms
        self.others: dict[str, LimitReport] = {}
        self.wanted = EventRate()

    def own_requests(self, now_ms: float) -> int:
        """Return the number of this process's requests in the last :data:`LIMIT_WINDOW_MS`."""
        while self.sent_ms and now_ms - self.sent_ms[0] >= LIMIT_WINDOW_MS:
            self.sent_ms.popleft()
        return len(self.sent_ms)


class RateLimits:
    """The limits that targets name, and the requests that all processes send there.

    All times are monotonic.

    :param process_count: returns the number of processes that may send, this one included.
    :param jitter: random number between 0 and 1, so that processes which know nothing of each other
        do not send at the same time.
    :ivar on_change: called with the incarnation, its limit and the source of the news when a limit
        is new, has changed or was lifted.
    """

    __slots__ = ("_jitter", "_others_ms", "_process_count", "_targets", "on_change")

    def __init__(self, process_count: Callable[[], int], jitter: float) -> None:
        self._process_count = process_count
        self._jitter = jitter
        self._targets: dict[Incarnation, LimitedTarget] = {}
        self._others_ms: dict[str, float] = {}  # time of the last counts, by their source
        self.on_change: Callable[[Incarnation, float | None, str], None] = lambda *_: None

    def observe(
        self, incarnation: Incarnation, rate_per_s: float | None, now_ms: float, source: str
    ) -> None:
        """Record what a target has said in a response.

        :param rate_per_s: the limit; ``None`` if it has named none.
        :param now_ms: time of the response.
        """
        known = self._targets.get(incarnation)
        if known is None:
            if rate_per_s is None:
                return
            known = self._targets[incarnation] = LimitedTarget(None, now_ms, now_ms)
            if len(self._targets) > MAX_LIMITED_TARGETS:
                del self._targets[next(iter(self._targets))]
        if now_ms < known.observed_ms:
            return
        known.observed_ms = now_ms
        if rate_per_s != known.rate_per_s:
            known.rate_per_s = rate_per_s
            self.on_change(incarnation, rate_per_s, source)

    def record_sent(self, incarnation: Incarnation, now_ms: float) -> None:
        """Count a request that this process sends."""
        known = self._targets.get(incarnation)
        if known is not None and known.rate_per_s is not None:
            known.sent_ms.append(now_ms)
            known.last_sent_ms = now_ms

    def allowance(self, incarnation: Incarnation, now_ms: float) -> int | None:
        """Return how many requests this process may send now; ``None`` if there is no limit.

        They are no more than the limit allows in :data:`SPREAD_MS`, so that they are spread over
        the time.
        """
        known = self._targets.get(incarnation)
        if known is None or known.rate_per_s is None:
            return None
        if not self._knows_others(now_ms):
            return int(now_ms - known.last_sent_ms >= self._share_interval_ms(known.rate_per_s))
        left = max(0, int(self._left(known, now_ms)))
        return min(left, ceil(known.rate_per_s * SPREAD_MS / MS_PER_S) or 1)

    def admit(self, incarnation: Incarnation, now_ms: float, draw: float) -> int | None:
        """Count an online request, and return how many may be sent now, as :meth:`allowance`.

        :param draw: random number between 0 and 1; keeps this request back if those of other
            processes may use up the limit before they are known.
        """
        allowed = self.allowance(incarnation, now_ms)
        if allowed is None:
            return None
        known = self._targets[incarnation]
        known.wanted.record(now_ms)
        if not allowed or not self._knows_others(now_ms):
            return allowed
        wanted_per_s = max((r.wanted_per_s for r in self._others(known, now_ms)), default=0.0)
        left = self._left(known, now_ms)
        return allowed if is_let_through(left, wanted_per_s, NEWS_DELAY_MS, draw) else 0

    def is_scarce(self, incarnation: Incarnation, now_ms: float) -> bool:
        """Return whether most of what a target's limit allows has been used."""
        known = self._targets.get(incarnation)
        if known is None or known.rate_per_s is None:
            return False
        return self._left(known, now_ms) < _budget(known.rate_per_s) / 2.0

    def batch_allowance(self, incarnation: Incarnation, now_ms: float) -> int | None:
        """Return how many items may start now; most of the limit is left to online requests."""
        allowed = self.allowance(incarnation, now_ms)
        if not allowed or not self._knows_others(now_ms):
            return allowed
        known = self._targets[incarnation]
        reserved = (_budget(known.rate_per_s) - 1.0) * RESERVED_FOR_ONLINE
        return max(0, min(allowed, int(self._left(known, now_ms) - reserved)))

    def update_others(self, source: str, reports: Iterable[LimitReport], now_ms: float) -> None:
        """Replace what a source tells of all other processes.

        :param reports: the newest limit of each target, and the requests of all other processes.
        """
        self._others_ms[source] = now_ms
        for known in self._targets.values():
            known.others.pop(source, None)
        for report in reports:
            observed_ms = now_ms - report.age_ms
            self.observe(report.incarnation, report.rate_per_s, observed_ms, source)
            known = self._targets.get(report.incarnation)
            if known is not None:
                known.others[source] = report

    def own_reports(self, now_ms: float) -> tuple[LimitReport, ...]:
        """Return what this process knows of the limits, with its own requests."""
        for incarnation, known in list(self._targets.items()):
            is_lifted = known.rate_per_s is None
            if is_lifted and now_ms - known.observed_ms > LIFTED_NEWS_MS:
                del self._targets[incarnation]
        return tuple(
            LimitReport(
                incarnation,
                known.rate_per_s,
                now_ms - known.observed_ms,
                float(known.own_requests(now_ms)),
                known.wanted.per_s(now_ms),
            )
            for incarnation, known in self._targets.items()
        )

    def _knows_others(self, now_ms: float) -> bool:
        if self._process_count() <= 1:
            return True
        return any(now_ms - at_ms < OTHERS_TIMEOUT_MS for at_ms in self._others_ms.values())

    def _left(self, known: LimitedTarget, now_ms: float) -> float:
        """Return how many requests all processes may still send; 1 at least if there was none."""
        requests = known.own_requests(now_ms) + self._other_requests(known, now_ms)
        left = _budget(known.rate_per_s) - requests
        return max(left, 1.0) if requests < 1.0 else left

    def _other_requests(self, known: LimitedTarget, now_ms: float) -> float:
        return max((report.requests for report in self._others(known, now_ms)), default=0.0)

    def _others(self, known: LimitedTarget, now_ms: float) -> list[LimitReport]:
        """Return the reports of the sources that still tell of the others."""
        return [
            report
            for source, report in known.others.items()
            if now_ms - self._others_ms[source] < OTHERS_TIMEOUT_MS
        ]

    def _share_interval_ms(self, rate_per_s: float) -> float:
        """Return the time between two requests that use up this process's share of a limit."""
        share_per_s = max(rate_per_s, MS_PER_S / LIMIT_WINDOW_MS) / self._process_count()
        return (1.0 + self._jitter) * MS_PER_S / share_per_s


def sum_limits(
    reports: Iterable[LimitReport], unheard: int, processes: int
) -> dict[Incarnation, LimitReport]:
    """Return the newest limit of each target, and the requests of all processes there.

    :param reports: what several processes have reported.
    :param unheard: number of further processes; each is taken to send its share of the limit.
    :param processes: number of all processes that may send.
    """
    sums: dict[Incarnation, LimitReport] = {}
    for report in reports:
        known = sums.get(report.incarnation)
        if known is not None:
            newest = report if report.age_ms < known.age_ms else known
            report = structs.replace(
                newest,
                requests=report.requests + known.requests,
                wanted_per_s=report.wanted_per_s + known.wanted_per_s,
            )
        sums[report.incarnation] = report
    return {key: add_unheard(report, unheard / processes) for key, report in sums.items()}


def add_unheard(report: LimitReport, share: float) -> LimitReport:
    """Include what processes may send that are not heard of.

    :param share: their part of all processes.
    """
    if report.rate_per_s is None:
        return report
    return structs.replace(report, requests=report.requests + share * _budget(report.rate_per_s))


def _budget(rate_per_s: float) -> float:
    """Return the requests that all processes may send in :data:`LIMIT_WINDOW_MS`, 1 at least."""
    return max(1.0, rate_per_s * LIMIT_WINDOW_MS / MS_PER_S)
