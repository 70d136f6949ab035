"""Messages to the task that owns the connections to the agents."""

from msgspec import Struct

from ebonyshore.entry.agent_connection import RequestSink
from ebonyshore.link.messages import Dispatch
from ebonyshore.store.platform_api import Instance


class UpdateInstances(Struct, frozen=True):
    """The platform's instance list was read."""

    instances: tuple[Instance, ...]


class SendDispatch(Struct, frozen=True):
    """Dispatch a request to a target.

    :param dispatch: with an empty incarnation it is meant for the agent's current run.
    :param deadline_ms: monotonic time of the entry's clock after which nothing is sent.
    """

    target_id: str
    dispatch: Dispatch
    sink: RequestSink
    deadline_ms: float = float("inf")


class SendCancel(Struct, frozen=True):
    """Cancel a dispatched request."""

    target_id: str
    request_id: str


class SendToAgent(Struct, frozen=True):
    """Send any message to one agent, connecting if needed."""

    target_id: str
    message: Struct


class SendToAllAgents(Struct, frozen=True):
    """Send a message to every connected agent."""

    message: Struct


LinkMessage = UpdateInstances | SendDispatch | SendCancel | SendToAgent | SendToAllAgents
