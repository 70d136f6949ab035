"""A simulated fleet that serves online requests under target crashes, with simulated time.

Agents and entries use the production link, routing, admission and suspicion code. A message takes a
random time of about one network hop. An agent can die together with its target.
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
RETRY_DELAY_MS = 300.0
AGENT_RESTART_MS = 800.0
SUSPICION_EXPIRY_MS = 600_000.0
LINK_TIMER_INTERVAL_MS = 100.0


class CallerRequest(Struct):
    """A request and its outcome as its caller sees them.

    :param content: the prompt; it also serves as the content digest.
    :param max_tokens: number of tokens to generate.
    :param attempts: number of times the request was sent, with or without an available target.
    :param code: the outcome; ``None`` until the request ends.
    """

    request_id: str
    content: str
    max_tokens: int
    attempts: int = 0
    code: ResultCode | None = None


class AgentHost:
    """An instance that runs a target and its agent.

    :param dies_with_target: whether the agent dies when its target crashes.
    :ivar crashes: number of crashes of the target.
    :ivar links: entries that have sent a message to the current agent, by peer id.
    :ivar agent: the running agent; ``None`` until a dead one has restarted.
    """

    def __init__(self, fleet: "SimulatedFleet", agent_id: str, dies_with_target: bool) -> None:
        self._fleet = fleet
        self.agent_id = agent_id
        self.dies_with_target = dies_with_target
        self.crashes = 0
        self.links: dict[bytes, FleetEntry] = {}
        self.agent = self._make_agent()

    def receive(self, entry: "FleetEntry", message: Struct) -> None:
        """Process a message from an entry as the agent server does; lost while no agent runs."""
        if self.agent is None:
            return
        peer = entry.name.encode()
        self.links[peer] = entry
        if isinstance(message, Hello):
            self._send(peer, self._make_welcome())
            self.agent.receive_from(peer, message)
        elif isinstance(message, Ping):
            self._send(peer, self._make_load_report())
        else:
            self.agent.receive_from(peer, message)

    def handle_target_crash(self) -> None:
        """Count a crash of the target, and kill the agent if it dies with its target."""
        self.crashes += 1
        if not self.dies_with_target:
            return
        self.agent.kill()
        self.agent = None
        self._fleet.simulation.call_later(AGENT_RESTART_MS, self._restart)

    def _restart(self) -> None:
        self.agent = self._make_agent()

    def _make_agent(self) -> SimulatedAgent:
        self.links = {}
        agent = SimulatedAgent(
            self._fleet.simulation,
            lambda message: self._send_outgoing(agent, message),
            self.agent_id,
            {"suspicion_expiry_ms": SUSPICION_EXPIRY_MS},
            self._fleet.parameters,
        )
        agent.target.on_crash = self.handle_target_crash
        return agent

    def _send_outgoing(self, sender: SimulatedAgent, message: Outgoing | Broadcast) -> None:
        if sender is not self.agent:
            return
        peers = [message.peer] if isinstance(message, Outgoing) else list(self.links)
        for peer in peers:
            self._send(peer, message.message)

    def _send(self, peer: bytes, message: Struct) -> None:
        entry = self.links[peer]
        self._fleet.deliver((self, peer), lambda: entry.link.receive(self.agent_id, message))

    def _make_welcome(self) -> Welcome:
        report = self._make_load_report()
        return Welcome(
            self.agent_id, report.incarnation, (MODEL,), 1, report.tick_ms, report.load, "engine"
        )

    def _make_load_report(self) -> LoadReport:
        now_ms = self._fleet.simulation.clock.monotonic_ms()
        load = self.agent.status.load
        return LoadReport(self.agent.incarnation, 1, now_ms, load, (MODEL,))


@dataclass(slots=True)
class SimulatedChannel(Channel):
    """The connection from an entry to an agent; delivers messages in the order of sending."""

    entry: "FleetEntry"
    host: AgentHost

    def send(self, message: Struct) -> bool:
        if self.host.agent is None:
            return False
        self.entry.fleet.deliver(self, lambda: self.host.receive(self.entry, message))
        return True

    def close(self) -> None:
        """Do nothing; the channel holds no resources."""


class SimulatedAgentLink(AgentLink):
    """The production agent link on simulated channels.

    :ivar entry: the entry that owns the link.
    """

    entry: "FleetEntry"

    def open_channel(self, address: str) -> Channel:
        return SimulatedChannel(self.entry, self.entry.fleet.hosts[address])


class AttemptSink:
    """Receives the messages of one dispatch and reports its outcome to the entry."""

    def __init__(self, entry: "FleetEntry", request: CallerRequest, target_id: str) -> None:
        self._entry = entry
        self._request = request
        self._target_id = target_id

    def post(self, message: RequestMessage) -> None:
        """Process a message of the dispatch; chunks are dropped."""
        if not isinstance(message, Chunk):
            self._entry.handle_outcome(self._request, self._target_id, message)


class FleetEntry:
    """An entry with link, routing and suspicion relay.

    It also plays the callers, which repeat a request until it completes or is convicted.
    """

    def __init__(self, fleet: "SimulatedFleet", name: str) -> None:
        self.fleet = fleet
        self.name = name
        self._membership = Membership()
        self._router = Router("a")
        clock, metrics, log = fleet.simulation.clock, Metrics(), EventLog()
        fleet_settings = FleetSettings("x" * 40, "x" * 40)
        self.link = SimulatedAgentLink(
            name, self._membership, lambda: 1, fleet_settings, clock, metrics, log
        )
        self.link.entry = self
        self.suspicion_relay = SuspicionRelay(
            lambda target_id, share: self.link.handle(SendToAgent(target_id, share)),
            lambda message: self.link.handle(SendToAllAgents(message)),
            lambda: SUSPICION_EXPIRY_MS,
            clock,
        )
        self.suspicion_relay.attach(self.link)
        self.link.handle(UpdateInstances(tuple(fleet.list_instances())))
        self._run_timer()

    def send(self, request: CallerRequest, excluded: frozenset[str] = frozenset()) -> None:
        """Send a request, or retry it; waits for :data:`RETRY_DELAY_MS` if there is no target.

        :param excluded: ids of targets that the request must not go to.
        """
        request.attempts += 1
        now_ms = self.fleet.simulation.clock.monotonic_ms()
        head = f"head of {request.content}"
        route = RouteRequest(MODEL, request.content, head, excluded)
        target = self._router.choose(route, self._membership, now_ms)
        if target is None:
            self._schedule_retry(request)
            return
        dispatch = Dispatch(
            f"{request.request_id}/{request.attempts}",
            "",
            WorkClass.ONLINE,
            "/v1/completions",
            encode(Prompt(request.content, request.max_tokens)),
            60.0 * MS_PER_S,
            request.content,
            1,
            model=MODEL,
            is_stream=True,
        )
        sink = AttemptSink(self, request, target.target_id)
        self.link.handle(SendDispatch(target.target_id, dispatch, sink, float("inf")))

    def handle_outcome(
        self, request: CallerRequest, target_id: str, message: RequestMessage
    ) -> None:
        """Process the final message of a dispatch.

        A completed or convicted request ends. A failed one is retried at another target after
        1 ms, a refused one after :data:`RETRY_DELAY_MS`.
        """
        if isinstance(message, Finished):
            request.code = ResultCode.OK
        elif message.code is ResultCode.CONVICTED:
            request.code = ResultCode.CONVICTED
        elif isinstance(message, Failed):
            self.fleet.simulation.call_later(
                1.0, lambda: self.send(request, frozenset({target_id}))
            )
        else:
            self._schedule_retry(request)

    def _schedule_retry(self, request: CallerRequest) -> None:
        self.fleet.simulation.call_later(RETRY_DELAY_MS, lambda: self.send(request))

    def _run_timer(self) -> None:
        self.link.on_timer()
        self.fleet.simulation.call_later(LINK_TIMER_INTERVAL_MS, self._run_timer)


class SimulatedFleet:
    """Agents with their targets, and the entries connected to them.

    :param seed: seed of every random choice.
    :param agents: number of agents.
    :param entries: number of entries.
    :param dies_with_target: whether an agent dies when its target crashes.
    """

    def __init__(self, seed: int, agents: int, entries: int, dies_with_target: bool) -> None:
        self.random = Random(seed)
        self.simulation = Simulation()
        self.parameters = EngineParameters(max_batch=8)
        self._last_delivery_ms: Counter[object] = Counter()
        names = [f"target-{number}" for number in range(agents)]
        self.hosts = {name: AgentHost(self, name, dies_with_target) for name in names}
        self.simulation.run_until(2_000.0)
        self.entries = [FleetEntry(self, f"entry-{number}") for number in range(entries)]
        self.simulation.run_until(4_000.0)

    @property
    def crashes(self) -> int:
        """Number of crashes of all targets."""
        return sum(host.crashes for host in self.hosts.values())

    def list_instances(self) -> list[Instance]:
        """Return the platform's instance list."""
        return [Instance(name, "target", name, models=(MODEL,)) for name in self.hosts]

    def deliver(self, channel: object, receive: Callable[[], None]) -> None:
        """Deliver a message after a random delay, in the order of sending on its channel.

        :param channel: identifies the connection and its direction.
        :param receive: called to deliver the message.
        """
        key = channel if isinstance(channel, tuple) else id(channel)
        now_ms = self.simulation.clock.monotonic_ms()
        at_ms = max(now_ms + self.random.uniform(0.2, 3.0), self._last_delivery_ms[key])
        self._last_delivery_ms[key] = at_ms
        self.simulation.call_later(at_ms - now_ms, receive)
