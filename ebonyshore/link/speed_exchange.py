"""Sends what a process has learned of the targets' speeds, and merges what others send.

The bytes that a process receives in a second are bounded whatever the size of the fleet. What does
not fit waits; the largest changes go first.
"""

from ebonyshore.host.targets import TargetTable
from ebonyshore.link.byte_budget import ByteBudget
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.link.target_speeds import SpeedUpdate

SCAN_INTERVAL_MS = 200.0
ENTRY_BYTES_PER_S = 6_500.0  # to one entry; half of what its control traffic may be
RUNNER_BYTES_PER_S = 400_000.0  # to one runner, from all processes together
REPORT_BYTES = 48  # encoded, besides the id of the target


class SpeedExchange:
    """Sends the reports of speeds that have changed.

    Every process reports to all runners. The runner that sends load totals also tells the entries
    what all processes have seen together.

    :param peers: the addresses of the other processes.
    :param targets: the listed targets, and what is known of their speeds.
    """

    __slots__ = ("_entry_budget", "_next_scan_ms", "_peers", "_runner_budget", "_targets")

    def __init__(self, peers: PeerDirectory, targets: TargetTable) -> None:
        self._peers = peers
        self._targets = targets
        self._next_scan_ms = float("-inf")
        self._entry_budget = ByteBudget()
        self._runner_budget = ByteBudget()

    def send(self, socket: LoadSocket, now_ms: float, includes_entries: bool = False) -> None:
        """Send what is due; does nothing if it was called shortly before.

        :param includes_entries: whether this process tells the entries what all have seen.
        """
        if now_ms < self._next_scan_ms:
            return
        self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
        speeds = self._targets.speeds
        speeds.forget_unlisted(self._targets.is_listed)
        rate_bytes_per_s = min(ENTRY_BYTES_PER_S, RUNNER_BYTES_PER_S / self._peers.process_count)
        available = self._runner_budget.available_bytes(rate_bytes_per_s, now_ms)
        updates = speeds.own_updates(now_ms, _report_limit(available))
        self._send(socket, "runner", updates, self._runner_budget)
        if not includes_entries:
            return
        available = self._entry_budget.available_bytes(ENTRY_BYTES_PER_S, now_ms)
        updates = speeds.merged_updates(now_ms, _report_limit(available))
        self._send(socket, "entry", updates, self._entry_budget)

    def _send(
        self, socket: LoadSocket, role: str, updates: list[SpeedUpdate], budget: ByteBudget
    ) -> None:
        for update in updates:
            socket.send(update, self._peers.addresses(role))
            budget.take(sum(_report_bytes(len(r.incarnation.target_id)) for r in update.reports))


def _report_limit(available_bytes: float) -> int:
    return max(0, int(available_bytes / _report_bytes()))


def _report_bytes(id_bytes: int = 0) -> int:
    return REPORT_BYTES + id_bytes
