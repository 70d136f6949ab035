"""Batch jobs in the store: one record a job, its bodies if they are large, and result segments.

A segment is created and never changed, and its number follows the one before, so two runners that
both believe to own a job cannot list one position twice. Calls block; they run on threads.
"""

from collections.abc import Sequence
from hashlib import blake2b

from msgspec import structs

from ebonyshore.frame.errors import StoreUnavailableError, WriteConflictError
from ebonyshore.host.job_types import BodyPart, JobRecord, ResultSegment
from ebonyshore.store.marked_write import MarkedObject, MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION, StoredObject

JOBS_KIND = "jobs"
PARTS_KIND = "jobbodies"
SEGMENTS_KIND = "jobresults"
MAX_INLINE_BODY_BYTES = 64_000  # every runner hears the record; larger bodies are read when needed
MAX_PART_BYTES = 600_000
MAX_PLAIN_ID_LENGTH = 64


def job_object_name(job_id: str) -> str:
    """Return the object name of a job; ids that no name can hold are hashed."""
    is_plain = job_id.isascii() and job_id.replace("-", "").isalnum()
    if is_plain and len(job_id) <= MAX_PLAIN_ID_LENGTH:
        return job_id
    return "x" + blake2b(job_id.encode(), digest_size=16).hexdigest()


class JobStorage:
    """Reads and writes jobs.

    :param store: with marked writes.
    """

    __slots__ = ("_store",)

    def __init__(self, store: MarkedStore) -> None:
        self._store = store

    def create(self, record: JobRecord) -> MarkedObject[JobRecord]:
        """Store a new job, or return it as it stands if it was stored before.

        :raises StoreUnavailableError: if nothing was stored.
        :raises WriteOutcomeUnknownError: if it may have been stored.
        """
        if sum(len(item.body) for item in record.items) > MAX_INLINE_BODY_BYTES:
            record = self._store_bodies(record)
        key = f"{JOBS_KIND}/{job_object_name(record.job_id)}"
        try:
            return self._store.create(key, record)
        except WriteConflictError:
            known = self._store.read(key, JobRecord)
            if known is None:
                raise
            return known

    def read(self, job_id: str) -> MarkedObject[JobRecord] | None:
        """Return a job, or ``None`` if there is none."""
        return self._store.read(f"{JOBS_KIND}/{job_object_name(job_id)}", JobRecord)

    def decode(self, found: StoredObject) -> MarkedObject[JobRecord]:
        """Return the job in an object that a watch has found."""
        return self._store.decode(found.key, found.version, found.value, JobRecord)

    def claim(
        self, known: MarkedObject[JobRecord], owner: str, incarnation: str
    ) -> MarkedObject[JobRecord]:
        """Make an instance the owner of a job; an empty name frees it.

        :raises WriteConflictError: if the record has changed.
        """
        body = structs.replace(
            known.body,
            owner=owner,
            owner_incarnation=incarnation,
            epoch=known.body.epoch + 1,
        )
        return self._store.replace(known, body)

    def cancel(self, job_id: str) -> MarkedObject[JobRecord] | None:
        """End a job; return its record, or ``None`` if there is no such job."""

        def change(record: JobRecord | None) -> JobRecord | None:
            if record is None or record.is_cancelled:
                return None
            return structs.replace(record, is_cancelled=True)

        return self._store.update(f"{JOBS_KIND}/{job_object_name(job_id)}", JobRecord, change)

    def read_bodies(self, record: JobRecord) -> dict[int, bytes]:
        """Return the bodies that are stored apart, by the item's index.

        :raises StoreUnavailableError: if the store does not have all of them, as a removed job's.
        """
        found: dict[int, bytes] = {}
        for number in range(record.body_parts):
            key = _part_key(record.job_id, number)
            part = self._store.read(key, BodyPart)
            if part is None:
                raise StoreUnavailableError(f"{key} is missing")
            found.update(part.body.bodies)
        return found

    def read_segments(self, job_id: str, first: int) -> list[ResultSegment]:
        """Return the segments from a number on."""
        found: list[ResultSegment] = []
        while True:
            key = _segment_key(job_id, first + len(found))
            segment = self._store.read(key, ResultSegment)
            if segment is None:
                return found
            found.append(segment.body)

    def append_segment(self, job_id: str, number: int, segment: ResultSegment) -> None:
        """Store the next segment.

        :raises WriteConflictError: if another one has this number.
        """
        self._store.create(_segment_key(job_id, number), segment)

    def delete(self, record: JobRecord) -> None:
        """Remove a job with all that belongs to it, its record last."""
        number = 0
        while self._delete_key(_segment_key(record.job_id, number)):
            number += 1
        for number in range(record.body_parts):
            self._delete_key(_part_key(record.job_id, number))
        self._delete_key(f"{JOBS_KIND}/{job_object_name(record.job_id)}")

    def _delete_key(self, key: str) -> bool:
        """Remove an object; return whether there was one."""
        found = self._store.store.get(key)
        if found is None:
            return False
        self._store.store.delete(key, found.version)
        return True

    def _store_bodies(self, record: JobRecord) -> JobRecord:
        """Store the bodies apart and return the record without them."""
        parts = _split(record)
        for number, part in enumerate(parts):
            key = _part_key(record.job_id, number)
            try:
                self._store.replace(MarkedObject(key, ABSENT_VERSION, 0, (), part), part)
            except WriteConflictError:
                continue  # stored by an earlier send of the same job
        items = tuple(structs.replace(item, body=b"") for item in record.items)
        return structs.replace(record, items=items, body_parts=len(parts))


def _split(record: JobRecord) -> Sequence[BodyPart]:
    parts: list[list[tuple[int, bytes]]] = [[]]
    size = 0
    for index, item in enumerate(record.items):
        size += len(item.body)
        if parts[-1] and size > MAX_PART_BYTES:
            parts.append([])
            size = len(item.body)
        parts[-1].append((index, item.body))
    return [BodyPart(tuple(part)) for part in parts]


def _part_key(job_id: str, number: int) -> str:
    return f"{PARTS_KIND}/{job_object_name(job_id)}.{number}"


def _segment_key(job_id: str, number: int) -> str:
    return f"{SEGMENTS_KIND}/{job_object_name(job_id)}.{number}"
