"""Interfaces through which simulated agents and entries of batch work use their simulation."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from random import Random

from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore.link.messages import AgentMessage
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore_standins.memory_platform import MemoryPlatform


class EntryLinkBase(ABC):
    """An entry's connections to the agents, as an agent uses them."""

    @abstractmethod
    def deliver(self, agent: object, message: AgentMessage) -> None:
        """Pass a message from an agent to the entry.

        :param agent: the sender.
        """


class BatchSimulationBase(ABC):
    """The state that simulated agents and entries share.

    :ivar now_ms: simulated time in milliseconds.
    :ivar random: source of every random choice.
    :ivar platform: the platform that all entries use.
    :ivar settings: batch settings of the entries.
    :ivar settings_tree: settings that agents and entries start with.
    :ivar agents: all simulated agents.
    :ivar scheduled_actions: pairs of a time and an action to run at that time, such as a delayed
        write or the end of a fault.
    :ivar events: number of faults and of their effects so far, by kind.
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
        """Advance the simulation for a time while one process is blocked.

        :param blocked_process: the entry that waits; ``None`` if all run.
        """

    @abstractmethod
    def record_item_start(self, trace_id: str) -> None:
        """Record that an agent has started an item.

        :param trace_id: trace id of the item's dispatch.
        """
