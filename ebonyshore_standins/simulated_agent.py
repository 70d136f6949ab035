"""The production dispatcher with the engine model in simulated time, for benchmarks and tests."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from uuid import uuid4

from msgspec import Struct
from msgspec.json import decode, encode

from ebonyshore.agent.agent_server import Broadcast, Outgoing, StatusChanged
from ebonyshore.agent.dispatcher import (
    STARTUP_GRACE_MS,
    TICK_MS,
    Dispatcher,
    DispatcherMessage,
    ReceivedMessage,
)
from ebonyshore.agent.scheduler import Decision, SchedulerState, decide
from ebonyshore.agent.step_time_model import StepTimeModel
from ebonyshore.agent.target_client import TargetAnswer, TargetChunk
from ebonyshore.agent.target_run import RunOutcome, RunProgress, TargetRun
from ebonyshore.agent.target_runner import RunnerEvent, TargetProbed, TargetRunner
from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import BatchSettings, TargetSettings
from ebonyshore.link.messages import Chunk
from ebonyshore.settings.settings_service import SettingsService
from ebonyshore.settings.settings_store import SettingsHead
from ebonyshore_standins.engine_model import (
    EngineCrashedError,
    EngineModel,
    EngineParameters,
    TokenEvent,
)

# Latency of one message between agent and target on the same instance.
CALL_LATENCY_MS = 0.5
RESTART_MS = 1_000.0
ENTRY_PEER = b"entry-1"


class Simulation:
    """A discrete-event simulation: runs actions in the order of their times and sets the clock.

    :param clock: the clock to advance; a new one if ``None``.
    """

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action.

        :param delay_ms: simulated time until it runs.
        """
        time_ms = self.clock.monotonic_ms() + delay_ms
        heappush(self._actions, (time_ms, next(self._sequence), action))

    def run_until(self, end_ms: float) -> None:
        """Run all actions that are due up to a time, then set the clock to that time.

        :param end_ms: monotonic time of the clock, in milliseconds.
        """
        while self._actions and self._actions[0][0] <= end_ms:
            time_ms, _, action = heappop(self._actions)
            self.clock.advance_ms(max(0.0, time_ms - self.clock.monotonic_ms()))
            action()
        self.clock.advance_ms(max(0.0, end_ms - self.clock.monotonic_ms()))


class Prompt(Struct):
    """The body of a simulated request.

    :param max_tokens: number of tokens to generate.
    """

    prompt: str
    max_tokens: int


class YieldTime(Struct, frozen=True):
    """How long a cancelled run stayed in the engine's batch.

    :param yield_ms: time from the cancel to the first step without the run.
    :param step_ms: duration of the step under way when the cancel was sent or when it arrived,
        whichever is longer.
    """

    yield_ms: float
    step_ms: float


class SimulatedTarget(TargetRunner):
    """A target that runs the engine model.

    It restarts :data:`RESTART_MS` after a crash and is unreachable until then.

    :ivar model: the engine model; replaced after a crash.
    :ivar crashes: number of crashes.
    :ivar busy_ms: total duration of the engine's steps.
    :ivar yield_times: a record for each cancelled run that has ended, in the order of the ends.
    :ivar started: content digest of each dispatch that reached the running engine.
    :ivar queued_steps: number of steps during which requests waited for a place in the batch.
    :ivar on_crash: called at each crash.
    """

    def __init__(self, simulation: Simulation, parameters: EngineParameters) -> None:
        self._simulation = simulation
        self._parameters = parameters
        self._runs: dict[str, tuple[TargetRun, RunProgress]] = {}
        self._pending_cancels: dict[str, tuple[float, float]] = {}
        self._is_stepping = False
        self._epoch = 0
        self._is_down = False
        self.model = EngineModel(parameters)
        self.boot_id = uuid4().hex
        self.crashes = 0
        self.busy_ms = 0.0
        self.yield_times: list[YieldTime] = []
        self.started: list[str] = []
        self.queued_steps = 0
        self.on_crash: Callable[[], None] = lambda: None

    def set_callbacks(
        self,
        post: Callable[[RunnerEvent], None],
        send: Callable[[bytes, Chunk], None],
        observe: Callable[[TargetRun, float], None],
    ) -> None:
        self._send = send
        self._observe = observe

    def set_event_handler(self, handler: Callable[[RunnerEvent], None]) -> None:
        """Set the handler that receives events directly, in place of the dispatcher's mailbox."""
        self._post = handler

    def start(self, run: TargetRun, timeout_ms: float) -> None:
        clock = self._simulation.clock
        progress = RunProgress(run, self._send, clock, self._observe)
        self._simulation.call_later(CALL_LATENCY_MS, lambda: self._submit(run, progress))

    def cancel(self, run_ids: tuple[str, ...]) -> None:
        now_ms = self._simulation.clock.monotonic_ms()
        for run_id in run_ids:
            self._pending_cancels[run_id] = (now_ms, self.model.last_step_ms)
        self._simulation.call_later(
            CALL_LATENCY_MS, lambda: [self._abort(run_id) for run_id in run_ids]
        )

    def probe(self, does_abort_all: bool) -> None:
        began_ms = self._simulation.clock.monotonic_ms()
        self._simulation.call_later(
            2 * CALL_LATENCY_MS, lambda: self._answer_probe(began_ms, does_abort_all)
        )

    def _answer_probe(self, began_ms: float, does_abort_all: bool) -> None:
        if does_abort_all:
            self.model.abort_all()
            self._step_if_idle()
        self._post(TargetProbed("" if self._is_down else self.boot_id, began_ms))

    def _submit(self, run: TargetRun, progress: RunProgress) -> None:
        if self._is_down:
            self._post(progress.make_run_ended(RunOutcome.UNREACHABLE))
            return
        body = decode(run.dispatch.body, type=Prompt)
        self.started.append(run.dispatch.content_digest)
        self._runs[run.run_id] = (run, progress)
        self.model.submit(run.run_id, body.prompt, body.max_tokens, run.resume_text)
        self._step_if_idle()

    def _abort(self, run_id: str) -> None:
        if run_id in self._pending_cancels:
            cancelled_ms, step_ms = self._pending_cancels[run_id]
            self._pending_cancels[run_id] = (cancelled_ms, max(step_ms, self.model.last_step_ms))
        self.model.abort(run_id)
        self._step_if_idle()

    def _step_if_idle(self) -> None:
        if not self._is_stepping and not self._is_down:
            self._begin_step()

    def _begin_step(self) -> None:
        try:
            step = self.model.step()
        except EngineCrashedError:
            self._crash()
            return
        self._deliver(step.aborted)
        self.queued_steps += bool(self.model.waiting)
        self._is_stepping = step.duration_ms > 0
        if self._is_stepping:
            self.busy_ms += step.duration_ms
            epoch = self._epoch
            self._simulation.call_later(
                step.duration_ms, lambda: self._end_step(epoch, step.events)
            )

    def _end_step(self, epoch: int, events: tuple[TokenEvent, ...]) -> None:
        if epoch != self._epoch:
            return
        self._is_stepping = False
        self._deliver(events)
        self._begin_step()

    def _deliver(self, events: tuple[TokenEvent, ...]) -> None:
        for event in events:
            if event.request_id in self._runs:
                self._deliver_event(event)

    def _deliver_event(self, event: TokenEvent) -> None:
        _, progress = self._runs[event.request_id]
        choice = {"text": event.token, "finish_reason": event.finish_reason or None}
        progress.add_chunk(TargetChunk(encode({"choices": [choice]})))
        if not event.finish_reason:
            return
        del self._runs[event.request_id]
        self._record_yield_time(event.request_id)
        outcome = RunOutcome.ABORTED if progress.is_aborted else RunOutcome.COMPLETE
        answer = TargetAnswer(200, "", event.prompt_tokens, event.completion_tokens)
        self._post(progress.make_run_ended(outcome, answer))

    def _record_yield_time(self, run_id: str) -> None:
        cancelled = self._pending_cancels.pop(run_id, None)
        if cancelled is not None:
            yield_ms = self._simulation.clock.monotonic_ms() - cancelled[0]
            self.yield_times.append(YieldTime(yield_ms, cancelled[1]))

    def _crash(self) -> None:
        self.crashes += 1
        self.on_crash()
        self._epoch += 1
        self._is_stepping = False
        self._is_down = True
        self.model = EngineModel(self._parameters)
        self.boot_id = uuid4().hex
        self._simulation.call_later(RESTART_MS, self._restart)
        runs = list(self._runs.values())
        self._runs.clear()
        for _, progress in runs:
            self._post(progress.make_run_ended(RunOutcome.CRASHED, boot_id=""))

    def _restart(self) -> None:
        self._is_down = False


@dataclass(slots=True)
class SimulatedAgent:
    """The production dispatcher with a simulated target.

    :param outgoing: called with each message to one entry or to all.
    :param settings: settings of the root of the settings tree that differ from the defaults.
    :param parameters: parameters of the engine model.
    :param policy: the scheduling policy.
    :ivar status: the last status that the dispatcher published; ``None`` before the first.
    """

    simulation: Simulation
    outgoing: Callable[[Outgoing | Broadcast], None]
    agent_id: str = "target-1"
    settings: dict[str, object] = field(default_factory=dict)
    parameters: EngineParameters = EngineParameters()
    policy: Callable[[SchedulerState], Decision] = decide
    incarnation: str = field(default_factory=lambda: uuid4().hex)
    metrics: Metrics = field(default_factory=Metrics)
    service: SettingsService = field(init=False)
    target: SimulatedTarget = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    status: StatusChanged | None = None
    _is_killed: bool = False

    def __post_init__(self) -> None:
        log = EventLog()
        self.service = SettingsService(log)
        self.service.adopt(SettingsHead(revision=1, nodes={"/": self.settings}))
        self.service.activate()
        root = self.service.current().root()
        step_time_model = StepTimeModel(root.engine_base_step_ms, root.engine_sequence_step_ms)
        self.target = SimulatedTarget(self.simulation, self.parameters)
        self.dispatcher = Dispatcher(
            self.target,
            self,
            self.service,
            TargetSettings(1, "http://t", ["m"], max_running=self.parameters.max_batch),
            self.agent_id,
            self.incarnation,
            step_time_model,
            BatchSettings().permit_interval_ms,
            self.simulation.clock,
            self.metrics,
            log,
            self.policy,
        )
        self.target.set_event_handler(self.dispatcher.handle)
        self._run_timer()

    def post(self, message: Outgoing | Broadcast | StatusChanged) -> None:
        """Process a message from the dispatcher."""
        if isinstance(message, StatusChanged):
            self.status = message
        else:
            self.outgoing(message)

    def receive(self, message: DispatcherMessage) -> None:
        """Pass a message to the dispatcher without delay."""
        self.dispatcher.handle(message)

    def receive_from(self, peer: bytes, message: object) -> None:
        """Pass a message from an entry to the dispatcher without delay.

        :param peer: peer id of the entry.
        """
        self.dispatcher.handle(ReceivedMessage(peer, message))

    def run_startup_grace(self) -> None:
        """Run the simulation past the dispatcher's startup grace period."""
        now_ms = self.simulation.clock.monotonic_ms()
        self.simulation.run_until(now_ms + STARTUP_GRACE_MS + TICK_MS)

    def kill(self) -> None:
        """Stop the agent, and drop all later events of its target."""
        self._is_killed = True
        self.target.set_event_handler(lambda event: None)

    def _run_timer(self) -> None:
        if self._is_killed:
            return
        self.dispatcher.on_timer()
        self.simulation.call_later(TICK_MS, self._run_timer)
