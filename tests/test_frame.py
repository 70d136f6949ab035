"""Tests of tasks, mailboxes, log lines and the kernel of daemon processes."""

from threading import Event

import pytest

from ebonyshore.frame.clock import ManualClock, SystemClock
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.kernel import Kernel, Service
from ebonyshore.frame.logs import format_line
from ebonyshore.frame.task import Mailbox, Task

WAIT_S = 5


class RecordingService(Service):
    """Appends each call of the kernel to ``calls``.

    :param fails: whether :meth:`start` raises.
    """

    def __init__(self, name: str, calls: list[str], fails: bool = False) -> None:
        self.name = name
        self.calls = calls
        self.fails = fails

    def start(self) -> None:
        if self.fails:
            raise EbonyshoreError("cannot start")
        self.calls.append(f"start {self.name}")

    def begin_drain(self) -> None:
        self.calls.append(f"drain {self.name}")

    def stop(self) -> None:
        self.calls.append(f"stop {self.name}")


class Counter(Task[int]):
    """Sums its messages and counts its timer, which is due every second."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__("counter", clock)
        self.total = 0
        self.ticks = 0
        self.due_ms = clock.monotonic_ms() + 1_000
        self.changed = Event()

    def handle(self, message: int) -> None:
        self.total += message
        self.changed.set()

    def next_timer_ms(self) -> float:
        return self.due_ms

    def on_timer(self) -> None:
        self.ticks += 1
        self.due_ms += 1_000
        self.changed.set()


def test_services_start_in_order_and_stop_in_reverse() -> None:
    calls: list[str] = []
    kernel = Kernel(SystemClock())
    for name in ("a", "b"):
        kernel.register(RecordingService(name, calls))
    kernel.start()
    assert kernel.drain(1_000)
    kernel.stop()
    assert calls == ["start a", "start b", "drain b", "drain a", "stop b", "stop a"]


def test_failed_start_stops_the_services_already_started() -> None:
    calls: list[str] = []
    kernel = Kernel(SystemClock())
    kernel.register(RecordingService("a", calls))
    kernel.register(RecordingService("b", calls, fails=True))
    with pytest.raises(EbonyshoreError):
        kernel.start()
    assert calls == ["start a", "stop a"]


def test_services_are_found_by_name_and_type() -> None:
    kernel = Kernel(SystemClock())
    service = RecordingService("a", [])
    kernel.register(service)
    assert kernel.find("a", RecordingService) is service
    with pytest.raises(EbonyshoreError):
        kernel.find("b", RecordingService)
    with pytest.raises(EbonyshoreError):
        kernel.register(RecordingService("a", []))


def test_task_handles_messages_and_timers(clock: ManualClock) -> None:
    task = Counter(clock)
    task.start()
    task.post(2)
    task.post(3)
    assert task.changed.wait(WAIT_S)
    task.changed.clear()
    while not task.changed.wait(0.01):
        clock.advance_ms(1_000)
    task.stop()
    assert (task.total, task.ticks >= 1) == (5, True)


def test_failed_task_is_reported() -> None:
    """Guards against a task that ends unnoticed, after which nothing maintains its state."""

    class FailingCounter(Counter):
        def handle(self, message: int) -> None:
            raise EbonyshoreError("broken")

    task = FailingCounter(ManualClock())
    failures: list[str] = []
    reported = Event()
    task.on_failure(lambda name, error: (failures.append(f"{name}: {error}"), reported.set()))
    task.start()
    task.post(1)
    assert reported.wait(WAIT_S)
    task.stop()
    assert failures == ["counter: internal error: broken"]


def test_mailbox_is_first_in_first_out_and_times_out(clock: ManualClock) -> None:
    mailbox: Mailbox[int] = Mailbox(clock)
    for number in range(3):
        mailbox.post(number)
    assert [mailbox.take(0.0) for _ in range(4)] == [0, 1, 2, None]


def test_log_values_are_escaped() -> None:
    """Guards against values that contain a line break or a text that reads as another field."""
    line = format_line(5, "refused", {"detail": 'a "b"\nevent=forged', "code": 31, "wait_ms": 1.5})
    assert line == r'time_ms=5 event=refused detail="a \"b\"\nevent=forged" code=31 wait_ms=1.500'
