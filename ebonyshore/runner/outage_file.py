"""A file on the disk of the instance, with what a runner could not store while the store was down.

It outlives a stop of all processes. It is replaced as a whole, so that a process that ends
meanwhile leaves the former one.
"""

import os
from abc import ABC, abstractmethod
from pathlib import Path

from msgspec import Struct
from msgspec.json import decode, encode

from ebonyshore.frame.decoding import DECODING_ERRORS
from ebonyshore.frame.logs import EventLog
from ebonyshore.runner.conviction_store import ConvictionRecord
from ebonyshore.runner.origin_storage import OriginRecord

FILE_NAME = "store-outage.json"
PARTIAL_SUFFIX = ".partial"


class OutageRecord(Struct, frozen=True):
    """What a runner knows and the store may not have.

    :param origins: groups of targets, and recent streams of services with several versions.
    :param suspects: content that is suspected of crashing targets.
    :param convicted: content that is known to crash them.
    """

    origins: OriginRecord = OriginRecord()
    suspects: tuple[ConvictionRecord, ...] = ()
    convicted: tuple[ConvictionRecord, ...] = ()


class OutageStorage(ABC):
    """Keeps one record. Calls block; they do not fail, but may do nothing."""

    @abstractmethod
    def read(self) -> OutageRecord | None:
        """Return the record; ``None`` if there is none that can be read."""

    @abstractmethod
    def write(self, record: OutageRecord) -> None:
        """Replace the record."""

    @abstractmethod
    def delete(self) -> None:
        """Delete the record, if there is one."""


class NoDisk(OutageStorage):
    """For an instance without a disk: nothing is kept."""

    def read(self) -> OutageRecord | None:
        return None

    def write(self, record: OutageRecord) -> None:
        return

    def delete(self) -> None:
        return


class OutageFile(OutageStorage):
    """A file in a folder of the instance's disk. Errors of the disk are logged.

    :param folder: the folder, which is made if it is missing.
    """

    __slots__ = ("_folder", "_log", "_path")

    def __init__(self, folder: Path, log: EventLog) -> None:
        self._folder = folder
        self._path = folder / FILE_NAME
        self._log = log

    def read(self) -> OutageRecord | None:
        try:
            return decode(self._path.read_bytes(), type=OutageRecord)
        except FileNotFoundError:
            return None
        except (OSError, *DECODING_ERRORS) as error:
            self._log.event("outage_file_unreadable", error=str(error))
            return None

    def write(self, record: OutageRecord) -> None:
        partial = self._path.with_suffix(PARTIAL_SUFFIX)
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            with partial.open("wb") as file:
                file.write(encode(record))
                file.flush()
                os.fsync(file.fileno())
            partial.replace(self._path)
            self._sync_folder()
        except OSError as error:
            self._log.event("outage_file_not_written", error=str(error))

    def delete(self) -> None:
        try:
            self._path.unlink(missing_ok=True)
        except OSError as error:
            self._log.event("outage_file_not_deleted", error=str(error))

    def _sync_folder(self) -> None:
        """Make the new name of the file outlive a loss of power."""
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def make_outage_storage(folder: Path | None, log: EventLog) -> OutageStorage:
    """Return the storage of an instance.

    :param folder: folder on its disk; ``None`` if it has none.
    """
    return NoDisk() if folder is None else OutageFile(folder, log)
