"""Reads the full history of the settings tree and verifies its integrity."""

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

    The head is read before the archive, because a change is archived before the head drops it: a
    change that is no longer in the head that was read is then found in the archive.

    :raises StoreError: if the object store cannot be read.
    :raises UnreadableObjectError: if a stored object is not a valid record.
    """
    head = store.read()
    archived = store.read_archive(first_revision)
    return _merge_changes(archived, head, first_revision)


def find_history_faults(store: SettingsStore) -> list[str]:
    """Verify the stored history and the head, for audits.

    :return: one message for each altered, missing or duplicate record; empty if there is none.
    :raises StoreError: if the object store cannot be read.
    :raises UnreadableObjectError: if a stored object is not a valid record.
    """
    head = store.read()
    archived = store.read_archive()
    faults = _overlap_faults(archived, head)
    changes = _merge_changes(archived, head, 1)
    faults += _chain_faults(changes)
    if head.revision != len(changes):
        faults.append(f"settings/head: revision {head.revision}, but {len(changes)} changes")
    if changes and head.digest != changes[-1].digest:
        faults.append("settings/head: digest differs from that of the last change")
    return faults + _tree_faults(changes, head)


def replay(changes: list[SettingsChange]) -> dict[str, dict[str, SettingValue]]:
    """Return the nodes that result from applying all ``changes`` to the empty tree.

    :raises SettingsError: if a change deletes a level that does not exist.
    """
    nodes: dict[str, dict[str, SettingValue]] = {}
    for change in changes:
        nodes = apply_to_nodes(nodes, change.path, change.values, change.operation)
    return nodes


def _merge_changes(
    archived: list[SettingsChange], head: SettingsHead, first_revision: int
) -> list[SettingsChange]:
    """Return each change once.

    A block may be in both the archive and the head, from its archiving until the head drops it.
    """
    first_recent = head.recent[0].revision if head.recent else head.revision + 1
    archive_only = [change for change in archived if change.revision < first_recent]
    return archive_only + [change for change in head.recent if change.revision >= first_revision]


def _overlap_faults(archived: list[SettingsChange], head: SettingsHead) -> list[str]:
    recent_by_revision = {change.revision: change for change in head.recent}
    return [
        f"settings revision {change.revision}: archive and head hold different records"
        for change in archived
        if recent_by_revision.get(change.revision, change) != change
    ]


def _chain_faults(changes: list[SettingsChange]) -> list[str]:
    faults = []
    previous_digest = ""
    for expected, change in enumerate(changes, start=1):
        if change.revision != expected:
            faults.append(f"settings revision {expected}: found revision {change.revision} instead")
        if change.digest != compute_change_digest(change):
            faults.append(f"settings revision {change.revision}: content does not match its digest")
        if change.previous_digest != previous_digest:
            faults.append(f"settings revision {change.revision}: previous digest does not match")
        previous_digest = change.digest
    return faults


def _tree_faults(changes: list[SettingsChange], head: SettingsHead) -> list[str]:
    try:
        nodes = replay(changes)
    except SettingsError as error:
        return [f"settings history cannot be replayed: {error.detail}"]
    if nodes != head.nodes:
        return ["settings/head: levels differ from those of the replayed history"]
    return []
