"""Which target a request goes to. Pure.

Choices use one immutable snapshot of the targets. Each entry sees loads with a lag and only its own
dispatches at once, so the choice is between two candidates that differ from one conversation to
the next: many entries that see the same least loaded target do not all run to it.
"""

from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from ebonyshore.entry.membership import Membership, TargetView

SLOW_STEP_RATIO = 4.0
PRIMARY_PREFERENCE = 0.1  # share of a target's room; more gives prefix hits and costs balance
LOCAL_PREFERENCE = 0.05
CRASH_AVOIDANCE_MS = 5_000.0


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


def rendezvous_hash(key: str, target_id: str) -> bytes:
    """Return the rendezvous hash of a target for a key; the highest ranks first."""
    return blake2b(f"{key}\n{target_id}".encode(), digest_size=8).digest()


def serving_targets(model: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the targets that take new work for ``model``."""
    return [t for t in targets if model in t.models and not t.is_leaving and t.incarnation]


def routing_candidates(
    head_digest: str, content_digest: str, targets: Iterable[TargetView]
) -> list[TargetView]:
    """Return the home of a conversation head and the alternate of the content.

    The home ranks highest for the head, so that conversations meet their cached prefix. The
    alternate ranks highest for the whole content, in another failure domain if there is one: the
    overflow of a popular head spreads over all targets, while one content reaches two at most.
    """
    targets = list(targets)
    if not targets:
        return []
    home = max(targets, key=lambda target: rendezvous_hash(head_digest, target.target_id))
    others = [target for target in targets if target.failure_domain != home.failure_domain]
    others = others or [target for target in targets if target is not home]
    alternates = sorted(
        others, key=lambda target: rendezvous_hash(content_digest, target.target_id)
    )
    return [home, *alternates[-1:]]


def online_utilization(target: TargetView) -> float:
    """Return the online load of a target as a share of its room; lower is better.

    What this entry has dispatched since the report is added, because the report lags behind it.
    """
    load = target.load
    sent_since = max(0, target.in_flight - target.load_in_flight)
    requests = load.online_running + load.online_waiting + sent_since
    return requests / max(1, load.max_running)


def mean_utilization(targets: Iterable[TargetView]) -> float:
    """Return the mean load of the connected targets; 0 if there is none."""
    loads = [online_utilization(target) for target in targets if target.is_connected]
    return sum(loads) / len(loads) if loads else 0.0


def is_slow(target: TargetView, typical_step_ms: float) -> bool:
    """Return whether the target's steps take many times as long as is typical for its model."""
    return typical_step_ms > 0 and target.load.step_ms > SLOW_STEP_RATIO * typical_step_ms


class Router:
    """Chooses targets for one entry; safe to use from any thread.

    :param failure_domain: that of the entry.
    """

    __slots__ = ("_failure_domain",)

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain

    def choose(
        self, request: RouteRequest, membership: Membership, now_ms: float
    ) -> TargetView | None:
        """Return a target, or ``None`` if none may get the request."""
        serving = membership.targets_serving(request.model)
        if request.needs_engine:
            serving = [target for target in serving if target.kind == "engine"]
        pair = routing_candidates(request.head_digest, request.content_digest, serving)
        typical_ms = membership.median_step_ms(request.model)
        reach = self._usable(pair, request, typical_ms, now_ms)
        mean = mean_utilization(serving)
        return min(reach, key=lambda t: self._cost(t, t is pair[0], mean), default=None)

    def _cost(self, target: TargetView, is_home: bool, unknown_load: float) -> float:
        """Return the load of a target, lower by what its cache and its nearness are worth.

        :param unknown_load: taken for a target without a connection, whose last report is old.
        """
        load = online_utilization(target) if target.is_connected else unknown_load
        is_local = target.failure_domain == self._failure_domain
        return load - PRIMARY_PREFERENCE * is_home - LOCAL_PREFERENCE * is_local

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
            if not is_slow(target, typical_step_ms)
            and now_ms - target.crashed_ms > CRASH_AVOIDANCE_MS
        ]
        return healthy or targets
