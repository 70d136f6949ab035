"""Finds watches of the store that have fallen silent, and restarts them.

Nothing shows whether a watch that waits would still be answered. Processes therefore tell each
other the newest version of an object of each kind that they know. A watch that goes on waiting
although the store has a newer version is restarted. A process that hears from no other one restarts
its watches after a time without an answer.
"""

from collections.abc import Callable, Mapping

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.store.kind_watch import KindWatch

LAG_SHARE = 0.25  # of the longest age, for which a watch may wait while others know a newer version
CONTACT_SHARE = 0.5  # of the longest age, for which a message of another process counts
MAX_RESTART_INTERVALS = 8  # in longest ages, between restarts that change nothing


class _Newer(Struct):
    """A version that a watch has not returned.

    :param learned_ms: time at which this process learned of it.
    """

    version: int
    learned_ms: float


class _WatchState(Struct):
    """A watch, and what is known of its kind from elsewhere.

    :ivar newer: the newest version that is known from elsewhere.
    :ivar not_before_ms: time before which the watch is not restarted again.
    :ivar restarts: restarts since the watch last was up to date.
    """

    watch: KindWatch
    newer: _Newer
    not_before_ms: float = float("-inf")
    restarts: int = 0

    def is_behind(self) -> bool:
        """Return whether the store has a version that the watch has not returned."""
        return self.newer.version > max(self.watch.known_revision, self.watch.newest_version)


class WatchMonitor:
    """Compares the watches of this process with what other processes know. For one event loop.

    :param max_age_ms: time within which a change in the store has to take effect.
    :param is_store_silent: tells whether the store probe gets no answers; watches are not restarted
        then.
    """

    __slots__ = (
        "_clock",
        "_heard_ms",
        "_is_store_silent",
        "_log",
        "_max_age_ms",
        "_metrics",
        "_states",
    )

    def __init__(
        self,
        max_age_ms: float,
        is_store_silent: Callable[[], bool],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._max_age_ms = max_age_ms
        self._is_store_silent = is_store_silent
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._states: dict[str, _WatchState] = {}
        self._heard_ms = float("-inf")

    def add(self, watch: KindWatch) -> None:
        """Include a watch."""
        self._states[watch.kind] = _WatchState(watch, _Newer(0, float("-inf")))

    def newest_versions(self) -> dict[str, int]:
        """Return the newest version of an object of each watched kind that is known here."""
        newest = {
            kind: max(state.newer.version, state.watch.newest_version)
            for kind, state in self._states.items()
        }
        return {kind: version for kind, version in newest.items() if version}

    def record_version(self, kind: str, version: int) -> None:
        """Record that an object of a kind has a version in the store, whoever has seen it."""
        state = self._states.get(kind)
        if state is not None and version > state.newer.version:
            learned_ms = state.newer.learned_ms if state.is_behind() else self._now_ms()
            state.newer = _Newer(version, learned_ms)

    def is_behind(self, kind: str) -> bool:
        """Return whether the store has a version of a watched kind that its watch has not returned,
        as far as other processes have told.
        """
        return self._states[kind].is_behind()

    def merge(self, versions: Mapping[str, int]) -> None:
        """Include what another process knows, see :meth:`newest_versions`."""
        self._heard_ms = self._now_ms()
        for kind, version in versions.items():
            self.record_version(kind, version)

    def check(self) -> None:
        """Restart the watches that have fallen silent; to be called several times a second."""
        if self._is_store_silent():
            return
        for state in self._states.values():
            if not state.is_behind():
                state.restarts = 0
            if self._is_silent(state):
                self._restart(state)

    def dump(self) -> dict[str, object]:
        """Return for each kind how long ago its watch was last known to be up to date."""
        return {
            kind: {
                "newest_version": state.watch.newest_version,
                "is_behind": state.is_behind(),
                "pending_ms": self._pending_ms(state.watch),
                "unconfirmed_ms": self._unconfirmed_ms(state),
            }
            for kind, state in self._states.items()
        }

    def _is_silent(self, state: _WatchState) -> bool:
        at_ms = self._now_ms()
        if at_ms < state.not_before_ms:
            return False
        pending_ms = self._pending_ms(state.watch)
        if state.is_behind():
            lag_ms = min(pending_ms, at_ms - state.newer.learned_ms)
            return lag_ms >= self._max_age_ms * LAG_SHARE
        return self._unconfirmed_ms(state) >= self._max_age_ms

    def _unconfirmed_ms(self, state: _WatchState) -> float:
        """Return how long ago a watch was last known to be up to date."""
        at_ms = self._now_ms()
        pending_ms = self._pending_ms(state.watch)
        if state.is_behind():
            return max(pending_ms, at_ms - state.newer.learned_ms)
        is_in_contact = at_ms - self._heard_ms < self._max_age_ms * CONTACT_SHARE
        return 0.0 if is_in_contact else min(pending_ms, at_ms - self._heard_ms)

    def _pending_ms(self, watch: KindWatch) -> float:
        """Return for how long a watch has waited for the store; 0 if it does not."""
        since_ms = watch.pending_since_ms
        return 0.0 if since_ms is None else self._now_ms() - since_ms

    def _restart(self, state: _WatchState) -> None:
        watch = state.watch
        self._metrics.count("watches_restarted")
        self._log.event(
            "watch_restarted",
            kind=watch.kind,
            pending_ms=self._pending_ms(watch),
            newest_version=watch.newest_version,
            known_elsewhere=state.newer.version,
        )
        intervals = min(2**state.restarts, MAX_RESTART_INTERVALS)
        state.restarts += 1
        state.not_before_ms = self._now_ms() + self._max_age_ms * intervals
        watch.restart()

    def _now_ms(self) -> float:
        return self._clock.monotonic_ms()
