"""Bounds the memory of the answers that a runner is receiving for its items. No I/O.

Each answer is bounded, but many targets may send answers without end at the same time. When the sum
reaches the limit, the runs that began last are given up, so that the others can end and make room.
"""

from abc import ABC, abstractmethod

START_BELOW = 0.5  # part of the limit up to which further runs may start


class OutputHolder(ABC):
    """A run that receives an answer."""

    @abstractmethod
    def give_up(self) -> None:
        """Drop what the run has received, and let it end soon; must return at once."""


class OutputBudget:
    """The memory that the answers to all running items may take. For one event loop.

    :param limit_bytes: limit of the sum. A single run is not given up, whatever it holds.
    """

    __slots__ = ("_held_bytes", "_limit_bytes", "_total_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes: dict[OutputHolder, int] = {}  # in the order in which the runs began
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Memory of all answers that are being received."""
        return self._total_bytes

    @property
    def may_start(self) -> bool:
        """Whether there is room for the answers of further runs."""
        return self._total_bytes < self._limit_bytes * START_BELOW

    def begin(self, run: OutputHolder, held_bytes: int = 0) -> None:
        """Include a run.

        :param held_bytes: what it holds of earlier runs of the same item.
        """
        self._held_bytes[run] = 0
        self.update(run, held_bytes)

    def update(self, run: OutputHolder, held_bytes: int) -> None:
        """Set what a run holds, and give up runs if the sum is over the limit.

        Does nothing for a run that has ended or was given up.
        """
        if run not in self._held_bytes:
            return
        self._total_bytes += held_bytes - self._held_bytes[run]
        self._held_bytes[run] = held_bytes
        if self._total_bytes > self._limit_bytes:
            self._make_room()

    def end(self, run: OutputHolder) -> None:
        """Leave out a run that has ended."""
        self._total_bytes -= self._held_bytes.pop(run, 0)

    def _make_room(self) -> None:
        for run in list(reversed(self._held_bytes))[:-1]:
            if self._total_bytes <= self._limit_bytes:
                return
            if self._held_bytes[run]:
                self.end(run)
                run.give_up()
