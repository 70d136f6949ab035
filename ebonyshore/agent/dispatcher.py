"""The dispatcher: admits, schedules and tracks all requests of the agent."""

from collections.abc import Callable
from uuid import uuid4

from msgspec import Struct
from returns.result import Failure

from ebonyshore.agent.agent_admission import (
    AdmissionState,
    Refusal,
    check_admission,
    has_valid_permit,
)
from ebonyshore.agent.agent_server import PeerLost, StatusChanged
from ebonyshore.agent.crash_suspicion import CrashSuspicion
from ebonyshore.agent.response_sender import MessageSink, ResponseSender
from ebonyshore.agent.run_lifecycle import RunLifecycle
from ebonyshore.agent.run_queues import RunQueues
from ebonyshore.agent.schedule_input import make_scheduler_state
from ebonyshore.agent.scheduler import Decision, SchedulerState, decide
from ebonyshore.agent.step_time_model import OnlineTailEstimator, StepTimeModel
from ebonyshore.agent.target_run import RunEnded, TargetRun
from ebonyshore.agent.target_runner import TargetProbed, TargetRunner
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.process_settings import TargetSettings
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.frame.task import Task
from ebonyshore.link.messages import Cancel, CrashReport, Dispatch, Hello, Load, VerdictShare
from ebonyshore.settings.settings_service import SettingsService

PROBE_INTERVAL_MS = 200
TICK_MS = 50
# How long a draining agent keeps its socket open at least. Entries learn of the drain with the next
# message; dispatches that they sent before arrive within this time and are refused properly instead
# of meeting a closed socket.
DRAIN_GRACE_MS = 1_000
# How long a started agent refuses requests. Every entry sends a heartbeat within 500 ms of
# reconnecting and learns of the new incarnation from the reply, so crash reports about the previous
# incarnation arrive within this time.
STARTUP_GRACE_MS = 1_000


class ReceivedMessage(Struct, frozen=True):
    """A message from an entry.

    :param peer: routing id of the entry's socket.
    """

    peer: bytes
    message: Dispatch | Cancel | VerdictShare | CrashReport | Hello


class BeginDrain(Struct, frozen=True):
    """Asks the dispatcher to refuse new work from now on and to finish what it has."""


class ModelsChanged(Struct, frozen=True):
    """The set of models that the target serves has changed."""

    models: tuple[str, ...]


DispatcherMessage = (
    ReceivedMessage | RunEnded | TargetProbed | PeerLost | BeginDrain | ModelsChanged
)


class Dispatcher(Task[DispatcherMessage]):
    """The task that admits requests, schedules them and runs them on one target.

    Its state is used on its own thread only, except where a member says otherwise.

    :param runner: starts and cancels runs on the target.
    :param sink: sends messages to entries.
    :param settings: the settings tree in force.
    :param target_settings: the process settings of the agent's target.
    :param agent_id: instance id of the agent.
    :param incarnation: random id of this run of the agent.
    :param step_times: model of the engine's step time, updated from observed token intervals.
    :param permit_interval_ms: greatest age, at the start of a batch item, of the agent's clock
        reading in its permit.
    :param policy: decides what to start and preempt; benchmarks pass baseline policies.
    """

    def __init__(
        self,
        runner: TargetRunner,
        sink: MessageSink,
        settings: SettingsService,
        target_settings: TargetSettings,
        agent_id: str,
        incarnation: str,
        step_times: StepTimeModel,
        permit_interval_ms: float,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        policy: Callable[[SchedulerState], Decision] = decide,
    ) -> None:
        super().__init__("dispatcher", clock)
        self._policy = policy
        self._runner = runner
        self._sink = sink
        self._settings = settings
        self._max_running = target_settings.max_running
        self._incarnation = incarnation
        self._step_times = step_times
        self._online_tail = OnlineTailEstimator(step_times)
        self._permit_interval_ms = permit_interval_ms
        self._metrics = metrics
        self._models = tuple(target_settings.models)
        self._queues = RunQueues()
        self._suspicion = CrashSuspicion(agent_id, settings.current().root().suspicion_expiry_ms)
        self._responses = ResponseSender(
            sink, incarnation, self._make_load, self._revision, clock, metrics, log
        )
        self._lifecycle = RunLifecycle(
            self._queues, self._suspicion, self._responses, runner, clock, metrics, log
        )
        self._drain_began_ms: float | None = None
        self._started_ms = clock.monotonic_ms()
        self._next_tick_ms = 0.0
        self._next_probe_ms = 0.0
        self._is_probing = False
        self._status: StatusChanged | None = None
        self._online_in_target = 0
        self._batch_in_target = 0
        runner.set_callbacks(self.post, self._responses.send_chunk, self._record_token_interval)

    @property
    def is_idle(self) -> bool:
        """Whether a draining agent may stop.

        True if it holds no request and the drain began at least ``DRAIN_GRACE_MS`` ago. Safe
        to read from any thread.
        """
        drain_began_ms = self._drain_began_ms
        if drain_began_ms is None or not self._queues.is_empty:
            return False
        return self.clock.monotonic_ms() - drain_began_ms >= DRAIN_GRACE_MS

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump.

        Called from another thread, so parts may differ in age by a moment.
        """
        now_ms = self.clock.monotonic_ms()
        return {
            "boot_id": self._lifecycle.boot_id,
            "is_leaving": self._drain_began_ms is not None,
            "models": list(self._models),
            "base_step_ms": self._step_times.base_ms,
            "sequence_step_ms": self._step_times.sequence_ms,
            "waiting": [_dump_run(run, now_ms) for run in self._queues.iter_waiting()],
            "running": [_dump_run(run, now_ms) for run in list(self._queues.running.values())],
            "verdicts": [
                {"digest": v.content_digest, "crashes": v.crash_count, "convicted": v.is_convicted}
                for v in self._suspicion.table.export(now_ms)
            ],
        }

    def stop(self) -> None:
        super().stop()
        self._runner.close()

    def next_timer_ms(self) -> float | None:
        return self._next_tick_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_tick_ms = now_ms + TICK_MS
        if now_ms >= self._next_probe_ms and not self._is_probing:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            self._is_probing = True
            self._runner.probe(does_abort_all=not self._lifecycle.boot_id)
        self._lifecycle.expire(now_ms)
        self._schedule()

    def handle(self, message: DispatcherMessage) -> None:
        if isinstance(message, ReceivedMessage):
            self._handle_received(message)
        elif isinstance(message, RunEnded):
            self._lifecycle.handle_run_ended(message)
        elif isinstance(message, TargetProbed):
            self._is_probing = False
            self._lifecycle.handle_probe(message)
        elif isinstance(message, PeerLost):
            self._lifecycle.cancel_peer(message.peer)
        elif isinstance(message, ModelsChanged):
            self._models = message.models
        else:
            self._begin_drain()
        self._schedule()

    def _handle_received(self, received: ReceivedMessage) -> None:
        message = received.message
        now_ms = self.clock.monotonic_ms()
        self._suspicion.table.expiry_ms = self._settings.current().root().suspicion_expiry_ms
        if isinstance(message, Dispatch):
            self._admit(received.peer, message, now_ms)
        elif isinstance(message, Cancel):
            self._lifecycle.cancel(received.peer, message.request_id)
        elif isinstance(message, VerdictShare):
            self._suspicion.merge_verdicts(message, now_ms)
            self._lifecycle.apply_suspicion(now_ms)
        elif isinstance(message, CrashReport):
            if self._suspicion.add_crash_report(message, now_ms):
                self._responses.broadcast(message)
            self._lifecycle.apply_suspicion(now_ms)
        else:
            self._lifecycle.send_verdicts(received.peer, self._sink)

    def _admit(self, peer: bytes, dispatch: Dispatch, now_ms: float) -> None:
        """Queue a dispatch or refuse it; a repeated dispatch is ignored."""
        if not self._queues.register_request(peer, dispatch.request_id):
            self._metrics.count("repeated_dispatches")
            return
        result = check_admission(dispatch, self._admission_state())
        if isinstance(result, Failure):
            refusal: Refusal = result.failure()
            self._responses.send_refused(
                peer, dispatch, refusal.code, refusal.retry_after_ms, refusal.detail
            )
            return
        run = TargetRun(uuid4().hex, peer, dispatch, now_ms + dispatch.deadline_left_ms, now_ms)
        run.resume_text = dispatch.resume_text
        if self._suspicion.is_convicted(run, now_ms):
            self._responses.refuse_run(run, ResultCode.CONVICTED)
            return
        run.is_suspect = self._suspicion.is_suspect(run, now_ms)
        self._queues.enqueue(run)

    def _schedule(self) -> None:
        """Start and preempt runs as the policy decides, and publish the new status."""
        now_ms = self.clock.monotonic_ms()
        if self._lifecycle.boot_id:
            self._queues.release_suspect(lambda run: self._suspicion.is_deferred(run, now_ms))
            self._drop_expired_permits()
            self._apply_decision(self._decide(now_ms), now_ms)
        self._online_in_target, self._batch_in_target = self._queues.count_running()
        self._publish_status()

    def _decide(self, now_ms: float) -> Decision:
        tier = self._settings.current().for_model(self._models[0] if self._models else "")
        state = make_scheduler_state(
            self._queues, self._step_times, self._online_tail, tier, self._max_running, now_ms
        )
        return self._policy(state)

    def _apply_decision(self, decision: Decision, now_ms: float) -> None:
        for run_id in decision.preempt:
            self._queues.running[run_id].is_preempted = True
            self._metrics.count("batch_preempted")
        if decision.preempt:
            self._runner.cancel(decision.preempt)
        for _ in range(decision.start_online):
            self._start(self._queues.online.popleft(), now_ms)
        for _ in range(decision.start_batch):
            self._start(self._queues.batch.popleft(), now_ms)

    def _drop_expired_permits(self) -> None:
        """Refuse waiting batch items without a valid permit; fail those that were preempted."""
        state = self._admission_state()
        for run in [run for run in self._queues.batch if not has_valid_permit(run.dispatch, state)]:
            self._queues.batch.remove(run)
            if run.preemptions:
                self._responses.fail(run, ResultCode.PREEMPTED, resume_text=run.resume_text)
            else:
                self._responses.refuse_run(run, ResultCode.PERMIT_EXPIRED)

    def _start(self, run: TargetRun, now_ms: float) -> None:
        run.started_ms = now_ms
        run.boot_id = self._lifecycle.boot_id
        self._queues.running[run.run_id] = run
        self._metrics.record_ms(
            "agent_wait_online" if run.is_online else "agent_wait_batch", now_ms - run.queued_ms
        )
        if run.is_suspect:
            self._responses.send_started(run)
        self._runner.start(run, run.deadline_ms - now_ms)

    def _record_token_interval(self, run: TargetRun, interval_ms: float) -> None:
        """Record the time between two tokens of a run. Called on the run's worker thread."""
        online, batch = self._online_in_target, self._batch_in_target
        self._step_times.observe(run.last_token_ms + interval_ms, online + batch, interval_ms)
        if run.is_online:
            self._online_tail.observe(interval_ms, online, batch)

    def _begin_drain(self) -> None:
        if self._drain_began_ms is None:
            self._drain_began_ms = self.clock.monotonic_ms()
        for run in list(self._queues.batch):
            self._lifecycle.cancel_waiting(run, ResultCode.LEAVING)

    def _revision(self) -> int:
        return self._settings.current().revision

    def _make_load(self) -> Load:
        online, batch = self._queues.count_running()
        return Load(
            online,
            self._queues.count_waiting_online(),
            batch,
            self.batch_room,
            self._max_running,
            self._step_times.predict_ms(online + batch) if online + batch else 0.0,
        )

    @property
    def batch_room(self) -> int:
        """Number of further batch items that the agent would admit now."""
        if self._drain_began_ms is not None or not self._lifecycle.boot_id:
            return 0
        return max(0, self._max_running - self._queues.count_waiting_batch())

    def _admission_state(self) -> AdmissionState:
        online, batch = self._queues.count_running()
        now_ms = self.clock.monotonic_ms()
        return AdmissionState(
            self._incarnation,
            self._revision(),
            self._drain_began_ms is not None,
            bool(self._lifecycle.boot_id) and now_ms - self._started_ms >= STARTUP_GRACE_MS,
            self._models,
            self._max_running * 2 - online - self._queues.count_waiting_online(),
            self.batch_room,
            now_ms,
            self._permit_interval_ms,
            self._lifecycle.online_wait_ms(self._max_running),
            self._step_times.predict_ms(online + 1),
        )

    def _publish_status(self) -> None:
        status = StatusChanged(
            self._make_load(), self._models, self._revision(), self._drain_began_ms is not None
        )
        if status != self._status:
            self._status = status
            self._sink.post(status)


def _dump_run(run: TargetRun, now_ms: float) -> dict[str, object]:
    return {
        "run_id": run.run_id,
        "request_id": run.dispatch.request_id,
        "trace_id": run.dispatch.trace_id,
        "work_class": run.dispatch.work_class.value,
        "age_ms": now_ms - run.queued_ms,
        "tokens": run.tokens,
        "preemptions": run.preemptions,
        "is_suspect": run.is_suspect,
    }
