"""The targets known to an entry. One task writes; any thread may read.

A change to a target replaces only that target's view. The index of targets by model is rebuilt
when a target is added or removed, changes its models, or starts or stops leaving; this is rare.
"""

from collections.abc import Mapping
from statistics import median
from types import MappingProxyType

from msgspec import Struct
from msgspec.structs import replace

from ebonyshore.link.messages import Load, LoadReport, Welcome
from ebonyshore.store.platform_api import Instance


class TargetView(Struct, frozen=True):
    """A target as one entry sees it.

    :param target_id: instance id.
    :param address: ZeroMQ address of the target's agent.
    :param models: models that the target serves.
    :param is_leaving: whether the target takes no new requests.
    :param incarnation: identifies the agent's current run; empty before its first report.
    :param settings_revision: settings revision that the agent last reported.
    :param lowest_entry_revision: lowest settings revision of the entries connected to the agent.
    :param kind: kind of target, such as ``engine``; only engines can resume an answer.
    :param tick_ms: the agent's own clock in its last report.
    :param heard_ms: the entry's monotonic time when a message last arrived from the agent.
    :param load: load that the agent last reported.
    :param in_flight: requests that this entry has dispatched to the target or is about to.
    :param in_flight_batch: batch items among the dispatched requests.
    :param in_flight_suspects: suspect requests among the dispatched requests.
    :param load_in_flight: requests that this entry had dispatched when ``load`` arrived.
    :param is_connected: whether the entry has a socket to the agent; it connects when needed.
    :param is_quiet: whether a ping to the agent is overdue for an answer, or the agent was lost
        and has not been heard from since.
    :param crashed_ms: the entry's monotonic time of the target's last crash.
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
    in_flight_suspects: int = 0
    load_in_flight: int = 0
    is_connected: bool = False
    is_quiet: bool = False
    crashed_ms: float = float("-inf")


class Membership:
    """Table of target views that any thread may read; only the agent link may change it."""

    __slots__ = ("_ids_by_model", "_median_steps", "_targets")

    def __init__(self) -> None:
        self._targets: dict[str, TargetView] = {}
        self._ids_by_model: dict[str, tuple[str, ...]] = {}
        self._median_steps: dict[str, float] = {}

    def set_view(self, view: TargetView) -> None:
        """Add a target or replace its view."""
        previous = self._targets.get(view.target_id)
        if previous is None:
            # Readers iterate without a lock, so the size of a shared dict never changes.
            self._targets = {**self._targets, view.target_id: view}
        else:
            self._targets[view.target_id] = view
        if previous is None or _affects_model_index(previous, view):
            self._rebuild_model_index()

    def remove(self, target_id: str) -> None:
        """Remove a target."""
        self._targets = {key: view for key, view in self._targets.items() if key != target_id}
        self._rebuild_model_index()

    def targets(self) -> Mapping[str, TargetView]:
        """Return a read-only mapping of the known targets by id."""
        return MappingProxyType(self._targets)

    def find(self, target_id: str) -> TargetView | None:
        """Return the view of a target, or ``None`` if it is unknown."""
        return self._targets.get(target_id)

    def targets_serving(self, model: str) -> list[TargetView]:
        """Return the targets that accept new requests for ``model``, connected or not."""
        targets = self._targets
        ids = self._ids_by_model.get(model, ())
        return [view for target_id in ids if (view := targets.get(target_id)) is not None]

    def median_step_ms(self, model: str) -> float:
        """Return the median step time of the model's targets in ms; 0 if none is known."""
        return self._median_steps.get(model, 0.0)

    def update_median_steps(self) -> None:
        """Recompute the median step times from the current views."""
        medians = {}
        for model in self._ids_by_model:
            steps = [
                view.load.step_ms for view in self.targets_serving(model) if view.load.step_ms > 0
            ]
            medians[model] = median(steps) if steps else 0.0
        self._median_steps = medians

    def _rebuild_model_index(self) -> None:
        ids_by_model: dict[str, list[str]] = {}
        for view in self._targets.values():
            if not view.is_leaving:
                for model in view.models:
                    ids_by_model.setdefault(model, []).append(view.target_id)
        self._ids_by_model = {model: tuple(ids) for model, ids in ids_by_model.items()}


def _affects_model_index(previous: TargetView, view: TargetView) -> bool:
    return (previous.models, previous.is_leaving) != (view.models, view.is_leaving)


def apply_report(view: TargetView, message: Welcome | LoadReport, is_listed: bool) -> TargetView:
    """Return a copy of ``view`` updated from a report of the target's agent.

    :param is_listed: whether the platform lists the target; an unlisted target is leaving.
    """
    lowest_revision = view.lowest_entry_revision
    if isinstance(message, LoadReport):
        lowest_revision = message.lowest_entry_revision
    return replace(
        view,
        incarnation=message.incarnation,
        settings_revision=message.settings_revision,
        lowest_entry_revision=lowest_revision,
        tick_ms=message.tick_ms,
        models=message.models,
        is_leaving=message.is_leaving or not is_listed,
        kind=message.kind if isinstance(message, Welcome) else view.kind,
    )


def view_from_instance(instance: Instance) -> TargetView:
    """Return the initial view of a target from its record in the instance list."""
    return TargetView(
        instance.instance_id,
        instance.address,
        instance.region,
        instance.failure_domain,
        instance.models,
        instance.state == "leaving",
    )
