"""An entry's part in the exchange of loads: reports its counts to runners, hears their sums."""

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_board import LoadMessage, LoadReport, LoadTotals
from ebonyshore.link.load_exchange import LoadExchange
from ebonyshore.link.peers import PeerDirectory


class EntryLoad:
    """Makes an entry's reports.

    :param peers: knows the runners' addresses.
    """

    def __init__(self, peers: PeerDirectory, targets: TargetTable, view: LoadView) -> None:
        self._peers = peers
        self._targets = targets
        self._view = view
        self._sequence = 0

    def on_message(self, message: LoadMessage) -> None:
        """Take the sums that a runner sends."""
        if isinstance(message, LoadTotals):
            self._view.note_totals(message, now_ms())

    def send(self, exchange: LoadExchange) -> None:
        """Send the report to each runner."""
        self._sequence += 1
        own = self._peers.own
        report = LoadReport(
            own.instance_id,
            own.incarnation,
            self._sequence,
            own.role,
            self._targets.own_counts(),
            seen_batch=self._view.seen_batch(),
        )
        runners = self._peers.of_role("runner").values()
        exchange.send(report, [(peer.host, peer.port) for peer in runners])
