"""Caller rate limits, fair sharing and queue estimates for admission. No I/O; times are passed in.

An entry sees only a part of a caller's requests, so it cannot enforce the caller's global rate on
its own. It counts the requests that each caller offered and those that it admitted. The caller's
coordinating agent adds up these counts from all entries and replies with the fraction to admit (see
``rate_coordinator``). The entry applies this fraction and, in addition, a local token bucket with
the caller's whole limit, which bounds a burst at a single entry without waiting for a reply.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.link.messages import CallerShare, CallerUsage, Load

SHARE_EXPIRY_MS = 5_000.0  # a coordinator's reply applies this long
CALLER_IDLE_EXPIRY_MS = 60_000.0
FAIRNESS_INTERVAL_MS = 1_000.0
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 10_000.0


class TokenBucket:
    """A token bucket that admits ``rate_per_s`` on average and up to ``burst`` at once.

    :param burst: capacity of the bucket, which is full at first.
    :param now_ms: monotonic time, as in all methods.
    """

    __slots__ = ("_updated_ms", "tokens")

    def __init__(self, burst: float, now_ms: float) -> None:
        self.tokens = burst
        self._updated_ms = now_ms

    def refill(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Add the tokens accrued since the last call; the limits may differ from call to call."""
        accrued = (now_ms - self._updated_ms) / MS_PER_S * rate_per_s
        self.tokens = min(burst, self.tokens + max(0.0, accrued))
        self._updated_ms = now_ms

    def try_take(self, rate_per_s: float, burst: float, now_ms: float) -> bool:
        """Refill the bucket and take one token; return whether there was one."""
        self.refill(rate_per_s, burst, now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RatioGate:
    """Admits a fraction ``ratio`` of requests, evenly spaced and without random numbers.

    Each request adds ``ratio`` to a credit; a request is admitted when the credit reaches 1.

    :param phase: initial credit, 0 to 1. It differs between entries, so that the requests admitted
        by all entries together are evenly spaced as well.
    """

    __slots__ = ("_credit", "ratio")

    def __init__(self, phase: float) -> None:
        self._credit = phase
        self.ratio = 1.0

    def admit(self) -> bool:
        """Count a request and return whether it is admitted."""
        if self.ratio >= 1:
            return True
        self._credit += self.ratio
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


class CallerLimit(Struct, frozen=True):
    """The limits of one caller, from the settings.

    :param requests_per_s: rate over all entries.
    :param burst_requests: requests admitted at once.
    :param weight: weight of the caller in the fair shares under overload.
    """

    requests_per_s: float
    burst_requests: int
    weight: float = 1.0


@dataclass(slots=True)
class _CallerState:
    """Counters and gates of one caller.

    :param caller_gate: applies the fraction that the caller's coordinator replied.
    :param fair_gate: applies the caller's fair share in an overload.
    :param share_received_ms: monotonic time of the coordinator's last reply.
    :param offered: requests since the last usage report.
    :param admitted: admitted ones among them.
    :param offered_rate: requests per second in the last fairness interval.
    :param window_offered: requests in the current fairness interval.
    """

    bucket: TokenBucket
    caller_gate: RatioGate
    fair_gate: RatioGate
    last_request_ms: float
    share_received_ms: float = float("-inf")
    offered: int = 0
    admitted: int = 0
    offered_rate: float = 0.0
    window_offered: int = 0
    weight: float = 1.0


class AdmissionDecision(Struct, frozen=True):
    """Whether a request is admitted.

    :param is_overload: whether the request was refused because the targets are overloaded, not
        because of the caller's own limit.
    :param retry_after_ms: when to retry a refused request.
    """

    is_admitted: bool
    is_overload: bool = False
    retry_after_ms: int = 0


class CallerLimits:
    """Applies caller limits and fair shares at one entry; not thread-safe.

    Times are monotonic.

    :param phase: initial credit of the gates, 0 to 1; see :class:`RatioGate`.
    """

    def __init__(self, phase: float) -> None:
        self._phase = phase
        self._callers: dict[str, _CallerState] = {}
        self._window_started_ms = 0.0
        self._capacity_per_s = 0.0

    def admit(self, caller: str, limit: CallerLimit, now_ms: float) -> AdmissionDecision:
        """Count a request of a caller and decide whether to admit it."""
        state = self._state_of(caller, limit, now_ms)
        state.offered += 1
        state.window_offered += 1
        if now_ms - state.share_received_ms > SHARE_EXPIRY_MS:
            # The coordinator is lost. Until another one replies, only the local bucket limits.
            state.caller_gate.ratio = 1.0
        if not state.fair_gate.admit():
            return AdmissionDecision(False, True, _retry_after_ms(state.fair_gate.ratio, limit))
        if not state.caller_gate.admit():
            return AdmissionDecision(False, False, _retry_after_ms(state.caller_gate.ratio, limit))
        if not state.bucket.try_take(limit.requests_per_s, limit.burst_requests, now_ms):
            missing_ms = (1 - state.bucket.tokens) / limit.requests_per_s * MS_PER_S
            return AdmissionDecision(False, False, _clamp_retry_after_ms(missing_ms))
        state.admitted += 1
        return AdmissionDecision(True)

    def take_usages(self, now_ms: float) -> list[CallerUsage]:
        """Return the usage since the last call and reset it.

        Callers without requests for :data:`CALLER_IDLE_EXPIRY_MS` are removed.
        """
        usages = []
        for caller, state in list(self._callers.items()):
            if state.offered:
                usages.append(CallerUsage(caller, state.offered, 0, state.admitted))
                state.offered = 0
                state.admitted = 0
            elif now_ms - state.last_request_ms > CALLER_IDLE_EXPIRY_MS:
                del self._callers[caller]
        return usages

    def apply_shares(self, shares: tuple[CallerShare, ...], now_ms: float) -> None:
        """Apply a coordinator's reply: the fraction of each caller's requests to admit."""
        for share in shares:
            state = self._callers.get(share.caller)
            if state is not None:
                state.caller_gate.ratio = min(1.0, max(0.0, share.admit_ratio))
                state.share_received_ms = now_ms

    def update_fair_shares(self, load: float, now_ms: float) -> None:
        """Recompute the fair shares; to be called about every :data:`FAIRNESS_INTERVAL_MS`.

        The capacity is not known. At the first call in an overload it is estimated as the offered
        rate divided by the load; each further call divides the last estimate by the load.

        :param load: mean online utilization of the targets; above 1 is overload.
        """
        elapsed_s = max(1.0, now_ms - self._window_started_ms) / MS_PER_S
        self._window_started_ms = now_ms
        for state in self._callers.values():
            state.offered_rate = state.window_offered / elapsed_s
            state.window_offered = 0
        demands = {c: s.offered_rate for c, s in self._callers.items() if s.offered_rate > 0}
        if load <= 1:
            self._capacity_per_s = 0.0
            for state in self._callers.values():
                state.fair_gate.ratio = 1.0
            return
        previous_capacity = self._capacity_per_s or sum(demands.values())
        self._capacity_per_s = previous_capacity / load
        weights = {caller: self._callers[caller].weight for caller in demands}
        shares = fair_shares(demands, weights, self._capacity_per_s)
        for caller, demand in demands.items():
            self._callers[caller].fair_gate.ratio = shares[caller] / demand

    def _state_of(self, caller: str, limit: CallerLimit, now_ms: float) -> _CallerState:
        """Return a caller's state, updated with a new request; create it if there is none."""
        state = self._callers.get(caller)
        if state is None:
            bucket = TokenBucket(limit.burst_requests, now_ms)
            gates = RatioGate(self._phase), RatioGate(self._phase)
            state = _CallerState(bucket, *gates, now_ms)
            self._callers[caller] = state
        state.last_request_ms = now_ms
        state.weight = limit.weight
        return state


def fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of ``capacity``.

    Capacity is divided by weight; what a caller does not need goes to the others.

    :param demands: demand of each caller, in the unit of ``capacity``.
    :param weights: weight of each caller in ``demands``.
    """
    shares: dict[str, float] = {}
    unserved = dict(demands)
    while unserved:
        total_weight = sum(weights[caller] for caller in unserved)
        share_per_weight = max(0.0, capacity) / total_weight
        satisfied = [
            caller for caller in unserved if unserved[caller] <= share_per_weight * weights[caller]
        ]
        if not satisfied:
            shares.update({caller: share_per_weight * weights[caller] for caller in unserved})
            return shares
        for caller in satisfied:
            shares[caller] = unserved.pop(caller)
            capacity -= shares[caller]
    return shares


class ServiceTimes:
    """Average request duration of each model, to estimate the wait in a queue.

    The average is exponential; a new duration has a weight of 0.1.
    """

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, model: str, duration_ms: float) -> None:
        """Add the duration of a finished request to the average."""
        mean = self._means.get(model, duration_ms)
        self._means[model] = mean + 0.1 * (duration_ms - mean)

    def estimate_wait_ms(self, model: str, load: Load) -> float:
        """Return the estimated time in the queue of a target with this load; 0 if none waits."""
        if not load.online_waiting or not load.max_running:
            return 0.0
        return self._means.get(model, 0.0) * load.online_waiting / load.max_running


def _retry_after_ms(ratio: float, limit: CallerLimit) -> int:
    """Return the mean time between admitted requests if a fraction ``ratio`` is admitted."""
    return _clamp_retry_after_ms(MS_PER_S / limit.requests_per_s / max(ratio, 0.001))


def _clamp_retry_after_ms(duration_ms: float) -> int:
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, duration_ms)))
