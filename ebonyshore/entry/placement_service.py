"""Runs placement decisions in the entry that holds the placement lease, and sends the orders."""

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
DECISION_INTERVAL_MS = 2_000
ORDER_TIMEOUT_MS = 600_000  # loading the weights of a large model takes minutes


class PendingOrder(Struct, frozen=True):
    """An order that was sent and has no result yet.

    :param sent_ms: monotonic time at which it was sent.
    """

    order: PlacementOrder
    sent_ms: float


class PlacementService(Task[OrderResult]):
    """Decides every :data:`DECISION_INTERVAL_MS` while it holds the lease; sends orders to agents.

    Messages are the results of orders. A failed order is dropped and the next decision may repeat
    it.

    :param lease: the lease of the placement duty; its fencing number goes into each order.
    :param weights: grants permission to load the weights of a model.
    :param send: passes a message to the agent link.
    :param limits: limits of each decision; the defaults if omitted.
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
        self._next_weight_request_ms = float("-inf")

    def next_timer_ms(self) -> float | None:
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
        self._next_ms = self.clock.monotonic_ms() + DECISION_INTERVAL_MS
        if not self._has_managed_models() or not self._lease.maintain():
            self._pending.clear()
            return
        self._drop_finished_orders()
        for order in decide_placement(self._state()):
            self._send_order(order)

    def dump(self) -> dict[str, object]:
        """Return whether this entry holds the lease and its pending orders, for the state dump."""
        orders = [pending.order for pending in self._pending.values()]
        return {
            "is_holder": self._lease.is_valid,
            "pending": [f"{o.action.value} {o.model} at {o.target_id}" for o in orders],
        }

    def _has_managed_models(self) -> bool:
        """Return whether placement manages any model; if not, the lease needs no store calls."""
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

    def _drop_finished_orders(self) -> None:
        """Drop orders that took effect or timed out, or whose target is no longer known."""
        now_ms = self.clock.monotonic_ms()
        for order_id, pending in list(self._pending.items()):
            view = self._membership.find(pending.order.target_id)
            is_load = pending.order.action is PlacementAction.LOAD
            is_finished = view is None or (pending.order.model in view.models) == is_load
            if is_finished or now_ms - pending.sent_ms > ORDER_TIMEOUT_MS:
                del self._pending[order_id]

    def _send_order(self, order: PlacementOrder) -> None:
        """Send an order, unless a load gets no weight grant or the lease was lost."""
        if order.action is PlacementAction.LOAD and not self._request_weight_grant(order.model):
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

    def _request_weight_grant(self, model: str) -> bool:
        """Ask the weight store for permission to load a model; return whether it is granted.

        After a refusal, no permission is requested until the time that the weight store named.
        """
        now_ms = self.clock.monotonic_ms()
        if now_ms < self._next_weight_request_ms:
            return False
        try:
            grant = self._weights.request_weights(model)
        except StoreError:
            return False
        self._next_weight_request_ms = now_ms + grant.wait_ms
        return grant.wait_ms == 0
