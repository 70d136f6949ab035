"""Sends the load reports of this process to the runners.

A runner is woken by each report that it receives, far more often than its own load changes.
Reports that say nothing new are therefore sent only as often as a heartbeat.
"""

from collections.abc import Callable

from msgspec import structs

from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import Incarnation, LimitReport, LoadReport, TargetCounts
from ebonyshore.link.peers import PeerDirectory

UNCHANGED_INTERVAL_MS = 100.0  # with one lost datagram still below the timeout of a report


class LoadReportSender:
    """Creates load reports with increasing sequence numbers and sends them.

    :param peers: provides the identity of this process and the addresses of the runners.
    :param own_counts: returns the request counts of this process by target id.
    :ivar held_until_ms: time from which a report may be sent that was too early.
    """

    __slots__ = ("_own_counts", "_peers", "_sent", "_sent_ms", "_sequence", "held_until_ms")

    def __init__(
        self, peers: PeerDirectory, own_counts: Callable[[], dict[str, TargetCounts]]
    ) -> None:
        self._peers = peers
        self._own_counts = own_counts
        self._sequence = 0
        self._sent: LoadReport | None = None
        self._sent_ms = float("-inf")
        self.held_until_ms = float("-inf")

    def send(
        self,
        socket: LoadSocket,
        now_ms: float,
        open_items: int = 0,
        heard_runners: tuple[str, ...] = (),
        observed_batch: dict[str, int] | None = None,
        waiting_tokens: dict[str, int] | None = None,
        contended_quotas: tuple[str, ...] = (),
        leaving: tuple[Incarnation, ...] = (),
        limits: tuple[LimitReport, ...] = (),
        clock_ms: float = 0.0,
        is_store_silent: bool = False,
        newest_versions: dict[str, int] | None = None,
        reads_parts: bool = False,
        needs_totals: bool = False,
        min_interval_ms: float = 0.0,
    ) -> LoadReport:
        """Send the next report to all runners except this process.

        It is left out if it equals the last one that was sent less than
        :data:`UNCHANGED_INTERVAL_MS` ago. For the other parameters see the fields of
        :class:`LoadReport`.

        :param now_ms: monotonic time.
        :param min_interval_ms: time between two reports that are sent.
        :return: the report, whether it was sent or not.
        """
        self._sequence += 1
        own = self._peers.own
        report = LoadReport(
            own.instance_id,
            own.incarnation,
            self._sequence,
            own.role,
            self._own_counts(),
            open_items,
            heard_runners,
            observed_batch or {},
            waiting_tokens or {},
            contended_quotas,
            leaving,
            limits,
            clock_ms,
            is_store_silent,
            newest_versions or {},
            reads_parts,
            needs_totals,
        )
        self.held_until_ms = float("-inf")
        if not self._is_due(report, now_ms):
            return report
        if now_ms - self._sent_ms < min_interval_ms:
            self.held_until_ms = self._sent_ms + min_interval_ms
            return report
        socket.send(report, self._peers.addresses("runner"))
        self._sent, self._sent_ms = report, now_ms
        return report

    def _is_due(self, report: LoadReport, now_ms: float) -> bool:
        if self._sent is None or now_ms - self._sent_ms >= UNCHANGED_INTERVAL_MS:
            return True
        # The clock goes on in each report, and versions may wait, so they are no change by
        # themselves.
        comparable = structs.replace(
            self._sent,
            sequence=report.sequence,
            clock_ms=report.clock_ms,
            newest_versions=report.newest_versions,
        )
        return report != comparable
