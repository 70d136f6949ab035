"""Leaves signs of life of a runner in the store while load reports do not reach all other runners.

The module also removes the peer records of processes that have stopped without removing them.
"""

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.load_table import LoadTable
from ebonyshore.link.peers import PeerDirectory, PeerRecord, Registration
from ebonyshore.link.renewals import Renewal, RenewalListener, RenewalWriter

RENEW_INTERVAL_MS = 1_000.0  # below OWNER_TIMEOUT_MS, so that an owner does not lose its jobs
REMOVE_AFTER_MS = 12_000.0  # time without activity after which a process's record is removed


class PeerMonitor:
    """Renews this runner's sign of life while any other runner is out of contact with it.

    Two runners are in contact if each receives the load reports of the other.

    The live runner with the lowest id also removes the records of processes that have been inactive
    for :data:`REMOVE_AFTER_MS`.

    :param peers: the registered processes; the monitor takes over their ``on_peer_change``
        callback.
    :param load_table: the load reports received from other processes.
    :param registration: removes the peer records of others.
    :param renewals: writes this runner's signs of life.
    :param renewal_listener: knows those of others; the monitor takes over its callback.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        load_table: LoadTable,
        registration: Registration,
        renewals: RenewalWriter,
        renewal_listener: RenewalListener,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._peers = peers
        self._load_table = load_table
        self._registration = registration
        self._renewals = renewals
        self._renewal_listener = renewal_listener
        self._clock = clock
        self._last_renewal_ms = clock.boot_ms()
        self._first_seen_ms: dict[str, float] = {}
        self._out_of_contact: set[str] = set()
        self._log = log
        peers.on_peer_change = self._on_record_change
        renewal_listener.on_renewal = self._on_renewal

    def check_peers(self) -> None:
        """Renew this runner's sign of life and remove the records of lost processes, where due.

        To be called several times a second.
        """
        now_ms = self._clock.boot_ms()
        out_of_contact = {
            key
            for key in self._peers.of_role("runner")
            if not self._load_table.is_mutually_heard(key, now_ms)
        }
        self._log_contact_changes(out_of_contact)
        if out_of_contact and now_ms - self._last_renewal_ms >= RENEW_INTERVAL_MS:
            self._last_renewal_ms = now_ms
            self._renewals.renew()
        if self._load_table.has_lowest_runner_id():
            self._remove_lost_peers(now_ms)

    def _log_contact_changes(self, out_of_contact: set[str]) -> None:
        for peer in out_of_contact - self._out_of_contact:
            self._log.event("runner_lost", peer=peer)
        for peer in self._out_of_contact - out_of_contact:
            self._log.event("runner_regained", peer=peer)
        self._out_of_contact = out_of_contact

    def _on_record_change(self, record: PeerRecord) -> None:
        self._load_table.mark_seen(record.instance_id, record.incarnation, self._clock.boot_ms())

    def _on_renewal(self, renewal: Renewal) -> None:
        record = self._peers.of_role("runner").get(renewal.instance_id)
        # The first list may hold the renewal of a process that was started again since.
        if record is not None and record.incarnation == renewal.incarnation:
            self._on_record_change(record)

    def _remove_lost_peers(self, now_ms: float) -> None:
        known = {**self._peers.of_role("runner"), **self._peers.of_role("entry")}
        for instance_id, record in known.items():
            first_seen_ms = self._first_seen_ms.setdefault(instance_id, now_ms)
            peer_seen = self._load_table.last_seen(instance_id)
            if now_ms - max(first_seen_ms, peer_seen.at_ms if peer_seen else 0.0) > REMOVE_AFTER_MS:
                self._first_seen_ms[instance_id] = now_ms  # delays a retry if the removal fails
                self._registration.remove(record)
                if self._renewal_listener.is_known(instance_id):
                    self._renewals.remove(instance_id)
        for instance_id in set(self._first_seen_ms) - set(known):
            del self._first_seen_ms[instance_id]
