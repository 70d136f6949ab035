"""Reports an entry's request counts to the runners and receives the totals that they send."""

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.account_limits import AccountLimits
from ebonyshore.gateway.lease_keeper import LeaseKeeper
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.gateway.stream_origins import StreamOrigins
from ebonyshore.host.pace_exchange import PaceExchange
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.link.account_messages import AccountTotals
from ebonyshore.link.datagrams import (
    ConfigConfirmed,
    Datagram,
    RecentVersions,
    StreamAnswer,
    StreamQuery,
    SuspicionUpdate,
)
from ebonyshore.link.load_report_sender import LoadReportSender
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import LoadTotals, TotalsPart
from ebonyshore.link.pace_messages import PaceLimits
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.link.report_pacing import min_report_interval_ms, time_until_due
from ebonyshore.link.speed_exchange import SpeedExchange
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.link.target_speeds import SpeedUpdate


class EntryLoadReporter:
    """Sends an entry's load reports and crash suspicions, and passes on what it receives.

    :param peers: provides the runners' addresses.
    :param targets: provides the entry's own request counts; told of targets that leave.
    :param view: updated with the received totals; provides the batch counts of the reports.
    :param suspicions: updated with the received suspicions; provides those to send.
    :param origins: told of answers and queries; reports the streams of this entry.
    :param lease_keeper: told which configuration runners have read; provides the reported clock.
    :param account_limits: told of the totals of client accounts.
    :param pace: told of limits of targets that return; provides the evidence to send.
    :param watch_monitor: told of the versions in the store that runners know, and provides those
        known here.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        targets: TargetTable,
        view: LoadView,
        suspicions: SuspicionExchange,
        origins: StreamOrigins,
        lease_keeper: LeaseKeeper,
        account_limits: AccountLimits,
        pace: PaceExchange,
        watch_monitor: WatchMonitor,
    ) -> None:
        self._peers = peers
        self._reports = LoadReportSender(peers, targets.own_counts)
        self._speeds = SpeedExchange(peers, targets)
        self._targets = targets
        self._view = view
        self._suspicions = suspicions
        self._origins = origins
        self._lease_keeper = lease_keeper
        self._account_limits = account_limits
        self._pace = pace
        self._watch_monitor = watch_monitor

    def on_message(self, message: Datagram) -> None:
        """Apply a message of a runner or answer an entry; load reports are ignored."""
        if isinstance(message, LoadTotals | TotalsPart):
            if isinstance(message, TotalsPart):
                self._view.update_part(message, now_ms())
            else:
                self._view.update_totals(message, now_ms())
            self._origins.note_totals_sender(message.sender)
            self._watch_monitor.merge(message.newest_versions)
            self._targets.pace.record_news(now_ms())
            self._targets.rate_limits.update_others(message.sender, message.limits, now_ms())
            for incarnation in message.leaving:
                self._targets.mark_leaving(incarnation, message.sender)
        elif isinstance(message, SuspicionUpdate):
            self._suspicions.merge(message.verdicts, now_ms(), is_relayed=False)
        elif isinstance(message, PaceLimits):
            self._pace.adopt_limits(message, now_ms())
        elif isinstance(message, SpeedUpdate):
            self._targets.speeds.merge(message, now_ms())
        elif isinstance(message, StreamAnswer | StreamQuery | RecentVersions):
            self._origins.on_message(message)
        elif isinstance(message, ConfigConfirmed):
            self._lease_keeper.on_confirmed(message)
        elif isinstance(message, AccountTotals):
            self._account_limits.on_totals(message)

    def send(self, socket: LoadSocket) -> float:
        """Send the next report and new suspicions to each runner.

        :return: time in milliseconds until something may be due that was too early now.
        """
        self._reports.send(
            socket,
            now_ms(),
            observed_batch=self._view.observed_batch(),
            leaving=self._targets.announced_incarnations(now_ms()),
            limits=self._targets.rate_limits.own_reports(now_ms()),
            clock_ms=self._lease_keeper.clock_ms(),
            newest_versions=self._watch_monitor.newest_versions(),
            reads_parts=True,
            needs_totals=self._view.needs_totals,
            min_interval_ms=min_report_interval_ms(self._peers.process_count),
        )
        self._suspicions.send(socket, self._peers.addresses("runner"), [], now_ms())
        runners, processes = self._peers.addresses("runner"), self._peers.process_count
        self._pace.send_evidence(socket, runners, now_ms(), processes)
        self._speeds.send(socket, now_ms())
        self._origins.report_streams()
        return time_until_due([self._reports.held_until_ms], now_ms())
