"""Several simulated agents and entries with the real link, routing, admission and suspicion code.

Messages take a random time of about a network hop; an agent can die together with its target.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.agent.agent_server import Broadcast, Outgoing
from ebonyshore.entry.agent_connection import Channel
from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.link_messages import (
    SendDispatch,
    SendToAgent,
    SendToAllAgents,
    UpdateInstances,
)
from ebonyshore.entry.membership import Membership
from ebonyshore.entry.routing import Router, RouteRequest
from ebonyshore.entry.suspicion_relay import SuspicionRelay
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import FleetSettings
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import (
    Chunk,
    Dispatch,
    Failed,
    Finished,
    Hello,
    LoadReport,
    Ping,
    RequestMessage,
    Welcome,
    WorkClass,
)
from ebonyshore.store.platform_api import Instance
from ebonyshore_standins.engine_model import EngineParameters
from ebonyshore_standins.simulated_agent import Prompt, SimulatedAgent, Simulation

MODEL = "m"
RETRY_PAUSE_MS = 300.0
AGENT_RESTART_MS = 800.0
EXPIRY_MS = 600_000.0
LINK_CHECK_MS = 100.0


class CallerRequest(Struct):
    """A request as its caller sees it; ``code`` is set at the end.

    :param attempts: dispatches that reached an agent or were refused.
    """

    request_id: str
    content: str
    max_tokens: int
    attempts: int = 0
    code: ResultCode | None = None


class AgentHost:
    """An instance with a target and its agent, which may die together."""

    def __init__(self, world: "SimulatedFleet", agent_id: str, dies_with_target: bool) -> None:
        self._world = world
        self.agent_id = agent_id
        self.dies_with_target = dies_with_target
        self.crashes = 0
        self.links: dict[bytes, FleetEntry] = {}
        self.agent = self._make_agent()

    def receive(self, entry: "FleetEntry", message: Struct) -> None:
        """Take a message of an entry, as the agent server does."""
        if self.agent is None:
            return
        peer = entry.name.encode()
        self.links[peer] = entry
        if isinstance(message, Hello):
            self._send(peer, self._welcome())
            self.agent.receive_from(peer, message)
        elif isinstance(message, Ping):
            self._send(peer, self._report())
        else:
            self.agent.receive_from(peer, message)

    def handle_target_crash(self) -> None:
        """Called when the target has crashed."""
        self.crashes += 1
        if not self.dies_with_target:
            return
        self.agent.kill()
        self.agent = None
        self._world.simulation.call_later(AGENT_RESTART_MS, self._restart)

    def _restart(self) -> None:
        self.agent = self._make_agent()

    def _make_agent(self) -> SimulatedAgent:
        self.links = {}
        agent = SimulatedAgent(
            self._world.simulation,
            lambda message: self._pass_on(agent, message),
            self.agent_id,
            {"suspicion_expiry_ms": EXPIRY_MS},
            self._world.parameters,
        )
        agent.target.on_crash = self.handle_target_crash
        return agent

    def _pass_on(self, sender: SimulatedAgent, message: Outgoing | Broadcast) -> None:
        if sender is not self.agent:
            return
        peers = [message.peer] if isinstance(message, Outgoing) else list(self.links)
        for peer in peers:
            self._send(peer, message.message)

    def _send(self, peer: bytes, message: Struct) -> None:
        entry = self.links[peer]
        self._world.deliver((self, peer), lambda: entry.link.receive(self.agent_id, message))

    def _welcome(self) -> Welcome:
        report = self._report()
        return Welcome(
            self.agent_id, report.incarnation, (MODEL,), 1, report.tick_ms, report.load, "engine"
        )

    def _report(self) -> LoadReport:
        now_ms = self._world.simulation.clock.monotonic_ms()
        load = self.agent.status.load
        return LoadReport(self.agent.incarnation, 1, now_ms, load, (MODEL,))


@dataclass(slots=True)
class SimulatedChannel(Channel):
    """The way from one entry to one agent; keeps the order of messages."""

    entry: "FleetEntry"
    host: AgentHost

    def send(self, message: Struct) -> bool:
        if self.host.agent is None:
            return False
        self.entry.fleet.deliver(self, lambda: self.host.receive(self.entry, message))
        return True

    def close(self) -> None:
        """Nothing to close."""


class SimulatedAgentLink(AgentLink):
    """The real link on simulated channels."""

    entry: "FleetEntry"

    def open_channel(self, address: str) -> Channel:
        return SimulatedChannel(self.entry, self.entry.fleet.hosts[address])


class AttemptSink:
    """Receives the messages of one dispatch."""

    def __init__(self, entry: "FleetEntry", caller: CallerRequest, target_id: str) -> None:
        self._entry = entry
        self._caller = caller
        self._target_id = target_id

    def post(self, message: RequestMessage) -> None:
        """Take a message of the dispatch."""
        if not isinstance(message, Chunk):
            self._entry.handle_outcome(self._caller, self._target_id, message)


class FleetEntry:
    """An entry: link, routing, crash news, and a caller that sends again until an outcome."""

    def __init__(self, world: "SimulatedFleet", name: str) -> None:
        self.fleet = world
        self.name = name
        self._membership = Membership()
        self._router = Router("a")
        clock, metrics, log = world.simulation.clock, Metrics(), EventLog()
        fleet = FleetSettings("x" * 40, "x" * 40)
        self.link = SimulatedAgentLink(
            name, self._membership, lambda: 1, fleet, clock, metrics, log
        )
        self.link.entry = self
        self.suspicion_relay = SuspicionRelay(
            lambda target_id, share: self.link.handle(SendToAgent(target_id, share)),
            lambda message: self.link.handle(SendToAllAgents(message)),
            lambda: EXPIRY_MS,
            clock,
        )
        self.suspicion_relay.attach(self.link)
        self.link.handle(UpdateInstances(tuple(world.list_instances())))
        self._check()

    def send(self, caller: CallerRequest, excluded: frozenset[str] = frozenset()) -> None:
        """Send a request, or send it again."""
        caller.attempts += 1
        now_ms = self.fleet.simulation.clock.monotonic_ms()
        head = f"head of {caller.content}"
        route = RouteRequest(MODEL, caller.content, head, excluded)
        target = self._router.choose(route, self._membership, now_ms)
        if target is None:
            self._send_later(caller)
            return
        dispatch = Dispatch(
            f"{caller.request_id}/{caller.attempts}",
            "",
            WorkClass.ONLINE,
            "/v1/completions",
            encode(Prompt(caller.content, caller.max_tokens)),
            60.0 * MS_PER_S,
            caller.content,
            1,
            model=MODEL,
            is_stream=True,
        )
        sink = AttemptSink(self, caller, target.target_id)
        self.link.handle(SendDispatch(target.target_id, dispatch, sink, float("inf")))

    def handle_outcome(
        self, caller: CallerRequest, target_id: str, message: RequestMessage
    ) -> None:
        """Take the outcome of one dispatch; anything but an answer or conviction is retried."""
        if isinstance(message, Finished):
            caller.code = ResultCode.OK
        elif message.code is ResultCode.CONVICTED:
            caller.code = ResultCode.CONVICTED
        elif isinstance(message, Failed):
            self.fleet.simulation.call_later(1.0, lambda: self.send(caller, frozenset({target_id})))
        else:
            self._send_later(caller)

    def _send_later(self, caller: CallerRequest) -> None:
        self.fleet.simulation.call_later(RETRY_PAUSE_MS, lambda: self.send(caller))

    def _check(self) -> None:
        self.link.on_timer()
        self.fleet.simulation.call_later(LINK_CHECK_MS, self._check)


class SimulatedFleet:
    """The fleet.

    :param dies_with_target: whether agents die when their targets crash.
    """

    def __init__(self, seed: int, agents: int, entries: int, dies_with_target: bool) -> None:
        self.random = Random(seed)
        self.simulation = Simulation()
        self.parameters = EngineParameters(max_batch=8)
        self._busy_until_ms: Counter[object] = Counter()
        names = [f"target-{number}" for number in range(agents)]
        self.hosts = {name: AgentHost(self, name, dies_with_target) for name in names}
        self.simulation.run_until(2_000.0)
        self.entries = [FleetEntry(self, f"entry-{number}") for number in range(entries)]
        self.simulation.run_until(4_000.0)

    @property
    def crashes(self) -> int:
        """Crashes of all targets."""
        return sum(host.crashes for host in self.hosts.values())

    def list_instances(self) -> list[Instance]:
        """Return what the platform lists."""
        return [Instance(name, "target", name, models=(MODEL,)) for name in self.hosts]

    def deliver(self, way: object, action: Callable[[], None]) -> None:
        """Deliver a message after a random delay, in the order of its way."""
        key = way if isinstance(way, tuple) else id(way)
        now_ms = self.simulation.clock.monotonic_ms()
        at_ms = max(now_ms + self.random.uniform(0.2, 3.0), self._busy_until_ms[key])
        self._busy_until_ms[key] = at_ms
        self.simulation.call_later(at_ms - now_ms, action)
