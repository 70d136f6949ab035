"""The runner's part in the load exchange: receives reports, and sends its own and the totals."""

from collections.abc import Callable

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.host.pace_exchange import PaceExchange
from ebonyshore.host.targets import TargetTable
from ebonyshore.host.watch_monitor import WatchMonitor
from ebonyshore.link.account_messages import AccountUsage
from ebonyshore.link.datagrams import (
    Datagram,
    StreamQuery,
    StreamStarts,
    SuspicionUpdate,
)
from ebonyshore.link.limit_sums import LimitSums
from ebonyshore.link.load_report_sender import LoadReportSender
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.load_table import LimitReport, LoadReport, LoadTable
from ebonyshore.link.pace_messages import PaceReport
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.link.report_pacing import min_report_interval_ms, time_until_due
from ebonyshore.link.speed_exchange import SpeedExchange
from ebonyshore.link.suspicion_exchange import SuspicionExchange
from ebonyshore.link.target_speeds import SpeedUpdate
from ebonyshore.runner.job_admission import JobAdmission
from ebonyshore.runner.job_claims import JobClaims
from ebonyshore.runner.job_registry import JobRegistry
from ebonyshore.runner.job_storage import JOBS_KIND
from ebonyshore.runner.origin_registry import OriginRegistry
from ebonyshore.runner.totals_sender import TotalsSender

VERSIONS_INTERVAL_MS = 250.0  # between two messages to the entries
NO_LIMITS = LimitSums((), 0, 1)


class RunnerLoad:
    """Receives load reports and sends this runner's messages.

    All runners send reports to each other. The live runner with the lowest id also sends load
    totals to the entries. Each runner passes new crash suspicions on to all processes.

    :param peers: addresses of the other processes.
    :param targets: the requests of this runner at each target; told of targets that leave.
    :param load_table: keeps the reports of the other processes.
    :param registry: the known jobs.
    :param claims: the claims in progress. Owners that are being replaced are not reported as heard,
        so that they no longer count as confirmed owners.
    :param admission: the waiting tokens of this runner's jobs.
    :param suspicions: updated with the received suspicions; provides those to send.
    :param pace: told how targets that return have answered; provides their limits.
    :param origins: told of the streams of entries; answers their queries.
    :param watch_monitor: told of the versions in the store that other processes know, and provides
        those known here.
    :param is_store_silent: tells whether the store probe gets no answers; reported to the runners.
    :ivar on_account_usage: called with the reports of what client accounts use.
    :ivar send_now: sends a datagram at once; to be set before the first message.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        targets: TargetTable,
        load_table: LoadTable,
        registry: JobRegistry,
        claims: JobClaims,
        admission: JobAdmission,
        suspicions: SuspicionExchange,
        pace: PaceExchange,
        clock: Clock,
        origins: OriginRegistry,
        watch_monitor: WatchMonitor,
        is_store_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._peers = peers
        self._targets = targets
        self._reports = LoadReportSender(peers, targets.own_counts)
        self._load_table = load_table
        self._registry = registry
        self._claims = claims
        self._admission = admission
        self._suspicions = suspicions
        self._pace = pace
        self._clock = clock
        self._speeds = SpeedExchange(peers, targets)
        self._totals = TotalsSender(peers, targets, load_table)
        self._watch_monitor = watch_monitor
        self._is_store_silent = is_store_silent
        self._origins = origins
        self._versions_ms = float("-inf")
        self.on_account_usage: Callable[[AccountUsage], None] = lambda _usage: None
        self.send_now: Callable[[Datagram, list[tuple[str, int]]], None] = lambda *_: None

    def on_message(self, message: Datagram) -> None:
        """Apply what other processes report, or answer a query; ignore other messages."""
        if isinstance(message, SuspicionUpdate):
            self._suspicions.merge(message.verdicts, now_ms(), is_relayed=True)
        elif isinstance(message, LoadReport):
            self._add_report(message)
            self._targets.pace.record_news(now_ms())
        elif isinstance(message, PaceReport):
            self._pace.merge_report(message, now_ms())
        elif isinstance(message, SpeedUpdate):
            self._targets.speeds.merge(message, now_ms())
        elif isinstance(message, StreamStarts):
            self._origins.add(message)
        elif isinstance(message, StreamQuery):
            self.send_now(self._origins.answer(message), [(message.host, message.port)])
        elif isinstance(message, AccountUsage):
            self.on_account_usage(message)

    def _add_report(self, report: LoadReport) -> None:
        for incarnation in report.leaving:
            self._targets.mark_leaving(incarnation, report.sender)
        self._watch_monitor.merge(report.newest_versions)
        if self._load_table.add_report(report, self._clock.boot_ms()):
            self._registry.on_change()

    def send(self, socket: LoadSocket) -> float:
        """Send this runner's report to the other runners, and the totals to the entries.

        The totals are sent only by the live runner with the lowest id. New suspicions are sent to
        all processes.

        :param socket: sends the messages.
        :return: time in milliseconds until something may be due that was too early now.
        """
        self._load_table.drop_expired(self._clock.boot_ms())
        # This runner has written records that its watch has not returned yet.
        self._watch_monitor.record_version(JOBS_KIND, self._registry.newest_version)
        heard = self._load_table.runners().keys() - self._claims.owners_being_replaced()
        report = self._reports.send(
            socket,
            now_ms(),
            self._registry.open_item_count(),
            tuple(heard),
            waiting_tokens=self._admission.waiting_tokens(),
            contended_quotas=self._admission.contended_quotas(),
            leaving=self._targets.announced_incarnations(now_ms()),
            limits=self._targets.rate_limits.own_reports(now_ms()),
            is_store_silent=self._is_store_silent(),
            newest_versions=self._watch_monitor.newest_versions(),
            min_interval_ms=min_report_interval_ms(self._peers.process_count),
        )
        others = self._limits().without((), is_heard=True)
        self._targets.rate_limits.update_others(report.sender, others, now_ms())
        sends_totals = self._load_table.has_lowest_runner_id()
        if sends_totals:
            self._send_totals(socket, report)
            self._send_versions(socket)
            self._pace.send_limits(socket, self._peers.addresses("entry"), now_ms())
        else:
            self._totals.stop()
        runners, processes = self._peers.addresses("runner"), self._peers.process_count
        self._pace.send_evidence(socket, runners, now_ms(), processes)
        self._send_suspicions(socket, sends_totals)
        self._speeds.send(socket, now_ms(), sends_totals)
        return time_until_due([self._reports.held_until_ms, self._totals.held_until_ms], now_ms())

    def _send_suspicions(self, socket: LoadSocket, includes_entries: bool) -> None:
        runners = self._peers.addresses("runner")
        everyone = runners + self._peers.addresses("entry")
        self._suspicions.send(socket, everyone, everyone if includes_entries else runners, now_ms())

    def _send_versions(self, socket: LoadSocket) -> None:
        """Tell the entries, which cannot know the past before their start, of several versions."""
        if now_ms() - self._versions_ms < VERSIONS_INTERVAL_MS:
            return
        self._versions_ms = now_ms()
        message = self._origins.versions_message()
        if message is not None:
            socket.send(message, self._peers.addresses("entry"))

    def _limits(self, own_limits: tuple[LimitReport, ...] = ()) -> LimitSums:
        """Return the limits of targets, and the requests there of all other processes.

        :param own_limits: what this process knows, to be included.
        """
        reports = [*self._load_table.limits(self._clock.boot_ms()), *own_limits]
        if not reports:
            return NO_LIMITS
        unheard = self._peers.unheard(self._load_table.live_processes())
        return LimitSums(reports, unheard, self._peers.process_count)

    def _send_totals(self, socket: LoadSocket, own_report: LoadReport) -> None:
        runners = {key: report.open_items for key, report in self._load_table.runners().items()}
        if not self._registry.is_leaving:
            runners[own_report.sender] = own_report.open_items
        self._totals.send(
            socket,
            own_report,
            runners,
            self._limits(own_report.limits),
            self._clock.boot_ms(),
            now_ms(),
        )
