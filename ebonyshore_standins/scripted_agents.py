"""Agents that answer as scripted, connected to the production agent link without sockets."""

from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.entry.agent_connection import Channel
from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import LinkMessage, UpdateInstances
from ebonyshore.entry.membership import Membership
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.link.messages import (
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Hello,
    Load,
    LoadReport,
    Ping,
    Usage,
    Welcome,
)
from ebonyshore.store.platform_api import Instance
from ebonyshore_standins.event_clock import EventClock

TOKENS = ("da ", "be ", "ki ", "lo ")


class ScriptedAgent:
    """An agent that handles dispatches as scripted.

    :param instance: the agent's entry in the instance list.
    :param script: a function for each dispatch, in order, that is called with the agent and the
        dispatch; the last function also handles all further dispatches.
    :param kind: kind of target that the agent announces.
    :ivar load: the load that the agent reports.
    :ivar dispatches: all dispatches received.
    :ivar cancels: request ids of all cancels received.
    :ivar is_silent: whether the agent neither processes nor sends messages.
    :ivar is_connected: whether the entry's messages are accepted by its channel.
    :ivar deliver: passes a message to the entry; set by the link.
    """

    def __init__(
        self,
        instance: Instance,
        clock: EventClock,
        script: list[Callable[["ScriptedAgent", Dispatch], None]],
        kind: str = "engine",
    ) -> None:
        self.instance = instance
        self.incarnation = uuid4().hex
        self.kind = kind
        self.script = script
        self.load = Load(max_running=16, step_ms=8.0)
        self.dispatches: list[Dispatch] = []
        self.cancels: list[str] = []
        self.is_silent = False
        self.is_connected = True
        self._clock = clock
        self.deliver: Callable[[Struct], None] = lambda message: None

    def reply(self, message: Struct, delay_ms: float = 0.1) -> None:
        """Send a message to the entry.

        :param delay_ms: time until it arrives; dropped if the agent is silent then.
        """
        self._clock.call_later(delay_ms, lambda: self.is_silent or self.deliver(message))

    def receive(self, message: Struct) -> None:
        """Process a message from the entry."""
        if self.is_silent:
            return
        if isinstance(message, Hello):
            names = self.instance.models
            self.reply(
                Welcome(
                    self.instance.instance_id, self.incarnation, names, 0, 0, self.load, self.kind
                )
            )
        elif isinstance(message, Ping):
            self.reply(LoadReport(self.incarnation, 0, 0, self.load, self.instance.models))
        elif isinstance(message, Dispatch):
            self.dispatches.append(message)
            step = self.script[min(len(self.dispatches), len(self.script)) - 1]
            step(self, message)
        elif isinstance(message, Cancel):
            self.cancels.append(message.request_id)


class ScriptedChannel(Channel):
    """A channel that passes messages to an agent without delay."""

    def __init__(self, agent: ScriptedAgent) -> None:
        self._agent = agent

    def send(self, message: Struct) -> bool:
        if self._agent.is_connected:
            self._agent.receive(message)
        return self._agent.is_connected

    def close(self) -> None:
        """Do nothing; the channel holds no resources."""


class ScriptedLink(AgentLink):
    """The production agent link with scripted agents in place of sockets.

    It handles messages on the thread that posts them, and its timers as events of the clock.
    """

    def __init__(
        self, membership: Membership, clock: EventClock, metrics: Metrics, log: EventLog
    ) -> None:
        fleet = FleetSettings("x" * 40, "x" * 40)
        super().__init__("entry-1", membership, lambda: 0, fleet, clock, metrics, log)
        self.agents: dict[str, ScriptedAgent] = {}
        self._event_clock = clock
        self._run_timer()

    def add(self, agent: ScriptedAgent) -> None:
        """Add an agent, as if the platform had listed its instance."""
        self.agents[agent.instance.address] = agent
        agent.deliver = lambda message: self.receive(agent.instance.instance_id, message)
        self.handle(UpdateInstances(tuple(a.instance for a in self.agents.values())))

    def post(self, message: LinkMessage) -> None:
        self.handle(message)

    def open_channel(self, address: str) -> Channel:
        return ScriptedChannel(self.agents[address])

    def _run_timer(self) -> None:
        self.on_timer()
        self._event_clock.call_at(self.next_timer_ms(), self._run_timer)


def make_stream_event(stream_id: str, token: str = "", finish_reason: str | None = None) -> bytes:
    """Return a stream event in the engine's format.

    :param stream_id: id of the stream.
    :param token: text of the event.
    :param finish_reason: set only in the last event, which also carries the usage.
    """
    choice = {"index": 0, "text": token, "finish_reason": finish_reason}
    event: dict[str, object] = {"id": stream_id, "created": 0, "choices": [choice]}
    if finish_reason:
        event["usage"] = {"prompt_tokens": 1, "completion_tokens": len(TOKENS)}
    return encode(event)


def answer_events(dispatch: Dispatch) -> list[bytes]:
    """Return the stream events of the response to a dispatch.

    For a dispatch that resumes a response, only the events after ``resume_text``.
    """
    stream_id = f"stream-{dispatch.request_id[:6]}"
    done = len(dispatch.resume_text.split())
    events = [make_stream_event(stream_id, token) for token in TOKENS[done:]]
    return [*events, make_stream_event(stream_id, "", "stop")]


def send_chunks(agent: ScriptedAgent, dispatch: Dispatch, count: int | None = None) -> int:
    """Send chunks of the response without its final message.

    :param count: number of chunks to send; all if ``None``.
    :return: number of chunks sent.
    """
    events = answer_events(dispatch)[:count]
    for sequence, event in enumerate(events):
        agent.reply(Chunk(dispatch.request_id, sequence, event), 0.1 + sequence * 0.01)
    return len(events)


def send_complete_answer(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    """Send all chunks of the response and its final message."""
    sent = send_chunks(agent, dispatch)
    agent.reply(Finished(dispatch.request_id, sent, usage=Usage(1, len(TOKENS))), 1.0)
