"""Fencing of orders to the engine, and the task that executes the orders."""

from collections.abc import Callable

from msgspec import Struct

from ebonyshore.agent.agent_server import Outgoing
from ebonyshore.agent.response_sender import MessageSink
from ebonyshore.agent.target_client import EngineClient, EngineOrder
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import EbonyshoreError, FencedError, TargetError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import Order, OrderResult
from ebonyshore.store.marked_write import MarkedStore

ACTIONS = frozenset({"load", "unload", "set_role"})


class FencingRecord(Struct, frozen=True):
    """The accepted fencing numbers of an agent, stored under ``fencing/<agent id>``.

    :param numbers: highest number accepted for each duty.
    """

    numbers: dict[str, int] = {}


class FencingGuard:
    """Rejects orders whose fencing number is lower than one accepted before for the same duty.

    The number is stored before the order is executed. A restarted agent, or a second one started
    for the same target by mistake, therefore rejects the same orders as the first.

    :param store: store of the fencing record.
    :param agent_id: instance id of the agent, which is part of the record's key.
    """

    __slots__ = ("_key", "_numbers", "_store")

    def __init__(self, store: MarkedStore, agent_id: str) -> None:
        self._store = store
        self._key = f"fencing/{agent_id}"
        self._numbers: dict[str, int] | None = None

    def accept(self, duty: str, number: int) -> None:
        """Accept a fencing number that is not lower than any accepted for the duty.

        Reads the record at the first call and whenever ``number`` is higher than the known ones,
        and writes it if ``number`` is higher than the stored one.

        :raises FencedError: a higher number was accepted for the duty.
        :raises StoreError: the record could not be read or stored.
        """
        if self._numbers is None or number > self._numbers.get(duty, 0):
            self._store_number(duty, number)
        if number < self._numbers.get(duty, 0):
            raise FencedError(f"{duty}: fencing number {number} is below {self._numbers[duty]}")

    def _store_number(self, duty: str, number: int) -> None:
        def raise_number(record: FencingRecord | None) -> FencingRecord | None:
            numbers = record.numbers if record else {}
            if number <= numbers.get(duty, 0):
                return None
            return FencingRecord({**numbers, duty: number})

        stored = self._store.update(self._key, FencingRecord, raise_number)
        self._numbers = dict(stored.body.numbers) if stored else {}


class ReceivedOrder(Struct, frozen=True):
    """An order from an entry.

    :param peer: routing id of the entry's socket, to which the result goes.
    """

    peer: bytes
    order: Order


class OrderTask(Task[ReceivedOrder]):
    """Executes orders one at a time and sends their results to the entries.

    This is a task of its own because calls of the store and of the engine may take long.

    :param engine: client of the engine; ``None`` if the target is a plain service, which takes no
        orders.
    :param guard: rejects orders with old fencing numbers.
    :param sink: sends the results.
    :param on_models_changed: called after each executed order with the models that the engine
        serves.
    """

    def __init__(
        self,
        engine: EngineClient | None,
        guard: FencingGuard,
        sink: MessageSink,
        on_models_changed: Callable[[tuple[str, ...]], None],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("orders", clock)
        self._engine = engine
        self._guard = guard
        self._sink = sink
        self._on_models_changed = on_models_changed
        self._metrics = metrics
        self._log = log

    def handle(self, message: ReceivedOrder) -> None:
        order = message.order
        code, detail = ResultCode.OK, ""
        try:
            self._execute(order)
        except EbonyshoreError as error:
            code, detail = error.code, str(error)
        except Exception as error:
            code, detail = ResultCode.INTERNAL, repr(error)
        self._metrics.count("orders" if code is ResultCode.OK else "orders_refused")
        self._log.event(
            "order",
            order_id=order.order_id,
            duty=order.duty,
            fencing_number=order.fencing_number,
            action=order.action,
            argument=order.argument,
            code=int(code),
        )
        self._sink.post(Outgoing(message.peer, OrderResult(order.order_id, code, detail)))

    def _execute(self, order: Order) -> None:
        if self._engine is None or order.action not in ACTIONS:
            raise TargetError(
                f"the target does not support {order.action!r}", code=ResultCode.INVALID_REQUEST
            )
        self._guard.accept(order.duty, order.fencing_number)
        engine_order = EngineOrder(order.duty, order.fencing_number, order.action, order.argument)
        self._engine.order(engine_order)
        self._on_models_changed(self._engine.models())
