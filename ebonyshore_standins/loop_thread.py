"""An event loop on a thread of its own, for stand-ins that run beside a test or the soak."""

import asyncio
from collections.abc import Callable, Coroutine
from threading import Thread
from typing import Any, TypeVar

START_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0

ResultT = TypeVar("ResultT")


class LoopThread:
    """Runs from :meth:`start` to :meth:`stop`; other threads use it through these methods only."""

    __slots__ = ("_loop", "_thread")

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self, startup: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Start the thread and return the result of a first coroutine on its loop.

        :raises TimeoutError: if it does not end within :data:`START_TIMEOUT_S`.
        """
        self._thread.start()
        return asyncio.run_coroutine_threadsafe(startup, self._loop).result(START_TIMEOUT_S)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Call a function on the loop soon."""
        self._loop.call_soon_threadsafe(function)

    def stop(self) -> None:
        """Cancel all tasks of the loop and end the thread."""
        self.call_soon(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()
