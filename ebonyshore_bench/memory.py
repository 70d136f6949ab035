"""Measures the memory of a Python interpreter that has imported a library or a process role."""

import subprocess
import sys

from msgspec import Struct

from ebonyshore_bench.proc_stat import read_use

IMPORTS = (
    "sys",
    "zmq",
    "msgspec",
    "hdrh.histogram",
    "eliot",
    "returns.result",
    "waitress",
    "werkzeug.wrappers, werkzeug.routing",
    "http.client",
    "typer",
    "zmq, msgspec, hdrh.histogram, eliot, returns.result, waitress, werkzeug.wrappers",
    "zmq, msgspec, hdrh.histogram, eliot, returns.result, waitress, http.client",
    "zmq, msgspec, hdrh.histogram, eliot, returns.result, waitress",
    "zmq, msgspec, hdrh.histogram, eliot, waitress",
    "zmq, msgspec, hdrh.histogram, waitress",
    "ebonyshore.agent.agent",
    "ebonyshore.entry.entry",
    "ebonyshore.commands.cli",
)
_SCRIPT = "import {modules}\nprint('ready', flush=True)\ninput()"


class ImportPoint(Struct, frozen=True):
    """Memory of an interpreter that has imported only the given modules.

    :param modules: names of the modules, separated by commas.
    :param resident_bytes: resident memory, shared pages included.
    :param private_bytes: memory that no other process shares.
    """

    modules: str
    resident_bytes: int
    private_bytes: int


def measure_imports() -> list[ImportPoint]:
    """Measure each item of :data:`IMPORTS` in its own process."""
    return [_measure(modules) for modules in IMPORTS]


def _measure(modules: str) -> ImportPoint:
    process = subprocess.Popen(
        [sys.executable, "-c", _SCRIPT.format(modules=modules)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    process.stdout.readline()
    use = read_use(process.pid)
    process.communicate(b"\n")
    return ImportPoint(modules, use.resident_bytes, use.private_bytes)
