"""Uploaded files in the object store, stored as one record and several parts."""

from collections.abc import Iterator

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, decode

from ebonyshore.batch.jobs import FileRecord, file_key, file_part_key
from ebonyshore.entry.openai_api import compute_digest
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import RequestError, StoreError, WriteConflictError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore.store.platform_api import ABSENT_VERSION

MAX_PART_BYTES = 900_000  # keeps a part below the store's limit of 1 MB
MAX_DUPLICATES = 10_000  # keeps the file record far below the store's limit of 1 MB
ID_DIGEST_CHARS = 24
BATCH_PURPOSE = "batch"


class BatchItem(Struct, frozen=True):
    """One line of a batch file: a request to the model."""

    custom_id: str
    url: str
    body: dict[str, object]
    method: str = "POST"


class _CustomId(Struct):
    """The only field that is decoded to find duplicates."""

    custom_id: str


_CUSTOM_ID_DECODER = Decoder(_CustomId)


class JobFiles:
    """Reads and writes uploaded files.

    :param store: the object store with marked writes.
    :param clock: gives the creation times of files.
    """

    def __init__(self, store: MarkedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def save(self, caller: str, purpose: str, filename: str, data: bytes) -> FileRecord:
        """Store a file. A caller's files with the same content have the same id.

        Blank lines are dropped.

        :param purpose: lines of files for :data:`BATCH_PURPOSE` are checked for duplicates.
        :raises RequestError: if the file has no lines, a line has :data:`MAX_PART_BYTES` or more,
            or more than :data:`MAX_DUPLICATES` lines repeat a custom_id.
        :raises StoreError: if the store fails.
        """
        file_id = "file-" + compute_digest(caller.encode(), data)[:ID_DIGEST_CHARS]
        lines = [line for line in data.split(b"\n") if line.strip()]
        parts = _split_lines(lines)
        record = FileRecord(
            file_id,
            caller,
            purpose,
            filename,
            len(data),
            tuple(part.count(b"\n") for part in parts),
            self._clock.wall_ms(),
            find_duplicate_lines(lines) if purpose == BATCH_PURPOSE else (),
        )
        for number, part in enumerate(parts):
            self._put_if_absent(file_part_key(file_id, number), part)
        return create_or_read(self._store, file_key(file_id), record)

    def read(self, file_id: str, caller: str) -> FileRecord:
        """Return the record of a caller's file.

        :raises RequestError: if the caller has no file with this id.
        """
        found = self._store.read(file_key(file_id), FileRecord)
        if found is None or found.body.caller != caller:
            raise RequestError(f"file {file_id}", code=ResultCode.NOT_FOUND)
        return found.body

    def read_lines(self, record: FileRecord, items: range) -> Iterator[bytes]:
        """Yield the lines with the given numbers, without line ends.

        :param items: numbers of the lines, in the order of the file.
        :raises StoreError: if a part is missing.
        """
        first = 0
        for number, count in enumerate(record.part_lines):
            wanted = range(max(items.start, first), min(items.stop, first + count))
            if wanted:
                lines = self._read_part(record.file_id, number).split(b"\n")
                yield from (lines[item - first] for item in wanted)
            first += count

    def _put_if_absent(self, key: str, value: bytes) -> None:
        """Write an object, unless it exists; the key must determine the value."""
        if self._store.store.get(key) is not None:
            return
        try:
            self._store.store.put(key, value, ABSENT_VERSION)
        except WriteConflictError:
            return

    def _read_part(self, file_id: str, part: int) -> bytes:
        stored = self._store.store.get(file_part_key(file_id, part))
        if stored is None or stored.value is None:
            raise StoreError(f"part {part} of {file_id} is missing")
        return stored.value


def create_or_read(store: MarkedStore, key: str, record: Struct) -> Struct:
    """Create a record, or return the one that exists under the key.

    :raises StoreError: if the store fails; the record may have been written.
    """
    try:
        return store.create(key, record).body
    except WriteConflictError:
        found = store.read(key, type(record))
        if found is None:
            raise
        return found.body


def parse_item(line: bytes) -> BatchItem:
    """Parse a line of a batch file.

    :raises RequestError: if the line is not a valid item.
    """
    try:
        return decode(line, type=BatchItem)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error


def find_duplicate_lines(lines: list[bytes]) -> tuple[int, ...]:
    """Return the numbers of the lines that repeat the custom_id of an earlier line.

    Lines without a readable custom_id are ignored.

    :raises RequestError: if there are more than :data:`MAX_DUPLICATES`.
    """
    seen: set[str] = set()
    duplicates = []
    for number, line in enumerate(lines):
        try:
            custom_id = _CUSTOM_ID_DECODER.decode(line).custom_id
        except (DecodeError, ValidationError, UnicodeDecodeError):
            continue
        if custom_id in seen:
            duplicates.append(number)
        seen.add(custom_id)
    if len(duplicates) > MAX_DUPLICATES:
        raise RequestError(
            f"{len(duplicates)} lines repeat a custom_id; at most {MAX_DUPLICATES} are allowed"
        )
    return tuple(duplicates)


def _split_lines(lines: list[bytes]) -> list[bytes]:
    """Join lines to parts of at most :data:`MAX_PART_BYTES`.

    :raises RequestError: if there are no lines, or one is too long for a part.
    """
    if not lines:
        raise RequestError("the file has no lines")
    parts: list[list[bytes]] = [[]]
    size = 0
    for line in lines:
        if len(line) >= MAX_PART_BYTES:
            raise RequestError(
                f"a line has {len(line)} bytes; at most {MAX_PART_BYTES - 1} are allowed",
                code=ResultCode.REQUEST_TOO_LARGE,
            )
        if size + len(line) + 1 > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(line)
        size += len(line) + 1
    return [b"\n".join(part) + b"\n" for part in parts]
