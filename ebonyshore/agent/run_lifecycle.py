"""Ends of the agent's requests: completion, cancellation, preemption, deadline and target crash."""

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

HTTP_SUCCESS_STATUSES = range(200, 300)
# Weight of the newest run in the moving average of the durations of online runs.
MEAN_DURATION_WEIGHT = 0.05


class RunLifecycle:
    """Ends, requeues and isolates the runs of a dispatcher; used on the dispatcher's thread only.

    ``boot_id`` is the boot id of the target; it is empty while the target is down.

    :param queues: the waiting and running requests.
    :param suspicion: the crash suspicion of the agent.
    :param responses: sends final messages to entries.
    :param runner: cancels runs on the target.
    """

    def __init__(
        self,
        queues: RunQueues,
        suspicion: CrashSuspicion,
        responses: ResponseSender,
        runner: TargetRunner,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._queues = queues
        self._suspicion = suspicion
        self._responses = responses
        self._runner = runner
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._mean_online_ms = 0.0
        self._last_crash_ms = float("-inf")
        self.boot_id = ""

    def handle_run_ended(self, ended: RunEnded) -> None:
        """Handle the end of a run on the target. Ends of unknown runs are only counted.

        A broken connection counts as a crash unless the target still has the boot id of the run's
        start; then only this run fails.
        """
        run = self._queues.running.pop(ended.run_id, None)
        if run is None:
            self._metrics.count("late_run_ends")
        elif ended.outcome is RunOutcome.CRASHED and ended.boot_id != run.boot_id:
            self._handle_crash(run, ended.boot_id)
        elif run.is_answered:
            return
        elif ended.outcome is RunOutcome.COMPLETE:
            self._handle_complete(run, ended)
        elif ended.outcome is RunOutcome.ABORTED:
            self._handle_aborted(run, ended)
        elif ended.outcome is RunOutcome.UNREACHABLE:
            self._handle_unreachable(run, ended)
        else:
            self._responses.fail(run, ResultCode.STREAM_BROKEN, ended.detail)

    def handle_probe(self, probed: TargetProbed) -> None:
        """Adopt the boot id of a probe, unless a crash was detected after the probe began."""
        if probed.began_ms < self._last_crash_ms:
            return
        self.boot_id = probed.boot_id

    def cancel(self, peer: bytes, request_id: str) -> None:
        """Cancel a request of an entry. Another entry's request with the same id is not affected.

        :param peer: routing id of the entry's socket.
        """
        for run in self._queues.iter_waiting():
            if run.peer == peer and run.dispatch.request_id == request_id:
                self.cancel_waiting(run, ResultCode.CANCELLED)
        for run in self._queues.running.values():
            if run.peer == peer and run.dispatch.request_id == request_id:
                self._cancel_running(run)

    def cancel_peer(self, peer: bytes) -> None:
        """Cancel all requests of a lost entry."""
        held_runs = [*self._queues.iter_waiting(), *self._queues.running.values()]
        for run in [run for run in held_runs if run.peer == peer]:
            self._metrics.count("cancelled_with_peer")
            self.cancel(peer, run.dispatch.request_id)

    def cancel_waiting(self, run: TargetRun, code: ResultCode) -> None:
        """Remove a waiting request and send its final message.

        A request that was preempted before fails with the text generated so far; one that has never
        run is refused.

        :param code: reason for the end.
        """
        self._queues.remove_waiting(run)
        if run.preemptions:
            self._responses.fail(run, code, resume_text=run.resume_text)
        else:
            self._responses.refuse_run(run, code)

    def expire(self, now_ms: float) -> None:
        """End all requests whose deadlines have passed.

        The final messages go out at once, without waiting for the target to confirm.
        """
        for run in self._queues.iter_waiting():
            if run.deadline_ms <= now_ms:
                code = ResultCode.DEADLINE_UNREACHABLE
                self.cancel_waiting(run, ResultCode.DEADLINE_EXCEEDED if run.preemptions else code)
        for run in self._queues.running.values():
            if run.deadline_ms <= now_ms and not run.is_answered:
                self._responses.fail(run, ResultCode.DEADLINE_EXCEEDED)
                self._cancel_running(run)

    def online_wait_ms(self, max_running: int) -> float:
        """Estimate how many milliseconds a new online request would wait for the target.

        :param max_running: greatest number of requests that run in the target.
        """
        online, _ = self._queues.count_running()
        ahead = self._queues.count_waiting_online() + online + 1 - max_running
        return max(0, ahead) * self._mean_online_ms / max_running

    def apply_suspicion(self, now_ms: float) -> None:
        """Apply changed suspicion to all requests.

        Ends those whose content is convicted and isolates those whose content is suspect.
        """
        for run in self._queues.iter_waiting():
            if self._suspicion.is_convicted(run, now_ms):
                self.cancel_waiting(run, ResultCode.CONVICTED)
            elif not run.is_suspect and self._suspicion.is_suspect(run, now_ms):
                self._queues.remove_waiting(run)
                run.is_suspect = True
                self._queues.enqueue(run)
        for run in list(self._queues.running.values()):
            self._apply_to_running(run, now_ms)
        self._preempt_extra_suspects()

    def send_verdicts(self, peer: bytes, sink: MessageSink) -> None:
        """Send all current verdicts to an entry that has just connected."""
        verdicts = self._suspicion.table.export(self._clock.monotonic_ms())
        if verdicts:
            sink.post(Outgoing(peer, VerdictShare(verdicts)))

    def _apply_to_running(self, run: TargetRun, now_ms: float) -> None:
        if self._suspicion.is_convicted(run, now_ms):
            self._responses.fail(run, ResultCode.CONVICTED)
            self._cancel_running(run)
        elif not run.is_suspect and self._suspicion.is_suspect(run, now_ms):
            run.is_suspect = True
            self._responses.send_started(run)

    def _preempt_extra_suspects(self) -> None:
        """Preempt all running suspects but the first started one.

        Runs that must not be repeated, or of which the caller has got output, go on.
        """
        for run in self._queues.running_suspects()[1:]:
            can_restart = run.dispatch.is_repeatable and not run.chunk_count
            if can_restart and not (run.is_preempted or run.is_cancelled):
                run.is_preempted = True
                self._runner.cancel((run.run_id,))

    def _cancel_running(self, run: TargetRun) -> None:
        if not run.is_cancelled:
            run.is_cancelled = True
            self._runner.cancel((run.run_id,))

    def _handle_complete(self, run: TargetRun, ended: RunEnded) -> None:
        now_ms = self._clock.monotonic_ms()
        if run.is_online:
            run_ms = now_ms - run.started_ms
            self._mean_online_ms += MEAN_DURATION_WEIGHT * (run_ms - self._mean_online_ms)
        self._responses.finish(run, ended.answer)
        if ended.answer.http_status in HTTP_SUCCESS_STATUSES:
            cleared = self._suspicion.clear_completed(run)
            if cleared is not None:
                self._responses.broadcast(cleared)

    def _handle_aborted(self, run: TargetRun, ended: RunEnded) -> None:
        if run.is_cancelled:
            self._responses.fail(run, ResultCode.CANCELLED)
        elif run.is_online and run.chunk_count:
            self._responses.fail(run, ResultCode.STREAM_BROKEN, "the target aborted the stream")
        elif not run.dispatch.is_repeatable:
            self._responses.fail(run, ResultCode.OUTCOME_UNKNOWN, "the target aborted the request")
        else:
            self._requeue(run, ended.text)

    def _requeue(self, run: TargetRun, text: str) -> None:
        run.is_preempted = False
        run.preemptions += 1
        run.previous_tokens += run.run_tokens
        run.run_tokens = 0
        run.resume_text = text
        run.run_id = uuid4().hex
        self._queues.enqueue(run, is_first=True)

    def _handle_unreachable(self, run: TargetRun, ended: RunEnded) -> None:
        self.boot_id = ""
        if run.preemptions:
            self._responses.fail(run, ResultCode.PREEMPTED, ended.detail, run.resume_text)
        else:
            self._responses.refuse_run(run, ResultCode.NO_TARGET, ended.detail)

    def _handle_crash(self, run: TargetRun, boot_id: str) -> None:
        """Fail all runs that were in flight when the target crashed.

        The crash report goes out before the failures, so that a retry does not reach another agent
        before the report does.

        :param run: the run that detected the crash.
        :param boot_id: boot id of the target after the crash; empty if it does not answer.
        """
        now_ms = self._clock.monotonic_ms()
        same_boot = [r for r in self._queues.running.values() if r.boot_id == run.boot_id]
        runs = [run, *same_boot]
        for crashed in same_boot:
            del self._queues.running[crashed.run_id]
        self.boot_id = ""
        self._last_crash_ms = now_ms
        report = self._suspicion.record_local_crash(runs, now_ms)
        self._responses.broadcast(report)
        self._metrics.count("target_crashes")
        self._log.event(
            "target_crashed", in_flight=len(runs), crash_id=report.crash_id, boot_id=boot_id
        )
        for crashed in runs:
            is_convicted = self._suspicion.is_convicted(crashed, now_ms)
            code = ResultCode.CONVICTED if is_convicted else ResultCode.TARGET_CRASHED
            self._responses.fail(crashed, code)
        self.apply_suspicion(now_ms)
