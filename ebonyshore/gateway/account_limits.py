"""Admits an entry's requests by the quotas of their client accounts, and reports their use."""

from collections.abc import Callable
from random import Random

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.accounts import Account, account_limits
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import RouteTable
from ebonyshore.link.account_limit import QuotaRule
from ebonyshore.link.account_messages import AccountTotals
from ebonyshore.link.account_quotas import AccountQuotas, FleetUse, Refusal
from ebonyshore.link.datagrams import Datagram
from ebonyshore.link.peers import PeerDirectory

RELAXED_INTERVAL_MS = 200.0  # between two reports while no account is near its limit


class AccountLimits(PeriodicService):
    """Applies :class:`AccountQuotas` at an entry.

    Reports go to the runner whose totals are used, or to all runners if there are no fresh ones.
    Without accounts in the configuration nothing is sent or limited.

    :param rule: what the deployment allows beyond a limit.
    :param peers: the other processes.
    :param config: provides the accounts.
    :param send: sends a datagram to some addresses.
    :param clock: its boot clock is used, which advances while the instance is suspended.
    """

    name = "account_limits"
    interval_ms = 100.0

    def __init__(
        self,
        rule: QuotaRule,
        peers: PeerDirectory,
        config: ConfigService,
        send: Callable[[Datagram, list[tuple[str, int]]], None],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._rule = rule
        self._peers = peers
        self._send = send
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._quotas = AccountQuotas(
            peers.own.instance_id, peers.own.incarnation, lambda: peers.entry_count, random
        )
        self._has_accounts = False
        self._was_informed = False
        self._sent_ms = float("-inf")
        config.change_listeners.append(self._apply)

    def admit(self, account: Account, request_id: str | None) -> float | None:
        """Count an online request of a caller.

        :return: ``None`` if it is admitted, else the delay after which the caller may return.
        """
        refusal = self._quotas.admit(account.name, self._clock.boot_ms())
        if refusal is None:
            self._metrics.count("account_requests_admitted")
            return None
        self._metrics.count("account_requests_refused")
        self._log_refusal(account, request_id, refusal)
        return refusal.retry_after_ms

    def give_back(self, account: Account) -> None:
        """Do not count a request that was admitted, as it has not run and never will."""
        self._quotas.give_back(account.name, self._clock.boot_ms())

    def record_start(self, account: Account) -> None:
        """Count a request of an account that is sent to a target."""
        self._quotas.record_start(account.name, self._clock.boot_ms())

    def record_end(self, account: Account) -> None:
        """Count the end of a request at a target."""
        self._quotas.record_end(account.name, self._clock.boot_ms())

    def fleet_use(self, account: Account) -> FleetUse:
        """Return what all entries use of an account, as far as this one knows."""
        return self._quotas.fleet_use(account.name, self._clock.boot_ms())

    def listed_uses(self) -> dict[str, FleetUse]:
        """Return what all entries use of the accounts that totals list, by name.

        Empty without fresh totals.
        """
        return self._quotas.listed_uses(self._clock.boot_ms())

    def on_totals(self, totals: AccountTotals) -> None:
        """Apply the totals of a runner."""
        self._quotas.update(totals, self._clock.boot_ms())

    async def run_once(self) -> None:
        if not self._has_accounts:
            return
        now_ms = self._clock.boot_ms()
        self._note_mode(now_ms)
        is_informed = self._quotas.is_informed(now_ms)
        is_urgent = self._quotas.is_report_urgent(now_ms)
        if is_urgent or now_ms - self._sent_ms > RELAXED_INTERVAL_MS - self.interval_ms / 2.0:
            self._send(self._quotas.next_usage(now_ms), self._runner_addresses(is_informed))
            self._sent_ms = now_ms

    def dump(self) -> dict[str, object]:
        return self._quotas.dump(self._clock.boot_ms())

    def _apply(self, table: RouteTable) -> None:
        self._has_accounts = bool(table.config.accounts)
        self._quotas.apply_limits(account_limits(table.config.accounts, self._rule))

    def _runner_addresses(self, is_informed: bool) -> list[tuple[str, int]]:
        runners = self._peers.of_role("runner").values()
        sources = [peer for peer in runners if peer.incarnation == self._quotas.source]
        return [(peer.host, peer.port) for peer in (is_informed and sources) or runners]

    def _note_mode(self, now_ms: float) -> None:
        is_informed = self._quotas.is_informed(now_ms)
        if is_informed != self._was_informed:
            self._was_informed = is_informed
            event = "account_totals_regained" if is_informed else "account_totals_lost"
            self._log.event(event, entries=self._peers.entry_count)
        self._metrics.set_gauge("accounts_at_limit", self._quotas.accounts_at_limit(now_ms))
        self._metrics.set_gauge("account_totals_age_ms", self._quotas.totals_age_ms(now_ms))
        self._metrics.set_gauge("account_shares_used", float(not is_informed))

    def _log_refusal(self, account: Account, request_id: str | None, refusal: Refusal) -> None:
        self._log.event(
            "request_over_quota",
            request=request_id,
            caller=account.name,
            rate_per_s=refusal.limit.rate_per_s,
            burst=refusal.limit.burst,
            level=refusal.level,
            totals_age_ms=refusal.totals_age_ms,
            retry_after_ms=refusal.retry_after_ms,
        )
