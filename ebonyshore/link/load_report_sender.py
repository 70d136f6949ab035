"""Sends the load reports of this process to the runners."""

from collections.abc import Callable

from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import LoadReport, TargetCounts
from ebonyshore.link.peers import PeerDirectory


class LoadReportSender:
    """Creates load reports with increasing sequence numbers and sends them.

    :param peers: provides the identity of this process and the addresses of the runners.
    :param own_counts: returns the request counts of this process by target id.
    """

    __slots__ = ("_own_counts", "_peers", "_sequence")

    def __init__(
        self, peers: PeerDirectory, own_counts: Callable[[], dict[str, TargetCounts]]
    ) -> None:
        self._peers = peers
        self._own_counts = own_counts
        self._sequence = 0

    def send(
        self,
        socket: LoadSocket,
        open_items: int = 0,
        heard_runners: tuple[str, ...] = (),
        observed_batch: dict[str, int] | None = None,
        waiting_tokens: dict[str, int] | None = None,
        contended_quotas: tuple[str, ...] = (),
    ) -> LoadReport:
        """Send the next report to all runners except this process.

        For the parameters see the fields of :class:`LoadReport`.

        :return: the report.
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
        )
        socket.send(report, self._peers.addresses("runner"))
        return report
