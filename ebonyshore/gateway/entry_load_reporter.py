"""An entry's part in the exchange of loads: reports its counts to runners, hears their sums."""

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_board import LoadMessage, LoadTotals
from ebonyshore.link.load_exchange import LoadExchange
from ebonyshore.link.own_reports import OwnReports
from ebonyshore.link.peers import PeerDirectory


class EntryLoadReporter:
    """Makes an entry's reports.

    :param peers: knows the runners' addresses.
    """

    def __init__(self, peers: PeerDirectory, targets: TargetTable, view: LoadView) -> None:
        self._reports = OwnReports(peers, targets.own_counts)
        self._view = view

    def on_message(self, message: LoadMessage) -> None:
        """Take the sums that a runner sends."""
        if isinstance(message, LoadTotals):
            self._view.update_totals(message, now_ms())

    def send(self, exchange: LoadExchange) -> None:
        """Send the report to each runner."""
        self._reports.send(exchange, seen_batch=self._view.seen_batch())
