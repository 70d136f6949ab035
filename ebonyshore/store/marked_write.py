"""Conditional writes whose outcome can be determined after a lost response.

Every object is stored in an envelope with marks: the random ids of its last writes. If the response
to a write is lost, the same conditional write is repeated. The version condition allows at most one
of the copies to take effect, even if the first one is still in transit. If the repeated write
conflicts, the object has been changed since, and the marks show whether by this write.
"""

import secrets
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Raw, Struct
from msgspec.json import Decoder, encode

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.frame.errors import (
    StoreUnavailableError,
    UnreadableObjectError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.platform_api import ABSENT_VERSION, ObjectStore

MAX_MARKS = 32  # number of writes whose marks an object keeps
MARK_BYTES = 8
SETTLE_RETRY_INTERVAL_MS = 50
SETTLE_TIMEOUT_MS = 5_000

BodyT = TypeVar("BodyT", bound=Struct)


class Envelope(Struct):
    """The stored form of a record.

    :param sequence: number of writes to the object so far.
    :param marks: marks of the last :data:`MAX_MARKS` writes, newest last.
    :param body: the record, as JSON.
    """

    sequence: int
    marks: list[str]
    body: Raw


class MarkedObject(Struct, Generic[BodyT], frozen=True):
    """A record as read or written, and the data that its next conditional write needs.

    :param key: key of the object.
    :param version: version of the object in the store; 0 if it does not exist yet.
    :param sequence: number of writes to the object so far.
    :param marks: marks of the last writes, newest last.
    :param body: the record.
    """

    key: str
    version: int
    sequence: int
    marks: tuple[str, ...]
    body: BodyT


class MarkedStore:
    """Reads and writes records with marks.

    :param store: the platform's object store.
    :param clock: used to pause between attempts.
    :param settle_timeout_ms: how long to try to determine the outcome of a write whose response was
        lost.
    """

    __slots__ = ("_clock", "_decoder", "_settle_timeout_ms", "store")

    def __init__(
        self, store: ObjectStore, clock: Clock, settle_timeout_ms: float = SETTLE_TIMEOUT_MS
    ) -> None:
        self.store = store
        self._clock = clock
        self._settle_timeout_ms = settle_timeout_ms
        self._decoder = Decoder(Envelope)

    def read(self, key: str, record_type: type[BodyT]) -> MarkedObject[BodyT] | None:
        """Return the record, or ``None`` if the object does not exist.

        :param record_type: struct type of the record.
        :raises StoreUnavailableError: if the store cannot be read.
        :raises UnreadableObjectError: if the object does not hold such a record.
        """
        stored = self.store.get(key)
        if stored is None or stored.value is None:
            return None
        return self.decode(key, stored.version, stored.value, record_type)

    def decode(
        self, key: str, version: int, value: bytes, record_type: type[BodyT]
    ) -> MarkedObject[BodyT]:
        """Return the record of an object that was read in another way, for example by a watch.

        :param version: version of the object in the store.
        :param value: value of the object.
        :param record_type: struct type of the record.
        :raises UnreadableObjectError: if the value does not hold such a record.
        """
        try:
            envelope = self._decoder.decode(value)
            body = Decoder(record_type).decode(envelope.body)
        except DECODING_ERRORS as error:
            raise UnreadableObjectError(f"{key}: {error}") from error
        return MarkedObject(key, version, envelope.sequence, tuple(envelope.marks), body)

    def create(self, key: str, body: BodyT) -> MarkedObject[BodyT]:
        """Write a record that must not exist yet; raises the same errors as :meth:`replace`."""
        return self.replace(MarkedObject(key, ABSENT_VERSION, 0, (), body), body)

    def replace(self, previous: MarkedObject[BodyT], body: BodyT) -> MarkedObject[BodyT]:
        """Replace the record if the object still has the version of ``previous``.

        :param previous: the record as last read or written.
        :param body: the new record.
        :return: the record as written.
        :raises WriteConflictError: if the object has another version; the write has not taken
            effect and never will.
        :raises StoreUnavailableError: if the store did not accept the call; the write has not taken
            effect.
        :raises WriteRefusedError: if the store refuses the write for good, as for its size.
        :raises WriteOutcomeUnknownError: if the write may have taken effect or may still do so.
        """
        mark = secrets.token_hex(MARK_BYTES)
        marks = (*previous.marks, mark)[-MAX_MARKS:]
        sequence = previous.sequence + 1
        value = encode(Envelope(sequence, list(marks), Raw(encode(body))))
        try:
            version = self.store.put(previous.key, value, previous.version)
        except WriteOutcomeUnknownError:
            version = self._settle_outcome(previous, value, mark)
        return MarkedObject(previous.key, version, sequence, marks, body)

    def update(
        self,
        key: str,
        record_type: type[BodyT],
        change: Callable[[BodyT | None], BodyT | None],
        attempts: int = 10,
    ) -> MarkedObject[BodyT] | None:
        """Read, change and write a record; repeat that if another process writes in between.

        :param record_type: struct type of the record.
        :param change: called with the record, or ``None`` if it does not exist; returns the new
            record, or ``None`` to leave the record unchanged.
        :param attempts: maximum number of attempts.
        :return: the record after the call, or ``None`` if it does not exist.
        :raises WriteConflictError: if every attempt conflicted with another write.
        :raises StoreUnavailableError: if the store cannot be read, or as for :meth:`replace`.
        :raises UnreadableObjectError: as for :meth:`read`.
        :raises WriteOutcomeUnknownError: as for :meth:`replace`.
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
        raise WriteConflictError(f"{key}: {attempts} attempts conflicted with other writes")

    def _settle_outcome(self, previous: MarkedObject[BodyT], value: bytes, mark: str) -> int:
        """Repeat a write whose response was lost until its outcome is known.

        :return: the version to use for the next write.
        :raises WriteConflictError: if the write has not taken effect.
        :raises WriteOutcomeUnknownError: if the outcome cannot be determined, or not in time.
        """
        end_ms = self._clock.monotonic_ms() + self._settle_timeout_ms
        while self._clock.monotonic_ms() < end_ms:
            self._clock.sleep_ms(SETTLE_RETRY_INTERVAL_MS)
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
        """Look for the mark of a write whose repetition has conflicted.

        :return: the version to use for the next write, or ``None`` if the store is unavailable.
        :raises WriteConflictError: if the write has not taken effect.
        :raises WriteOutcomeUnknownError: if the object was deleted, cannot be read, or was written
            so often that the mark may have been dropped.
        """
        try:
            stored = self.store.get(previous.key)
        except StoreUnavailableError:
            return None
        if stored is None or stored.value is None:
            raise WriteOutcomeUnknownError(f"{previous.key}: object was deleted")
        try:
            envelope = self._decoder.decode(stored.value)
        except DECODING_ERRORS as error:
            raise WriteOutcomeUnknownError(f"{previous.key}: {error}") from error
        if mark in envelope.marks:
            # If the record was overwritten since, the old version is returned, so that the next
            # write conflicts instead of undoing the other one.
            return stored.version if mark == envelope.marks[-1] else previous.version
        if envelope.sequence - previous.sequence > MAX_MARKS:
            raise WriteOutcomeUnknownError(f"{previous.key}: more than {MAX_MARKS} writes since")
        raise WriteConflictError(previous.key)
