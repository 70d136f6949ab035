"""Common parts of the cases: the record, the end of a case, and clients of the entries."""

import os
import signal
import sys
import tempfile
import threading
import traceback
from collections.abc import Callable, Iterable
from pathlib import Path
from time import monotonic

from ebonyshore_standins.stream_target import StreamTarget

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses
MAX_CASE_S = 112.0


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._began_s = monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line, with the time since the start of the case."""
        line = f"{monotonic() - self._began_s:8.3f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


def is_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def set_heartbeat(folder: Path) -> None:
    """Set the heartbeat of the servers in all settings files to that of the sites, 1,200 ms."""
    for path in folder.glob("*.toml"):
        settings = path.read_text(encoding="utf-8")
        path.write_text(settings.replace("HeartbeatMs = 400", "HeartbeatMs = 1200"), "utf-8")


def write_runs(record: Record, targets: Iterable[StreamTarget]) -> None:
    """Record what the project's stand-ins for servers have run."""
    for target in targets:
        for run in target.runs:
            end = "complete" if run.is_complete else "broken off"
            events = f"from {run.first_event} to {run.last_event}"
            record.write(f"{target.target_id} ran {run.request_id} {events} {end}")


def run_case(case_file: str, case: Callable[[Record, Path], bool]) -> None:
    """Run a case and end the process with its exit status.

    :param case_file: path of the module of the case.
    :param case: gets the record and a temporary folder; returns whether the rule held. It ends all
        processes that it has started, also if it raises.
    """
    record = Record(Path(case_file).resolve().parent)
    signal.signal(signal.SIGALRM, _raise_end)
    signal.signal(signal.SIGTERM, _raise_end)
    signal.alarm(int(MAX_CASE_S))
    status = NOT_RUN
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        try:
            holds = case(record, Path(folder))
            status = HELD if holds else BROKEN
            record.say("the rule held" if holds else "the rule was broken")
        except Exception as error:  # noqa: BLE001 - whatever it is, the case could not be run
            record.write(traceback.format_exc())
            record.say(f"the case could not be run: {error!r}")
    sys.stdout.flush()
    os._exit(status)  # threads of stand-ins may still run


def _raise_end(_number: int, _frame: object) -> None:
    raise CaseError("it was stopped, or took too long")
