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

SHARE_EXPIRY_MS = 5_000.0
CALLER_IDLE_EXPIRY_MS = 60_000.0
FAIRNESS_INTERVAL_MS = 1_000.0
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 10_000.0


class TokenBucket:
    """Admits ``rate_per_s`` on average and up to ``burst`` at once."""

    __slots__ = ("_updated_ms", "tokens")

    def __init__(self, burst: float, now_ms: float) -> None:
        self.tokens = burst
        self._updated_ms = now_ms

    def refill(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Add what has accrued; limits may have changed since the last call."""
        accrued = (now_ms - self._updated_ms) / MS_PER_S * rate_per_s
        self.tokens = min(burst, self.tokens + max(0.0, accrued))
        self._updated_ms = now_ms

    def try_take(self, rate_per_s: float, burst: float, now_ms: float) -> bool:
        """Take one token if there is one."""
        self.refill(rate_per_s, burst, now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RatioGate:
    """Admits a share of requests evenly, without random numbers.

    :param phase: first credit, 0 to 1; differs between entries, so that their sum is even too.
    """

    __slots__ = ("_credit", "ratio")

    def __init__(self, phase: float) -> None:
        self._credit = phase
        self.ratio = 1.0

    def admit(self) -> bool:
        """Return whether the next request is within the share."""
        if self.ratio >= 1:
            return True
        self._credit += self.ratio
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


class CallerLimit(Struct, frozen=True):
    """Limits of one caller, from the settings."""

    requests_per_s: float
    burst_requests: int
    weight: float = 1.0


@dataclass(slots=True)
class _CallerState:
    bucket: TokenBucket
    gate: RatioGate
    fair_gate: RatioGate
    seen_ms: float
    shared_ms: float = float("-inf")
    offered: int = 0
    admitted: int = 0
    offered_rate: float = 0.0
    window_offered: int = 0
    weight: float = 1.0


class AdmissionDecision(Struct, frozen=True):
    """Whether a request is admitted.

    :param is_overload: refused for the sake of other callers, not for the caller's own limit.
    """

    is_admitted: bool
    is_overload: bool = False
    retry_after_ms: int = 0


class CallerLimits:
    """The limits as one entry applies them; not safe to use from several threads.

    :param phase: see :class:`RatioGate`.
    """

    def __init__(self, phase: float) -> None:
        self._phase = phase
        self._callers: dict[str, _CallerState] = {}
        self._window_started_ms = 0.0
        self._capacity_per_s = 0.0

    def admit(self, caller: str, limit: CallerLimit, now_ms: float) -> AdmissionDecision:
        """Judge a request and count it."""
        state = self._state(caller, limit, now_ms)
        state.offered += 1
        state.window_offered += 1
        if now_ms - state.shared_ms > SHARE_EXPIRY_MS:
            # The home agent is lost: until another one answers, only the own bucket limits.
            state.gate.ratio = 1.0
        if not state.fair_gate.admit():
            return AdmissionDecision(False, True, _retry_after_ms(state.fair_gate.ratio, limit))
        if not state.gate.admit():
            return AdmissionDecision(False, False, _retry_after_ms(state.gate.ratio, limit))
        if not state.bucket.try_take(limit.requests_per_s, limit.burst_requests, now_ms):
            missing_ms = (1 - state.bucket.tokens) / limit.requests_per_s * MS_PER_S
            return AdmissionDecision(False, False, _bounded(missing_ms))
        state.admitted += 1
        return AdmissionDecision(True)

    def take_usages(self, now_ms: float) -> list[CallerUsage]:
        """Return what was counted since the last call, and forget callers not seen for long."""
        usages = []
        for caller, state in list(self._callers.items()):
            if state.offered:
                usages.append(CallerUsage(caller, state.offered, 0, state.admitted))
                state.offered = 0
                state.admitted = 0
            elif now_ms - state.seen_ms > CALLER_IDLE_EXPIRY_MS:
                del self._callers[caller]
        return usages

    def apply_shares(self, shares: tuple[CallerShare, ...], now_ms: float) -> None:
        """Take over the home agent's answer."""
        for share in shares:
            state = self._callers.get(share.caller)
            if state is not None:
                state.gate.ratio = min(1.0, max(0.0, share.admit_ratio))
                state.shared_ms = now_ms

    def update_fair_shares(self, load: float, now_ms: float) -> None:
        """Compute the fair shares anew; call about every :data:`FAIRNESS_INTERVAL_MS`.

        :param load: online load of the targets as a share of their room; above 1 is overload.
        """
        passed_s = max(1.0, now_ms - self._window_started_ms) / MS_PER_S
        self._window_started_ms = now_ms
        for state in self._callers.values():
            state.offered_rate = state.window_offered / passed_s
            state.window_offered = 0
        demands = {c: s.offered_rate for c, s in self._callers.items() if s.offered_rate > 0}
        if load <= 1:
            self._capacity_per_s = 0.0
            for state in self._callers.values():
                state.fair_gate.ratio = 1.0
            return
        base = self._capacity_per_s or sum(demands.values())
        self._capacity_per_s = base / load
        weights = {caller: self._callers[caller].weight for caller in demands}
        shares = fair_shares(demands, weights, self._capacity_per_s)
        for caller, demand in demands.items():
            self._callers[caller].fair_gate.ratio = shares[caller] / demand

    def _state(self, caller: str, limit: CallerLimit, now_ms: float) -> _CallerState:
        state = self._callers.get(caller)
        if state is None:
            bucket = TokenBucket(limit.burst_requests, now_ms)
            gates = RatioGate(self._phase), RatioGate(self._phase)
            state = _CallerState(bucket, *gates, now_ms)
            self._callers[caller] = state
        state.seen_ms = now_ms
        state.weight = limit.weight
        return state


def fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide ``capacity`` by weight; what a caller does not need goes to the others."""
    shares: dict[str, float] = {}
    left = dict(demands)
    while left:
        total_weight = sum(weights[caller] for caller in left)
        level = max(0.0, capacity) / total_weight
        modest = [caller for caller in left if left[caller] <= level * weights[caller]]
        if not modest:
            shares.update({caller: level * weights[caller] for caller in left})
            return shares
        for caller in modest:
            shares[caller] = left.pop(caller)
            capacity -= shares[caller]
    return shares


class ServiceTimes:
    """Recent mean time that a request of each model takes, for the estimate of a queue."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, model: str, duration_ms: float) -> None:
        """Count a finished request."""
        mean = self._means.get(model, duration_ms)
        self._means[model] = mean + 0.1 * (duration_ms - mean)

    def estimate_wait_ms(self, model: str, load: Load) -> float:
        """Return how long a request would wait before it starts on a target with this load."""
        if not load.online_waiting or not load.max_running:
            return 0.0
        return self._means.get(model, 0.0) * load.online_waiting / load.max_running


def _retry_after_ms(ratio: float, limit: CallerLimit) -> int:
    return _bounded(MS_PER_S / limit.requests_per_s / max(ratio, 0.001))


def _bounded(duration_ms: float) -> int:
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, duration_ms)))
