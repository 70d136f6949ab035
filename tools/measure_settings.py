"""Measures the cost of the settings tree; prints points and a fitted line for each figure.

    .venv/bin/python -m tools.measure_settings

Measured are the size of the head by its number of levels; bytes and processor time of one change
in a process that watches the store, in an agent that receives it from an entry, and in the entry
that commits it; and the store calls by the number of processes.
"""

import argparse
from collections import Counter
from collections.abc import Callable, Iterable
from statistics import linear_regression
from time import process_time

from msgspec import Struct
from msgspec.json import encode

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.link.codec import MessageCodec
from ebonyshore.link.messages import EntryMessage
from ebonyshore.settings.settings_service import SettingsService, SettingsWatcher
from ebonyshore.settings.settings_store import (
    ARCHIVE_BLOCK_CHANGES,
    HEAD_KEY,
    RECENT_CHANGES,
    SettingsEdit,
    SettingsHead,
    SettingsStore,
    apply_edit,
    encode_head,
)
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform

LEVELS = (50, 200, 700, 1_400)
PROCESSES = (1, 2, 4, 8)
ROUNDS = 20
US_PER_S = 1_000_000


class Point(Struct, frozen=True):
    """A measured value ``y`` at ``x``."""

    x: float
    y: float


def main() -> None:
    """Measure all figures and print the points and the fitted line of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    rounds = parser.parse_args().rounds
    heads = {levels: make_head(levels) for levels in LEVELS}
    print_fit("head, bytes by levels", head_sizes(heads))
    print_fit("one change in a watching process, bytes by levels", watch_answer_sizes(heads))
    print_fit("one change in a watching process, CPU us by levels", watch_cpu_times(heads, rounds))
    print_fit("one change in an agent, CPU us by levels", snapshot_cpu_times(heads, rounds))
    print_fit("relay of one change to an agent, bytes by levels", snapshot_sizes(heads))
    print_fit("commit of one change, CPU us by levels", commit_cpu_times(heads, rounds))
    calls = [count_watcher_calls(count) for count in PROCESSES]
    for name in ("start", "change", "idle watch"):
        points = [Point(n, c[name]) for n, c in zip(PROCESSES, calls, strict=True)]
        print_fit(f"store calls by watching processes: {name}", points)


def print_fit(title: str, points: Iterable[Point]) -> None:
    """Print points and the line fitted to them by linear regression."""
    measured = list(points)
    slope, intercept = linear_regression([p.x for p in measured], [p.y for p in measured])
    print(title)
    print("  " + "  ".join(f"{p.x:g}: {p.y:.1f}" for p in measured))
    print(f"  slope {slope:.3f} each, intercept {intercept:.1f}")


def make_head(levels: int) -> SettingsHead:
    """Return a head with ``levels`` caller accounts and the maximum number of recent changes."""
    head = SettingsHead()
    for number in range(levels):
        digest = f"{number:064x}"
        values = {"api_key_sha256_hex": digest, "caller_requests_per_s": 20.0}
        head.nodes[f"/callers/caller-{number}"] = values
    for number in range(RECENT_CHANGES + ARCHIVE_BLOCK_CHANGES - 1):
        edit = SettingsEdit("/", {"max_attempts": number % 9 + 1}, "operator-1", change_id="c" * 16)
        head = apply_edit(head, edit, 1_700_000_000_000)
    return head


def head_sizes(heads: dict[int, SettingsHead]) -> list[Point]:
    """Return the encoded size of each head in bytes."""
    return [Point(levels, len(encode_head(head))) for levels, head in heads.items()]


def watch_answer_sizes(heads: dict[int, SettingsHead]) -> list[Point]:
    """Return the size in bytes of the watch answer that delivers one change."""
    points = []
    for levels, head in heads.items():
        store = make_store(head)
        points.append(Point(levels, len(encode(store.store.watch(HEAD_KEY, 0, 0)))))
    return points


def watch_cpu_times(heads: dict[int, SettingsHead], rounds: int) -> list[Point]:
    """Return the processor time in µs to adopt one change from a watch answer."""
    points = []
    for levels, head in heads.items():
        store = make_store(head)
        value = store.store.get(HEAD_KEY).value

        def adopt_change(store: MarkedStore = store, value: bytes = value) -> None:
            service = SettingsService(EventLog())
            service.activate()
            service.adopt(store.decode(HEAD_KEY, 1, value, SettingsHead).body)
            service.current().root()

        points.append(Point(levels, mean_cpu_us(adopt_change, rounds)))
    return points


def snapshot_sizes(heads: dict[int, SettingsHead]) -> list[Point]:
    """Return the size in bytes of the snapshot that delivers one change to an agent."""
    codec: MessageCodec[EntryMessage] = MessageCodec(EntryMessage, Metrics())
    points = []
    for levels, head in heads.items():
        service = SettingsService(EventLog())
        service.adopt(head)
        frame = codec.encode(service.make_snapshot(head.revision - 1))
        points.append(Point(levels, len(frame)))
    return points


def snapshot_cpu_times(heads: dict[int, SettingsHead], rounds: int) -> list[Point]:
    """Return the processor time in µs of an agent to adopt one change from an entry's snapshot."""
    codec: MessageCodec[EntryMessage] = MessageCodec(EntryMessage, Metrics())
    points = []
    for levels, head in heads.items():
        sender = SettingsService(EventLog())
        edit = SettingsEdit("/", {"max_attempts": 3}, "operator-1")
        sender.adopt(apply_edit(head, edit, 0))
        frame = codec.encode(sender.make_snapshot(head.revision))

        def adopt_change(head: SettingsHead = head, frame: bytes = frame) -> None:
            service = SettingsService(EventLog())
            service.adopt(head)
            service.activate()
            service.adopt_snapshot(codec.decode(frame))
            service.current().root()

        points.append(Point(levels, mean_cpu_us(adopt_change, rounds)))
    return points


def commit_cpu_times(heads: dict[int, SettingsHead], rounds: int) -> list[Point]:
    """Return the processor time in µs of an entry to validate and commit one change."""
    points = []
    for levels, head in heads.items():
        settings = SettingsStore(make_store(head), SystemClock())

        def commit(settings: SettingsStore = settings) -> None:
            settings.commit(SettingsEdit("/", {"max_attempts": 3}, "operator-1"))

        points.append(Point(levels, mean_cpu_us(commit, rounds)))
    return points


def count_watcher_calls(processes: int) -> Counter[str]:
    """Count the store calls of several watchers at the start, for a change and when idle."""
    store = make_store(make_head(1))
    clock = SystemClock()
    watchers = [
        SettingsWatcher(store, SettingsService(EventLog()), 0, clock, EventLog())
        for _ in range(processes)
    ]
    counts: Counter[str] = Counter()
    counts["start"] = count_store_calls(store, lambda: poll_all(watchers))
    poll_all(watchers)
    SettingsStore(store, clock).commit(SettingsEdit("/", {"max_attempts": 3}))
    counts["change"] = count_store_calls(store, lambda: poll_all(watchers))
    counts["idle watch"] = count_store_calls(store, lambda: poll_all(watchers))
    return counts


def poll_all(watchers: list[SettingsWatcher]) -> None:
    """Run the timer of each watcher once, which makes its next store call."""
    for watcher in watchers:
        watcher.on_timer()


def count_store_calls(store: MarkedStore, action: Callable[[], None]) -> int:
    """Return the number of store calls that ``action`` makes."""
    before = store.store.calls.total()
    action()
    return store.store.calls.total() - before


def make_store(head: SettingsHead) -> MarkedStore:
    """Return an in-memory store that holds ``head``."""
    store = MarkedStore(MemoryPlatform(SystemClock()), SystemClock())
    store.create(HEAD_KEY, head)
    return store


def mean_cpu_us(action: Callable[[], None], rounds: int) -> float:
    """Return the mean processor time of a call in µs, after one call to warm up."""
    action()
    started_s = process_time()
    for _ in range(rounds):
        action()
    return (process_time() - started_s) / rounds * US_PER_S


if __name__ == "__main__":
    main()
