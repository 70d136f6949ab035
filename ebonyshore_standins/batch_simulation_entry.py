"""A simulated entry for :mod:`ebonyshore_standins.batch_simulation`; runs the real batch code."""

from collections import deque

from ebonyshore.batch.batch_api import BatchApi
from ebonyshore.batch.job_scheduling import ShardSizer
from ebonyshore.batch.job_store import JobStore
from ebonyshore.batch.shard_runner import BeginDrain, ShardRunner
from ebonyshore.entry.link_messages import SendCancel, SendDispatch
from ebonyshore.entry.membership import Membership, TargetView
from ebonyshore.frame.errors import (
    StoreTimeoutError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import AgentMessage, Failed
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import ObjectStore, ObjectSummary, StoredObject, WatchResult
from ebonyshore_standins.batch_simulation_agent import MODELS, SimulatedAgent
from ebonyshore_standins.batch_simulation_base import BatchSimulationBase, EntryLinkBase

SILENCE_MS = 3_000.0
REPORT_INTERVAL_MS = 500.0
CALL_TIMEOUT_MS = 2_000.0


class ProcessKilled(BaseException):  # noqa: N818 - unwinds a killed process; not an error
    """Ends the code of a killed process wherever it is."""


class SimulatedStore(ObjectStore):
    """The platform as one entry reaches it, with that entry's own faults."""

    def __init__(self, world: BatchSimulationBase, entry: "SimulatedEntry") -> None:
        self._world = world
        self._entry = entry
        self._process = entry.process_number

    def get(self, key: str) -> StoredObject | None:
        return self._read(lambda: self._world.platform.get(key))

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        platform = self._world.platform
        return self._write(lambda: platform.put(key, value, expected_version))

    def delete(self, key: str, expected_version: int) -> None:
        self._write(lambda: self._world.platform.delete(key, expected_version))

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        return self._read(lambda: self._world.platform.list_keys(prefix, start_after, limit))

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        return self._read(lambda: self._world.platform.watch(prefix, since, 0))

    def _read(self, call):
        self._strike()
        if self._entry.is_cut_off_from_store:
            raise StoreTimeoutError("cut off")
        answer = call()
        self._strike()
        return answer

    def _write(self, call):
        self._strike()
        random = self._world.random
        if self._entry.is_cut_off_from_store:
            raise StoreUnavailableError("cut off")
        if random.random() >= self._entry.lost_answer_ratio:
            result = call()
            self._strike()
            return result
        self._world.events["lost_answer"] += 1
        kind = random.choice(("done", "not done", "late"))
        if kind == "done":
            call()
        elif kind == "late":
            delay_ms = random.uniform(100, 15_000)
            self._world.scheduled_actions.append(
                (self._world.now_ms + delay_ms, lambda: _ignore_errors(call))
            )
        raise WriteOutcomeUnknownError(kind)

    def _strike(self) -> None:
        """Let a planned kill, freeze or delay strike at this call."""
        entry = self._entry
        if entry.is_kill_planned:
            entry.is_kill_planned = False
            raise ProcessKilled
        if entry.planned_freeze_ms:
            freeze_ms, entry.planned_freeze_ms = entry.planned_freeze_ms, 0.0
            entry.is_frozen_in_call = True
            self._world.run_while_blocked(entry, freeze_ms)
            entry.is_frozen_in_call = False
        if entry.store_delay_ms:
            self._world.run_while_blocked(entry, entry.store_delay_ms)
        entry.raise_if_killed(self._process)


class SimulatedLink(EntryLinkBase):
    """The entry's connections to the agents; a cut holds messages back until it heals."""

    def __init__(self, world: BatchSimulationBase, entry: "SimulatedEntry") -> None:
        self._world = world
        self._entry = entry
        self._in_flight: dict[str, tuple[SimulatedAgent, object]] = {}
        self._outgoing: list[SendDispatch | SendCancel] = []
        self._incoming: deque[tuple[SimulatedAgent, AgentMessage]] = deque()
        self._views: dict[str, TargetView] = {}
        self._heard_ms: dict[str, float] = {}
        self._next_report_ms = 0.0
        self.membership = Membership()

    def post(self, message: SendDispatch | SendCancel) -> None:
        """Send to an agent."""
        if isinstance(message, SendDispatch):
            agent = self._agent(message.target_id)
            self._in_flight[message.dispatch.request_id] = (agent, message.sink)
        self._outgoing.append(message)

    def deliver(self, agent: SimulatedAgent, message: AgentMessage) -> None:
        """Take a message from an agent."""
        if not self._entry.is_dead:
            self._incoming.append((agent, message))

    def step(self) -> None:
        """Exchange messages; give up what is with a silent or restarted agent."""
        if not self._entry.is_cut_off_from_agents:
            self._exchange()
        now_ms = self._world.now_ms
        for agent in self._world.agents:
            view = self._views.get(agent.agent_id)
            if view is None or not view.incarnation:
                continue
            if now_ms - self._heard_ms[agent.agent_id] > SILENCE_MS:
                self._views[agent.agent_id] = TargetView(agent.agent_id, "", "", "", MODELS)
                self._lose(agent)
                agent.abort_work_of(self)
        for view in self._views.values():
            self.membership.set_view(view)

    def _exchange(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        for message in outgoing:
            self._send(message)
        while self._incoming:
            _, message = self._incoming.popleft()
            self._pass_on(message)
        if self._world.now_ms >= self._next_report_ms:
            self._next_report_ms = self._world.now_ms + REPORT_INTERVAL_MS
            for agent in self._world.agents:
                self._report(agent)

    def _send(self, message: SendDispatch | SendCancel) -> None:
        agent = self._agent(message.target_id)
        if agent.is_down:
            return
        if isinstance(message, SendDispatch):
            agent.receive(self, message.dispatch)
        else:
            agent.cancel(message.request_id)

    def _pass_on(self, message: AgentMessage) -> None:
        request_id = message.request_id
        if request_id not in self._in_flight:
            return
        _, sink = self._in_flight[request_id]
        if hasattr(message, "code") or hasattr(message, "chunk_count"):
            del self._in_flight[request_id]
        sink.post(message)

    def _report(self, agent: SimulatedAgent) -> None:
        if agent.is_down:
            return
        view = self._views.get(agent.agent_id)
        if view is not None and view.incarnation not in ("", agent.incarnation):
            self._lose(agent)
        self._heard_ms[agent.agent_id] = self._world.now_ms
        self._views[agent.agent_id] = TargetView(
            agent.agent_id,
            "",
            "",
            "",
            MODELS,
            incarnation=agent.incarnation,
            tick_ms=agent.tick_ms,
            load=agent.load(),
        )

    def _lose(self, agent: SimulatedAgent) -> None:
        lost = [r for r, (holder, _) in self._in_flight.items() if holder is agent]
        for request_id in lost:
            _, sink = self._in_flight.pop(request_id)
            sink.post(Failed(request_id, ResultCode.AGENT_LOST, Execution.MAYBE_RUN))

    def _agent(self, target_id: str) -> SimulatedAgent:
        return next(a for a in self._world.agents if a.agent_id == target_id)


class _Settings:
    """The settings service's reading side."""

    def __init__(self, entry: "SimulatedEntry") -> None:
        self._entry = entry

    def current(self):
        return self._entry.settings_tree


class SimulatedEntry:
    """One entry: real runner and API over a simulated link and store."""

    def __init__(self, world: BatchSimulationBase, entry_id: str) -> None:
        self.simulation = world
        self.entry_id = entry_id
        self.is_dead = False
        self.process_number = 0
        self.settings_tree = world.settings_tree
        self.clear_faults()
        self.start()

    def start(self) -> None:
        """Start a process, with empty memory."""
        from ebonyshore_standins.batch_simulation import SimulationClock

        world = self.simulation
        settings = world.settings
        self.process_number += 1
        self.is_dead = False
        self.is_blocked = False
        self.is_frozen_in_call = False
        self._frozen_until_ms = 0.0
        self._drained = False
        clock = SimulationClock(world, self, world.random.uniform(0, 1e6))
        store = MarkedStore(SimulatedStore(world, self), clock)
        sizer = ShardSizer(settings.shard_items, settings.window_items)
        self.link = SimulatedLink(world, self)
        self._inbox: deque[object] = deque()
        self.metrics = Metrics()
        self.runner = _Runner(
            self._inbox,
            self.entry_id,
            JobStore(store, clock, settings.index_buckets, settings.shard_items),
            self.link,
            self.link.membership,
            _Settings(self),
            settings,
            sizer,
            clock,
            self.metrics,
            EventLog(),
        )
        # Callers' calls run on threads of their own, so they block nobody.
        api_clock = SimulationClock(world, None)
        api_store = MarkedStore(SimulatedStore(world, self), api_clock)
        self.api = BatchApi(
            JobStore(api_store, api_clock, settings.index_buckets, settings.shard_items),
            _Settings(self),
            sizer,
            api_clock,
        )

    def clear_faults(self) -> None:
        """End all faults."""
        self.is_cut_off_from_store = False
        self.is_cut_off_from_agents = False
        self.lost_answer_ratio = 0.0
        self.store_delay_ms = 0.0
        self.planned_freeze_ms = 0.0
        self.is_kill_planned = False
        self._frozen_until_ms = 0.0
        if self.is_dead:
            self.start()

    def raise_if_killed(self, process: int) -> None:
        """End code that belongs to a killed process.

        :raises ProcessKilled: if the process is not the one that runs now.
        """
        if self.is_dead or process != self.process_number:
            raise ProcessKilled

    def step(self) -> None:
        """Run what is due, unless the process is dead, frozen or blocked."""
        is_frozen = self.is_frozen_in_call or self.simulation.now_ms < self._frozen_until_ms
        if self.is_dead or is_frozen:
            return
        # The link has a thread of its own, which a runner that waits for the store does not block.
        self.link.step()
        if self.is_blocked:
            return
        process = self.process_number
        try:
            while self._inbox:
                self.runner.handle(self._inbox.popleft())
            if self.runner.next_timer_ms() <= self.runner.clock.monotonic_ms():
                self.runner.on_timer()
        except ProcessKilled:
            if process == self.process_number:
                self.kill()
            return
        if self._drained and self.runner.is_idle:
            self.kill()

    def kill(self) -> None:
        """Kill the process; code of it that is blocked ends when it goes on."""
        self.is_dead = True
        self.is_blocked = False
        for agent in self.simulation.agents:
            agent.abort_work_of(self.link)

    def freeze(self, duration_ms: float) -> None:
        """Stop the process between two of its steps."""
        self._frozen_until_ms = max(self._frozen_until_ms, self.simulation.now_ms + duration_ms)

    def drain(self) -> None:
        """Begin a planned stop."""
        self._drained = True
        self._inbox.append(BeginDrain())


class _Runner(ShardRunner):
    """The real runner, whose mailbox the simulated entry empties."""

    def __init__(self, inbox: deque[object], *arguments: object) -> None:
        super().__init__(*arguments)
        self._inbox = inbox

    def post(self, message: object) -> None:
        self._inbox.append(message)


def _ignore_errors(call) -> None:
    try:
        call()
    except Exception:
        # A write that arrives late has nobody left to tell.
        return
