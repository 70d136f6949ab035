"""A simulated agent with its target, for :mod:`ebonyshore_standins.batch_simulation`."""

from collections import deque
from dataclasses import dataclass
from itertools import count

from msgspec.json import decode, encode
from returns.result import Failure

from ebonyshore.agent.agent_admission import AdmissionState, check_admission, has_valid_permit
from ebonyshore.frame.result_codes import Execution, ResultCode
from ebonyshore.link.messages import (
    Chunk,
    CrashReport,
    Dispatch,
    Failed,
    Finished,
    Load,
    Refused,
    Usage,
)
from ebonyshore.link.suspicion import ISOLATED_CONVICTION_CRASHES, SuspicionTable
from ebonyshore_standins.batch_simulation_base import BatchSimulationBase, EntryLinkBase
from ebonyshore_standins.engine_model import token_at

MODELS = ("reader", "writer")
POISON_MARKER = "CRASH-THE-ENGINE"
MAX_RUNNING = 24
MIN_ITEM_MS = 200.0
MAX_ITEM_MS = 1_500.0
PERMIT_INTERVAL_MS = 10_000.0
SUSPICION_EXPIRY_MS = 600_000.0
CRASH_RESTART_MS = 3_000.0

_crash_numbers = count()


@dataclass(slots=True, eq=False)
class SimulatedRun:
    """A dispatch that waits or runs at the agent.

    :param link: the connection to send its messages to.
    :param end_ms: simulated time at which a running item completes.
    """

    link: EntryLinkBase
    dispatch: Dispatch
    start_ms: float = 0.0
    end_ms: float = 0.0


class SimulatedAgent:
    """An agent that completes each item after a random time.

    It uses the production admission and suspicion code.

    :ivar settings_revision: revision that the agent compares with that of a dispatch.
    :ivar stall_until_ms: until this simulated time, running items do not complete.
    :ivar target_ready_ms: simulated time at which the target has restarted after a crash.
    """

    def __init__(self, simulation: BatchSimulationBase, agent_id: str) -> None:
        self.simulation = simulation
        self.agent_id = agent_id
        self.incarnation_number = 0
        self.settings_revision = simulation.settings_tree.revision
        self.is_down = False
        self.stall_until_ms = 0.0
        self.target_ready_ms = 0.0
        self.suspicion = SuspicionTable(SUSPICION_EXPIRY_MS, ISOLATED_CONVICTION_CRASHES)
        self.waiting: deque[SimulatedRun] = deque()
        self.running: list[SimulatedRun] = []
        self._offset_ms = simulation.random.uniform(0, 1e6)

    @property
    def incarnation(self) -> str:
        """Id of the current run of the agent; changes with every restart."""
        return f"{self.agent_id}/{self.incarnation_number}"

    @property
    def tick_ms(self) -> float:
        """The agent's monotonic time; its offset differs from that of the entries."""
        return self.simulation.now_ms + self._offset_ms

    def load(self) -> Load:
        """Return the load that the agent reports."""
        room = max(0, MAX_RUNNING - len(self.waiting))
        return Load(batch_running=len(self.running), batch_room=room, max_running=MAX_RUNNING)

    def receive(self, link: EntryLinkBase, dispatch: Dispatch) -> None:
        """Queue a dispatch, or refuse it.

        :param link: the connection that the dispatch came from.
        """
        code = self._refusal_code(dispatch)
        if code is not None:
            self._refuse(link, dispatch, code)
            return
        self.waiting.append(SimulatedRun(link, dispatch))

    def cancel(self, request_id: str) -> None:
        """Cancel a waiting or running dispatch; unknown ids are ignored."""
        for run in [r for r in self.waiting if r.dispatch.request_id == request_id]:
            self.waiting.remove(run)
            self._refuse(run.link, run.dispatch, ResultCode.CANCELLED)
        for run in [r for r in self.running if r.dispatch.request_id == request_id]:
            self.running.remove(run)
            self._fail(run, ResultCode.CANCELLED, self._partial_text(run))

    def abort_work_of(self, link: EntryLinkBase) -> None:
        """Abort all dispatches that came over a lost connection, without sending an outcome."""
        self.waiting = deque(r for r in self.waiting if r.link is not link)
        self.running = [r for r in self.running if r.link is not link]

    def step(self) -> None:
        """Complete the items that are due and start waiting ones, unless the target is down."""
        now_ms = self.simulation.now_ms
        if self.is_down or now_ms < self.target_ready_ms:
            return
        if now_ms >= self.stall_until_ms:
            for run in [r for r in self.running if r.end_ms <= now_ms]:
                if run in self.running:
                    self._complete(run)
        while self.waiting and len(self.running) < MAX_RUNNING:
            self._start(self.waiting.popleft())

    def preempt(self) -> None:
        """Preempt all running items; each failure carries the text generated so far."""
        runs, self.running = self.running, []
        for run in runs:
            self._fail(run, ResultCode.PREEMPTED, self._partial_text(run))

    def kill(self) -> None:
        """Kill the agent; its dispatches are lost without an outcome."""
        self.is_down = True
        self.waiting.clear()
        self.running.clear()

    def restart(self) -> None:
        """Start the agent as a new incarnation, without any dispatches."""
        self.incarnation_number += 1
        self.is_down = False
        self.waiting.clear()
        self.running.clear()

    def clear_faults(self) -> None:
        """End a stall, and restart the agent if it was killed."""
        self.stall_until_ms = 0.0
        if self.is_down:
            self.restart()

    def crash(self) -> None:
        """Crash the target: all running items fail, and every agent records the crash report."""
        runs, self.running = self.running, []
        self.target_ready_ms = self.simulation.now_ms + CRASH_RESTART_MS
        self.simulation.events["target_crash"] += 1
        report = CrashReport(
            f"crash-{next(_crash_numbers)}",
            self.agent_id,
            tuple({r.dispatch.content_digest for r in runs}),
            tuple({r.dispatch.content_digest for r in runs if self._is_suspect(r.dispatch)}),
        )
        for agent in self.simulation.agents:
            agent.suspicion.record_crash(report, self.simulation.now_ms)
        for run in runs:
            self._fail(run, ResultCode.TARGET_CRASHED, "")

    def _refusal_code(self, dispatch: Dispatch) -> ResultCode | None:
        result = check_admission(dispatch, self._admission_state())
        if isinstance(result, Failure):
            return result.failure().code
        if self.suspicion.is_convicted(dispatch.content_digest, self.simulation.now_ms):
            return ResultCode.CONVICTED
        held = [*self.waiting, *self.running]
        if self._is_suspect(dispatch) and any(self._is_suspect(r.dispatch) for r in held):
            return ResultCode.SUSPECT_BUSY
        return None

    def _is_suspect(self, dispatch: Dispatch) -> bool:
        is_known_suspect = self.suspicion.is_suspect(
            dispatch.content_digest, self.simulation.now_ms
        )
        return dispatch.is_suspect or is_known_suspect

    def _admission_state(self) -> AdmissionState:
        return AdmissionState(
            self.incarnation,
            self.settings_revision,
            False,
            self.simulation.now_ms >= self.target_ready_ms,
            MODELS,
            MAX_RUNNING,
            MAX_RUNNING - len(self.waiting),
            self.tick_ms,
            PERMIT_INTERVAL_MS,
        )

    def _start(self, run: SimulatedRun) -> None:
        if not has_valid_permit(run.dispatch, self._admission_state()):
            self._refuse(run.link, run.dispatch, ResultCode.PERMIT_EXPIRED)
            return
        self.simulation.record_item_start(run.dispatch.trace_id)
        run.start_ms = self.simulation.now_ms
        run.end_ms = run.start_ms + self.simulation.random.uniform(MIN_ITEM_MS, MAX_ITEM_MS)
        self.running.append(run)

    def _complete(self, run: SimulatedRun) -> None:
        body = decode(run.dispatch.body)
        if POISON_MARKER in body["messages"][0]["content"]:
            self.crash()
            return
        self.running.remove(run)
        self.suspicion.record_completed(run.dispatch.content_digest)
        request_id = run.dispatch.request_id
        events = self._make_stream_events(run, body["max_tokens"])
        run.link.deliver(self, Chunk(request_id, 0, b"\n".join(events)))
        run.link.deliver(self, Finished(request_id, 1, usage=Usage(1, body["max_tokens"])))

    def _make_stream_events(self, run: SimulatedRun, tokens: int) -> list[bytes]:
        first = len(run.dispatch.resume_text.split())
        prompt = self._prompt(run)
        events = [
            {"choices": [{"delta": {"content": token_at(prompt, index)}}]}
            for index in range(first, tokens)
        ]
        return [encode(event) for event in [*events, {"choices": [{"finish_reason": "stop"}]}]]

    def _partial_text(self, run: SimulatedRun) -> str:
        share = (self.simulation.now_ms - run.start_ms) / max(1.0, run.end_ms - run.start_ms)
        tokens = int(decode(run.dispatch.body)["max_tokens"] * min(share, 0.99))
        first = len(run.dispatch.resume_text.split())
        return "".join(token_at(self._prompt(run), index) for index in range(max(first, tokens)))

    def _prompt(self, run: SimulatedRun) -> str:
        return f"user: {decode(run.dispatch.body)['messages'][0]['content']}"

    def _refuse(self, link: EntryLinkBase, dispatch: Dispatch, code: ResultCode) -> None:
        link.deliver(self, Refused(dispatch.request_id, code))

    def _fail(self, run: SimulatedRun, code: ResultCode, resume_text: str) -> None:
        request_id = run.dispatch.request_id
        run.link.deliver(
            self, Failed(request_id, code, Execution.MAYBE_RUN, resume_text=resume_text)
        )
