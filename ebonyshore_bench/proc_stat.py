"""Reads processor time and memory of a process from ``/proc``."""

import os
from pathlib import Path

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S

_TICK_MS = MS_PER_S / os.sysconf("SC_CLK_TCK")
_KB = 1024
_USER_TICKS_FIELD = 11  # index among the fields after the process name
_SYSTEM_TICKS_FIELD = 12


class ProcessUse(Struct, frozen=True):
    """Processor time and memory of one process.

    :param cpu_ms: processor time since its start, with the resolution of a clock tick (10 ms).
    :param resident_bytes: resident memory, shared pages included.
    :param private_bytes: memory that no other process shares.
    """

    cpu_ms: float
    resident_bytes: int
    private_bytes: int


def read_use(pid: int | str) -> ProcessUse:
    """Read the processor time and memory of a process.

    :param pid: process id, or ``self``.
    :raises OSError: if the process has ended.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    sizes = _read_memory_kb(pid)
    private = sizes["Private_Clean"] + sizes["Private_Dirty"]
    return ProcessUse(ticks * _TICK_MS, sizes["Rss"] * _KB, private * _KB)


def _read_memory_kb(pid: int | str) -> dict[str, int]:
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii").splitlines()[1:]
    return {line.split(":")[0]: int(line.split()[1]) for line in lines}
