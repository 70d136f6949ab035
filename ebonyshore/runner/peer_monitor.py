"""Keeps runners known to each other when datagrams do not pass between them."""

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.load_board import LoadBoard
from ebonyshore.link.peers import PeerDirectory, PeerRecord, Registration

RENEW_INTERVAL_MS = 1_000.0  # under the time after which a silent owner's jobs are claimed
REMOVE_AFTER_MS = 12_000.0


class PeerMonitor:
    """Renews this runner's record in the store while not all runners hear it.

    The first live runner removes the records of processes that were not heard for long.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        board: LoadBoard,
        registration: Registration,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._peers = peers
        self._board = board
        self._registration = registration
        self._clock = clock
        self._last_renewal_ms = clock.boot_ms()
        self._first_seen_ms: dict[str, float] = {}
        self._unheard: set[str] = set()
        self._log = log
        peers.on_sign = self._note_record

    def check_peers(self) -> None:
        """Renew and remove what is due; call several times a second."""
        now_ms = self._clock.boot_ms()
        unheard = {
            key for key in self._peers.of_role("runner") if not self._board.is_mutual(key, now_ms)
        }
        self._log_changes(unheard)
        if unheard and now_ms - self._last_renewal_ms >= RENEW_INTERVAL_MS:
            self._last_renewal_ms = now_ms
            self._registration.renew()
        if self._board.is_first_runner():
            self._remove_gone(now_ms)

    def _log_changes(self, unheard: set[str]) -> None:
        for peer in unheard - self._unheard:
            self._log.event("runner_lost", peer=peer)
        for peer in self._unheard - unheard:
            self._log.event("runner_regained", peer=peer)
        self._unheard = unheard

    def _note_record(self, record: PeerRecord) -> None:
        self._board.note_sign(record.instance_id, record.incarnation, self._clock.boot_ms())

    def _remove_gone(self, now_ms: float) -> None:
        known = {**self._peers.of_role("runner"), **self._peers.of_role("entry")}
        for instance_id, record in known.items():
            first_ms = self._first_seen_ms.setdefault(instance_id, now_ms)
            sign = self._board.sign_of(instance_id)
            if now_ms - max(first_ms, sign.at_ms if sign else 0.0) > REMOVE_AFTER_MS:
                self._first_seen_ms[instance_id] = now_ms
                self._registration.remove(record)
        for instance_id in set(self._first_seen_ms) - set(known):
            del self._first_seen_ms[instance_id]
