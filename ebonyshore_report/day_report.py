"""Reads the bench's report of one day and computes which part could have been served on time."""

from collections.abc import Sequence
from pathlib import Path

from msgspec import Struct, ValidationError, field
from msgspec.json import Decoder

from ebonyshore.frame.clock import MS_PER_S
from ebonyshore_report.errors import ReportError

# A process that starts later than this after a disruption was not restarted because of it.
MAX_RESTART_S = 12.0
# Prefixes of the kinds of disruption that may end all entries at the same moment.
KILL_ALL_KINDS = ("closing", "herd_kill")


class RequestShare(Struct, frozen=True):
    """A part of the requests of a day and what became of them.

    :param name: what the requests have in common, such as a route.
    :param request_count: number of requests.
    :param in_aim: requests served within their latency target.
    :param late: requests served after their latency target.
    :param refused: refused requests.
    :param failed: failed requests.
    :param not_owed: requests that the system did not have to serve.
    :param worth: worth of the requests after deductions, 0 to 1.
    """

    name: str
    request_count: int = field(name="n")
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float


class Window(RequestShare, frozen=True):
    """Requests of a time window of 2 s; a request belongs to the window in which it was first sent.

    The name is the second of the day at which the window begins.
    """

    @property
    def start_s(self) -> float:
        """Begin of the window in seconds of the day."""
        return float(self.name)


class Disruption(Struct, frozen=True):
    """An event of the day, such as a fault.

    :param at_s: begin, in seconds of the day.
    :param to_s: end, in seconds of the day.
    :param kind: name that the bench gives the event, which may include its variant.
    """

    at_s: float
    to_s: float
    kind: str


class DayReport(Struct, frozen=True):
    """The fields that are used of the bench's report of one day.

    :param worth: worth of all requests after deductions, 0 to 1.
    :param served: share of the worth that callers received.
    :param windows: time windows of the day in their order.
    :param events: disruptions of the day.
    :param kinds: the requests by kind.
    :param domains: the requests by the failure domain of their callers.
    """

    worth: float = field(name="G")
    served: float
    windows: tuple[Window, ...]
    events: tuple[Disruption, ...]
    kinds: tuple[RequestShare, ...] = field(name="classes", default=())
    domains: tuple[RequestShare, ...] = field(name="zones", default=())

    @property
    def end_s(self) -> float:
        """End of the last window in seconds of the day."""
        return max((w.start_s for w in self.windows), default=0.0) + _window_length_s(self)


class Outage(Struct, frozen=True):
    """A period without a running entry, in seconds of the day."""

    start_s: float
    end_s: float


def read_day_report(path: Path) -> DayReport:
    """Read a file written by ``fleetbench run --report``.

    :raises ReportError: if the file is not such a report.
    :raises OSError: if the file cannot be read.
    """
    try:
        return Decoder(DayReport).decode(path.read_bytes())
    except ValidationError as error:
        raise ReportError(f"{path.name}: {error}") from error


def find_outages(day: DayReport, starts_s: dict[str, Sequence[float]]) -> list[Outage]:
    """Return the periods in which no entry ran.

    A disruption of a kind that ends many processes at once has ended all entries if each entry
    starts again within ``MAX_RESTART_S`` after it.

    :param starts_s: times at which the processes of each entry started, in seconds of the day, by
        entry.
    """
    outages: list[Outage] = []
    for event in day.events:
        restarts_s = [
            min((at for at in starts if 0 < at - event.at_s < MAX_RESTART_S), default=None)
            for starts in starts_s.values()
        ]
        if event.kind.startswith(KILL_ALL_KINDS) and restarts_s and None not in restarts_s:
            outages.append(Outage(event.at_s, min(restarts_s)))
    return outages


def on_time_bound(day: DayReport, outages: Sequence[Outage], latency_target_ms: float) -> float:
    """Return an upper bound of the share of requests that could have been served on time, 0 to 1.

    An ideal scheduler loses only requests whose latency target passes while no entry runs. The
    bound ignores the work in progress when the entries end, and full targets, so a real scheduler
    cannot serve more.

    :param latency_target_ms: longest latency target of the routes; a shorter one makes the bound
        too low.
    """
    request_count = sum(window.request_count for window in day.windows)
    if not request_count:
        return 1.0
    lost = sum(
        window.request_count * _lost_share(window, day, outages, latency_target_ms)
        for window in day.windows
    )
    return 1.0 - lost / request_count


def on_time_share(day: DayReport) -> float:
    """Return the share of requests served on time, 0 to 1.

    Requests that the system did not have to serve count as served.
    """
    request_count = sum(window.request_count for window in day.windows)
    on_time_count = sum(window.in_aim + window.not_owed for window in day.windows)
    return on_time_count / request_count if request_count else 1.0


def related_disruptions(day: DayReport, window: Window) -> list[str]:
    """Return the kinds of the disruptions that overlap a window or the window before it."""
    length_s = _window_length_s(day)
    end_s = window.start_s + length_s
    return [
        event.kind
        for event in day.events
        if event.at_s < end_s and event.to_s > window.start_s - length_s
    ]


def worst_windows(day: DayReport, count: int = 2) -> list[Window]:
    """Return the ``count`` windows that lost the most worth, starting with the worst."""
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
