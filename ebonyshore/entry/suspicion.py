"""Which content is suspected of crashing targets, and which is convicted. Pure state, no clock."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyshore.link.messages import CrashReport, Verdict

MAX_TRACKED_REPORTS = 4096
# The second crash that a content was in flight at is the last one it may cause (design, 5.7).
CONVICTION_CRASHES = 2


@dataclass(slots=True)
class Suspect:
    """Suspicion of one content.

    :param crash_ids: crashes that it was in flight at; a set, because several processes report one
        crash.
    :param last_crash_ms: monotonic time of the last crash.
    """

    crash_ids: set[str] = field(default_factory=set)
    is_convicted: bool = False
    last_crash_ms: float = float("-inf")

    def add(self, crash_ids: Iterable[str], now_ms: float) -> None:
        """Count crashes; the last one that is allowed convicts."""
        self.crash_ids.update(crash_ids)
        self.last_crash_ms = max(self.last_crash_ms, now_ms)
        self.is_convicted = self.is_convicted or len(self.crash_ids) >= CONVICTION_CRASHES


class SuspicionTable:
    """Suspicion by content digest.

    :param expiry_ms: an entry is forgotten this long after its last crash; may be changed.
    """

    __slots__ = ("_reported", "_suspects", "expiry_ms")

    def __init__(self, expiry_ms: float) -> None:
        self.expiry_ms = expiry_ms
        self._suspects: dict[str, Suspect] = {}
        self._seen_reports: dict[tuple[str, tuple[str, ...]], None] = {}

    def record_crash(self, report: CrashReport, now_ms: float) -> bool:
        """Count a crash once.

        :return: whether the report was new; different entries report different content of one
            crash.
        """
        key = (report.crash_id, report.content_digests)
        if key in self._seen_reports:
            return False
        self._seen_reports[key] = None
        if len(self._seen_reports) > MAX_TRACKED_REPORTS:
            del self._seen_reports[next(iter(self._seen_reports))]
        for digest in report.content_digests:
            self._find_or_add(digest, now_ms).add((report.crash_id,), now_ms)
        if len(report.suspect_digests) == 1:
            self._find_or_add(report.suspect_digests[0], now_ms).is_convicted = True
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

    def merge(self, verdicts: Iterable[Verdict], now_ms: float) -> bool:
        """Take over what another process knows.

        :return: whether any of it was news.
        """
        return any([self._merge_one(verdict, now_ms) for verdict in verdicts])

    def _merge_one(self, verdict: Verdict, now_ms: float) -> bool:
        if verdict.is_cleared:
            return self.record_completed(verdict.content_digest)
        if verdict.age_ms > self.expiry_ms:
            return False
        suspect = self._find_or_add(verdict.content_digest, now_ms)
        previous = (len(suspect.crash_ids), suspect.is_convicted)
        suspect.add(verdict.crash_ids, now_ms - verdict.age_ms)
        suspect.is_convicted = suspect.is_convicted or verdict.is_convicted
        return previous != (len(suspect.crash_ids), suspect.is_convicted)

    def export(self, now_ms: float) -> tuple[Verdict, ...]:
        """Return all entries that have not expired."""
        for digest in list(self._suspects):
            self._find(digest, now_ms)
        return tuple(
            Verdict(
                digest,
                len(s.crash_ids),
                s.is_convicted,
                now_ms - s.last_crash_ms,
                crash_ids=tuple(s.crash_ids),
            )
            for digest, s in self._suspects.items()
        )

    def _find_or_add(self, content_digest: str, now_ms: float) -> Suspect:
        self._find(content_digest, now_ms)
        return self._suspects.setdefault(content_digest, Suspect())

    def _find(self, content_digest: str, now_ms: float) -> Suspect | None:
        suspect = self._suspects.get(content_digest)
        if suspect is not None and now_ms - suspect.last_crash_ms > self.expiry_ms:
            del self._suspects[content_digest]
            return None
        return suspect
