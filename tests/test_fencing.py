"""Orders to an engine."""

import pytest

from ebonyshore.agent.fencing import FencingGuard, OrderTask, ReceivedOrder
from ebonyshore.agent.target_client import EngineClient, EngineOrder
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import FencedError, StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import Order
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults

NO_SETTLE_MS = 0.0


class CarelessEngine:
    """An engine that ignores fencing numbers."""

    def __init__(self) -> None:
        self.orders: list[EngineOrder] = []

    def order(self, order: EngineOrder) -> None:
        self.orders.append(order)

    def models(self) -> tuple[str, ...]:
        return tuple(order.argument for order in self.orders)


def make_guard(platform: MemoryPlatform) -> FencingGuard:
    return FencingGuard(MarkedStore(platform, SystemClock(), NO_SETTLE_MS), "target-1")


def test_lower_number_is_refused_per_duty(platform: MemoryPlatform) -> None:
    guard = make_guard(platform)
    guard.accept("placement", 5)
    guard.accept("placement", 5)
    guard.accept("cleanup", 2)
    with pytest.raises(FencedError):
        guard.accept("placement", 4)


def test_number_survives_a_restart(platform: MemoryPlatform) -> None:
    make_guard(platform).accept("placement", 5)
    with pytest.raises(FencedError):
        make_guard(platform).accept("placement", 4)


def test_restarted_agent_takes_no_order_while_the_store_is_down(platform: MemoryPlatform) -> None:
    make_guard(platform).accept("placement", 5)
    restarted = make_guard(platform)
    platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(StoreError):
        restarted.accept("placement", 6)
    platform.set_faults(PlatformFaults())
    with pytest.raises(FencedError):
        restarted.accept("placement", 4)


def test_two_agents_of_one_target_share_the_number(platform: MemoryPlatform) -> None:
    """Guards against an agent started twice, of which one has not seen the newest number."""
    first, second = make_guard(platform), make_guard(platform)
    first.accept("placement", 5)
    second.accept("placement", 7)
    with pytest.raises(FencedError):
        first.accept("placement", 6)


def test_lost_answer_of_the_stored_number(platform: MemoryPlatform) -> None:
    guard = FencingGuard(MarkedStore(platform, SystemClock()), "target-1")
    platform.faults.lose_next_answers = 1
    guard.accept("placement", 5)
    with pytest.raises(FencedError):
        guard.accept("placement", 4)


def test_engine_that_ignores_numbers_is_covered(platform: MemoryPlatform) -> None:
    engine, answers, models = CarelessEngine(), [], []
    EngineClient.register(CarelessEngine)
    task = OrderTask(
        engine,
        make_guard(platform),
        type("Sink", (), {"post": staticmethod(answers.append)}),
        models.append,
        SystemClock(),
        Metrics(),
        EventLog(),
    )
    for number, model in ((5, "new"), (4, "old")):
        task.handle(ReceivedOrder(b"p", Order(f"o{number}", "placement", number, "load", model)))
    assert [order.argument for order in engine.orders] == ["new"]
    assert [answer.message.code for answer in answers] == [ResultCode.OK, ResultCode.FENCED]
    assert models == [("new",)]
