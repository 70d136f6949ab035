"""Which content is suspected of crashing targets, and which is convicted. Pure state, no clock."""

from collections.abc import Iterable
from dataclasses import dataclass

from ebonyshore.messages import CrashReport, Verdict

MAX_CRASH_REPORTS = 4096


@dataclass(slots=True)
class Suspect:
    """Suspicion of one content.

    :param crash_count: targets that crashed while they ran it.
    :param last_crash_ms: monotonic time of the last crash.
    """

    crash_count: int = 0
    is_convicted: bool = False
    last_crash_ms: float = 0.0


class SuspicionTable:
    """Suspicion by content digest.

    :param expiry_ms: an entry is forgotten this long after its last crash.
    """

    __slots__ = ("_crash_ids", "_suspects", "expiry_ms")

    def __init__(self, expiry_ms: float) -> None:
        self.expiry_ms = expiry_ms
        self._suspects: dict[str, Suspect] = {}
        self._crash_ids: dict[str, None] = {}

    def record_crash(self, report: CrashReport, now_ms: float) -> bool:
        """Count a crash once.

        :return: whether the report was new.
        """
        if report.crash_id in self._crash_ids:
            return False
        self._crash_ids[report.crash_id] = None
        if len(self._crash_ids) > MAX_CRASH_REPORTS:
            del self._crash_ids[next(iter(self._crash_ids))]
        for digest in report.content_digests:
            suspect = self._suspects.setdefault(digest, Suspect())
            suspect.crash_count += 1
            suspect.last_crash_ms = now_ms
        if len(report.suspect_digests) == 1:
            self._suspects[report.suspect_digests[0]].is_convicted = True
        return True

    def record_completed(self, content_digest: str) -> bool:
        """Clear content that ran to its end.

        :return: whether it was a suspect; a convicted one stays so.
        """
        suspect = self._suspects.get(content_digest)
        if suspect is None or suspect.is_convicted:
            return False
        del self._suspects[content_digest]
        return True

    def is_suspect(self, content_digest: str, now_ms: float) -> bool:
        """Return whether the content was in flight at a crash and has not been cleared."""
        return self._find(content_digest, now_ms) is not None

    def is_convicted(self, content_digest: str, now_ms: float) -> bool:
        """Return whether the content must not run."""
        suspect = self._find(content_digest, now_ms)
        return suspect is not None and suspect.is_convicted

    def merge(self, verdicts: Iterable[Verdict], now_ms: float) -> None:
        """Take over what another process knows."""
        for verdict in verdicts:
            if verdict.is_cleared:
                self.record_completed(verdict.content_digest)
                continue
            suspect = self._suspects.setdefault(verdict.content_digest, Suspect())
            suspect.crash_count = max(suspect.crash_count, verdict.crash_count)
            suspect.is_convicted = suspect.is_convicted or verdict.is_convicted
            suspect.last_crash_ms = max(suspect.last_crash_ms, now_ms - verdict.age_ms)

    def export(self, now_ms: float) -> tuple[Verdict, ...]:
        """Return all entries that have not expired."""
        for digest in list(self._suspects):
            self._find(digest, now_ms)
        return tuple(
            Verdict(digest, s.crash_count, s.is_convicted, now_ms - s.last_crash_ms)
            for digest, s in self._suspects.items()
        )

    def _find(self, content_digest: str, now_ms: float) -> Suspect | None:
        suspect = self._suspects.get(content_digest)
        if suspect is not None and now_ms - suspect.last_crash_ms > self.expiry_ms:
            del self._suspects[content_digest]
            return None
        return suspect
