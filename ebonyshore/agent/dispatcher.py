"""Carries out the schedule against the target. Owns all requests that the agent holds."""

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
# Entries learn of the start of the leaving within one message; dispatches sent before that arrive
# in this time and get a true refusal instead of a closed socket.
DRAIN_GRACE_MS = 1_000
# Every entry sends a heartbeat within 500 ms of reconnecting and hears then of the new run, so
# that crash reports about the run before arrive in this time.
STARTUP_GRACE_MS = 1_000


class ReceivedMessage(Struct, frozen=True):
    """A message from an entry."""

    peer: bytes
    message: Dispatch | Cancel | VerdictShare | CrashReport | Hello


class BeginDrain(Struct, frozen=True):
    """Refuse new work from now on."""


class ModelsChanged(Struct, frozen=True):
    """The target serves other models now."""

    models: tuple[str, ...]


DispatcherMessage = (
    ReceivedMessage | RunEnded | TargetProbed | PeerLost | BeginDrain | ModelsChanged
)


class Dispatcher(Task[DispatcherMessage]):
    """Runs requests on one target.

    :param runner: starts and ends runs on the target.
    :param sink: sends answers to entries.
    :param settings: the settings tree in force.
    :param target_settings: the agent's own settings of its target.
    :param agent_id: instance id.
    :param incarnation: random id of this run of the agent.
    :param cost: the engine's step time, as the runner observes it.
    :param permit_interval_ms: a batch item is started only this long after its permit's reading.
    :param policy: decides what runs; the bench passes its baselines.
    """

    def __init__(
        self,
        runner: TargetRunner,
        sink: MessageSink,
        settings: SettingsService,
        target_settings: TargetSettings,
        agent_id: str,
        incarnation: str,
        cost: StepTimeModel,
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
        self._cost = cost
        self._tail = OnlineTailEstimator(cost)
        self._permit_interval_ms = permit_interval_ms
        self._metrics = metrics
        self._models = tuple(target_settings.models)
        self._held = RunQueues()
        self._watch = CrashSuspicion(agent_id, settings.current().root().suspicion_expiry_ms)
        self._answers = ResponseSender(
            sink, incarnation, self._load, self._revision, clock, metrics, log
        )
        self._ends = RunLifecycle(
            self._held, self._watch, self._answers, runner, clock, metrics, log
        )
        self._leaving_since_ms: float | None = None
        self._started_ms = clock.monotonic_ms()
        self._next_tick_ms = 0.0
        self._next_probe_ms = 0.0
        self._is_probing = False
        self._status: StatusChanged | None = None
        self._online_in_target = 0
        self._batch_in_target = 0
        runner.set_callbacks(self.post, self._answers.send_chunk, self._observe)

    @property
    def is_idle(self) -> bool:
        """Whether a planned stop has no more work to wait for; may be read from any thread."""
        since_ms = self._leaving_since_ms
        if since_ms is None or not self._held.is_empty:
            return False
        return self.clock.monotonic_ms() - since_ms >= DRAIN_GRACE_MS

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump; a snapshot that may be a moment old."""
        now_ms = self.clock.monotonic_ms()
        return {
            "boot_id": self._ends.boot_id,
            "is_leaving": self._leaving_since_ms is not None,
            "models": list(self._models),
            "base_step_ms": self._cost.base_ms,
            "sequence_step_ms": self._cost.sequence_ms,
            "waiting": [_dump_run(run, now_ms) for run in self._held.waiting()],
            "running": [_dump_run(run, now_ms) for run in list(self._held.running.values())],
            "verdicts": [
                {"digest": v.content_digest, "crashes": v.crash_count, "convicted": v.is_convicted}
                for v in self._watch.table.export(now_ms)
            ],
        }

    def stop(self) -> None:
        super().stop()
        self._runner.close()

    def timer_ms(self) -> float | None:
        return self._next_tick_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_tick_ms = now_ms + TICK_MS
        if now_ms >= self._next_probe_ms and not self._is_probing:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            self._is_probing = True
            self._runner.probe(does_abort_all=not self._ends.boot_id)
        self._ends.expire(now_ms)
        self._schedule()

    def handle(self, message: DispatcherMessage) -> None:
        if isinstance(message, ReceivedMessage):
            self._handle_received(message)
        elif isinstance(message, RunEnded):
            self._ends.handle_run_ended(message)
        elif isinstance(message, TargetProbed):
            self._is_probing = False
            self._ends.handle_probe(message)
        elif isinstance(message, PeerLost):
            self._ends.cancel_peer(message.peer)
        elif isinstance(message, ModelsChanged):
            self._models = message.models
        else:
            self._begin_drain()
        self._schedule()

    def _handle_received(self, received: ReceivedMessage) -> None:
        message = received.message
        now_ms = self.clock.monotonic_ms()
        self._watch.table.expiry_ms = self._settings.current().root().suspicion_expiry_ms
        if isinstance(message, Dispatch):
            self._admit(received.peer, message, now_ms)
        elif isinstance(message, Cancel):
            self._ends.cancel(received.peer, message.request_id)
        elif isinstance(message, VerdictShare):
            self._watch.merge(message, now_ms)
            self._ends.apply_suspicion(now_ms)
        elif isinstance(message, CrashReport):
            if self._watch.record(message, now_ms):
                self._answers.broadcast(message)
            self._ends.apply_suspicion(now_ms)
        else:
            self._ends.share_verdicts(received.peer, self._sink)

    def _admit(self, peer: bytes, dispatch: Dispatch, now_ms: float) -> None:
        if not self._held.register_request(peer, dispatch.request_id):
            self._metrics.count("repeated_dispatches")
            return
        result = check_admission(dispatch, self._view())
        if isinstance(result, Failure):
            refusal: Refusal = result.failure()
            self._answers.refuse(
                peer, dispatch, refusal.code, refusal.retry_after_ms, refusal.detail
            )
            return
        run = TargetRun(uuid4().hex, peer, dispatch, now_ms + dispatch.deadline_left_ms, now_ms)
        run.resume_text = dispatch.resume_text
        if self._watch.is_convicted(run, now_ms):
            self._answers.refuse_run(run, ResultCode.CONVICTED)
            return
        run.is_suspect = self._watch.is_suspect(run, now_ms)
        self._held.add(run)

    def _schedule(self) -> None:
        now_ms = self.clock.monotonic_ms()
        if self._ends.boot_id:
            self._held.release_suspect(lambda run: self._watch.is_deferred(run, now_ms))
            self._drop_unpermitted()
            self._carry_out(self._decide(now_ms), now_ms)
        self._online_in_target, self._batch_in_target = self._held.count_running()
        self._publish_status()

    def _decide(self, now_ms: float) -> Decision:
        tier = self._settings.current().for_model(self._models[0] if self._models else "")
        state = make_scheduler_state(
            self._held, self._cost, self._tail, tier, self._max_running, now_ms
        )
        return self._policy(state)

    def _carry_out(self, decision: Decision, now_ms: float) -> None:
        for run_id in decision.preempt:
            self._held.running[run_id].is_preempted = True
            self._metrics.count("batch_preempted")
        if decision.preempt:
            self._runner.cancel(decision.preempt)
        for _ in range(decision.start_online):
            self._start(self._held.online.popleft(), now_ms)
        for _ in range(decision.start_batch):
            self._start(self._held.batch.popleft(), now_ms)

    def _drop_unpermitted(self) -> None:
        view = self._view()
        for run in [run for run in self._held.batch if not has_valid_permit(run.dispatch, view)]:
            self._held.batch.remove(run)
            if run.preemptions:
                self._answers.fail(run, ResultCode.PREEMPTED, resume_text=run.resume_text)
            else:
                self._answers.refuse_run(run, ResultCode.PERMIT_EXPIRED)

    def _start(self, run: TargetRun, now_ms: float) -> None:
        run.started_ms = now_ms
        run.boot_id = self._ends.boot_id
        self._held.running[run.run_id] = run
        self._metrics.record_ms(
            "agent_wait_online" if run.is_online else "agent_wait_batch", now_ms - run.queued_ms
        )
        if run.is_suspect:
            self._answers.started(run)
        self._runner.start(run, run.deadline_ms - now_ms)

    def _observe(self, run: TargetRun, interval_ms: float) -> None:
        """Take the time between two tokens of a run; called on its worker thread."""
        online, batch = self._online_in_target, self._batch_in_target
        self._cost.observe(run.last_token_ms + interval_ms, online + batch, interval_ms)
        if run.is_online:
            self._tail.observe(interval_ms, online, batch)

    def _begin_drain(self) -> None:
        if self._leaving_since_ms is None:
            self._leaving_since_ms = self.clock.monotonic_ms()
        for run in list(self._held.batch):
            self._ends.cancel_waiting(run, ResultCode.LEAVING)

    def _revision(self) -> int:
        return self._settings.current().revision

    def _load(self) -> Load:
        online, batch = self._held.count_running()
        return Load(
            online,
            self._held.waiting_online(),
            batch,
            self.batch_room,
            self._max_running,
            self._cost.predict_ms(online + batch) if online + batch else 0.0,
        )

    @property
    def batch_room(self) -> int:
        """Batch items that the agent would take now."""
        if self._leaving_since_ms is not None or not self._ends.boot_id:
            return 0
        return max(0, self._max_running - self._held.waiting_batch())

    def _view(self) -> AdmissionState:
        online, batch = self._held.count_running()
        now_ms = self.clock.monotonic_ms()
        return AdmissionState(
            self._incarnation,
            self._revision(),
            self._leaving_since_ms is not None,
            bool(self._ends.boot_id) and now_ms - self._started_ms >= STARTUP_GRACE_MS,
            self._models,
            self._max_running * 2 - online - self._held.waiting_online(),
            self.batch_room,
            now_ms,
            self._permit_interval_ms,
            self._ends.online_wait_ms(self._max_running),
            self._cost.predict_ms(online + 1),
        )

    def _publish_status(self) -> None:
        status = StatusChanged(
            self._load(), self._models, self._revision(), self._leaving_since_ms is not None
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
