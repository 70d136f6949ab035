"""Runs a process from its kernel until it is told to stop."""

import signal
from collections.abc import Callable
from threading import Event
from traceback import format_exception

from ebonyshore.frame.environment import Environment
from ebonyshore.frame.kernel import Kernel
from ebonyshore.frame.result_codes import ResultCode


class Daemon:
    """A process with a planned stop.

    :param environment: of the process.
    :param kernel: its services.
    """

    def __init__(self, environment: Environment, kernel: Kernel) -> None:
        self._environment = environment
        self._kernel = kernel
        self._stop_requested = Event()
        self._has_failed = False

    def request_stop(self) -> None:
        """Begin a planned stop; safe to call from any thread or a signal handler."""
        self._stop_requested.set()

    def run(self) -> ResultCode:
        """Run until :meth:`request_stop`, then drain and stop.

        :return: ``STREAM_BROKEN`` if work was left at the drain bound, ``INTERNAL`` if a task
            failed.
        """
        environment = self._environment
        environment.open_log()
        self._kernel.on_failure(self._fail)
        try:
            self._kernel.start()
            environment.log.event("process_started", incarnation=environment.incarnation)
            self._stop_requested.wait()
            is_drained = self._drain()
            self._kernel.stop()
        finally:
            environment.close()
        if self._has_failed:
            return ResultCode.INTERNAL
        return ResultCode.OK if is_drained else ResultCode.STREAM_BROKEN

    def _drain(self) -> bool:
        """Wait for running work; a process with a failed task stops at once."""
        environment = self._environment
        environment.log.event("drain_started")
        bound_ms = 0 if self._has_failed else environment.settings.drain.bound_ms
        is_drained = self._kernel.drain(bound_ms)
        environment.log.event("process_stopping", is_drained=is_drained)
        return is_drained

    def _fail(self, name: str, error: BaseException) -> None:
        """Stop the process; a task that has ended leaves its state unattended."""
        trace = "".join(format_exception(error))
        self._environment.log.event("task_failed", task=name, trace=trace)
        self._has_failed = True
        self.request_stop()


def stop_on_signals(request_stop: Callable[[], None]) -> None:
    """Begin a planned stop on SIGTERM and SIGINT; call from the main thread."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: request_stop())
