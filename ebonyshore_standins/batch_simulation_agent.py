"""A simulated agent with its target, for :mod:`ebonyshore_standins.batch_simulation`."""

from collections import deque
from dataclasses import dataclass
from itertools import count

from msgspec.json import decode, encode
from returns.result import Failure

from ebonyshore.agent.agent_admission import AdmissionState, check_admission, has_valid_permit
from ebonyshore.entry.suspicion import SuspicionTable
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
    """A dispatch that the agent holds."""

    link: EntryLinkBase
    dispatch: Dispatch
    start_ms: float = 0.0
    end_ms: float = 0.0


class SimulatedAgent:
    """Runs items for a random time, with the real admission and suspicion code."""

    def __init__(self, world: BatchSimulationBase, agent_id: str) -> None:
        self.simulation = world
        self.agent_id = agent_id
        self.incarnation_number = 0
        self.settings_revision = world.settings_tree.revision
        self.is_down = False
        self.stall_until_ms = 0.0
        self.target_ready_ms = 0.0
        self.suspicion = SuspicionTable(SUSPICION_EXPIRY_MS)
        self.waiting: deque[SimulatedRun] = deque()
        self.running: list[SimulatedRun] = []
        self._offset_ms = world.random.uniform(0, 1e6)

    @property
    def incarnation(self) -> str:
        """Id of this run of the agent."""
        return f"{self.agent_id}/{self.incarnation_number}"

    @property
    def tick_ms(self) -> float:
        """The agent's own monotonic time."""
        return self.simulation.now_ms + self._offset_ms

    def load(self) -> Load:
        """Return the load that the agent reports."""
        room = max(0, MAX_RUNNING - len(self.waiting))
        return Load(batch_running=len(self.running), batch_room=room, max_running=MAX_RUNNING)

    def receive(self, link: EntryLinkBase, dispatch: Dispatch) -> None:
        """Take or refuse a dispatch."""
        code = self._refusal(dispatch)
        if code is not None:
            self._refuse(link, dispatch, code)
            return
        self.waiting.append(SimulatedRun(link, dispatch))

    def cancel(self, request_id: str) -> None:
        """Cancel a dispatch, waiting or running."""
        for run in [r for r in self.waiting if r.dispatch.request_id == request_id]:
            self.waiting.remove(run)
            self._refuse(run.link, run.dispatch, ResultCode.CANCELLED)
        for run in [r for r in self.running if r.dispatch.request_id == request_id]:
            self.running.remove(run)
            self._fail(run, ResultCode.CANCELLED, self._partial_text(run))

    def abort_work_of(self, link: EntryLinkBase) -> None:
        """Abort the work of an entry that was not heard for a while."""
        self.waiting = deque(r for r in self.waiting if r.link is not link)
        self.running = [r for r in self.running if r.link is not link]

    def step(self) -> None:
        """Start and end items."""
        now_ms = self.simulation.now_ms
        if self.is_down or now_ms < self.target_ready_ms:
            return
        if now_ms >= self.stall_until_ms:
            for run in [r for r in self.running if r.end_ms <= now_ms]:
                if run in self.running:
                    self._end(run)
        while self.waiting and len(self.running) < MAX_RUNNING:
            self._start(self.waiting.popleft())

    def preempt(self) -> None:
        """Hand all running items back with the text generated so far."""
        runs, self.running = self.running, []
        for run in runs:
            self._fail(run, ResultCode.PREEMPTED, self._partial_text(run))

    def kill(self) -> None:
        """Lose the instance with all that is in flight."""
        self.is_down = True
        self.waiting.clear()
        self.running.clear()

    def restart(self) -> None:
        """Begin another incarnation."""
        self.incarnation_number += 1
        self.is_down = False
        self.waiting.clear()
        self.running.clear()

    def clear_faults(self) -> None:
        """End all faults."""
        self.stall_until_ms = 0.0
        if self.is_down:
            self.restart()

    def crash(self) -> None:
        """Crash the target; all that runs fails, and every agent learns the digests."""
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

    def _refusal(self, dispatch: Dispatch) -> ResultCode | None:
        result = check_admission(dispatch, self._view())
        if isinstance(result, Failure):
            return result.failure().code
        if self.suspicion.is_convicted(dispatch.content_digest, self.simulation.now_ms):
            return ResultCode.CONVICTED
        held = [*self.waiting, *self.running]
        if self._is_suspect(dispatch) and any(self._is_suspect(r.dispatch) for r in held):
            return ResultCode.SUSPECT_BUSY
        return None

    def _is_suspect(self, dispatch: Dispatch) -> bool:
        known = self.suspicion.is_suspect(dispatch.content_digest, self.simulation.now_ms)
        return dispatch.is_suspect or known

    def _view(self) -> AdmissionState:
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
        if not has_valid_permit(run.dispatch, self._view()):
            self._refuse(run.link, run.dispatch, ResultCode.PERMIT_EXPIRED)
            return
        self.simulation.record_item_start(run.dispatch.trace_id)
        run.start_ms = self.simulation.now_ms
        run.end_ms = run.start_ms + self.simulation.random.uniform(MIN_ITEM_MS, MAX_ITEM_MS)
        self.running.append(run)

    def _end(self, run: SimulatedRun) -> None:
        body = decode(run.dispatch.body)
        if POISON_MARKER in body["messages"][0]["content"]:
            self.crash()
            return
        self.running.remove(run)
        self.suspicion.record_completed(run.dispatch.content_digest)
        request_id = run.dispatch.request_id
        events = self._events(run, body["max_tokens"])
        run.link.deliver(self, Chunk(request_id, 0, b"\n".join(events)))
        run.link.deliver(self, Finished(request_id, 1, usage=Usage(1, body["max_tokens"])))

    def _events(self, run: SimulatedRun, tokens: int) -> list[bytes]:
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
