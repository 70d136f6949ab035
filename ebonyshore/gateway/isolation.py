"""Detects that an entry is isolated, so that the load balancer sends callers to other entries.

An entry that reaches neither the runners nor the store still reaches targets, but it refuses jobs
and does not know the load of the other processes. An entry that has lost only one of the two keeps
taking callers, since then all entries are likely to have lost it.

An entry whose lease on the configuration has run out refuses all requests with a key. It stays in
service only if all entries are likely to refuse them: the runners are heard, but the store is
silent. Routes that need no key are then served on.
"""

from collections.abc import Callable

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.link.peers import PeerDirectory
from ebonyshore.store.store_probe import StoreProbe

RUNNER_SILENCE_MS = 800.0  # runners send totals every 250 ms


class IsolationDetector:
    """Combines the age of the load totals and the result of the store probe.

    :param peers: provides the registered runners; without any, the entry is not isolated.
    :param view: provides the age of the totals that runners sent.
    :param probe: knows whether the store answers.
    :param has_lease: returns whether requests with a key may be admitted.
    """

    __slots__ = ("_has_lease", "_log", "_peers", "_probe", "_view", "_was_isolated")

    def __init__(
        self,
        peers: PeerDirectory,
        view: LoadView,
        probe: StoreProbe,
        log: EventLog,
        has_lease: Callable[[], bool] = lambda: True,
    ) -> None:
        self._peers = peers
        self._view = view
        self._probe = probe
        self._has_lease = has_lease
        self._log = log
        self._was_isolated = False

    def is_isolated(self) -> bool:
        """Return whether the entry is isolated now; logs each change."""
        are_runners_silent = self._view.totals_age_ms(now_ms()) > RUNNER_SILENCE_MS
        has_runners = bool(self._peers.of_role("runner"))
        is_store_silent = self._probe.is_silent
        is_isolated = has_runners and are_runners_silent and is_store_silent
        if not self._has_lease():
            is_isolated = are_runners_silent or not is_store_silent
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            self._log.event("entry_isolated" if is_isolated else "entry_connected")
        return is_isolated
