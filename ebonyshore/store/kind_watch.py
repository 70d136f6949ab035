"""Follows all objects of one kind: lists them, then watches what changes.

Each watch runs on a thread of its own, since its calls wait at the store. What it finds is passed
to the event loop.
"""

from abc import ABC, abstractmethod
from asyncio import AbstractEventLoop
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import HistoryLostError, StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.store.platform_api import ListingStore, StoredObject

# Twice this is within the time that the store keeps its history; see _note_empty.
WATCH_TIMEOUT_MS = 9_000
MIN_RETRY_MS = 150.0
FIRST_RETRY_MS = 300.0
MAX_RETRY_MS = 800.0


class KindListener(ABC):
    """Hears what a watch finds; called on the event loop."""

    @abstractmethod
    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        """Take all objects of the kind."""

    @abstractmethod
    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        """Take changed objects; a removed one has no value."""

    def on_interruption(self) -> None:  # noqa: B027 - most listeners keep what they know
        """Take that the store could not be read."""


class KindWatch:
    """Follows one kind.

    :param kind: of the objects.
    :param pause_ms: between two watches, so that changes in quick succession cost one call.
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
    ) -> None:
        self._store = store
        self._kind = kind
        self._listener = listener
        self._clock = clock
        self._log = log
        self._random = random
        self._pause_ms = pause_ms
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=f"watch-{kind}")
        self._loop: AbstractEventLoop | None = None
        self._is_stopped = False
        self._revision: int | None = None
        self._unconfirmed: int | None = None
        self._failures = 0

    def start(self, loop: AbstractEventLoop) -> None:
        """Begin to follow; the listener is called on ``loop``."""
        self._loop = loop
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Stop after the call that is waiting; cancel the store's watches to end that."""
        self._is_stopped = True
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                self._step()
            except HistoryLostError:
                self._log.event("store_history_lost", kind=self._kind, revision=self._revision)
                self._revision = None
            except StoreError as error:
                self._after_failure(error)
            except Exception as error:  # noqa: BLE001 - a watch must go on
                self._log.event("watch_failed", kind=self._kind, error=repr(error))
                self._revision = None
                self._clock.sleep_ms(MAX_RETRY_MS)

    def _step(self) -> None:
        if self._revision is None:
            listing = self._store.list_objects(self._kind)
            self._call(self._listener.on_listing, listing.objects)
            self._revision, self._unconfirmed = listing.revision, None
        else:
            result = self._store.watch(self._kind, self._revision, WATCH_TIMEOUT_MS)
            if result.changes:
                self._call(self._listener.on_changes, result.changes)
                self._revision, self._unconfirmed = result.revision, None
            else:
                self._note_empty(result.revision)
        self._after_success()
        if self._pause_ms:
            self._clock.sleep_ms(self._pause_ms)

    def _note_empty(self, revision: int) -> None:
        """Go on from the revision of the empty answer before this one.

        A store that is about to drop its history may hear of a change, tell nothing of it and
        answer an expired watch with a revision beyond it. The next watch from before that revision
        finds the change, or that the history is gone.
        """
        if self._unconfirmed is not None:
            self._revision = self._unconfirmed
        self._unconfirmed = revision

    def _after_success(self) -> None:
        if self._failures:
            self._log.event("store_regained", kind=self._kind, failures=self._failures)
            self._failures = 0
            # Deletions that were made meanwhile are taken with the listener's own delay.
            self._call(self._listener.on_interruption)

    def _after_failure(self, error: StoreError) -> None:
        if self._is_stopped:
            return
        if not self._failures:
            self._log.event("store_lost", kind=self._kind, error=str(error))
        self._failures += 1
        # A watch that is cut may have missed changes before, and one that is sent at once may still
        # hear nothing of them; a listing shows them.
        self._revision = None
        self._call(self._listener.on_interruption)
        longest_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** (min(self._failures, 8) - 1))
        self._clock.sleep_ms(self._random.uniform(MIN_RETRY_MS, longest_ms))

    def _call(self, function, *arguments) -> None:
        try:
            self._loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The loop was closed between two calls of a process that stops.
            self._is_stopped = True
            self._log.event("watch_ended", kind=self._kind)
