"""Decides which target serves which model. Pure; carried out by the holder of the placement lease.

One decision gives few orders: loads are staggered, so that copies of one model do not start at the
same time and the weight store is not overrun, and a copy is unloaded only when enough others of its
model are live without it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from math import ceil

from msgspec import Struct

from ebonyshore.entry.membership import TargetView
from ebonyshore.settings.settings_tree import SettingsTree


class PlacementAction(Enum):
    """Values of ``Order.action``."""

    LOAD = "load"
    UNLOAD = "unload"


class PlacementOrder(Struct, frozen=True):
    """An order to one target."""

    target_id: str
    action: PlacementAction
    model: str


class PlacementTarget(Struct, frozen=True):
    """An engine as placement sees it.

    :param is_live: whether its agent answers and it is not leaving.
    :param models: loaded models.
    :param running: requests in the target or waiting for it.
    :param max_running: most requests in the target.
    """

    target_id: str
    failure_domain: str
    models: tuple[str, ...]
    is_live: bool = True
    running: int = 0
    max_running: int = 1


class ModelDemand(Struct, frozen=True):
    """What a model needs.

    :param min_copies: live copies that are always kept; 0 lets the model be unloaded everywhere.
    :param sequences: requests that run or wait now.
    """

    model: str
    min_copies: int = 1
    max_copies: int = 10_000
    sequences: float = 0.0


class PlacementLimits(Struct, frozen=True):
    """Bounds of one decision.

    :param max_loading: loads under way at one time; the weight store's rate sets the pace below it.
    :param models_per_target: models that one target holds.
    :param target_utilization: share of a copy's places that demand may take before another copy.
    :param spare_copies: copies above the need before one is unloaded, against flapping.
    """

    max_loading: int = 2
    models_per_target: int = 1
    target_utilization: float = 0.7
    spare_copies: int = 1


class PlacementState(Struct, frozen=True):
    """Everything that a decision depends on.

    :param pending: orders that were sent and are not done.
    """

    targets: tuple[PlacementTarget, ...]
    demands: tuple[ModelDemand, ...]
    pending: tuple[PlacementOrder, ...] = ()
    limits: PlacementLimits = PlacementLimits()


def required_copies(demand: ModelDemand, places_per_copy: float, target_utilization: float) -> int:
    """Return how many copies of a model carry its demand."""
    carrying = ceil(demand.sequences / max(1.0, places_per_copy * target_utilization))
    return min(demand.max_copies, max(demand.min_copies, carrying))


def decide_placement(state: PlacementState) -> list[PlacementOrder]:
    """Return the orders to give now; the most urgent model first."""
    return _Decision(state).run()


def estimate_demands(targets: Iterable[TargetView], tree: SettingsTree) -> tuple[ModelDemand, ...]:
    """Return the demand of each model that placement manages, from the targets' last loads.

    A target that serves several models counts for each of them in equal shares.
    """
    sequences: Counter[str] = Counter()
    for view in targets:
        running = _running(view)
        for model in view.models:
            sequences[model] += running / len(view.models)
    demands = []
    for model in tree.models():
        settings = tree.for_model(model)
        if settings.does_place:
            demands.append(
                ModelDemand(model, settings.min_copies, settings.max_copies, sequences[model])
            )
    return tuple(demands)


def placement_targets(targets: Mapping[str, TargetView]) -> tuple[PlacementTarget, ...]:
    """Return the engines among the known targets."""
    return tuple(
        PlacementTarget(
            view.target_id,
            view.failure_domain,
            view.models,
            bool(view.incarnation) and not view.is_leaving and not view.is_quiet,
            _running(view),
            max(1, view.load.max_running),
        )
        for _, view in sorted(targets.items())
        if view.kind == "engine"
    )


def _running(view: TargetView) -> int:
    load = view.load
    return load.online_running + load.online_waiting + load.batch_running


class _Decision:
    """The work of one decision."""

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._orders: list[PlacementOrder] = []
        self._live = [target for target in state.targets if target.is_live]
        self._busy = {order.target_id for order in state.pending}
        self._copies = Counter(model for target in self._live for model in target.models)
        pending_loads = [o for o in state.pending if o.action is PlacementAction.LOAD]
        self._loading = Counter(order.model for order in pending_loads)
        for order in state.pending:
            if order.action is PlacementAction.UNLOAD:
                self._copies[order.model] -= self._holds(order)
        self._needs = {demand.model: self._need(demand) for demand in state.demands}

    def run(self) -> list[PlacementOrder]:
        for model in self._models_by_urgency():
            self._load(model)
        for model in self._needs:
            self._unload_surplus(model)
        return self._orders

    def _holds(self, order: PlacementOrder) -> bool:
        return any(
            target.target_id == order.target_id and order.model in target.models
            for target in self._live
        )

    def _need(self, demand: ModelDemand) -> int:
        holders = [target for target in self._live if demand.model in target.models]
        sample = holders or self._live
        places = sum(target.max_running for target in sample) / max(1, len(sample))
        return required_copies(demand, places, self._state.limits.target_utilization)

    def _models_by_urgency(self) -> list[str]:
        """Models without a live copy first, then those with the smallest share of their need."""
        lacking = [m for m, need in self._needs.items() if self._coming(m) < need]
        return sorted(lacking, key=lambda m: (self._coming(m) / self._needs[m], m))

    def _coming(self, model: str) -> int:
        return self._copies[model] + self._loading[model]

    def _load(self, model: str) -> None:
        """Load one more copy, or make room for it; one copy of a model loads at a time."""
        if self._loading[model] or self._loading.total() >= self._state.limits.max_loading:
            return
        free = [t for t in self._idle() if model not in t.models and self._has_room(t)]
        if free:
            target = min(free, key=lambda t: self._load_rank(t, model))
            self._loading[model] += 1
            self._order(target, PlacementAction.LOAD, model)
            return
        self._make_room(model)

    def _make_room(self, model: str) -> None:
        victims = [
            (target, other)
            for target in self._idle()
            if model not in target.models
            for other in target.models
            if self._can_spare(other, 0)
        ]
        if victims:
            target, other = min(victims, key=lambda pair: (pair[0].running, pair[0].target_id))
            self._unload(target, other)

    def _unload_surplus(self, model: str) -> None:
        if not self._can_spare(model, self._state.limits.spare_copies):
            return
        holders = [target for target in self._idle() if model in target.models]
        shared = [target for target in holders if len(target.models) > 1]
        if shared:
            self._unload(min(shared, key=lambda t: (t.running, t.target_id)), model)

    def _can_spare(self, model: str, spare: int) -> bool:
        """Return whether a live copy can go; models that placement does not manage stay."""
        if model not in self._needs:
            return False
        remaining = self._copies[model] - 1
        is_in_use = any(d.sequences > 0 for d in self._state.demands if d.model == model)
        if is_in_use and remaining < 1:
            return False
        return remaining >= self._needs[model] + spare

    def _idle(self) -> list[PlacementTarget]:
        return [target for target in self._live if target.target_id not in self._busy]

    def _has_room(self, target: PlacementTarget) -> bool:
        return len(target.models) < self._state.limits.models_per_target

    def _load_rank(self, target: PlacementTarget, model: str) -> tuple[int, int, str]:
        """Prefer the failure domain with the fewest copies of the model, then idle targets."""
        same_domain = sum(
            other.failure_domain == target.failure_domain and model in other.models
            for other in self._live
        )
        return same_domain, target.running, target.target_id

    def _unload(self, target: PlacementTarget, model: str) -> None:
        self._copies[model] -= 1
        self._order(target, PlacementAction.UNLOAD, model)

    def _order(self, target: PlacementTarget, action: PlacementAction, model: str) -> None:
        self._busy.add(target.target_id)
        self._orders.append(PlacementOrder(target.target_id, action, model))
