"""Sends what a process has learned of the targets' speeds, and merges what others send."""

from ebonyshore.host.targets import TargetTable
from ebonyshore.link.load_socket import LoadSocket
from ebonyshore.link.peers import PeerDirectory

SCAN_INTERVAL_MS = 200.0


class SpeedExchange:
    """Sends the reports of speeds that have changed.

    Every process reports to all runners. The runner that sends load totals also tells the entries
    what all processes have seen together.

    :param peers: the addresses of the other processes.
    :param targets: the listed targets, and what is known of their speeds.
    """

    __slots__ = ("_next_scan_ms", "_peers", "_targets")

    def __init__(self, peers: PeerDirectory, targets: TargetTable) -> None:
        self._peers = peers
        self._targets = targets
        self._next_scan_ms = float("-inf")

    def send(self, socket: LoadSocket, now_ms: float, includes_entries: bool = False) -> None:
        """Send what is due; does nothing if it was called shortly before.

        :param includes_entries: whether this process tells the entries what all have seen.
        """
        if now_ms < self._next_scan_ms:
            return
        self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
        speeds = self._targets.speeds
        listed = {target.incarnation for target in self._targets.by_id().values()}
        speeds.forget(listed, now_ms)
        for update in speeds.own_updates(now_ms):
            socket.send(update, self._peers.addresses("runner"))
        if not includes_entries:
            return
        for update in speeds.merged_updates(now_ms):
            socket.send(update, self._peers.addresses("entry"))
