"""An in-memory platform with fault injection and call counts."""

from bisect import bisect_right, insort
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from threading import Condition

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import (
    StoreTimeoutError,
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.platform_api import (
    ABSENT_VERSION,
    MAX_VALUE_BYTES,
    Instance,
    InstanceList,
    ObjectStore,
    ObjectSummary,
    StoredObject,
    WatchResult,
    WeightGrant,
    WeightStore,
)

WRITE_KINDS = ("put", "delete")


class PlatformFaults(Struct):
    """Faults to inject.

    :param is_down: whether every call fails at once without an effect.
    :param delay_ms: delay added to every call.
    :param lost_answer_ratio: share of writes that take effect although their response is lost.
    :param lose_next_answers: number of next writes that take effect although their response is
        lost.
    :param drop_next_writes: number of next writes that get no response and have no effect.
    :param hold_next_writes: number of next writes that get no response and take effect only in
        :meth:`MemoryPlatform.apply_held_writes`.
    :param lost_read_ratio: share of reads that time out.
    :param list_lag_ms: age of the state that the instance list shows.
    :param writes_per_s: rate limit of writes; 0 for no limit.
    :param reads_per_s: rate limit of all other calls; 0 for no limit.
    :param weight_interval_ms: minimum time between two weight grants.
    """

    is_down: bool = False
    delay_ms: float = 0.0
    lost_answer_ratio: float = 0.0
    lose_next_answers: int = 0
    drop_next_writes: int = 0
    hold_next_writes: int = 0
    lost_read_ratio: float = 0.0
    list_lag_ms: float = 0.0
    writes_per_s: int = 0
    reads_per_s: int = 0
    weight_interval_ms: float = 0.0


class HeldWrite(Struct, frozen=True):
    """A write whose response was lost and that takes effect later.

    :param value: the value to write; ``None`` for a deletion.
    """

    key: str
    value: bytes | None
    expected_version: int


class _RateLimit:
    """A limit on the number of calls in each window of one second."""

    __slots__ = ("_calls", "_window")

    def __init__(self) -> None:
        self._window = -1
        self._calls = 0

    def admit(self, now_ms: float, limit_per_s: int) -> bool:
        window = int(now_ms // MS_PER_S)
        if window != self._window:
            self._window = window
            self._calls = 0
        self._calls += 1
        return not limit_per_s or self._calls <= limit_per_s


class MemoryPlatform(ObjectStore, InstanceList, WeightStore):
    """The object store, instance list and weight store in memory; thread-safe.

    :param clock: source of time for delays, lags and rate limits.
    :param seed: seed of the random choice of lost responses.
    :ivar faults: the faults in force.
    :ivar calls: number of calls, by kind.
    """

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._random = Random(seed)
        self._changed = Condition()
        self._objects: dict[str, StoredObject] = {}
        self._keys: list[str] = []
        self._revision = 0
        self._changes: list[tuple[int, str]] = []
        self._write_rate = _RateLimit()
        self._read_rate = _RateLimit()
        self._instances: dict[str, Instance] = {}
        self._instance_history: list[tuple[float, tuple[Instance, ...]]] = []
        self._next_grant_ms = 0.0
        self._held_writes: list[HeldWrite] = []
        self._are_watches_cancelled = False

    def get(self, key: str) -> StoredObject | None:
        with self._handle_call("get"):
            return self._objects.get(key)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(
                f"{key}: value of {len(value)} bytes exceeds the limit of {MAX_VALUE_BYTES}"
            )
        with self._handle_call("put"):
            self._apply_write_faults(HeldWrite(key, value, expected_version))
            self._check_version(key, expected_version)
            version = self._store(key, value)
            self._maybe_lose_answer(key)
            return version

    def delete(self, key: str, expected_version: int) -> None:
        with self._handle_call("delete"):
            self._apply_write_faults(HeldWrite(key, None, expected_version))
            self._check_version(key, expected_version)
            self._remove(key)
            self._maybe_lose_answer(key)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        with self._handle_call("list"):
            summaries = []
            start = bisect_right(self._keys, max(start_after, prefix[:-1] if prefix else ""))
            for key in self._keys[start:]:
                if not key.startswith(prefix):
                    if key > prefix:
                        break
                    continue
                summaries.append(ObjectSummary(key, self._objects[key].version))
                if len(summaries) == limit:
                    break
            return summaries

    def watch(self, prefix: str, since: int, timeout_ms: int) -> WatchResult:
        end_ms = self._clock.monotonic_ms() + timeout_ms
        with self._handle_call("watch"):
            while True:
                changes = self._changes_since(prefix, since)
                left_ms = end_ms - self._clock.monotonic_ms()
                if self.faults.is_down or self._are_watches_cancelled:
                    raise StoreUnavailableError("the watch was cancelled or the platform is down")
                if changes or left_ms <= 0:
                    return WatchResult(self._revision, changes)
                self._clock.wait(self._changed, left_ms)

    def cancel_watches(self) -> None:
        with self._changed:
            self._are_watches_cancelled = True
            self._changed.notify_all()

    def list_instances(self) -> list[Instance]:
        with self._handle_call("list_instances"):
            visible_until_ms = self._clock.monotonic_ms() - self.faults.list_lag_ms
            visible: tuple[Instance, ...] = ()
            for changed_ms, instances in self._instance_history:
                if changed_ms <= visible_until_ms:
                    visible = instances
            return list(visible)

    def request_weights(self, model: str) -> WeightGrant:
        with self._handle_call("weights"):
            now_ms = self._clock.monotonic_ms()
            if now_ms < self._next_grant_ms:
                return WeightGrant(int(self._next_grant_ms - now_ms) + 1)
            self._next_grant_ms = now_ms + self.faults.weight_interval_ms
            return WeightGrant(0)

    def set_instance(self, instance: Instance) -> None:
        """Add an instance to the instance list, or replace it."""
        with self._changed:
            self._instances[instance.instance_id] = instance
            self._record_instances()

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance from the instance list, if present."""
        with self._changed:
            self._instances.pop(instance_id, None)
            self._record_instances()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults in force and wake pending watches."""
        with self._changed:
            self.faults = faults
            self._changed.notify_all()

    def apply_held_writes(self) -> int:
        """Apply the held writes whose expected version still matches.

        :return: number of writes that took effect.
        """
        with self._changed:
            writes, self._held_writes = self._held_writes, []
            return sum(self._apply_held_write(write) for write in writes)

    def _apply_held_write(self, write: HeldWrite) -> bool:
        try:
            self._check_version(write.key, write.expected_version)
        except WriteConflictError:
            return False
        if write.value is None:
            self._remove(write.key)
        else:
            self._store(write.key, write.value)
        return True

    def _record_instances(self) -> None:
        now_ms = self._clock.monotonic_ms()
        self._instance_history.append((now_ms, tuple(self._instances.values())))

    @contextmanager
    def _handle_call(self, kind: str) -> Iterator[None]:
        if self.faults.delay_ms:
            self._clock.sleep_ms(self.faults.delay_ms)
        with self._changed:
            self.calls[kind] += 1
            if self.faults.is_down:
                raise StoreUnavailableError("the platform is down")
            if not self._is_admitted(kind):
                raise StoreUnavailableError("the platform's rate limit is exceeded")
            if kind not in WRITE_KINDS and self._random.random() < self.faults.lost_read_ratio:
                raise StoreTimeoutError("the read timed out")
            yield

    def _is_admitted(self, kind: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        if kind in WRITE_KINDS:
            return self._write_rate.admit(now_ms, self.faults.writes_per_s)
        return self._read_rate.admit(now_ms, self.faults.reads_per_s)

    def _check_version(self, key: str, expected_version: int) -> None:
        current = self._objects.get(key)
        version = current.version if current else ABSENT_VERSION
        if version != expected_version:
            raise WriteConflictError(f"{key} is at version {version}, not {expected_version}")

    def _apply_write_faults(self, write: HeldWrite) -> None:
        if self.faults.drop_next_writes > 0:
            self.faults.drop_next_writes -= 1
            raise WriteOutcomeUnknownError(write.key)
        if self.faults.hold_next_writes > 0:
            self.faults.hold_next_writes -= 1
            self._held_writes.append(write)
            raise WriteOutcomeUnknownError(write.key)

    def _store(self, key: str, value: bytes) -> int:
        if key not in self._objects:
            insort(self._keys, key)
        version = self._commit(key)
        self._objects[key] = StoredObject(key, version, value)
        return version

    def _remove(self, key: str) -> None:
        if key in self._objects:
            self._commit(key)
            del self._objects[key]
            self._keys.remove(key)

    def _commit(self, key: str) -> int:
        self._revision += 1
        self._changes.append((self._revision, key))
        self._changed.notify_all()
        return self._revision

    def _maybe_lose_answer(self, key: str) -> None:
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            raise WriteOutcomeUnknownError(key)
        if self._random.random() < self.faults.lost_answer_ratio:
            raise WriteOutcomeUnknownError(key)

    def _changes_since(self, prefix: str, since: int) -> tuple[StoredObject, ...]:
        start = bisect_right(self._changes, since, key=lambda change: change[0])
        latest = {key: version for version, key in self._changes[start:] if key.startswith(prefix)}
        return tuple(
            self._objects.get(key) or StoredObject(key, version, None)
            for key, version in latest.items()
        )
