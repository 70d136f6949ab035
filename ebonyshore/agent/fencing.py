"""Orders to the engine: the highest fencing number of each duty, and the task that applies it."""

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
    """Stored under ``fencing/<agent id>``.

    :param numbers: highest number accepted, by duty.
    """

    numbers: dict[str, int] = {}


class FencingGuard:
    """Accepts an order only if no higher number of its duty was accepted before.

    The number is stored before the order is carried out, so a restarted agent, or a second one
    that was started for the same target by mistake, refuses what the first would have refused.

    :param agent_id: names the record.
    """

    __slots__ = ("_key", "_numbers", "_store")

    def __init__(self, store: MarkedStore, agent_id: str) -> None:
        self._store = store
        self._key = f"fencing/{agent_id}"
        self._numbers: dict[str, int] | None = None

    def accept(self, duty: str, number: int) -> None:
        """Accept a number.

        :raises FencedError: a higher one was accepted.
        :raises StoreError: the number could not be read or stored.
        """
        if self._numbers is None or number > self._numbers.get(duty, 0):
            self._accept_in_store(duty, number)
        if number < self._numbers.get(duty, 0):
            raise FencedError(f"{duty}: {number} is lower than {self._numbers[duty]}")

    def _accept_in_store(self, duty: str, number: int) -> None:
        def raise_number(record: FencingRecord | None) -> FencingRecord | None:
            numbers = record.numbers if record else {}
            if number <= numbers.get(duty, 0):
                return None
            return FencingRecord({**numbers, duty: number})

        stored = self._store.update(self._key, FencingRecord, raise_number)
        self._numbers = dict(stored.body.numbers) if stored else {}


class ReceivedOrder(Struct, frozen=True):
    """An order from an entry."""

    peer: bytes
    order: Order


class OrderTask(Task[ReceivedOrder]):
    """Carries out orders one by one; both store and engine may take long.

    :param engine: ``None`` if the target is a plain service, which takes no orders.
    :param on_models: called with the models that the engine serves after an order.
    """

    def __init__(
        self,
        engine: EngineClient | None,
        guard: FencingGuard,
        sink: MessageSink,
        on_models: Callable[[tuple[str, ...]], None],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("orders", clock)
        self._engine = engine
        self._guard = guard
        self._sink = sink
        self._on_models = on_models
        self._metrics = metrics
        self._log = log

    def handle(self, message: ReceivedOrder) -> None:
        order = message.order
        code, detail = ResultCode.OK, ""
        try:
            self._carry_out(order)
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

    def _carry_out(self, order: Order) -> None:
        if self._engine is None or order.action not in ACTIONS:
            raise TargetError(
                f"the target takes no order {order.action!r}", code=ResultCode.INVALID_REQUEST
            )
        self._guard.accept(order.duty, order.fencing_number)
        engine_order = EngineOrder(order.duty, order.fencing_number, order.action, order.argument)
        self._engine.order(engine_order)
        self._on_models(self._engine.models())
