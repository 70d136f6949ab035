"""Watches all objects of one kind: lists them once, then waits for changes.

Each watch runs on its own thread, because its store calls block. Results are delivered on the event
loop.
"""

from abc import ABC, abstractmethod
from asyncio import AbstractEventLoop
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import HistoryLostError, StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.platform_api import ListingStore, StoredObject

# The revision from which a watch starts may be this old at its start (see _handle_empty_result) and
# twice as old at its end. The store must keep its history for longer than that.
WATCH_TIMEOUT_MS = 9_000
MIN_RETRY_MS = 150.0
FIRST_RETRY_MS = 300.0
MAX_RETRY_MS = 800.0
PROBE_CHECK_INTERVAL_MS = 50.0
MAX_PROBE_WAIT_MS = 2_000.0  # then the watch tries by itself


class KindListener(ABC):
    """Receives the results of a watch; its methods are called on the event loop."""

    @abstractmethod
    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        """Handle a complete list of the objects of the kind; objects not in it do not exist.

        Called at the start, and again whenever changes may have been missed.
        """

    @abstractmethod
    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        """Handle changed objects.

        :param objects: the latest version of each changed object; ``value`` is ``None`` for an
            object that was deleted.
        """

    def on_interruption(self) -> None:  # noqa: B027 - most listeners keep what they know
        """Handle a failure to read the store, or the end of an outage.

        Called after each failed call, unless the store has only dropped its history, and once more
        when the store can be read again.
        """


class KindWatch:
    """Watches the objects of one kind until it is stopped.

    The answer to a call may be lost while its connection stays open. The call then waits for its
    timeout, unless :meth:`restart` is called.

    :param store: the store to read.
    :param kind: kind of the objects.
    :param listener: receives the objects.
    :param clock: used to wait between calls.
    :param random: randomizes the delay before a retry.
    :param pause_ms: pause between two watches, so that changes in quick succession cost only one
        call to the store.
    :param is_store_silent: tells whether the store probe gets no answers at present. All watches of
        a process then wait for the probe instead of calling the store themselves.
    :ivar kind: kind of the objects.
    :ivar newest_version: highest version of an object that the watch has returned.
    :ivar known_revision: revision of the store up to which all changes of the kind are known.
    :ivar pending_since_ms: monotonic time at which the pending call was sent; ``None`` if none is.
    """

    def __init__(
        self,
        store: ListingStore,
        kind: str,
        listener: KindListener,
        clock: Clock,
        log: EventLog,
        random: Random,
        pause_ms: float = 0.0,
        is_store_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_store_silent = is_store_silent
        self._store = store
        self.kind = kind
        self._listener = listener
        self._clock = clock
        self._log = log
        self._random = random
        self._pause_ms = pause_ms
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=f"watch-{kind}")
        self._loop: AbstractEventLoop | None = None
        self._is_stopped = False
        self._revision: int | None = None
        self._unconfirmed_revision: int | None = None
        self._failures = 0
        self._is_restarted = False
        self.newest_version = 0
        self.known_revision = 0
        self.pending_since_ms: float | None = None

    def start(self, loop: AbstractEventLoop) -> None:
        """Start to list and watch the objects.

        :param loop: event loop on which the listener is called.
        """
        self._loop = loop
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Stop after the pending store call, without waiting for it.

        To end that call at once, also call :meth:`ObjectStore.cancel_watches`.
        """
        self._is_stopped = True
        self._executor.shutdown(wait=False, cancel_futures=True)

    def restart(self) -> None:
        """End the pending call, if there is one, and list the objects again.

        May be called from any thread.
        """
        if self.pending_since_ms is not None:
            self._is_restarted = True
            self._store.interrupt_watches(self.kind)

    def _run(self) -> None:
        while not self._is_stopped:
            self._is_restarted = False
            self.pending_since_ms = self._clock.monotonic_ms()
            try:
                self._step()
            except HistoryLostError:
                self._log.event("store_history_lost", kind=self.kind, revision=self._revision)
                self._revision = None
            except StoreError as error:
                self._handle_failure(error)
            except Exception as error:  # noqa: BLE001 - a watch must not end
                self._log.event("watch_failed", kind=self.kind, error=repr(error))
                self._revision = None
                self._clock.sleep_ms(MAX_RETRY_MS)

    def _step(self) -> None:
        if self._revision is None:
            listing = self._store.list_objects(self.kind)
            self._record_answer(listing.objects, listing.revision)
            self._notify(self._listener.on_listing, listing.objects)
            self._revision, self._unconfirmed_revision = listing.revision, None
        else:
            result = self._store.watch(self.kind, self._revision, WATCH_TIMEOUT_MS)
            self._record_answer(result.changes, result.revision if result.changes else 0)
            if result.changes:
                self._notify(self._listener.on_changes, result.changes)
                self._revision, self._unconfirmed_revision = result.revision, None
            else:
                self._handle_empty_result(result.revision)
        self._handle_success()
        if self._pause_ms:
            self._clock.sleep_ms(self._pause_ms)

    def _record_answer(self, objects: Sequence[StoredObject], revision: int) -> None:
        """Record what the store has returned.

        :param revision: revision up to which the objects are complete; 0 if that is uncertain.
        """
        self.pending_since_ms = None
        self.newest_version = max([self.newest_version, *(found.version for found in objects)])
        self.known_revision = max(self.known_revision, revision)

    def _handle_empty_result(self, revision: int) -> None:
        """Continue the watch from the revision of the previous empty result, not of this one.

        A store that is about to drop its history may accept a change, not report it, and answer a
        watch that times out with a revision that includes it. A watch from an earlier revision
        either returns the change or fails because the history was dropped.
        """
        if self._unconfirmed_revision is not None:
            self._revision = self._unconfirmed_revision
        self._unconfirmed_revision = revision

    def _handle_success(self) -> None:
        if self._failures:
            self._log.event("store_regained", kind=self.kind, failures=self._failures)
            self._failures = 0
            # A listener may apply deletions with a delay after an outage. The delay has to start
            # again now, since deletions made during the outage become known only now.
            self._notify(self._listener.on_interruption)

    def _handle_failure(self, error: StoreError) -> None:
        self.pending_since_ms = None
        if self._is_stopped:
            return
        if self._is_restarted:
            # The store has not failed as far as is known, and the objects are listed at once.
            self._revision = None
            return
        if not self._failures:
            self._log.event("store_lost", kind=self.kind, error=str(error))
        self._failures += 1
        # An interrupted watch may have missed earlier changes, and a watch started right after it
        # may not return them either, but a listing does.
        self._revision = None
        self._notify(self._listener.on_interruption)
        max_delay_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (min(self._failures, 8) - 1))
        self._clock.sleep_ms(self._random.uniform(MIN_RETRY_MS, max_delay_ms))
        self._wait_for_probe()

    def _wait_for_probe(self) -> None:
        end_ms = self._clock.monotonic_ms() + MAX_PROBE_WAIT_MS
        while (
            self._is_store_silent() and self._clock.monotonic_ms() < end_ms and not self._is_stopped
        ):
            self._clock.sleep_ms(PROBE_CHECK_INTERVAL_MS)

    def _notify(self, function, *arguments) -> None:
        try:
            self._loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The event loop was closed because the process is stopping.
            self._is_stopped = True
            self._log.event("watch_ended", kind=self.kind)
