"""Tests of the kernel of processes that run on an event loop."""

import asyncio
import os
import signal

import pytest

from ebonyshore.frame.async_kernel import AsyncKernel, AsyncService, run_until_signal
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway import front_server
from ebonyshore.runner import job_api

DRAIN_LIMIT_MS = 60.0
SERVICE_MODULES = (front_server, job_api)  # loaded, so that their services are found


class RecordingLog:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def event_names(self):
        return [name for name, _ in self.events]


class Worker(AsyncService):
    """A service with one task.

    :param work: coroutine function that the task runs.
    :param is_drained: whether the service has no accepted work left when the process drains.
    """

    def __init__(self, name, work, is_drained=True):
        self.name = name
        self.is_stopped = False
        self._work = work
        self._is_drained = is_drained

    async def start(self):
        self.spawn(self._work())

    def is_drained(self):
        return self._is_drained

    async def stop(self):
        await super().stop()
        self.is_stopped = True


async def raise_error():
    raise ValueError("broken task")


async def send_sigterm():
    os.kill(os.getpid(), signal.SIGTERM)


def run_process(*workers):
    log, kernel = RecordingLog(), AsyncKernel()
    for worker in workers:
        kernel.register(worker)
    code = asyncio.run(
        asyncio.wait_for(run_until_signal(kernel, log, DRAIN_LIMIT_MS, lambda: None), 5)
    )
    return code, log


def test_failed_task_is_logged_and_stops_the_process():
    """Guards against a process that keeps running after one of its tasks has ended unnoticed, such
    as a probe, the load reports or a watch."""
    other = Worker("other", lambda: asyncio.sleep(60), is_drained=False)
    code, log = run_process(Worker("broken", raise_error), other)
    assert code is ResultCode.INTERNAL and other.is_stopped
    failure = dict(log.events)["task_failed"]
    assert failure["task"] == "broken" and "broken task" in failure["trace"]


@pytest.mark.parametrize(
    "is_drained, code", [(True, ResultCode.OK), (False, ResultCode.STREAM_BROKEN)]
)
def test_sigterm_drains_and_stops_the_process(is_drained, code):
    worker = Worker("worker", send_sigterm, is_drained)
    result, log = run_process(worker)
    assert result is code and worker.is_stopped
    assert log.event_names() == ["process_started", "drain_started", "process_stopping"]


def test_services_are_found_by_name_and_type():
    kernel = AsyncKernel()
    worker = Worker("worker", raise_error)
    kernel.register(worker)
    assert kernel.find("worker", Worker) is worker
    assert kernel.dump() == {"worker": {}}
    for name, kind in (("other", Worker), ("worker", str)):
        with pytest.raises(EbonyshoreError):
            kernel.find(name, kind)
    with pytest.raises(EbonyshoreError):
        kernel.register(Worker("worker", raise_error))


def service_classes(parent=AsyncService):
    for service_class in parent.__subclasses__():
        yield service_class
        yield from service_classes(service_class)


def test_no_service_hides_how_its_failed_tasks_are_reported():
    """Guards against a process that goes on without a task that it needs: the runner's API had a
    method of that name for something else."""
    names = {
        service_class.name for service_class in service_classes() if "name" in vars(service_class)
    }
    assert {"front", "job_api", "readiness"} <= names
    own = ("_report_failure", "spawn", "on_failure")
    hidden = [
        (service_class.__name__, name)
        for service_class in service_classes()
        for name in own
        if name in vars(service_class)
    ]
    assert hidden == []
