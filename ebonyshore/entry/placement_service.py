"""Runs placement in the entry that holds the lease of this duty, and sends the orders."""

from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct

from ebonyshore.entry.link_messages import SendToAgent
from ebonyshore.entry.membership import Membership
from ebonyshore.entry.placement import (
    PlacementAction,
    PlacementLimits,
    PlacementOrder,
    PlacementState,
    decide_placement,
    estimate_demands,
    placement_targets,
)
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import LeaseLostError, StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import Order, OrderResult
from ebonyshore.settings.settings_service import SettingsService
from ebonyshore.store.lease import Lease
from ebonyshore.store.platform_api import WeightStore

PLACEMENT_DUTY = "placement"
INTERVAL_MS = 2_000
ORDER_TIMEOUT_MS = 600_000  # loading the weights of a large model takes minutes


class PendingOrder(Struct, frozen=True):
    """An order without a result."""

    order: PlacementOrder
    sent_ms: float


class PlacementService(Task[OrderResult]):
    """Decides and orders at intervals while the lease is held.

    :param send: passes a message to the agent link.
    :param limits: bounds of one decision.
    """

    def __init__(
        self,
        lease: Lease,
        membership: Membership,
        settings: SettingsService,
        weights: WeightStore,
        send: Callable[[SendToAgent], None],
        clock: Clock,
        log: EventLog,
        limits: PlacementLimits | None = None,
    ) -> None:
        super().__init__("placement", clock)
        self._lease = lease
        self._membership = membership
        self._settings = settings
        self._weights = weights
        self._send = send
        self._log = log
        self._limits = limits or PlacementLimits()
        self._pending: dict[str, PendingOrder] = {}
        self._next_ms = 0.0
        self._weights_after_ms = float("-inf")

    def timer_ms(self) -> float | None:
        return self._next_ms

    def stop(self) -> None:
        super().stop()
        self._lease.release()

    def handle(self, message: OrderResult) -> None:
        pending = self._pending.pop(message.order_id, None)
        if pending is not None and message.code is not ResultCode.OK:
            self._log.event(
                "placement_refused",
                target_id=pending.order.target_id,
                model=pending.order.model,
                code=int(message.code),
                detail=message.detail,
            )

    def on_timer(self) -> None:
        self._next_ms = self.clock.monotonic_ms() + INTERVAL_MS
        if not self._is_wanted() or not self._lease.maintain():
            self._pending.clear()
            return
        self._forget_done()
        for order in decide_placement(self._state()):
            self._carry_out(order)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        orders = [pending.order for pending in self._pending.values()]
        return {
            "is_holder": self._lease.is_valid,
            "pending": [f"{o.action.value} {o.model} at {o.target_id}" for o in orders],
        }

    def _is_wanted(self) -> bool:
        """Whether any model is placed; without one the lease costs no calls."""
        tree = self._settings.current()
        return any(tree.for_model(model).does_place for model in tree.models())

    def _state(self) -> PlacementState:
        views = self._membership.targets()
        return PlacementState(
            placement_targets(views),
            estimate_demands(views.values(), self._settings.current()),
            tuple(pending.order for pending in self._pending.values()),
            self._limits,
        )

    def _forget_done(self) -> None:
        """Drop orders that took effect, were lost, or whose target is gone."""
        now_ms = self.clock.monotonic_ms()
        for order_id, pending in list(self._pending.items()):
            view = self._membership.find(pending.order.target_id)
            is_load = pending.order.action is PlacementAction.LOAD
            is_done = view is None or (pending.order.model in view.models) == is_load
            if is_done or now_ms - pending.sent_ms > ORDER_TIMEOUT_MS:
                del self._pending[order_id]

    def _carry_out(self, order: PlacementOrder) -> None:
        if order.action is PlacementAction.LOAD and not self._are_weights_granted(order.model):
            return
        try:
            number = self._lease.fencing_number()
        except LeaseLostError:
            return
        order_id = uuid4().hex
        self._pending[order_id] = PendingOrder(order, self.clock.monotonic_ms())
        self._log.event(
            "placement_ordered",
            target_id=order.target_id,
            action=order.action.value,
            model=order.model,
            fencing_number=number,
        )
        message = Order(order_id, PLACEMENT_DUTY, number, order.action.value, order.model)
        self._send(SendToAgent(order.target_id, message))

    def _are_weights_granted(self, model: str) -> bool:
        now_ms = self.clock.monotonic_ms()
        if now_ms < self._weights_after_ms:
            return False
        try:
            grant = self._weights.request_weights(model)
        except StoreError:
            return False
        self._weights_after_ms = now_ms + grant.wait_ms
        return grant.wait_ms == 0
