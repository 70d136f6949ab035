"""Carries out the schedule against the target. Owns all requests that the agent holds."""

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from uuid import uuid4

from msgspec import Struct
from returns.result import Failure

from ebonyshore.agent_admission import AgentView, check_admission, is_permitted
from ebonyshore.agent_server import AgentServer, Broadcast, Outgoing, PeerLost, StatusChanged
from ebonyshore.baseline_policies import make_decide
from ebonyshore.clock import Clock
from ebonyshore.engine import Engine, PlainService
from ebonyshore.errors import TargetError
from ebonyshore.logs import EventLog
from ebonyshore.messages import (
    Cancel,
    Chunk,
    CrashReport,
    Dispatch,
    Failed,
    Finished,
    Load,
    Refused,
    Usage,
    VerdictShare,
)
from ebonyshore.metrics import Metrics
from ebonyshore.process_settings import TargetSettings
from ebonyshore.result_codes import Execution, ResultCode
from ebonyshore.scheduler import Decision, SchedulerState
from ebonyshore.settings_service import SettingsService
from ebonyshore.suspicion import SuspicionTable
from ebonyshore.target_run import RunEnded, RunOutcome, TargetRun, run_on_target
from ebonyshore.task import Task

PROBE_INTERVAL_MS = 200
BATCH_WINDOW_RATIO = 1
SPARE_THREADS = 32
DEFAULT_PERMIT_INTERVAL_MS = 10_000


class Received(Struct, frozen=True):
    """A dispatch or cancel from an entry."""

    peer: bytes
    message: Dispatch | Cancel | VerdictShare | CrashReport


class TargetProbed(Struct, frozen=True):
    """Result of a health probe.

    :param boot_id: empty if the target does not answer.
    """

    boot_id: str


class BeginDrain(Struct, frozen=True):
    """Refuse new work from now on."""


class Dispatcher(Task[Received | RunEnded | TargetProbed | PeerLost | BeginDrain]):
    """Runs requests on one target.

    :param target: the engine or plain service.
    :param server: sends answers to entries.
    :param settings: the settings tree in force.
    :param target_settings: the agent's own settings of its target.
    :param incarnation: random id of this run of the agent.
    """

    def __init__(
        self,
        target: PlainService,
        server: AgentServer,
        settings: SettingsService,
        target_settings: TargetSettings,
        incarnation: str,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        super().__init__("dispatcher", clock)
        self._target = target
        self._server = server
        self._settings = settings
        self._max_running = target_settings.max_running
        self._decide = make_decide(target_settings.policy)
        self._incarnation = incarnation
        self._models = tuple(target_settings.models)
        self._metrics = metrics
        self._log = log
        self._online: deque[TargetRun] = deque()
        self._batch: deque[TargetRun] = deque()
        self._running: dict[str, TargetRun] = {}
        self._suspicion = SuspicionTable(settings.current().root().suspicion_expiry_ms)
        self._boot_id = ""
        self._is_leaving = False
        self._next_probe_ms = 0.0
        self._is_probing = False
        self._pool = ThreadPoolExecutor(
            self._max_running + SPARE_THREADS, thread_name_prefix="target-run"
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is held or running; may be read from any thread."""
        return not (self._online or self._batch or self._running)

    def timer_ms(self) -> float | None:
        return self._next_probe_ms

    def on_timer(self) -> None:
        now_ms = self.clock.monotonic_ms()
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        if not self._is_probing:
            self._is_probing = True
            self._pool.submit(self._probe)
        self._expire_waiting(now_ms)
        self._schedule()

    def handle(self, message: Received | RunEnded | TargetProbed | PeerLost | BeginDrain) -> None:
        if isinstance(message, Received):
            self._handle_received(message)
        elif isinstance(message, RunEnded):
            self._handle_run_ended(message)
        elif isinstance(message, TargetProbed):
            self._handle_probed(message)
        elif isinstance(message, PeerLost):
            self._cancel_peer(message.peer)
        else:
            self._begin_drain()
        self._schedule()

    def _handle_received(self, received: Received) -> None:
        message = received.message
        if isinstance(message, Dispatch):
            self._admit(received.peer, message)
        elif isinstance(message, Cancel):
            self._cancel(received.peer, message.request_id)
        elif isinstance(message, VerdictShare):
            self._suspicion.merge(message.verdicts, self.clock.monotonic_ms())
        else:
            self._suspicion.record_crash(message, self.clock.monotonic_ms())

    def _admit(self, peer: bytes, dispatch: Dispatch) -> None:
        result = check_admission(dispatch, self._view())
        if isinstance(result, Failure):
            self._refuse(peer, dispatch, result.failure().code)
            return
        now_ms = self.clock.monotonic_ms()
        if self._suspicion.is_convicted(dispatch.content_digest, now_ms):
            self._refuse(peer, dispatch, ResultCode.CONVICTED)
            return
        run = TargetRun(uuid4().hex, peer, dispatch, now_ms + dispatch.deadline_left_ms, now_ms)
        run.resume_text = dispatch.resume_text
        (self._online if run.is_online else self._batch).append(run)

    def _schedule(self) -> None:
        decision = self._decide(self._scheduler_state())
        self._preempt(decision)
        for _ in range(decision.start_online):
            self._start(self._online.popleft())
        for _ in range(decision.start_batch):
            self._start_batch(self._batch.popleft())
        self._publish_status()

    def _start_batch(self, run: TargetRun) -> None:
        if is_permitted(run.dispatch, self._view()):
            self._start(run)
        elif run.preemptions:
            self._fail(run, ResultCode.PREEMPTED, Execution.MAYBE_RUN, run.resume_text)
        else:
            self._refuse(run.peer, run.dispatch, ResultCode.PERMIT_EXPIRED)

    def _start(self, run: TargetRun) -> None:
        now_ms = self.clock.monotonic_ms()
        run.started_ms = now_ms
        self._running[run.run_id] = run
        self._metrics.record_ms("agent_wait", now_ms - run.queued_ms)
        self._pool.submit(
            run_on_target, self._target, run, run.deadline_ms - now_ms, self._send_chunk, self.post
        )

    def _preempt(self, decision: Decision) -> None:
        candidates = [r for r in self._running.values() if not r.is_online and not r.is_preempted]
        candidates.sort(key=lambda run: run.started_ms, reverse=True)
        for run in candidates[: decision.preempt_batch]:
            run.is_preempted = True
            self._metrics.count("batch_preempted")
            self._pool.submit(self._abort_in_target, run.run_id)

    def _handle_run_ended(self, ended: RunEnded) -> None:
        run = self._running.pop(ended.run_id, None)
        if run is None:
            return
        if ended.outcome is RunOutcome.COMPLETE:
            self._finish(run, ended)
        elif ended.outcome is RunOutcome.ABORTED:
            self._handle_aborted(run, ended)
        elif ended.outcome is RunOutcome.CRASHED and ended.boot_id != self._boot_id:
            self._handle_crash(run, ended)
        elif ended.outcome is RunOutcome.UNREACHABLE:
            self._refuse(run.peer, run.dispatch, ResultCode.NO_TARGET)
        else:
            self._fail(run, ResultCode.STREAM_BROKEN, Execution.MAYBE_RUN, ended.text)

    def _finish(self, run: TargetRun, ended: RunEnded) -> None:
        answer = ended.answer
        if run.events:
            self._send_chunk(run.peer, Chunk(run.dispatch.request_id, 0, b"\n".join(run.events)))
            run.chunk_count = 1
        finished = Finished(
            run.dispatch.request_id,
            run.chunk_count,
            answer.http_status,
            answer.content_type,
            Usage(answer.prompt_tokens, answer.completion_tokens),
            self._load(),
        )
        self._server.post(Outgoing(run.peer, finished))
        self._suspicion.record_completed(run.dispatch.content_digest)
        self._metrics.count("online_finished" if run.is_online else "batch_finished")
        self._log_run(run, "request_finished", ResultCode.OK)

    def _handle_aborted(self, run: TargetRun, ended: RunEnded) -> None:
        if run.is_cancelled:
            self._fail(run, ResultCode.CANCELLED, Execution.MAYBE_RUN, ended.text)
            return
        run.is_preempted = False
        run.preemptions += 1
        run.resume_text = ended.text
        run.run_id = uuid4().hex
        self._batch.appendleft(run)

    def _handle_crash(self, run: TargetRun, ended: RunEnded) -> None:
        runs = [run, *self._running.values()]
        self._running.clear()
        self._boot_id = ended.boot_id
        report = CrashReport(
            uuid4().hex,
            "",
            tuple({r.dispatch.content_digest for r in runs}),
            tuple({r.dispatch.content_digest for r in runs if r.dispatch.is_suspect}),
        )
        self._suspicion.record_crash(report, self.clock.monotonic_ms())
        self._server.post(Broadcast(report))
        self._metrics.count("target_crashes")
        self._log.event("target_crashed", in_flight=len(runs), crash_id=report.crash_id)
        for crashed in runs:
            self._fail(crashed, ResultCode.TARGET_CRASHED, Execution.MAYBE_RUN, "")

    def _handle_probed(self, probed: TargetProbed) -> None:
        self._is_probing = False
        if probed.boot_id and not self._boot_id and isinstance(self._target, Engine):
            self._pool.submit(self._target.abort_all)
        self._boot_id = probed.boot_id

    def _probe(self) -> None:
        try:
            boot_id = self._target.boot_id()
        except TargetError:
            boot_id = ""
        self.post(TargetProbed(boot_id))

    def _cancel(self, peer: bytes, request_id: str) -> None:
        for waiting in (self._online, self._batch):
            for run in [r for r in waiting if r.dispatch.request_id == request_id]:
                waiting.remove(run)
                if run.preemptions:
                    self._fail(run, ResultCode.CANCELLED, Execution.MAYBE_RUN, run.resume_text)
                else:
                    self._refuse(peer, run.dispatch, ResultCode.CANCELLED)
        for run in self._running.values():
            if run.dispatch.request_id == request_id:
                run.is_cancelled = True
                self._pool.submit(self._abort_in_target, run.run_id)

    def _cancel_peer(self, peer: bytes) -> None:
        held = [*self._online, *self._batch, *self._running.values()]
        for run in [r for r in held if r.peer == peer]:
            self._cancel(peer, run.dispatch.request_id)

    def _abort_in_target(self, run_id: str) -> None:
        try:
            self._target.cancel(run_id)
        except TargetError as error:
            self._log.event("cancel_failed", run_id=run_id, detail=error.detail)

    def _begin_drain(self) -> None:
        self._is_leaving = True
        for run in list(self._batch):
            self._cancel(run.peer, run.dispatch.request_id)

    def _expire_waiting(self, now_ms: float) -> None:
        for run in [r for r in self._online if r.deadline_ms <= now_ms]:
            self._online.remove(run)
            self._refuse(run.peer, run.dispatch, ResultCode.DEADLINE_UNREACHABLE)

    def _refuse(self, peer: bytes, dispatch: Dispatch, code: ResultCode) -> None:
        refused = Refused(
            dispatch.request_id,
            code,
            settings_revision=self._settings.current().revision,
            incarnation=self._incarnation,
            load=self._load(),
        )
        self._server.post(Outgoing(peer, refused))
        self._metrics.count("refused")

    def _fail(
        self, run: TargetRun, code: ResultCode, execution: Execution, resume_text: str
    ) -> None:
        failed = Failed(
            run.dispatch.request_id, code, execution, "", resume_text, load=self._load()
        )
        self._server.post(Outgoing(run.peer, failed))
        self._log_run(run, "request_failed", code)

    def _log_run(self, run: TargetRun, event: str, code: ResultCode) -> None:
        self._log.event(
            event,
            trace_id=run.dispatch.trace_id,
            request_id=run.dispatch.request_id,
            work_class=run.dispatch.work_class.value,
            code=int(code),
            duration_ms=self.clock.monotonic_ms() - run.queued_ms,
        )

    def _send_chunk(self, peer: bytes, chunk: Chunk) -> None:
        self._server.post(Outgoing(peer, chunk))

    def _counts(self) -> tuple[int, int]:
        online = sum(run.is_online for run in self._running.values())
        return online, len(self._running) - online

    def _load(self) -> Load:
        online, batch = self._counts()
        return Load(online, len(self._online), batch, self._batch_room(), self._max_running, 0.0)

    def _batch_room(self) -> int:
        return max(0, self._max_running * BATCH_WINDOW_RATIO - len(self._batch))

    def _view(self) -> AgentView:
        online, _ = self._counts()
        return AgentView(
            self._incarnation,
            self._settings.current().revision,
            self._is_leaving,
            bool(self._boot_id),
            self._models,
            self._max_running * 2 - online - len(self._online),
            self._batch_room(),
            self.clock.monotonic_ms(),
            DEFAULT_PERMIT_INTERVAL_MS,
        )

    def _scheduler_state(self) -> SchedulerState:
        online, batch = self._counts()
        tier = self._settings.current().for_model(self._models[0])
        return SchedulerState(
            online,
            len(self._online),
            batch - sum(run.is_preempted for run in self._running.values()),
            len(self._batch) if self._boot_id else 0,
            self._max_running,
            tier.engine_base_step_ms,
            tier.engine_sequence_step_ms,
            tier.token_interval_objective_ms,
            tier.weighting,
        )

    def _publish_status(self) -> None:
        status = StatusChanged(
            self._load(), self._models, self._settings.current().revision, self._is_leaving
        )
        self._server.post(status)
