"""The contract of the platform's services, for the platform in memory and its HTTP client."""

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from threading import Thread

import pytest
from waitress import create_server

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import (
    StoreUnavailableError,
    ValueTooLargeError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.platform_api import MAX_VALUE_BYTES, Instance
from ebonyshore.store.platform_http import PlatformHttp
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from ebonyshore_standins.platform_server import PlatformApp

CALL_TIMEOUT_MS = 1_000
CLOCK = SystemClock()


@dataclass(slots=True)
class Case:
    """A client and the platform in memory that serves it."""

    client: MemoryPlatform | PlatformHttp
    memory: MemoryPlatform


@pytest.fixture(params=["memory", "http"])
def case(request: pytest.FixtureRequest) -> Iterator[Case]:
    memory = MemoryPlatform(CLOCK)
    if request.param == "memory":
        yield Case(memory, memory)
        return
    sockets: dict[int, object] = {}
    app = PlatformApp(memory)
    server = create_server(app, map=sockets, host="127.0.0.1", port=0, threads=8)
    thread = Thread(target=server.run)
    thread.start()
    client = PlatformHttp(f"http://127.0.0.1:{server.effective_port}", CALL_TIMEOUT_MS)
    yield Case(client, memory)
    memory.set_faults(PlatformFaults())
    memory.cancel_watches()
    client.close()
    server.task_dispatcher.shutdown()
    # The server's thread may be awake already and close the trigger before it is pulled.
    with suppress(OSError):
        server.trigger.pull_trigger(lambda: [each.close() for each in list(sockets.values())])
    thread.join()


def test_versions_and_conditions(case: Case) -> None:
    store = case.client
    assert store.get("a/b c") is None
    first = store.put("a/b c", b"one", 0)
    with pytest.raises(WriteConflictError):
        store.put("a/b c", b"two", 0)
    second = store.put("a/b c", b"two", first)
    assert second > first
    assert store.get("a/b c").value == b"two"
    with pytest.raises(WriteConflictError):
        store.delete("a/b c", first)
    store.delete("a/b c", second)
    assert store.get("a/b c") is None


def test_value_that_is_too_large_is_refused_for_good(case: Case) -> None:
    with pytest.raises(ValueTooLargeError):
        case.client.put("a/large", b"x" * (MAX_VALUE_BYTES + 1), 0)


def test_keys_with_a_prefix_are_listed_in_pages(case: Case) -> None:
    for number in range(5):
        case.client.put(f"a/{number}", b"", 0)
    case.client.put("a-x", b"", 0)
    case.client.put("b/0", b"", 0)
    first = case.client.list_keys("a/", limit=3)
    rest = case.client.list_keys("a/", first[-1].key)
    assert [summary.key for summary in first + rest] == [f"a/{n}" for n in range(5)]


def test_watch_returns_changes_and_deletions(case: Case) -> None:
    first = case.client.put("a/1", b"one", 0)
    result = case.client.watch("a/", 0, 1_000)
    assert [change.value for change in result.changes] == [b"one"]
    case.client.put("b/1", b"other", 0)
    assert case.client.watch("a/", result.revision, 0).changes == ()
    case.client.delete("a/1", first)
    deletion = case.client.watch("a/", result.revision, 1_000)
    assert [(change.key, change.value) for change in deletion.changes] == [("a/1", None)]


def test_pending_watch_counts_as_one_call_and_ends_with_a_change(case: Case) -> None:
    results = []
    waiting = Thread(target=lambda: results.append(case.client.watch("a/", 0, 30_000)))
    waiting.start()
    while not case.memory.calls["watch"]:
        CLOCK.sleep_ms(1)
    case.memory.put("a/1", b"one", 0)
    waiting.join(10)
    assert [change.key for change in results[0].changes] == ["a/1"]
    assert case.memory.calls["watch"] == 1


@pytest.mark.parametrize("ending", ["outage", "cancel"])
def test_pending_watch_ends_on_an_outage_or_a_cancel(case: Case, ending: str) -> None:
    """Guards against a watch that conceals an outage, or that delays the stop of a process."""
    errors: list[Exception] = []

    def wait() -> None:
        try:
            case.client.watch("a/", 0, 30_000)
        except StoreUnavailableError as error:
            errors.append(error)

    waiting = Thread(target=wait)
    waiting.start()
    while not case.memory.calls["watch"]:
        CLOCK.sleep_ms(1)
    if ending == "outage":
        case.memory.set_faults(PlatformFaults(is_down=True))
    else:
        case.client.cancel_watches()
    waiting.join(10)
    assert len(errors) == 1


def test_unavailable_platform_rejects_all_calls(case: Case) -> None:
    case.memory.set_faults(PlatformFaults(is_down=True))
    for call in (
        lambda: case.client.get("a"),
        lambda: case.client.put("a", b"", 0),
        lambda: case.client.list_keys(""),
        lambda: case.client.watch("", 0, 30_000),
        lambda: case.client.list_instances(),
        lambda: case.client.request_weights("m"),
    ):
        with pytest.raises(StoreUnavailableError):
            call()
    case.memory.set_faults(PlatformFaults())
    assert case.client.get("a") is None


@pytest.mark.parametrize(
    ("fault", "takes_effect"),
    [("lose_next_answers", True), ("drop_next_writes", False), ("hold_next_writes", False)],
)
def test_lost_response_raises_outcome_unknown(case: Case, fault: str, takes_effect: bool) -> None:
    setattr(case.memory.faults, fault, 1)
    with pytest.raises(WriteOutcomeUnknownError):
        case.client.put("a", b"one", 0)
    assert (case.client.get("a") is not None) == takes_effect
    assert case.memory.apply_held_writes() == (fault == "hold_next_writes")


def test_delayed_write_conflicts_with_a_later_one(case: Case) -> None:
    """Guards against a delayed write that overwrites a later one."""
    case.memory.faults.hold_next_writes = 1
    with pytest.raises(WriteOutcomeUnknownError):
        case.client.put("a", b"one", 0)
    case.client.put("a", b"two", 0)
    assert case.memory.apply_held_writes() == 0
    assert case.client.get("a").value == b"two"


def test_lost_responses_of_all_writes_and_reads(case: Case) -> None:
    case.memory.set_faults(PlatformFaults(lost_answer_ratio=1.0, lost_read_ratio=1.0))
    with pytest.raises(WriteOutcomeUnknownError):
        case.client.put("a", b"one", 0)
    with pytest.raises(StoreUnavailableError):
        case.client.get("a")


def test_configured_delay_applies_to_each_call(case: Case) -> None:
    case.memory.set_faults(PlatformFaults(delay_ms=50))
    began_ms = CLOCK.monotonic_ms()
    case.client.put("a", b"one", 0)
    assert CLOCK.monotonic_ms() - began_ms >= 50


def test_calls_above_the_rate_limit_have_no_effect(case: Case) -> None:
    case.memory.set_faults(PlatformFaults(writes_per_s=1, reads_per_s=1))
    results = []
    for number in range(3):
        try:
            results.append(case.client.put(f"a{number}", b"", 0))
        except StoreUnavailableError:
            results.append(0)
    case.memory.set_faults(PlatformFaults())
    assert 0 in results
    assert [case.client.get(f"a{n}") is not None for n in range(3)] == [v > 0 for v in results]


def test_instance_list_can_be_outdated(case: Case) -> None:
    case.memory.set_instance(Instance("t1", "target", "tcp://127.0.0.1:1", models=("m",)))
    assert [instance.instance_id for instance in case.client.list_instances()] == ["t1"]
    case.memory.set_faults(PlatformFaults(list_lag_ms=60_000))
    assert case.client.list_instances() == []


def test_weights_are_granted_at_a_limited_rate(case: Case) -> None:
    case.memory.set_faults(PlatformFaults(weight_interval_ms=60_000))
    assert case.client.request_weights("m").wait_ms == 0
    assert 0 < case.client.request_weights("m").wait_ms <= 60_001


def test_calls_are_counted_by_kind(case: Case) -> None:
    case.client.put("a", b"one", 0)
    case.client.get("a")
    case.client.get("a")
    assert case.memory.calls == {"put": 1, "get": 2}
