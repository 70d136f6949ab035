"""Commits to the settings store under concurrent changes, lost responses and outages."""

import pytest
from msgspec.json import decode, encode

from ebonyshore.batch.audit import Auditor
from ebonyshore.batch.job_store import JobStore
from ebonyshore.frame.errors import (
    SettingsError,
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_history import find_history_faults, read_history, replay
from ebonyshore.settings.settings_store import HEAD_KEY, SettingsEdit, SettingsStore, archive_key
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from tests.stepping_clock import SteppingClock


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform(SteppingClock())


@pytest.fixture
def settings(platform: MemoryPlatform) -> SettingsStore:
    clock = SteppingClock()
    return SettingsStore(MarkedStore(platform, clock), clock)


def make_edit(path: str = "/", operator: str = "an", **values: object) -> SettingsEdit:
    return SettingsEdit(path, values, operator)


def replace_in_object(platform: MemoryPlatform, key: str, old: bytes, new: bytes) -> None:
    stored = platform.get(key)
    assert old in stored.value
    platform.put(key, stored.value.replace(old, new), stored.version)


def test_concurrent_edits_of_different_settings_are_both_kept(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against the second writer overwriting the first one's setting with an old value.

    The other operator commits between the read and the conditional write of the head.
    """
    put = platform.put

    def commit_other_then_put(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        settings.commit(make_edit(operator="binh", max_attempts=2))
        return put(key, value, expected_version)

    platform.put = commit_other_then_put
    result = settings.commit(make_edit(max_output_tokens=100))
    assert settings.read().nodes["/"] == {"max_attempts": 2, "max_output_tokens": 100}
    assert result.change.revision == 2


def test_edit_with_an_outdated_expected_revision_is_refused(settings: SettingsStore) -> None:
    settings.commit(make_edit(max_attempts=2))
    with pytest.raises(SettingsError) as refusal:
        settings.commit(SettingsEdit("/", {"max_attempts": 3}, "binh", expected_revision=0))
    assert refusal.value.code is ResultCode.SETTINGS_CONFLICT
    assert settings.read().revision == 1


@pytest.mark.parametrize("fault", ["lose_next_answers", "drop_next_writes", "hold_next_writes"])
def test_change_is_applied_once_if_a_response_or_a_write_is_lost(
    platform: MemoryPlatform, settings: SettingsStore, fault: str
) -> None:
    setattr(platform.faults, fault, 1)
    result = settings.commit(SettingsEdit("/", {"max_attempts": 2}, "an", expected_revision=0))
    platform.apply_held_writes()
    assert result.change.revision == 1
    assert [change.revision for change in read_history(settings)] == [1]


def test_change_with_a_lost_response_is_found_in_the_archive(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against applying a change twice if its response is lost and many changes follow.

    More changes follow than the store keeps write marks for, and the head has archived the change
    before the next attempt reads it.
    """
    put = platform.put

    def put_then_commit_others(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        for number in range(60):
            settings.commit(make_edit(operator="binh", max_output_tokens=number + 1))
        raise WriteOutcomeUnknownError(key)

    platform.put = put_then_commit_others
    result = settings.commit(make_edit(max_attempts=2))
    assert result.change.revision == 1
    assert [c.revision for c in read_history(settings) if c.operator == "an"] == [1]


def test_resent_change_returns_the_first_result(settings: SettingsStore) -> None:
    """Guards against an operator's resend being applied as a second change."""
    change = SettingsEdit("/", {"max_attempts": 2}, "an", expected_revision=0, change_id="c1")
    assert settings.commit(change).change == settings.commit(change).change
    assert settings.read().revision == 1


def test_outage_after_an_unconfirmed_write_is_reported_as_unknown(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against reporting a change as refused while its delayed write may still take effect.

    The platform holds the write back, goes down, and carries the write out after the outage.
    """
    put = platform.put

    def hold_write_and_fail(key: str, value: bytes, expected_version: int) -> int:
        platform.set_faults(PlatformFaults(hold_next_writes=1))
        try:
            return put(key, value, expected_version)
        finally:
            platform.set_faults(PlatformFaults(is_down=True))

    platform.put = hold_write_and_fail
    with pytest.raises(WriteOutcomeUnknownError):
        settings.commit(make_edit(max_attempts=2))
    platform.put = put
    platform.set_faults(PlatformFaults())
    assert platform.apply_held_writes() == 1
    assert settings.read().revision == 1


def test_change_during_an_outage_is_refused_without_effect(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(StoreUnavailableError):
        settings.commit(make_edit(max_attempts=2))
    platform.set_faults(PlatformFaults())
    assert settings.read().revision == 0


def test_full_history_can_be_read_back(settings: SettingsStore) -> None:
    for number in range(1, 101):
        settings.commit(make_edit(operator=f"op-{number}", max_output_tokens=number))
    head = settings.read()
    history = read_history(settings)
    assert 32 <= len(head.recent) < 48
    assert [change.revision for change in history] == list(range(1, 101))
    assert history[49].operator == "op-50"
    assert history[49].replaced == {"max_output_tokens": 49}
    assert replay(history) == head.nodes
    assert [c.revision for c in read_history(settings, 40)] == list(range(40, 101))
    assert find_history_faults(settings) == []


def test_changes_stay_in_the_head_until_they_are_archived(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against losing history if the archive cannot be written."""
    put = platform.put

    def put_head_only(key: str, value: bytes, expected_version: int) -> int:
        if key != HEAD_KEY:
            raise StoreUnavailableError(key)
        return put(key, value, expected_version)

    platform.put = put_head_only
    for number in range(60):
        settings.commit(make_edit(max_output_tokens=number + 1))
    platform.put = put
    settings.commit(make_edit(max_output_tokens=1))
    assert len(read_history(settings)) == 61
    assert find_history_faults(settings) == []


@pytest.mark.parametrize(
    ("key", "old", "new"),
    [
        (archive_key(1), b'"operator":"op-5"', b'"operator":"op-6"'),
        (HEAD_KEY, b'"operator":"op-50"', b'"operator":"op-51"'),
        (HEAD_KEY, b'{"/":{"max_output_tokens":50}}', b'{"/":{"max_output_tokens":5}}'),
    ],
)
def test_altered_record_is_found(
    platform: MemoryPlatform, settings: SettingsStore, key: str, old: bytes, new: bytes
) -> None:
    for number in range(1, 51):
        settings.commit(make_edit(operator=f"op-{number}", max_output_tokens=number))
    replace_in_object(platform, key, old, new)
    assert find_history_faults(settings) != []
    store = MarkedStore(platform, SteppingClock())
    report = Auditor(JobStore(store, SteppingClock(), 1, 500), settings).run()
    assert report.faults == find_history_faults(settings)


def test_missing_archive_block_is_found(platform: MemoryPlatform, settings: SettingsStore) -> None:
    for number in range(1, 71):
        settings.commit(make_edit(max_output_tokens=number))
    block = platform.get(archive_key(1))
    platform.delete(block.key, block.version)
    assert find_history_faults(settings) != []


def test_levels_are_created_unset_and_deleted(settings: SettingsStore) -> None:
    settings.commit(make_edit("/tiers/care"))
    settings.commit(make_edit("/tiers/care/models/reader", max_attempts=2))
    settings.commit(make_edit("/tiers/care/models/reader", max_attempts=None))
    assert settings.read().nodes == {"/tiers/care": {}, "/tiers/care/models/reader": {}}
    with pytest.raises(SettingsError, match="there is no tier care"):
        settings.commit(SettingsEdit("/tiers/care", operation="delete"))
    settings.commit(SettingsEdit("/tiers/care/models/reader", operation="delete"))
    settings.commit(SettingsEdit("/tiers/care", operation="delete"))
    assert settings.read().nodes == {}
    assert find_history_faults(settings) == []


def test_head_survives_fields_of_a_newer_version(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against readers failing on a setting that a process of a newer version accepted."""
    settings.commit(make_edit(max_attempts=2))
    replace_in_object(platform, HEAD_KEY, b'"nodes":{"/":{', b'"nodes":{"/":{"later_setting":1,')
    assert settings.read().tree().root().max_attempts == 2


def test_permanent_conflict_raises_an_error(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against reporting success, or retrying forever, if every write conflicts."""

    def raise_conflict(key: str, value: bytes, expected_version: int) -> int:
        raise WriteConflictError(key)

    platform.put = raise_conflict
    with pytest.raises(WriteConflictError):
        settings.commit(make_edit(max_attempts=2))
    assert decode(encode(settings.read())) == {
        "revision": 0,
        "nodes": {},
        "digest": "",
        "recent": [],
    }
