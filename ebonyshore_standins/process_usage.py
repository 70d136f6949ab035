"""What the kernel says of the memory and the descriptors of a process."""

from pathlib import Path

BYTES_PER_KIB = 1_024
BYTES_PER_MB = 1_000_000
PEAK_FIELD = "VmHWM:"
CONNECTION_KINDS = ("socket:", "pipe:")


def peak_resident_mb(pid: int) -> float:
    """Return the most memory that a process has used since its start.

    :raises OSError: if there is no such process.
    """
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith(PEAK_FIELD):
            return int(line.split()[1]) * BYTES_PER_KIB / BYTES_PER_MB
    raise OSError(f"process {pid} has ended")


def count_descriptors(pid: int) -> int:
    """Return how many sockets, pipes and files of a temporary folder a process has open.

    :raises OSError: if there is no such process.
    """
    count = 0
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            opened = str(link.readlink())
        except FileNotFoundError:
            continue  # closed meanwhile
        count += opened.startswith(CONNECTION_KINDS) or opened.endswith("(deleted)")
    return count
