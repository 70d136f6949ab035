"""A runner's part in the quotas of client accounts: keeps the buckets and tells entries of them."""

from collections.abc import Callable

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.host.accounts import account_limits
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import RouteTable
from ebonyshore.link.account_ledger import AccountLedger
from ebonyshore.link.account_limit import QuotaRule
from ebonyshore.link.account_messages import AccountUsage
from ebonyshore.link.datagrams import Datagram
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory


class AccountTotalsService(PeriodicService):
    """Sends each entry what the others use of the accounts.

    Only the live runner with the lowest id sends, as with the load totals.

    :param rule: what the deployment allows beyond a limit.
    :param peers: the other processes.
    :param load_table: knows the live runners.
    :param config: provides the accounts.
    :param send: sends a datagram to some addresses.
    :param clock: its boot clock is used, which advances while the instance is suspended.
    """

    name = "account_totals"
    interval_ms = 100.0

    def __init__(
        self,
        rule: QuotaRule,
        peers: PeerDirectory,
        load_table: LoadTable,
        config: ConfigService,
        send: Callable[[Datagram, list[tuple[str, int]]], None],
        clock: Clock,
    ) -> None:
        self._rule = rule
        self._peers = peers
        self._load_table = load_table
        self._send = send
        self._clock = clock
        self._ledger = AccountLedger(peers.own.incarnation)
        config.change_listeners.append(self._apply)

    def on_usage(self, usage: AccountUsage) -> None:
        """Apply the report of an entry."""
        self._ledger.add(usage, self._clock.boot_ms())

    async def run_once(self) -> None:
        if not self._load_table.has_lowest_runner_id():
            return
        entries = self._peers.of_role("entry")
        totals = self._ledger.totals(entries.keys(), self._clock.boot_ms())
        for instance_id, message in totals.items():
            entry = entries.get(instance_id)
            if entry is not None:
                self._send(message, [(entry.host, entry.port)])

    def dump(self) -> dict[str, object]:
        return self._ledger.dump()

    def _apply(self, table: RouteTable) -> None:
        self._ledger.apply_limits(account_limits(table.config.accounts, self._rule))
