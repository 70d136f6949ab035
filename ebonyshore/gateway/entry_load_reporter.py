"""Reports an entry's request counts to the runners and receives the totals that they send."""

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_report_sender import LoadReportSender
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import LoadMessage, LoadTotals
from ebonyshore.link.peers import PeerDirectory


class EntryLoadReporter:
    """Sends the load reports of an entry and passes received totals to its load view.

    :param peers: provides the runners' addresses.
    :param targets: provides the entry's own request counts.
    :param view: updated with the received totals; provides the batch counts of the reports.
    """

    def __init__(self, peers: PeerDirectory, targets: TargetTable, view: LoadView) -> None:
        self._reports = LoadReportSender(peers, targets.own_counts)
        self._view = view

    def on_message(self, message: LoadMessage) -> None:
        """Update the load view with totals from a runner; other messages are ignored."""
        if isinstance(message, LoadTotals):
            self._view.update_totals(message, now_ms())

    def send(self, socket: LoadSocket) -> None:
        """Send the next report to each runner."""
        self._reports.send(socket, observed_batch=self._view.observed_batch())
