"""A service of the kernel that runs a task."""

from collections.abc import Callable

from ebonyshore.frame.kernel import Service
from ebonyshore.frame.task import Task


class TaskService(Service):
    """Starts and stops a task with the kernel, under the name of the task.

    :param task: the task to run.
    :param begin_drain: called when the process begins to drain; must return at once.
    :param is_drained: returns whether the task has finished its accepted work; always true if
        omitted.
    :param dump: returns the state of the task for the state dump; empty if omitted.
    """

    def __init__(
        self,
        task: Task,
        begin_drain: Callable[[], None] | None = None,
        is_drained: Callable[[], bool] | None = None,
        dump: Callable[[], dict[str, object]] | None = None,
    ) -> None:
        self.name = task.name
        self.task = task
        self._begin_drain = begin_drain
        self._is_drained = is_drained
        self._dump = dump

    def start(self) -> None:
        self.task.start()

    def begin_drain(self) -> None:
        if self._begin_drain is not None:
            self._begin_drain()

    def is_drained(self) -> bool:
        return self._is_drained is None or self._is_drained()

    def stop(self) -> None:
        self.task.stop()

    def on_failure(self, handler: Callable[[str, BaseException], None]) -> None:
        self.task.on_failure(handler)

    def dump(self) -> dict[str, object]:
        return {} if self._dump is None else self._dump()
