"""Whether this entry is cut off, so that the balancer sends callers elsewhere.

An entry that reaches neither runners nor the store still reaches targets, but refuses jobs and does
not know the load of the others. One that misses only one of them goes on taking callers, since then
all entries are likely to miss it.
"""

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.store.store_probe import StoreProbe

RUNNER_SILENCE_MS = 800.0  # runners send sums every 250 ms


class IsolationDetector:
    """Joins what the load view and the probe of the store tell.

    :param peers: knows whether there are runners at all.
    """

    __slots__ = ("_log", "_peers", "_probe", "_view", "_was_isolated")

    def __init__(
        self, peers: PeerDirectory, view: LoadView, probe: StoreProbe, log: EventLog
    ) -> None:
        self._peers = peers
        self._view = view
        self._probe = probe
        self._log = log
        self._was_isolated = False

    def is_isolated(self) -> bool:
        """Return whether the entry is cut off now."""
        are_runners_silent = self._view.totals_age_ms(now_ms()) > RUNNER_SILENCE_MS
        has_runners = bool(self._peers.of_role("runner"))
        is_isolated = has_runners and are_runners_silent and self._probe.is_silent
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self._log.event("entry_isolated" if is_isolated else "entry_connected")
        return is_isolated
