"""Signs of life that runners leave in the store while their load reports do not reach all others.

They have a kind of their own, which only runners watch: each change of an object costs one call to
the store for every process that watches its kind, and entries would not use them.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import Executor, Future

from msgspec import Struct

from ebonyshore.frame.errors import StoreError, UnreadableObjectError
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.peers import PeerRecord
from ebonyshore.store.kind_watch import KindListener
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject

RENEWALS_KIND = "renewals"


class Renewal(Struct, frozen=True):
    """The last sign of life of a runner.

    :param instance_id: instance id of the runner.
    :param incarnation: run of its process.
    :param count: number of renewals of this object so far.
    """

    instance_id: str
    incarnation: str
    count: int


class RenewalListener(KindListener):
    """Passes on the renewals of other runners.

    :param own_id: instance id of this runner.
    :param store: decodes the objects.
    :ivar on_renewal: called with each renewal of another runner that is new.
    """

    def __init__(self, own_id: str, store: MarkedStore, log: EventLog) -> None:
        self._own_id = own_id
        self._store = store
        self._log = log
        self._known: dict[str, Renewal] = {}
        self.on_renewal: Callable[[Renewal], None] = lambda _renewal: None

    def is_known(self, instance_id: str) -> bool:
        """Return whether the store holds a renewal of another runner."""
        return f"{RENEWALS_KIND}/{instance_id}" in self._known

    def on_listing(self, objects: Sequence[StoredObject]) -> None:
        listed = {stored.key for stored in objects}
        self._known = {key: known for key, known in self._known.items() if key in listed}
        self.on_changes(objects)

    def on_changes(self, objects: Sequence[StoredObject]) -> None:
        for stored in objects:
            renewal = self._decode(stored)
            if renewal is None:
                self._known.pop(stored.key, None)
            elif renewal.instance_id != self._own_id and self._known.get(stored.key) != renewal:
                self._known[stored.key] = renewal
                self.on_renewal(renewal)

    def _decode(self, stored: StoredObject) -> Renewal | None:
        if stored.value is None:
            return None
        try:
            return self._store.decode(stored.key, stored.version, stored.value, Renewal).body
        except UnreadableObjectError as error:
            self._log.event("renewal_unreadable", key=stored.key, error=str(error))
            return None


class RenewalWriter:
    """Writes the renewals of this runner.

    :param own: peer record of this runner.
    :param store: stores the renewals.
    :param executor: runs the store calls.
    """

    def __init__(
        self, own: PeerRecord, store: MarkedStore, log: EventLog, executor: Executor
    ) -> None:
        self._own = own
        self._store = store
        self._log = log
        self._executor = executor
        self._write: Future[None] | None = None

    def renew(self) -> None:
        """Show that this process is running and can reach the store; returns at once.

        Has no effect while an earlier renewal is still in progress. Failures are logged and not
        retried.
        """
        if self._write is None or self._write.done():
            self._write = self._executor.submit(self._renew)

    def _renew(self) -> None:
        key = f"{RENEWALS_KIND}/{self._own.instance_id}"
        try:
            self._store.update(key, Renewal, self._next)
        except UnreadableObjectError as error:
            self._log.event("renewal_unreadable", key=key, error=str(error))
            self._delete(key)  # the next renewal creates it
        except StoreError as error:
            self._log.event("renewal_failed", error=str(error))

    def _next(self, last: Renewal | None) -> Renewal:
        own = self._own
        return Renewal(own.instance_id, own.incarnation, last.count + 1 if last else 1)

    def remove(self, instance_id: str) -> None:
        """Remove the renewal of a lost runner; returns at once. Failures are logged."""
        self._executor.submit(self._delete, f"{RENEWALS_KIND}/{instance_id}")

    def _delete(self, key: str) -> None:
        try:
            stored = self._store.store.get(key)
            if stored is not None:
                self._store.store.delete(key, stored.version)
        except StoreError as error:
            self._log.event("renewal_failed", error=str(error))
