"""Target selection for requests. No I/O and no state; times are passed in.

A choice uses one immutable snapshot of the targets. An entry sees the load of a target with a delay
and knows only its own dispatches at once. If all entries sent to the least loaded target, they
would overload it together, so each request has only two candidates, which rendezvous hashing
selects by conversation, and the better of the two gets it.
"""

from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from ebonyshore.entry.membership import Membership, TargetView

# A target is slow if its step time exceeds this multiple of the median of the model's targets.
SLOW_STEP_RATIO = 4.0
# Both preferences are subtracted from a target's utilization. A higher preference for the primary
# candidate gives more prefix cache hits but balances the load less evenly.
PRIMARY_PREFERENCE = 0.1
LOCAL_PREFERENCE = 0.05
CRASH_AVOIDANCE_MS = 5_000.0  # time after a crash during which other targets are preferred


class RouteRequest(Struct, frozen=True):
    """The properties of a request that determine its target.

    :param model: the requested model.
    :param content_digest: digest of the whole content.
    :param head_digest: digest of the head of the conversation, for prefix cache affinity.
    :param excluded: ids of the targets that the request has already failed on.
    :param is_suspect: whether the content was in flight when a target crashed.
    :param needs_engine: whether a partial answer is to be resumed, which only targets of the kind
        ``engine`` support.
    """

    model: str
    content_digest: str
    head_digest: str
    excluded: frozenset[str] = frozenset()
    is_suspect: bool = False
    needs_engine: bool = False


def rendezvous_hash(key: str, target_id: str) -> bytes:
    """Return the weight of a target for a key; the target with the highest weight is chosen."""
    return blake2b(f"{key}\n{target_id}".encode(), digest_size=8).digest()


def serving_targets(model: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the targets that accept new work for ``model``.

    A target that is leaving, or whose agent has not sent its first report, accepts none.
    """
    return [t for t in targets if model in t.models and not t.is_leaving and t.incarnation]


def routing_candidates(
    head_digest: str, content_digest: str, targets: Iterable[TargetView]
) -> list[TargetView]:
    """Return the primary candidate and, if there are more targets, an alternate.

    The primary has the highest hash for the conversation head, so that requests with the same head
    find their cached prefix. The alternate has the highest hash for the whole content, in another
    failure domain if there is one. Requests that overflow from the primary of a popular head thus
    spread over all targets, while one content reaches at most two targets.

    :return: no, one or two targets; the primary first.
    """
    targets = list(targets)
    if not targets:
        return []
    primary = max(targets, key=lambda target: rendezvous_hash(head_digest, target.target_id))
    others = [target for target in targets if target.failure_domain != primary.failure_domain]
    others = others or [target for target in targets if target is not primary]
    alternates = sorted(
        others, key=lambda target: rendezvous_hash(content_digest, target.target_id)
    )
    return [primary, *alternates[-1:]]


def online_utilization(target: TargetView) -> float:
    """Return the online requests of a target in relation to its capacity; above 1 they queue.

    Requests that this entry has dispatched since the target's last load report are added, because
    the report does not include them.
    """
    load = target.load
    unreported = max(0, target.in_flight - target.load_in_flight)
    requests = load.online_running + load.online_waiting + unreported
    return requests / max(1, load.max_running)


def mean_utilization(targets: Iterable[TargetView]) -> float:
    """Return the mean utilization of the connected targets; 0 if there is none."""
    loads = [online_utilization(target) for target in targets if target.is_connected]
    return sum(loads) / len(loads) if loads else 0.0


def is_slow(target: TargetView, median_step_ms: float) -> bool:
    """Return whether the target's step time exceeds :data:`SLOW_STEP_RATIO` times the median.

    :param median_step_ms: median step time of the model's targets; 0 if it is not known.
    """
    return median_step_ms > 0 and target.load.step_ms > SLOW_STEP_RATIO * median_step_ms


class Router:
    """Chooses targets for the requests of one entry; thread-safe.

    :param failure_domain: the entry's own failure domain, whose targets are preferred.
    """

    __slots__ = ("_failure_domain",)

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain

    def choose(
        self, request: RouteRequest, membership: Membership, now_ms: float
    ) -> TargetView | None:
        """Return the target to send the request to, or ``None`` if no target is eligible.

        :param now_ms: monotonic time.
        """
        serving = membership.targets_serving(request.model)
        if request.needs_engine:
            serving = [target for target in serving if target.kind == "engine"]
        pair = routing_candidates(request.head_digest, request.content_digest, serving)
        median_ms = membership.median_step_ms(request.model)
        usable = self._usable(pair, request, median_ms, now_ms)
        mean = mean_utilization(serving)
        return min(usable, key=lambda t: self._cost(t, t is pair[0], mean), default=None)

    def _cost(self, target: TargetView, is_primary: bool, fallback_load: float) -> float:
        """Return the utilization of a target minus its preferences; the lowest cost is chosen.

        :param fallback_load: utilization assumed for a target without a connection, whose last
            load report is outdated.
        """
        load = online_utilization(target) if target.is_connected else fallback_load
        is_local = target.failure_domain == self._failure_domain
        return load - PRIMARY_PREFERENCE * is_primary - LOCAL_PREFERENCE * is_local

    def _usable(
        self,
        targets: list[TargetView],
        request: RouteRequest,
        median_step_ms: float,
        now_ms: float,
    ) -> list[TargetView]:
        """Return the targets that may get the request.

        Unresponsive and excluded targets are dropped, and so are slow or recently crashed ones
        unless no other target is left. Suspect content is never sent to a target that already runs
        another suspect request of this entry, because a crash could then not be attributed.
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
            if not is_slow(target, median_step_ms)
            and now_ms - target.crashed_ms > CRASH_AVOIDANCE_MS
        ]
        return healthy or targets
