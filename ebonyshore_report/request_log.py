"""Summarises the log lines of this system's processes during one day."""

import re
from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram
from msgspec import Struct

LOG_LINE = re.compile(
    r"^\s*(?P<at_s>-?[\d.]+) (?P<node>\S+) time_ms=\d+ event=(?P<event>\S+)(?P<rest>.*)"
)
LOG_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 3


class LogLine(Struct, frozen=True):
    """One event of a process.

    :param at_s: time in seconds of the day.
    :param node: name of the instance in the bench.
    """

    at_s: float
    node: str
    event: str
    fields: dict[str, str]


def parse_line(line: str) -> LogLine | None:
    """Return the event of a line, or ``None`` if the line has another format."""
    found = LOG_LINE.match(line)
    if found is None:
        return None
    fields = dict(LOG_FIELD.findall(found["rest"]))
    return LogLine(float(found["at_s"]), found["node"], found["event"], fields)


class RequestLog:
    """Request outcomes, latencies and starts of entries in the log of one day.

    :param lines: output of ``fleetbench run --log all``; lines of other formats are skipped.
    :ivar entry_starts_s: times at which the processes of each entry started, in seconds of the day,
        by node.
    :ivar first_event_ms: time until the first event of a response.
    :ivar outcomes: number of ended requests by outcome.
    """

    __slots__ = ("entry_starts_s", "first_event_ms", "outcomes")

    def __init__(self, lines: Iterable[str]) -> None:
        self.outcomes: Counter[str] = Counter()
        self.first_event_ms = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        self.entry_starts_s: dict[str, list[float]] = {}
        for line in map(parse_line, lines):
            if line is not None:
                self._add_event(line.at_s, line.node, line.event, line.fields)

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the time until the first event of a response.

        :param percent: 0 to 100.
        """
        return float(self.first_event_ms.get_value_at_percentile(percent))

    def _add_event(self, at_s: float, node: str, event: str, fields: dict[str, str]) -> None:
        if event == "process_started" and fields.get("role") == "entry":
            self.entry_starts_s.setdefault(node, []).append(at_s)
        if event != "request_ended":
            return
        self.outcomes[fields["outcome"]] += 1
        if "first_event_ms" in fields:
            self.first_event_ms.record_value(max(1, round(float(fields["first_event_ms"]))))
