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


def required_copies(demand: ModelDemand, slots_per_copy: float, target_utilization: float) -> int:
    """Return how many copies of a model carry its demand."""
    copies_for_demand = ceil(demand.sequences / max(1.0, slots_per_copy * target_utilization))
    return min(demand.max_copies, max(demand.min_copies, copies_for_demand))


def decide_placement(state: PlacementState) -> list[PlacementOrder]:
    """Return the orders to give now; the most urgent model first."""
    return _Planner(state).plan()


def estimate_demands(targets: Iterable[TargetView], tree: SettingsTree) -> tuple[ModelDemand, ...]:
    """Return the demand of each model that placement manages, from the targets' last loads.

    A target that serves several models counts for each of them in equal shares.
    """
    sequences: Counter[str] = Counter()
    for view in targets:
        running = _request_count(view)
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
            _request_count(view),
            max(1, view.load.max_running),
        )
        for _, view in sorted(targets.items())
        if view.kind == "engine"
    )


def _request_count(view: TargetView) -> int:
    load = view.load
    return load.online_running + load.online_waiting + load.batch_running


class _Planner:
    """The work of one decision."""

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._orders: list[PlacementOrder] = []
        self._live = [target for target in state.targets if target.is_live]
        self._ordered_targets = {order.target_id for order in state.pending}
        self._live_copies = Counter(model for target in self._live for model in target.models)
        pending_loads = [o for o in state.pending if o.action is PlacementAction.LOAD]
        self._loading_copies = Counter(order.model for order in pending_loads)
        for order in state.pending:
            if order.action is PlacementAction.UNLOAD:
                self._live_copies[order.model] -= self._is_loaded(order)
        self._required = {demand.model: self._copies_for(demand) for demand in state.demands}

    def plan(self) -> list[PlacementOrder]:
        for model in self._models_by_urgency():
            self._load_copy(model)
        for model in self._required:
            self._unload_surplus(model)
        return self._orders

    def _is_loaded(self, order: PlacementOrder) -> bool:
        return any(
            target.target_id == order.target_id and order.model in target.models
            for target in self._live
        )

    def _copies_for(self, demand: ModelDemand) -> int:
        holders = [target for target in self._live if demand.model in target.models]
        sample = holders or self._live
        places = sum(target.max_running for target in sample) / max(1, len(sample))
        return required_copies(demand, places, self._state.limits.target_utilization)

    def _models_by_urgency(self) -> list[str]:
        """Models without a live copy first, then those with the smallest share of their need."""
        short = [m for m, need in self._required.items() if self._expected_copies(m) < need]
        return sorted(short, key=lambda m: (self._expected_copies(m) / self._required[m], m))

    def _expected_copies(self, model: str) -> int:
        return self._live_copies[model] + self._loading_copies[model]

    def _load_copy(self, model: str) -> None:
        """Load one more copy, or make room for it; one copy of a model loads at a time."""
        if (
            self._loading_copies[model]
            or self._loading_copies.total() >= self._state.limits.max_loading
        ):
            return
        free = [
            t for t in self._available_targets() if model not in t.models and self._has_free_slot(t)
        ]
        if free:
            target = min(free, key=lambda t: self._load_preference(t, model))
            self._loading_copies[model] += 1
            self._add_order(target, PlacementAction.LOAD, model)
            return
        self._free_slot_for(model)

    def _free_slot_for(self, model: str) -> None:
        unloadable = [
            (target, other)
            for target in self._available_targets()
            if model not in target.models
            for other in target.models
            if self._can_spare(other, 0)
        ]
        if unloadable:
            target, other = min(unloadable, key=lambda pair: (pair[0].running, pair[0].target_id))
            self._unload_copy(target, other)

    def _unload_surplus(self, model: str) -> None:
        if not self._can_spare(model, self._state.limits.spare_copies):
            return
        holders = [target for target in self._available_targets() if model in target.models]
        shared = [target for target in holders if len(target.models) > 1]
        if shared:
            self._unload_copy(min(shared, key=lambda t: (t.running, t.target_id)), model)

    def _can_spare(self, model: str, spare: int) -> bool:
        """Return whether a live copy can go; models that placement does not manage stay."""
        if model not in self._required:
            return False
        remaining = self._live_copies[model] - 1
        is_in_use = any(d.sequences > 0 for d in self._state.demands if d.model == model)
        if is_in_use and remaining < 1:
            return False
        return remaining >= self._required[model] + spare

    def _available_targets(self) -> list[PlacementTarget]:
        return [target for target in self._live if target.target_id not in self._ordered_targets]

    def _has_free_slot(self, target: PlacementTarget) -> bool:
        return len(target.models) < self._state.limits.models_per_target

    def _load_preference(self, target: PlacementTarget, model: str) -> tuple[int, int, str]:
        """Prefer the failure domain with the fewest copies of the model, then idle targets."""
        same_domain = sum(
            other.failure_domain == target.failure_domain and model in other.models
            for other in self._live
        )
        return same_domain, target.running, target.target_id

    def _unload_copy(self, target: PlacementTarget, model: str) -> None:
        self._live_copies[model] -= 1
        self._add_order(target, PlacementAction.UNLOAD, model)

    def _add_order(self, target: PlacementTarget, action: PlacementAction, model: str) -> None:
        self._ordered_targets.add(target.target_id)
        self._orders.append(PlacementOrder(target.target_id, action, model))
