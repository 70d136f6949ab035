"""State machine test of the settings store and the settings services of several processes.

Changes race with other changes, writes and responses are lost, the platform goes down, processes
restart, and old snapshots arrive late. Revisions must never go back in a running process, and each
accepted change must be in the history exactly once.
"""

from collections.abc import Callable

from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ebonyshore.frame.errors import EbonyshoreError, WriteOutcomeUnknownError
from ebonyshore.frame.logs import EventLog
from ebonyshore.link.messages import SettingsSnapshot
from ebonyshore.settings.settings_history import find_history_faults, read_history, replay
from ebonyshore.settings.settings_service import PEER_WAIT_MS, SettingsService, SettingsWatcher
from ebonyshore.settings.settings_store import HEAD_KEY, SettingsEdit, SettingsStore
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from tests.stepping_clock import SteppingClock

PROCESSES = 3
FAULTS = ("", "lose_next_answers", "drop_next_writes", "hold_next_writes")
process_index = st.integers(0, PROCESSES - 1)


class RacingPlatform(MemoryPlatform):
    """A platform that runs callbacks directly before and after the next write of the head."""

    def __init__(self, clock: SteppingClock) -> None:
        super().__init__(clock)
        self.before: Callable[[], None] | None = None
        self.after: Callable[[], None] | None = None

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        if key != HEAD_KEY:
            return super().put(key, value, expected_version)
        before, after = self.before, self.after
        self.before = self.after = None
        if before is not None:
            before()
        try:
            return super().put(key, value, expected_version)
        finally:
            if after is not None:
                after()


class SettingsMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self) -> None:
        self.clock = SteppingClock()
        self.platform = RacingPlatform(self.clock)
        self.store = SettingsStore(MarkedStore(self.platform, self.clock), self.clock)
        self.services = [SettingsService(EventLog()) for _ in range(PROCESSES)]
        self.watchers = [self.make_watcher(service) for service in self.services]
        self.highest_revisions = [0] * PROCESSES
        self.snapshots: list[SettingsSnapshot] = []
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.edits = 0

    def make_watcher(self, service: SettingsService) -> SettingsWatcher:
        store = MarkedStore(self.platform, self.clock)
        return SettingsWatcher(store, service, 0, self.clock, EventLog())

    def submit(self, edit: SettingsEdit) -> None:
        self.edits += 1
        change_id = f"change-{self.edits}"
        try:
            result = self.store.commit(
                SettingsEdit(edit.path, edit.values, "op", edit.expected_revision, change_id)
            )
            self.accepted[change_id] = result.change.revision
        except WriteOutcomeUnknownError:
            self.unknown.add(change_id)
        except EbonyshoreError:
            self.refused.add(change_id)

    @rule(
        number=st.integers(1, 9),
        fault=st.sampled_from(FAULTS),
        lag=st.sampled_from((None, None, 0, 1)),
        race=st.sampled_from(("", "before", "after")),
        concurrent_changes=st.sampled_from((1, 2, 60)),
        goes_down=st.sampled_from((False, False, False, True)),
    )
    def change(
        self,
        number: int,
        fault: str,
        lag: int | None,
        race: str,
        concurrent_changes: int,
        goes_down: bool,
    ) -> None:
        """Submit a change while the platform has a fault or other changes are committed.

        :param lag: how far the expected revision is behind the newest; ``None`` to expect none.
        :param race: whether other changes are committed before or after the write of this one.
        :param goes_down: whether the platform goes down after these other changes.
        """
        if fault:
            setattr(self.platform.faults, fault, 1)

        def commit_concurrent_changes() -> None:
            for value in range(concurrent_changes):
                self.submit(SettingsEdit("/", {"max_output_tokens": value + 1}))
            if goes_down:
                self.set_outage(True)

        if race:
            setattr(self.platform, race, commit_concurrent_changes)
        expected = None if lag is None else max(0, self.highest_accepted() - lag)
        name = "max_attempts" if number % 2 else "max_output_tokens"
        self.submit(SettingsEdit("/", {name: number}, expected_revision=expected))
        self.platform.before = self.platform.after = None

    @rule(is_down=st.sampled_from((False, False, True)))
    def set_outage(self, is_down: bool) -> None:
        self.platform.set_faults(PlatformFaults(is_down=is_down))

    @rule()
    def carry_out_held(self) -> None:
        self.platform.apply_held_writes()

    @rule(index=process_index)
    def follow(self, index: int) -> None:
        """Let a process read or watch the store once."""
        self.clock.advance_ms(PEER_WAIT_MS)
        self.watchers[index].on_timer()
        self.snapshots.append(self.services[index].make_snapshot(0))

    @rule(source=process_index, to=process_index)
    def relay(self, source: int, to: int) -> None:
        known = self.services[to].revision_for_request()
        self.snapshots.append(self.services[source].make_snapshot(known))
        self.services[to].adopt_snapshot(self.snapshots[-1])

    @rule(to=process_index, age=st.integers(0, 20))
    def relay_old(self, to: int, age: int) -> None:
        if self.snapshots:
            self.services[to].adopt_snapshot(self.snapshots[-1 - age % len(self.snapshots)])

    @rule(index=process_index)
    def restart(self, index: int) -> None:
        """Restart a process.

        The oldest snapshot arrives first, then those of all peers, before the peer wait is over.
        """
        service = self.services[index] = SettingsService(EventLog())
        watcher = self.watchers[index] = self.make_watcher(service)
        watcher.on_timer()
        if self.snapshots:
            service.adopt_snapshot(self.snapshots[0])
        if not self.platform.faults.is_down:
            assert service.current().revision == self.stored_revision()
        else:
            assert service.current().revision == 0
        peers = [other for other in self.services if other is not service]
        for peer in peers:
            service.adopt_snapshot(peer.make_snapshot(service.revision_for_request()))
        self.clock.advance_ms(PEER_WAIT_MS)
        watcher.on_timer()
        held_by_peers = max(peer.current().revision for peer in peers)
        assert not service.is_ready or service.current().revision >= held_by_peers
        assert service.is_ready or held_by_peers == 0
        self.highest_revisions[index] = service.current().revision

    def highest_accepted(self) -> int:
        return max(self.accepted.values(), default=0)

    def stored_revision(self) -> int:
        return self.store.read().revision

    @invariant()
    def revisions_never_go_back(self) -> None:
        for index, service in enumerate(self.services):
            assert service.current().revision >= self.highest_revisions[index]
            self.highest_revisions[index] = service.current().revision

    @invariant()
    def accepted_changes_are_in_the_history_once(self) -> None:
        faults, self.platform.faults = self.platform.faults, PlatformFaults()
        history = read_history(self.store)
        assert find_history_faults(self.store) == []
        self.platform.faults = faults
        revisions: dict[str, list[int]] = {}
        for change in history:
            revisions.setdefault(change.change_id, []).append(change.revision)
        assert all(revisions[key] == [revision] for key, revision in self.accepted.items())
        assert not self.refused & revisions.keys()
        assert all(len(revisions.get(key, ())) <= 1 for key in self.unknown)
        for service in self.services:
            tree = service.current()
            assert tree.nodes == replay(history[: tree.revision])


TestSettings = SettingsMachine.TestCase
TestSettings.settings = run_settings(
    max_examples=60, stateful_step_count=50, derandomize=True, deadline=None, database=None
)
