"""The agent's part in crash suspicion: what was in flight, who may run, what peers know."""

from collections.abc import Iterable
from uuid import uuid4

from ebonyshore.agent.target_run import TargetRun
from ebonyshore.entry.suspicion import SuspicionTable
from ebonyshore.link.messages import CrashReport, Verdict, VerdictShare

# Content that was in flight at a crash here leaves its next run to the other candidate for this
# long, so that its copies cannot crash both targets once more before the second crash is known.
LOCAL_CRASH_DEFERRAL_MS = 5_000.0


def agent_of(crash_id: str) -> str:
    """Return the agent whose target crashed."""
    return crash_id.partition("/")[0]


class CrashSuspicion:
    """Suspicion as one agent applies it.

    :param agent_id: instance id; the first part of the ids of crashes of its target.
    """

    __slots__ = ("_agent_id", "_own_crash_ms", "table")

    def __init__(self, agent_id: str, expiry_ms: float) -> None:
        self._agent_id = agent_id
        self._own_crash_ms: dict[str, float] = {}
        self.table = SuspicionTable(expiry_ms)

    def report_crash(self, runs: Iterable[TargetRun], now_ms: float) -> CrashReport:
        """Return the report of a crash with ``runs`` in flight; it is recorded already."""
        runs = list(runs)
        report = CrashReport(
            f"{self._agent_id}/{uuid4().hex}",
            self._agent_id,
            tuple(sorted({run.dispatch.content_digest for run in runs})),
            tuple(sorted({run.dispatch.content_digest for run in runs if run.is_suspect})),
        )
        self.record(report, now_ms)
        return report

    def record(self, report: CrashReport, now_ms: float) -> bool:
        """Take a crash report; return whether it was new."""
        if agent_of(report.crash_id) == self._agent_id:
            self._own_crash_ms.update(dict.fromkeys(report.content_digests, now_ms))
        return self.table.record_crash(report, now_ms)

    def merge(self, share: VerdictShare, now_ms: float) -> None:
        """Take what a peer knows."""
        self.table.merge(share.verdicts, now_ms)
        for verdict in share.verdicts:
            if any(agent_of(crash_id) == self._agent_id for crash_id in verdict.crash_ids):
                crash_ms = now_ms - verdict.age_ms
                known_ms = self._own_crash_ms.get(verdict.content_digest, crash_ms)
                self._own_crash_ms[verdict.content_digest] = max(known_ms, crash_ms)

    def clear(self, run: TargetRun) -> VerdictShare | None:
        """Clear content that has completed; return the news of it if it was a suspect."""
        digest = run.dispatch.content_digest
        self._own_crash_ms.pop(digest, None)
        if not self.table.record_completed(digest):
            return None
        return VerdictShare((Verdict(digest, 0, False, 0.0, is_cleared=True),))

    def is_suspect(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether a run must be isolated."""
        is_known = self.table.is_suspect(run.dispatch.content_digest, now_ms)
        return is_known or run.dispatch.is_suspect

    def is_convicted(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether a run must not start."""
        return self.table.is_convicted(run.dispatch.content_digest, now_ms)

    def is_deferred(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether a suspect must wait because this target crashed with it just now."""
        crash_ms = self._own_crash_ms.get(run.dispatch.content_digest)
        if crash_ms is None:
            return False
        if now_ms - crash_ms < LOCAL_CRASH_DEFERRAL_MS:
            return True
        del self._own_crash_ms[run.dispatch.content_digest]
        return False
