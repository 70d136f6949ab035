"""Runs the kernel of a daemon process until a stop is requested."""

import signal
from collections.abc import Callable
from threading import Event
from traceback import format_exception

from ebonyshore.frame.environment import Environment
from ebonyshore.frame.kernel import Kernel
from ebonyshore.frame.result_codes import ResultCode


class Daemon:
    """A process that drains its work before it stops.

    :param environment: shared objects of the process; closed when the daemon stops.
    :param kernel: kernel with all services of the process registered.
    """

    def __init__(self, environment: Environment, kernel: Kernel) -> None:
        self._environment = environment
        self._kernel = kernel
        self._stop_requested = Event()
        self._has_failed = False

    def request_stop(self) -> None:
        """Make :meth:`run` drain and stop; safe to call from any thread and signal handler."""
        self._stop_requested.set()

    def run(self) -> ResultCode:
        """Run until :meth:`request_stop` is called or a task fails, then drain and stop.

        :return: ``INTERNAL`` if a task failed, ``STREAM_BROKEN`` if work was left when
            ``drain.bound_ms`` had passed, otherwise ``OK``.
        """
        environment = self._environment
        environment.open_log()
        self._kernel.on_failure(self._stop_on_failure)
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
        """Wait for running work, or not at all if a task has failed.

        :return: whether all work has ended.
        """
        environment = self._environment
        environment.log.event("drain_started")
        limit_ms = 0 if self._has_failed else environment.settings.drain.bound_ms
        is_drained = self._kernel.drain(limit_ms)
        environment.log.event("process_stopping", is_drained=is_drained)
        return is_drained

    def _stop_on_failure(self, name: str, error: BaseException) -> None:
        """Stop the process, since nothing maintains the state of a failed task any more."""
        trace = "".join(format_exception(error))
        self._environment.log.event("task_failed", task=name, trace=trace)
        self._has_failed = True
        self.request_stop()


def stop_on_signals(request_stop: Callable[[], None]) -> None:
    """Call ``request_stop`` on SIGTERM and SIGINT; must be called from the main thread."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: request_stop())
