"""Measures the processor time of an entry per request under high load.

Run as ``python -m ebonyshore_bench.entry_cost``. One entry, one runner and stand-in targets run on
loopback. Each caller thread requests one stream after the other. The entry runs with its log,
without its log, and under :mod:`cProfile` to find the most expensive functions.
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
from ebonyshore_standins.fleet_client import request_stream
from ebonyshore_standins.fleet_config import STREAM_PREFIX
from ebonyshore_standins.platform_fleet import PlatformFleet, running

CALLERS = 24  # equals the total capacity of the targets
ANSWER_EVENTS = 22
TARGETS = 3
ADDRESS_OCTET = 70  # third octet of the processes' loopback addresses
MAX_HOT_FUNCTIONS = 10
IDLE_CALL = "select.epoll"  # part of the profile name of the call in which an idle process waits
US_PER_S = 1_000_000
LOGGING_ARGUMENTS = ("-m", "ebonyshore.platform")
SILENT_ARGUMENTS = ("-m", "ebonyshore_bench.quiet_process")


class EntryCost(Struct, frozen=True):
    """Cost of one run of an entry.

    :param name: name of the run in the report.
    :param answered: number of requests that were answered with status 200.
    :param duration_ms: elapsed time of the run.
    :param cpu_ms: processor time that the entry used in the run.
    :param log_lines: number of log lines that the entry wrote in the run.
    """

    name: str
    answered: int
    duration_ms: float
    cpu_ms: float
    log_lines: int

    @property
    def cpu_ms_per_request(self) -> float:
        """Mean processor time of the entry per answered request."""
        return self.cpu_ms / self.answered

    @property
    def requests_per_s(self) -> float:
        """Answered requests per second."""
        return self.answered / self.duration_ms * MS_PER_S

    @property
    def lines_per_s(self) -> float:
        """Log lines written per second."""
        return self.log_lines / self.duration_ms * MS_PER_S


class HotFunction(Struct, frozen=True):
    """A function of the profile.

    :param place: file, line and name of the function.
    :param calls_per_request: mean number of calls per request.
    :param own_us: mean time per request spent in the function itself, without its callees.
    """

    place: str
    calls_per_request: float
    own_us: float


def measure_entry_cost(
    name: str, interpreter_arguments: Sequence[str], requests: int, folder: Path
) -> EntryCost:
    """Send ``requests`` streaming requests to one entry and measure what they cost it.

    :param name: name of the run in the report.
    :param interpreter_arguments: arguments of the Python interpreter that start the entry.
    :param requests: number of requests.
    :param folder: folder for the files of the processes.
    :return: the cost of the run.
    """
    clock = SystemClock()
    fleet = PlatformFleet(
        folder, entries=1, runners=1, targets=TARGETS, address_octet=ADDRESS_OCTET
    )
    (entry,) = fleet.entries
    entry.interpreter_arguments = tuple(interpreter_arguments)
    with running(fleet):
        before, lines_before, start_ms = (
            read_use(entry.pid),
            _count_lines(entry),
            clock.monotonic_ms(),
        )

        def request(number: int) -> bool:
            return request_stream(entry, f"{name}-{number}", STREAM_PREFIX, ANSWER_EVENTS)[0] == 200

        with ThreadPoolExecutor(CALLERS) as executor:
            answered = sum(executor.map(request, range(requests)))
        duration_ms = clock.monotonic_ms() - start_ms
        cpu_ms = read_use(entry.pid).cpu_ms - before.cpu_ms
        # The profiler writes its file only at a graceful stop, and the line of the last request
        # follows its answer.
        entry.stop()
        log_lines = _count_lines(entry) - lines_before
        return EntryCost(name, answered, duration_ms, cpu_ms, log_lines)


def hottest_functions(profile: Path, requests: int) -> list[HotFunction]:
    """Return the functions with the most time of their own, in descending order.

    The call in which an idle process waits is left out.

    :param profile: file written by :mod:`cProfile`.
    :param requests: number of requests that the profiled process answered.
    :return: at most :data:`MAX_HOT_FUNCTIONS` functions.
    """
    rows = pstats.Stats(str(profile)).stats
    active = [row for row in rows.items() if IDLE_CALL not in row[0][2]]
    by_own_time = sorted(active, key=lambda row: row[1][2], reverse=True)
    return [
        HotFunction(_format_place(place), figures[1] / requests, figures[2] * US_PER_S / requests)
        for place, figures in by_own_time[:MAX_HOT_FUNCTIONS]
    ]


def markdown(costs: Sequence[EntryCost], functions: Sequence[HotFunction]) -> str:
    """Return the report as Markdown: a table of the runs and one of the hottest functions."""
    header = ["Entry", "Answers", "Answers/s", "CPU ms per answer", "Log lines/s"]
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
        [f"`{function.place}`", f"{function.calls_per_request:.1f}", f"{function.own_us:.0f}"]
        for function in functions
    ]
    lines = table(header, cost_rows)
    lines += ["", *table(["Function", "Calls per answer", "Own µs per answer"], function_rows)]
    return "\n".join(lines)


def _count_lines(process) -> int:
    return process.read_log().count("\n")


def _format_place(place: tuple[str, int, str]) -> str:
    file, line, name = place
    short_path = "/".join(Path(file).parts[-2:])
    return f"{short_path}:{line} {name}" if line else name


def main() -> None:
    """Measure the three runs and print the report."""
    parser = argparse.ArgumentParser(prog="python -m ebonyshore_bench.entry_cost")
    parser.add_argument("--requests", type=int, default=3_000, help="requests per run")
    requests = parser.parse_args().requests
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        profile = folder / "entry.profile"
        costs = [
            measure_entry_cost("with log", LOGGING_ARGUMENTS, requests, folder),
            measure_entry_cost("without log", SILENT_ARGUMENTS, requests, folder),
        ]
        measure_entry_cost(
            "profiled", ("-m", "cProfile", "-o", str(profile), *LOGGING_ARGUMENTS), requests, folder
        )
        print(markdown(costs, hottest_functions(profile, requests)))


if __name__ == "__main__":
    main()
