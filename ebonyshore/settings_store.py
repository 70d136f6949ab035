"""Accepted changes of the settings tree in the object store.

One object holds the whole tree, so each change is one conditional update and changes are in one
order. It also holds the last changes, chained by digest; older ones are archived before they are
dropped from it.
"""

from hashlib import sha256

from msgspec import Struct
from msgspec.json import Encoder, encode

from ebonyshore.clock import Clock
from ebonyshore.errors import SettingsError, WriteConflictError
from ebonyshore.marked_write import MarkedStore
from ebonyshore.settings_tree import SettingsTree, SettingValue, find_tree_faults

HEAD_KEY = "settings/head"
KEPT_CHANGES = 32
COMMIT_ATTEMPTS = 20

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
    :param digest: digest of this change, without this field.
    """

    revision: int
    operator: str
    wall_ms: int
    path: str
    values: dict[str, SettingValue | None]
    replaced: dict[str, SettingValue | None]
    previous_digest: str
    digest: str = ""


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


def digest_of(change: SettingsChange) -> str:
    """Return the digest that ``change`` must carry."""
    fields = {name: getattr(change, name) for name in change.__struct_fields__ if name != "digest"}
    return sha256(_ENCODER.encode(fields)).hexdigest()


def apply_change(
    head: SettingsHead,
    path: str,
    values: dict[str, SettingValue | None],
    operator: str,
    wall_ms: int,
) -> SettingsHead:
    """Return the head after a change.

    :param values: ``None`` unsets a setting; an empty dict creates the level.
    :raises SettingsError: if any level's effective values would be invalid.
    """
    before = head.nodes.get(path, {})
    after = {**before, **{name: value for name, value in values.items() if value is not None}}
    for name in [name for name, value in values.items() if value is None]:
        after.pop(name, None)
    nodes = {**head.nodes, path: after}
    faults = find_tree_faults(nodes)
    if faults:
        raise SettingsError("\n".join(faults))
    replaced = {name: before.get(name) for name in values}
    change = SettingsChange(
        head.revision + 1, operator, wall_ms, path, values, replaced, head.digest
    )
    digest = digest_of(change)
    change = SettingsChange(**{**_fields(change), "digest": digest})
    return SettingsHead(head.revision + 1, nodes, digest, (*head.recent, change)[-KEPT_CHANGES:])


class SettingsStore:
    """Commits changes.

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

    def commit(
        self,
        path: str,
        values: dict[str, SettingValue | None],
        operator: str,
        expected_revision: int | None = None,
    ) -> SettingsHead:
        """Accept a change.

        :param expected_revision: refuse if another revision is in force.
        :raises SettingsError: the change is invalid or, with code ``SETTINGS_CONFLICT``, too late.
        """

        def change(head: SettingsHead | None) -> SettingsHead:
            current = head or SettingsHead()
            if expected_revision not in (None, current.revision):
                raise WriteConflictError(f"the revision in force is {current.revision}")
            return apply_change(current, path, values, operator, self._clock.wall_ms())

        updated = self._store.update(HEAD_KEY, SettingsHead, change, COMMIT_ATTEMPTS)
        return updated.body


def encode_head(head: SettingsHead) -> bytes:
    """Return the head as it is relayed between processes."""
    return encode(head)


def _fields(change: SettingsChange) -> dict[str, object]:
    return {name: getattr(change, name) for name in change.__struct_fields__}
