"""Messages to the agent link, the task that owns the connections to the agents."""

from msgspec import Struct

from ebonyshore.entry.agent_connection import RequestSink
from ebonyshore.link.messages import Dispatch
from ebonyshore.store.platform_api import Instance


class UpdateInstances(Struct, frozen=True):
    """Replace the list of known instances."""

    instances: tuple[Instance, ...]


class SendDispatch(Struct, frozen=True):
    """Dispatch a request to a target, connecting to its agent if needed.

    :param dispatch: an empty incarnation addresses the agent's current incarnation; a request
        for any other one is refused.
    :param sink: receives the messages that answer the dispatch.
    :param deadline_ms: monotonic time of the entry's clock after which the request is not sent;
        without it, the time left in ``dispatch`` counts from when the dispatch is sent.
    """

    target_id: str
    dispatch: Dispatch
    sink: RequestSink
    deadline_ms: float = float("inf")


class SendCancel(Struct, frozen=True):
    """Cancel a request that was sent with :class:`SendDispatch`."""

    target_id: str
    request_id: str


class SendToAgent(Struct, frozen=True):
    """Send a message to one agent, connecting to it if needed."""

    target_id: str
    message: Struct


class SendToAllAgents(Struct, frozen=True):
    """Send a message to all connected agents."""

    message: Struct


LinkMessage = UpdateInstances | SendDispatch | SendCancel | SendToAgent | SendToAllAgents
