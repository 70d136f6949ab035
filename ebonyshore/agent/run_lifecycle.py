"""How requests that the agent holds end: complete, cancelled, preempted, expired, crashed."""

from uuid import uuid4

from ebonyshore.agent.agent_server import Outgoing
from ebonyshore.agent.crash_suspicion import CrashSuspicion
from ebonyshore.agent.response_sender import MessageSink, ResponseSender
from ebonyshore.agent.run_queues import RunQueues
from ebonyshore.agent.target_run import RunEnded, RunOutcome, TargetRun
from ebonyshore.agent.target_runner import TargetProbed, TargetRunner
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import VerdictShare

HTTP_OK_RANGE = range(200, 300)
DURATION_WEIGHT = 0.05


class RunLifecycle:
    """Part of the dispatcher, on its thread.

    ``boot_id`` is that of the target; empty while it is down.
    """

    def __init__(
        self,
        held: RunQueues,
        watch: CrashSuspicion,
        answers: ResponseSender,
        runner: TargetRunner,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._held = held
        self._watch = watch
        self._answers = answers
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._online_ms = 0.0
        self._boot_changed_ms = float("-inf")
        self.boot_id = ""

    def handle_run_ended(self, ended: RunEnded) -> None:
        """Take the end of a run; ends of runs that are gone already are ignored."""
        run = self._held.running.pop(ended.run_id, None)
        if run is None:
            self._metrics.count("late_run_ends")
        elif ended.outcome is RunOutcome.CRASHED and ended.boot_id != run.boot_id:
            self._crash(run, ended.boot_id)
        elif run.is_answered:
            return
        elif ended.outcome is RunOutcome.COMPLETE:
            self._finish(run, ended)
        elif ended.outcome is RunOutcome.ABORTED:
            self._handle_aborted(run, ended)
        elif ended.outcome is RunOutcome.UNREACHABLE:
            self._handle_unreachable(run, ended)
        else:
            self._answers.fail(run, ResultCode.STREAM_BROKEN, ended.detail)

    def handle_probe(self, probed: TargetProbed) -> None:
        """Take the target's boot id, unless a crash has told a newer one since."""
        if probed.began_ms < self._boot_changed_ms:
            return
        self.boot_id = probed.boot_id

    def cancel(self, peer: bytes, request_id: str) -> None:
        """Cancel a request of an entry; another entry's request of that id is left alone."""
        for run in self._held.waiting():
            if run.peer == peer and run.dispatch.request_id == request_id:
                self.cancel_waiting(run, ResultCode.CANCELLED)
        for run in self._held.running.values():
            if run.peer == peer and run.dispatch.request_id == request_id:
                self._stop(run)

    def cancel_peer(self, peer: bytes) -> None:
        """Cancel all requests of an entry that is gone."""
        held = [*self._held.waiting(), *self._held.running.values()]
        for run in [run for run in held if run.peer == peer]:
            self._metrics.count("cancelled_with_peer")
            self.cancel(peer, run.dispatch.request_id)

    def cancel_waiting(self, run: TargetRun, code: ResultCode) -> None:
        """End a request that is not in the target."""
        self._held.drop_waiting(run)
        if run.preemptions:
            self._answers.fail(run, code, resume_text=run.resume_text)
        else:
            self._answers.refuse_run(run, code)

    def expire(self, now_ms: float) -> None:
        """End what has passed its deadline; the entry hears of it at once."""
        for run in self._held.waiting():
            if run.deadline_ms <= now_ms:
                code = ResultCode.DEADLINE_UNREACHABLE
                self.cancel_waiting(run, ResultCode.DEADLINE_EXCEEDED if run.preemptions else code)
        for run in self._held.running.values():
            if run.deadline_ms <= now_ms and not run.is_answered:
                self._answers.fail(run, ResultCode.DEADLINE_EXCEEDED)
                self._stop(run)

    def online_wait_ms(self, max_running: int) -> float:
        """Return how long a new online request would wait for a place in the target."""
        online, _ = self._held.count_running()
        ahead = self._held.waiting_online() + online + 1 - max_running
        return max(0, ahead) * self._online_ms / max_running

    def apply_suspicion(self, now_ms: float) -> None:
        """Isolate or end held content that has become suspect or convicted by news."""
        for run in self._held.waiting():
            if self._watch.is_convicted(run, now_ms):
                self.cancel_waiting(run, ResultCode.CONVICTED)
            elif not run.is_suspect and self._watch.is_suspect(run, now_ms):
                self._held.drop_waiting(run)
                run.is_suspect = True
                self._held.add(run)
        for run in list(self._held.running.values()):
            self._apply_to_running(run, now_ms)
        self._leave_one_suspect()

    def share_verdicts(self, peer: bytes, sink: MessageSink) -> None:
        """Send all verdicts to an entry that has just connected."""
        verdicts = self._watch.table.export(self._clock.monotonic_ms())
        if verdicts:
            sink.post(Outgoing(peer, VerdictShare(verdicts)))

    def _apply_to_running(self, run: TargetRun, now_ms: float) -> None:
        if self._watch.is_convicted(run, now_ms):
            self._answers.fail(run, ResultCode.CONVICTED)
            self._stop(run)
        elif not run.is_suspect and self._watch.is_suspect(run, now_ms):
            run.is_suspect = True
            self._answers.started(run)

    def _leave_one_suspect(self) -> None:
        """Preempt all suspects but the first, as far as they can start again unnoticed."""
        for run in self._held.running_suspects()[1:]:
            can_restart = run.dispatch.is_repeatable and not run.chunk_count
            if can_restart and not (run.is_preempted or run.is_cancelled):
                run.is_preempted = True
                self._runner.cancel((run.run_id,))

    def _stop(self, run: TargetRun) -> None:
        if not run.is_cancelled:
            run.is_cancelled = True
            self._runner.cancel((run.run_id,))

    def _finish(self, run: TargetRun, ended: RunEnded) -> None:
        now_ms = self._clock.monotonic_ms()
        if run.is_online:
            run_ms = now_ms - run.started_ms
            self._online_ms += DURATION_WEIGHT * (run_ms - self._online_ms)
        self._answers.finish(run, ended.answer)
        if ended.answer.http_status in HTTP_OK_RANGE:
            news = self._watch.clear(run)
            if news is not None:
                self._answers.broadcast(news)

    def _handle_aborted(self, run: TargetRun, ended: RunEnded) -> None:
        if run.is_cancelled:
            self._answers.fail(run, ResultCode.CANCELLED)
        elif run.is_online and run.chunk_count:
            self._answers.fail(run, ResultCode.STREAM_BROKEN, "the target aborted the stream")
        elif not run.dispatch.is_repeatable:
            self._answers.fail(run, ResultCode.OUTCOME_UNKNOWN, "the target aborted the request")
        else:
            self._hold_again(run, ended.text)

    def _hold_again(self, run: TargetRun, text: str) -> None:
        run.is_preempted = False
        run.preemptions += 1
        run.kept_tokens += run.run_tokens
        run.run_tokens = 0
        run.resume_text = text
        run.run_id = uuid4().hex
        self._held.add(run, is_first=True)

    def _handle_unreachable(self, run: TargetRun, ended: RunEnded) -> None:
        self.boot_id = ""
        if run.preemptions:
            self._answers.fail(run, ResultCode.PREEMPTED, ended.detail, run.resume_text)
        else:
            self._answers.refuse_run(run, ResultCode.NO_TARGET, ended.detail)

    def _crash(self, run: TargetRun, boot_id: str) -> None:
        """End all runs of the boot that has crashed; the report goes out before their answers."""
        now_ms = self._clock.monotonic_ms()
        same_boot = [r for r in self._held.running.values() if r.boot_id == run.boot_id]
        runs = [run, *same_boot]
        for crashed in same_boot:
            del self._held.running[crashed.run_id]
        self.boot_id = ""
        self._boot_changed_ms = now_ms
        report = self._watch.report_crash(runs, now_ms)
        self._answers.broadcast(report)
        self._metrics.count("target_crashes")
        self._log.event(
            "target_crashed", in_flight=len(runs), crash_id=report.crash_id, boot_id=boot_id
        )
        for crashed in runs:
            is_convicted = self._watch.is_convicted(crashed, now_ms)
            code = ResultCode.CONVICTED if is_convicted else ResultCode.TARGET_CRASHED
            self._answers.fail(crashed, code)
        self.apply_suspicion(now_ms)
