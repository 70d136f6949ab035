"""A simulated entry for :mod:`ebonyshore_standins.batch_simulation`.

It runs the production batch code.
"""

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
from ebonyshore_standins.simulation_clock import SimulationClock

AGENT_SILENCE_MS = 3_000.0
LOAD_REPORT_INTERVAL_MS = 500.0
CALL_TIMEOUT_MS = 2_000.0


class ProcessKilled(BaseException):  # noqa: N818 - control flow, not an error
    """Unwinds the stack of a killed process.

    A ``BaseException``, so that handlers of errors in the code under test do not catch it.
    """


class SimulatedStore(ObjectStore):
    """The platform's object store with the faults of one entry.

    :raises ProcessKilled: from every method, if the process that made the store was killed.
    """

    def __init__(self, simulation: BatchSimulationBase, entry: "SimulatedEntry") -> None:
        self._simulation = simulation
        self._entry = entry
        self._process_number = entry.process_number

    def get(self, key: str) -> StoredObject | None:
        return self._read(lambda: self._simulation.platform.get(key))

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        platform = self._simulation.platform
        return self._write(lambda: platform.put(key, value, expected_version))

    def delete(self, key: str, expected_version: int) -> None:
        self._write(lambda: self._simulation.platform.delete(key, expected_version))

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        return self._read(lambda: self._simulation.platform.list_keys(prefix, start_after, limit))

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        return self._read(lambda: self._simulation.platform.watch(prefix, since, 0))

    def _read(self, call):
        self._apply_planned_faults()
        if self._entry.is_cut_off_from_store:
            raise StoreTimeoutError("the entry is cut off from the store")
        answer = call()
        self._apply_planned_faults()
        return answer

    def _write(self, call):
        self._apply_planned_faults()
        random = self._simulation.random
        if self._entry.is_cut_off_from_store:
            raise StoreUnavailableError("the entry is cut off from the store")
        if random.random() >= self._entry.lost_answer_ratio:
            result = call()
            self._apply_planned_faults()
            return result
        self._simulation.events["lost_answer"] += 1
        kind = random.choice(("done", "not done", "late"))
        if kind == "done":
            call()
        elif kind == "late":
            delay_ms = random.uniform(100, 15_000)
            self._simulation.scheduled_actions.append(
                (self._simulation.now_ms + delay_ms, lambda: _ignore_errors(call))
            )
        raise WriteOutcomeUnknownError(kind)

    def _apply_planned_faults(self) -> None:
        """Carry out a kill, freeze or delay that is planned for the next store call.

        :raises ProcessKilled: if the process is to be killed or was killed.
        """
        entry = self._entry
        if entry.is_kill_planned:
            entry.is_kill_planned = False
            raise ProcessKilled
        if entry.planned_freeze_ms:
            freeze_ms, entry.planned_freeze_ms = entry.planned_freeze_ms, 0.0
            entry.is_frozen_in_call = True
            self._simulation.run_while_blocked(entry, freeze_ms)
            entry.is_frozen_in_call = False
        if entry.store_delay_ms:
            self._simulation.run_while_blocked(entry, entry.store_delay_ms)
        entry.raise_if_killed(self._process_number)


class SimulatedLink(EntryLinkBase):
    """The entry's connections to the agents.

    While the entry is cut off from the agents, messages wait and are delivered later.
    """

    def __init__(self, simulation: BatchSimulationBase, entry: "SimulatedEntry") -> None:
        self._simulation = simulation
        self._entry = entry
        self._in_flight: dict[str, tuple[SimulatedAgent, object]] = {}
        self._outgoing: list[SendDispatch | SendCancel] = []
        self._incoming: deque[tuple[SimulatedAgent, AgentMessage]] = deque()
        self._views: dict[str, TargetView] = {}
        self._last_report_ms: dict[str, float] = {}
        self._next_report_ms = 0.0
        self.membership = Membership()

    def post(self, message: SendDispatch | SendCancel) -> None:
        """Queue a message for an agent."""
        if isinstance(message, SendDispatch):
            agent = self._find_agent(message.target_id)
            self._in_flight[message.dispatch.request_id] = (agent, message.sink)
        self._outgoing.append(message)

    def deliver(self, agent: SimulatedAgent, message: AgentMessage) -> None:
        """Queue a message from an agent; it is lost if the process is dead."""
        if not self._entry.is_dead:
            self._incoming.append((agent, message))

    def step(self) -> None:
        """Exchange messages, and fail the requests of agents that are silent or have restarted."""
        if not self._entry.is_cut_off_from_agents:
            self._exchange_messages()
        now_ms = self._simulation.now_ms
        for agent in self._simulation.agents:
            view = self._views.get(agent.agent_id)
            if view is None or not view.incarnation:
                continue
            if now_ms - self._last_report_ms[agent.agent_id] > AGENT_SILENCE_MS:
                self._views[agent.agent_id] = TargetView(agent.agent_id, "", "", "", MODELS)
                self._fail_requests_of(agent)
                agent.abort_work_of(self)
        for view in self._views.values():
            self.membership.set_view(view)

    def _exchange_messages(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        for message in outgoing:
            self._send(message)
        while self._incoming:
            _, message = self._incoming.popleft()
            self._forward(message)
        if self._simulation.now_ms >= self._next_report_ms:
            self._next_report_ms = self._simulation.now_ms + LOAD_REPORT_INTERVAL_MS
            for agent in self._simulation.agents:
                self._receive_load_report(agent)

    def _send(self, message: SendDispatch | SendCancel) -> None:
        agent = self._find_agent(message.target_id)
        if agent.is_down:
            return
        if isinstance(message, SendDispatch):
            agent.receive(self, message.dispatch)
        else:
            agent.cancel(message.request_id)

    def _forward(self, message: AgentMessage) -> None:
        request_id = message.request_id
        if request_id not in self._in_flight:
            return
        _, sink = self._in_flight[request_id]
        if hasattr(message, "code") or hasattr(message, "chunk_count"):
            del self._in_flight[request_id]
        sink.post(message)

    def _receive_load_report(self, agent: SimulatedAgent) -> None:
        if agent.is_down:
            return
        view = self._views.get(agent.agent_id)
        if view is not None and view.incarnation not in ("", agent.incarnation):
            self._fail_requests_of(agent)
        self._last_report_ms[agent.agent_id] = self._simulation.now_ms
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

    def _fail_requests_of(self, agent: SimulatedAgent) -> None:
        lost_request_ids = [r for r, (holder, _) in self._in_flight.items() if holder is agent]
        for request_id in lost_request_ids:
            _, sink = self._in_flight.pop(request_id)
            sink.post(Failed(request_id, ResultCode.AGENT_LOST, Execution.MAYBE_RUN))

    def _find_agent(self, target_id: str) -> SimulatedAgent:
        return next(a for a in self._simulation.agents if a.agent_id == target_id)


class _SettingsReader:
    """The part of the settings service that reads the current settings."""

    def __init__(self, entry: "SimulatedEntry") -> None:
        self._entry = entry

    def current(self):
        return self._entry.settings_tree


class SimulatedEntry:
    """An entry that runs the production shard runner and batch API on a simulated link and store.

    :ivar is_dead: whether the process was killed or has stopped.
    :ivar is_blocked: whether the runner waits in a store call or a sleep.
    :ivar is_frozen_in_call: whether the process is frozen during a store call.
    :ivar process_number: number of the current process; the entry's restarts increment it.
    :ivar is_cut_off_from_store: whether store calls fail.
    :ivar is_cut_off_from_agents: whether messages to and from agents wait.
    :ivar lost_answer_ratio: share of writes whose response is lost; they take effect at once,
        later or not at all.
    :ivar store_delay_ms: added before and after each store call.
    :ivar planned_freeze_ms: how long to freeze at the next store call; 0 for not at all.
    :ivar is_kill_planned: whether to kill the process at the next store call.
    """

    def __init__(self, simulation: BatchSimulationBase, entry_id: str) -> None:
        self.simulation = simulation
        self.entry_id = entry_id
        self.is_dead = False
        self.process_number = 0
        self.settings_tree = simulation.settings_tree
        self.clear_faults()
        self.start()

    def start(self) -> None:
        """Start a new process, without any state of the former one."""
        simulation = self.simulation
        settings = simulation.settings
        self.process_number += 1
        self.is_dead = False
        self.is_blocked = False
        self.is_frozen_in_call = False
        self._frozen_until_ms = 0.0
        self._is_draining = False
        clock = SimulationClock(simulation, self, simulation.random.uniform(0, 1e6))
        store = MarkedStore(SimulatedStore(simulation, self), clock)
        sizer = ShardSizer(settings.shard_items, settings.window_items)
        self.link = SimulatedLink(simulation, self)
        self._inbox: deque[object] = deque()
        self.metrics = Metrics()
        self.runner = _SimulatedShardRunner(
            self._inbox,
            self.entry_id,
            JobStore(store, clock, settings.index_buckets, settings.shard_items),
            self.link,
            self.link.membership,
            _SettingsReader(self),
            settings,
            sizer,
            clock,
            self.metrics,
            EventLog(),
        )
        # API calls run on threads of their own, so their sleeps do not block the runner.
        api_clock = SimulationClock(simulation, None)
        api_store = MarkedStore(SimulatedStore(simulation, self), api_clock)
        self.api = BatchApi(
            JobStore(api_store, api_clock, settings.index_buckets, settings.shard_items),
            _SettingsReader(self),
            sizer,
            api_clock,
        )

    def clear_faults(self) -> None:
        """End all faults, and restart the entry if it is dead."""
        self.is_cut_off_from_store = False
        self.is_cut_off_from_agents = False
        self.lost_answer_ratio = 0.0
        self.store_delay_ms = 0.0
        self.planned_freeze_ms = 0.0
        self.is_kill_planned = False
        self._frozen_until_ms = 0.0
        if self.is_dead:
            self.start()

    def raise_if_killed(self, process_number: int) -> None:
        """Unwind the calling code if its process was killed.

        :param process_number: number of the process that the calling code belongs to.
        :raises ProcessKilled: if that process is not the current one or is dead.
        """
        if self.is_dead or process_number != self.process_number:
            raise ProcessKilled

    def step(self) -> None:
        """Exchange messages and run the runner's due work.

        Does nothing while the process is dead or frozen; only exchanges messages while the runner
        is blocked.
        """
        is_frozen = self.is_frozen_in_call or self.simulation.now_ms < self._frozen_until_ms
        if self.is_dead or is_frozen:
            return
        # The link has a thread of its own, so a runner that waits for the store does not block it.
        self.link.step()
        if self.is_blocked:
            return
        process_number = self.process_number
        try:
            while self._inbox:
                self.runner.handle(self._inbox.popleft())
            if self.runner.next_timer_ms() <= self.runner.clock.monotonic_ms():
                self.runner.on_timer()
        except ProcessKilled:
            if process_number == self.process_number:
                self.kill()
            return
        if self._is_draining and self.runner.is_idle:
            self.kill()

    def kill(self) -> None:
        """Kill the process; its code that is blocked in a call is unwound when the call returns."""
        self.is_dead = True
        self.is_blocked = False
        for agent in self.simulation.agents:
            agent.abort_work_of(self.link)

    def freeze(self, duration_ms: float) -> None:
        """Freeze the process between two of its steps.

        :param duration_ms: simulated time until it continues.
        """
        self._frozen_until_ms = max(self._frozen_until_ms, self.simulation.now_ms + duration_ms)

    def drain(self) -> None:
        """Begin a planned stop; the process ends once the runner is idle."""
        self._is_draining = True
        self._inbox.append(BeginDrain())


class _SimulatedShardRunner(ShardRunner):
    """The production shard runner, with a mailbox that the simulated entry empties."""

    def __init__(self, inbox: deque[object], *arguments: object) -> None:
        super().__init__(*arguments)
        self._inbox = inbox

    def post(self, message: object) -> None:
        self._inbox.append(message)


def _ignore_errors(call) -> None:
    try:
        call()
    except Exception:
        # The client of a delayed write has already got an error.
        return
