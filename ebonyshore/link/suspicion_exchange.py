"""Exchanges crash suspicions between processes, in datagrams.

An entry sends what it learns to the runners, and runners send what is new to them to all processes.
Changes are sent several times, because datagrams may be lost. Convictions are also repeated
continually, so that a process that was started or cut off in the meantime learns of them.
"""

from collections.abc import Callable, Collection, Iterable, Iterator

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.datagrams import SuspicionUpdate
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.messages import CrashReport, Verdict
from ebonyshore.link.suspicion import SuspicionTable

CHANGE_SENDS = 3  # of each change
CONVICTION_INTERVAL_MS = 1_000.0
MAX_VERDICTS_PER_DATAGRAM = 4  # keeps a datagram below 1,500 bytes, with the next limit
MAX_CRASH_IDS_PER_DATAGRAM = 20
MAX_COMPLETED_CONTENTS = 4_096
RECENT_COMPLETION_MS = 30_000.0

Addresses = list[tuple[str, int]]


class SuspicionExchange:
    """Records crashes and completions in this process's table, and shares them.

    For use on one event loop. All times are monotonic times of the loop.

    :param own_id: instance id of this process.
    :param table: what this process knows; changed only through the exchange.
    :ivar on_change: called when there is something to send.
    """

    __slots__ = (
        "_completed_ms",
        "_convictions_sent_ms",
        "_log",
        "_metrics",
        "_own_id",
        "_unsent",
        "on_change",
        "table",
    )

    def __init__(self, own_id: str, table: SuspicionTable, log: EventLog, metrics: Metrics) -> None:
        self.table = table
        self.on_change: Callable[[], None] = lambda: None
        self._own_id = own_id
        self._log = log
        self._metrics = metrics
        self._unsent: dict[str, int] = {}  # sends left, by content digest
        self._completed_ms: dict[str, float] = {}  # by content digest, oldest first
        self._convictions_sent_ms = float("-inf")

    def record_crash(
        self,
        crash_id: str,
        content_digests: Iterable[str],
        now_ms: float,
        weak_digests: Collection[str] = (),
    ) -> None:
        """Add a crash to all content that was in flight at it.

        Content that completed shortly before is left out: it does not crash each target that runs
        it. Otherwise content that is requested often could be convicted when several targets crash
        for another reason.

        :param crash_id: identifies the crash; processes that see the same one use the same id.
        :param weak_digests: content against which the crash is weak evidence.
        """
        digests = tuple(d for d in content_digests if not self._has_completed(d, now_ms))
        was_convicted = self._convicted(digests, now_ms)
        report = CrashReport(crash_id, "", digests, weak_digests=tuple(weak_digests))
        if digests and self.table.record_crash(report, now_ms):
            self._schedule(digests)
        self._log_convictions(digests, was_convicted, now_ms)

    def record_completed(self, content_digest: str, now_ms: float) -> None:
        """Clear content that completed, unless it is a whole request that is convicted."""
        self._completed_ms.pop(content_digest, None)
        self._completed_ms[content_digest] = now_ms
        if len(self._completed_ms) > MAX_COMPLETED_CONTENTS:
            del self._completed_ms[next(iter(self._completed_ms))]
        self._clear(content_digest)

    def merge(self, verdicts: Iterable[Verdict], now_ms: float, is_relayed: bool) -> None:
        """Merge the verdicts of another process.

        :param is_relayed: whether this process sends what is new to it to the others.
        """
        verdicts = tuple(verdicts)
        digests = tuple(verdict.content_digest for verdict in verdicts)
        was_convicted = self._convicted(digests, now_ms)
        changed = [v.content_digest for v in verdicts if self.table.merge((v,), now_ms)]
        if is_relayed:
            self._schedule(changed)
        for digest in changed:
            if self._has_completed(digest, now_ms):
                self._clear(digest)
        self._log_convictions(digests, was_convicted, now_ms)

    def send(
        self, socket: LoadSocket, changes_to: Addresses, convictions_to: Addresses, now_ms: float
    ) -> None:
        """Send recent changes and, from time to time, all convictions.

        Has to be called whenever :attr:`on_change` was called, and several times a second.

        :param changes_to: recipients of the changes, as pairs of host and port.
        :param convictions_to: recipients of the convictions.
        """
        if self._unsent:
            digests = list(self._unsent)
            self._unsent = {key: left - 1 for key, left in self._unsent.items() if left > 1}
            self._send([self.table.verdict(key, now_ms) for key in digests], socket, changes_to)
        if self._unsent:
            self.on_change()
        if now_ms - self._convictions_sent_ms >= CONVICTION_INTERVAL_MS:
            self._convictions_sent_ms = now_ms
            self._send(self.table.convictions(now_ms), socket, convictions_to)

    def _has_completed(self, content_digest: str, now_ms: float) -> bool:
        completed_ms = self._completed_ms.get(content_digest, float("-inf"))
        return now_ms - completed_ms < RECENT_COMPLETION_MS

    def _clear(self, content_digest: str) -> None:
        if self.table.record_completed(content_digest):
            self._schedule((content_digest,))

    def _send(self, verdicts: list[Verdict], socket: LoadSocket, addresses: Addresses) -> None:
        for batch in _batches(verdicts):
            socket.send(SuspicionUpdate(self._own_id, tuple(batch)), addresses)

    def _schedule(self, digests: Iterable[str]) -> None:
        scheduled = dict.fromkeys(digests, CHANGE_SENDS)
        if scheduled:
            self._unsent.update(scheduled)
            self.on_change()

    def _convicted(self, digests: Iterable[str], now_ms: float) -> set[str]:
        return {digest for digest in digests if self.table.is_convicted(digest, now_ms)}

    def _log_convictions(
        self, digests: Iterable[str], was_convicted: set[str], now_ms: float
    ) -> None:
        for digest in self._convicted(digests, now_ms) - was_convicted:
            verdict = self.table.verdict(digest, now_ms)
            crash_ids = (*verdict.crash_ids, *verdict.weak_crash_ids)
            self._metrics.count("contents_convicted")
            self._log.event("content_convicted", content=digest, crashes=",".join(crash_ids))


def _batches(verdicts: Iterable[Verdict]) -> Iterator[list[Verdict]]:
    """Split verdicts into groups that fit into one datagram each."""
    batch: list[Verdict] = []
    crash_ids = 0
    for verdict in verdicts:
        is_full = len(batch) == MAX_VERDICTS_PER_DATAGRAM
        if batch and (is_full or crash_ids + verdict.crash_count > MAX_CRASH_IDS_PER_DATAGRAM):
            yield batch
            batch, crash_ids = [], 0
        batch.append(verdict)
        crash_ids += verdict.crash_count
    if batch:
        yield batch
