"""The settings service of one process: start, updates from peers, requests, and validation."""

from threading import Thread

import pytest

from ebonyshore.entry.callers import ANONYMOUS_CALLER, caller_for_api_key
from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import (
    HistoryLostError,
    RequestError,
    SettingsError,
    StoreUnavailableError,
)
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_service import (
    PEER_WAIT_MS,
    REQUEST_TIMEOUT_MS,
    SettingsPuller,
    SettingsService,
    SettingsWatcher,
)
from ebonyshore.settings.settings_store import (
    HEAD_KEY,
    SettingsEdit,
    SettingsHead,
    SettingsStore,
    apply_edit,
)
from ebonyshore.settings.settings_tree import SettingsTree, find_tree_faults
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import WatchResult
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from tests.stepping_clock import SteppingClock

KEY_DIGEST = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"  # of b"key"


def make_watcher(platform: MemoryPlatform, service: SettingsService, **options) -> SettingsWatcher:
    clock = SteppingClock()
    return SettingsWatcher(MarkedStore(platform, clock), service, 0, clock, EventLog(), **options)


def test_service_is_not_ready_before_it_has_a_revision(platform: MemoryPlatform) -> None:
    platform.set_faults(PlatformFaults(is_down=True))
    service = SettingsService(EventLog())
    watcher = make_watcher(platform, service)
    for _ in range(10):
        watcher.on_timer()
        watcher.clock.advance_ms(PEER_WAIT_MS)
    assert not service.is_ready


def test_service_waits_for_further_peers_while_the_platform_is_down(
    platform: MemoryPlatform,
) -> None:
    """Guards against serving under the revision of the first peer when another has a newer one."""
    platform.set_faults(PlatformFaults(is_down=True))
    service = SettingsService(EventLog())
    watcher = make_watcher(platform, service)
    watcher.on_timer()
    service.adopt(SettingsHead(6))
    watcher.on_timer()
    assert service.current().revision == 0
    service.adopt(SettingsHead(7))
    watcher.clock.advance_ms(PEER_WAIT_MS)
    watcher.on_timer()
    assert service.is_ready
    assert service.current().revision == 7


def test_watcher_of_an_agent_reads_the_store_once(platform: MemoryPlatform) -> None:
    """Guards against one open watch per agent, which would exceed the platform's rate limits."""
    service = SettingsService(EventLog())
    watcher = make_watcher(platform, service, should_watch=False)
    watcher.on_timer()
    assert service.is_ready
    assert watcher.next_timer_ms() is None
    assert platform.calls == {"get": 1}


def test_invalid_head_does_not_stop_the_watcher(platform: MemoryPlatform) -> None:
    platform.put(HEAD_KEY, b"{", 0)
    service = SettingsService(EventLog())
    watcher = make_watcher(platform, service)
    watcher.on_timer()
    assert not service.is_ready
    assert not service.adopt_encoded(b'{"revision":"x"}')


def test_watcher_reads_the_head_again_after_the_store_has_dropped_its_history() -> None:
    """Guards against a change that is never applied: the watch fails from then on."""

    class ForgetfulPlatform(MemoryPlatform):
        def watch(self, prefix: str, revision: int, timeout_ms: int) -> WatchResult:
            raise HistoryLostError("dropped")

    platform = ForgetfulPlatform(SystemClock())
    store = MarkedStore(platform, SystemClock())
    store.create(HEAD_KEY, SettingsHead(7))
    service = SettingsService(EventLog())
    watcher = make_watcher(platform, service)
    watcher.on_timer()
    known = store.read(HEAD_KEY, SettingsHead)
    store.replace(known, SettingsHead(8))
    watcher.on_timer()
    watcher.on_timer()
    assert service.current().revision == 8


def test_listeners_see_revisions_in_order() -> None:
    """Guards against announcing an old revision after a newer one when threads race."""
    service = SettingsService(EventLog())
    service.activate()
    revisions: list[int] = []
    service.subscribe(lambda head: revisions.append(head.revision))
    numbers = range(1, 400)
    threads = [
        Thread(
            target=lambda part: [service.adopt(SettingsHead(n)) for n in numbers[part::4]],
            args=(part,),
        )
        for part in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert revisions == sorted(revisions)
    assert service.current().revision == 399


def test_newer_head_is_requested_once() -> None:
    """Guards against fetching the same head from each entry that announces it."""
    clock = SteppingClock()
    service = SettingsService(EventLog())
    puller = SettingsPuller(service, clock)
    assert puller.should_request(5)
    assert not puller.should_request(5)
    assert puller.should_request(6)
    clock.advance_ms(REQUEST_TIMEOUT_MS)
    assert puller.should_request(6)
    service.adopt(SettingsHead(6))
    assert not puller.should_request(6)


def apply_edits(head: SettingsHead, count: int) -> SettingsHead:
    for number in range(count):
        head = apply_edit(head, SettingsEdit("/", {"max_attempts": number + 1}), 0)
    return head


def test_peer_gets_changes_instead_of_the_whole_head() -> None:
    """Guards against sending the whole head for each change.

    That would exceed the bandwidth budget of the control traffic.
    """
    sender, receiver = SettingsService(EventLog()), SettingsService(EventLog())
    known = apply_edits(SettingsHead(), 3)
    receiver.adopt(known)
    sender.adopt(apply_edits(known, 2))
    snapshot = sender.make_snapshot(receiver.revision_for_request())
    assert not snapshot.head
    assert receiver.adopt_snapshot(snapshot)
    assert receiver.newest_head().nodes == sender.newest_head().nodes
    assert receiver.newest_head().digest == sender.newest_head().digest
    assert SettingsService(EventLog()).revision_for_request() == 0
    assert sender.make_snapshot(0).head


def test_changes_of_another_digest_chain_lead_to_the_whole_head() -> None:
    """Guards against mixing two trees, and against requesting unusable changes forever."""
    sender, receiver = SettingsService(EventLog()), SettingsService(EventLog())
    receiver.adopt(apply_edits(SettingsHead(), 3))
    other = apply_edit(SettingsHead(), SettingsEdit("/", {"max_output_tokens": 9}), 0)
    sender.adopt(apply_edits(other, 5))
    assert not receiver.adopt_snapshot(sender.make_snapshot(receiver.revision_for_request()))
    assert receiver.revision_for_request() == 0
    assert receiver.adopt_snapshot(sender.make_snapshot(0))
    assert receiver.newest_head().nodes == sender.newest_head().nodes
    assert receiver.revision_for_request() == 6


def test_watch_ends_when_the_watcher_stops(platform: MemoryPlatform) -> None:
    """Guards against a planned stop that is delayed until the watch times out."""
    clock = SystemClock()
    service = SettingsService(EventLog())
    watcher = SettingsWatcher(MarkedStore(platform, clock), service, 60_000, clock, EventLog())
    watcher.start()
    while not platform.calls["watch"]:
        clock.sleep_ms(1)
    began_ms = clock.monotonic_ms()
    watcher.stop()
    assert clock.monotonic_ms() - began_ms < 10_000
    with pytest.raises(StoreUnavailableError):
        platform.watch(HEAD_KEY, 0, 60_000)


def test_change_of_a_level_cannot_make_a_level_below_invalid(store: MarkedStore) -> None:
    settings = SettingsStore(store, SystemClock())
    settings.commit(SettingsEdit("/tiers/care", {"first_token_objective_ms": 20_000}))
    with pytest.raises(SettingsError, match="/tiers/care: first_token_objective_ms must be less"):
        settings.commit(SettingsEdit("/", {"request_timeout_ms": 10_000}))
    assert settings.read().revision == 1


def test_all_faults_of_a_tree_are_reported() -> None:
    faults = find_tree_faults(
        {
            "/": {"max_attempts": 0, "weighting": "none"},
            "/tiers/care": {"max_atempts": 2, "allows_anonymous_callers": False},
            "/tiers/a/models/m": {},
            "/other": {},
            "/callers/x": {"api_key_sha256_hex": KEY_DIGEST},
            "/callers/y": {"api_key_sha256_hex": KEY_DIGEST},
        }
    )
    text = "\n".join(faults)
    for part in ("found 0", "found 'none'", "max_atempts", "no tier a", "/other", "/callers/y"):
        assert part in text


def test_caller_is_found_by_api_key() -> None:
    tree = SettingsTree(1, {"/callers/x": {"api_key_sha256_hex": KEY_DIGEST}, "/callers/y": {}})
    assert tree.caller_of("key") == "x"
    assert tree.caller_of("") is None
    assert tree.root().allows_anonymous_callers
    assert caller_for_api_key(tree, "key") == "x"
    assert caller_for_api_key(tree, "") == ANONYMOUS_CALLER


@pytest.mark.parametrize("key", ["", "unknown"])
def test_unknown_caller_is_refused_if_anonymous_callers_are_not_allowed(key: str) -> None:
    nodes = {
        "/": {"allows_anonymous_callers": False},
        "/callers/x": {"api_key_sha256_hex": KEY_DIGEST},
    }
    tree = SettingsTree(1, nodes)
    assert caller_for_api_key(tree, "key") == "x"
    with pytest.raises(RequestError) as refusal:
        caller_for_api_key(tree, key)
    assert refusal.value.code is ResultCode.UNAUTHENTICATED
