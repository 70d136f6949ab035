"""The full history of the settings tree, and whether its records were altered."""

from ebonyshore.frame.errors import SettingsError
from ebonyshore.settings.settings_store import (
    SettingsChange,
    SettingsHead,
    SettingsStore,
    apply_to_nodes,
    compute_change_digest,
)
from ebonyshore.settings.settings_tree import SettingValue


def read_history(store: SettingsStore, first_revision: int = 1) -> list[SettingsChange]:
    """Return all accepted changes from ``first_revision`` on, oldest first.

    The head is read first: what it no longer holds was archived before.
    """
    head = store.read()
    archived = store.read_archive(first_revision)
    return _merge_changes(archived, head, first_revision)


def find_history_faults(store: SettingsStore) -> list[str]:
    """Return every altered, missing or repeated record of the history and the head; for audits."""
    head = store.read()
    archived = store.read_archive()
    faults = _overlap_faults(archived, head)
    changes = _merge_changes(archived, head, 1)
    faults += _chain_faults(changes)
    if head.revision != len(changes):
        faults.append(f"settings/head: revision {head.revision}, history of {len(changes)}")
    if changes and head.digest != changes[-1].digest:
        faults.append("settings/head: its digest is not that of the last change")
    return faults + _tree_faults(changes, head)


def replay(changes: list[SettingsChange]) -> dict[str, dict[str, SettingValue]]:
    """Return the levels that result from the changes.

    :raises SettingsError: if a change deletes a level that does not exist.
    """
    nodes: dict[str, dict[str, SettingValue]] = {}
    for change in changes:
        nodes = apply_to_nodes(nodes, change.path, change.values, change.operation)
    return nodes


def _merge_changes(
    archived: list[SettingsChange], head: SettingsHead, first_revision: int
) -> list[SettingsChange]:
    """Return the changes once each; a block is in both places until the head drops it."""
    oldest_kept = head.recent[0].revision if head.recent else head.revision + 1
    older = [change for change in archived if change.revision < oldest_kept]
    return older + [change for change in head.recent if change.revision >= first_revision]


def _overlap_faults(archived: list[SettingsChange], head: SettingsHead) -> list[str]:
    kept = {change.revision: change for change in head.recent}
    return [
        f"settings revision {change.revision}: the archive and the head differ"
        for change in archived
        if kept.get(change.revision, change) != change
    ]


def _chain_faults(changes: list[SettingsChange]) -> list[str]:
    faults = []
    previous_digest = ""
    for expected, change in enumerate(changes, start=1):
        if change.revision != expected:
            faults.append(f"settings revision {expected}: found {change.revision} in its place")
        if change.digest != compute_change_digest(change):
            faults.append(f"settings revision {change.revision} was altered")
        if change.previous_digest != previous_digest:
            faults.append(f"settings revision {change.revision} does not follow the one before")
        previous_digest = change.digest
    return faults


def _tree_faults(changes: list[SettingsChange], head: SettingsHead) -> list[str]:
    try:
        nodes = replay(changes)
    except SettingsError as error:
        return [f"the history cannot be replayed: {error.detail}"]
    if nodes != head.nodes:
        return ["settings/head: its levels are not those that the history makes"]
    return []
