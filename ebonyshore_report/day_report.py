"""One day in full: the bench's report of it, and the bound of what could have been served."""

from collections.abc import Sequence
from pathlib import Path

from msgspec import Struct, ValidationError, field
from msgspec.json import Decoder

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore_report.errors import ReportError

MAX_RESTART_S = 12.0  # after which a start no longer belongs to a disruption
KILL_ALL_KINDS = ("closing", "herd_kill")  # kinds that may end every entry at the same moment


class Window(Struct, frozen=True):
    """Two seconds of the day, by the time of each request's first send.

    :param name: second at which it begins.
    :param asked: requests sent.
    :param in_aim: of them, served within their latency target; likewise the other numbers.
    """

    name: str
    request_count: int = field(name="n")
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float

    @property
    def start_s(self) -> float:
        """Begin of the window."""
        return float(self.name)


class Disruption(Struct, frozen=True):
    """Something that happened, with the times that the bench gives it."""

    at_s: float
    to_s: float
    kind: str


class DayReport(Struct, frozen=True):
    """The bench's report of one day, as far as it is used here.

    :param worth: of all requests, less prices, 0 to 1.
    :param served: share of the worth that callers got.
    """

    worth: float = field(name="G")
    served: float
    windows: tuple[Window, ...]
    events: tuple[Disruption, ...]


class Outage(Struct, frozen=True):
    """A time without any running entry."""

    start_s: float
    end_s: float


def read_day_report(path: Path) -> DayReport:
    """Return a report that ``fleetbench run --report`` wrote.

    :raises ReportError: if it is not one.
    """
    try:
        return Decoder(DayReport).decode(path.read_bytes())
    except ValidationError as error:
        raise ReportError(f"{path.name}: {error}") from error


def find_outages(day: DayReport, starts_s: dict[str, Sequence[float]]) -> list[Outage]:
    """Return the times in which no entry ran.

    A disruption that ends many at once, and after which every entry starts again, ended them all.

    :param starts_s: by entry, when its processes started.
    """
    found: list[Outage] = []
    for event in day.events:
        ends_s = [
            min((at for at in starts if 0 < at - event.at_s < MAX_RESTART_S), default=None)
            for starts in starts_s.values()
        ]
        if event.kind.startswith(KILL_ALL_KINDS) and ends_s and None not in ends_s:
            found.append(Outage(event.at_s, min(ends_s)))
    return found


def on_time_bound(day: DayReport, outages: Sequence[Outage], latency_target_ms: float) -> float:
    """Return the share of requests that a scheduler that knows all could have served on time.

    It loses only requests whose latency target passes while no entry runs. Work under way when the
    entries end, and targets that are full, are left out, so more cannot be served.

    :param latency_target_ms: the longest of the routes; a shorter one makes the bound too low.
    """
    asked = sum(window.request_count for window in day.windows)
    if not asked:
        return 1.0
    lost = sum(
        window.request_count * _lost_share(window, day, outages, latency_target_ms)
        for window in day.windows
    )
    return 1.0 - lost / asked


def on_time_share(day: DayReport) -> float:
    """Return the share of requests served on time; those not owed count as served."""
    asked = sum(window.request_count for window in day.windows)
    served = sum(window.in_aim + window.not_owed for window in day.windows)
    return served / asked if asked else 1.0


def related_disruptions(day: DayReport, window: Window) -> list[str]:
    """Return the disruptions that last into a window or began in the one before."""
    length_s = _window_length_s(day)
    end_s = window.start_s + length_s
    return [
        event.kind
        for event in day.events
        if event.at_s < end_s and event.to_s > window.start_s - length_s
    ]


def worst_windows(day: DayReport, count: int = 2) -> list[Window]:
    """Return the windows that lost the most worth, the worst first."""
    return sorted(day.windows, key=lambda window: (window.worth - 1.0) * window.request_count)[
        :count
    ]


def _window_length_s(day: DayReport) -> float:
    starts_s = [window.start_s for window in day.windows]
    return min((b - a for a, b in zip(starts_s, starts_s[1:], strict=False)), default=1.0)


def _lost_share(
    window: Window, day: DayReport, outages: Sequence[Outage], latency_target_ms: float
) -> float:
    length_s = _window_length_s(day)
    end_s = window.start_s + length_s
    lost_s = sum(
        max(
            0.0,
            min(end_s, outage.end_s - latency_target_ms / MS_PER_S)
            - max(window.start_s, outage.start_s),
        )
        for outage in outages
    )
    return min(1.0, lost_s / length_s)
