"""Storage of the settings tree and its changes in the object store.

One object, the head, holds the whole tree, so that each change is a single conditional update and
all changes have one order. The head also holds the most recent changes, each of which contains the
digest of its predecessor. Older changes are archived in blocks before the head drops them.
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
RECENT_CHANGES = 32  # the head keeps at least the last 32 changes
ARCHIVE_BLOCK_CHANGES = 16
COMMIT_TIMEOUT_MS = 15_000
MAX_RETRY_DELAY_MS = 20  # each delay is random, from 1 ms up to this

_ENCODER = Encoder(order="sorted")


class SettingsChange(Struct, frozen=True):
    """One accepted change.

    :param revision: revision that the change created.
    :param operator: name of the operator who made the change.
    :param wall_ms: wall clock time of the change, for people to read.
    :param path: level that was changed.
    :param values: new values; ``None`` for a setting that was unset.
    :param replaced: values before the change; ``None`` for a setting that was inherited.
    :param previous_digest: digest of the preceding change; empty for the first one.
    :param change_id: unique id, which tells a resent change from a new one with the same content.
    :param operation: ``set`` changes values, ``delete`` removes the whole level.
    :param digest: digest of all other fields.
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
    """A change requested by an operator.

    :param path: level to change; it is created if it does not exist.
    :param values: new values; ``None`` unsets a setting, an empty dict only creates the level.
    :param operator: name of the operator, for the history.
    :param expected_revision: if given, the change is refused unless this is the newest revision.
    :param change_id: must be the same for each resend of one change; random if empty.
    :param operation: ``set`` changes values, ``delete`` removes the whole level.
    """

    path: str
    values: dict[str, SettingValue | None] = {}
    operator: str = ""
    expected_revision: int | None = None
    change_id: str = ""
    operation: Literal["set", "delete"] = "set"


class SettingsHead(Struct, frozen=True):
    """The whole tree at one revision, with its most recent changes.

    :param revision: 0 before the first change.
    :param nodes: overridden values by the path of their level.
    :param digest: digest of the change that created this revision.
    :param recent: most recent changes, newest last.
    """

    revision: int = 0
    nodes: dict[str, dict[str, SettingValue]] = {}
    digest: str = ""
    recent: tuple[SettingsChange, ...] = ()

    def tree(self) -> SettingsTree:
        """Return the settings tree at this revision."""
        return SettingsTree(self.revision, self.nodes)


class ArchiveBlock(Struct, frozen=True):
    """:data:`ARCHIVE_BLOCK_CHANGES` consecutive changes; immutable once written."""

    changes: tuple[SettingsChange, ...]


class CommitResult(Struct, frozen=True):
    """The result of a successful commit.

    :param change: the accepted change, with the revision that it created.
    :param head: a head that includes the change and possibly later ones.
    """

    change: SettingsChange
    head: SettingsHead


def compute_change_digest(change: SettingsChange) -> str:
    """Return the SHA-256 in hexadecimal of all fields of ``change`` except its digest."""
    fields = {name: getattr(change, name) for name in change.__struct_fields__ if name != "digest"}
    return sha256(_ENCODER.encode(fields)).hexdigest()


def apply_edit(head: SettingsHead, edit: SettingsEdit, wall_ms: int) -> SettingsHead:
    """Validate an edit and return the head after it.

    The new head keeps all recent changes; archiving the oldest ones is left to the caller.

    :param wall_ms: wall clock time to record in the change.
    :raises SettingsError: if the effective values of any level would become invalid, or if the
        level to delete does not exist or is the root.
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
    """Return the nodes after a change, without validating the values.

    :param operation: ``set`` or ``delete``.
    :raises SettingsError: if the level to delete does not exist or is the root.
    """
    if operation == "delete":
        if path == ROOT_PATH or path not in nodes:
            raise SettingsError(f"{path}: no level that can be deleted", code=ResultCode.NOT_FOUND)
        return {other: node for other, node in nodes.items() if other != path}
    merged = {**nodes.get(path, {}), **values}
    return {**nodes, path: {name: value for name, value in merged.items() if value is not None}}


def apply_accepted_changes(head: SettingsHead, changes: tuple[SettingsChange, ...]) -> SettingsHead:
    """Return the head after changes that another process accepted.

    The new head keeps only the last :data:`RECENT_CHANGES` changes.

    :param changes: consecutive changes; those that the head already includes are skipped.
    :raises SettingsError: if the changes do not continue the digest chain of the head, or the
        content of a change does not match its digest.
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
    """Commits changes to the object store and reads them back.

    :param store: object store of the head and the archive.
    :param clock: clock for the time stamps of changes and for retries.
    """

    __slots__ = ("_clock", "_store")

    def __init__(self, store: MarkedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def read(self) -> SettingsHead:
        """Return the stored head, or an empty one before the first change.

        :raises StoreUnavailableError: if the object store cannot be read.
        :raises UnreadableObjectError: if the stored object is not a valid head.
        """
        current = self._store.read(HEAD_KEY, SettingsHead)
        return current.body if current else SettingsHead()

    def read_archive(self, first_revision: int = 1) -> list[SettingsChange]:
        """Return the archived changes from ``first_revision`` on, without verifying them.

        :raises StoreUnavailableError: if the object store cannot be read.
        :raises UnreadableObjectError: if a stored object is not a valid block.
        """
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
        """Commit a change exactly once, even if the response to a write is lost.

        Writes are conditional on the version of the head, so at most one of the attempts at one
        version takes effect. The change id in the next head tells whether one did.

        :raises SettingsError: the change is invalid or, with code ``SETTINGS_CONFLICT``, the
            expected revision is not the newest one.
        :raises WriteConflictError: concurrent changes prevented the commit until the timeout; the
            change was not accepted.
        :raises StoreUnavailableError: the change was not accepted and will not be.
        :raises WriteOutcomeUnknownError: the change may have been accepted or still may be; resend
            it with the same change id.
        """
        if not edit.change_id:
            edit = replace(edit, change_id=secrets.token_hex(8))
        deadline_ms = self._clock.monotonic_ms() + COMMIT_TIMEOUT_MS
        committer = _EditCommitter(self._store, self._clock, edit)
        while True:
            try:
                return committer.try_commit()
            except (WriteConflictError, WriteOutcomeUnknownError, StoreUnavailableError) as error:
                is_timed_out = self._clock.monotonic_ms() >= deadline_ms
                if is_timed_out and committer.is_outcome_unknown:
                    raise WriteOutcomeUnknownError(f"settings change {edit.change_id}") from error
                if is_timed_out or (
                    isinstance(error, StoreUnavailableError) and not committer.is_outcome_unknown
                ):
                    raise
            self._clock.sleep_ms(1 + secrets.randbelow(MAX_RETRY_DELAY_MS))


class _EditCommitter:
    """Commits one edit in one or more attempts.

    Remembers the write whose outcome is unknown, if any. The next attempt looks for the change in
    the head, and in the archive if many changes followed, before it writes again.
    """

    __slots__ = ("_clock", "_edit", "_first_attempted_revision", "_store", "_unknown_write_version")

    def __init__(self, store: MarkedStore, clock: Clock, edit: SettingsEdit) -> None:
        self._store = store
        self._clock = clock
        self._edit = edit
        self._unknown_write_version: int | None = None
        self._first_attempted_revision: int | None = None

    @property
    def is_outcome_unknown(self) -> bool:
        """Whether a previous write may have taken effect or may still do so."""
        return self._unknown_write_version is not None

    def try_commit(self) -> CommitResult:
        """Make one attempt, unless a previous one has committed the change.

        Raises the same errors as :meth:`SettingsStore.commit`, but does not retry.
        """
        current = self._store.read(HEAD_KEY, SettingsHead)
        version = current.version if current else 0
        head = current.body if current else SettingsHead()
        found = self._find_committed_change(head)
        if found is not None:
            return CommitResult(found, head)
        # The version has changed and the change is not in the history, so the write whose outcome
        # was unknown has not taken effect and can no longer do so.
        if self._unknown_write_version != version:
            self._unknown_write_version = None
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
        self._first_attempted_revision = self._first_attempted_revision or updated.revision
        try:
            if current is None:
                self._store.create(HEAD_KEY, updated)
            else:
                self._store.replace(current, updated)
        except WriteOutcomeUnknownError:
            self._unknown_write_version = current.version if current else 0
            raise
        return CommitResult(updated.recent[-1], updated)

    def _find_committed_change(self, head: SettingsHead) -> SettingsChange | None:
        """Return the change if a previous attempt or a previous send of the edit committed it."""
        changes = list(head.recent)
        if (
            self.is_outcome_unknown
            and changes
            and changes[0].revision > self._first_attempted_revision
        ):
            archive = SettingsStore(self._store, self._clock).read_archive(
                self._first_attempted_revision
            )
            changes = archive + changes
        return next((c for c in changes if c.change_id == self._edit.change_id), None)

    def _archive_oldest_block(self, head: SettingsHead) -> SettingsHead:
        """Archive the oldest block, if the head is long enough, and return the head without it.

        If the block cannot be archived it stays in the head; the commit does not fail.
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
    """Return the object key of the archive block whose first change is ``first_revision``."""
    return f"{ARCHIVE_PREFIX}{first_revision:010d}"


def encode_head(head: SettingsHead) -> bytes:
    """Return the head as JSON, the form in which processes send it to each other."""
    return encode(head)
