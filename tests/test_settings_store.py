"""Changes of the settings tree in the object store, under races and lost answers."""

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


def edit(path: str = "/", operator: str = "an", **values: object) -> SettingsEdit:
    return SettingsEdit(path, values, operator)


def rewrite(platform: MemoryPlatform, key: str, old: bytes, new: bytes) -> None:
    stored = platform.get(key)
    assert old in stored.value
    platform.put(key, stored.value.replace(old, new), stored.version)


def test_edits_of_different_fields_by_racing_operators_are_both_kept(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against the later writer reverting the other's field from an old copy."""
    put = platform.put

    def put_after_another(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        settings.commit(edit(operator="binh", max_attempts=2))
        return put(key, value, expected_version)

    platform.put = put_after_another
    result = settings.commit(edit(max_output_tokens=100))
    assert settings.read().nodes["/"] == {"max_attempts": 2, "max_output_tokens": 100}
    assert result.change.revision == 2


def test_expected_revision_refuses_the_slower_operator(settings: SettingsStore) -> None:
    settings.commit(edit(max_attempts=2))
    with pytest.raises(SettingsError) as refusal:
        settings.commit(SettingsEdit("/", {"max_attempts": 3}, "binh", expected_revision=0))
    assert refusal.value.code is ResultCode.SETTINGS_CONFLICT
    assert settings.read().revision == 1


@pytest.mark.parametrize("fault", ["lose_next_answers", "drop_next_writes", "hold_next_writes"])
def test_change_with_a_lost_answer_is_counted_once(
    platform: MemoryPlatform, settings: SettingsStore, fault: str
) -> None:
    setattr(platform.faults, fault, 1)
    result = settings.commit(SettingsEdit("/", {"max_attempts": 2}, "an", expected_revision=0))
    platform.apply_held_writes()
    assert result.change.revision == 1
    assert [change.revision for change in read_history(settings)] == [1]


def test_lost_answer_is_reported_truly_after_many_changes_by_others(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against counting a change twice when more others followed than marks are kept."""
    put = platform.put

    def put_and_be_overtaken(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        for number in range(60):
            settings.commit(edit(operator="binh", max_output_tokens=number + 1))
        raise WriteOutcomeUnknownError(key)

    platform.put = put_and_be_overtaken
    result = settings.commit(edit(max_attempts=2))
    assert result.change.revision == 1
    assert [c.revision for c in read_history(settings) if c.operator == "an"] == [1]


def test_resent_change_is_the_first_change(settings: SettingsStore) -> None:
    """Guards against an operator's resend counting as a second change."""
    change = SettingsEdit("/", {"max_attempts": 2}, "an", expected_revision=0, change_id="c1")
    assert settings.commit(change).change == settings.commit(change).change
    assert settings.read().revision == 1


def test_outage_while_the_outcome_is_open_is_reported_as_unknown(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against the report that a change was refused when it is still on its way."""
    put = platform.put

    def lose_and_go_down(key: str, value: bytes, expected_version: int) -> int:
        platform.set_faults(PlatformFaults(hold_next_writes=1))
        try:
            return put(key, value, expected_version)
        finally:
            platform.set_faults(PlatformFaults(is_down=True))

    platform.put = lose_and_go_down
    with pytest.raises(WriteOutcomeUnknownError):
        settings.commit(edit(max_attempts=2))
    platform.put = put
    platform.set_faults(PlatformFaults())
    assert platform.apply_held_writes() == 1
    assert settings.read().revision == 1


def test_change_during_an_outage_is_refused_and_has_no_effect(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(StoreUnavailableError):
        settings.commit(edit(max_attempts=2))
    platform.set_faults(PlatformFaults())
    assert settings.read().revision == 0


def test_full_history_can_be_read_back(settings: SettingsStore) -> None:
    for number in range(1, 101):
        settings.commit(edit(operator=f"op-{number}", max_output_tokens=number))
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
    """Guards against losing history when the archive cannot be written."""
    put = platform.put

    def refuse_archive(key: str, value: bytes, expected_version: int) -> int:
        if key != HEAD_KEY:
            raise StoreUnavailableError(key)
        return put(key, value, expected_version)

    platform.put = refuse_archive
    for number in range(60):
        settings.commit(edit(max_output_tokens=number + 1))
    platform.put = put
    settings.commit(edit(max_output_tokens=1))
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
        settings.commit(edit(operator=f"op-{number}", max_output_tokens=number))
    rewrite(platform, key, old, new)
    assert find_history_faults(settings) != []
    store = MarkedStore(platform, SteppingClock())
    report = Auditor(JobStore(store, SteppingClock(), 1, 500), settings).run()
    assert report.faults == find_history_faults(settings)


def test_missing_block_is_found(platform: MemoryPlatform, settings: SettingsStore) -> None:
    for number in range(1, 71):
        settings.commit(edit(max_output_tokens=number))
    block = platform.get(archive_key(1))
    platform.delete(block.key, block.version)
    assert find_history_faults(settings) != []


def test_levels_are_created_unset_and_deleted(settings: SettingsStore) -> None:
    settings.commit(edit("/tiers/care"))
    settings.commit(edit("/tiers/care/models/reader", max_attempts=2))
    settings.commit(edit("/tiers/care/models/reader", max_attempts=None))
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
    """Guards against readers failing on a setting that a newer process accepted."""
    settings.commit(edit(max_attempts=2))
    rewrite(platform, HEAD_KEY, b'"nodes":{"/":{', b'"nodes":{"/":{"later_setting":1,')
    assert settings.read().tree().root().max_attempts == 2


def test_conflict_is_not_mistaken_for_success(
    platform: MemoryPlatform, settings: SettingsStore
) -> None:
    """Guards against endless conflicts ending in anything but a truthful error."""

    def always_lose(key: str, value: bytes, expected_version: int) -> int:
        raise WriteConflictError(key)

    platform.put = always_lose
    with pytest.raises(WriteConflictError):
        settings.commit(edit(max_attempts=2))
    assert decode(encode(settings.read())) == {
        "revision": 0,
        "nodes": {},
        "digest": "",
        "recent": [],
    }
