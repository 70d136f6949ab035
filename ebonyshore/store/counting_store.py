"""Counts the calls to an object store by operation and kind, since each call has a price."""

from ebonyshore.frame.metrics import Metrics
from ebonyshore.store.platform_api import (
    Listing,
    ListingStore,
    ObjectSummary,
    StoredObject,
    WatchResult,
)


class CountingStore(ListingStore):
    """An object store that counts its calls as ``store_OPERATION_KIND``.

    :param store: performs the calls.
    :param metrics: keeps the counters.
    """

    __slots__ = ("_metrics", "_store")

    def __init__(self, store: ListingStore, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    def get(self, key: str) -> StoredObject | None:
        self._count("get", key)
        return self._store.get(key)

    def get_stale(self, key: str) -> StoredObject | None:
        self._count("get_stale", key)
        return self._store.get_stale(key)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        self._count("put", key)
        return self._store.put(key, value, expected_version)

    def put_status(self, key: str, value: bytes, expected_version: int) -> int:
        self._count("put_status", key)
        return self._store.put_status(key, value, expected_version)

    def delete(self, key: str, expected_version: int) -> None:
        self._count("delete", key)
        self._store.delete(key, expected_version)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        self._count("list", prefix)
        return self._store.list_keys(prefix, start_after, limit)

    def list_objects(self, kind: str) -> Listing:
        self._count("list", kind)
        return self._store.list_objects(kind)

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        self._count("watch", prefix)
        return self._store.watch(prefix, since, timeout_ms)

    def cancel_watches(self) -> None:
        self._store.cancel_watches()

    def interrupt_watches(self, kind: str | None = None) -> None:
        self._store.interrupt_watches(kind)

    def _count(self, operation: str, key: str) -> None:
        kind = key.split("/", 1)[0]
        self._metrics.count(f"store_{operation}_{kind}")
