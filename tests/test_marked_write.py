"""Conditional writes whose response was lost."""

import pytest
from msgspec import Struct

from ebonyshore.frame.errors import (
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import StoredObject
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults


class Note(Struct):
    text: str


def test_write_with_effect_succeeds_after_a_lost_response(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    first = store.create("note", Note("one"))
    platform.faults.lose_next_answers = 1
    second = store.replace(first, Note("two"))
    assert store.read("note", Note) == second
    assert second.sequence == 2


def test_write_with_effect_succeeds_if_another_writer_wrote_since(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    """Guards against reporting a write as failed because another writer has written since."""
    first = store.create("note", Note("one"))
    put = platform.put

    def write_and_be_overwritten(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        store.update("note", Note, lambda note: Note(note.text + " and three"))
        raise WriteOutcomeUnknownError(key)

    platform.put = write_and_be_overwritten
    store.replace(first, Note("two"))
    assert store.read("note", Note).body.text == "two and three"


def test_write_based_on_an_overwritten_one_conflicts(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    """Guards against undoing another writer's change. A holder that was paused while it determined
    the outcome of its claim overwrote the record of the shard's next holder (simulation, seed
    115)."""
    first = store.create("note", Note("one"))
    put = platform.put

    def write_and_be_overwritten(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        store.update("note", Note, lambda note: Note("three"))
        raise WriteOutcomeUnknownError(key)

    platform.put = write_and_be_overwritten
    second = store.replace(first, Note("two"))
    with pytest.raises(WriteConflictError):
        store.replace(second, Note("four"))
    assert store.read("note", Note).body.text == "three"


def test_write_without_effect_conflicts_after_a_lost_response(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    first = store.create("note", Note("one"))
    put = platform.put

    def write_after_another(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        store.replace(first, Note("other"))
        raise WriteOutcomeUnknownError(key)

    platform.put = write_after_another
    with pytest.raises(WriteConflictError):
        store.replace(first, Note("two"))
    assert store.read("note", Note).body.text == "other"


def test_write_during_an_outage_has_no_effect(platform: MemoryPlatform, store: MarkedStore) -> None:
    platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(StoreUnavailableError):
        store.create("note", Note("one"))
    platform.set_faults(PlatformFaults())
    assert platform.get("note") is None


def test_record_with_unknown_fields_can_be_read(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    """Guards against a process that cannot read the records of a newer version."""
    value = b'{"sequence":1,"marks":["m"],"body":{"text":"one","color":"red"},"later":1}'
    platform.put("note", value, 0)
    assert isinstance(platform.get("note"), StoredObject)
    assert store.read("note", Note).body.text == "one"
