"""Processes on the event loop: what happens when one of their tasks fails."""

import asyncio
import os
import signal

import pytest

from ebonyshore.frame.async_kernel import AsyncKernel, AsyncService, run_until_signal
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode

BOUND_MS = 60.0


class Log:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def names(self):
        return [name for name, _ in self.events]


class Worker(AsyncService):
    """Runs one piece of work.

    :param is_drained_at_once: whether nothing is left when the process drains.
    """

    def __init__(self, name, work, is_drained_at_once=True):
        self.name = name
        self.is_stopped = False
        self._work = work
        self._is_drained_at_once = is_drained_at_once

    async def start(self):
        self.spawn(self._work())

    def is_drained(self):
        return self._is_drained_at_once

    async def stop(self):
        await super().stop()
        self.is_stopped = True


async def fail():
    raise ValueError("broken task")


async def stop_process():
    os.kill(os.getpid(), signal.SIGTERM)


def run(*workers):
    log, kernel = Log(), AsyncKernel()
    for worker in workers:
        kernel.register(worker)
    code = asyncio.run(asyncio.wait_for(run_until_signal(kernel, log, BOUND_MS, lambda: None), 5))
    return code, log


def test_a_failed_task_is_logged_and_ends_the_process():
    """Guards against a process that goes on without one of its tasks: a probe, a report of loads or
    a watch that has ended unnoticed."""
    other = Worker("other", lambda: asyncio.sleep(60), is_drained_at_once=False)
    code, log = run(Worker("broken", fail), other)
    assert code is ResultCode.INTERNAL and other.is_stopped
    failure = dict(log.events)["task_failed"]
    assert failure["task"] == "broken" and "broken task" in failure["trace"]


@pytest.mark.parametrize(
    "is_drained, code", [(True, ResultCode.OK), (False, ResultCode.STREAM_BROKEN)]
)
def test_a_signal_drains_and_stops(is_drained, code):
    worker = Worker("worker", stop_process, is_drained)
    result, log = run(worker)
    assert result is code and worker.is_stopped
    assert log.names() == ["process_started", "drain_started", "process_stopping"]


def test_services_are_found_by_name_and_kind():
    kernel = AsyncKernel()
    worker = Worker("worker", fail)
    kernel.register(worker)
    assert kernel.find("worker", Worker) is worker
    assert kernel.dump() == {"worker": {}}
    for name, kind in (("other", Worker), ("worker", str)):
        with pytest.raises(EbonyshoreError):
            kernel.find(name, kind)
    with pytest.raises(EbonyshoreError):
        kernel.register(Worker("worker", fail))
