"""Agents that answer by a script, joined to the real agent link without sockets."""

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
    """One agent.

    :param script: called with the agent and each dispatch, in order; the last one is repeated.
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
        """Send a message to the entry after a delay."""
        self._clock.call_later(delay_ms, lambda: self.is_silent or self.deliver(message))

    def receive(self, message: Struct) -> None:
        """Process a message of the entry."""
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
    """Hands the entry's messages to an agent."""

    def __init__(self, agent: ScriptedAgent) -> None:
        self._agent = agent

    def send(self, message: Struct) -> bool:
        if self._agent.is_connected:
            self._agent.receive(message)
        return self._agent.is_connected

    def close(self) -> None:
        """Nothing is open."""


class ScriptedLink(AgentLink):
    """The real link, on the caller's thread and with scripted agents in place of sockets."""

    def __init__(
        self, membership: Membership, clock: EventClock, metrics: Metrics, log: EventLog
    ) -> None:
        fleet = FleetSettings("x" * 40, "x" * 40)
        super().__init__("entry-1", membership, lambda: 0, fleet, clock, metrics, log)
        self.agents: dict[str, ScriptedAgent] = {}
        self._event_clock = clock
        self._tick()

    def add(self, agent: ScriptedAgent) -> None:
        """Add an agent and list it."""
        self.agents[agent.instance.address] = agent
        agent.deliver = lambda message: self.receive(agent.instance.instance_id, message)
        self.handle(UpdateInstances(tuple(a.instance for a in self.agents.values())))

    def post(self, message: LinkMessage) -> None:
        self.handle(message)

    def open_channel(self, address: str) -> Channel:
        return ScriptedChannel(self.agents[address])

    def _tick(self) -> None:
        self.on_timer()
        self._event_clock.call_at(self.next_timer_ms(), self._tick)


def make_stream_event(stream_id: str, token: str = "", finish_reason: str | None = None) -> bytes:
    """Return one stream event as an engine sends it."""
    choice = {"index": 0, "text": token, "finish_reason": finish_reason}
    event: dict[str, object] = {"id": stream_id, "created": 0, "choices": [choice]}
    if finish_reason:
        event["usage"] = {"prompt_tokens": 1, "completion_tokens": len(TOKENS)}
    return encode(event)


def answer_events(dispatch: Dispatch) -> list[bytes]:
    """Return the events of the whole answer, or of its rest if the dispatch resumes one."""
    stream_id = f"stream-{dispatch.request_id[:6]}"
    done = len(dispatch.resume_text.split())
    events = [make_stream_event(stream_id, token) for token in TOKENS[done:]]
    return [*events, make_stream_event(stream_id, "", "stop")]


def send_chunks(agent: ScriptedAgent, dispatch: Dispatch, count: int | None = None) -> int:
    """Send the first ``count`` chunks of the answer, or all; return how many."""
    events = answer_events(dispatch)[:count]
    for sequence, event in enumerate(events):
        agent.reply(Chunk(dispatch.request_id, sequence, event), 0.1 + sequence * 0.01)
    return len(events)


def send_complete_answer(agent: ScriptedAgent, dispatch: Dispatch) -> None:
    """Answer as a healthy agent does."""
    sent = send_chunks(agent, dispatch)
    agent.reply(Finished(dispatch.request_id, sent, usage=Usage(1, len(TOKENS))), 1.0)
