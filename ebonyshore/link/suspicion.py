"""Keeps track of content that may crash targets, by content digest. No I/O; times are passed in.

Content that was in flight when a target crashed is suspect. It is cleared when it completes, and
convicted when it was in flight at a given number of crashes or was the only suspect at one.
A crash is weak evidence against content that had made some progress; more of them are needed.
Convicted content must not run any more until it expires.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyshore.link.messages import CrashReport, Verdict

MAX_TRACKED_REPORTS = 4096
# Where a target runs at most one suspect at a time, the second crash identifies the cause
# (docs/design.md, 5.7).
ISOLATED_CONVICTION_CRASHES = 2
# Where suspects run beside other requests, harmless content is sometimes in flight at two crashes
# that other content causes.
SHARED_CONVICTION_CRASHES = 3
WEAK_CONVICTION_CRASHES = 5  # if there is weak evidence among them
# Precedes the wall time in ms at which a crash was found, in ids that have one.
CRASH_TIME_SEPARATOR = "@"
# Processes that find the same target down report it within this time. A later crash of the same
# listed incarnation is another one: the list may lag, or the first was a silence that ended.
CRASH_WINDOW_MS = 2_000
PART_DIGEST_PREFIX = "part:"  # of the digest of a part of a prompt


@dataclass(slots=True)
class Suspect:
    """The crashes at which one content was in flight.

    :param crash_ids: ids of the crashes; a set, because several processes report the same crash.
    :param weak_crash_ids: ids of further crashes, which are weak evidence.
    :param is_convicted: whether the content must not run.
    :param last_crash_ms: monotonic time of the last crash.
    """

    crash_ids: set[str] = field(default_factory=set)
    weak_crash_ids: set[str] = field(default_factory=set)
    is_convicted: bool = False
    last_crash_ms: float = float("-inf")

    @property
    def crash_count(self) -> int:
        """Number of crashes, weak evidence included."""
        return len(self.crash_ids) + len(self.weak_crash_ids)

    def add(
        self,
        crash_ids: Iterable[str],
        weak_crash_ids: Iterable[str],
        now_ms: float,
        conviction_crashes: int,
    ) -> None:
        """Add crashes; convict the content if there are ``conviction_crashes`` of them.

        With weak evidence among them, :data:`WEAK_CONVICTION_CRASHES` are needed.
        """
        for crash_id in crash_ids:
            if self._find(self.crash_ids, crash_id) is None:
                self.crash_ids.add(crash_id)
            self.weak_crash_ids.discard(self._find(self.weak_crash_ids, crash_id))
        for crash_id in weak_crash_ids:
            if self._find(self.crash_ids | self.weak_crash_ids, crash_id) is None:
                self.weak_crash_ids.add(crash_id)
        self.last_crash_ms = max(self.last_crash_ms, now_ms)
        if len(self.crash_ids) >= conviction_crashes:
            self.is_convicted = True
        if self.crash_count >= max(conviction_crashes, WEAK_CONVICTION_CRASHES):
            self.is_convicted = True

    def _find(self, known_ids: set[str], crash_id: str) -> str | None:
        """Return the id by which a crash is known; ``None`` if it is not."""
        if crash_id in known_ids:
            return crash_id
        return next((known for known in known_ids if _is_same_crash(known, crash_id)), None)


def _is_same_crash(first: str, second: str) -> bool:
    """Return whether two ids with different times name one crash."""
    first_name, _, first_ms = first.partition(CRASH_TIME_SEPARATOR)
    second_name, _, second_ms = second.partition(CRASH_TIME_SEPARATOR)
    if first_name != second_name or not first_ms.isdecimal() or not second_ms.isdecimal():
        return False
    return abs(int(first_ms) - int(second_ms)) < CRASH_WINDOW_MS


class SuspicionTable:
    """Suspect and convicted content by digest; not thread-safe.

    :param expiry_ms: time after the last crash of a content at which it is forgotten. The attribute
        may be changed.
    :param conviction_crashes: number of crashes with the content in flight that convict it.
    """

    __slots__ = ("_conviction_crashes", "_seen_reports", "_suspects", "expiry_ms")

    def __init__(self, expiry_ms: float, conviction_crashes: int) -> None:
        self.expiry_ms = expiry_ms
        self._conviction_crashes = conviction_crashes
        self._suspects: dict[str, Suspect] = {}
        self._seen_reports: dict[tuple[str, tuple[str, ...]], None] = {}

    def record_crash(self, report: CrashReport, now_ms: float) -> bool:
        """Add the crash to all content that the report names.

        If the report names a single suspect, that content is convicted.

        :return: whether the report is new. Reports of one crash from different entries name
            different content, so each counts as new.
        """
        key = (report.crash_id, report.content_digests)
        if key in self._seen_reports:
            return False
        self._seen_reports[key] = None
        if len(self._seen_reports) > MAX_TRACKED_REPORTS:
            del self._seen_reports[next(iter(self._seen_reports))]
        for digest in report.content_digests:
            suspect = self._find_or_add(digest, now_ms)
            is_weak = digest in report.weak_digests
            strong, weak = ((), (report.crash_id,)) if is_weak else ((report.crash_id,), ())
            suspect.add(strong, weak, now_ms, self._conviction_crashes)
        if len(report.suspect_digests) == 1:
            self._find_or_add(report.suspect_digests[0], now_ms).is_convicted = True
        return True

    def record_completed(self, content_digest: str) -> bool:
        """Clear content that completed, unless it is convicted.

        :return: whether it was suspect and is cleared now.
        """
        suspect = self._suspects.get(content_digest)
        if suspect is None or suspect.is_convicted:
            return False
        del self._suspects[content_digest]
        return True

    def is_suspect(self, content_digest: str, now_ms: float) -> bool:
        """Return whether the content was in flight at a crash and has not been cleared since."""
        return self._find(content_digest, now_ms) is not None

    def is_convicted(self, content_digest: str, now_ms: float) -> bool:
        """Return whether the content is convicted and must not run."""
        suspect = self._find(content_digest, now_ms)
        return suspect is not None and suspect.is_convicted

    def merge(self, verdicts: Iterable[Verdict], now_ms: float) -> bool:
        """Merge the verdicts of another process.

        :return: whether they changed anything in the table.
        """
        return any([self._merge_one(verdict, now_ms) for verdict in verdicts])

    def _merge_one(self, verdict: Verdict, now_ms: float) -> bool:
        """Merge one verdict, unless it has expired; return whether it changed anything."""
        if verdict.is_cleared:
            return self.record_completed(verdict.content_digest)
        if verdict.age_ms > self.expiry_ms:
            return False
        suspect = self._find_or_add(verdict.content_digest, now_ms)
        previous = (len(suspect.crash_ids), suspect.crash_count, suspect.is_convicted)
        crashed_ms = now_ms - verdict.age_ms
        suspect.add(verdict.crash_ids, verdict.weak_crash_ids, crashed_ms, self._conviction_crashes)
        suspect.is_convicted = suspect.is_convicted or verdict.is_convicted
        return previous != (len(suspect.crash_ids), suspect.crash_count, suspect.is_convicted)

    def export(self, now_ms: float) -> tuple[Verdict, ...]:
        """Return the verdicts on all content that has not expired."""
        for digest in list(self._suspects):
            self._find(digest, now_ms)
        return tuple(_verdict(digest, found, now_ms) for digest, found in self._suspects.items())

    def convictions(self, now_ms: float) -> list[Verdict]:
        """Return the verdicts on all convicted content."""
        return [verdict for verdict in self.export(now_ms) if verdict.is_convicted]

    def verdict(self, content_digest: str, now_ms: float) -> Verdict:
        """Return the verdict on a content; one that is not suspect is cleared."""
        suspect = self._find(content_digest, now_ms)
        if suspect is None:
            return Verdict(content_digest, 0, False, 0.0, is_cleared=True)
        return _verdict(content_digest, suspect, now_ms)

    def _find_or_add(self, content_digest: str, now_ms: float) -> Suspect:
        """Return the :class:`Suspect` of a content; an expired one is replaced by a new one."""
        self._find(content_digest, now_ms)
        return self._suspects.setdefault(content_digest, Suspect())

    def _find(self, content_digest: str, now_ms: float) -> Suspect | None:
        """Return the :class:`Suspect` of a content, or ``None``; an expired one is removed."""
        suspect = self._suspects.get(content_digest)
        if suspect is not None and now_ms - suspect.last_crash_ms > self.expiry_ms:
            del self._suspects[content_digest]
            return None
        return suspect


def _verdict(content_digest: str, suspect: Suspect, now_ms: float) -> Verdict:
    return Verdict(
        content_digest,
        suspect.crash_count,
        suspect.is_convicted,
        now_ms - suspect.last_crash_ms,
        crash_ids=tuple(suspect.crash_ids),
        weak_crash_ids=tuple(suspect.weak_crash_ids),
    )
