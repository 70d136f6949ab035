"""Reads the list of tests that fail because of known, unfixed faults."""

from pathlib import Path

from msgspec import Struct

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")


class KnownFailure(Struct, frozen=True):
    """An entry of the list.

    :param test: id of the test, as pytest prints it.
    :param command: command that shows the failure, with its seed if there is one.
    :param seen: what was seen.
    :param issue: number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_failures(path: Path = LIST_PATH) -> dict[str, KnownFailure]:
    """Return the entries by test id; none if the file does not exist.

    An entry is a block of ``field: value`` lines; blocks are separated by empty lines.

    :raises ValueError: if an entry is incomplete or has other lines.
    """
    if not path.exists():
        return {}
    entries = [_parse_entry(block) for block in path.read_text().strip().split("\n\n")]
    return {entry.test: entry for entry in entries}


def _parse_entry(block: str) -> KnownFailure:
    pairs = [line.partition(": ") for line in block.splitlines()]
    fields = {name: value.strip() for name, _, value in pairs}
    if tuple(fields) != FIELDS or not all(fields.values()):
        raise ValueError(f"an entry needs the lines {', '.join(FIELDS)}:\n{block}")
    return KnownFailure(**fields)
