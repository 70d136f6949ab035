"""Conditional updates whose outcome can be settled after a lost answer.

Every object is an envelope with the random marks of its last writes. When the answer of a write is
lost, the same conditional write is repeated: the version condition lets at most one of the copies
take effect, also when the first one is still on its way. If it conflicts, the object has moved on,
and the marks tell whether the write was among those that moved it.
"""

import secrets
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Raw, Struct
from msgspec.json import Decoder, encode

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.platform_api import ABSENT_VERSION, ObjectStore

KEPT_MARKS = 32
MARK_BYTES = 8
SETTLE_PAUSE_MS = 50
SETTLE_TIMEOUT_MS = 5_000

BodyT = TypeVar("BodyT", bound=Struct)


class Envelope(Struct):
    """What is stored.

    :param sequence: number of writes of the object so far.
    :param marks: marks of the last :data:`KEPT_MARKS` writes, newest last.
    :param body: the record, as JSON.
    """

    sequence: int
    marks: list[str]
    body: Raw


class MarkedObject(Struct, Generic[BodyT], frozen=True):
    """A record as read or written, with what its next conditional write needs.

    :param key: the object's key.
    :param version: the store's version; 0 if the object does not exist yet.
    """

    key: str
    version: int
    sequence: int
    marks: tuple[str, ...]
    body: BodyT


class MarkedStore:
    """Reads and writes marked records.

    :param store: the platform's object store.
    :param clock: used to pause between tries.
    :param settle_timeout_ms: how long a write of unknown outcome is tried to be settled.
    """

    __slots__ = ("_clock", "_decoder", "_settle_bound_ms", "store")

    def __init__(
        self, store: ObjectStore, clock: Clock, settle_timeout_ms: float = SETTLE_TIMEOUT_MS
    ) -> None:
        self.store = store
        self._clock = clock
        self._settle_bound_ms = settle_timeout_ms
        self._decoder = Decoder(Envelope)

    def read(self, key: str, record_type: type[BodyT]) -> MarkedObject[BodyT] | None:
        """Return the record, or ``None`` if there is none."""
        stored = self.store.get(key)
        if stored is None or stored.value is None:
            return None
        return self.decode(key, stored.version, stored.value, record_type)

    def decode(
        self, key: str, version: int, value: bytes, record_type: type[BodyT]
    ) -> MarkedObject[BodyT]:
        """Return the record of an object read elsewhere, for example by a watch."""
        envelope = self._decoder.decode(value)
        body = Decoder(record_type).decode(envelope.body)
        return MarkedObject(key, version, envelope.sequence, tuple(envelope.marks), body)

    def create(self, key: str, body: BodyT) -> MarkedObject[BodyT]:
        """Write a record that must not exist yet; errors as for :meth:`replace`."""
        return self.replace(MarkedObject(key, ABSENT_VERSION, 0, (), body), body)

    def replace(self, previous: MarkedObject[BodyT], body: BodyT) -> MarkedObject[BodyT]:
        """Write ``body`` over the version ``previous``.

        :raises WriteConflictError: it did not take effect and never will.
        :raises StoreUnavailableError: the store took no call; it did not take effect.
        :raises WriteOutcomeUnknownError: it may have taken effect, or may still.
        """
        mark = secrets.token_hex(MARK_BYTES)
        marks = (*previous.marks, mark)[-KEPT_MARKS:]
        sequence = previous.sequence + 1
        value = encode(Envelope(sequence, list(marks), Raw(encode(body))))
        try:
            version = self.store.put(previous.key, value, previous.version)
        except WriteOutcomeUnknownError:
            version = self._settle(previous, value, mark)
        return MarkedObject(previous.key, version, sequence, marks, body)

    def update(
        self,
        key: str,
        record_type: type[BodyT],
        change: Callable[[BodyT | None], BodyT | None],
        attempts: int = 10,
    ) -> MarkedObject[BodyT] | None:
        """Read, change and write a record until no other writer comes between.

        :param change: gets the record or ``None``; returns the new one, or ``None`` to leave it.
        :return: the record as it stands after the call.
        :raises WriteConflictError: if every attempt lost against another writer.
        """
        for attempt in range(attempts):
            current = self.read(key, record_type)
            body = change(current.body if current else None)
            if body is None:
                return current
            try:
                if current is None:
                    return self.create(key, body)
                return self.replace(current, body)
            except WriteConflictError:
                self._clock.sleep_ms(secrets.randbelow(5 * (attempt + 1) + 1))
        raise WriteConflictError(f"{key}: {attempts} attempts lost against other writers")

    def _settle(self, previous: MarkedObject[BodyT], value: bytes, mark: str) -> int:
        end_ms = self._clock.monotonic_ms() + self._settle_bound_ms
        while self._clock.monotonic_ms() < end_ms:
            self._clock.sleep_ms(SETTLE_PAUSE_MS)
            try:
                return self.store.put(previous.key, value, previous.version)
            except WriteConflictError:
                version = self._find_mark(previous, mark)
                if version is not None:
                    return version
            except (StoreUnavailableError, WriteOutcomeUnknownError):
                continue
        raise WriteOutcomeUnknownError(previous.key)

    def _find_mark(self, previous: MarkedObject[BodyT], mark: str) -> int | None:
        """Return the version to base the next write on, or ``None`` if the store did not answer.

        :raises WriteConflictError: the write did not take effect.
        :raises WriteOutcomeUnknownError: too many writes since; the mark may have been dropped.
        """
        try:
            stored = self.store.get(previous.key)
        except StoreUnavailableError:
            return None
        if stored is None or stored.value is None:
            raise WriteOutcomeUnknownError(f"{previous.key} was deleted")
        envelope = self._decoder.decode(stored.value)
        if mark in envelope.marks:
            # An overwritten record keeps its old version, so that a write based on it conflicts.
            return stored.version if mark == envelope.marks[-1] else previous.version
        if envelope.sequence - previous.sequence > KEPT_MARKS:
            raise WriteOutcomeUnknownError(f"{previous.key} was written too often since")
        raise WriteConflictError(previous.key)
