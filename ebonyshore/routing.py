"""Which target a request goes to. Pure."""

from collections.abc import Iterable
from hashlib import blake2b

from ebonyshore.membership import TargetView

CANDIDATE_COUNT = 2
LOCAL_BONUS = 0.1


def rank(key: str, target_id: str) -> bytes:
    """Return the rendezvous hash of a target for a key; the highest ranks first."""
    return blake2b(f"{key}\n{target_id}".encode(), digest_size=8).digest()


def serving_targets(model: str, targets: Iterable[TargetView]) -> list[TargetView]:
    """Return the targets that take new work for ``model``."""
    return [t for t in targets if model in t.models and not t.is_leaving and t.incarnation]


def candidates(
    head_digest: str, targets: Iterable[TargetView], count: int = CANDIDATE_COUNT
) -> list[TargetView]:
    """Return the ``count`` targets that rank highest for a conversation head."""
    ranked = sorted(targets, key=lambda target: rank(head_digest, target.target_id), reverse=True)
    return ranked[:count]


def load_of(target: TargetView, failure_domain: str) -> float:
    """Return the online load of a target as a share of its room; lower is better."""
    load = target.load
    sent_since = max(0, target.in_flight - target.load_in_flight)
    requests = load.online_running + load.online_waiting + sent_since
    bonus = LOCAL_BONUS if target.failure_domain == failure_domain else 0.0
    return requests / max(1, load.max_running) - bonus


def choose(
    head_digest: str,
    targets: Iterable[TargetView],
    failure_domain: str,
    excluded: frozenset[str] = frozenset(),
) -> TargetView | None:
    """Return the less loaded candidate that is not excluded, or ``None``."""
    left = [t for t in candidates(head_digest, targets) if t.target_id not in excluded]
    return min(left, key=lambda target: load_of(target, failure_domain), default=None)
