"""Uploaded files in the object store."""

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

MAX_PART_BYTES = 900_000
MAX_DUPLICATES = 10_000  # keeps the file record far below the store's limit of 1 MB
ID_DIGEST_CHARS = 24
BATCH_PURPOSE = "batch"


class BatchItem(Struct, frozen=True):
    """One line of a batch file."""

    custom_id: str
    url: str
    body: dict[str, object]
    method: str = "POST"


class _CustomId(Struct):
    custom_id: str


_CUSTOM_ID_DECODER = Decoder(_CustomId)


class JobFiles:
    """Reads and writes files.

    :param store: the object store with marked writes.
    """

    def __init__(self, store: MarkedStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def save(self, caller: str, purpose: str, filename: str, data: bytes) -> FileRecord:
        """Keep a file; the same content of the same caller has the same id.

        :raises RequestError: if it has no lines, a line is too long, or very many lines share
            their custom_id.
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
        """Return a caller's file.

        :raises RequestError: if the caller has no such file.
        """
        found = self._store.read(file_key(file_id), FileRecord)
        if found is None or found.body.caller != caller:
            raise RequestError(f"file {file_id}", code=ResultCode.NOT_FOUND)
        return found.body

    def read_lines(self, record: FileRecord, items: range) -> Iterator[bytes]:
        """Yield the lines with the given numbers."""
        first = 0
        for number, count in enumerate(record.part_lines):
            wanted = range(max(items.start, first), min(items.stop, first + count))
            if wanted:
                lines = self._read_part(record.file_id, number).split(b"\n")
                yield from (lines[item - first] for item in wanted)
            first += count

    def _put_if_absent(self, key: str, value: bytes) -> None:
        """Write a value that depends only on its key."""
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
    """Create a record, or return the one that is there.

    :raises StoreError: if the record is neither known to be written nor readable.
    """
    try:
        return store.create(key, record).body
    except WriteConflictError:
        found = store.read(key, type(record))
        if found is None:
            raise
        return found.body


def parse_item(line: bytes) -> BatchItem:
    """Return the item in a line.

    :raises RequestError: if the line is malformed.
    """
    try:
        return decode(line, type=BatchItem)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise RequestError(str(error)) from error


def find_duplicate_lines(lines: list[bytes]) -> tuple[int, ...]:
    """Return the numbers of the lines whose custom_id an earlier line has.

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
        raise RequestError(f"{len(duplicates)} lines repeat a custom_id")
    return tuple(duplicates)


def _split_lines(lines: list[bytes]) -> list[bytes]:
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
