"""Accepted changes of the settings tree in the object store.

One object holds the whole tree, so each change is one conditional update and changes are in one
order. It also holds the last changes, chained by digest; older ones are archived in blocks before
they are dropped from it.
"""

import secrets
from hashlib import sha256
from typing import Literal

from msgspec import Struct
from msgspec.json import Encoder, encode
from msgspec.structs import replace

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    SettingsError,
    StoreError,
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_tree import (
    ROOT_PATH,
    SettingsTree,
    SettingValue,
    find_tree_faults,
)
from ebonyshore.store.marked_write import MarkedObject, MarkedStore

HEAD_KEY = "settings/head"
ARCHIVE_PREFIX = "settings/archive/"
RECENT_CHANGES = 32
ARCHIVE_BLOCK_CHANGES = 16
COMMIT_TIMEOUT_MS = 15_000
MAX_RETRY_DELAY_MS = 20

_ENCODER = Encoder(order="sorted")


class SettingsChange(Struct, frozen=True):
    """One accepted change.

    :param revision: the revision that the change made.
    :param operator: who.
    :param wall_ms: when, for people.
    :param path: which level.
    :param values: what was set; ``None`` marks a setting that was unset.
    :param replaced: what it replaced; ``None`` marks a setting that was inherited.
    :param previous_digest: digest of the change before.
    :param change_id: unique; tells a resent change from another one with the same content.
    :param operation: ``delete`` removes the whole level.
    :param digest: digest of this change, without this field.
    """

    revision: int
    operator: str
    wall_ms: int
    path: str
    values: dict[str, SettingValue | None]
    replaced: dict[str, SettingValue | None]
    previous_digest: str
    change_id: str = ""
    operation: Literal["set", "delete"] = "set"
    digest: str = ""


class SettingsEdit(Struct, frozen=True, forbid_unknown_fields=True):
    """A change that an operator asks for.

    :param path: the level; it is created if it does not exist.
    :param values: ``None`` unsets a setting; an empty dict only creates the level.
    :param expected_revision: refuse if another revision is in force.
    :param change_id: the same for each resend of one change; random if empty.
    """

    path: str
    values: dict[str, SettingValue | None] = {}
    operator: str = ""
    expected_revision: int | None = None
    change_id: str = ""
    operation: Literal["set", "delete"] = "set"


class SettingsHead(Struct, frozen=True):
    """The tree in force.

    :param digest: digest of the change that made this revision.
    :param recent: the last changes, newest last.
    """

    revision: int = 0
    nodes: dict[str, dict[str, SettingValue]] = {}
    digest: str = ""
    recent: tuple[SettingsChange, ...] = ()

    def tree(self) -> SettingsTree:
        """Return the tree of this revision."""
        return SettingsTree(self.revision, self.nodes)


class ArchiveBlock(Struct, frozen=True):
    """:data:`ARCHIVE_BLOCK_CHANGES` changes in order; never changed once written."""

    changes: tuple[SettingsChange, ...]


class CommitResult(Struct, frozen=True):
    """An accepted change.

    :param change: the change with the revision that it made.
    :param head: a head that contains it; other changes may have followed.
    """

    change: SettingsChange
    head: SettingsHead


def compute_change_digest(change: SettingsChange) -> str:
    """Return the digest that ``change`` must carry."""
    fields = {name: getattr(change, name) for name in change.__struct_fields__ if name != "digest"}
    return sha256(_ENCODER.encode(fields)).hexdigest()


def apply_edit(head: SettingsHead, edit: SettingsEdit, wall_ms: int) -> SettingsHead:
    """Return the head after a change; nothing is dropped from it.

    :raises SettingsError: if any level's effective values would be invalid, or the level that is
        to be deleted does not exist.
    """
    nodes = apply_to_nodes(head.nodes, edit.path, edit.values, edit.operation)
    faults = find_tree_faults(nodes)
    if faults:
        raise SettingsError("\n".join(faults))
    before = head.nodes.get(edit.path, {})
    names = before if edit.operation == "delete" else edit.values
    change = SettingsChange(
        head.revision + 1,
        edit.operator,
        wall_ms,
        edit.path,
        edit.values,
        {name: before.get(name) for name in names},
        head.digest,
        edit.change_id,
        edit.operation,
    )
    change = replace(change, digest=compute_change_digest(change))
    return SettingsHead(change.revision, nodes, change.digest, (*head.recent, change))


def apply_to_nodes(
    nodes: dict[str, dict[str, SettingValue]],
    path: str,
    values: dict[str, SettingValue | None],
    operation: str,
) -> dict[str, dict[str, SettingValue]]:
    """Return the levels after a change, without a check of the values.

    :raises SettingsError: if the level that is to be deleted does not exist or is the root.
    """
    if operation == "delete":
        if path == ROOT_PATH or path not in nodes:
            raise SettingsError(f"{path}: no level that can be deleted", code=ResultCode.NOT_FOUND)
        return {other: node for other, node in nodes.items() if other != path}
    merged = {**nodes.get(path, {}), **values}
    return {**nodes, path: {name: value for name, value in merged.items() if value is not None}}


def apply_accepted_changes(head: SettingsHead, changes: tuple[SettingsChange, ...]) -> SettingsHead:
    """Return the head after changes that were accepted elsewhere; earlier ones are passed over.

    :raises SettingsError: if they do not follow the head, or a record was altered.
    """
    for change in changes:
        if change.revision <= head.revision:
            continue
        is_next = change.revision == head.revision + 1 and change.previous_digest == head.digest
        if not is_next or change.digest != compute_change_digest(change):
            raise SettingsError(f"change {change.revision} does not follow {head.revision}")
        nodes = apply_to_nodes(head.nodes, change.path, change.values, change.operation)
        recent = (*head.recent, change)[-RECENT_CHANGES:]
        head = SettingsHead(change.revision, nodes, change.digest, recent)
    return head


class SettingsStore:
    """Commits changes and reads them back.

    :param store: the object store.
    :param clock: gives the time of a change.
    """

    __slots__ = ("_clock", "_store")

    def __init__(self, store: MarkedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def read(self) -> SettingsHead:
        """Return the head; an empty one if there was no change yet."""
        current = self._store.read(HEAD_KEY, SettingsHead)
        return current.body if current else SettingsHead()

    def read_archive(self, first_revision: int = 1) -> list[SettingsChange]:
        """Return the archived changes from ``first_revision`` on, as they are stored."""
        changes: list[SettingsChange] = []
        start_after = ARCHIVE_PREFIX
        if first_revision > ARCHIVE_BLOCK_CHANGES:
            start_after = archive_key(first_revision - ARCHIVE_BLOCK_CHANGES)
        while summaries := self._store.store.list_keys(ARCHIVE_PREFIX, start_after):
            for summary in summaries:
                block = self._store.read(summary.key, ArchiveBlock)
                changes += block.body.changes if block else ()
            start_after = summaries[-1].key
        return [change for change in changes if change.revision >= first_revision]

    def commit(self, edit: SettingsEdit) -> CommitResult:
        """Accept a change, exactly once also if the answer to a write is lost.

        The version condition lets at most one of the attempts on one version take effect, and the
        change id shows in the next head whether one did.

        :raises SettingsError: the change is invalid or, with code ``SETTINGS_CONFLICT``, too late.
        :raises StoreUnavailableError: the change was not accepted and will not be.
        :raises WriteOutcomeUnknownError: it may have been; resend it with the same change id.
        """
        if not edit.change_id:
            edit = replace(edit, change_id=secrets.token_hex(8))
        end_ms = self._clock.monotonic_ms() + COMMIT_TIMEOUT_MS
        attempt = _EditCommitter(self._store, self._clock, edit)
        while True:
            try:
                return attempt.run()
            except (WriteConflictError, WriteOutcomeUnknownError, StoreUnavailableError) as error:
                is_over = self._clock.monotonic_ms() >= end_ms
                if is_over and attempt.is_pending:
                    raise WriteOutcomeUnknownError(f"change {edit.change_id}") from error
                if is_over or (isinstance(error, StoreUnavailableError) and not attempt.is_pending):
                    raise
            self._clock.sleep_ms(1 + secrets.randbelow(MAX_RETRY_DELAY_MS))


class _EditCommitter:
    """Tries one change until it is known to be in the history or refused."""

    __slots__ = ("_clock", "_edit", "_first_revision", "_pending_version", "_store")

    def __init__(self, store: MarkedStore, clock: Clock, edit: SettingsEdit) -> None:
        self._store = store
        self._clock = clock
        self._edit = edit
        self._pending_version: int | None = None
        self._first_revision: int | None = None

    @property
    def is_pending(self) -> bool:
        """Whether an earlier write may have taken effect or still may."""
        return self._pending_version is not None

    def run(self) -> CommitResult:
        current = self._store.read(HEAD_KEY, SettingsHead)
        version = current.version if current else 0
        head = current.body if current else SettingsHead()
        found = self._find_committed_change(head)
        if found is not None:
            return CommitResult(found, head)
        if self._pending_version != version:
            self._pending_version = None
        if self._edit.expected_revision not in (None, head.revision):
            raise SettingsError(
                f"the revision in force is {head.revision}, not {self._edit.expected_revision}",
                code=ResultCode.SETTINGS_CONFLICT,
            )
        updated = apply_edit(head, self._edit, self._clock.wall_ms())
        return self._write(current, self._archive_oldest_block(updated))

    def _write(
        self, current: MarkedObject[SettingsHead] | None, updated: SettingsHead
    ) -> CommitResult:
        self._first_revision = self._first_revision or updated.revision
        try:
            if current is None:
                self._store.create(HEAD_KEY, updated)
            else:
                self._store.replace(current, updated)
        except WriteOutcomeUnknownError:
            self._pending_version = current.version if current else 0
            raise
        return CommitResult(updated.recent[-1], updated)

    def _find_committed_change(self, head: SettingsHead) -> SettingsChange | None:
        """Return the change if an earlier attempt, or an earlier send of it, took effect."""
        changes = list(head.recent)
        if self.is_pending and changes and changes[0].revision > self._first_revision:
            archive = SettingsStore(self._store, self._clock).read_archive(self._first_revision)
            changes = archive + changes
        return next((c for c in changes if c.change_id == self._edit.change_id), None)

    def _archive_oldest_block(self, head: SettingsHead) -> SettingsHead:
        """Drop the oldest block from the head once it is archived.

        A block that cannot be archived stays in the head; the change is not refused for it.
        """
        if len(head.recent) < RECENT_CHANGES + ARCHIVE_BLOCK_CHANGES:
            return head
        block = ArchiveBlock(head.recent[:ARCHIVE_BLOCK_CHANGES])
        key = archive_key(block.changes[0].revision)
        try:
            self._store.create(key, block)
        except (WriteConflictError, WriteOutcomeUnknownError):
            if not self._is_archived(key, block):
                return head
        except StoreError:
            return head
        return replace(head, recent=head.recent[ARCHIVE_BLOCK_CHANGES:])

    def _is_archived(self, key: str, block: ArchiveBlock) -> bool:
        try:
            stored = self._store.read(key, ArchiveBlock)
        except StoreError:
            return False
        return stored is not None and stored.body == block


def archive_key(first_revision: int) -> str:
    """Return the key of the block that begins with ``first_revision``."""
    return f"{ARCHIVE_PREFIX}{first_revision:010d}"


def encode_head(head: SettingsHead) -> bytes:
    """Return the head as it is relayed between processes."""
    return encode(head)
