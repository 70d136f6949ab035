"""Which target a request goes to. Pure, but for the memory of content that has completed.

Choices use one immutable snapshot of the targets. Each entry sees loads with a lag and only its own
dispatches at once, so the choice is between two candidates that differ from one conversation to
the next: many entries that see the same least loaded target do not all run to it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from threading import Lock

from msgspec import Struct

from ebonyshore.membership import Membership, TargetView

CANDIDATE_COUNT = 2
NEAR_TIE = 0.1
SLOW_STEP_RATIO = 4.0
OVERFLOW_RATIO = 1.25
OVERFLOW_FLOOR = 0.1
KNOWN_SAFE_CONTENTS = 20_000
SUSPECT_HOLD_MS = 5_000.0


class RouteRequest(Struct, frozen=True):
    """What the choice depends on.

    :param excluded: targets that the request has already failed on.
    :param is_suspect: whether the content was in flight when a target crashed.
    :param needs_engine: whether an answer is to be resumed, which only engines can.
    """

    model: str
    content_digest: str
    head_digest: str
    excluded: frozenset[str] = frozenset()
    is_suspect: bool = False
    needs_engine: bool = False


def rank(key: str, target_id: str) -> bytes:
    """Return the rendezvous hash of a target for a key; the highest ranks first."""
    return blake2b(f"{key}\n{target_id}".encode(), digest_size=8).digest()


def serving_targets(model: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the targets that take new work for ``model``."""
    return [t for t in targets if model in t.models and not t.is_leaving and t.incarnation]


def ranked(head_digest: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the targets in rank order for a conversation head."""
    return sorted(targets, key=lambda target: rank(head_digest, target.target_id), reverse=True)


def candidates(head_digest: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the target that ranks highest and the next one in another failure domain.

    If all targets are in one failure domain, the two that rank highest. Two domains keep the loss
    of one from taking both candidates of a conversation.
    """
    order = ranked(head_digest, targets)
    if len(order) <= CANDIDATE_COUNT:
        return order
    first = order[0]
    others = [target for target in order if target.failure_domain != first.failure_domain]
    return [first, others[0] if others else order[1]]


def load_of(target: TargetView) -> float:
    """Return the online load of a target as a share of its room; lower is better.

    What this entry has dispatched since the report is added, because the report lags behind it.
    """
    load = target.load
    sent_since = max(0, target.in_flight - target.load_in_flight)
    requests = load.online_running + load.online_waiting + sent_since
    return requests / max(1, load.max_running)


def mean_load(targets: Iterable[TargetView]) -> float:
    """Return the mean load of the connected targets; 0 if there is none."""
    loads = [load_of(target) for target in targets if target.is_connected]
    return sum(loads) / len(loads) if loads else 0.0


def choose_least(
    targets: list[TargetView], failure_domain: str, unknown_load: float = 0.0
) -> TargetView | None:
    """Return the least loaded target; a near tie goes to the local failure domain.

    :param unknown_load: taken for targets without a connection, whose last report is old.
    """
    if not targets:
        return None
    loads = {t.target_id: load_of(t) if t.is_connected else unknown_load for t in targets}
    least = min(loads.values())
    near = [target for target in targets if loads[target.target_id] <= least + NEAR_TIE]
    local = [target for target in near if target.failure_domain == failure_domain]
    return min(local or near, key=lambda target: loads[target.target_id])


def is_slow(target: TargetView, typical_step_ms: float) -> bool:
    """Return whether the target's steps take many times as long as is typical for its model."""
    return typical_step_ms > 0 and target.load.step_ms > SLOW_STEP_RATIO * typical_step_ms


class Router:
    """Chooses targets for one entry; safe to use from any thread.

    :param failure_domain: that of the entry.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._lock = Lock()
        self._safe: OrderedDict[str, None] = OrderedDict()

    def choose(
        self, request: RouteRequest, membership: Membership, now_ms: float
    ) -> TargetView | None:
        """Return a target, or ``None`` if none may get the request."""
        serving = membership.serving(request.model)
        if request.needs_engine:
            serving = [target for target in serving if target.kind == "engine"]
        typical_ms = membership.typical_step_ms(request.model)
        reach = self._usable(candidates(request.head_digest, serving), request, typical_ms, now_ms)
        mean = mean_load(serving)
        best = choose_least(reach, self._failure_domain, mean)
        if best is not None and load_of(best) <= mean * OVERFLOW_RATIO + OVERFLOW_FLOOR:
            return best
        if not self.is_safe(request):
            return best
        # Hashing the content spreads the overflow of a popular head over all targets, so that the
        # entries do not all run to the same third one.
        spread = candidates(request.content_digest, serving)
        further = self._usable(spread, request, typical_ms, now_ms)
        return choose_least([*reach, *further], self._failure_domain, mean)

    def record_completed(self, content_digest: str, head_digest: str) -> None:
        """Remember that the content has run to its end, and so may go to any target."""
        with self._lock:
            for digest in (content_digest, head_digest):
                self._safe[digest] = None
                self._safe.move_to_end(digest)
            while len(self._safe) > KNOWN_SAFE_CONTENTS:
                self._safe.popitem(last=False)

    def is_safe(self, request: RouteRequest) -> bool:
        """Return whether the same content, or another one with the same head, has completed."""
        if request.is_suspect:
            return False
        with self._lock:
            return request.content_digest in self._safe or request.head_digest in self._safe

    def _usable(
        self,
        targets: list[TargetView],
        request: RouteRequest,
        typical_step_ms: float,
        now_ms: float,
    ) -> list[TargetView]:
        """Drop quiet targets, and slow or lately crashed ones if others are left.

        Suspect content goes to no target that has another suspect of this entry.
        """
        targets = [
            target
            for target in targets
            if not target.is_quiet and target.target_id not in request.excluded
        ]
        if request.is_suspect:
            targets = [target for target in targets if not target.in_flight_suspects]
        healthy = [
            target
            for target in targets
            if not is_slow(target, typical_step_ms) and now_ms - target.crashed_ms > SUSPECT_HOLD_MS
        ]
        return healthy or targets
