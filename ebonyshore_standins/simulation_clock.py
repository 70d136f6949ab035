"""The clocks of the processes in a simulation of batch work."""

from ebonyshore.frame.clock import Clock
from ebonyshore_standins.batch_simulation_base import BatchSimulationBase


class SimulationClock(Clock):
    """The clock of one process of the simulation; the other processes run on during a sleep.

    :param entry: the process that sleeps; ``None`` if a sleep blocks no process.
    :param offset_ms: added to simulated time for monotonic time, as it differs between processes.
    """

    __slots__ = ("_offset_ms", "_entry", "_process_number", "_simulation")

    def __init__(
        self, simulation: BatchSimulationBase, entry: object, offset_ms: float = 0.0
    ) -> None:
        self._simulation = simulation
        self._entry = entry
        self._offset_ms = offset_ms
        self._process_number = getattr(entry, "process_number", 0)

    def monotonic_ms(self) -> float:
        return self._simulation.now_ms + self._offset_ms

    def wall_ms(self) -> int:
        return int(self._simulation.now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        self._simulation.run_while_blocked(self._entry, duration_ms)
        if self._entry is not None:
            self._entry.raise_if_killed(self._process_number)

    def wait(self, condition, timeout_ms: float | None) -> bool:
        return False
