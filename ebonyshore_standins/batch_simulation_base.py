"""What the parts of the simulated batch world see of the world that holds them."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from random import Random

from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore.link.messages import AgentMessage
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore_standins.memory_platform import MemoryPlatform


class EntryLinkBase(ABC):
    """An entry's connections to the agents, as an agent sees them."""

    @abstractmethod
    def deliver(self, agent: object, message: AgentMessage) -> None:
        """Pass an agent's message to the entry."""


class BatchSimulationBase(ABC):
    """Time, chance, the platform, and what has happened.

    :ivar now_ms: the world's time.
    :ivar agents: all simulated agents.
    :ivar scheduled_actions: writes that take effect at a later time.
    :ivar events: faults so far, by kind.
    """

    now_ms: float
    random: Random
    platform: MemoryPlatform
    settings: BatchSettings
    settings_tree: SettingsTree
    agents: list
    scheduled_actions: list[tuple[float, Callable[[], None]]]
    events: Counter[str]

    @abstractmethod
    def run_while_blocked(self, blocked_process: object, duration_ms: float) -> None:
        """Let all others go on for a time."""

    @abstractmethod
    def record_item_start(self, trace_id: str) -> None:
        """Take that an item has started."""
