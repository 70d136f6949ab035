"""A runner's part in the quotas of client accounts: keeps the buckets and tells entries of them."""

from collections.abc import Callable
from time import thread_time

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.host.accounts import account_limits
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.routes import RouteTable
from ebonyshore.link.account_ledger import AccountLedger
from ebonyshore.link.account_limit import QuotaRule
from ebonyshore.link.account_messages import AccountUsage
from ebonyshore.link.datagrams import Datagram
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory

MIN_INTERVAL_MS = 100.0  # between two totals
MAX_INTERVAL_MS = 250.0  # whatever they cost; entries take them for late a little later
MAX_PROCESSOR_SHARE = 0.1  # of one core
ENTRY_BYTES_PER_S = 25_000.0  # to one entry
SUM_BYTES = 20  # of one account, encoded


class AccountTotalsService(PeriodicService):
    """Sends each entry what the others use of the accounts.

    Only the live runner with the lowest id sends, as with the load totals. With many entries or
    accounts it sends less often, so that the totals take no more than a part of a core and of the
    bytes that an entry may be sent, but always before entries take the totals for late.

    :param rule: what the deployment allows beyond a limit.
    :param peers: the other processes.
    :param load_table: knows the live runners.
    :param config: provides the accounts.
    :param send: sends a datagram to some addresses.
    :param clock: its boot clock is used, which advances while the instance is suspended.
    """

    name = "account_totals"
    interval_ms = MIN_INTERVAL_MS

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
        self.interval_ms = MIN_INTERVAL_MS
        if not self._load_table.has_lowest_runner_id():
            return
        began_s = thread_time()
        entries = self._peers.of_role("entry")
        totals = self._ledger.totals(entries.keys(), self._clock.boot_ms())
        for instance_id, message in totals.items():
            entry = entries.get(instance_id)
            if entry is not None:
                self._send(message, [(entry.host, entry.port)])
        cost_ms = (thread_time() - began_s) * MS_PER_S
        sum_count = max((len(message.sums) for message in totals.values()), default=0)
        self.interval_ms = totals_interval_ms(sum_count, cost_ms)

    def dump(self) -> dict[str, object]:
        return self._ledger.dump()

    def _apply(self, table: RouteTable) -> None:
        self._ledger.apply_limits(account_limits(table.config.accounts, self._rule))


def totals_interval_ms(sum_count: int, cost_ms: float) -> float:
    """Return the time to the next totals.

    :param sum_count: number of accounts in the last message to an entry.
    :param cost_ms: processor time of the last messages to all entries.
    """
    size_ms = sum_count * SUM_BYTES / ENTRY_BYTES_PER_S * MS_PER_S
    wait_ms = max(MIN_INTERVAL_MS, size_ms, cost_ms / MAX_PROCESSOR_SHARE)
    return min(MAX_INTERVAL_MS, wait_ms)
