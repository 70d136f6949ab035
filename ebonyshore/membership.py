"""The targets that an entry knows, as an immutable snapshot that its tasks share."""

from collections.abc import Mapping
from types import MappingProxyType

from msgspec import Struct

from ebonyshore.messages import Load


class TargetView(Struct, frozen=True):
    """A target as one entry sees it.

    :param target_id: instance id.
    :param address: ZeroMQ address of its agent.
    :param incarnation: run of the agent; empty before its first answer.
    :param tick_ms: the agent's own time as last heard.
    :param heard_ms: the entry's monotonic time when it last heard from the agent.
    :param lowest_entry_revision: lowest settings revision of the entries connected to the agent.
    :param in_flight: requests that this entry has with it.
    :param in_flight_batch: batch items among them.
    :param load_in_flight: ``in_flight`` when ``load`` was heard.
    """

    target_id: str
    address: str
    region: str
    failure_domain: str
    models: tuple[str, ...]
    is_leaving: bool = False
    incarnation: str = ""
    settings_revision: int = 0
    lowest_entry_revision: int = 0
    kind: str = "engine"
    tick_ms: float = 0.0
    heard_ms: float = float("-inf")
    load: Load = Load()
    in_flight: int = 0
    in_flight_batch: int = 0
    load_in_flight: int = 0


class Membership:
    """Publishes the snapshot; written by the agent link only."""

    __slots__ = ("_targets",)

    def __init__(self) -> None:
        self._targets: Mapping[str, TargetView] = MappingProxyType({})

    def publish(self, targets: Mapping[str, TargetView]) -> None:
        """Replace the snapshot; the caller must not change ``targets`` afterwards."""
        self._targets = MappingProxyType(dict(targets))

    def targets(self) -> Mapping[str, TargetView]:
        """Return the known targets by id."""
        return self._targets

    def find(self, target_id: str) -> TargetView | None:
        """Return one target, or ``None``."""
        return self._targets.get(target_id)
