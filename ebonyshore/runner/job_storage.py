"""Stores batch jobs: one record for each job, separate objects for large bodies, result segments.

Segments are numbered consecutively and never change after their creation. Two runners that both
consider themselves the owner of a job therefore cannot list two results at the same position. All
calls block, so they are made on threads.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

from msgspec import structs
from msgspec.json import Decoder, encode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.frame.encoded_size import json_size
from ebonyshore.frame.errors import (
    StoreUnavailableError,
    UnreadableObjectError,
    ValueTooLargeError,
    WriteConflictError,
)
from ebonyshore.host.job_types import BodyPart, JobRecord, ResultSegment
from ebonyshore.runner.saved_items import SavedItems
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION, StoredObject
from ebonyshore.store.value_limit import ValueLimit

JOBS_KIND = "jobs"
PARTS_KIND = "jobbodies"
SEGMENTS_KIND = "jobresults"
SAVED_ITEMS_KIND = "jobitems"
# Limit for all bodies of a job together. All runners watch the job records, so larger bodies are
# stored separately and read on demand.
MAX_INLINE_BODY_BYTES = 64_000
MAX_PART_BYTES = 600_000  # of bodies that share an object
BASE64_BYTES = 4  # for every three bytes of a body
ENTRY_BYTES = 16  # of a body in JSON, besides the Base64 of whole triples of its bytes
DEFAULT_LIMIT = ValueLimit()
MAX_UNHASHED_ID_LENGTH = 64  # characters

_SAVED_ITEMS_DECODER = Decoder(SavedItems)


def job_object_name(job_id: str) -> str:
    """Return the object name of a job.

    Ids that are too long or contain characters not allowed in object names are hashed.
    """
    is_plain = job_id.isascii() and job_id.replace("-", "").isalnum()
    if is_plain and len(job_id) <= MAX_UNHASHED_ID_LENGTH:
        return job_id
    return "x" + blake2b(job_id.encode(), digest_size=16).hexdigest()


class JobStorage:
    """Reads and writes batch jobs in the store. Calls block and may raise :class:`StoreError`.

    :param store: marks its writes, so that their outcome can be determined after a lost response.
    :param limit: how much fits into one object.
    """

    __slots__ = ("_limit", "_store")

    def __init__(self, store: MarkedStore, limit: ValueLimit = DEFAULT_LIMIT) -> None:
        self._store = store
        self._limit = limit

    def create(self, record: JobRecord) -> MarkedObject[JobRecord]:
        """Store a new job.

        :return: the stored job record; the existing one if the job was stored before.
        :raises ValueTooLargeError: if the job does not fit into an object, even without the bodies
            of its items; nothing was stored.
        :raises StoreUnavailableError: if nothing was stored.
        :raises WriteOutcomeUnknownError: if the job may have been stored.
        :raises WriteConflictError: if the job was stored before and has been removed since.
        """
        is_inline = sum(len(item.body) for item in record.items) <= MAX_INLINE_BODY_BYTES
        kept = record if is_inline else _without_bodies(record)
        size = json_size(kept)
        if size > self._limit.record_bytes and is_inline:
            is_inline, kept = False, _without_bodies(record)
            size = json_size(kept)
        if size > self._limit.record_bytes:
            raise ValueTooLargeError(f"job {record.job_id} of {size} bytes without its bodies")
        record = record if is_inline else self._store_bodies(record)
        key = f"{JOBS_KIND}/{job_object_name(record.job_id)}"
        try:
            return self._store.create(key, record)
        except WriteConflictError:
            known = self._store.read(key, JobRecord)
            if known is None:
                raise
            return known

    def read(self, job_id: str) -> MarkedObject[JobRecord] | None:
        """Return the record of a job, or ``None`` if there is no such job."""
        return self._store.read(f"{JOBS_KIND}/{job_object_name(job_id)}", JobRecord)

    def decode(self, found: StoredObject) -> MarkedObject[JobRecord]:
        """Decode the job record in an object that a watch has returned.

        :raises UnreadableObjectError: if the object is not a job record.
        """
        return self._store.decode(found.key, found.version, found.value, JobRecord)

    def claim(
        self, known: MarkedObject[JobRecord], owner: str, incarnation: str
    ) -> MarkedObject[JobRecord]:
        """Make an instance the owner of a job and start the next epoch.

        :param known: the job record as it was last read.
        :param owner: instance id of the new owner; empty to release the job.
        :param incarnation: incarnation of the new owner; empty to release the job.
        :return: the new job record.
        :raises WriteConflictError: if the record has changed since it was read.
        """
        body = structs.replace(
            known.body,
            owner=owner,
            owner_incarnation=incarnation,
            epoch=known.body.epoch + 1,
        )
        return self._store.replace(known, body)

    def cancel(
        self, job_id: str, may_cancel: Callable[[JobRecord], bool] | None = None
    ) -> MarkedObject[JobRecord] | None:
        """Cancel a job. Does nothing if it is cancelled already.

        :param may_cancel: returns whether the job may be cancelled; if it may not, nothing changes.
        :return: the job record, or ``None`` if there is no such job.
        """

        def set_cancelled(record: JobRecord | None) -> JobRecord | None:
            if record is None or record.is_cancelled:
                return None
            if may_cancel is not None and not may_cancel(record):
                return None
            return structs.replace(record, is_cancelled=True)

        return self._store.update(
            f"{JOBS_KIND}/{job_object_name(job_id)}", JobRecord, set_cancelled
        )

    def read_bodies(self, record: JobRecord) -> dict[int, bytes]:
        """Return the separately stored bodies of a job by item index; empty if there are none.

        :raises StoreUnavailableError: if the store does not hold all of them, for example because
            the job was removed.
        """
        found: dict[int, bytes] = {}
        for number in range(record.body_parts):
            key = _part_key(record, number)
            part = self._store.read(key, BodyPart)
            if part is None:
                raise StoreUnavailableError(f"bodies of job {record.job_id}: {key} is missing")
            for index, body in part.body.bodies:
                found[index] = found.get(index, b"") + body
        return found

    def read_segments(self, job_id: str, first: int) -> list[ResultSegment]:
        """Return all stored segments of a job from a number on.

        :param first: number of the first segment.
        """
        found: list[ResultSegment] = []
        while True:
            key = _segment_key(job_id, first + len(found))
            segment = self._store.read(key, ResultSegment)
            if segment is None:
                return found
            found.append(segment.body)

    def append_segment(self, job_id: str, number: int, segment: ResultSegment) -> None:
        """Store the next segment of a job.

        :param number: number of the segment, one higher than that of the last stored one.
        :raises WriteConflictError: if a segment with this number exists.
        """
        self._store.create(_segment_key(job_id, number), segment)

    def save_items(self, job_id: str, saved: SavedItems, version: int) -> int:
        """Store the unfinished items of a job in place of those stored before.

        The outcome of a write whose response was lost is not determined: any stored state is valid.

        :param version: version of the object as it was last written or read.
        :return: the new version.
        :raises WriteConflictError: if the object has another version.
        """
        return self._store.store.put(_saved_items_key(job_id), encode(saved), version)

    def saved_items_version(self, job_id: str) -> int:
        """Return the version of the stored unfinished items."""
        found = self._store.store.get(_saved_items_key(job_id))
        return ABSENT_VERSION if found is None else found.version

    def read_saved_items(self, job_id: str) -> SavedItems | None:
        """Return the stored unfinished items of a job, or ``None`` if there are none.

        :raises UnreadableObjectError: if the object does not hold them.
        """
        found = self._store.store.get(_saved_items_key(job_id))
        if found is None or found.value is None:
            return None
        try:
            return _SAVED_ITEMS_DECODER.decode(found.value)
        except DECODING_ERRORS as error:
            raise UnreadableObjectError(f"{found.key}: {error}") from error

    def delete(self, record: JobRecord) -> None:
        """Delete the segments, bodies and saved items of a job, and then its record."""
        self._delete_object(_saved_items_key(record.job_id))
        number = 0
        while self._delete_object(_segment_key(record.job_id, number)):
            number += 1
        for number in range(record.body_parts):
            self._delete_object(_part_key(record, number))
        self._delete_object(f"{JOBS_KIND}/{job_object_name(record.job_id)}")

    def _delete_object(self, key: str) -> bool:
        """Delete an object; return whether it existed."""
        found = self._store.store.get(key)
        if found is None:
            return False
        self._store.store.delete(key, found.version)
        return True

    def _store_bodies(self, record: JobRecord) -> JobRecord:
        """Store the bodies of a job separately and return the record without them."""
        parts = _split_bodies(record, self._limit)
        for number, part in enumerate(parts):
            key = _part_key(record, number)
            try:
                self._store.replace(MarkedObject(key, ABSENT_VERSION, 0, (), part), part)
            except WriteConflictError:
                continue  # stored by an earlier submission of the same job
        return structs.replace(_without_bodies(record), body_parts=len(parts))


def _without_bodies(record: JobRecord) -> JobRecord:
    items = tuple(structs.replace(item, body=b"") for item in record.items)
    return structs.replace(record, items=items)


def _split_bodies(record: JobRecord, limit: ValueLimit) -> Sequence[BodyPart]:
    """Divide the bodies of a job into parts; a body that exceeds an object is in several parts.

    Every runner divides them in the same way, as each one may store a part of a job.
    """
    # Base64 pads each body of a part to a multiple of three bytes.
    room_bytes = limit.record_bytes - ENTRY_BYTES * (len(record.items) + 1)
    piece_bytes = max(1, room_bytes // BASE64_BYTES) * 3
    part_bytes = min(MAX_PART_BYTES, piece_bytes)
    parts: list[list[tuple[int, bytes]]] = [[]]
    size = 0
    for index, item in enumerate(record.items):
        for first in range(0, max(1, len(item.body)), piece_bytes):
            piece = item.body[first : first + piece_bytes]
            size += len(piece)
            if parts[-1] and size > part_bytes:
                parts.append([])
                size = len(piece)
            parts[-1].append((index, piece))
    return [BodyPart(tuple(part)) for part in parts]


def _part_key(record: JobRecord, number: int) -> str:
    """Return the key of a part; two accounts that use one job id do not share parts."""
    name = job_object_name(record.job_id)
    if record.caller:
        name += "." + blake2b(record.caller.encode(), digest_size=8).hexdigest()
    return f"{PARTS_KIND}/{name}.{number}"


def _saved_items_key(job_id: str) -> str:
    return f"{SAVED_ITEMS_KIND}/{job_object_name(job_id)}"


def _segment_key(job_id: str, number: int) -> str:
    return f"{SEGMENTS_KIND}/{job_object_name(job_id)}.{number}"
