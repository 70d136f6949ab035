"""Crash suspicion in the agent: which request contents may have crashed targets.

Content that was in flight at a crash becomes suspect and must run alone; convicted content is
refused. Agents learn of crashes of other targets through entries.
"""

from collections.abc import Iterable
from uuid import uuid4

from ebonyshore.agent.target_run import TargetRun
from ebonyshore.link.messages import CrashReport, Verdict, VerdictShare
from ebonyshore.link.suspicion import ISOLATED_CONVICTION_CRASHES, SuspicionTable

# Content that was in flight at a crash of this target does not start here again for this long. Its
# next run goes to the other of the two targets to which entries route it; otherwise copies of the
# content could crash both targets once more before the second crash is known.
LOCAL_CRASH_DEFERRAL_MS = 5_000.0


def crash_agent_id(crash_id: str) -> str:
    """Return the id of the agent whose target crashed, which is the first part of the crash id."""
    return crash_id.partition("/")[0]


class CrashSuspicion:
    """The suspicion table of one agent, and the crashes of its own target.

    :param agent_id: instance id of the agent; the first part of the ids of its target's crashes.
    :param expiry_ms: time after which suspicion expires, in milliseconds.
    """

    __slots__ = ("_agent_id", "_local_crash_ms", "table")

    def __init__(self, agent_id: str, expiry_ms: float) -> None:
        self._agent_id = agent_id
        self._local_crash_ms: dict[str, float] = {}
        self.table = SuspicionTable(expiry_ms, ISOLATED_CONVICTION_CRASHES)

    def record_local_crash(self, runs: Iterable[TargetRun], now_ms: float) -> CrashReport:
        """Record a crash of this target with ``runs`` in flight and return the report of it."""
        runs = list(runs)
        report = CrashReport(
            f"{self._agent_id}/{uuid4().hex}",
            self._agent_id,
            tuple(sorted({run.dispatch.content_digest for run in runs})),
            tuple(sorted({run.dispatch.content_digest for run in runs if run.is_suspect})),
        )
        self.add_crash_report(report, now_ms)
        return report

    def add_crash_report(self, report: CrashReport, now_ms: float) -> bool:
        """Record a crash report of any agent; return whether it was new."""
        if crash_agent_id(report.crash_id) == self._agent_id:
            self._local_crash_ms.update(dict.fromkeys(report.content_digests, now_ms))
        return self.table.record_crash(report, now_ms)

    def merge_verdicts(self, share: VerdictShare, now_ms: float) -> None:
        """Merge the verdicts that an entry has sent into the table.

        Verdicts with the id of a crash of this target also set the time of that crash, because a
        restarted agent does not know the crashes that it reported before.
        """
        self.table.merge(share.verdicts, now_ms)
        for verdict in share.verdicts:
            if any(crash_agent_id(crash_id) == self._agent_id for crash_id in verdict.crash_ids):
                crash_ms = now_ms - verdict.age_ms
                known_ms = self._local_crash_ms.get(verdict.content_digest, crash_ms)
                self._local_crash_ms[verdict.content_digest] = max(known_ms, crash_ms)

    def clear_completed(self, run: TargetRun) -> VerdictShare | None:
        """Clear the content of a completed run of suspicion.

        :return: the verdict to broadcast if the content was a suspect, else ``None``.
        """
        digest = run.dispatch.content_digest
        self._local_crash_ms.pop(digest, None)
        if not self.table.record_completed(digest):
            return None
        return VerdictShare((Verdict(digest, 0, False, 0.0, is_cleared=True),))

    def is_suspect(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether the content of a run is suspect, so that it must run isolated."""
        is_known = self.table.is_suspect(run.dispatch.content_digest, now_ms)
        return is_known or run.dispatch.is_suspect

    def is_convicted(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether the content of a run is convicted, so that it must not run."""
        return self.table.is_convicted(run.dispatch.content_digest, now_ms)

    def is_deferred(self, run: TargetRun, now_ms: float) -> bool:
        """Return whether a run must wait because of a recent crash of this target.

        That is a crash within the last :data:`LOCAL_CRASH_DEFERRAL_MS` with its content in flight.
        """
        crash_ms = self._local_crash_ms.get(run.dispatch.content_digest)
        if crash_ms is None:
            return False
        if now_ms - crash_ms < LOCAL_CRASH_DEFERRAL_MS:
            return True
        del self._local_crash_ms[run.dispatch.content_digest]
        return False
