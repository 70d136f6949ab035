"""Decides which target serves which model; used by the entry that holds the placement lease.

No I/O and no state. Each decision gives only a few orders. Loads are staggered, so that copies of
one model do not start at the same time and the weight store is not overloaded. A copy is unloaded
only if enough other copies of its model are live.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from math import ceil

from msgspec import Struct

from ebonyshore.entry.membership import TargetView
from ebonyshore.settings.settings_tree import SettingsTree


class PlacementAction(Enum):
    """What a target is ordered to do with a model; the values of ``Order.action``."""

    LOAD = "load"
    UNLOAD = "unload"


class PlacementOrder(Struct, frozen=True):
    """An order to one target to load or unload a model."""

    target_id: str
    action: PlacementAction
    model: str


class PlacementTarget(Struct, frozen=True):
    """An engine and its state, as far as placement depends on it.

    :param models: loaded models.
    :param is_live: whether its agent answers and it is not leaving.
    :param request_count: number of requests that run on the target or wait for it.
    :param max_running: number of requests that the target runs at once.
    """

    target_id: str
    failure_domain: str
    models: tuple[str, ...]
    is_live: bool = True
    request_count: int = 0
    max_running: int = 1


class ModelDemand(Struct, frozen=True):
    """The demand for a model and the limits on its copies.

    :param min_copies: number of live copies to keep in any case; with 0, the model may be unloaded
        everywhere.
    :param max_copies: highest number of copies.
    :param requests: number of requests that run or wait at present. It may be a fraction, because
        the requests of a target are divided among its models.
    """

    model: str
    min_copies: int = 1
    max_copies: int = 10_000
    requests: float = 0.0


class PlacementLimits(Struct, frozen=True):
    """Limits of placement decisions.

    :param max_loading: highest number of concurrent loads. Below it, the weight store's grants
        determine the rate.
    :param models_per_target: number of models that one target can hold.
    :param target_utilization: fraction of a copy's capacity, 0 to 1, that demand may use before
        another copy is needed.
    :param spare_copies: number of copies above the required ones that remain when a surplus copy
        is unloaded; prevents models from being loaded and unloaded in turn.
    """

    max_loading: int = 2
    models_per_target: int = 1
    target_utilization: float = 0.7
    spare_copies: int = 1


class PlacementState(Struct, frozen=True):
    """The input of a decision.

    :param demands: demand for each model that placement manages.
    :param pending: orders that were sent and have not been completed.
    """

    targets: tuple[PlacementTarget, ...]
    demands: tuple[ModelDemand, ...]
    pending: tuple[PlacementOrder, ...] = ()
    limits: PlacementLimits = PlacementLimits()


def required_copies(demand: ModelDemand, slots_per_copy: float, target_utilization: float) -> int:
    """Return the number of copies that a model needs, within its limits.

    :param slots_per_copy: number of requests that a copy runs at once.
    :param target_utilization: fraction of these slots to use, 0 to 1.
    """
    copies_for_demand = ceil(demand.requests / max(1.0, slots_per_copy * target_utilization))
    return min(demand.max_copies, max(demand.min_copies, copies_for_demand))


def decide_placement(state: PlacementState) -> list[PlacementOrder]:
    """Return the orders to send now.

    First, the models with too few copies in order of urgency: a load, or an unload that frees a
    slot for it. Then unloads of surplus copies.

    A target gets at most one order, and none while an earlier one is pending.
    """
    return _Planner(state).plan()


def estimate_demands(targets: Iterable[TargetView], tree: SettingsTree) -> tuple[ModelDemand, ...]:
    """Return the demand for each model that placement manages, from the targets' last load reports.

    The requests of a target that serves several models are divided equally among them.
    """
    requests: Counter[str] = Counter()
    for view in targets:
        target_requests = _request_count(view)
        for model in view.models:
            requests[model] += target_requests / len(view.models)
    demands = []
    for model in tree.models():
        settings = tree.for_model(model)
        if settings.does_place:
            demands.append(
                ModelDemand(model, settings.min_copies, settings.max_copies, requests[model])
            )
    return tuple(demands)


def placement_targets(targets: Mapping[str, TargetView]) -> tuple[PlacementTarget, ...]:
    """Return the targets of the kind ``engine``, ordered by id."""
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
    """Computes the orders of one decision."""

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
                self._live_copies[order.model] -= self._affects_live_copy(order)
        self._required = {demand.model: self._copies_for(demand) for demand in state.demands}

    def plan(self) -> list[PlacementOrder]:
        """Return the orders; to be called once."""
        for model in self._models_by_urgency():
            self._load_copy(model)
        for model in self._required:
            self._unload_surplus(model)
        return self._orders

    def _affects_live_copy(self, order: PlacementOrder) -> bool:
        """Return whether the order's target is live and has the order's model loaded."""
        return any(
            target.target_id == order.target_id and order.model in target.models
            for target in self._live
        )

    def _copies_for(self, demand: ModelDemand) -> int:
        """Return the required copies, with the mean capacity of the targets that have the model."""
        holders = [target for target in self._live if demand.model in target.models]
        sample = holders or self._live
        slots = sum(target.max_running for target in sample) / max(1, len(sample))
        return required_copies(demand, slots, self._state.limits.target_utilization)

    def _models_by_urgency(self) -> list[str]:
        """Return the models with too few copies; the lowest ratio of expected to required first."""
        under_supplied = [
            m for m, need in self._required.items() if self._expected_copies(m) < need
        ]
        return sorted(
            under_supplied, key=lambda m: (self._expected_copies(m) / self._required[m], m)
        )

    def _expected_copies(self, model: str) -> int:
        return self._live_copies[model] + self._loading_copies[model]

    def _load_copy(self, model: str) -> None:
        """Order one more copy, or free a slot for it.

        Copies of one model are loaded one after the other.
        """
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
        """Unload a copy of another model that has more copies than it requires."""
        removable = [
            (target, other)
            for target in self._available_targets()
            if model not in target.models
            for other in target.models
            if self._can_spare(other, 0)
        ]
        if removable:
            target, other = min(
                removable, key=lambda pair: (pair[0].request_count, pair[0].target_id)
            )
            self._unload_copy(target, other)

    def _unload_surplus(self, model: str) -> None:
        """Unload a surplus copy from a target that serves other models as well."""
        if not self._can_spare(model, self._state.limits.spare_copies):
            return
        holders = [target for target in self._available_targets() if model in target.models]
        shared = [target for target in holders if len(target.models) > 1]
        if shared:
            self._unload_copy(min(shared, key=lambda t: (t.request_count, t.target_id)), model)

    def _can_spare(self, model: str, spare: int) -> bool:
        """Return whether a live copy of a model may be unloaded.

        Models that placement does not manage are never unloaded.

        :param spare: number of copies above the required ones that must remain.
        """
        if model not in self._required:
            return False
        remaining = self._live_copies[model] - 1
        is_in_use = any(d.requests > 0 for d in self._state.demands if d.model == model)
        if is_in_use and remaining < 1:
            return False
        return remaining >= self._required[model] + spare

    def _available_targets(self) -> list[PlacementTarget]:
        """Return the live targets without an order."""
        return [target for target in self._live if target.target_id not in self._ordered_targets]

    def _has_free_slot(self, target: PlacementTarget) -> bool:
        return len(target.models) < self._state.limits.models_per_target

    def _load_preference(self, target: PlacementTarget, model: str) -> tuple[int, int, str]:
        """Return the sort key of a target to load a model; the lowest is chosen.

        The failure domain with the fewest copies of the model is preferred, then the target with
        the fewest requests.
        """
        same_domain = sum(
            other.failure_domain == target.failure_domain and model in other.models
            for other in self._live
        )
        return same_domain, target.request_count, target.target_id

    def _unload_copy(self, target: PlacementTarget, model: str) -> None:
        self._live_copies[model] -= 1
        self._add_order(target, PlacementAction.UNLOAD, model)

    def _add_order(self, target: PlacementTarget, action: PlacementAction, model: str) -> None:
        self._ordered_targets.add(target.target_id)
        self._orders.append(PlacementOrder(target.target_id, action, model))
