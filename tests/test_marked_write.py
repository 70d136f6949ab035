"""Conditional writes whose answer was lost."""

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


def test_lost_answer_of_a_write_that_took_effect_is_settled(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    first = store.create("note", Note("one"))
    platform.faults.lose_next_answers = 1
    second = store.replace(first, Note("two"))
    assert store.read("note", Note) == second
    assert second.sequence == 2


def test_lost_answer_is_settled_when_a_third_party_wrote_since(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    """Guards against taking another writer's later write for a failure of one's own."""
    first = store.create("note", Note("one"))
    put = platform.put

    def put_and_be_overtaken(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        store.update("note", Note, lambda note: Note(note.text + " and three"))
        raise WriteOutcomeUnknownError(key)

    platform.put = put_and_be_overtaken
    store.replace(first, Note("two"))
    assert store.read("note", Note).body.text == "two and three"


def test_settled_write_that_was_overwritten_is_no_base_for_the_next(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    """Guards against undoing another writer's change: a holder that was paused while it settled
    its claim committed over the shard's next holder (simulated run, seed 115)."""
    first = store.create("note", Note("one"))
    put = platform.put

    def put_and_be_overtaken(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        store.update("note", Note, lambda note: Note("three"))
        raise WriteOutcomeUnknownError(key)

    platform.put = put_and_be_overtaken
    second = store.replace(first, Note("two"))
    with pytest.raises(WriteConflictError):
        store.replace(second, Note("four"))
    assert store.read("note", Note).body.text == "three"


def test_lost_answer_of_a_write_that_lost_is_a_conflict(
    platform: MemoryPlatform, store: MarkedStore
) -> None:
    first = store.create("note", Note("one"))
    put = platform.put

    def lose_against_another(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        store.replace(first, Note("other"))
        raise WriteOutcomeUnknownError(key)

    platform.put = lose_against_another
    with pytest.raises(WriteConflictError):
        store.replace(first, Note("two"))
    assert store.read("note", Note).body.text == "other"


def test_write_during_an_outage_has_no_effect(platform: MemoryPlatform, store: MarkedStore) -> None:
    platform.set_faults(PlatformFaults(is_down=True))
    with pytest.raises(StoreUnavailableError):
        store.create("note", Note("one"))
    platform.set_faults(PlatformFaults())
    assert platform.get("note") is None


def test_values_survive_unknown_fields(platform: MemoryPlatform, store: MarkedStore) -> None:
    """Guards against a newer process's records breaking an older one."""
    value = b'{"sequence":1,"marks":["m"],"body":{"text":"one","color":"red"},"later":1}'
    platform.put("note", value, 0)
    assert isinstance(platform.get("note"), StoredObject)
    assert store.read("note", Note).body.text == "one"
