"""How often processes report their load, so that one runner can receive the reports of all."""

from collections.abc import Iterable
from math import inf

from ebonyshore.frame.clock import MS_PER_S

MAX_RECEIVED_REPORTS_PER_S = 2_000.0  # by one runner, from all other processes


def min_report_interval_ms(process_count: int) -> float:
    """Return the time between two reports of one process.

    :param process_count: number of processes that report to the same runner.
    """
    return MS_PER_S * process_count / MAX_RECEIVED_REPORTS_PER_S


def time_until_due(due_ms: Iterable[float], now_ms: float) -> float:
    """Return the time until the first of some times that are still to come."""
    return min((at_ms - now_ms for at_ms in due_ms if at_ms > now_ms), default=inf)
