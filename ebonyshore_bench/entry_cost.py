"""What an entry spends on a request under high load, with and without its log, and where.

Run as ``python -m ebonyshore_bench.entry_cost``. One entry, one runner and stand-in targets run on
loopback; callers on threads ask for streams one after the other.
"""

import argparse
import pstats
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec import Struct

from ebonyshore.frame.clock import MS_PER_S, SystemClock
from ebonyshore_bench.markdown_table import table
from ebonyshore_bench.proc_stat import read_use
from ebonyshore_standins.platform_fleet import STREAM_PREFIX, PlatformFleet, ask_stream

CALLERS = 24  # as many as the targets have places
EVENTS_PER_ANSWER = 22  # of each answer
TARGETS = 3
FIRST_ADDRESS = 70  # third number of the processes' loopback addresses
MAX_HOT_FUNCTIONS = 10
IDLE_CALL = "select.epoll"  # in the name of the call in which an idle process waits
US_PER_S = 1_000_000
LOGGING_LAUNCHER = ("-m", "ebonyshore.platform")
SILENT_LAUNCHER = ("-m", "ebonyshore_bench.quiet_process")


class EntryCost(Struct, frozen=True):
    """What one run of an entry took.

    :param answered: requests that got their whole answer.
    :param cpu_ms: processor time of the entry.
    :param log_lines: that it wrote meanwhile.
    """

    name: str
    answered: int
    duration_ms: float
    cpu_ms: float
    log_lines: int

    @property
    def cpu_ms_per_request(self) -> float:
        """Processor time of one answer."""
        return self.cpu_ms / self.answered

    @property
    def requests_per_s(self) -> float:
        """Answers in a second."""
        return self.answered / self.duration_ms * MS_PER_S

    @property
    def lines_per_s(self) -> float:
        """Log lines in a second."""
        return self.log_lines / self.duration_ms * MS_PER_S


class HotFunction(Struct, frozen=True):
    """A function of the profile.

    :param place: file, line and name.
    :param own_us: time inside it for each request, without what it calls.
    """

    place: str
    calls_per_request: float
    own_us: float


def measure_entry_cost(
    name: str, launcher: Sequence[str], requests: int, folder: Path
) -> EntryCost:
    """Let callers ask one entry for so many streams."""
    clock = SystemClock()
    fleet = PlatformFleet(
        folder, entries=1, runners=1, targets=TARGETS, first_address=FIRST_ADDRESS
    )
    (entry,) = fleet.entries
    entry.launcher = tuple(launcher)
    try:
        fleet.start()
        before, lines_before, start_ms = read_use(entry.pid), _lines(entry), clock.monotonic_ms()

        def ask(number: int) -> bool:
            return ask_stream(entry, f"{name}-{number}", STREAM_PREFIX, EVENTS_PER_ANSWER)[0] == 200

        with ThreadPoolExecutor(CALLERS) as callers:
            answered = sum(callers.map(ask, range(requests)))
        duration_ms = clock.monotonic_ms() - start_ms
        cpu_ms = read_use(entry.pid).cpu_ms - before.cpu_ms
        lines = _lines(entry) - lines_before
        entry.stop()  # a profiler writes its file when the process ends as planned
        return EntryCost(name, answered, duration_ms, cpu_ms, lines)
    finally:
        fleet.stop()


def hottest_functions(profile: Path, requests: int) -> list[HotFunction]:
    """Return the functions with the most time of their own, the hottest first.

    :param profile: file of cProfile.
    :param requests: answers that the profiled process gave.
    """
    rows = pstats.Stats(str(profile)).stats
    busy = [row for row in rows.items() if IDLE_CALL not in row[0][2]]
    by_own_time = sorted(busy, key=lambda row: row[1][2], reverse=True)
    return [
        HotFunction(_place(place), figures[1] / requests, figures[2] * US_PER_S / requests)
        for place, figures in by_own_time[:MAX_HOT_FUNCTIONS]
    ]


def markdown(costs: Sequence[EntryCost], functions: Sequence[HotFunction]) -> str:
    """Return the tables of a report."""
    head = ["Entry", "Answers", "Answers/s", "Processor ms an answer", "Log lines/s"]
    cost_rows = [
        [
            cost.name,
            str(cost.answered),
            f"{cost.requests_per_s:.0f}",
            f"{cost.cpu_ms_per_request:.2f}",
            f"{cost.lines_per_s:.0f}",
        ]
        for cost in costs
    ]
    function_rows = [
        [f"`{found.place}`", f"{found.calls_per_request:.1f}", f"{found.own_us:.0f}"]
        for found in functions
    ]
    lines = table(head, cost_rows)
    lines += ["", *table(["Function", "Calls an answer", "Own µs an answer"], function_rows)]
    return "\n".join(lines)


def _lines(process) -> int:
    return process.log().count("\n")


def _place(place: tuple[str, int, str]) -> str:
    file, line, name = place
    short = "/".join(Path(file).parts[-2:])
    return f"{short}:{line} {name}" if line else name


def main() -> None:
    """Measure the variants and print the report."""
    parser = argparse.ArgumentParser(prog="python -m ebonyshore_bench.entry_cost")
    parser.add_argument("--requests", type=int, default=3_000, help="in each variant")
    requests = parser.parse_args().requests
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        profile = folder / "entry.profile"
        costs = [
            measure_entry_cost("with log", LOGGING_LAUNCHER, requests, folder),
            measure_entry_cost("without log", SILENT_LAUNCHER, requests, folder),
        ]
        measure_entry_cost(
            "profiled", ("-m", "cProfile", "-o", str(profile), *LOGGING_LAUNCHER), requests, folder
        )
        print(markdown(costs, hottest_functions(profile, requests)))


if __name__ == "__main__":
    main()
