"""An event loop on a separate thread, for stand-ins that serve while a test or the soak runs."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, TypeVar

START_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0  # for the tasks that run when the loop is stopped

ResultT = TypeVar("ResultT")


class LoopThread:
    """An event loop that runs on its own thread from :meth:`start` to :meth:`stop`.

    Other threads may use the loop only through these methods.
    """

    __slots__ = ("_loop", "_thread")

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self, startup: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Start the thread, run a coroutine on its loop and return the coroutine's result.

        :param startup: the first coroutine of the loop, for example one that opens a server.
        :raises TimeoutError: if the coroutine does not end within :data:`START_TIMEOUT_S`.
        """
        self._thread.start()
        return asyncio.run_coroutine_threadsafe(startup, self._loop).result(START_TIMEOUT_S)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Schedule a call of a function on the loop, without waiting for it."""
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """Cancel all tasks of the loop and wait at most :data:`STOP_TIMEOUT_S` for the thread."""
        self.call_soon(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self._loop.run_until_complete(asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S))
        self._loop.run_until_complete(asyncio.sleep(0))  # connections that were closed end here
        self._loop.close()
