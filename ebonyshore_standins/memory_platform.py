"""An in-memory platform with switchable faults and call counts."""

from bisect import bisect_right, insort
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from threading import Condition

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, Clock
from ebonyshore.frame.errors import (
    StoreError,
    StoreTimeoutError,
    StoreUnavailableError,
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
    """Switches of the stand-in.

    :param is_down: every call fails at once and has no effect.
    :param delay_ms: every call takes this much longer.
    :param lost_answer_ratio: share of writes that take effect and then fail.
    :param lose_next_answers: this many next writes take effect and then fail.
    :param drop_next_writes: this many next writes fail without an answer and have no effect.
    :param hold_next_writes: this many next writes fail without an answer and are carried out late,
        by ``MemoryPlatform.apply_held_writes``.
    :param lost_read_ratio: share of reads that get no answer in time.
    :param list_lag_ms: the instance list shows the state of this long ago.
    :param writes_per_s: 0 for no limit.
    :param reads_per_s: 0 for no limit.
    :param weight_interval_ms: least time between two weight grants.
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
    """A write that is still on its way; without a value it is a deletion."""

    key: str
    value: bytes | None
    expected_version: int


class _RateLimit:
    """Counts calls in windows of one second."""

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
    """The platform's three services in memory; safe to use from any thread.

    :param clock: gives delays and lags.
    :param seed: of the random choice of lost answers.
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
        self._writes = _RateLimit()
        self._reads = _RateLimit()
        self._instances: dict[str, Instance] = {}
        self._instance_history: list[tuple[float, tuple[Instance, ...]]] = []
        self._next_grant_ms = 0.0
        self._held: list[HeldWrite] = []
        self._are_watches_cancelled = False

    def get(self, key: str) -> StoredObject | None:
        with self._call("get"):
            return self._objects.get(key)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(f"{key}: value of {len(value)} bytes is too large")
        with self._call("put"):
            self._hold_or_drop(HeldWrite(key, value, expected_version))
            self._check_version(key, expected_version)
            version = self._store(key, value)
            self._lose_answer(key)
            return version

    def delete(self, key: str, expected_version: int) -> None:
        with self._call("delete"):
            self._hold_or_drop(HeldWrite(key, None, expected_version))
            self._check_version(key, expected_version)
            self._remove(key)
            self._lose_answer(key)

    def list_keys(
        self, prefix: str, start_after: str = "", limit: int = 1000
    ) -> list[ObjectSummary]:
        with self._call("list"):
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
        with self._call("watch"):
            while True:
                changes = self._changes_since(prefix, since)
                left_ms = end_ms - self._clock.monotonic_ms()
                if self.faults.is_down or self._are_watches_cancelled:
                    raise StoreUnavailableError("the platform went down")
                if changes or left_ms <= 0:
                    return WatchResult(self._revision, changes)
                self._clock.wait(self._changed, left_ms)

    def cancel_watches(self) -> None:
        with self._changed:
            self._are_watches_cancelled = True
            self._changed.notify_all()

    def list_instances(self) -> list[Instance]:
        with self._call("list_instances"):
            seen_ms = self._clock.monotonic_ms() - self.faults.list_lag_ms
            visible: tuple[Instance, ...] = ()
            for changed_ms, instances in self._instance_history:
                if changed_ms <= seen_ms:
                    visible = instances
            return list(visible)

    def request_weights(self, model: str) -> WeightGrant:
        with self._call("weights"):
            now_ms = self._clock.monotonic_ms()
            if now_ms < self._next_grant_ms:
                return WeightGrant(int(self._next_grant_ms - now_ms) + 1)
            self._next_grant_ms = now_ms + self.faults.weight_interval_ms
            return WeightGrant(0)

    def set_instance(self, instance: Instance) -> None:
        """Add or change an entry of the instance list."""
        with self._changed:
            self._instances[instance.instance_id] = instance
            self._record_instances()

    def remove_instance(self, instance_id: str) -> None:
        """Remove an entry of the instance list."""
        with self._changed:
            self._instances.pop(instance_id, None)
            self._record_instances()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the fault switches and wake waiting watches."""
        with self._changed:
            self.faults = faults
            self._changed.notify_all()

    def apply_held_writes(self) -> int:
        """Carry out the held writes whose condition still holds; return how many took effect."""
        with self._changed:
            held, self._held = self._held, []
            return sum(self._carry_out(write) for write in held)

    def _carry_out(self, write: HeldWrite) -> bool:
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
    def _call(self, kind: str) -> Iterator[None]:
        if self.faults.delay_ms:
            self._clock.sleep_ms(self.faults.delay_ms)
        with self._changed:
            self.calls[kind] += 1
            if self.faults.is_down:
                raise StoreUnavailableError("the platform is down")
            if not self._is_admitted(kind):
                raise StoreUnavailableError("the platform's rate limit is exceeded")
            if kind not in WRITE_KINDS and self._random.random() < self.faults.lost_read_ratio:
                raise StoreTimeoutError("no answer in time")
            yield

    def _is_admitted(self, kind: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        if kind in WRITE_KINDS:
            return self._writes.admit(now_ms, self.faults.writes_per_s)
        return self._reads.admit(now_ms, self.faults.reads_per_s)

    def _check_version(self, key: str, expected_version: int) -> None:
        current = self._objects.get(key)
        version = current.version if current else ABSENT_VERSION
        if version != expected_version:
            raise WriteConflictError(f"{key} is at version {version}, not {expected_version}")

    def _hold_or_drop(self, write: HeldWrite) -> None:
        if self.faults.drop_next_writes > 0:
            self.faults.drop_next_writes -= 1
            raise WriteOutcomeUnknownError(write.key)
        if self.faults.hold_next_writes > 0:
            self.faults.hold_next_writes -= 1
            self._held.append(write)
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

    def _lose_answer(self, key: str) -> None:
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
