"""Keeps track of content that may crash targets, by content digest. No I/O; times are passed in.

Content is a whole request, or a part of a prompt, which requests that differ in all else may share.
Content that was in flight when a target crashed is suspect. It is cleared when it completes, and
convicted when it was in flight at a given number of crashes or was the only suspect at one.
A crash is weak evidence against content that had made some progress; more of them are needed.
Convicted content must not run any more until it expires. A convicted part is cleared as well when a
run that has it completes.

Parts that were in flight at the same crashes cannot be told apart by them. Requests with several
of them are refused; one with a single one of them may run, and its end shows which part is to blame
(group testing).
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
# Sound requests share parts with those that crash targets, so a part needs more crashes. One of the
# five that are tolerated may be lost with the process that would have seen it.
PART_CONVICTION_CRASHES = 4
# Crashes of one part without another, from which on the other does not explain those of the first.
SEPARATE_CRASHES = 2
MAX_SUSPECTS = 2_048
MAX_CRASH_IDS = 16  # of one suspect
# Precedes the wall time in ms at which a crash was found, in ids that have one.
CRASH_TIME_SEPARATOR = "@"
# Processes that find the same target down report it within this time. A later crash of the same
# listed incarnation is another one: the list may lag, or the first was a silence that ended.
CRASH_WINDOW_MS = 2_000
PART_DIGEST_PREFIX = "part-"  # of the digest of a part of a prompt


def is_part(content_digest: str) -> bool:
    """Return whether a digest is that of a part of a prompt, not that of a whole request."""
    return content_digest.startswith(PART_DIGEST_PREFIX)


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

    def crashes_without(self, other: "Suspect") -> int:
        """Return the number of crashes at which the other content was not in flight."""
        known = other.crash_ids | other.weak_crash_ids
        return sum(
            other._find(known, crash_id) is None
            for crash_id in (*self.crash_ids, *self.weak_crash_ids)
        )

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
            if self._find(self.crash_ids, crash_id) is None and self._has_room:
                self.crash_ids.add(crash_id)
            self.weak_crash_ids.discard(self._find(self.weak_crash_ids, crash_id))
        for crash_id in weak_crash_ids:
            known_ids = self.crash_ids | self.weak_crash_ids
            if self._find(known_ids, crash_id) is None and self._has_room:
                self.weak_crash_ids.add(crash_id)
        self.last_crash_ms = max(self.last_crash_ms, now_ms)
        if len(self.crash_ids) >= conviction_crashes:
            self.is_convicted = True
        if self.crash_count >= max(conviction_crashes, WEAK_CONVICTION_CRASHES):
            self.is_convicted = True

    @property
    def _has_room(self) -> bool:
        return self.crash_count < MAX_CRASH_IDS

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
            suspect.add(strong, weak, now_ms, self._crashes_to_convict(digest))
        self._limit_suspects()
        if len(report.suspect_digests) == 1:
            self._find_or_add(report.suspect_digests[0], now_ms).is_convicted = True
        return True

    def record_completed(self, content_digest: str) -> bool:
        """Clear content that completed, unless it is a whole request that is convicted.

        :return: whether it was suspect and is cleared now.
        """
        suspect = self._suspects.get(content_digest)
        if suspect is None or (suspect.is_convicted and not is_part(content_digest)):
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

    def is_refused(self, content_digests: Iterable[str], now_ms: float) -> bool:
        """Return whether a request must not run.

        It must not if its whole content is convicted, or a part of its prompt, unless other parts
        which it does not have may have caused the crashes of that part.

        :param content_digests: digest of the request's whole content, and those of its parts.
        """
        convicted = [key for key in content_digests if self.is_convicted(key, now_ms)]
        if any(not is_part(digest) for digest in convicted):
            return True
        return any(self._is_blamed(digest, convicted, now_ms) for digest in convicted)

    def _is_blamed(self, part: str, convicted: list[str], now_ms: float) -> bool:
        """Return whether a convicted part has to be taken for the cause of its crashes.

        :param convicted: all convicted parts of the request.
        """
        alternatives = self._alternatives(part, now_ms)
        return not alternatives or not alternatives.isdisjoint(convicted)

    def _alternatives(self, part: str, now_ms: float) -> set[str]:
        """Return the other convicted parts that may have caused the crashes of a part instead."""
        suspect = self._suspects[part]
        return {
            other
            for other, found in list(self._suspects.items())
            if other != part
            and is_part(other)
            and self.is_convicted(other, now_ms)
            and suspect.crashes_without(found) < SEPARATE_CRASHES
        }

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
        needed = self._crashes_to_convict(verdict.content_digest)
        suspect.add(verdict.crash_ids, verdict.weak_crash_ids, crashed_ms, needed)
        self._limit_suspects()
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

    def _crashes_to_convict(self, content_digest: str) -> int:
        is_whole = not is_part(content_digest)
        return self._conviction_crashes if is_whole else PART_CONVICTION_CRASHES

    def _limit_suspects(self) -> None:
        """Forget the suspects with the fewest and oldest crashes if there are too many."""
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=self._forget_key)]

    def _forget_key(self, content_digest: str) -> tuple[int, float]:
        suspect = self._suspects[content_digest]
        return suspect.crash_count, suspect.last_crash_ms

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
